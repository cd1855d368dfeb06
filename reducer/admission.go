package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// admitDeviations is the safety margin for admitting a call that has to wait, in mean absolute deviations of its
// service time. An exponentially distributed service time exceeds its mean by three deviations in 4 of 100 executions.
// The margin takes at most half of the time left beyond the mean, so that calls of a route with widely varying service
// times can still be queued.
const admitDeviations = 3

// startDeviations is the same margin for starting a queued call. It is smaller, because the wait is over.
const startDeviations = 2

// refusalReason returns why a call cannot be queued, or ReasonNone. It may refuse queued calls to make room for it.
func (s *State) refusalReason(call *targetCall) Reason {
	pool, ok := s.config.active.PoolOfService(s.backend.service)
	switch {
	case s.shutdown.refusesForwardedCalls() && !call.local:
		return ReasonLeaving
	case s.backend.state == UpstreamDraining, s.isOwnVersionForbidden():
		return ReasonDraining
	case s.backend.state != UpstreamReady || !ok || s.isForOtherService(call):
		return ReasonNoUpstream
	case !call.idempotent && s.isRecordTableFull():
		return ReasonRecordsFull
	case s.cannotMeetDeadline(call, pool):
		return ReasonDeadline
	case s.isWithheldHere(call):
		return ReasonNestedFailing
	case s.linkRefuses(call):
		return ReasonDeadline
	case !s.makeRoom(call, pool):
		return ReasonQueueFull
	}
	return ReasonNone
}

// isForOtherService reports whether a call is for a pool whose service is not the one beside this node.
func (s *State) isForOtherService(call *targetCall) bool {
	pool, known := s.config.active.Pool(call.pool)
	return known && pool.Service != s.backend.service
}

// cannotMeetDeadline reports whether a new call is not expected to end by its deadline. It also decides whether the
// call is late.
func (s *State) cannotMeetDeadline(call *targetCall, pool tables.Pool) bool {
	q := &s.target.queue
	slots := s.slots()
	q.advance(s.now, slots, pool)
	service, deviation := s.expectedService(call)
	q.noteShortest(call, service)
	if call.nested {
		return missesDeadline(q.nestedWait(call.priority, slots, pool, call.due), service, deviation, call.deadline-s.now)
	}
	if call.due > 0 {
		call.late = missesDeadline(q.waitOfCall(call, slots, pool, call.due), service, deviation, call.due-s.now)
	}
	if call.late {
		return missesDeadline(q.lateWait(call.priority, slots, pool, service), service, deviation, call.deadline-s.now)
	}
	return missesDeadline(q.waitOfCall(call, slots, pool, call.due), service, deviation, call.deadline-s.now)
}

// missesDeadline reports whether a call is expected to take longer than left, the time until its deadline or due time.
// One that has to wait needs a margin of admitDeviations.
func missesDeadline(wait, service, deviation, left time.Duration) bool {
	if left <= 0 || wait+service > left {
		return true
	}
	return wait > 0 && wait > left-service-min(admitDeviations*deviation, (left-service)/2)
}

// requeueIfLate reports whether a call that pop returned has become late and does not start now. It is queued again
// behind those that can still end by their due time, or refused if it would miss its deadline there.
func (s *State) requeueIfLate(call *targetCall) bool {
	if call.late || call.nested || call.due == 0 {
		return false
	}
	service, deviation := s.expectedService(call)
	if s.now+service <= call.due {
		return false
	}
	call.late = true
	q := &s.target.queue
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	if missesDeadline(q.lateWait(call.priority, s.slots(), pool, service), service, deviation, call.deadline-s.now) {
		s.refuseDequeued(call, ReasonDeadline)
	} else {
		q.insert(call)
	}
	return true
}

// expectedService returns the mean and the deviation of the service time of a call, or zeros when no recent execution
// of its route is known. Other routes do not count: a route that is refused because of them would never run and never
// get service times of its own.
func (s *State) expectedService(call *targetCall) (mean, deviation time.Duration) {
	stats := s.target.queue.service.routes[call.route]
	if stats == nil || stats.isStale(s.now) {
		return 0, 0
	}
	return stats.mean, stats.deviation
}

// isTooLateToStart reports whether a queued call would probably not end by its deadline. While others of its priority
// wait, it needs a margin of startDeviations, because they are more likely to make use of the slot.
func (s *State) isTooLateToStart(call *targetCall) bool {
	left := call.deadline - s.now
	need, deviation := s.expectedService(call)
	if s.target.queue.list(call).count > 0 && !call.late {
		need += startDeviations * deviation
	}
	return left <= 0 || need > left
}

