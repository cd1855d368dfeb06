package reducer

import (
	"cmp"
	"slices"
	"time"
)

// Figures of outlier ejection.
const (
	// ejectFirst and ejectMax bound how long an upstream that failed calls is not chosen.
	ejectFirst = time.Second
	ejectMax   = 30 * time.Second
	// ejectAfter is the number of failures in a row that eject an upstream.
	ejectAfter = 3
	// ejectSuccess is the share of successes below which an upstream is ejected, once it has been
	// observed outlierSamples times.
	ejectSuccess   = 0.5
	outlierSamples = 10
	// successWeight is the weight of the newest attempt in the share of successes.
	successWeight = 0.1
	// recoveredSuccess is the share of successes at which earlier ejections are forgotten.
	recoveredSuccess = 0.9
	// failureStatus is the lowest status of a response that counts as a failure.
	failureStatus = 500
)

// verdict is what an attempt says about the upstream.
type verdict uint8

const (
	verdictNone    verdict = iota // nothing: a refusal under load, or a planned stop
	verdictSuccess                //
	verdictWeak                   // a failure that load may explain: a deadline, or work that was shed
	verdictFailure                // a failed response
	verdictLost                   // a connection that failed
)

// outlierState is the record of an upstream's successes and failures.
type outlierState struct {
	success      float64 // share of successes, newest weighted most
	samples      int
	failures     int // in a row
	ejectedUntil time.Duration
	ejectTime    time.Duration
}

func newOutlierState() outlierState { return outlierState{success: 1} }

// observe takes in a verdict and ejects the upstream when it fails too often.
func (o *outlierState) observe(v verdict, now time.Duration) {
	if v == verdictNone {
		return
	}
	o.samples++
	if v == verdictSuccess {
		o.failures = 0
		o.success += successWeight * (1 - o.success)
		if o.success >= recoveredSuccess {
			o.ejectTime = 0
		}
		return
	}
	o.success -= successWeight * o.success
	if v != verdictWeak {
		o.failures++
	}
	rate := o.samples >= outlierSamples && o.success < ejectSuccess
	if v == verdictLost || o.failures >= ejectAfter || rate {
		o.eject(now)
	}
}

// eject leaves the upstream out for a time that doubles. Failures of calls that were in flight when it was
// ejected do not prolong the ejection.
func (o *outlierState) eject(now time.Duration) {
	if now < o.ejectedUntil {
		return
	}
	o.ejectTime = min(max(2*o.ejectTime, ejectFirst), ejectMax)
	o.ejectedUntil = now + o.ejectTime
}

// withoutEjected takes the ejected upstreams out of a list, at most half: those with the most failures first.
func (s *State) withoutEjected(upstreams []*upstream) []*upstream {
	out := func(u *upstream) bool { return s.now < u.load.outlier.ejectedUntil }
	if !slices.ContainsFunc(upstreams, out) {
		return upstreams
	}
	var ejected []*upstream
	for _, u := range upstreams {
		if out(u) {
			ejected = append(ejected, u)
		}
	}
	keep := max(len(ejected)-len(upstreams)/2, 0)
	slices.SortStableFunc(ejected, func(a, b *upstream) int {
		return cmp.Compare(b.load.outlier.success, a.load.outlier.success)
	})
	return append(slices.DeleteFunc(upstreams, out), ejected[:keep]...)
}

// observeForward updates what is known of an upstream from the end of an attempt.
func (s *State) observeForward(call *ingressCall, in ForwardDone) {
	load := s.loadOf(call.target.Node)
	if in.Result == ForwardAnswered {
		load.report, load.reportedAt, load.reported = in.Load, s.now, true
		load.sent = 0
		s.observeDistance(call, in.Took)
	}
	load.outlier.observe(forwardVerdict(in), s.now)
}

func forwardVerdict(in ForwardDone) verdict {
	if in.Result != ForwardAnswered {
		return verdictLost
	}
	switch in.Outcome {
	case OutcomeDone:
		return statusVerdict(in.Status)
	case OutcomeNotRun:
		return refusalVerdict(in.Reason)
	default:
		if in.Reason == ReasonDeadline {
			return verdictWeak
		}
		return verdictFailure
	}
}

func statusVerdict(status int) verdict {
	if status >= failureStatus {
		return verdictFailure
	}
	return verdictSuccess
}

func refusalVerdict(reason Reason) verdict {
	switch reason {
	case ReasonBackendUnreachable:
		return verdictFailure
	case ReasonShed:
		return verdictWeak
	default:
		return verdictNone
	}
}

// observeLocal updates what is known of the backend server beside this node from a call that entered here.
func (s *State) observeLocal(in BackendRequestDone) {
	v := verdictFailure
	switch in.Result {
	case BackendAnswered:
		v = statusVerdict(in.Status)
	case BackendShed:
		v = verdictWeak
	case BackendAborted:
		v = verdictNone // by the caller or the deadline; the deadline is observed at the ingress side
	}
	s.loadOf(s.cfg.Self).outlier.observe(v, s.now)
}

// observeSilence counts an attempt whose time ended without an answer.
func (s *State) observeSilence(node NodeID) {
	s.loadOf(node).outlier.observe(verdictWeak, s.now)
}
