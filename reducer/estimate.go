package reducer

import (
	"math"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// arrivalDecay is the time in which an admitted call loses 63% of its weight in the observed
	// arrival of slot time. It is a few times the service time of usual calls, so that a single burst
	// does not pass for a lasting load, and it bounds the delay in noticing that a flood has ended.
	arrivalDecay = time.Second
	// leastKept is how long the shortest service time among the arrivals of a priority is remembered.
	leastKept = time.Second
	// longestWait stands for a wait without end.
	longestWait = time.Hour
)

// leastService is the shortest expected service time among the recent arrivals of a priority.
type leastService struct {
	time time.Duration
	at   time.Duration
}

func (q *priorityQueue) decayArrivals(passed float64) {
	factor := math.Exp(-passed / arrivalDecay.Seconds())
	for p := range q.arrived {
		q.arrived[p] *= factor
	}
}

// arrivalRate returns the slot time a second that admitted calls of a priority bring.
func (q *priorityQueue) arrivalRate(priority int) float64 {
	return q.arrived[priority] / arrivalDecay.Seconds()
}

// noteService remembers the expected service time of an arrival for the load report.
func (q *priorityQueue) noteService(priority int, service time.Duration) {
	least := &q.least[priority]
	if service <= least.time || q.now-least.at > leastKept {
		*least = leastService{time: service, at: q.now}
	}
}

// wait estimates how long a new call of a priority that is due at a time, 0 for none, waits for a slot. The caller has
// called advance.
//
// The work ahead is served at the rate that more urgent arrivals and the minimum shares of less urgent
// priorities leave. The priority's own minimum share is a second way to a slot; the faster one counts.
func (q *priorityQueue) wait(priority, slots int, pool tables.Pool, due time.Duration) time.Duration {
	if q.running < slots && q.count == 0 {
		return 0
	}
	if q.discipline == DisciplineFIFO {
		return q.waitInOrder(slots)
	}
	return boundedWait(min(q.waitByUrgency(priority, slots, pool, due), q.waitByShare(priority, slots, pool, due)))
}

func boundedWait(seconds float64) time.Duration {
	if seconds >= longestWait.Seconds() {
		return longestWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// lateWait estimates how long a call waits that goes behind all calls that can still be answered in time: those that
// wait and those that keep arriving.
func (q *priorityQueue) lateWait(priority, slots int) time.Duration {
	if q.running < slots && q.count == 0 {
		return 0
	}
	rate, ahead := float64(max(slots, 1)), q.nextSlot()
	for p := range q.waiting {
		ahead += q.waiting[p].work.Seconds()
		rate -= q.arrivalRate(p)
		if p <= priority {
			ahead += q.late[p].work.Seconds()
		}
	}
	if rate <= 0 {
		return longestWait
	}
	return boundedWait(ahead / rate)
}

// nextSlot returns the slot time until one of the running calls ends, counted over all slots.
func (q *priorityQueue) nextSlot() float64 {
	return q.runningCost.Seconds() / float64(max(q.running, 1))
}

func (q *priorityQueue) waitByUrgency(priority, slots int, pool tables.Pool, due time.Duration) float64 {
	rate := float64(max(slots, 1))
	ahead := q.nextSlot()
	for p := range q.waiting {
		switch {
		case p < priority:
			ahead += q.waiting[p].work.Seconds()
			rate -= q.arrivalRate(p)
		case p == priority:
			ahead += q.waiting[p].ahead(due).Seconds()
		default:
			rate -= q.shareTaken(p, slots, pool)
		}
	}
	if rate <= 0 {
		return math.Inf(1)
	}
	return ahead / rate
}

// shareTaken returns the slot time a second that a less urgent priority takes for its minimum share: all
// of the share while it has work waiting, else no more than it brings.
func (q *priorityQueue) shareTaken(priority, slots int, pool tables.Pool) float64 {
	rate := q.shareRate(priority, slots, pool)
	if q.waiting[priority].count > 0 {
		return rate
	}
	return min(rate, q.arrivalRate(priority))
}

func (q *priorityQueue) waitByShare(priority, slots int, pool tables.Pool, due time.Duration) float64 {
	rate := q.shareRate(priority, slots, pool)
	if rate == 0 {
		return math.Inf(1)
	}
	owed := q.waiting[priority].ahead(due).Seconds() - q.credit[priority]
	return max(owed, 0)/rate + q.nextSlot()/float64(max(slots, 1))
}

func (q *priorityQueue) waitInOrder(slots int) time.Duration {
	ahead := q.nextSlot()
	for p := range q.waiting {
		ahead += (q.waiting[p].work + q.late[p].work).Seconds()
	}
	return time.Duration(ahead / float64(max(slots, 1)) * float64(time.Second))
}
