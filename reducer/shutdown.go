package reducer

import "time"

// lameDuck is how long a node that is leaving still takes new calls of callers, so that they notice
// and move on before the listener closes.
const lameDuck = 2 * time.Second

type shutdownPhase uint8

const (
	phaseServing shutdownPhase = iota
	phaseLameDuck
	phaseWaiting // for the calls in progress
	phaseHandingOver
	phaseLeft // the other nodes are told
	phaseStopped
)

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	phase    shutdownPhase
	deadline time.Duration
	pending  int  // nodes that have not answered a HandOver
	handed   bool // all records of keys were taken over
}

// refusesPeers reports whether calls forwarded by peers are refused.
func (d *shutdownState) refusesPeers() bool { return d.phase != phaseServing }

func (d *shutdownState) memberState() MemberState {
	switch d.phase {
	case phaseServing:
		return MemberAlive
	case phaseLeft, phaseStopped:
		return MemberLeft
	default:
		return MemberLeaving
	}
}

func (s *State) shutdownRequested() {
	if s.shutdown.phase != phaseServing {
		return
	}
	s.shutdown.phase = phaseLameDuck
	s.shutdown.deadline = s.now + s.cfg.ShutdownTimeout
	s.log(LevelInfo, "leaving", Field{"calls", len(s.ingress.calls)}, Field{"queued", s.target.queue.len()})
	s.updateSelf()
	s.timers.set(timerKey{kind: timerShutdown}, s.now+lameDuck)
}

func (s *State) shutdownDue() {
	switch s.shutdown.phase {
	case phaseLameDuck:
		s.shutdown.phase = phaseWaiting
		s.emit(CloseListener{})
		s.timers.set(timerKey{kind: timerShutdown}, s.shutdown.deadline)
		s.shutdownProgress()
	case phaseWaiting:
		s.log(LevelWarn, "shutdown timeout reached", Field{"calls", len(s.ingress.calls)}, Field{"running", s.target.running})
		s.leave()
	case phaseHandingOver:
		s.log(LevelWarn, "records of keys were not taken over in time", Field{"nodes", s.shutdown.pending})
		s.shutdown.handed = false
		s.leave()
	case phaseLeft:
		s.shutdown.phase = phaseStopped
		s.emit(StopProcess{})
	}
}

// shutdownProgress goes on with a graceful shutdown when there are no calls in progress any more.
func (s *State) shutdownProgress() {
	if s.shutdown.phase == phaseWaiting && len(s.ingress.calls) == 0 && len(s.target.calls) == 0 {
		s.startHandOver()
	}
}

// leave tells the other nodes that this one has left.
func (s *State) leave() {
	s.shutdown.phase = phaseLeft
	s.withdraw()
	s.updateSelf()
	s.timers.set(timerKey{kind: timerShutdown}, s.now+exitDelay)
}
