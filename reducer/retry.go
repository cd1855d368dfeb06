package reducer

import (
	"slices"
	"time"
)

const (
	// retryBackoff is the longest pause before the first retry, which goes to another upstream and need not
	// wait long. Later ones follow failures of two upstreams, which have a common cause: the pause grows so
	// much that the second retry outlasts a failure of 20 ms.
	retryBackoff    = 5 * time.Millisecond
	retryGrowth     = 8
	retryBackoffMax = 320 * time.Millisecond
	// earlyReportFresh is the age up to which a report may cause a refusal before the target was asked.
	earlyReportFresh = 250 * time.Millisecond
	// earlyProbe is the number of early refusals of which one call is sent all the same, so that the
	// reports stay fresh.
	earlyProbe = 16
)

// allowedRetries returns the retries that a new call may use. A nested call without the header of its
// outer call may use none: the outer call's own retries would multiply with them.
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

// chargeRetries takes the retries that nested calls used from what an outer call has left.
func (s *State) chargeRetries(call *ingressCall, used int) {
	if call == nil || used <= 0 {
		return
	}
	call.retries = max(call.retries-used, 0)
	if outer := s.target.byID[call.parent]; outer != nil {
		outer.retried += used
	}
}

// takeRetry takes one retry for a call, or returns false when there is none left: of the call itself, of
// the outer call that runs beside this node, or of the node.
func (s *State) takeRetry(call *ingressCall) bool {
	outer := s.target.byID[call.parent]
	if call.retries <= 0 || outer != nil && outer.retried >= outer.limits.RetriesLeft {
		return false
	}
	if !s.spendRetry() {
		return false
	}
	call.retries--
	if outer != nil {
		outer.retried++
	}
	return true
}

// retriesLeft returns the retries that an attempt of a call hands down.
func (s *State) retriesLeft(call *ingressCall) int {
	if outer := s.target.byID[call.parent]; outer != nil {
		return max(min(call.retries, outer.limits.RetriesLeft-outer.retried), 0)
	}
	return call.retries
}

// overloadRefusal reports whether a refusal says that the upstream has too much work.
func overloadRefusal(reason Reason) bool {
	return reason == ReasonQueueFull || reason == ReasonDeadline || reason == ReasonShed
}

// retryOrRefuse tries a call at another upstream when that is allowed, or ends it with the outcome.
func (s *State) retryOrRefuse(call *ingressCall, outcome Outcome, reason Reason) {
	call.lastReason = reason
	if call.earlier != nil {
		s.awaitEarlier(call, outcome)
		return
	}
	pause := s.retryPause(call.attempt)
	if s.now+pause >= call.deadline || !s.mayRetry(call, outcome, reason) || !s.takeRetry(call) {
		s.refuse(call, outcome, reason)
		return
	}
	s.logCall(call, "attempt failed, another follows", Field{"attempt", call.attempt}, Field{"target", call.target.Node},
		Field{"outcome", outcome}, Field{"reason", reason}, Field{"pause", pause}, Field{"time_left", call.deadline - s.now})
	s.setPhase(call, phaseBackoff)
	s.timers.set(timerKey{kind: timerIngressRetry, call: call.handle}, s.now+pause)
}

// retryPause returns the pause after an attempt: a random one between half of the backoff and all of it.
func (s *State) retryPause(attempt int) time.Duration {
	backoff := retryBackoff
	for range max(attempt-1, 0) {
		backoff = min(backoff*retryGrowth, retryBackoffMax)
	}
	return backoff/2 + s.jitter(backoff/2)
}

// mayRetry applies the rule for refusals under load: one retry, and only where another upstream is
// expected to serve the call in time. Retries would otherwise add load to a pool that has too much.
func (s *State) mayRetry(call *ingressCall, outcome Outcome, reason Reason) bool {
	if outcome != OutcomeNotRun || !overloadRefusal(reason) {
		return true
	}
	if call.overloadRetried {
		return false
	}
	call.overloadRetried = true
	pool, ok := s.config.active.Pool(call.route.Pool)
	return ok && len(s.fittingUpstreams(s.usableUpstreams(pool.Service, call.tried), call)) > 0
}

func (s *State) ingressRetry(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil || call.phase != phaseBackoff {
		return
	}
	s.dispatch(call)
}

// fitBy returns the time by which a call should finish: when its response loses worth, or its deadline once it has.
func (c *ingressCall) fitBy(now time.Duration) time.Duration {
	if c.due > now {
		return min(c.due, c.deadline)
	}
	return c.deadline
}

// fittingUpstreams takes the upstreams out of a list at which a call is not expected to finish in its time left.
func (s *State) fittingUpstreams(upstreams []*upstream, call *ingressCall) []*upstream {
	return slices.DeleteFunc(upstreams, func(u *upstream) bool {
		return s.expectedFinish(u, call.route.Priority) > call.fitBy(s.now)-s.now
	})
}

// expectedFinish estimates the time that a call of a priority takes at an upstream. The service time is
// the shortest among the priority's recent calls there: reports are not by route, and a call that
// could finish must not be refused.
func (s *State) expectedFinish(u *upstream, priority int) time.Duration {
	wait := s.expectedWait(u, priority)
	if u.Node == s.cfg.Self {
		return wait + s.target.queue.least[priority].time
	}
	return wait + u.load.report.LeastServiceTimes[priority] + hopMargin + s.extraHop(u.Zone)
}

// lateFinish estimates the time that a call takes at an upstream behind all that can be answered in time.
func (s *State) lateFinish(u *upstream, priority int) time.Duration {
	if u.Node == s.cfg.Self {
		return s.target.queue.lateWait(priority, s.slots()) + s.target.queue.least[priority].time
	}
	return u.load.report.LateWaits[priority] + u.load.report.LeastServiceTimes[priority] + hopMargin + s.extraHop(u.Zone)
}

// refusesEarly reports whether fresh reports of all usable upstreams say that a new call cannot finish in
// time. One such call in earlyProbe is let through.
func (s *State) refusesEarly(call *ingressCall) bool {
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		return false
	}
	usable := s.usableUpstreams(pool.Service, nil)
	for _, u := range usable {
		if u.Node != s.cfg.Self && !u.load.fresh(s.now, earlyReportFresh) {
			return false
		}
		wait, finish := s.expectedWait(u, call.route.Priority), s.expectedFinish(u, call.route.Priority)
		if wait == 0 || finish <= call.fitBy(s.now)-s.now {
			return false
		}
		if call.due > 0 && s.lateFinish(u, call.route.Priority) <= call.deadline-s.now {
			return false
		}
	}
	return len(usable) > 0 && s.random(earlyProbe) != 0
}
