package pump

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Store is a fake of the platform's key-value service, as the reducer sees it through the runners.
type Store struct {
	Down       bool          // calls are not carried out and get no answer
	ExtraDelay time.Duration // added to each call
	Stale      bool          // ListNodes repeats its previous result
	// LoseAnswers makes the store carry out calls without answering them. Watches only get no answer.
	LoseAnswers bool
	Calls       int  // number of calls so far, without watches
	NoEras      bool // answers state no era

	cutOff         []string // zones whose calls get no answer
	turnedAway     map[reducer.NodeID]Refusal
	world          *World
	documents      []tables.Document
	revision       uint64
	era            uint64 // how often the store was restored from a copy, from 1 on
	waitingWatches []func()
	leases         map[uint64]*lease
	left           map[string]leaveRecord // by instance of a backend server
	leaveWrites    uint64
	lastLease      uint64 // the lease granted last
	rollouts       rollouts
	listedNodes    []reducer.NodeEntry // the previous result of ListNodes
}

// lease is a lease and the entry that its holder has attached to it.
type lease struct {
	expiresAt time.Duration
	ttl       time.Duration
	entry     reducer.NodeEntry // zero until the holder announces itself
}

// watchTimeout is the time after which a watch returns without a newer document.
const watchTimeout = 20 * time.Second

// watchPollInterval is the interval at which a waiting watch checks whether the store still answers.
const watchPollInterval = 250 * time.Millisecond

func newStore(w *World) *Store {
	return &Store{world: w, era: 1, leases: map[uint64]*lease{}, left: map[string]leaveRecord{}}
}

// Heal ends all faults of the store.
func (s *Store) Heal() {
	s.Down, s.ExtraDelay, s.Stale, s.LoseAnswers = false, 0, false, false
	s.cutOff, s.turnedAway = nil, nil
}

// Refusal is how the store turns a node away.
type Refusal uint8

const (
	// Refused answers each call at once that nothing was done, and cuts watches.
	Refused Refusal = iota + 1
	// Silent leaves calls without an answer, and watches as they are.
	Silent
)

// TurnAway makes the store turn nodes away while it serves the others.
func (s *Store) TurnAway(how Refusal, nodes ...*Node) {
	s.turnedAway = map[reducer.NodeID]Refusal{}
	for _, n := range nodes {
		s.turnedAway[n.ID] = how
	}
}

// CutOff makes the store unreachable from the given zones.
func (s *Store) CutOff(zones ...string) { s.cutOff = zones }

func (s *Store) isDownFor(n *Node) bool { return s.Down || slices.Contains(s.cutOff, n.Zone) }

// Apply writes the next version of both tables, as the operator's tool does, and returns its number.
func (s *Store) Apply(routes, pools string) uint64 {
	return s.write(s.newestNumber()+1, routes, pools)
}

// ApplySameNumber writes other tables under the number of the newest version, and returns this number. Two tools can
// do so when the store fails to enforce compare-and-swap.
func (s *Store) ApplySameNumber(routes, pools string) uint64 {
	return s.write(s.newestNumber(), routes, pools)
}

// newestNumber returns the number of the newest version, or 0 when there is none.
func (s *Store) newestNumber() uint64 {
	if len(s.documents) == 0 {
		return 0
	}
	return s.documents[len(s.documents)-1].Version
}

// write stores a document and records it as accepted when it is valid.
func (s *Store) write(version uint64, routes, pools string) uint64 {
	document := tables.Document{
		Version: version, EditID: fmt.Sprint("edit-", len(s.documents)+1),
		Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools),
	}
	s.documents = append(s.documents, document)
	s.notifyWatches()
	if isValid(document) {
		s.world.History.Accepted = append(s.world.History.Accepted, document)
	}
	return document.Version
}

// validVersion returns the version that the store holds, and whether it is valid.
func (s *Store) validVersion() (tables.VersionID, bool) {
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
		s.watch(n, e, n.world.Now+watchTimeout)
	case reducer.EndWatch:
		n.watchSeq++
		n.watchOpen = false
	case reducer.GrantLease:
		s.call(n, reducer.LeaseGranted{Result: reducer.StoreUnknown}, func() reducer.StoreAnswer { return s.grant(e) })
	case reducer.RenewLease:
		s.call(n, reducer.LeaseRenewed{Result: reducer.StoreUnknown, Lease: e.Lease}, func() reducer.StoreAnswer { return s.renew(e) })
	case reducer.AnnounceNode:
		s.call(n, reducer.NodeAnnounced{Result: reducer.StoreUnknown, Lease: e.Lease}, func() reducer.StoreAnswer { return s.announce(e) })
	case reducer.ListNodes:
		s.call(n, reducer.NodesListed{Result: reducer.StoreUnknown}, s.list)
	case reducer.EndLease:
		delete(s.leases, e.Lease)
	default:
		return s.performDeregistration(n, effect) || s.performRollout(n, effect)
	}
	return true
}

// call carries out a call after the delay of the store and posts the answer. A store that is down does not carry it
// out, one with LoseAnswers does; in both cases the node gets the unknown result after callTimeout.
func (s *Store) call(n *Node, unknown reducer.StoreAnswer, answer func() reducer.StoreAnswer) {
	s.Calls++
	n.after(StoreDelay+s.ExtraDelay, func() {
		switch {
		case s.turnedAway[n.ID] == Refused:
			n.reduce(unknown)
		case s.isDownFor(n) || s.turnedAway[n.ID] == Silent:
			n.post(callTimeout, unknown)
		case s.LoseAnswers:
			answer()
			n.post(callTimeout, unknown)
		default:
			s.answer(n, answer())
		}
	})
}

