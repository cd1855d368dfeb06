package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// admitMargin is the part of the time left, in deviations of the service time, that a call that has to wait
// needs beyond the mean. An exponential service time exceeds its mean by three deviations in 4 of 100
// executions. The margin takes at most half of the time left beyond the mean, so that a route with
// widely varying times is still queued.
const admitMargin = 3

// startMargin is the same for the start of a queued call. It is smaller, because the wait is over.
const startMargin = 2

// admissionReason returns why a call is not queued, or ReasonNone.
func (s *State) admissionReason(call *targetCall) Reason {
	pool, ok := s.config.active.PoolOfService(s.backend.service)
	switch {
	case s.shutdown.refusesPeers() && !call.local:
		return ReasonLeaving
	case s.backend.state == UpstreamDraining:
		return ReasonDraining
	case s.backend.state != UpstreamReady || !ok || s.otherService(call):
		return ReasonNoUpstream
	case !call.idempotent && s.recordsFull():
		return ReasonRecordsFull
	case s.tooLate(call, pool):
		return ReasonDeadline
	case !s.makeRoom(call, pool):
		return ReasonQueueFull
	}
	return ReasonNone
}

// otherService reports whether a call is for a pool whose service is not the one beside this node.
func (s *State) otherService(call *targetCall) bool {
	pool, known := s.config.active.Pool(call.pool)
	return known && pool.Service != s.backend.service
}

// tooLate reports whether a new call is not expected to finish in its time left.
func (s *State) tooLate(call *targetCall, pool tables.Pool) bool {
	q := &s.target.queue
	slots := s.slots()
	q.advance(s.now, slots, pool)
	service, margin := s.expectedService(call)
	q.noteService(call.priority, service)
	if call.due > 0 {
		call.late = misses(q.wait(call.priority, slots, pool, call.due), service, margin, call.due-s.now)
	}
	if call.late {
		return misses(q.lateWait(call.priority, slots), service, margin, call.deadline-s.now)
	}
	return misses(q.wait(call.priority, slots, pool, call.due), service, margin, call.deadline-s.now)
}

// misses reports whether a call that waits and then runs for a service time is expected to end after the time left.
func misses(wait, service, deviation, left time.Duration) bool {
	if left <= 0 || wait+service > left {
		return true
	}
	return wait > 0 && wait > left-service-min(admitMargin*deviation, (left-service)/2)
}

// becomesLate reports whether a call that is about to start can no longer be answered while its response has its full
// worth. It gives its place to calls that can, and is refused when it would not be served behind them.
func (s *State) becomesLate(call *targetCall) bool {
	if call.late || call.due == 0 {
		return false
	}
	service, deviation := s.expectedService(call)
	if s.now+service <= call.due {
		return false
	}
	call.late = true
	q := &s.target.queue
	if misses(q.lateWait(call.priority, s.slots()), service, deviation, call.deadline-s.now) {
		s.refusePopped(call, ReasonDeadline)
	} else {
		q.put(call)
	}
	return true
}

// expectedService returns the mean and the deviation of the service time of a call, or zeros when no
// execution of its route was seen recently enough to refuse calls for it. The times of other routes do not count: a
// route that is refused for them would never run to show its own.
func (s *State) expectedService(call *targetCall) (mean, deviation time.Duration) {
	stats := s.target.queue.service.routes[call.route]
	if stats == nil || stats.stale(s.now) {
		return 0, 0
	}
	return stats.mean, stats.deviation
}

// tooLateToStart reports whether a queued call would probably not finish in its time left. While other
// calls of its priority wait, the slot is worth more to them than to a call that needs luck.
func (s *State) tooLateToStart(call *targetCall) bool {
	left := call.deadline - s.now
	need, deviation := s.expectedService(call)
	if s.target.queue.waiting[call.priority].count > 0 && !call.late {
		need += startMargin * deviation
	}
	return left <= 0 || need > left
}

