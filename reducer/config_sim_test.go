package reducer

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const simSeed = 11

// simPlatform simulates the platform's store: one document, the entries of nodes, and faults that can be switched on.
type simPlatform struct {
	doc, previous tables.Document
	revision      uint64
	leases        map[uint64]*simLease
	lastLease     uint64
	down, stale   bool           // down: calls get no answer; stale: reads return the previous document
	historyLost   bool           // the store has lost its history; reset by the next read
	watches       map[string]int // number of the open watch, by node
	lastWatch     int
	callTimes     []time.Duration
	callKinds     []string // effect types of the calls
}

type simLease struct {
	expires time.Duration
	entry   NodeEntry
}

// sim runs the states of several nodes in virtual time, with one store.
type sim struct {
	now         time.Duration
	seq         int
	queue       simQueue
	nodes       map[string]*State // by address
	unreachable map[string]bool   // addresses without a connection to any peer
	silentZones map[string]bool   // zones whose watches get no answer when the document changes
	store       simPlatform
	random      *rand.Rand
	log         []string
	deltas      int            // deltas sent
	documents   map[string]int // number of documents sent, by the address of the receiver
	crossZone   int            // documents and deltas sent to another zone
}

type simEvent struct {
	at   time.Duration
	seq  int
	node string
	in   Input
	// watch is the number of a watch that times out, or 0 for any other event.
	watch int
}

// simQueue is a heap of events by time.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim() *sim {
	return &sim{store: simPlatform{leases: map[uint64]*simLease{}, watches: map[string]int{}}, nodes: map[string]*State{}, unreachable: map[string]bool{}, documents: map[string]int{}, random: rand.New(rand.NewSource(simSeed))}
}

func (m *sim) start(id string, seeds ...string) {
	m.startIn("Hella", id, seeds...)
}

func (m *sim) startIn(zone, id string, seeds ...string) {
	m.nodes[id] = New(Config{Self: NodeID(id), Zone: zone, Address: id, Incarnation: Incarnation(m.now) + 1, Seeds: seeds, Discover: true, Limits: DefaultLimits()})
	m.schedule(0, id, TimerDue{})
}

func (m *sim) schedule(after time.Duration, node string, in Input) {
	m.seq++
	heap.Push(&m.queue, simEvent{at: m.now + after, seq: m.seq, node: node, in: in})
}

// run advances the virtual time by d and delivers the events in between.
func (m *sim) run(d time.Duration) {
	end := m.now + d
	for len(m.queue) > 0 && m.queue[0].at <= end {
		event := heap.Pop(&m.queue).(simEvent)
		m.now = event.at
		if event.watch > 0 {
			if m.store.watches[event.node] != event.watch {
				continue
			}
			delete(m.store.watches, event.node)
			event.in = m.watched(event.node, StoreRead{Result: StoreUnchanged, Revision: m.store.revision})
		}
		if state := m.nodes[event.node]; state != nil {
			for _, effect := range Reduce(state, Event{Now: m.now, Rand: m.random.Uint64(), Input: event.in}) {
				m.perform(event.node, state, effect)
			}
		}
	}
	m.now = end
}

func (m *sim) perform(node string, state *State, effect Effect) {
	const hop = time.Millisecond
	switch e := effect.(type) {
	case WakeAt:
		m.schedule(e.At-m.now, node, TimerDue{})
	case CheckTables:
		m.schedule(hop, node, e.Run())
	case Send:
		if update, ok := e.Message.(ConfigUpdate); ok && update.Delta != nil {
			m.deltas++
		} else if ok && !update.None {
			m.documents[e.To.Address]++
		}
		if update, ok := e.Message.(ConfigUpdate); ok && !update.None && m.nodes[e.To.Address].cfg.Zone != state.cfg.Zone {
			m.crossZone++
		}
		if !m.unreachable[node] && !m.unreachable[e.To.Address] {
			from := PeerRef{Node: state.cfg.Self, Address: node, Incarnation: state.cfg.Incarnation}
			m.schedule(hop, e.To.Address, PeerMessage{From: from, Message: e.Message})
		}
	case Log:
		m.log = append(m.log, e.Message)
	case ReadStore, WatchStore, GrantLease, RenewLease, AnnounceNode, ListNodes:
		m.store.callTimes = append(m.store.callTimes, m.now)
		m.store.callKinds = append(m.store.callKinds, reflect.TypeOf(effect).Name())
		m.callStore(node, effect)
	}
}

