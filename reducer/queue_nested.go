package reducer

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Shares of the slots, in percent, for the queue of nested calls.
const (
	// nestedSharePercent is the share of slot time with which nested calls go before calls of the same and of lower
	// priority. They may take more while nothing else waits. In the overload that was observed they needed half of the slots.
	nestedSharePercent = 75
	// overtakeDivisor gives the part of Pool.NestedOvertake with which nested calls that could still wait go before calls of
	// higher priority that cannot. Without it TestOverloadWithNestedCallsEndsByItself failed for 3 of 8 seeds: too little work
	// was served at twice the load.
	overtakeDivisor = 4
	// nestedClass stands for the nested calls of all priorities where a priority is expected.
	nestedClass = -1
	// maxTightChecks bounds the queued calls of one priority that are checked for being late if they wait.
	maxTightChecks = 64
)

// nestedQueue holds the queued calls that backend servers make for requests that have begun, by priority and in the order of
// their deadlines. While they have credit, which they earn at the rate of their share, they go before requests that have not
// begun of the same and of lower priority. One goes before a request of higher priority if that can still end by its due time
// after it, if the nested call cannot wait either, or while there is overtake credit.
type nestedQueue struct {
	lists    [tables.Priorities]callList
	credit   float64                    // seconds of slot time
	overtake float64                    // seconds of slot time
	arrived  [tables.Priorities]float64 // exponentially decayed slot time of admitted calls, in seconds
	shortest shortestService
	urgent   urgentArrival
}

// urgentArrival is the most urgent priority among the recent arrivals of nested calls.
type urgentArrival struct {
	priority int
	at       time.Duration
}

func (n *nestedQueue) count() int {
	count := 0
	for p := range n.lists {
		count += n.lists[p].count
	}
	return count
}

// work returns the expected slot time of the queued calls of the given priorities, in seconds.
func (n *nestedQueue) work(from, to int) float64 {
	work := time.Duration(0)
	for p := from; p <= to; p++ {
		work += n.lists[p].work
	}
	return work.Seconds()
}

// rate returns the slot time per second that nested calls of the given priorities bring.
func (n *nestedQueue) rate(from, to int) float64 {
	sum := 0.0
	for p := from; p <= to; p++ {
		sum += n.arrived[p]
	}
	return sum / arrivalDecay.Seconds()
}

// nestedShareRate returns the slot time per second with which nested calls go before all others. The minimum shares of the
// priorities are never taken from them.
func nestedShareRate(slots int, pool tables.Pool) float64 {
	return shareBesideMinimum(nestedSharePercent, slots, pool)
}

// leftForNested returns the slot time per second that the admission of a call leaves to nested calls of lower priority.
func leftForNested(slots int, pool tables.Pool) float64 {
	return shareBesideMinimum(pool.NestedOvertake, slots, pool)
}

// overtakeRate returns the rate of the overtake credit, in seconds of slot time per second.
func overtakeRate(slots int, pool tables.Pool) float64 {
	return shareBesideMinimum(pool.NestedOvertake, slots, pool) / overtakeDivisor
}

// shareBesideMinimum returns the slot time per second of a share of the slots, as far as minimum shares leave it.
func shareBesideMinimum(percent, slots int, pool tables.Pool) float64 {
	left := 100
	for _, share := range pool.MinShares {
		left -= share
	}
	return float64(min(percent, left)*slots) / 100
}

// advance accounts for the time since its last call, in seconds.
func (n *nestedQueue) advance(elapsed, decay float64, slots int, pool tables.Pool) {
	for p := range n.arrived {
		n.arrived[p] *= decay
	}
	earn := func(credit, rate float64) float64 { return min(credit+rate*elapsed, rate*shareWindow.Seconds()) }
	n.credit = earn(n.credit, nestedShareRate(slots, pool))
	n.overtake = earn(n.overtake, overtakeRate(slots, pool))
}

// charge takes slot time from the credit. The debt is bounded: the calls may have used slots that nothing else waited for.
func (n *nestedQueue) charge(call *targetCall, cost time.Duration, slots int, pool tables.Pool) {
	spend := func(credit, rate float64) float64 {
		return max(credit-cost.Seconds(), min(credit, -rate*shareWindow.Seconds()))
	}
	n.credit = spend(n.credit, nestedShareRate(slots, pool))
	if call.overtakes {
		n.overtake = spend(n.overtake, overtakeRate(slots, pool))
	}
}

// arrivalRate returns the slot time per second that nested calls bring, at most their share.
func (n *nestedQueue) arrivalRate(slots int, pool tables.Pool) float64 {
	return n.rateBefore(tables.Priorities-1, slots, pool)
}

