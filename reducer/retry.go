package reducer

import (
	"slices"
	"time"
)

// Parameters of retries and early refusals.
const (
	// initialRetryBackoff is the maximum backoff before the first retry, which goes to another upstream and need not
	// wait long. Failures at two upstreams usually have a common cause: retryBackoffFactor makes the second retry
	// outlast a failure of 20 ms.
	initialRetryBackoff = 5 * time.Millisecond
	retryBackoffFactor  = 8
	maxRetryBackoff     = 320 * time.Millisecond
	// earlyReportMaxAge is the maximum age of a load report that may cause an early refusal or a hedged attempt.
	earlyReportMaxAge = 250 * time.Millisecond
	// earlyRefusalsPerProbe is the number of early refusals of which one call is sent all the same, so that the reports
	// stay fresh.
	earlyRefusalsPerProbe = 16
)

// allowedRetries returns the retries that a new call may use. A nested call without the retries left of its outer call
// may use none: they would multiply with those of the outer call.
func allowedRetries(in CallArrived, routeRetries int) int {
	switch {
	case in.RetriesLeft >= 0:
		return min(routeRetries, in.RetriesLeft)
	case in.Depth > 0:
		return 0
	default:
		return routeRetries
	}
}

// chargeRetries deducts the retries of nested calls from those left to a call and its outer call.
func (s *State) chargeRetries(call *ingressCall, used int) {
	if call == nil || used <= 0 {
		return
	}
	call.retries = max(call.retries-used, 0)
	if outer := s.target.byID[call.parent]; outer != nil {
		outer.retriesUsed += used
	}
}

// takeRetry consumes one retry, or returns false when none is left for the call, for the outer call that runs beside
// this node, or in the node's budget.
func (s *State) takeRetry(call *ingressCall) bool {
	outer := s.target.byID[call.parent]
	if call.retries <= 0 || outer != nil && outer.retriesUsed >= outer.limits.RetriesLeft {
		return false
	}
	if !s.takeRetryToken() {
		return false
	}
	call.retries--
	if outer != nil {
		outer.retriesUsed++
	}
	return true
}

// retriesLeft returns the retries that the nested calls of an attempt may use.
func (s *State) retriesLeft(call *ingressCall) int {
	if outer := s.target.byID[call.parent]; outer != nil {
		return max(min(call.retries, outer.limits.RetriesLeft-outer.retriesUsed), 0)
	}
	return call.retries
}

// isOverloadRefusal reports whether the reason of a refusal is overload of the upstream.
func isOverloadRefusal(reason Reason) bool {
	return reason == ReasonQueueFull || reason == ReasonDeadline || reason == ReasonShed
}

// retryOrFail retries a call after a failed attempt if that is allowed, or ends it with the outcome. While an earlier
// attempt is open, the call waits for that instead.
func (s *State) retryOrFail(call *ingressCall, outcome Outcome, reason Reason) {
	call.lastReason = reason
	if call.earlier != nil {
		s.awaitEarlier(call, outcome)
		return
	}
	delay := s.retryDelay(call.attempt)
	if s.now+delay >= call.deadline || !s.allowRetry(call, outcome, reason) || !s.takeRetry(call) {
		s.failCall(call, outcome, reason)
		return
	}
	s.logCall(call, "attempt failed, another follows", Field{"attempt", call.attempt}, Field{"target", call.target.Node},
		Field{"outcome", outcome}, Field{"reason", reason}, Field{"pause", delay}, Field{"time_left", call.deadline - s.now})
	s.setPhase(call, ingressBackoff)
	call.hasWaited = true
	s.timers.set(timerKey{kind: timerIngressRetry, call: call.handle}, s.now+delay)
}

// retryDelay returns the backoff after an attempt, with jitter between half of it and all of it.
func (s *State) retryDelay(attempt int) time.Duration {
	backoff := initialRetryBackoff
	for range max(attempt-1, 0) {
		backoff = min(backoff*retryBackoffFactor, maxRetryBackoff)
	}
	return backoff/2 + s.jitter(backoff/2)
}

