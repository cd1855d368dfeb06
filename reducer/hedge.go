package reducer

import (
	"slices"
	"time"
)

// slowFactor is how many times the expected time an attempt must have taken before another one is started beside it. A
// call that waits in a queue as expected would only add load.
const slowFactor = 2

// openAttempt is an attempt that goes on while a later one of the same idempotent call does. The first response counts.
type openAttempt struct {
	number int
	target PeerRef
	local  bool // at the backend server beside this node
}

// hedgeAt returns when another attempt of an idempotent call may be started beside the present one, 0 for never: after
// half of the time in which its response has its full worth, or of its whole time, and several times what it was
// expected to take.
func (c *ingressCall) hedgeAt() time.Duration {
	if !c.route.Idempotent || c.hedged {
		return 0
	}
	worth := c.deadline
	if c.due > c.sentAt {
		worth = min(worth, c.due)
	}
	return c.sentAt + max((worth-c.sentAt)/2, slowFactor*c.expected)
}

// hedge starts another attempt beside one that has gone without an answer for too long, once for a call, where it is
// expected to finish in the rest of its time. The attempt before goes on: the new one may be refused. Without it every
// call that was sent to an upstream that has become slow is late, until enough of them were late.
func (s *State) hedge(call *ingressCall) bool {
	if at := call.hedgeAt(); at == 0 || s.now < at {
		return false
	}
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		return false
	}
	proven := s.provenUpstreams(s.usableUpstreams(pool.Service, call.tried), call)
	if len(proven) == 0 || !s.takeRetry(call) {
		return false
	}
	next := s.lessLoaded(proven, call.route.Priority, pool.Ramp)
	s.logCall(call, "attempt is slow, another one starts beside it", Field{"attempt", call.attempt}, Field{"target", call.target.Node},
		Field{"waited", s.now - call.sentAt}, Field{"expected", call.expected}, Field{"next", next.Node}, Field{"time_left", call.deadline - s.now})
	call.hedged, call.lastReason = true, ReasonDeadline
	call.earlier = &openAttempt{number: call.attempt, target: call.target, local: call.phase == phaseLocal}
	s.observeSilence(call.target.Node)
	s.setPhase(call, phaseBackoff)
	s.sendTo(call, next.Member)
	return true
}

// provenUpstreams takes the upstreams out of a list that are not expected to finish a call in time by a fresh
// report of calls of the same priority. One that refuses everything has a short queue, too.
func (s *State) provenUpstreams(upstreams []*upstream, call *ingressCall) []*upstream {
	priority := call.route.Priority
	return slices.DeleteFunc(s.fittingUpstreams(upstreams, call), func(u *upstream) bool {
		if u.Node == s.cfg.Self {
			return s.target.queue.least[priority].time == 0
		}
		return u.load.report.LeastServiceTimes[priority] == 0 || !u.load.fresh(s.now, earlyReportFresh)
	})
}

// awaitEarlier leaves a call whose later attempt has ended to the earlier one.
func (s *State) awaitEarlier(call *ingressCall, outcome Outcome) {
	call.mayHaveRun = call.mayHaveRun || outcome != OutcomeNotRun
	s.timers.cancel(timerKey{kind: timerIngressProbe, call: call.handle})
	s.setPhase(call, phaseHedged)
}

// earlierForwarded handles the end of an earlier attempt at another node.
func (s *State) earlierForwarded(call *ingressCall, in ForwardDone) {
	if in.Result != ForwardAnswered {
		s.earlierEnded(call, OutcomeUnknown, ReasonPeerUnreachable, Deliver{})
		return
	}
	s.earlierEnded(call, in.Outcome, in.Reason, Deliver{Call: call.handle, ID: call.id, Attempt: in.Attempt})
}

// earlierEnded delivers the response of an earlier attempt, or goes on with the later one alone.
func (s *State) earlierEnded(call *ingressCall, outcome Outcome, reason Reason, deliver Deliver) {
	call.earlier = nil
	if outcome == OutcomeDone {
		s.cancelPresent(call)
		s.emit(deliver)
		s.finish(call, OutcomeDone, reason)
		return
	}
	call.mayHaveRun = call.mayHaveRun || outcome != OutcomeNotRun
	if call.phase == phaseHedged {
		s.retryOrRefuse(call, outcome, reason)
	}
}

// cancelPresent ends the present attempt of a call, whose response nobody needs.
func (s *State) cancelPresent(call *ingressCall) {
	switch call.phase {
	case phaseForwarded:
		s.emit(Cancel{To: call.target, ID: call.id})
	case phaseLocal:
		s.abandonTarget(call.handle)
	}
}

// cancelEarlier ends the earlier attempt of a call that has ended.
func (s *State) cancelEarlier(call *ingressCall) {
	earlier := call.earlier
	if earlier == nil {
		return
	}
	call.earlier = nil
	if earlier.local {
		s.abandonTarget(call.handle)
		return
	}
	s.emit(Cancel{To: earlier.target, ID: call.id})
}
