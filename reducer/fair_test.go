package reducer

import (
	"testing"
	"time"
)

// newFairState returns the state of a node with workspaces, whose only target has stopped answering.
func newFairState(t *testing.T) *State {
	t.Helper()
	routes, pools := fairTables()
	cfg := testTables(t, "", "")
	cfg.Tables = testSnapshot(t, routes, pools)
	return New(cfg)
}

// newFairCall returns a call of a workspace whose caller allows the given time.
func newFairCall(s *State, priority int, timeout time.Duration) *ingressCall {
	call := &ingressCall{workspace: "w0", arrivedAt: s.now, deadline: s.now + timeout}
	call.route.Pool, call.route.Priority, call.route.Timeout = "p", priority, 3*time.Second
	return call
}

// Guards against early refusals of a workspace by answers that have become too old, such as those of a target that stopped.
func TestWorkspaceIsNotRefusedByOldAnswers(t *testing.T) {
	s := newFairState(t)
	s.now = time.Second
	call := newFairCall(s, 3, 3*time.Second)
	s.noteWorkspaceWait(call, &LoadReport{WorkspaceWait: time.Minute})
	refused := 0
	for range 100 {
		if s.shouldRefuseEarly(call) {
			refused++
		}
	}
	if refused < 80 || refused == 100 {
		t.Errorf("%d of 100 calls are refused after an answer with a wait of a minute, expected most and a few probes", refused)
	}
	s.now += earlyReportMaxAge + 1
	call = newFairCall(s, 3, 3*time.Second)
	for range 100 {
		if s.shouldRefuseEarly(call) {
			t.Fatal("a call is refused by an old answer")
		}
	}
}

// Guards against refused callers that return at one time, and against an urgent one, or one that has waited long, that is
// told to wait longer than the others.
func TestRetryAfterIsSpreadByUrgency(t *testing.T) {
	s := newFairState(t)
	s.now = time.Second
	mean := func(priority int, timeout, wait time.Duration) time.Duration {
		s.noteWorkspaceWait(newFairCall(s, priority, timeout), &LoadReport{WorkspaceWait: wait})
		s.now += earlyReportMaxAge + 1 // the next wait replaces this one
		sum, hints := time.Duration(0), map[time.Duration]bool{}
		for range 200 {
			hint := s.retryAfter(newFairCall(s, priority, timeout), OutcomeNotRun, ReasonQueueFull)
			if hint < minRetryAfter || hint > timeout/retryAfterDivisor {
				t.Errorf("Retry-After is %v with %v left", hint, timeout)
			}
			sum, hints[hint] = sum+hint, true
		}
		if len(hints) < 100 {
			t.Errorf("200 refused calls get %d different hints", len(hints))
		}
		return sum / 200
	}
	for _, wait := range []time.Duration{0, time.Minute} {
		urgent, usual, waited := mean(0, 3*time.Second, wait), mean(5, 3*time.Second, wait), mean(5, 1500*time.Millisecond, wait)
		t.Logf("wait %v: mean Retry-After of priority 0 %v, of priority 5 %v, after 1.5 s %v", wait, urgent, usual, waited)
		if urgent >= usual || waited >= usual {
			t.Error("urgent callers, or those that have waited, are told to wait longer")
		}
	}
}
