package pump

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Store is the fake of the platform's key-value service, as the runners show it to the reducer.
type Store struct {
	Down  bool          // calls get no answer
	Slow  time.Duration // added to each call
	Stale bool          // lists of nodes show none that has come since
	// LoseAnswers carries out every call and gives no answer.
	LoseAnswers bool
	Calls       int

	cutOff    []string // zones whose calls get no answer
	world     *World
	documents []tables.Document
	revision  uint64
	watches   []func()
	leases    map[uint64]*lease
	left      map[string]int64    // when lives of backend servers said that they leave, in Unix ms
	granted   uint64              // number of the newest lease
	listed    []reducer.NodeEntry // what a stale list shows
}

// lease is a lease with the entry of the node that holds it.
type lease struct {
	until time.Duration
	ttl   time.Duration
	entry reducer.NodeEntry // zero until it is announced
}

// watchWait is how long a watch waits at the store.
const watchWait = 20 * time.Second

// watchLook is how often a watch that waits looks whether the store still works.
const watchLook = 250 * time.Millisecond

func newStore(w *World) *Store {
	return &Store{world: w, leases: map[uint64]*lease{}, left: map[string]int64{}}
}

// Heal ends every fault of the store.
func (s *Store) Heal() {
	s.Down, s.Slow, s.Stale, s.LoseAnswers = false, 0, false, false
	s.cutOff = nil
}

// CutOff keeps the calls of some zones from the store.
func (s *Store) CutOff(zones ...string) { s.cutOff = zones }

func (s *Store) downFor(n *Node) bool { return s.Down || slices.Contains(s.cutOff, n.Zone) }

// Apply writes the next version of both tables as an operator's tool does, and returns its number.
func (s *Store) Apply(routes, pools string) uint64 {
	return s.write(s.number()+1, routes, pools)
}

// ApplySame writes other tables under the number of the newest version, as two tools do when the store
// breaks its compare-and-swap.
func (s *Store) ApplySame(routes, pools string) uint64 {
	return s.write(s.number(), routes, pools)
}

// number returns the number of the newest version, 0 when there is none.
func (s *Store) number() uint64 {
	if len(s.documents) == 0 {
		return 0
	}
	return s.documents[len(s.documents)-1].Version
}

func (s *Store) write(version uint64, routes, pools string) uint64 {
	document := tables.Document{
		Version: version, EditID: fmt.Sprint("edit-", len(s.documents)+1),
		Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools),
	}
	s.documents = append(s.documents, document)
	s.written()
	if isValid(document) {
		s.world.History.Accepted = append(s.world.History.Accepted, document)
	}
	return document.Version
}

// valid returns the version that the store holds when it is valid.
func (s *Store) valid() (tables.VersionID, bool) {
	if len(s.documents) == 0 {
		return tables.VersionID{}, false
	}
	newest := s.documents[len(s.documents)-1]
	return newest.ID(), isValid(newest)
}

// perform carries out a platform effect and reports whether it is one.
func (s *Store) perform(n *Node, effect reducer.Effect) bool {
	switch e := effect.(type) {
	case reducer.ReadStore:
		s.call(n, reducer.StoreRead{Result: reducer.StoreUnknown}, s.read)
	case reducer.WatchStore:
		s.watch(n, e, n.world.Now+watchWait)
	case reducer.GrantLease:
		s.call(n, reducer.LeaseGranted{Result: reducer.StoreUnknown}, func() reducer.Input { return s.grant(e) })
	case reducer.RenewLease:
		s.call(n, reducer.LeaseRenewed{Result: reducer.StoreUnknown, Lease: e.Lease}, func() reducer.Input { return s.renew(e) })
	case reducer.AnnounceNode:
		s.call(n, reducer.NodeAnnounced{Result: reducer.StoreUnknown, Lease: e.Lease}, func() reducer.Input { return s.announce(e) })
	case reducer.ListNodes:
		s.call(n, reducer.NodesListed{Result: reducer.StoreUnknown}, s.list)
	case reducer.StoreDeregistration:
		s.call(n, reducer.DeregistrationStored{Exchange: e.Exchange, Result: reducer.StoreUnknown}, func() reducer.Input {
			s.left[e.Instance] = e.At
			return reducer.DeregistrationStored{Exchange: e.Exchange, Result: reducer.StoreOK}
		})
	case reducer.ReadDeregistration:
		s.call(n, reducer.DeregistrationRead{Instance: e.Instance, Result: reducer.StoreUnknown}, func() reducer.Input {
			at, ok := s.left[e.Instance]
			if !ok {
				return reducer.DeregistrationRead{Instance: e.Instance, Result: reducer.StoreAbsent}
			}
			return reducer.DeregistrationRead{Instance: e.Instance, At: at, Result: reducer.StoreOK}
		})
	case reducer.EndLease:
		delete(s.leases, e.Lease)
	default:
		return false
	}
	return true
}

