package reducer

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Guards against a route that this release cannot serve and that stops the other routes, whose requests run or fall to a
// route with a shorter path, and against an operator who does not see it.
func TestUnsupportedRouteIsRefusedAndSeen(t *testing.T) {
	const pools = "[pool p]\nservice = s\nramp = 0s\n"
	s := New(Config{Self: "n", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), Tables: testSnapshot(t, "", pools)})
	const routes = "[route all]\npool = p\n[route odd]\npath = /odd\nunsupported = kind is \"mirror\"\n"
	document := tables.Document{Version: 2, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
	s.startCheck(&candidate{id: document.ID(), document: document, fromStore: true})
	logged := 0
	for _, effect := range Reduce(s, Event{Now: time.Second, Input: CheckTables{Document: document}.Run()}) {
		if line, ok := effect.(Log); ok && line.Message == "route is not supported, its requests are refused" {
			logged++
		}
	}
	if unsupported := s.status().Unsupported; logged != 1 || len(unsupported) != 1 || unsupported[0].Name != "odd" {
		t.Errorf("logged %d times, status has %v, expected once and route odd", logged, unsupported)
	}
	Reduce(s, Event{Now: time.Second, Input: testRegistration(map[string]string{"slots": "1"})})
	for path, want := range map[string]Reason{"/odd/7": ReasonUnsupportedRoute, "/even": ReasonNone} {
		reason, started := ReasonNone, false
		for _, effect := range Reduce(s, Event{Now: time.Second, Input: CallArrived{Call: 9, Method: "GET", Path: path, RetriesLeft: -1}}) {
			switch e := effect.(type) {
			case FailCall:
				reason = e.Reason
				if e.Outcome != OutcomeNotRun {
					t.Errorf("%s: outcome %v, expected not_run", path, e.Outcome)
				}
			case StartBackendRequest:
				started = true
			}
		}
		if reason != want || started != (want == ReasonNone) {
			t.Errorf("%s: reason %v, started %v", path, reason, started)
		}
	}
}
