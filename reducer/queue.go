package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// shareWindow bounds how much slot time beyond or below its minimum share a priority is remembered
	// for. It is also about the longest time for which a priority that had all slots has none when more
	// urgent work floods; calls with timeouts of a few hundred milliseconds must survive it.
	shareWindow = 250 * time.Millisecond
	// shareHeadroom is added to what a priority earns. Credit that a priority could not use within the
	// window is lost, about 3% of its share with random arrivals.
	shareHeadroom = 1.06
)

// Discipline is the order in which queued calls get slots. A node uses DisciplineShares; the others
// exist for comparison in measurements and tests.
type Discipline uint8

// The disciplines of the queue.
const (
	DisciplineShares Discipline = iota // most urgent first, with minimum shares
	DisciplineStrict                   // most urgent first, without minimum shares
	DisciplineFIFO                     // first come first served
)

// callList is a doubly linked list of queued calls, so that any call leaves it in constant time.
type callList struct {
	head, tail *targetCall
	count      int
	work       time.Duration // expected slot time of the calls
}

// push puts a call behind those that are due earlier or at the same time. A call that is not due at any time keeps its
// place.
func (l *callList) push(call *targetCall) {
	after := l.tail
	for call.due > 0 && after != nil && after.due > call.due {
		after = after.prev
	}
	call.prev, call.next = after, l.head
	if after != nil {
		call.next = after.next
		after.next = call
	} else {
		l.head = call
	}
	if call.next != nil {
		call.next.prev = call
	} else {
		l.tail = call
	}
	l.count++
	l.work += call.cost
}

// ahead returns the expected slot time of the calls that a new call which is due at a time would wait behind.
func (l *callList) ahead(due time.Duration) time.Duration {
	work := l.work
	for call := l.tail; due > 0 && call != nil && call.due > due; call = call.prev {
		work -= call.cost
	}
	return work
}

func (l *callList) remove(call *targetCall) {
	if call.prev == nil {
		l.head = call.next
	} else {
		call.prev.next = call.next
	}
	if call.next == nil {
		l.tail = call.prev
	} else {
		call.next.prev = call.prev
	}
	call.prev, call.next = nil, nil
	l.count--
	l.work -= call.cost
}

// priorityQueue orders the calls that wait for a slot: the most urgent first, with a minimum share of
// slot time for each other priority that has work waiting.
//
// A priority with waiting work earns its share of all slot time as credit and pays with the slot time of
// its calls. One whose credit is positive has received less than its share and goes first. Without
// waiting work it earns back what it owes and nothing more.
//
// Within a priority calls go by the time at which their response loses worth. A call that can no longer be answered by
// then goes behind all calls that can: its slot is worth more to them.
type priorityQueue struct {
	discipline   Discipline
	waiting      [tables.Priorities]callList
	late         [tables.Priorities]callList
	credit       [tables.Priorities]float64 // seconds of slot time
	shareRunning [tables.Priorities]int     // running calls that were started for a minimum share
	arrived      [tables.Priorities]float64 // decayed slot time of admitted calls, in seconds
	runningCost  time.Duration              // expected slot time of the running calls
	running      int
	count        int
	now          time.Duration // time up to which credit and arrivals are accounted for
	pushed       uint64
	service      serviceTimes
	least        [tables.Priorities]leastService
}

func (q *priorityQueue) init() { q.service.init() }

func (q *priorityQueue) len() int { return q.count }

// serviceTime returns the observed mean time of an execution.
func (q *priorityQueue) serviceTime() time.Duration { return q.service.all.mean }

// push takes in a call that has arrived. The caller has called advance.
func (q *priorityQueue) push(call *targetCall) {
	call.cost = q.service.of(call.route).mean
	q.pushed++
	call.order = q.pushed
	if !call.late {
		q.arrived[call.priority] += call.cost.Seconds()
	}
	q.put(call)
}

// put adds a call to the list that it belongs to.
func (q *priorityQueue) put(call *targetCall) {
	q.list(call).push(call)
	q.count++
}

// list returns the list that a call belongs to.
func (q *priorityQueue) list(call *targetCall) *callList {
	if call.late {
		return &q.late[call.priority]
	}
	return &q.waiting[call.priority]
}