// rateBefore returns the slot time per second that nested calls take before calls of a priority.
func (n *nestedQueue) rateBefore(priority, slots int, pool tables.Pool) float64 {
	lower := min(n.rate(priority+1, tables.Priorities-1), leftForNested(slots, pool))
	return min(n.rate(0, priority)+lower, nestedShareRate(slots, pool))
}

// nextNested returns the nested call to start next, or nil when none may go before the other calls.
func (q *priorityQueue) nextNested(slots int, pool tables.Pool) *targetCall {
	call := q.earliestNested(tables.Priorities-1, slots)
	if call == nil || q.nested.credit <= 0 {
		return nil
	}
	if pool.NestedOvertake == 0 {
		return q.nextNestedInOrder(call, slots, pool)
	}
	urgent, found := q.tightPriority(call.priority, slots, pool)
	if !found || q.isTight(&q.nested.lists[call.priority], q.meanRunningCost(), float64(max(slots, 1))) {
		return call
	}
	if q.nested.overtake > 0 {
		call.overtakes = true
		return call
	}
	return q.earliestNested(urgent, slots)
}

// nextNestedInOrder returns the nested call to start next in a pool whose nested calls never go before requests of higher
// priority: the given one, or a more urgent one while requests of higher priority than the given one wait.
func (q *priorityQueue) nextNestedInOrder(call *targetCall, slots int, pool tables.Pool) *targetCall {
	for p := range call.priority {
		if q.waiting[p].count > 0 {
			return q.earliestNested(p, slots)
		}
	}
	if q.yieldsToLate(call, slots, pool) {
		return nil
	}
	return call
}

// yieldsToLate reports whether a late request of higher priority goes before a nested call, which can wait for it. No other
// requests wait then.
func (q *priorityQueue) yieldsToLate(call *targetCall, slots int, pool tables.Pool) bool {
	if pool.NestedOvertake > 0 {
		return false
	}
	for p := range q.waiting {
		if q.waiting[p].count > 0 {
			return false
		}
	}
	for p := range call.priority {
		if late := q.late[p].head; late != nil {
			ahead := q.meanRunningCost() + late.cost.Seconds()
			return !q.isTight(&q.nested.lists[call.priority], ahead, float64(max(slots, 1)))
		}
	}
	return false
}

// earliestNested returns the queued nested call with the earliest deadline among those of a priority and more urgent ones, or
// nil. A more urgent one that would miss its deadline goes first.
func (q *priorityQueue) earliestNested(priority, slots int) *targetCall {
	var first *targetCall
	ahead := q.meanRunningCost()
	for p := range priority + 1 {
		list := &q.nested.lists[p]
		if list.head == nil {
			continue
		}
		if first == nil || list.head.due < first.due {
			first = list.head
		}
		if q.isTight(list, ahead, float64(max(slots, 1))) {
			return list.head
		}
		ahead += list.work.Seconds()
	}
	return first
}

// tightPriority returns the most urgent priority above the given one that has requests waiting which would be late if a nested
// call went first.
func (q *priorityQueue) tightPriority(below, slots int, pool tables.Pool) (priority int, found bool) {
	for p := range below {
		if q.waiting[p].count == 0 {
			continue
		}
		ahead, rate := q.aheadOf(p, slots, pool)
		if rate <= 0 || q.isTight(&q.waiting[p], ahead, rate) {
			return p, true
		}
	}
	return 0, false
}

// isTight reports whether a call of a list would not end by its due time behind the given work, which is served at a rate,
// and the calls of the list that are due before it. One that would be late even if it started now does not count. It checks the
// first maxTightChecks calls and the last one.
func (q *priorityQueue) isTight(list *callList, ahead, rate float64) bool {
	misses := func(call *targetCall, ahead float64) bool {
		stats, due := q.service.statsOf(call.route), call.due
		if due == 0 {
			due = call.deadline
		}
		left := due - q.now
		if due == 0 || left < stats.mean+admitDeviations*stats.deviation {
			return false
		}
		return missesDeadline(boundedWait(ahead/rate), stats.mean, stats.deviation, left)
	}
	if misses(list.tail, ahead+(list.work-list.tail.cost).Seconds()) {
		return true
	}
	checked := 0
	for call := list.head; call != list.tail && checked < maxTightChecks; call = call.next {
		if misses(call, ahead) {
			return true
		}
		ahead += call.cost.Seconds()
		checked++
	}
	return false
}