// makeRoom refuses queued calls until a new one fits the limits of the queue, or returns false.
func (s *State) makeRoom(call *targetCall, pool tables.Pool) bool {
	q := &s.target.queue
	for q.count >= pool.QueueLimit || s.target.queuedBytes+call.bytes > s.cfg.Limits.MaxQueuedBytes {
		candidate := q.evictionFor(call, pool)
		if candidate == nil {
			return false
		}
		s.dropQueued(candidate, ReasonQueueFull)
	}
	return true
}

// evictionCandidate returns the queued call to refuse in favour of a new one, or nil: a late one, or the last one of
// the least urgent other priority that holds more places than are reserved for it. A more urgent priority loses a place
// only to a priority that holds fewer places than are reserved for it.
func (q *priorityQueue) evictionCandidate(priority int, pool tables.Pool) *targetCall {
	if q.discipline == DisciplineFIFO {
		return nil
	}
	for p := tables.Priorities - 1; p >= 0; p-- {
		if q.late[p].count > 0 {
			return q.late[p].tail
		}
	}
	belowReserve := q.waiting[priority].count < q.reservedPlaces(priority, pool)
	for p := tables.Priorities - 1; p >= 0; p-- {
		if p == priority || p < priority && !belowReserve {
			continue
		}
		if q.waiting[p].count > q.reservedPlaces(p, pool) {
			return q.waiting[p].tail
		}
	}
	return q.evictionOfNested(priority, pool)
}

// reservedPlaces returns how many places in the queue the minimum share reserves for a priority.
func (q *priorityQueue) reservedPlaces(priority int, pool tables.Pool) int {
	if q.discipline != DisciplineShares {
		return 0
	}
	return (pool.MinShares[priority]*pool.QueueLimit + 99) / 100
}

// startQueuedCalls gives free slots to queued calls. One that can no longer end by its deadline is refused and takes no
// slot. While calls wait and the backend server ramps up, a timer assigns the slots that are added.
func (s *State) startQueuedCalls() {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	slots := s.slots()
	for s.target.running < slots {
		call := s.target.queue.pop(s.now, slots, pool)
		if call == nil {
			break
		}
		if s.requeueIfLate(call) {
			continue
		}
		if s.isTooLateToStart(call) || s.linkTooSlow(call) {
			s.refuseDequeued(call, ReasonDeadline)
			continue
		}
		s.target.queue.accountStart(call, slots, pool)
		s.startOnBackend(call)
	}
	s.scheduleRamp()
}

// scheduleRamp sets the timer for the next slot of a backend server that ramps up, if calls wait for it.
func (s *State) scheduleRamp() {
	if at, ramping := s.nextSlotAt(); ramping && s.target.queue.len() > 0 {
		s.timers.set(timerKey{kind: timerRamp}, at)
	}
}

func (s *State) dropQueued(call *targetCall, reason Reason) {
	s.target.queue.remove(call)
	s.refuseDequeued(call, reason)
}

// refuseDequeued refuses a call that was removed from the queue and did not start.
func (s *State) refuseDequeued(call *targetCall, reason Reason) {
	s.target.queuedBytes -= call.bytes
	s.removeTargetCall(call)
	s.completeCall(call, OutcomeNotRun, reason, BackendRequestDone{})
	s.handOverWhenIdle()
}

// loadReport returns the load of this node for the nodes that forward calls to it.
func (s *State) loadReport() LoadReport {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	q := &s.target.queue
	report := LoadReport{
		ServiceTime: q.serviceTime(), Slots: s.slots(), Running: s.target.running, Queued: q.len(),
		LinkBacklog: s.links.out.Backlog(s.now), LinkInBacklog: s.links.in.Backlog(s.now),
	}
	q.advance(s.now, report.Slots, pool)
	for priority := range report.Waits {
		shortest := q.shortestService[priority]
		if shortest.at == 0 || s.now-shortest.at > shortestServiceTTL {
			continue // no recent arrivals of this priority
		}
		report.ShortestServiceTimes[priority] = shortest.time
		report.Waits[priority] = q.wait(priority, report.Slots, pool, 0)
		report.LateWaits[priority] = q.lateWait(priority, report.Slots, pool, q.shortestService[priority].time)
	}
	q.addToReport(&report, pool)
	return report
}
