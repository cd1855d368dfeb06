package reducer

import (
	"slices"
	"time"
)

// hedgeDelayFactor is how many times its expected duration an attempt must have taken before it is hedged. Hedging a
// call that waits in a queue as expected would only add load.
const hedgeDelayFactor = 2

// earlierAttempt is an attempt that is still open while a hedged attempt of the same call runs. The first response
// counts.
type earlierAttempt struct {
	number int
	target PeerRef
	local  bool // at the backend server beside this node
}

// hedgeTime returns when a call may be hedged, 0 for never. By then the current attempt has taken half of its time
// until the due time, or until the deadline without one, and at least hedgeDelayFactor times the expected duration.
// Only idempotent calls are hedged, and only once.
func (c *ingressCall) hedgeTime() time.Duration {
	if !c.route.Idempotent || c.hedged {
		return 0
	}
	end := c.deadline
	if c.due > c.sentAt {
		end = min(end, c.due)
	}
	return c.sentAt + max((end-c.sentAt)/2, hedgeDelayFactor*c.expectedDuration)
}

// tryHedge starts another attempt in parallel to one that has been unanswered for too long, at an upstream that is
// expected to answer in the time left, and reports whether it did. The earlier attempt stays open, because the new one
// may be refused. Without hedging, every call to an upstream that has become slow is late until enough late calls eject
// it.
func (s *State) tryHedge(call *ingressCall) bool {
	if at := call.hedgeTime(); at == 0 || s.now < at || s.admittedShare(call.route.Name) < 1 {
		return false
	}
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		return false
	}
	targets := s.filterHedgeTargets(s.drawVersion(pool.Service, s.usableUpstreams(pool.Service, call.tried)), call)
	if len(targets) == 0 || !s.takeRetry(call) {
		return false
	}
	next := s.pickLessLoaded(targets, s.criteriaFor(pool, call.loadClass()))
	s.logCall(call, "attempt is slow, another one starts beside it", Field{"attempt", call.attempt}, Field{"target", call.target.Node},
		Field{"waited", s.now - call.sentAt}, Field{"expected", call.expectedDuration}, Field{"next", next.Node}, Field{"time_left", call.deadline - s.now})
	call.hedged, call.lastReason = true, ReasonDeadline
	call.earlier = &earlierAttempt{number: call.attempt, target: call.target, local: call.phase == ingressLocal}
	s.observeTimeout(call.target.Node)
	s.setPhase(call, ingressBackoff)
	s.startAttempt(call, next.Member)
	return true
}

// filterHedgeTargets removes, in place, the upstreams that are not expected to finish a call in time by a fresh report
// of calls of the same priority: an upstream that refuses all calls also has a short queue.
func (s *State) filterHedgeTargets(upstreams []*servingUpstream, call *ingressCall) []*servingUpstream {
	priority := call.loadClass()
	return slices.DeleteFunc(s.filterFittingUpstreams(upstreams, call), func(u *servingUpstream) bool {
		if u.Node == s.cfg.Self {
			return s.target.queue.shortestOf(priority) == 0
		}
		return u.load.report.shortestOf(priority) == 0 || !u.load.hasFreshReport(s.now, earlyReportMaxAge)
	})
}

// awaitEarlier keeps a call waiting for its earlier attempt after the hedged one has ended without a response.
func (s *State) awaitEarlier(call *ingressCall, outcome Outcome) {
	call.mayHaveRun = call.mayHaveRun || outcome != OutcomeNotRun
	s.timers.cancel(timerKey{kind: timerIngressCheck, call: call.handle})
	s.setPhase(call, ingressAwaitingEarlier)
}

// handleEarlierForwardDone handles the end of an earlier attempt at another node.
func (s *State) handleEarlierForwardDone(call *ingressCall, in ForwardDone) {
	if in.Result != ForwardAnswered {
		s.handleEarlierEnded(call, OutcomeUnknown, ReasonPeerUnreachable, Deliver{})
		return
	}
	s.handleEarlierEnded(call, in.Outcome, in.Reason, Deliver{Call: call.handle, ID: call.id, Attempt: in.Attempt})
}

// handleEarlierEnded delivers the response of the earlier attempt. Without one the call goes on with the hedged
// attempt, or is retried or failed when that has ended too.
func (s *State) handleEarlierEnded(call *ingressCall, outcome Outcome, reason Reason, deliver Deliver) {
	call.earlier = nil
	if outcome == OutcomeDone {
		s.cancelCurrent(call)
		s.emit(deliver)
		s.finish(call, OutcomeDone, reason)
		return
	}
	call.mayHaveRun = call.mayHaveRun || outcome != OutcomeNotRun
	if call.phase == ingressAwaitingEarlier {
		s.retryOrFail(call, outcome, reason)
	}
}

// cancelCurrent cancels the current attempt of a call that another attempt has answered.
func (s *State) cancelCurrent(call *ingressCall) {
	switch call.phase {
	case ingressForwarded:
		s.emit(Cancel{To: call.target, ID: call.id, Attempt: call.attempt})
	case ingressLocal:
		s.abandonTargetCall(call.handle)
	}
}

// cancelEarlier cancels the earlier attempt of a call that has finished.
func (s *State) cancelEarlier(call *ingressCall) {
	earlier := call.earlier
	if earlier == nil {
		return
	}
	call.earlier = nil
	if earlier.local {
		s.abandonTargetCall(call.handle)
		return
	}
	s.emit(Cancel{To: earlier.target, ID: call.id, Attempt: earlier.number})
}
