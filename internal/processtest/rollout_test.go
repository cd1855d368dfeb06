package processtest

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
)

// rollOutSeedsVariable requests all cases with this many seeds each, instead of the cases of CI.
const rollOutSeedsVariable = "ROLLOUT_SEEDS"

// rollOutSeed is a case with a seed.
type rollOutSeed struct {
	rollOutCase
	seed uint64
}

// ciRollOuts are the cases that run without rollOutSeedsVariable. With -short only the first two run.
var ciRollOuts = []rollOutSeed{
	{rollOutCase{"good", "node-restarted"}, 3},
	{rollOutCase{"fails-later", "decider-killed"}, 1},
	{rollOutCase{"good", "platform-silent"}, 2},
	{rollOutCase{"fails-load", "none"}, 5},
}

// failedRollOuts are cases that have failed, each with the cause. They run without -short.
var failedRollOuts = []rollOutSeed{
	// The halt was decided during the outage and forgotten when the same node acquired the next lease.
	{rollOutCase{"slow-later", "platform-silent"}, 1},
}

// Guards against a bad version that is not rolled back or gets more than its share, and a good one that is not rolled out
// or loses requests, with real processes and the faults of rollOutFaults.
func TestRollOuts(t *testing.T) {
	t.Parallel()
	var table rollOutTable
	t.Cleanup(func() { t.Logf("figures:\n%v", &table) })
	if seeds, _ := strconv.Atoi(os.Getenv(rollOutSeedsVariable)); seeds > 0 {
		for seed := range uint64(seeds) {
			for _, c := range allRollOuts() {
				runRollOut(t, &table, c, seed+1)
			}
		}
		return
	}
	cases := ciRollOuts[:2]
	if !testing.Short() {
		cases = slices.Concat(ciRollOuts, failedRollOuts)
	}
	for _, c := range cases {
		runRollOut(t, &table, c.rollOutCase, c.seed)
	}
}

// Guards against a version that is bad under load and gets all requests without a verdict while no node decides. Listed in
// KNOWN-RED.txt.
func TestRollOutDeciderKilledInGuardedStep(t *testing.T) {
	var table rollOutTable
	runRollOut(t, &table, rollOutCase{"fails-load", guardedKillFault}, 8)
}

// allRollOuts returns each defect with each fault. Faults of nodes and zones are combined with good versions only.
func allRollOuts() []rollOutCase {
	var cases []rollOutCase
	for _, defect := range slices.Sorted(maps.Keys(rollOutDefects)) {
		for _, fault := range slices.Sorted(maps.Keys(rollOutFaults)) {
			if fault != guardedKillFault && (defect == "good" || fault != zoneCutFault && fault != "node-restarted") {
				cases = append(cases, rollOutCase{defect, fault})
			}
		}
	}
	return cases
}

func runRollOut(t *testing.T, table *rollOutTable, c rollOutCase, seed uint64) {
	t.Run(fmt.Sprintf("%v/%d", c, seed), func(t *testing.T) {
		var r *rollOutRun
		startClusterOf(t, func(programs, directory string) (*Cluster, error) {
			var err error
			if r, err = newRollOutRun(programs, directory, c, seed); err != nil {
				return nil, err
			}
			t.Cleanup(r.partition.Close)
			return r.Cluster, nil
		}, nil)
		requireNoError(t, r.run(t.Context(), seed))
		t.Logf("%v, seed %d, order of %v: %v", c, seed, r.observed.duration, r.observed.measure())
		table.add(c, r.observed.measure())
		reportViolations(t, r.observed.violations())
	})
}

// reportViolations reports the first 20 violations.
func reportViolations(t *testing.T, violations []string) {
	t.Helper()
	for i, violation := range violations {
		if i == 20 {
			t.Errorf("and %d more", len(violations)-i)
			return
		}
		t.Error(violation)
	}
}