// watched makes a result that of the watch which a node has in flight.
func (m *sim) watched(node string, result StoreRead) StoreRead {
	result.Watch, result.After = true, m.nodes[node].config.reader.watchedAfter
	return result
}

func (m *sim) read() StoreRead {
	p := &m.store
	switch {
	case p.down:
		return StoreRead{Result: StoreUnknown}
	case p.stale:
		return StoreRead{Result: StoreOK, Document: p.previous, Revision: p.revision - 1}
	case p.revision == 0:
		return StoreRead{Result: StoreAbsent}
	}
	return StoreRead{Result: StoreOK, Document: p.doc, Revision: p.revision}
}

func (m *sim) callStore(node string, effect Effect) {
	const answerDelay = 2 * time.Millisecond
	p := &m.store
	switch e := effect.(type) {
	case ReadStore:
		p.historyLost = false
		m.schedule(answerDelay, node, m.read())
	case WatchStore:
		switch {
		case p.historyLost:
			m.schedule(answerDelay, node, m.watched(node, StoreRead{Result: StoreHistoryGone}))
		case p.down || p.revision > e.After.Number:
			m.schedule(answerDelay, node, m.watched(node, m.read()))
		default:
			p.lastWatch++
			p.watches[node] = p.lastWatch
			heap.Push(&m.queue, simEvent{at: m.now + 10*time.Second, seq: m.seq, node: node, watch: p.lastWatch})
		}
	default:
		m.schedule(answerDelay, node, m.answerLeaseCall(effect))
	}
}

// answerLeaseCall returns the result of a call for leases or entries of nodes.
func (m *sim) answerLeaseCall(effect Effect) Input {
	p := &m.store
	result := StoreOK
	if p.down {
		result = StoreUnknown
	}
	held := func(id uint64) *simLease {
		if l := p.leases[id]; l != nil && l.expires > m.now {
			return l
		}
		if !p.down {
			result = StoreNoLease
		}
		return nil
	}
	switch e := effect.(type) {
	case GrantLease:
		if !p.down {
			p.lastLease++
			p.leases[p.lastLease] = &simLease{expires: m.now + e.TTL}
		}
		return LeaseGranted{Result: result, Lease: p.lastLease}
	case RenewLease:
		if l := held(e.Lease); l != nil && !p.down {
			l.expires = m.now + nodeLeaseTTL
		}
		return LeaseRenewed{Result: result, Lease: e.Lease}
	case AnnounceNode:
		if l := held(e.Lease); l != nil && !p.down {
			l.entry = e.Entry
		}
		return NodeAnnounced{Result: result, Lease: e.Lease}
	default:
		return NodesListed{Result: result, Nodes: m.entries()}
	}
}

// entries returns the unexpired entries by node, because the nodes write them at random times.
func (m *sim) entries() []NodeEntry {
	var entries []NodeEntry
	for id := uint64(1); id <= m.store.lastLease; id++ {
		if l := m.store.leases[id]; l != nil && l.expires > m.now && l.entry.Node != "" {
			entries = append(entries, l.entry)
		}
	}
	slices.SortFunc(entries, func(a, b NodeEntry) int { return strings.Compare(string(a.Node), string(b.Node)) })
	return entries
}

// put writes a new version and answers the open watches, except those of silent zones.
func (m *sim) put(version uint64, routes string) {
	p := &m.store
	p.previous, p.doc = p.doc, simDocument(version, routes)
	p.revision++
	for _, node := range slices.Sorted(maps.Keys(p.watches)) {
		if !m.silentZones[m.nodes[node].cfg.Zone] {
			m.schedule(time.Millisecond, node, m.watched(node, m.read()))
			delete(p.watches, node)
		}
	}
}

// cutWatches ends all open watches without an answer of the store.
func (m *sim) cutWatches() {
	for _, node := range slices.Sorted(maps.Keys(m.store.watches)) {
		m.schedule(time.Millisecond, node, m.watched(node, StoreRead{Result: StoreUnknown}))
	}
	clear(m.store.watches)
}

// simDocument returns a document with the given routes and 20 pools.
func simDocument(version uint64, routes string) tables.Document {
	pools := ""
	for i := range 20 { // enough text for a delta to be smaller than the document
		pools += fmt.Sprintf("[pool p%d]\nservice = s%d\n", i, i)
	}
	return tables.Document{Version: version, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
}

// status returns the version, readiness and refusals of a node as text.
func (m *sim) status(id string) string {
	s := m.nodes[id].status()
	return fmt.Sprintf("%s version=%d ready=%v refusals=%+v", id, s.Version.Number, s.Ready, s.Refusals)
}
