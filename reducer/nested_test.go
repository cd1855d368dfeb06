package reducer

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/nested"
)

// Guards against a route that stays held back when the nodes that reported it fall silent.
func TestWithheldRouteIsAdmittedWhenReportsStop(t *testing.T) {
	s := New(testTables(t, nestedRoutes, nestedPools))
	call := &ingressCall{}
	call.route.Name = "check"
	s.now = time.Second
	s.learnFromReport(call, &LoadReport{Withheld: 80})
	if share := s.admittedShare("check"); share < 0.199 || share > 0.201 {
		t.Errorf("%.2f are admitted after a report of 80%%", share)
	}
	s.now += withheldTTL + 1
	if share := s.admittedShare("check"); share != 1 {
		t.Errorf("%.2f are admitted without reports, expected all", share)
	}
}

// Guards against nested calls that take all slots for good while other calls wait, and against ones that wait behind calls
// that have not begun.
func TestNestedCallsGoFirstWithinTheirShare(t *testing.T) {
	pool := testSnapshot(t, "[route r]\npool = p\n", "[pool p]\nservice = s\nmin_share.7 = 40\n")
	p, _ := pool.Pool("p")
	var q priorityQueue
	q.init()
	const slots, cost = 4, 10 * time.Millisecond
	q.service.add("r", cost, 0)
	started := [2]int{}
	for now := time.Duration(0); now < 10*time.Second; now += cost {
		for range slots {
			q.push(&targetCall{route: "r", nested: true, due: now + time.Second})
			q.push(&targetCall{route: "r"})
		}
		for range slots {
			call := q.pop(now, slots, p)
			if call.nested {
				started[0]++
			} else {
				started[1]++
			}
			q.accountStart(call, slots, p)
			q.accountEnd(call, BackendRequestDone{Elapsed: cost}, slots, p)
		}
	}
	if share := 100 * started[0] / (started[0] + started[1]); share < 55 || share > 65 {
		t.Errorf("nested calls take %d in 100 of the slots, expected what the minimum share of 40 leaves", share)
	}
}

// Guards against an ordinary call, or one that arrives while nothing runs, that counts as nested.
func TestOnlyLearnedRoutesAreNested(t *testing.T) {
	s := New(testTables(t, nestedRoutes, nestedPools))
	isNested := func() bool {
		call := &ingressCall{due: time.Second, limits: CallLimits{Depth: 1}}
		call.route.Name = "status"
		s.noteNested(call)
		return call.nested
	}
	if isNested() {
		t.Error("a route counts as nested before anything is learned")
	}
	call := &ingressCall{}
	call.route.Name = "status"
	s.learnFromReport(call, &LoadReport{RouteNested: nested.Nested})
	if !isNested() {
		t.Error("a route that its target has learned does not count as nested")
	}
	for range 20 {
		isNested()
	}
	if isNested() {
		t.Error("a route whose calls arrive while nothing runs counts as nested")
	}
}

// Guards against the ejection of backend servers because the calls that they make fail elsewhere: the others would get their
// load as well.
func TestServersAreNotEjectedForTheirNestedCalls(t *testing.T) {
	failed := ForwardDone{Result: ForwardAnswered, Outcome: OutcomeDone, Status: 500}
	if got := classifyForward(failed); got != resultFailure {
		t.Errorf("a response with 500 counts as %d", got)
	}
	failed.Load.Withheld = 20
	if got := classifyForward(failed); got != resultNone {
		t.Errorf("a response with 500 of a server whose nested calls fail counts as %d", got)
	}
}

// Guards against requests that are held back because a backend server sheds a part of the calls that it could run, or because it
// cannot be reached: it would serve no more of them.
func TestOnlyOverloadHoldsRequestsBack(t *testing.T) {
	for reason, heldBack := range map[Reason]bool{
		ReasonDeadline: true, ReasonQueueFull: true, ReasonNestedFailing: true,
		ReasonShed: false, ReasonPeerUnreachable: false, ReasonBackendFailed: false, ReasonUnknownKey: false,
	} {
		s := New(testTables(t, nestedRoutes, nestedPools))
		s.now = time.Second
		call := &ingressCall{nested: true, madeBy: []nested.Share{{Name: "check", Value: 1}}, deadline: 2 * time.Second}
		for range 100 {
			s.noteNestedEnd(call, OutcomeNotRun, reason)
		}
		s.now += 200 * time.Millisecond
		if admitted := s.nested.holdback.Admitted(s.now, "check"); (admitted < 1) != heldBack {
			t.Errorf("%.2f are admitted after failures with %v", admitted, reason)
		}
	}
}

// Guards against a holdback because of faulty upstreams, and against refusals at each level of a call tree: both together made
// nearly all trees fail while a third of the upstreams were faulty.
func TestOnlyLoadHoldsRequestsBack(t *testing.T) {
	s := New(testTables(t, nestedRoutes, nestedPools))
	end := func(outcome Outcome, reason Reason, failedBelow bool) float64 {
		for range 20 {
			call := &ingressCall{nested: true, failedBelow: failedBelow, madeBy: []nested.Share{{Name: "check", Value: 1}}}
			s.noteNestedEnd(call, outcome, reason)
		}
		s.now += 110 * time.Millisecond
		return s.nested.holdback.Admitted(s.now, "check")
	}
	if share := end(OutcomeUnknown, ReasonBackendFailed, false); share < 1 {
		t.Errorf("%.2f are admitted after failures of the backend server, expected all", share)
	}
	if share := end(OutcomeNotRun, ReasonDeadline, false); share == 1 {
		t.Error("nothing is held back after refusals under load")
	}
	s.now += 10 * time.Second
	if share := end(OutcomeDone, ReasonNone, true); share == 1 {
		t.Error("nothing is held back after responses that failed by calls further down")
	}
	for range 100 {
		if s.isWithheldHere(&targetCall{route: "check", nested: true}) {
			t.Fatal("a nested call is held back")
		}
	}
}
