package reducer

import (
	"math"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// arrivalDecay is the time in which an admitted call loses 63% of its weight in the observed arrivals. It is a few
	// times the usual service time, so that a single burst does not count as lasting load, and it bounds the delay
	// until the end of a flood is noticed.
	arrivalDecay = time.Second
	// shortestServiceTTL is how long the shortest service time among the arrivals of a priority is kept.
	shortestServiceTTL = time.Second
	// maxWait stands for a wait without end.
	maxWait = time.Hour
)

// shortestService is the shortest expected service time among the recent arrivals of a priority.
type shortestService struct {
	time time.Duration
	at   time.Duration
}

// decayArrivals reduces the weight of past arrivals by the factor that it returns; elapsed is the time since the last
// reduction in seconds.
func (q *priorityQueue) decayArrivals(elapsed float64) float64 {
	factor := math.Exp(-elapsed / arrivalDecay.Seconds())
	for p := range q.arrivedWork {
		q.arrivedWork[p] *= factor
	}
	return factor
}

// arrivalRate returns the slot time per second that admitted calls of a priority bring.
func (q *priorityQueue) arrivalRate(priority int) float64 {
	return q.arrivedWork[priority] / arrivalDecay.Seconds()
}

// noteShortestService keeps the expected service time of an arrival for the load report if it is the shortest.
func (q *priorityQueue) noteShortestService(priority int, service time.Duration) {
	shortest := &q.shortestService[priority]
	if service <= shortest.time || q.now-shortest.at > shortestServiceTTL {
		*shortest = shortestService{time: service, at: q.now}
	}
}

// wait estimates how long a new call of a priority and due time, 0 for none, waits for a slot. The caller must have
// called advance.
//
// The work ahead is served at the rate that more urgent arrivals and the minimum shares of less urgent priorities
// leave. The priority's own minimum share is a second way to a slot; the shorter wait counts.
func (q *priorityQueue) wait(priority, slots int, pool tables.Pool, due time.Duration) time.Duration {
	return q.waitBehind(priority, slots, pool, q.waiting[priority].workAhead(due).Seconds())
}

// waitBehind is wait for a call behind work of its own priority, given in seconds of slot time.
func (q *priorityQueue) waitBehind(priority, slots int, pool tables.Pool, own float64) time.Duration {
	if q.running < slots && q.count == 0 {
		return 0
	}
	if q.discipline == DisciplineFIFO {
		return q.waitFIFO(slots)
	}
	return boundedWait(min(q.waitByPriority(priority, slots, pool, own), q.waitByShare(priority, slots, pool, own)))
}

// boundedWait converts seconds to a duration of at most maxWait.
func boundedWait(seconds float64) time.Duration {
	if seconds >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// lateWait estimates how long a late call with the given slot time waits, 0 if that is not known. All calls that can still
// end by their due time go first, those that wait and those that arrive meanwhile, but for long ones of less urgent
// priorities; those take what their minimum shares give them.
func (q *priorityQueue) lateWait(priority, slots int, pool tables.Pool, cost time.Duration) time.Duration {
	if q.running < slots && q.count == 0 {
		return 0
	}
	rate := float64(max(slots, 1)) - q.nested.arrivalRate(slots, pool)
	ahead := q.meanRunningCost() + q.nested.work(0, tables.Priorities-1)
	for p := range q.waiting {
		if p > priority && q.waiting[p].letsGoFirst(cost) {
			rate -= q.shareRateInUse(p, slots, pool)
			continue
		}
		ahead += q.waiting[p].work.Seconds()
		rate -= q.arrivalRate(p)
		if p <= priority {
			ahead += q.late[p].work.Seconds()
		}
	}
	if rate <= 0 {
		return maxWait
	}
	return boundedWait(ahead / rate)
}

// meanRunningCost returns the mean expected slot time of the running calls, in seconds. Divided by the number of slots
// it is about the time until the next of them ends.
func (q *priorityQueue) meanRunningCost() float64 {
	return q.runningCost.Seconds() / float64(max(q.running, 1))
}

// waitByPriority estimates the wait in seconds by the order of priorities, +Inf when the arrivals that go first take
// all slots.
func (q *priorityQueue) waitByPriority(priority, slots int, pool tables.Pool, own float64) float64 {
	ahead, rate := q.aheadOf(priority, slots, pool)
	if rate <= 0 {
		return math.Inf(1)
	}
	return (ahead + own) / rate
}

// aheadOf returns the work in front of the calls of a priority, in seconds of slot time, and the rate at which this work and
// their own is served.
func (q *priorityQueue) aheadOf(priority, slots int, pool tables.Pool) (ahead, rate float64) {
	rate = float64(max(slots, 1)) - q.nested.rateBefore(priority, slots, pool)
	ahead = q.meanRunningCost() + q.nested.work(0, priority)
	for p := range q.waiting {
		if p < priority {
			ahead += q.waiting[p].work.Seconds()
			rate -= q.arrivalRate(p)
		} else if p > priority {
			rate -= q.shareRateInUse(p, slots, pool)
		}
	}
	return ahead, rate
}

// shareRateInUse returns the slot time per second that a less urgent priority takes for its minimum share: all of it
// while calls wait, otherwise no more than its arrivals need.
func (q *priorityQueue) shareRateInUse(priority, slots int, pool tables.Pool) float64 {
	rate := q.shareRate(priority, slots, pool)
	if q.waiting[priority].count > 0 {
		return rate
	}
	return min(rate, q.arrivalRate(priority))
}

// waitByShare estimates the wait in seconds by the priority's own minimum share, +Inf when it has none.
func (q *priorityQueue) waitByShare(priority, slots int, pool tables.Pool, own float64) float64 {
	rate := q.shareRate(priority, slots, pool)
	if rate == 0 {
		return math.Inf(1)
	}
	owed := own - q.credit[priority]
	return max(owed, 0)/rate + q.meanRunningCost()/float64(max(slots, 1))
}

func (q *priorityQueue) waitFIFO(slots int) time.Duration {
	ahead := q.meanRunningCost()
	for p := range q.waiting {
		ahead += (q.waiting[p].work + q.late[p].work).Seconds()
	}
	return time.Duration(ahead / float64(max(slots, 1)) * float64(time.Second))
}
