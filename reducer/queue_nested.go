package reducer

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Shares of the slots, in percent, for the queue of nested calls.
const (
	// nestedSharePercent is the share of slot time with which nested calls go before all others. They may take more while
	// nothing else waits. In the overload that was observed they needed half of the slots.
	nestedSharePercent = 75
	// nestedClass stands for the nested calls of all priorities where a priority is expected.
	nestedClass = -1
)

// nestedQueue holds the queued calls that backend servers make for requests that have begun, ordered by their deadlines.
// They go before requests that have not begun while they have credit, which they earn at the rate of their share.
type nestedQueue struct {
	list     callList
	credit   float64 // seconds of slot time
	arrived  float64 // exponentially decayed slot time of admitted calls, in seconds
	shortest shortestService
}

// nestedShareRate returns the slot time per second with which nested calls go before all others. The minimum shares of the
// priorities are never taken from them.
func nestedShareRate(slots int, pool tables.Pool) float64 {
	percent := 100
	for _, share := range pool.MinShares {
		percent -= share
	}
	return float64(min(percent, nestedSharePercent)*slots) / 100
}

// advance accounts for the time since its last call, in seconds.
func (n *nestedQueue) advance(elapsed, decay float64, slots int, pool tables.Pool) {
	rate := nestedShareRate(slots, pool)
	n.arrived *= decay
	n.credit = min(n.credit+rate*elapsed, rate*shareWindow.Seconds())
}

// charge takes slot time from the credit. The debt is bounded: the calls may have used slots that nothing else waited for.
func (n *nestedQueue) charge(cost time.Duration, slots int, pool tables.Pool) {
	lowest := -nestedShareRate(slots, pool) * shareWindow.Seconds()
	n.credit = max(n.credit-cost.Seconds(), min(n.credit, lowest))
}

// arrivalRate returns the slot time per second that nested calls bring, at most their share.
func (n *nestedQueue) arrivalRate(slots int, pool tables.Pool) float64 {
	if n.arrived == 0 {
		return 0
	}
	return min(n.arrived/arrivalDecay.Seconds(), nestedShareRate(slots, pool))
}

// nestedWait estimates how long a new nested call with the given deadline waits. The caller must have called advance.
func (q *priorityQueue) nestedWait(slots int, pool tables.Pool, deadline time.Duration) time.Duration {
	if q.running < slots && q.count == 0 {
		return 0
	}
	rate := float64(max(slots, 1))
	if others := q.count - q.nested.list.count; others > 0 && q.nested.arrived/arrivalDecay.Seconds() > nestedShareRate(slots, pool) {
		rate = nestedShareRate(slots, pool)
	}
	return boundedWait((q.meanRunningCost() + q.nested.list.workAhead(deadline).Seconds()) / rate)
}

// noteShortest keeps the expected service time of an arrival for the load report.
func (q *priorityQueue) noteShortest(call *targetCall, service time.Duration) {
	if !call.nested {
		q.noteShortestService(call.priority, service)
		return
	}
	if shortest := &q.nested.shortest; service <= shortest.time || q.now-shortest.at > shortestServiceTTL {
		*shortest = shortestService{time: service, at: q.now}
	}
}

// shortestOf returns the shortest expected service time among the recent arrivals of a priority or of nestedClass.
func (q *priorityQueue) shortestOf(priority int) time.Duration {
	if priority == nestedClass {
		return q.nested.shortest.time
	}
	return q.shortestService[priority].time
}

// waitOf is wait for a priority or nestedClass.
func (q *priorityQueue) waitOf(priority, slots int, pool tables.Pool, due time.Duration) time.Duration {
	if priority == nestedClass {
		return q.nestedWait(slots, pool, due)
	}
	return q.wait(priority, slots, pool, due)
}

// evictionForNested returns the queued call to refuse in favour of a nested call, or nil: a late one, or the last one of
// the least urgent priority that holds more places than its minimum share reserves.
func (q *priorityQueue) evictionForNested(pool tables.Pool) *targetCall {
	for _, lists := range [...]*[tables.Priorities]callList{&q.late, &q.waiting} {
		for p, list := range slices.Backward(lists[:]) {
			if list.count > 0 && (lists == &q.late || list.count > q.reservedPlaces(p, pool)) {
				return list.tail
			}
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
	report.NestedWait = q.nestedWait(report.Slots, pool, 0)
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
