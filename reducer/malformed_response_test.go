package reducer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a call that is reported as not run, or run again, after its backend server sent bytes that are no response, and
// against such an end that an operator cannot tell from a broken connection.
func TestMalformedResponseIsUnknownAndLogged(t *testing.T) {
	d := newGrowingResponses(t, 1<<20)
	d.forward("a", map[string]string{"once": "1", "left": "1000"})
	done := BackendRequestDone{Call: d.calls["a"], Result: BackendMalformed, Problem: "status code 000"}
	effects := Reduce(d.state, Event{Now: d.now, Input: done})
	if answer := answerOf(effects, d.calls["a"]); answer == nil || answer.Outcome != OutcomeUnknown || answer.Reason != ReasonBackendFailed || answer.Status != 0 {
		t.Errorf("the call ended with %+v", answer)
	}
	if problem := loggedProblem(effects); problem != done.Problem {
		t.Errorf("the line in the log says %q, expected %q", problem, done.Problem)
	}
	if got := d.forward("copy", map[string]string{"copy": "a", "once": "1", "left": "1000"}); got != "answer copy unknown backend_failed\n" {
		t.Errorf("a copy ended with %q", got)
	}
}

// loggedProblem returns the problem that the effects log, or an empty text.
func loggedProblem(effects []Effect) string {
	for _, effect := range effects {
		line, _ := effect.(Log)
		for _, field := range line.Fields {
			if field.Key == "problem" {
				return fmt.Sprint(field.Value)
			}
		}
	}
	return ""
}

// Guards against a response of another node that is withheld without a word, so that nobody learns which node to upgrade.
func TestMalformedAnswerOfAnotherNodeIsLogged(t *testing.T) {
	d := newTestIngress(t)
	d.reportAll(0)
	f, _ := d.call(CallArrived{RetriesLeft: -1})
	done := ForwardDone{
		Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: OutcomeUnknown, Reason: ReasonBackendFailed, Problem: "status code 999",
	}
	if problem := loggedProblem(d.reduce(done)); problem != done.Problem {
		t.Errorf("the line in the log says %q, expected %q", problem, done.Problem)
	}
	f, _ = d.call(CallArrived{RetriesLeft: -1})
	if problem := loggedProblem(d.reduce(ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: OutcomeDone})); problem != "" {
		t.Errorf("the line about a good response says %q", problem)
	}
}

// Guards against a bad version that is rolled out because its malformed responses count as good ones.
func TestMalformedResponseCountsAgainstAVersion(t *testing.T) {
	s := newNodeInRollout(t)
	s.countForRollout("r", BackendRequestDone{Result: BackendMalformed, Elapsed: 100 * time.Millisecond})
	if c := s.rollouts.counts["r"]; c == nil || c.Calls != 1 || c.Failures != 1 {
		t.Errorf("counted %+v, expected one failure", c)
	}
}

// Guards against a limit for a backend server that sends malformed responses at once and is taken for one that resets
// connections because it is full.
func TestMalformedResponsesAreNoResets(t *testing.T) {
	b := newFullBackend(t, false, true)
	for i := range 300 {
		call := Handle(i + 1)
		b.apply(ForwardArrived{Call: call, ID: CallID{Origin: "o", Incarnation: 1, Seq: uint64(call)}, Route: "r", Pool: "p", Idempotent: true,
			TimeLeft: time.Second, TargetIncarnation: 1})
		b.apply(testRegistration(map[string]string{"slots": "13"}))
		b.apply(BackendRequestDone{Call: call, Result: BackendMalformed})
		b.now += time.Millisecond
		if slots := b.state.slots(); slots != fullSlots {
			t.Fatalf("%d slots after %d malformed responses", slots, i+1)
		}
	}
}

// Guards against a repeat of a key that gets unknown at the next owner although the run was done, with nothing that says why.
func TestRecordWithoutItsMalformedResponseIsLogged(t *testing.T) {
	for _, problem := range []string{"", "status code 999"} {
		d := newGrowingResponses(t, 1<<20)
		record := KeyRecord{Route: "r", Key: "k", ID: CallID{Origin: "o", Incarnation: 1, Seq: 9}, Outcome: OutcomeUnknown, Reason: ReasonBackendFailed,
			Remaining: time.Second, Problem: problem}
		effects := Reduce(d.state, Event{Now: d.now, Input: RecordsArrived{Exchange: 99, Records: []KeyRecord{record}}})
		if got := loggedProblem(effects); got != problem {
			t.Errorf("the log says %q, expected %q", got, problem)
		}
	}
}