func (q *priorityQueue) remove(call *targetCall) {
	q.list(call).remove(call)
	q.count--
}

// pop takes the next call to start, or returns nil.
func (q *priorityQueue) pop(now time.Duration, slots int, pool tables.Pool) *targetCall {
	if q.count == 0 {
		return nil
	}
	q.advance(now, slots, pool)
	call, byShare := q.next(slots, pool)
	q.remove(call)
	call.byShare = byShare
	return call
}

// begin accounts for the start of a call that pop returned.
func (q *priorityQueue) begin(call *targetCall, slots int, pool tables.Pool) {
	call.cost = q.service.of(call.route).mean
	q.runningCost += call.cost
	q.running++
	if call.byShare {
		q.shareRunning[call.priority]++
	}
	q.charge(call, call.cost, slots, pool)
}

// end accounts for the end of a running call and corrects its charge by the slot time that it took.
func (q *priorityQueue) end(call *targetCall, done BackendRequestDone, slots int, pool tables.Pool) {
	q.runningCost -= call.cost
	q.running--
	if call.byShare {
		q.shareRunning[call.priority]--
	}
	q.charge(call, done.Elapsed-call.cost, slots, pool)
}

// next returns the call to serve and whether it is served for the minimum share of its priority.
func (q *priorityQueue) next(slots int, pool tables.Pool) (call *targetCall, byShare bool) {
	if q.discipline == DisciplineFIFO {
		return q.oldest(), false
	}
	for p := range q.waiting {
		head := q.waiting[p].head
		if head == nil {
			continue
		}
		if call == nil {
			call = head
		}
		if q.credit[p] > 0 && q.shareRunning[p] < shareSlots(p, slots, pool) {
			return head, true
		}
	}
	for p := range q.late {
		if head := q.late[p].head; call == nil {
			call = head
		}
	}
	return call, false
}

// shareSlots returns how many slots a priority may hold for its minimum share at one time. The bound
// matters while the service time of a route is not known yet or has grown: the charge at the start of a
// call is then too low.
func shareSlots(priority, slots int, pool tables.Pool) int {
	return (pool.MinShares[priority]*slots + 99) / 100
}

// oldest returns the call that was queued first.
func (q *priorityQueue) oldest() *targetCall {
	var first *targetCall
	for _, lists := range [...]*[tables.Priorities]callList{&q.waiting, &q.late} {
		for p := range lists {
			if head := lists[p].head; head != nil && (first == nil || head.order < first.order) {
				first = head
			}
		}
	}
	return first
}

// charge takes slot time from a priority's credit. Slot time that nobody else wanted counts up to the
// window only; slot time received for the minimum share counts in full.
func (q *priorityQueue) charge(call *targetCall, cost time.Duration, slots int, pool tables.Pool) {
	credit := &q.credit[call.priority]
	after := *credit - cost.Seconds()
	if !call.byShare {
		after = max(after, min(*credit, -q.shareRate(call.priority, slots, pool)*shareWindow.Seconds()))
	}
	*credit = after
}

// shareRate returns the slot time a second that a priority is entitled to.
func (q *priorityQueue) shareRate(priority, slots int, pool tables.Pool) float64 {
	if q.discipline != DisciplineShares {
		return 0
	}
	return float64(pool.MinShares[priority]*slots) / 100 * shareHeadroom
}

// advance accounts for the time since the last event: credit earned and the decay of arrivals.
func (q *priorityQueue) advance(now time.Duration, slots int, pool tables.Pool) {
	passed := (now - q.now).Seconds()
	q.now = now
	if passed <= 0 {
		return
	}
	q.decayArrivals(passed)
	for p := range q.credit {
		rate := q.shareRate(p, slots, pool)
		most := 0.0
		if q.waiting[p].count > 0 {
			most = rate * shareWindow.Seconds()
		}
		q.credit[p] = min(q.credit[p]+rate*passed, most)
	}
}

// all returns the waiting calls, the late ones last.
func (q *priorityQueue) all() []*targetCall {
	var calls []*targetCall
	for _, lists := range [...]*[tables.Priorities]callList{&q.waiting, &q.late} {
		for p := range lists {
			for call := lists[p].head; call != nil; call = call.next {
				calls = append(calls, call)
			}
		}
	}
	return calls
}
