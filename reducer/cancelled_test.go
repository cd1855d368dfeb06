package reducer

import (
	"testing"
	"time"
)

// Guards against a call that runs although its caller has left, because its cancellation arrived before it (hml-mesh-grown,
// trouble-1, seed 237126756: the call arrived 0.1 s after its cancellation and ran), and against a cancellation of one attempt
// that ends a later one.
func TestCancellationThatOvertakesItsCall(t *testing.T) {
	for _, once := range []string{"", "1"} {
		d := newTestTarget(t, map[string]string{"slots": "8", "ramp": "0s"})
		cancel := func(call string, attempt int) string {
			if d.calls[call] == 0 {
				d.calls[call] = Handle(len(d.names) + 1) // the handle that the call will get
			}
			return d.reduce(CancelArrived{ID: d.id(call), Attempt: attempt})
		}
		args := func(attempt string) map[string]string {
			return map[string]string{"once": once, "left": "1000", "attempt": attempt}
		}
		expect := func(when, got, want string) {
			t.Helper()
			if got != want {
				t.Errorf("once=%q, %s: %q, expected %q", once, when, got, want)
			}
		}
		cancel("a", 1)
		expect("cancelled before it arrived", d.forward("a", args("1")), "answer a not_run caller_gone\n")
		cancel("b", 1)
		expect("a later attempt", d.forward("b", args("2")), "start b\n")
		expect("a late cancellation of the attempt before", cancel("b", 1), "")
		d.forward("c", args("1"))
		if want := map[string]string{"": "abort c\n", "1": ""}[once]; cancel("c", 1) != want {
			t.Errorf("once=%q: a running call is not cancelled as before", once)
		}
		cancel("d", 1)
		d.now += cancelMemory
		d.reduce(CancelArrived{ID: CallID{Origin: "another"}, Attempt: 1})
		d.reduce(testRegistration(map[string]string{"slots": "8"})) // the one before has expired
		expect("after the memory of cancellations", d.forward("d", args("1")), "start d\n")
	}
}

// Guards against cancellations of calls that never arrive and take more and more memory.
func TestRememberedCancellationsAreBounded(t *testing.T) {
	var c cancelledCalls
	for i := range 3 * maxCancelled {
		c.add(CallID{Origin: "o", Seq: uint64(i)}, 1, time.Duration(i)*time.Microsecond)
	}
	if len(c.attempts) > maxCancelled || len(c.order) > maxCancelled {
		t.Errorf("%d cancellations are remembered, expected at most %d", len(c.attempts), maxCancelled)
	}
	if !c.covers(CallID{Origin: "o", Seq: 3*maxCancelled - 1}, 1) {
		t.Error("the last cancellation is forgotten")
	}
}
