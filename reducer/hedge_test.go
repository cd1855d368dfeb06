package reducer

import (
	"slices"
	"testing"
	"time"
)

// startSlowCall sends a call to one of four upstreams, whose load reports give a service time of 10 ms, and lets time pass.
// It returns the forwarded attempt and the effects at the end. With freshReports the load reports are new by then.
func startSlowCall(t *testing.T, elapsed time.Duration, freshReports bool) (*testIngress, *Forward, []Effect) {
	d := newTestIngress(t)
	d.reportAll(0)
	f, reason := d.call(CallArrived{RetriesLeft: -1})
	if f == nil {
		t.Fatalf("call is refused as %v, expected an attempt", reason)
	}
	d.now += elapsed
	if freshReports {
		d.reportAll(0)
	}
	return d, f, d.reduce(TimerDue{})
}

// hasCancel reports whether effects cancel an attempt at a node.
func hasCancel(effects []Effect, to PeerRef) bool {
	return slices.ContainsFunc(effects, func(e Effect) bool { cancel, ok := e.(Cancel); return ok && cancel.To == to })
}

// callResult returns the attempt whose response the effects deliver, 0 for none, and the outcome of a failed call, 0 for
// none.
func callResult(effects []Effect) (attempt int, failed Outcome) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Deliver:
			attempt = e.Attempt
		case FailCall:
			failed = e.Outcome
		}
	}
	return attempt, failed
}

// Guards against calls that wait until their deadline for an upstream that has become slow. Also guards against hedging too
// early, a second time, or at an upstream without a fresh load report, and against a first attempt that is cancelled when
// the second one starts, although it may answer first.
func TestSlowAttemptIsHedgedOnce(t *testing.T) {
	for _, c := range []struct {
		elapsed      time.Duration
		freshReports bool
		hedged       bool
	}{
		{500 * time.Millisecond, true, true}, // half of the timeout of 1 s
		{499 * time.Millisecond, true, false},
		{500 * time.Millisecond, false, false},
	} {
		d, f, effects := startSlowCall(t, c.elapsed, c.freshReports)
		next, _ := firstForward(effects)
		if (next != nil) != c.hedged || next != nil && next.To.Node == f.To.Node {
			t.Errorf("after %v, fresh reports %v: next attempt is %+v, expected one elsewhere: %v", c.elapsed, c.freshReports, next, c.hedged)
		}
		if !c.hedged {
			continue
		}
		if hasCancel(effects, f.To) {
			t.Errorf("the slow attempt at %v is cancelled", f.To.Node)
		}
		d.now += 400 * time.Millisecond
		d.reportAll(0)
		if again, _ := firstForward(d.reduce(TimerDue{})); again != nil {
			t.Errorf("third attempt %+v, expected a single hedged attempt", again)
		}
	}
}

// Guards against ignoring the response to one of two attempts because the other is the current one, and against an attempt
// that is not cancelled after the caller has its response.
func TestFirstResponseOfTwoAttemptsCounts(t *testing.T) {
	for _, firstWins := range []bool{true, false} {
		d, f, effects := startSlowCall(t, 500*time.Millisecond, true)
		next, _ := firstForward(effects)
		winner, loser := f, next
		if !firstWins {
			winner, loser = next, f
		}
		effects = d.reduce(ForwardDone{Call: f.Call, Attempt: winner.Attempt, Result: ForwardAnswered, Outcome: OutcomeDone, Status: 200})
		if attempt, _ := callResult(effects); attempt != winner.Attempt || !hasCancel(effects, loser.To) {
			t.Errorf("attempt %d is delivered, expected %d and cancellation of the other: %+v", attempt, winner.Attempt, effects)
		}
	}
}

// Guards against failing a call because its second attempt is refused, while the first is still running: in a planned stop
// that would cancel a request that an upstream is executing.
func TestRefusedHedgeLeavesFirstAttemptOpen(t *testing.T) {
	for _, lastEnds := range []Outcome{OutcomeDone, OutcomeNotRun} {
		d, f, effects := startSlowCall(t, 500*time.Millisecond, true)
		next, _ := firstForward(effects)
		refusal := ForwardDone{Call: f.Call, Attempt: next.Attempt, Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonDeadline}
		effects = d.reduce(refusal)
		if _, refused := callResult(effects); refused != 0 || hasCancel(effects, f.To) {
			t.Fatalf("the call ends with its second attempt: %+v", effects)
		}
		d.now += 499 * time.Millisecond // no time is left for a further attempt
		effects = d.reduce(ForwardDone{
			Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: lastEnds, Reason: ReasonLeaving, Status: 200,
		})
		attempt, refused := callResult(effects)
		if lastEnds == OutcomeDone && attempt != f.Attempt || lastEnds == OutcomeNotRun && refused != OutcomeNotRun {
			t.Errorf("first attempt ends as %v: attempt %d is delivered, refusal %v", lastEnds, attempt, refused)
		}
	}
}

// Guards against reporting not_run while an attempt may still run.
func TestHedgedCallIsNotRunOnlyIfBothAttemptsAre(t *testing.T) {
	for _, firstRefused := range []bool{false, true} {
		d, f, effects := startSlowCall(t, 500*time.Millisecond, true)
		next, _ := firstForward(effects)
		if next == nil {
			t.Fatal("no second attempt")
		}
		if firstRefused {
			d.reduce(ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonCallerGone})
		}
		d.now += 499 * time.Millisecond // no time is left for a further attempt
		want := OutcomeUnknown
		if firstRefused {
			want = OutcomeNotRun
		}
		got := Outcome(0)
		refusal := ForwardDone{Call: f.Call, Attempt: next.Attempt, Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonLeaving}
		for range 2 { // the refusal, and then the deadline
			if _, refused := callResult(d.reduce(refusal)); refused != 0 {
				got = refused
			}
			d.now += time.Millisecond
		}
		if got != want {
			t.Errorf("first target said not_run: %v; outcome is %v, expected %v", firstRefused, got, want)
		}
	}
}