// makeRoom refuses queued calls of other priorities until a new call fits the limits of the queue, or
// returns false.
func (s *State) makeRoom(call *targetCall, pool tables.Pool) bool {
	q := &s.target.queue
	for q.count >= pool.QueueLimit || s.target.queuedBytes+call.bytes > s.cfg.Limits.MaxQueuedBytes {
		victim := q.victim(call.priority, pool)
		if victim == nil {
			return false
		}
		s.dropQueued(victim, ReasonQueueFull)
	}
	return true
}

// victim returns the call that gives its place in a full queue to a call of a priority, or nil: a late one, or the
// newest of the least urgent priority that holds more places than its minimum share. A more urgent
// priority gives up a place only for a call of one that holds fewer places than its minimum share.
func (q *priorityQueue) victim(priority int, pool tables.Pool) *targetCall {
	if q.discipline == DisciplineFIFO {
		return nil
	}
	for p := tables.Priorities - 1; p >= 0; p-- {
		if q.late[p].count > 0 {
			return q.late[p].tail
		}
	}
	below := q.waiting[priority].count < q.sharePlaces(priority, pool)
	for p := tables.Priorities - 1; p >= 0; p-- {
		if p == priority || p < priority && !below {
			continue
		}
		if q.waiting[p].count > q.sharePlaces(p, pool) {
			return q.waiting[p].tail
		}
	}
	return nil
}

// sharePlaces returns how many places in the queue a priority keeps in a flood of others.
func (q *priorityQueue) sharePlaces(priority int, pool tables.Pool) int {
	if q.discipline != DisciplineShares {
		return 0
	}
	return (pool.MinShares[priority]*pool.QueueLimit + 99) / 100
}

// startCalls gives free slots to queued calls. A queued call that has become too late is refused and
// takes no slot. While calls wait and the backend server is ramping up, a timer gives out the slots that
// are added.
func (s *State) startCalls() {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	slots := s.slots()
	for s.target.running < slots {
		call := s.target.queue.pop(s.now, slots, pool)
		if call == nil {
			break
		}
		if s.becomesLate(call) {
			continue
		}
		if s.tooLateToStart(call) {
			s.refusePopped(call, ReasonDeadline)
			continue
		}
		s.target.queue.begin(call, slots, pool)
		s.start(call)
	}
	s.scheduleRamp()
}

// scheduleRamp sets the timer for the next slot of a ramping backend server when calls wait for it.
func (s *State) scheduleRamp() {
	if at, ramping := s.nextSlotAt(); ramping && s.target.queue.len() > 0 {
		s.timers.set(timerKey{kind: timerRamp}, at)
	}
}

// dropQueued refuses a call that waits for a slot.
func (s *State) dropQueued(call *targetCall, reason Reason) {
	s.target.queue.remove(call)
	s.refusePopped(call, reason)
}

// refusePopped refuses a call that was taken from the queue and did not start.
func (s *State) refusePopped(call *targetCall, reason Reason) {
	s.target.queuedBytes -= call.bytes
	s.removeTarget(call)
	s.conclude(call, OutcomeNotRun, reason, BackendRequestDone{})
	s.shutdownProgress()
}

// loadReport describes the queue for the nodes that send calls here.
func (s *State) loadReport() LoadReport {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	q := &s.target.queue
	report := LoadReport{
		ServiceTime: q.serviceTime(), Slots: s.slots(), Running: s.target.running, Queued: q.len(),
	}
	q.advance(s.now, report.Slots, pool)
	for priority := range report.Waits {
		least := q.least[priority]
		if least.at == 0 || s.now-least.at > leastKept {
			continue // nobody asks for this priority
		}
		report.LeastServiceTimes[priority] = least.time
		report.Waits[priority] = q.wait(priority, report.Slots, pool, 0)
		report.LateWaits[priority] = q.lateWait(priority, report.Slots)
	}
	return report
}
