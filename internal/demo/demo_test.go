package main

import (
	"errors"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/operator"
)

// Guards against a demo that succeeds although a promise was broken.
func TestEachBrokenPromiseIsReported(t *testing.T) {
	outcomes := func(name string) load.Report {
		return load.Report{Routes: []load.RouteReport{{Outcomes: map[string]int{load.OutcomeDone: 1, name: 1}}}}
	}
	good := outcomes(load.OutcomeUnknown)
	if got := (observation{report: good}).brokenPromises(); len(got) > 0 {
		t.Errorf("broken are %v, expected none: unknown is an allowed outcome", got)
	}
	for want, seen := range map[string]observation{
		"active everywhere": {report: good, activations: []activation{{2, activationLimit + 1}}},
		"planned stop":      {report: good, stopErr: errors.New("exit status 1")},
		"run twice":         {report: good, verdict: load.Verdict{RunTwice: []string{"a"}}},
		"not executed":      {report: good, verdict: load.Verdict{DoneNotExecuted: []string{"a"}}},
		"false not_run":     {report: good, verdict: load.Verdict{NotRunExecuted: []string{"a"}}},
		"answers lost":      {report: outcomes(load.OutcomeLost)},
		"crossed":           {report: outcomes(load.OutcomeCrossed)},
		"no call":           {},
	} {
		if got := seen.brokenPromises(); len(got) != 1 || !strings.Contains(got[0], want) {
			t.Errorf("broken are %v, expected one with %q", got, want)
		}
	}
}

// Guards against demo tables that nodes reject and edits that do not change both tables.
func TestTablesOfTheDemoAreValid(t *testing.T) {
	for edit := range 3 {
		routes, pools := formatTables(edit)
		if faults := operator.CheckTables(routes, pools, "routes", "pools"); len(faults) > 0 {
			t.Errorf("edit %d: %v", edit, faults)
		}
		nextRoutes, nextPools := formatTables(edit + 1)
		if routes == nextRoutes || pools == nextPools {
			t.Errorf("edit %d does not change both tables", edit+1)
		}
	}
}
