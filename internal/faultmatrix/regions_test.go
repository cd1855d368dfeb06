package faultmatrix

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const (
	// maxFailoverTime is the time after which a failed upstream gets no more calls (I7 and section 5 of the design).
	maxFailoverTime = 3 * time.Second
	// maxFirstKeyTime is the time after which a first request with a key of a failed upstream may run elsewhere
	// (section 6.3). Lost zones are looked for every 500 ms (section 5).
	maxFirstKeyTime = maxFailoverTime + 500*time.Millisecond + 5*time.Second
	regionSeeds     = 20
)

// Guards against regions that stop serving during a partition, and against regions that 7 s after its end differ in the
// version or the members, or do not have the newest version.
func TestRegionsMeetAgain(t *testing.T) {
	t.Logf("seeds 1 to %d", regionSeeds)
	scenario := regionsScenario
	for seed := uint64(1); seed <= regionSeeds; seed++ {
		w := newWorld(seed, scenario)
		begin := w.Now
		scenario.Begin(w)
		w.Run(begin + partitionLength - time.Millisecond)
		for _, n := range w.Nodes() {
			want := uint64(4)
			if n.Zone == farRegion[0] || n.Zone == farRegion[1] {
				want = 1
			}
			if got := n.State.Snapshot().ID().Number; n.Up && got != want {
				t.Errorf("seed %d: %s has version %d before the end of the partition, expected %d", seed, n.ID, got, want)
			}
		}
		w.Run(begin + partitionLength + convergenceTarget)
		for _, violation := range w.CheckInvariants() {
			t.Errorf("seed %d: %v", seed, violation)
		}
		expectServed(t, seed, w)
		expectSameMembers(t, seed, w)
	}
}

// expectServed checks that each region served its requests with its own upstreams, except those sent shortly after the
// start of the partition or the death of an upstream.
func expectServed(t *testing.T, seed uint64, w *pump.World) {
	t.Helper()
	outcomes := map[string]reducer.Outcome{}
	for _, answer := range w.History.Answers {
		outcomes[answer.Request.ID] = answer.Outcome
	}
	repeats := 0 // answered done during or after the partition
	for at := time.Duration(0); at < partitionLength; at += roundInterval {
		since := at // time since the start of the partition or the last death
		for _, event := range []time.Duration{nearKilledAt, farRestartedAt, farKilledAt} {
			if at >= event {
				since = at - event
			}
		}
		served := map[string]time.Duration{
			fmt.Sprint("near-", at): maxFailoverTime, fmt.Sprint("far-", at): maxFailoverTime,
		}
		for i := range 2 * keysPerDirection {
			served[fmt.Sprint("key", i, "-", at, "-first")] = maxFirstKeyTime
		}
		for id, bound := range served {
			if outcome := outcomes[id]; since >= bound && outcome != reducer.OutcomeDone {
				t.Errorf("seed %d: request %s was answered %v %v after a fault", seed, id, outcome, since)
			}
		}
	}
	for id, outcome := range outcomes {
		if strings.Contains(id, "-repeat-") && outcome == reducer.OutcomeDone {
			repeats++
		}
	}
	t.Logf("seed %d: %d answers, %d repeats of keys done", seed, len(outcomes), repeats)
	if repeats == 0 {
		t.Errorf("seed %d: no repeat of a key was done", seed)
	}
}

// expectSameMembers checks that all running nodes know all nodes as members and consider exactly the running ones
// alive.
func expectSameMembers(t *testing.T, seed uint64, w *pump.World) {
	t.Helper()
	for _, n := range w.Nodes() {
		if !n.Up {
			continue
		}
		members := n.Status().Members
		if len(members) != len(w.Nodes()) {
			t.Errorf("seed %d: %s knows %d members, expected %d", seed, n.ID, len(members), len(w.Nodes()))
		}
		for _, m := range members {
			if inUse := m.State == reducer.MemberAlive; inUse != w.Node(m.Node).Up {
				t.Errorf("seed %d: %s considers %s %v, expected up %v", seed, n.ID, m.Node, m.State, !inUse)
			}
		}
	}
}
