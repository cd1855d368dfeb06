package reducer

import (
	"testing"
	"time"
)

// Guards against a leaving node that takes a call which its process may not live to answer: the platform kills the process
// soon after the shutdown timeout, and the call may have run then.
func TestLeavingNodeTakesNoCallThatMayOutliveIt(t *testing.T) {
	const shutdownTimeout = 5 * time.Second
	routes := "[route r]\npool = p\npath = /long\ntimeout = 4s\n[route keyed]\npool = p\npath = /keyed\ntimeout = 4s\nkey_retention = 10s\n"
	for _, c := range []struct {
		at      time.Duration
		path    string
		timeout time.Duration // of the caller
		key     string
		outcome Outcome // of the refusal; 0 for a call that is taken
	}{
		{0, "/long", 0, "", 0},
		{1900 * time.Millisecond, "/long", 0, "", 0}, // callers have not noticed yet that the node leaves
		{2100 * time.Millisecond, "/long", 0, "", OutcomeNotRun},
		{2100 * time.Millisecond, "/long", 2500 * time.Millisecond, "", 0},
		{2100 * time.Millisecond, "/keyed", 0, "k", OutcomeUnknown},
		{4500 * time.Millisecond, "/long", 400 * time.Millisecond, "", 0},
		{4500 * time.Millisecond, "/long", 600 * time.Millisecond, "", OutcomeNotRun},
		{5500 * time.Millisecond, "/long", time.Millisecond, "", OutcomeNotRun},
	} {
		s := New(Config{
			Self: "n", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), Tunables: Tunables{ShutdownTimeout: shutdownTimeout},
			Tables: testSnapshot(t, routes, "[pool p]\nservice = s\n"),
		})
		Reduce(s, Event{Input: BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: 2}})
		arrive := func(handle Handle, at time.Duration, path string) []Effect {
			return Reduce(s, Event{Now: at, Rand: 1, Input: CallArrived{
				Call: handle, Host: "h", Method: "POST", Path: path, Timeout: c.timeout, IdempotencyKey: c.key, RetriesLeft: -1,
			}})
		}
		Reduce(s, Event{Input: CallArrived{Call: 1, Host: "h", Method: "POST", Path: "/long", RetriesLeft: -1}}) // keeps the node waiting
		Reduce(s, Event{Input: ShutdownRequested{}})
		var refused FailCall
		for _, effect := range arrive(2, c.at, c.path) {
			if e, ok := effect.(FailCall); ok && e.Call == 2 && e.Reason == ReasonLeaving {
				refused = e
			}
		}
		if refused.Outcome != c.outcome || c.outcome != 0 && refused.RetryAfter == 0 {
			t.Errorf("%s with %v at %v: refused as %v with Retry-After %v, expected %v", c.path, c.timeout, c.at, refused.Outcome, refused.RetryAfter, c.outcome)
		}
	}
}
