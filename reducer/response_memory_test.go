package reducer

import (
	"testing"
	"time"
)

// growingResponses is the target of calls whose responses grow.
type growingResponses struct {
	*testTarget
}

func newGrowingResponses(t *testing.T, limit int64) growingResponses {
	d := newTestTarget(t, map[string]string{"slots": "8", "ramp": "0s"})
	d.state.cfg.Limits.MaxResponseBytes = limit
	return growingResponses{d}
}

// grow asks for bytes of the response to a call, which has the exchange 1,000 + handle, and returns the answers by exchange.
func (d growingResponses) grow(call string, bytes int64) map[Handle]bool {
	return d.answers(ResponseGrows{Call: d.calls[call], Exchange: 1000 + d.calls[call], Bytes: bytes})
}

func (d growingResponses) answers(input Input) map[Handle]bool {
	answers := map[Handle]bool{}
	for _, effect := range Reduce(d.state, Event{Now: d.now, Rand: 1, Input: input}) {
		if e, ok := effect.(AnswerResponseGrowth); ok {
			answers[e.Exchange] = e.Allowed
		}
	}
	return answers
}

func (d growingResponses) expect(when string, got map[Handle]bool, want map[string]bool) {
	d.t.Helper()
	if len(got) != len(want) {
		d.t.Errorf("%s: answers %v, expected %v", when, got, want)
	}
	for call, allowed := range want {
		if got, ok := got[1000+d.calls[call]]; !ok || got != allowed {
			d.t.Errorf("%s: response of %s allowed %v (answered %v), expected %v", when, call, got, ok, allowed)
		}
	}
	if used := d.state.target.responses.used; used > d.state.cfg.Limits.MaxResponseBytes {
		d.t.Errorf("%s: %d bytes are held", when, used)
	}
}

// Guards against responses that together take more memory than the node may use for them, each within the limit of one
// response, and against a response of usual size that is cut because another one has no end.
func TestResponsesShareTheirMemory(t *testing.T) {
	d := newGrowingResponses(t, 10<<20)
	for _, call := range []string{"a", "b", "c", "small"} {
		d.forward(call, map[string]string{"once": "1", "left": "1000"})
	}
	d.expect("first", d.grow("a", 4<<20), map[string]bool{"a": true})
	d.expect("second", d.grow("b", 4<<20), map[string]bool{"b": true})
	d.expect("the same size again", d.grow("b", 4<<20), map[string]bool{"b": true})
	d.expect("more than is left", d.grow("a", 8<<20), map[string]bool{"a": false})
	d.expect("room after a cut", d.grow("c", 5<<20), map[string]bool{"c": true})
	d.expect("the largest makes room", d.grow("small", 2<<20), map[string]bool{"c": false, "small": true})
	d.reduce(BackendRequestDone{Call: d.calls["b"], Result: BackendAnswered, Status: 200})
	d.expect("room after an end", d.grow("small", 8<<20), map[string]bool{"small": true})
	for _, call := range []string{"a", "c", "small"} {
		d.reduce(BackendRequestDone{Call: d.calls[call], Result: BackendOversized})
	}
	if used := d.state.target.responses.used; used != 0 {
		t.Errorf("%d bytes are held after the end of all calls", used)
	}
}

// Guards against a large response that is received although its call has been answered: nobody can take it.
func TestResponseThatNobodyWaitsForIsCut(t *testing.T) {
	for _, once := range []string{"", "1"} {
		d := newGrowingResponses(t, 10<<20)
		d.forward("a", map[string]string{"once": once, "left": "100"})
		d.forward("late", map[string]string{"once": once, "left": "100"})
		d.grow("a", 4<<20)
		d.now = 100 * time.Millisecond
		d.expect("at the deadline", d.answers(TimerDue{}), map[string]bool{"a": false})
		d.expect("after the deadline", d.grow("late", 128<<10), map[string]bool{"late": false})
		d.reduce(BackendRequestDone{Call: d.calls["a"], Result: BackendOversized})
		d.expect("after its end", d.grow("a", 128<<10), map[string]bool{"a": false})
	}
}

// Guards against a call that is reported as not run, or run again, because its response was cut.
func TestCutResponseIsUnknown(t *testing.T) {
	d := newGrowingResponses(t, 1<<20)
	d.forward("a", map[string]string{"once": "1", "left": "1000"})
	d.expect("too large", d.grow("a", 2<<20), map[string]bool{"a": false})
	if got := d.reduce(BackendRequestDone{Call: d.calls["a"], Result: BackendOversized}); got != "answer a unknown response_too_large\n" {
		t.Errorf("the call ended with %q", got)
	}
	if got := d.forward("copy", map[string]string{"copy": "a", "once": "1", "left": "1000"}); got != "answer copy unknown response_too_large\n" {
		t.Errorf("a copy ended with %q", got)
	}
}