// allowRetry allows one retry after an overload refusal, and only if another upstream is expected to serve the call in
// time: retries would add load to an overloaded pool. It allows any other retry.
func (s *State) allowRetry(call *ingressCall, outcome Outcome, reason Reason) bool {
	if reason == ReasonNestedFailing || isOverloadRefusal(reason) && s.admittedShare(call.route.Name) < 1 {
		return false
	}
	if outcome != OutcomeNotRun || !isOverloadRefusal(reason) {
		return true
	}
	if call.overloadRetryConsidered {
		return false
	}
	call.overloadRetryConsidered = true
	pool, ok := s.config.active.Pool(call.route.Pool)
	return ok && len(s.filterFittingUpstreams(s.usableUpstreams(pool.Service, call.tried), call)) > 0
}

func (s *State) retryIngressCall(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil || call.phase != ingressBackoff {
		return
	}
	s.dispatch(call)
}

// effectiveDeadline returns the time by which a call should finish: its due time, or its deadline when the due time has
// passed or there is none.
func (c *ingressCall) effectiveDeadline(now time.Duration) time.Duration {
	if c.due > now {
		return min(c.due, c.deadline)
	}
	return c.deadline
}

// filterFittingUpstreams removes, in place, the upstreams at which a call is not expected to finish by its effective
// deadline.
func (s *State) filterFittingUpstreams(upstreams []*servingUpstream, call *ingressCall) []*servingUpstream {
	return slices.DeleteFunc(upstreams, func(u *servingUpstream) bool {
		return s.estimateDuration(u, call.loadClass()) > call.effectiveDeadline(s.now)-s.now || s.linkTime(u, call) > call.deadline-s.now
	})
}

// estimateDuration estimates the time from now to the response of a call of a priority at an upstream. It uses the
// shortest service time among the recent calls of that priority there: reports are not by route, and a call that could
// finish must not be refused.
func (s *State) estimateDuration(u *servingUpstream, priority int) time.Duration {
	wait := s.estimateWait(u, priority)
	if u.Node == s.cfg.Self {
		return wait + s.target.queue.shortestOf(priority)
	}
	return wait + u.load.report.shortestOf(priority) + hopMargin + s.extraHopTime(u.Zone)
}

// estimateLateDuration is like estimateDuration for a late call, which waits behind all calls that can still end by
// their due time.
func (s *State) estimateLateDuration(u *servingUpstream, priority int) time.Duration {
	if u.Node == s.cfg.Self {
		pool, _ := s.config.active.PoolOfService(s.backend.service)
		q := &s.target.queue
		return q.lateWait(priority, s.slots(), pool, q.shortestService[priority].time) + s.target.queue.shortestService[priority].time
	}
	return u.load.report.LateWaits[priority] + u.load.report.ShortestServiceTimes[priority] + hopMargin + s.extraHopTime(u.Zone)
}

// shouldRefuseEarly reports whether fresh load reports of all usable upstreams say that a new call cannot finish in
// time. One in earlyRefusalsPerProbe such calls is let through.
func (s *State) shouldRefuseEarly(call *ingressCall) bool {
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		return false
	}
	if s.sharesApply(call) {
		return s.workspaceRefusal(call)
	}
	usable := s.majorityVersion(pool.Service, s.usableUpstreams(pool.Service, nil))
	for _, u := range usable {
		if u.Node != s.cfg.Self && !u.load.hasFreshReport(s.now, earlyReportMaxAge) {
			return false
		}
		wait, duration := s.estimateWait(u, call.loadClass()), s.estimateDuration(u, call.loadClass())
		if wait == 0 || duration <= call.effectiveDeadline(s.now)-s.now {
			return false
		}
		if call.due > 0 && s.estimateLateDuration(u, call.route.Priority) <= call.deadline-s.now {
			return false
		}
	}
	return len(usable) > 0 && s.random(earlyRefusalsPerProbe) != 0
}