// answer reports the result of a call that the store has answered, with its era.
func (s *Store) answer(n *Node, result reducer.StoreAnswer) {
	answered := reducer.StoreAnswered{Era: s.era, Answer: result}
	if s.NoEras {
		answered.Era = 0
	}
	n.reduce(answered)
}

// watch answers when the store has a newer revision, or at the time until. One after a revision that the store does not have
// is answered at once. The next watch of the node ends it.
func (s *Store) watch(n *Node, e reducer.WatchStore, until time.Duration) {
	n.watchSeq++
	s.continueWatch(n, n.watchSeq, e, until)
}

func (s *Store) continueWatch(n *Node, watchSeq int, e reducer.WatchStore, until time.Duration) {
	failed := reducer.StoreRead{Result: reducer.StoreUnknown, Watch: true, After: e.After}
	n.after(StoreDelay+s.ExtraDelay, func() {
		if n.watchSeq != watchSeq {
			return
		}
		n.watchOpen = false
		switch {
		case s.turnedAway[n.ID] == Silent: // the connection fails silently, for good
			n.after(max(until-n.world.Now, 0), func() {
				if n.watchSeq == watchSeq {
					n.reduce(failed)
				}
			})
		case s.turnedAway[n.ID] == Refused:
			n.reduce(failed)
		case s.isDownFor(n) || s.LoseAnswers:
			n.post(callTimeout, failed)
		case s.revision < e.After.Number:
			s.answer(n, reducer.StoreRead{Result: reducer.StoreHistoryGone, Watch: true, After: e.After})
		case s.revision > e.After.Number || n.world.Now >= until:
			read := s.read().(reducer.StoreRead)
			read.Watch, read.After = true, e.After
			s.answer(n, read)
		default:
			n.watchOpen = true
			s.awaitWrite(n, func() { s.continueWatch(n, watchSeq, e, until) }, failed)
		}
	})
}

// awaitWrite resumes a watch at the next write, or after watchPollInterval, so that it notices a failed store. A watch that
// waits when the store is restored from a copy fails.
func (s *Store) awaitWrite(n *Node, resume func(), failed reducer.Input) {
	processSeq, era, done := n.processSeq, s.era, false
	once := func() {
		switch {
		case done || n.processSeq != processSeq || !n.Up:
			return
		case s.era != era:
			n.post(LinkDelay, failed)
		default:
			resume()
		}
		done = true
	}
	s.waitingWatches = append(s.waitingWatches, once)
	n.after(watchPollInterval, once)
}

// notifyWatches increments the revision and resumes the waiting watches.
func (s *Store) notifyWatches() {
	s.revision++
	s.resumeWatches()
}

func (s *Store) resumeWatches() {
	watches := s.waitingWatches
	s.waitingWatches = nil
	for _, resume := range watches {
		resume()
	}
}

func (s *Store) read() reducer.StoreAnswer {
	if len(s.documents) == 0 {
		return reducer.StoreRead{Result: reducer.StoreAbsent, Revision: s.revision}
	}
	return reducer.StoreRead{Result: reducer.StoreOK, Document: s.documents[len(s.documents)-1], Revision: s.revision}
}

func (s *Store) grant(e reducer.GrantLease) reducer.StoreAnswer {
	s.lastLease++
	s.leases[s.lastLease] = &lease{expiresAt: s.world.Now + e.TTL, ttl: e.TTL}
	return reducer.LeaseGranted{Result: reducer.StoreOK, Lease: s.lastLease}
}

// unexpiredLease returns a lease, or nil when it does not exist or has expired.
func (s *Store) unexpiredLease(id uint64) *lease {
	if l := s.leases[id]; l != nil && l.expiresAt > s.world.Now {
		return l
	}
	return nil
}

func (s *Store) renew(e reducer.RenewLease) reducer.StoreAnswer {
	l := s.unexpiredLease(e.Lease)
	if l == nil {
		return reducer.LeaseRenewed{Result: reducer.StoreNoLease, Lease: e.Lease}
	}
	l.expiresAt = s.world.Now + l.ttl
	return reducer.LeaseRenewed{Result: reducer.StoreOK, Lease: e.Lease}
}

func (s *Store) announce(e reducer.AnnounceNode) reducer.StoreAnswer {
	l := s.unexpiredLease(e.Lease)
	if l == nil {
		return reducer.NodeAnnounced{Result: reducer.StoreNoLease, Lease: e.Lease}
	}
	l.entry = e.Entry
	return reducer.NodeAnnounced{Result: reducer.StoreOK, Lease: e.Lease}
}

func (s *Store) list() reducer.StoreAnswer {
	if !s.Stale {
		s.listedNodes = nil
		for _, id := range slices.Sorted(maps.Keys(s.leases)) {
			if l := s.unexpiredLease(id); l != nil && l.entry.Node != "" {
				s.listedNodes = append(s.listedNodes, l.entry)
			}
		}
	}
	return reducer.NodesListed{Result: reducer.StoreOK, Nodes: slices.Clone(s.listedNodes)}
}

// ExpireLeases ends all leases at once. Their holders are not told.
func (s *Store) ExpireLeases() { clear(s.leases) }

// FirstReaders returns the first reader of each zone.
func (s *Store) FirstReaders() []*Node {
	var readers []*Node
	for _, n := range s.world.Nodes() {
		if n == s.FirstReader(n.Zone) {
			readers = append(readers, n)
		}
	}
	return readers
}

// FirstReader returns the first reader of a zone, which is its running node with the lowest id, or nil when none runs.
func (s *Store) FirstReader(zone string) *Node {
	for _, n := range s.world.Nodes() {
		if n.Zone == zone && n.Up {
			return n
		}
	}
	return nil
}
