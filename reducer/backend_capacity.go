package reducer

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/capacity"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// resetTime is the time within which a backend server that is full resets a connection: a round trip on the same instance and
// the waking of threads on a busy one.
const resetTime = 50 * time.Millisecond

// resetDivisor is the part of the expected time of its route by which a request must have been reset to count as refused by a
// full backend server. One whose connection fails later may have run and lost its response.
const resetDivisor = 4

// wasResetAtOnce reports whether a request that failed was reset before it can have run.
func (c *targetCall) wasResetAtOnce(now time.Duration) bool {
	return now-c.startedAt <= min(resetTime, c.expected/resetDivisor)
}

// BackendCapacity is what this node has learned of the capacity of its backend server, for status and metrics.
type BackendCapacity struct {
	Limit         int // requests at one time, 0 when nothing was learned
	Resets, Hangs uint64
}

func (s *State) backendCapacity() BackendCapacity {
	l := &s.target.capacity
	return BackendCapacity{Limit: l.Limit(s.now, s.backend.declaredSlots), Resets: l.Resets, Hangs: l.Hangs}
}

// slots returns how many calls the backend server may run at one time.
func (s *State) slots() int {
	slots := s.rampSlots()
	if slots == 0 {
		return 0
	}
	return s.target.capacity.Slots(s.now, slots)
}

// backendTimeout returns how long a request may take at the backend server. One that is not idempotent is not aborted at its
// deadline, so that its record gets an outcome, unless the backend server leaves requests without an answer: then it would
// keep its slot for tables.MaxTimeout. An idempotent one is then ended while another upstream can still serve it.
func (s *State) backendTimeout(call *targetCall) time.Duration {
	left := call.deadline - s.now
	hanging := call.expected > 0 && s.target.capacity.Hanging(s.now, s.backend.declaredSlots)
	switch {
	case hanging && call.idempotent:
		return min(left, capacity.HungAfter(call.expected))
	case hanging:
		return min(max(left, capacity.HungAfter(call.expected)), tables.MaxTimeout)
	case call.idempotent:
		return left
	default:
		return tables.MaxTimeout
	}
}

// noteStart notes what is known as a request starts. Times of other routes do not count: a route of long requests would seem to
// hang.
func (s *State) noteStart(call *targetCall) {
	call.occupancy = s.target.running + s.target.capacity.Held(s.now)
	if stats := s.target.queue.service.routes[call.route]; stats != nil {
		call.expected = stats.answered.Time()
	}
}

// isHung reports whether a call has run so long without an answer that it counts as hung.
func (c *targetCall) isHung(now time.Duration) bool {
	return c.expected > 0 && now-c.startedAt >= capacity.HungAfter(c.expected)
}

// pausedDuring reports whether this process was paused while a call ran. Its answer may have come and not been read.
func (s *State) pausedDuring(call *targetCall) bool {
	return s.owners.hasPaused && call.startedAt < s.owners.resumedAt
}

// observeCapacity learns from the end of a request to the backend server.
func (s *State) observeCapacity(call *targetCall, result BackendResult) {
	if !s.cfg.LearnCapacity {
		return
	}
	stats := s.target.queue.service.statsOf(call.route)
	switch {
	case result == BackendAnswered:
		stats.answered.Answered(s.now, s.now-call.startedAt)
		s.noteCapacity(call, capacity.Answered)
	case result == BackendFailed && call.wasResetAtOnce(s.now):
		s.noteCapacity(call, capacity.Reset)
	case result == BackendAborted:
		s.target.capacity.Abandon(s.now, call.cost)
		if call.isHung(s.now) {
			stats.answered.Missed(call.startedAt)
		}
		if !call.hangNoted && call.expected > 0 && !s.pausedDuring(call) {
			s.noteCapacity(call, capacity.WithoutAnswer(s.now-call.startedAt, call.expected))
		}
	}
}

// noteCapacity notes a result, and logs a limit that it has lowered. A backend server that hangs does not get its time for
// calls whose callers are gone.
func (s *State) noteCapacity(call *targetCall, result capacity.Result) {
	l := &s.target.capacity
	overdue := 0
	if result == capacity.Hung {
		overdue = s.countOverdue()
	}
	if !l.Ended(s.now, result, call.occupancy, overdue, s.backend.declaredSlots) {
		return
	}
	s.log(LevelWarn, "backend server is full below its slots", Field{"instance", s.backend.instance}, Field{"running", call.occupancy},
		Field{"slots", s.backend.declaredSlots}, Field{"limit", l.Limit(s.now, s.backend.declaredSlots)}, Field{"resets", l.Resets}, Field{"hangs", l.Hangs})
	if l.Hanging(s.now, s.backend.declaredSlots) {
		s.abortHungCalls()
	}
}

// countOverdue returns the number of requests that have run so long without an answer that they count as hung.
func (s *State) countOverdue() (count int) {
	for _, call := range s.target.calls {
		if call.phase == targetRunning && call.isHung(s.now) && !s.pausedDuring(call) {
			count++
		}
	}
	return count
}

// abortHungCalls ends the requests that hang and whose callers have their answer. Their outcome is unknown.
func (s *State) abortHungCalls() {
	var hung []Handle
	for handle, call := range s.target.calls {
		if call.phase == targetRunning && call.abandoned && call.isHung(s.now) {
			hung = append(hung, handle)
		}
	}
	slices.Sort(hung)
	for _, handle := range hung {
		s.emit(AbortBackendRequest{Call: handle})
	}
}

// observeExpired notes a running call that is not idempotent and whose deadline has passed. It runs on, but not at a backend
// server that hangs.
func (s *State) observeExpired(call *targetCall) {
	if !s.cfg.LearnCapacity || call.idempotent || call.expected == 0 || call.hangNoted || s.pausedDuring(call) {
		return
	}
	if !call.isHung(s.now) {
		s.timers.set(timerKey{kind: timerTargetDeadline, call: call.handle}, call.startedAt+capacity.LostAfter(call.expected))
		return
	}
	if s.target.capacity.Hanging(s.now, s.backend.declaredSlots) {
		s.emit(AbortBackendRequest{Call: call.handle})
		return
	}
	call.hangNoted = true
	s.noteCapacity(call, capacity.WithoutAnswer(s.now-call.startedAt, call.expected))
}

// abortReason returns the reason for a request that was ended before its deadline because it hung: unlike one that had all of
// its time, it can be retried at another upstream.
func (s *State) abortReason(call *targetCall, reason Reason, result BackendResult) Reason {
	if result == BackendAborted && !call.abandoned && s.now < call.deadline && call.isHung(s.now) {
		return ReasonBackendFailed
	}
	return reason
}