// call answers after the store's delay. When the store is down or too slow there is no answer, and the
// call has taken effect half of the time.
func (s *Store) call(n *Node, unknown reducer.Input, answer func() reducer.Input) {
	s.Calls++
	n.after(StoreDelay+s.Slow, func() {
		switch {
		case s.downFor(n):
			n.post(callTimeout, unknown)
		case s.LoseAnswers:
			answer()
			n.post(callTimeout, unknown)
		default:
			n.reduce(answer())
		}
	})
}

// watch looks for a newer document until the wait is over.
func (s *Store) watch(n *Node, e reducer.WatchStore, until time.Duration) {
	n.after(StoreDelay+s.Slow, func() {
		switch {
		case s.downFor(n) || s.LoseAnswers:
			n.post(callTimeout, reducer.StoreRead{Result: reducer.StoreUnknown, Watch: true})
		case s.revision > e.After || n.world.Now >= until:
			read := s.read().(reducer.StoreRead)
			read.Watch = true
			n.reduce(read)
		default:
			s.park(n, func() { s.watch(n, e, until) })
		}
	})
}

// park resumes a watch at the next write or after watchLook, which notices that the store has failed.
func (s *Store) park(n *Node, resume func()) {
	life, done := n.life, false
	once := func() {
		if !done && n.life == life && n.Up {
			done = true
			resume()
		}
	}
	s.watches = append(s.watches, once)
	n.after(watchLook, once)
}

// written counts a write and resumes the watches.
func (s *Store) written() {
	s.revision++
	watches := s.watches
	s.watches = nil
	for _, resume := range watches {
		resume()
	}
}

func (s *Store) read() reducer.Input {
	if len(s.documents) == 0 {
		return reducer.StoreRead{Result: reducer.StoreAbsent, Revision: s.revision}
	}
	return reducer.StoreRead{Result: reducer.StoreOK, Document: s.documents[len(s.documents)-1], Revision: s.revision}
}

func (s *Store) grant(e reducer.GrantLease) reducer.Input {
	s.granted++
	s.leases[s.granted] = &lease{until: s.world.Now + e.TTL, ttl: e.TTL}
	return reducer.LeaseGranted{Result: reducer.StoreOK, Lease: s.granted}
}

// held returns a lease that has not lapsed, or nil.
func (s *Store) held(id uint64) *lease {
	if l := s.leases[id]; l != nil && l.until > s.world.Now {
		return l
	}
	return nil
}

func (s *Store) renew(e reducer.RenewLease) reducer.Input {
	l := s.held(e.Lease)
	if l == nil {
		return reducer.LeaseRenewed{Result: reducer.StoreNoLease, Lease: e.Lease}
	}
	l.until = s.world.Now + l.ttl
	return reducer.LeaseRenewed{Result: reducer.StoreOK, Lease: e.Lease}
}

func (s *Store) announce(e reducer.AnnounceNode) reducer.Input {
	l := s.held(e.Lease)
	if l == nil {
		return reducer.NodeAnnounced{Result: reducer.StoreNoLease, Lease: e.Lease}
	}
	l.entry = e.Entry
	return reducer.NodeAnnounced{Result: reducer.StoreOK, Lease: e.Lease}
}

func (s *Store) list() reducer.Input {
	if !s.Stale {
		s.listed = nil
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			if l := s.held(id); l != nil && l.entry.Node != "" {
				s.listed = append(s.listed, l.entry)
			}
		}
	}
	return reducer.NodesListed{Result: reducer.StoreOK, Nodes: slices.Clone(s.listed)}
}

// LapseLeases ends every lease at once, also those whose holders believe that they have them.
func (s *Store) LapseLeases() { clear(s.leases) }

// Reader returns the node that is the first reader of a zone, or nil when none runs.
func (s *Store) Reader(zone string) *Node {
	for _, n := range s.world.Nodes() {
		if n.Zone == zone && n.Up {
			return n
		}
	}
	return nil
}
