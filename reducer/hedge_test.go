package reducer

import (
	"slices"
	"testing"
	"time"
)

// waitingCall sends a call to one of four upstreams that answered others in 10 ms, and lets time pass. The others
// answer on when they are still proven then.
func waitingCall(t *testing.T, pass time.Duration, proven bool) (*testIngress, *Forward, []Effect) {
	d := newTestIngress(t)
	d.reportAll(0)
	f, reason := d.call(CallArrived{RetriesLeft: -1})
	if f == nil {
		t.Fatalf("call is refused as %v, expected an attempt", reason)
	}
	d.now += pass
	if proven {
		d.reportAll(0)
	}
	return d, f, d.reduce(TimerDue{})
}

// cancels reports whether effects end an attempt at a node.
func cancels(effects []Effect, to PeerRef) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool { cancel, ok := e.(Cancel); return ok && cancel.To == to })
}

// answerOf returns the attempt whose response is delivered, 0 for none, and the outcome of a refusal, 0 for none.
func answerOf(effects []Effect) (attempt int, refused Outcome) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Deliver:
			attempt = e.Attempt
		case Refuse:
			refused = e.Outcome
		}
	}
	return attempt, refused
}

// Guards against calls that wait for an upstream that has become slow until their time is up, against a second attempt
// that starts early, at an upstream that has not shown that it is faster, or a third time, and against an attempt that
// is broken off while it may still be the first to answer.
func TestSecondAttemptStartsBesideASlowOne(t *testing.T) {
	for _, c := range []struct {
		pass   time.Duration
		proven bool
		hedged bool
	}{
		{500 * time.Millisecond, true, true}, // half of its second
		{499 * time.Millisecond, true, false},
		{500 * time.Millisecond, false, false},
	} {
		d, f, effects := waitingCall(t, c.pass, c.proven)
		next, _ := firstForward(effects)
		if (next != nil) != c.hedged || next != nil && next.To.Node == f.To.Node {
			t.Errorf("after %v, proven %v: next attempt is %+v, expected one elsewhere: %v", c.pass, c.proven, next, c.hedged)
		}
		if !c.hedged {
			continue
		}
		if cancels(effects, f.To) {
			t.Errorf("the slow attempt at %v is broken off", f.To.Node)
		}
		d.now += 400 * time.Millisecond
		d.reportAll(0)
		if again, _ := firstForward(d.reduce(TimerDue{})); again != nil {
			t.Errorf("third attempt %+v, expected one beside the first only", again)
		}
	}
}

// Guards against a response that is lost because the other attempt is the present one, and against an attempt that runs
// on after the caller has its response.
func TestFirstResponseOfTwoAttemptsCounts(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		d, f, effects := waitingCall(t, 500*time.Millisecond, true)
		next, _ := firstForward(effects)
		winner, loser := f, next
		if !firstWins {
			winner, loser = next, f
		}
		effects = d.reduce(ForwardDone{Call: f.Call, Attempt: winner.Attempt, Result: ForwardAnswered, Outcome: OutcomeDone, Status: 200})
		if attempt, _ := answerOf(effects); attempt != winner.Attempt || !cancels(effects, loser.To) {
			t.Errorf("attempt %d is delivered, expected %d and an end of the other: %+v", attempt, winner.Attempt, effects)
		}
	}
}

// Guards against a call that is refused because its second attempt is, while the first still runs: after a planned
// stop that would break off a request at which an upstream is at work.
func TestRefusedSecondAttemptLeavesTheFirst(t *testing.T) {
	for _, lastEnds := range []Outcome{OutcomeDone, OutcomeNotRun} {
		d, f, effects := waitingCall(t, 500*time.Millisecond, true)
		next, _ := firstForward(effects)
		refusal := ForwardDone{Call: f.Call, Attempt: next.Attempt, Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonDeadline}
		effects = d.reduce(refusal)
		if _, refused := answerOf(effects); refused != 0 || cancels(effects, f.To) {
			t.Fatalf("the call ends with its second attempt: %+v", effects)
		}
		d.now += 499 * time.Millisecond // no time is left for a further attempt
		effects = d.reduce(ForwardDone{
			Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: lastEnds, Reason: ReasonLeaving, Status: 200,
		})
		attempt, refused := answerOf(effects)
		if lastEnds == OutcomeDone && attempt != f.Attempt || lastEnds == OutcomeNotRun && refused != OutcomeNotRun {
			t.Errorf("first attempt ends as %v: attempt %d is delivered, refusal %v", lastEnds, attempt, refused)
		}
	}
}

// Guards against a false not_run while an attempt may still run.
func TestHedgedCallIsNotRunOnlyWhenBothTargetsSaySo(t *testing.T) {
	for _, first := range []bool{false, true} {
		d, f, effects := waitingCall(t, 500*time.Millisecond, true)
		next, _ := firstForward(effects)
		if next == nil {
			t.Fatal("no second attempt")
		}
		if first {
			d.reduce(ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonCallerGone})
		}
		d.now += 499 * time.Millisecond // no time is left for a further attempt
		want := OutcomeUnknown
		if first {
			want = OutcomeNotRun
		}
		got := Outcome(0)
		refusal := ForwardDone{Call: f.Call, Attempt: next.Attempt, Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonLeaving}
		for range 2 { // the refusal, and the end of the time
			if _, refused := answerOf(d.reduce(refusal)); refused != 0 {
				got = refused
			}
			d.now += time.Millisecond
		}
		if got != want {
			t.Errorf("first target said not_run: %v; outcome is %v, expected %v", first, got, want)
		}
	}
}