// nestedWait estimates how long a new nested call of a priority and deadline waits. The caller must have called advance.
func (q *priorityQueue) nestedWait(priority, slots int, pool tables.Pool, deadline time.Duration) time.Duration {
	if q.running < slots && q.count == 0 {
		return 0
	}
	n, rate := &q.nested, float64(max(slots, 1))
	if others := q.count - n.count(); others > 0 && n.rate(0, tables.Priorities-1) > nestedShareRate(slots, pool) {
		rate = nestedShareRate(slots, pool)
	}
	_, tight := q.tightPriority(priority, slots, pool)
	above := 0.0 // work of higher priorities that goes first
	if pool.NestedOvertake == 0 {
		for p := range priority {
			above += q.waiting[p].work.Seconds()
		}
		tight = above > 0
	}
	if tight {
		left := float64(max(slots, 1))
		for p := range priority {
			left -= q.arrivalRate(p)
		}
		rate = min(rate, max(left, leftForNested(slots, pool)))
	}
	if rate <= 0 {
		return maxWait
	}
	ahead := q.meanRunningCost() + above + n.work(0, priority-1) + n.lists[priority].workAhead(deadline).Seconds()
	return boundedWait(ahead / rate)
}

// noteShortest keeps the expected service time of an arrival for the load report.
func (q *priorityQueue) noteShortest(call *targetCall, service time.Duration) {
	if !call.nested {
		q.noteShortestService(call.priority, service)
		return
	}
	n := &q.nested
	if shortest := &n.shortest; service <= shortest.time || q.now-shortest.at > shortestServiceTTL {
		*shortest = shortestService{time: service, at: q.now}
	}
	if call.priority <= n.urgent.priority || q.now-n.urgent.at > shortestServiceTTL {
		n.urgent = urgentArrival{call.priority, q.now}
	}
}

// shortestOf returns the shortest expected service time among the recent arrivals of a priority or of nestedClass.
func (q *priorityQueue) shortestOf(priority int) time.Duration {
	if priority == nestedClass {
		return q.nested.shortest.time
	}
	return q.shortestService[priority].time
}

// waitOf is wait for a priority or nestedClass. Nested calls count with the most urgent priority of the recent ones, because a
// call that could finish must not be refused.
func (q *priorityQueue) waitOf(priority, slots int, pool tables.Pool, due time.Duration) time.Duration {
	if priority == nestedClass {
		return q.nestedWait(q.nested.urgent.priority, slots, pool, due)
	}
	return q.wait(priority, slots, pool, due)
}

// evictionForNested returns the queued call to refuse in favour of a nested call of a priority, or nil: a late one, or the last
// one of the least urgent priority that holds more places than its minimum share reserves. It is not more urgent.
func (q *priorityQueue) evictionForNested(priority int, pool tables.Pool) *targetCall {
	for _, lists := range [...]*[tables.Priorities]callList{&q.late, &q.waiting} {
		for p, list := range slices.Backward(lists[:]) {
			if list.count > 0 && (lists == &q.late || p >= priority && list.count > q.reservedPlaces(p, pool)) {
				return list.tail
			}
		}
	}
	return nil
}

// evictionOfNested returns the last queued nested call of the least urgent priority below the given one, or nil while nested
// calls hold no more than the share of the places that is left for them.
func (q *priorityQueue) evictionOfNested(priority int, pool tables.Pool) *targetCall {
	if float64(q.nested.count()) <= leftForNested(pool.QueueLimit, pool) {
		return nil
	}
	for p := tables.Priorities - 1; p > priority; p-- {
		if tail := q.nested.lists[p].tail; tail != nil {
			return tail
		}
	}
	return nil
}

// addToReport adds what a load report says of nested calls.
func (q *priorityQueue) addToReport(report *LoadReport, pool tables.Pool) {
	shortest := q.nested.shortest
	if shortest.at == 0 || q.now-shortest.at > shortestServiceTTL {
		return
	}
	report.NestedServiceTime = shortest.time
	report.NestedWait = q.waitOf(nestedClass, report.Slots, pool, 0)
}

// waitOf returns the reported wait of a priority or of nestedClass.
func (r *LoadReport) waitOf(priority int) time.Duration {
	if priority == nestedClass {
		return r.NestedWait
	}
	return r.Waits[priority]
}

// shortestOf returns the reported shortest service time of a priority or of nestedClass.
func (r *LoadReport) shortestOf(priority int) time.Duration {
	if priority == nestedClass {
		return r.NestedServiceTime
	}
	return r.ShortestServiceTimes[priority]
}
