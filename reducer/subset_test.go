package reducer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Sizes of a zone of the large site: nodes, of which so many have an upstream of the service.
const (
	largeZones         = 6
	largeNodesPerZone  = 49
	largeUpstreamsZone = 37
)

func largeNode(zone, i int) NodeID { return NodeID(fmt.Sprintf("z%d-%02d", zone, i)) }

// newLargeNode returns a node of the first zone that knows all members of the large site. Upstreams are interleaved with
// nodes of another service.
func newLargeNode(snapshot *tables.Snapshot, i int) *State {
	s := New(Config{Self: largeNode(0, i), Zone: "z0", Incarnation: 1, Limits: DefaultLimits(), Tables: snapshot})
	for zone := range largeZones {
		for n := range largeNodesPerZone {
			m := Member{Node: largeNode(zone, n), Zone: fmt.Sprint("z", zone), Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, State: MemberAlive}
			m.Upstream = Upstream{Service: "other", Slots: 5, State: UpstreamReady}
			if n*largeUpstreamsZone/largeNodesPerZone != (n+1)*largeUpstreamsZone/largeNodesPerZone {
				m.Upstream.Service = "s"
			}
			s.mergeMember(m)
		}
	}
	return s
}

func largeSnapshot(t *testing.T) *tables.Snapshot {
	return testSnapshot(t, "[route r]\npool = p\nidempotent = yes\n", "[pool p]\nservice = s\nramp = 0s\n")
}

// callLarge sends calls that are answered at once and returns the number sent to each upstream.
func callLarge(s *State, calls int, random *rand.Rand) map[NodeID]int {
	sent := map[NodeID]int{}
	for i := range calls {
		now := time.Hour + time.Duration(i)*5*time.Millisecond // no peer is suspected yet
		for _, effect := range Reduce(s, Event{Now: now, Rand: random.Uint64(), Input: CallArrived{Call: Handle(i + 1), Method: "GET", Path: "/", RetriesLeft: -1}}) {
			if f, ok := effect.(Forward); ok {
				sent[f.To.Node]++
				done := ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: OutcomeDone, Status: 200}
				done.Load = s.loadOf(f.To.Node).report
				Reduce(s, Event{Now: now, Input: done})
			}
		}
	}
	return sent
}

// Guards against a node that opens a connection for nearly each call because it spreads 20 calls a second over all
// upstreams of its zone, and against upstreams that more nodes prefer than others.
func TestNodesCallFewUpstreamsEvenly(t *testing.T) {
	t.Logf("seed %d", testSeed)
	random := rand.New(rand.NewPCG(testSeed, 1))
	snapshot := largeSnapshot(t)
	received := map[NodeID]int{}
	const calls = 120
	for i := range largeNodesPerZone {
		s := newLargeNode(snapshot, i)
		sent := callLarge(s, calls, random)
		if len(sent) > subsetSize+1 {
			t.Errorf("node %d calls %d upstreams, expected at most %d", i, len(sent), subsetSize+1)
		}
		for node, n := range sent {
			received[node] += n
		}
	}
	mean := float64(calls*largeNodesPerZone) / largeUpstreamsZone
	for node, n := range received {
		if float64(n) > 1.5*mean || float64(n) < mean/2 {
			t.Errorf("%s got %d calls, the mean is %.0f", node, n, mean)
		}
	}
	if len(received) != largeUpstreamsZone {
		t.Errorf("%d upstreams got calls, expected all %d of the zone", len(received), largeUpstreamsZone)
	}
}

// Guards against calls that wait at the busy upstreams of a node's subset although others of its zone are free.
func TestBusySubsetIsLeft(t *testing.T) {
	s := newLargeNode(largeSnapshot(t), 7)
	random := rand.New(rand.NewPCG(testSeed, 2))
	busy := map[NodeID]bool{}
	for _, u := range s.servingUpstreams("s") {
		if u.preferred {
			busy[u.Node] = true
		}
	}
	outside := 0
	const calls = 100
	for i := range calls {
		for node := range busy {
			load := s.loadOf(node)
			load.report, load.reportedAt, load.hasReport = busyReport(300*time.Millisecond), time.Hour+time.Duration(i)*time.Millisecond, true
		}
		for node, n := range callLarge(s, 1, random) {
			if !busy[node] {
				outside += n
			}
		}
	}
	if outside < calls*9/10 {
		t.Errorf("%d of %d calls left the busy subset", outside, calls)
	}
}
