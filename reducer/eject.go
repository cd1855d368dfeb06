package reducer

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of outlier ejection.
const (
	// minEjectDuration is the duration of the first ejection. Each further one lasts twice as long, up to
	// maxEjectDuration.
	minEjectDuration = time.Second
	maxEjectDuration = 30 * time.Second
	// ejectAfterFailures is the number of consecutive failures that ejects an upstream.
	ejectAfterFailures = 3
	// minSuccessRate is the success rate below which an upstream is ejected, once minOutlierSamples attempts have been
	// observed.
	minSuccessRate    = 0.5
	minOutlierSamples = 10
	// successRateWeight is the weight of the newest attempt in the success rate, an exponential moving average.
	successRateWeight = 0.1
	// recoveredSuccessRate is the success rate at which earlier ejections are forgotten.
	recoveredSuccessRate = 0.9
	// failureStatus is the lowest HTTP status of a response that counts as a failure.
	failureStatus = 500
)

// outlierResult is the result of an attempt as outlier detection counts it.
type outlierResult uint8

const (
	resultNone           outlierResult = iota // not counted, such as an overload refusal or a planned stop
	resultSuccess                             // a response with a status below failureStatus
	resultWeakFailure                         // a failure that overload may explain: an exceeded deadline, or load shedding
	resultFailure                             // an error response, or a request that the backend server failed
	resultConnectionLost                      // a connection failure
)

// outlierState is the success rate and the ejection state of an upstream.
type outlierState struct {
	successRate         float64 // from 0 to 1, exponential moving average
	samples             int
	consecutiveFailures int
	ejectedUntil        time.Duration
	ejectDuration       time.Duration // duration of the last ejection, 0 when reset
}

func newOutlierState() outlierState { return outlierState{successRate: 1} }

// observe counts the result of an attempt and ejects the upstream if it fails too often.
func (o *outlierState) observe(result outlierResult, now time.Duration) {
	if result == resultNone {
		return
	}
	o.samples++
	if result == resultSuccess {
		o.consecutiveFailures = 0
		o.successRate += successRateWeight * (1 - o.successRate)
		if o.successRate >= recoveredSuccessRate {
			o.ejectDuration = 0
		}
		return
	}
	o.successRate -= successRateWeight * o.successRate
	if result != resultWeakFailure {
		o.consecutiveFailures++
	}
	lowSuccessRate := o.samples >= minOutlierSamples && o.successRate < minSuccessRate
	if result == resultConnectionLost || o.consecutiveFailures >= ejectAfterFailures || lowSuccessRate {
		o.eject(now)
	}
}

// eject starts an ejection, which lasts twice as long as the one before. Failures of calls that were in flight when it
// began do not extend it.
func (o *outlierState) eject(now time.Duration) {
	if now < o.ejectedUntil {
		return
	}
	o.ejectDuration = min(max(2*o.ejectDuration, minEjectDuration), maxEjectDuration)
	o.ejectedUntil = now + o.ejectDuration
}

// removeEjected removes ejected upstreams from a list, in place, but at most half of it: those with the lowest success
// rates.
func (s *State) removeEjected(upstreams []*servingUpstream) []*servingUpstream {
	isEjected := func(u *servingUpstream) bool { return s.now < u.load.outlier.ejectedUntil }
	if !slices.ContainsFunc(upstreams, isEjected) {
		return upstreams
	}
	var ejected []*servingUpstream
	for _, u := range upstreams {
		if isEjected(u) {
			ejected = append(ejected, u)
		}
	}
	keep := max(len(ejected)-len(upstreams)/2, 0)
	slices.SortStableFunc(ejected, func(a, b *servingUpstream) int {
		return cmp.Compare(b.load.outlier.successRate, a.load.outlier.successRate)
	})
	return append(slices.DeleteFunc(upstreams, isEjected), ejected[:keep]...)
}

// observeForward updates what is known of an upstream at the end of a forwarded attempt.
func (s *State) observeForward(call *ingressCall, in ForwardDone) {
	load := s.loadOf(call.target.Node)
	if in.Result == ForwardAnswered {
		load.report, load.reportedAt, load.hasReport = in.Load, s.now, true
		load.sentSinceReport, load.linkBytesSent, load.uploadBytesSent = 0, 0, 0
		s.observeLinkUse(call, in)
		load.observePace(&in.Load)
		s.observeDistance(call, in.Took)
	}
	load.outlier.observe(classifyForward(in), s.now)
}

func classifyForward(in ForwardDone) outlierResult {
	if in.Result != ForwardAnswered {
		return resultConnectionLost
	}
	switch in.Outcome {
	case OutcomeDone:
		if in.Load.Withheld > 0 && in.Status >= failureStatus {
			return resultNone // the calls that the backend server makes fail, which is not its fault
		}
		return classifyStatus(in.Status)
	case OutcomeNotRun:
		return classifyRefusal(in.Reason)
	default:
		if in.Reason == ReasonDeadline {
			return resultWeakFailure
		}
		return resultFailure
	}
}

func classifyStatus(status int) outlierResult {
	if status >= failureStatus {
		return resultFailure
	}
	return resultSuccess
}

// classifyRefusal returns the result for an attempt that did not run.
func classifyRefusal(reason Reason) outlierResult {
	switch reason {
	case ReasonBackendUnreachable:
		return resultFailure
	case ReasonShed:
		return resultWeakFailure
	default:
		return resultNone
	}
}

// observeLocal updates the success rate of the backend server beside this node from a call that entered here.
func (s *State) observeLocal(in BackendRequestDone) {
	result := resultFailure
	switch in.Result {
	case BackendAnswered:
		result = classifyStatus(in.Status)
	case BackendShed:
		result = resultWeakFailure
	case BackendAborted:
		result = resultNone // by the caller or the deadline, which the ingress side counts
	}
	s.loadOf(s.cfg.Self).outlier.observe(result, s.now)
}

// observeTimeout counts an attempt that was unanswered at the deadline or when it was hedged.
func (s *State) observeTimeout(node NodeID) {
	s.loadOf(node).outlier.observe(resultWeakFailure, s.now)
}