// Guards against checks that overlook what they are for: each change to the observation of a correct roll-out must be found.
func TestRollOutChecksFindViolations(t *testing.T) {
	start := time.Unix(1000, 0)
	after := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	run := func(id string, from, to float64, bad bool) backend.Execution {
		end := after(to)
		return backend.Execution{ID: id, Started: after(from), Finished: &end, Bad: bad}
	}
	observe := func(state string) *rollOutObservation {
		o := &rollOutObservation{isGood: state == "succeeded", ordered: start, duration: 12 * time.Second}
		o.statuses = []rollOutStatus{{platform.RolloutStatus{State: "running"}, after(0.1)}, {platform.RolloutStatus{State: state}, after(11)}}
		o.old = []backend.Execution{run("a", 1, 1.1, false)}
		o.new = []backend.Execution{run("b", 2, 2.1, false)}
		for _, id := range []string{"a", "b"} {
			o.report.Calls = append(o.report.Calls, load.Call{ID: id, Due: after(1), Outcome: load.OutcomeDone, Status: 200})
		}
		return o
	}
	for name, c := range map[string]struct {
		state  string
		change func(*rollOutObservation)
		wanted int
	}{
		"correct success":         {"succeeded", func(*rollOutObservation) {}, 0},
		"correct roll-back":       {"rolled_back", func(*rollOutObservation) {}, 0},
		"no end":                  {"succeeded", func(o *rollOutObservation) { o.statuses = o.statuses[:1] }, 1},
		"wrong end":               {"succeeded", func(o *rollOutObservation) { o.isGood = false }, 1},
		"late end":                {"succeeded", func(o *rollOutObservation) { o.statuses[1].at = after(12.1) }, 1},
		"late after an outage":    {"succeeded", func(o *rollOutObservation) { o.statuses[1].at, o.outage = after(15.9), window{after(1), after(5)} }, 0},
		"new version too early":   {"succeeded", func(o *rollOutObservation) { o.new = append(o.new, run("a", -1, 0, false)) }, 2},
		"old version too late":    {"succeeded", func(o *rollOutObservation) { o.old = append(o.old, run("c", 11.1, 11.2, false)) }, 1},
		"old version in progress": {"succeeded", func(o *rollOutObservation) { o.old = append(o.old, run("c", 10.9, 11.1, false)) }, 1},
		"new version too late":    {"rolled_back", func(o *rollOutObservation) { o.new = append(o.new, run("c", 11.6, 11.7, false)) }, 1},
		"exposure": {"rolled_back", func(o *rollOutObservation) {
			for i := range 56 {
				o.new = append(o.new, run(fmt.Sprint("c", i), 3, 3.1, false))
			}
		}, 1},
		"too late after the 50th": {"rolled_back", func(o *rollOutObservation) {
			for i := range 50 {
				o.new = append(o.new, run(fmt.Sprint("c", i), 3, 3.1, true))
			}
			o.new = append(o.new, run("d", 8.2, 8.3, false))
		}, 1},
		"outage after the 50th": {"rolled_back", func(o *rollOutObservation) {
			for i := range 50 {
				o.new = append(o.new, run(fmt.Sprint("c", i), 3, 3.1, true))
			}
			o.new, o.outage = append(o.new, run("d", 10.9, 11, false)), window{after(4), after(6)}
		}, 0},
		"false not_run": {"succeeded", func(o *rollOutObservation) {
			o.report.Calls[0].Outcome, o.restarts = load.OutcomeNotRun, []window{{start, after(2)}}
		}, 1},
		"refused in a restart": {"succeeded", func(o *rollOutObservation) {
			o.report.Calls = append(o.report.Calls, load.Call{ID: "c", Due: after(1), Outcome: load.OutcomeNotRun})
			o.restarts = []window{{start, after(2)}}
		}, 0},
		"refused": {"succeeded", func(o *rollOutObservation) {
			o.report.Calls = append(o.report.Calls, load.Call{ID: "c", Due: after(1), Outcome: load.OutcomeNotRun})
		}, 1},
		"lost":              {"succeeded", func(o *rollOutObservation) { o.report.Calls[0].Outcome = load.OutcomeLost }, 1},
		"failure of a good": {"succeeded", func(o *rollOutObservation) { o.report.Calls[0].Status = 500 }, 1},
	} {
		o := observe(c.state)
		c.change(o)
		if found := o.violations(); len(found) != c.wanted {
			t.Errorf("%s: found %q, expected %d violations", name, found, c.wanted)
		}
	}
}
