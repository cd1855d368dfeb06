package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// runIngress applies the arrival of a call and then the given inputs to a node that has no backend server and knows two
// upstreams. It returns the effects of the last input on the call as text.
func runIngress(t *testing.T, path string, inputs ...Input) string {
	t.Helper()
	s := New(Config{
		Self: "ingress", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
		Tables: testSnapshot(t, "[route r]\npath = /r\npool = p\n[route i]\npath = /i\npool = p\nidempotent = yes\n", "[pool p]\nservice = s\nramp = 0s\n"),
	})
	for _, node := range []NodeID{"other-1", "other-2"} {
		s.mergeMember(Member{
			Node: node, Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive,
			Upstream: Upstream{Service: "s", Slots: 1, State: UpstreamReady},
		})
	}
	out, now := "", time.Duration(0)
	inputs = append([]Input{CallArrived{Call: 1, Method: "POST", Path: path, RetriesLeft: -1}}, inputs...)
	for _, input := range inputs {
		now += 40 * time.Millisecond // the maximum backoff before the second retry
		out = ""
		for _, effect := range Reduce(s, Event{Now: now, Input: input}) {
			switch e := effect.(type) {
			case Forward:
				out += fmt.Sprintf("forward %d;", e.Attempt)
			case Settle:
				out += fmt.Sprintf("settle %d;", e.Attempt)
			case Probe:
				out += fmt.Sprintf("probe %d;", e.Attempt)
			case Deliver:
				out += fmt.Sprintf("deliver %d;", e.Attempt)
			case FailCall:
				out += fmt.Sprintf("respond %v;", e.Outcome)
			}
		}
	}
	return out
}

// Guards against a late result of an earlier attempt that is applied to the current one: the caller would get a response
// that has not arrived, or not_run for a call that is running. Also guards against a dead connection that is never probed.
func TestLateResultsOfAttempts(t *testing.T) {
	lost := func(attempt int) Input { return ForwardDone{Call: 1, Attempt: attempt, Result: ForwardLost} }
	fenced := func(attempt int) Input {
		return SettleDone{Call: 1, Attempt: attempt, Answered: true, Outcome: OutcomeNotRun, Reason: ReasonFenced}
	}
	done := func(attempt int) Input {
		return ForwardDone{Call: 1, Attempt: attempt, Result: ForwardAnswered, Outcome: OutcomeDone}
	}
	silence := slices.Repeat([]Input{TimerDue{}}, 5) // 200 ms, after which the connection is probed
	for _, c := range []struct {
		path, want string
		inputs     []Input
	}{
		{"/r", "", silence[1:]},
		{"/r", "probe 1;", silence},
		{"/i", "forward 1;", nil},
		{"/i", "forward 2;", []Input{lost(1), TimerDue{}}},
		{"/i", "", []Input{lost(1), TimerDue{}, done(1)}},
		{"/i", "deliver 2;", []Input{lost(1), TimerDue{}, done(1), done(2)}},
		{"/r", "settle 1;", []Input{lost(1)}},
		{"/r", "forward 2;", []Input{lost(1), fenced(1), TimerDue{}}},
		{"/r", "settle 2;", []Input{lost(1), fenced(1), TimerDue{}, lost(2)}},
		{"/r", "", []Input{lost(1), fenced(1), TimerDue{}, lost(2), fenced(1)}},
		{"/r", "respond not_run;", []Input{lost(1), fenced(1), TimerDue{}, lost(2), fenced(1), fenced(2), TimerDue{}}},
	} {
		if got := runIngress(t, c.path, c.inputs...); got != c.want {
			t.Errorf("%s after %+v: effects %q, expected %q", c.path, c.inputs, got, c.want)
		}
	}
}

// Guards against running the first request with an idempotency key although its repeat may have run elsewhere: the process
// was paused while the request waited, or the other nodes of the zone consider this one dead.
func TestFirstRequestWithKey(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		peer  MemberState
		want  string
	}{
		{0, MemberAlive, "start"},
		{2 * time.Second, MemberAlive, "unknown"},
		{0, MemberDead, "unknown"},
	} {
		s := New(Config{
			Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
			Tables: testSnapshot(t, "[route r]\npath = /r\npool = p\n", "[pool p]\nservice = s\nramp = 0s\n"),
		})
		s.mergeMember(Member{Node: "peer", Zone: "z", Incarnation: 1, Sequence: 1, State: c.peer})
		Reduce(s, Event{Now: time.Second, Input: testRegistration(map[string]string{"slots": "1"})})
		call := CallArrived{Call: 1, Method: "POST", Path: "/r", IdempotencyKey: "k", FirstAttempt: true}
		got := ""
		for _, effect := range Reduce(s, Event{Now: time.Second + c.pause, Input: call}) {
			switch e := effect.(type) {
			case StartBackendRequest:
				got += "start"
			case FailCall:
				got += e.Outcome.String()
			}
		}
		if got != c.want {
			t.Errorf("pause %v, peer %v: %q, expected %q", c.pause, c.peer, got, c.want)
		}
	}
}

// Guards against retries that all fall into one short failure of all upstreams, such as 20 ms in which a connection is
// re-established (docs/design.md, section 6.4), and against a first retry that is delayed as long.
func TestSecondRetryOutlastsAShortFailure(t *testing.T) {
	const shortFailure = 20 * time.Millisecond
	d := newTestIngress(t)
	for seed := range uint64(100) {
		d.state.rand = seed
		if first := d.state.retryDelay(1); first > initialRetryBackoff {
			t.Errorf("seed %d: backoff before the first retry is %v", seed, first)
		}
		if second := d.state.retryDelay(2); second < shortFailure {
			t.Errorf("seed %d: backoff before the second retry is %v, expected at least %v", seed, second, shortFailure)
		}
	}
	if longest := d.state.retryDelay(100); longest > maxRetryBackoff {
		t.Errorf("backoff after 100 attempts is %v, longer than the maximum", longest)
	}
}
