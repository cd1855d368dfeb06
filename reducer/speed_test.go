package reducer

import (
	"testing"
	"time"
)

// newSpeedIngress returns an ingress whose pool has the given line. u0 is three times as fast as the others, all have free
// slots and have reported it often.
func newSpeedIngress(t *testing.T, line string) *testIngress {
	d := newTestIngress(t)
	d.state.config.active = testSnapshot(t, "[route r]\npool = p\nidempotent = yes\npriority = 3\n", "[pool p]\nservice = s\nramp = 0s\n"+line)
	for range 32 {
		d.reportSpeeds()
	}
	return d
}

func (d *testIngress) reportSpeeds() {
	d.state.servingUpstreams("s")
	for i := range 4 {
		report := LoadReport{Slots: 4, ServiceTime: 30 * time.Millisecond}
		if i == 0 {
			report.ServiceTime = 10 * time.Millisecond
		}
		load := d.state.loadOf(testNode(i))
		load.report, load.reportedAt, load.hasReport, load.sentSinceReport = report, d.now, true, 0
		load.observePace(&report)
	}
}

// callsToFast returns how many of 400 calls go to u0. Each is answered at once.
func (d *testIngress) callsToFast() (count int) {
	for range 400 {
		f, _ := d.call(CallArrived{RetriesLeft: -1})
		if f.To.Node == testNode(0) {
			count++
		}
		d.answer(f, ForwardDone{Outcome: OutcomeDone, Status: 200, Load: d.state.loadOf(f.To.Node).report})
	}
	return count
}

// Guards against calls that go to a slow upstream as often as to a fast one while both have free slots, and against a choice
// by speed in a pool that does not ask for it: u0 is in half of all pairs of four upstreams, and wins each of them only by
// its speed. Four upstreams are too few to enable it by what was learned.
func TestPoolKeyEnablesChoiceBySpeed(t *testing.T) {
	for line, want := range map[string][2]int{"balance = speed": {170, 240}, "balance = slots": {70, 130}, "": {70, 130}} {
		if got := newSpeedIngress(t, line).callsToFast(); got < want[0] || got > want[1] {
			t.Errorf("pool with %q: %d of 400 calls went to the fast upstream, expected %d to %d", line, got, want[0], want[1])
		}
	}
}

// Guards against the speed of a backend server that is trusted after a restart, and against an unknown speed that attracts
// calls.
func TestRestartedUpstreamCountsAsTypical(t *testing.T) {
	d := newSpeedIngress(t, "balance = speed")
	d.callsToFast()
	m := d.state.members.table[testNode(0)]
	m.Incarnation = 2
	d.reduce(PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}})
	d.state.servingUpstreams("s")
	if _, known := d.state.loadOf(m.Node).pace.Service(3); known {
		t.Fatal("the speed of the earlier incarnation is still used")
	}
	pool, _ := d.state.config.active.Pool("p")
	c := d.state.criteriaFor(pool, 3)
	for _, u := range d.state.servingUpstreams("s") {
		if u.Node == m.Node && d.state.choiceCost(u, c) < c.speed.Typical(3) {
			t.Errorf("an upstream of unknown speed costs %v, below the typical service time %v", d.state.choiceCost(u, c), c.speed.Typical(3))
		}
	}
}

// Guards against a choice by speed that is not enabled by what load reports say, or among upstreams that are equally fast.
func TestLearnedSpeedsEnableChoiceBySpeed(t *testing.T) {
	for _, speeds := range [][]time.Duration{{60, 100, 160}, {100, 100, 100}} {
		s := newLargeNode(largeSnapshot(t), 0)
		serving := s.servingUpstreams("s")
		for i, u := range serving[:24] {
			for range 16 {
				u.load.observePace(&LoadReport{ServiceTime: speeds[i%len(speeds)] * time.Millisecond})
			}
		}
		pool, _ := s.config.active.Pool("p")
		if got, want := s.criteriaFor(pool, 0).speed != nil, speeds[0] != speeds[1]; got != want {
			t.Errorf("service times %v ms: choice by speed is %v, expected %v", speeds, got, want)
		}
	}
}
