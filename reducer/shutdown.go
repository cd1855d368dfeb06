package reducer

import "time"

// lameDuckDuration is how long a leaving node still accepts new calls of callers, so that they notice and move to other
// nodes before the listener closes.
const lameDuckDuration = 2 * time.Second

// shutdownPhase is a step of a graceful shutdown; the phases follow each other in this order.
type shutdownPhase uint8

const (
	phaseServing shutdownPhase = iota
	// In phaseLameDuck the node refuses calls of peers but still accepts those of callers.
	phaseLameDuck
	phaseAwaitingCalls // until the calls in progress have ended
	phaseHandingOver
	phaseLeft // the other nodes are being told that this node has left
	phaseStopped
)

// shutdownState tracks the progress of a graceful shutdown.
type shutdownState struct {
	phase             shutdownPhase
	deadline          time.Duration // latest end of phaseAwaitingCalls
	pendingHandOvers  int           // HandOver effects without a result
	recordsHandedOver bool          // other nodes have taken over all records of idempotency keys
}

// refusesForwardedCalls reports whether this node refuses calls that peers forward.
func (d *shutdownState) refusesForwardedCalls() bool { return d.phase != phaseServing }

// mayEndBefore reports whether the process may end before a call that arrives now has used up its time. A call is still
// taken in phaseLameDuck: most end long before their timeout, and the caller has not noticed yet that the node leaves.
// Later only callers with open connections send calls, and calls that the backend server makes for the work that it
// finishes.
func (d *shutdownState) mayEndBefore(deadline time.Duration) bool {
	return d.phase > phaseLameDuck && deadline > d.deadline
}

func (d *shutdownState) ownMemberState() MemberState {
	switch d.phase {
	case phaseServing:
		return MemberAlive
	case phaseLeft, phaseStopped:
		return MemberLeft
	default:
		return MemberLeaving
	}
}

// handleShutdownRequested starts a graceful shutdown. Further requests have no effect.
func (s *State) handleShutdownRequested() {
	if s.shutdown.phase != phaseServing {
		return
	}
	s.shutdown.phase = phaseLameDuck
	s.shutdown.deadline = s.now + s.cfg.ShutdownTimeout
	s.log(LevelInfo, "leaving", Field{"calls", len(s.ingress.calls)}, Field{"queued", s.target.queue.len()})
	s.advanceRolloutsNow()
	s.updateSelf()
	s.timers.set(timerKey{kind: timerShutdown}, s.now+lameDuckDuration)
}

// advanceShutdown moves to the next phase when the time of the current one is over.
func (s *State) advanceShutdown() {
	switch s.shutdown.phase {
	case phaseLameDuck:
		s.shutdown.phase = phaseAwaitingCalls
		s.emit(CloseListener{})
		s.timers.set(timerKey{kind: timerShutdown}, s.shutdown.deadline)
		s.handOverWhenIdle()
	case phaseAwaitingCalls:
		s.log(LevelWarn, "shutdown timeout reached", Field{"calls", len(s.ingress.calls)}, Field{"running", s.target.running})
		s.leave()
	case phaseHandingOver:
		s.log(LevelWarn, "records of keys were not taken over in time", Field{"nodes", s.shutdown.pendingHandOvers})
		s.shutdown.recordsHandedOver = false
		s.leave()
	case phaseLeft:
		s.shutdown.phase = phaseStopped
		s.emit(StopProcess{})
	}
}

// handOverWhenIdle starts the handover of a graceful shutdown once no call is in progress.
func (s *State) handOverWhenIdle() {
	if s.shutdown.phase == phaseAwaitingCalls && len(s.ingress.calls) == 0 && len(s.target.calls) == 0 {
		s.startHandOver()
	}
}

// leave tells the other nodes that this node has left, and schedules the end of the process.
func (s *State) leave() {
	s.shutdown.phase = phaseLeft
	s.withdrawNodeEntry()
	s.updateSelf()
	s.timers.set(timerKey{kind: timerShutdown}, s.now+exitDelay)
}
