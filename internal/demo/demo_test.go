package main

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
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

// Guards against a demo that succeeds although a download, the split or the pipelined connection did not show what it should.
func TestEachFeatureThatIsNotSeenIsReported(t *testing.T) {
	content := backend.DownloadContent(downloadBytes)
	ordered := func(paths ...int) (bodies []string) {
		for _, i := range paths {
			bodies = append(bodies, "id "+pipelinedPath(i)+" ")
		}
		return bodies
	}
	for name, c := range map[string]struct {
		feature feature
		fault   string
	}{
		"download":           {judgeDownload(content, 200*time.Millisecond, time.Second), ""},
		"download as whole":  {judgeDownload(content, 990*time.Millisecond, time.Second), "forwarded while"},
		"changed download":   {judgeDownload(append(content[1:], 0), 0, time.Second), "not what"},
		"cut download":       {judgeDownload(content[:downloadBytes/2], 0, time.Second), "not what"},
		"split":              {judgeSplit(map[string]int{"stitchroom": 470, "cuttable": 130}), ""},
		"uneven split":       {judgeSplit(map[string]int{"stitchroom": 460, "cuttable": 140}), "share of"},
		"split with losses":  {judgeSplit(map[string]int{"stitchroom": 480, "cuttable": 119, "none": 1}), "1 calls"},
		"pipeline":           {judgePipeline(ordered(0, 1, 2, 3), 300*time.Millisecond), ""},
		"pipeline in turn":   {judgePipeline(ordered(0, 1, 2, 3), pipelinedCalls*pipelinedTime), "one after the other"},
		"pipeline unordered": {judgePipeline(ordered(0, 2, 1, 3), 0), "order"},
	} {
		if got := c.feature.fault; (got == "") != (c.fault == "") || !strings.Contains(got, c.fault) {
			t.Errorf("%s: fault is %q, expected one with %q", name, got, c.fault)
		}
		broken := (observation{report: load.Report{Routes: []load.RouteReport{{Outcomes: map[string]int{load.OutcomeDone: 1}}}}, features: []feature{c.feature}}).brokenPromises()
		if (len(broken) > 0) != (c.fault != "") {
			t.Errorf("%s: broken are %v", name, broken)
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
