package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/fairshare"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// shareWindow bounds the credit and the debt of a priority to what its minimum share earns in this time. It is also
	// about the longest time for which a priority that had all slots gets none in a flood of more urgent calls; calls
	// with timeouts of a few hundred milliseconds must survive it.
	shareWindow = 250 * time.Millisecond
	// shareHeadroom is the factor by which a priority earns more than its minimum share. It makes up for credit that is
	// lost because it was not used within shareWindow, about 3% of the share with random arrivals.
	shareHeadroom = 1.06
)

// lateCostRatio is how many times the slot time of a late call a less urgent one must need to let it go first.
const lateCostRatio = 4

// Discipline is the order in which queued calls get slots. Nodes use DisciplineShares; the others exist for comparison
// in measurements and tests.
type Discipline uint8

// The queueing disciplines.
const (
	DisciplineShares Discipline = iota // most urgent first, with minimum shares
	DisciplineStrict                   // most urgent first, without minimum shares
	DisciplineFIFO                     // first come first served
)

// callList is a doubly linked list of queued calls, from which any call can be removed in constant time.
type callList struct {
	head, tail *targetCall
	count      int
	work       time.Duration // sum of the expected slot times of the calls
}

// push inserts a call behind those that are due earlier or at the same time. A call without a due time goes to the
// end of the list.
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

// workAhead returns the expected slot time of the calls in front of a new call with the given due time, 0 for none.
func (l *callList) workAhead(due time.Duration) time.Duration {
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

// priorityQueue orders the calls that wait for a slot: the most urgent first, with a minimum share of the slot time for
// each less urgent priority that has calls waiting. Slot time is the time for which calls hold slots.
//
// A priority with waiting calls earns credit at the rate of its minimum share and is charged the slot time of its
// calls. One with positive credit has received less than its share and goes first. Without waiting calls a priority
// only pays off its debt.
//
// Within a priority calls are ordered by their due time. A call that is not expected to end by then is late and goes
// behind all others, of any priority: its slot is worth more to them. An exception are less urgent calls that need
// lateCostRatio times its slot time or more: it delays them little, and a call that a backend server makes for another
// request, which is usually short, holds up the work of that request.
type priorityQueue struct {
	discipline      Discipline
	waiting         [tables.Priorities]callList
	late            [tables.Priorities]callList
	credit          [tables.Priorities]float64 // seconds of slot time
	shareRunning    [tables.Priorities]int     // running calls that were started for a minimum share
	arrivedWork     [tables.Priorities]float64 // exponentially decayed slot time of admitted calls, in seconds
	runningCost     time.Duration              // expected slot time of the running calls
	running         int
	count           int
	now             time.Duration // time up to which credit and arrivals are accounted for
	lastSeq         uint64
	service         serviceTimes
	shortestService [tables.Priorities]shortestService
	nested          nestedQueue
	fair            [tables.Priorities]fairshare.Queue // used for calls with a flow
}

func (q *priorityQueue) init() { q.service.init() }

func (q *priorityQueue) len() int { return q.count }

// serviceTime returns the observed mean service time over all routes.
func (q *priorityQueue) serviceTime() time.Duration { return q.service.all.mean }

// push adds a call that has arrived. The caller must have called advance.
func (q *priorityQueue) push(call *targetCall) {
	call.cost = q.service.statsOf(call.route).mean
	q.lastSeq++
	call.queueSeq = q.lastSeq
	if call.nested {
		q.nested.arrived[call.priority] += call.cost.Seconds()
	} else if !call.late {
		q.arrivedWork[call.priority] += call.cost.Seconds()
	}
	q.insert(call)
}

// insert adds a call to the list that it belongs to.
func (q *priorityQueue) insert(call *targetCall) {
	q.list(call).push(call)
	q.count++
	if call.flow != nil && !call.late {
		q.fair[call.priority].Queued(q.now, call.flow, call.cost.Seconds())
	}
}

// list returns the list that a call belongs to.
func (q *priorityQueue) list(call *targetCall) *callList {
	if call.nested {
		return &q.nested.lists[call.priority]
	}
	if call.late {
		return &q.late[call.priority]
	}
	return &q.waiting[call.priority]
}

func (q *priorityQueue) remove(call *targetCall) {
	q.list(call).remove(call)
	q.count--
	if call.flow != nil && !call.late {
		q.fair[call.priority].Removed(call.flow, call.cost.Seconds())
	}
}

// pop removes and returns the next call to start, or returns nil.
func (q *priorityQueue) pop(now time.Duration, slots int, pool tables.Pool) *targetCall {
	if q.count == 0 {
		return nil
	}
	q.advance(now, slots, pool)
	call, fromMinShare := q.pickNext(slots, pool)
	q.remove(call)
	call.fromMinShare = fromMinShare
	return call
}

// accountStart charges the expected slot time of a call that starts.
func (q *priorityQueue) accountStart(call *targetCall, slots int, pool tables.Pool) {
	call.cost = q.service.statsOf(call.route).mean
	q.runningCost += call.cost
	q.running++
	if call.flow != nil {
		q.fair[call.priority].Started(call.flow, call.cost.Seconds())
	}
	if call.fromMinShare {
		q.shareRunning[call.priority]++
	}
	q.charge(call, call.cost, slots, pool)
}

// accountEnd corrects the charge of a call that ended to the slot time that it took.
func (q *priorityQueue) accountEnd(call *targetCall, done BackendRequestDone, slots int, pool tables.Pool) {
	q.runningCost -= call.cost
	q.running--
	if call.flow != nil {
		q.fair[call.priority].Ended(call.flow, call.cost.Seconds(), done.Elapsed.Seconds())
	}
	if call.fromMinShare {
		q.shareRunning[call.priority]--
	}
	q.charge(call, done.Elapsed-call.cost, slots, pool)
}

// pickNext returns the call to start next, or nil, and whether its slot counts towards the minimum share of its
// priority.
func (q *priorityQueue) pickNext(slots int, pool tables.Pool) (call *targetCall, fromMinShare bool) {
	if q.discipline == DisciplineFIFO {
		return q.oldest(), false
	}
	if nested := q.nextNested(slots, pool); nested != nil {
		return nested, false
	}
	for p := range q.waiting {
		head := q.firstOf(p)
		if head == nil {
			continue
		}
		if call == nil {
			call = head
		}
		if q.credit[p] > 0 && q.shareRunning[p] < maxShareSlots(p, slots, pool) {
			return head, true
		}
	}
	if call == nil {
		if nested := q.earliestNested(tables.Priorities-1, slots); nested != nil && !q.yieldsToLate(nested, slots, pool) {
			return nested, false
		}
	}
	for p := range q.late {
		if head := q.late[p].head; head != nil && (call == nil || head.goesAheadOf(call)) {
			return head, false
		}
	}
	return call, false
}

// goesAheadOf reports whether a late call goes ahead of a call that can still end by its due time.
func (c *targetCall) goesAheadOf(onTime *targetCall) bool {
	return c.priority < onTime.priority && c.cost > 0 && c.cost*lateCostRatio <= onTime.cost
}

// letsGoFirst reports whether the calls of a list, by their mean, let a late call of a more urgent priority with the given
// slot time go first.
func (l *callList) letsGoFirst(cost time.Duration) bool {
	return cost > 0 && l.count > 0 && cost*lateCostRatio*time.Duration(l.count) <= l.work
}

// maxShareSlots returns how many slots a priority may hold for its minimum share at one time. The bound matters while
// the service time of a route is not known yet or has grown: what is charged at the start of a call is then too low.
func maxShareSlots(priority, slots int, pool tables.Pool) int {
	return (pool.MinShares[priority]*slots + 99) / 100
}

// oldest returns the call that arrived first, or nil when the queue is empty.
func (q *priorityQueue) oldest() *targetCall {
	var first *targetCall
	for _, lists := range [...]*[tables.Priorities]callList{&q.waiting, &q.late} {
		for p := range lists {
			if head := lists[p].head; head != nil && (first == nil || head.queueSeq < first.queueSeq) {
				first = head
			}
		}
	}
	return first
}

// charge takes slot time from a priority's credit. Slot time for the minimum share counts in full. Other slot time,
// which no call of higher precedence waited for, adds debt only up to what the share earns in shareWindow.
func (q *priorityQueue) charge(call *targetCall, cost time.Duration, slots int, pool tables.Pool) {
	if call.nested {
		q.nested.charge(call, cost, slots, pool)
		return
	}
	credit := &q.credit[call.priority]
	balance := *credit - cost.Seconds()
	if !call.fromMinShare {
		balance = max(balance, min(*credit, -q.shareRate(call.priority, slots, pool)*shareWindow.Seconds()))
	}
	*credit = balance
}

// shareRate returns the rate at which a priority earns credit, in seconds of slot time per second.
func (q *priorityQueue) shareRate(priority, slots int, pool tables.Pool) float64 {
	if q.discipline != DisciplineShares {
		return 0
	}
	return float64(pool.MinShares[priority]*slots) / 100 * shareHeadroom
}

// advance accounts for the time since its last call: credit earned and the decay of arrivals.
func (q *priorityQueue) advance(now time.Duration, slots int, pool tables.Pool) {
	elapsed := (now - q.now).Seconds()
	q.now = now
	if elapsed <= 0 {
		return
	}
	q.nested.advance(elapsed, q.decayArrivals(elapsed), slots, pool)
	for p := range q.credit {
		rate := q.shareRate(p, slots, pool)
		maxCredit := 0.0
		if q.waiting[p].count > 0 {
			maxCredit = rate * shareWindow.Seconds()
		}
		q.credit[p] = min(q.credit[p]+rate*elapsed, maxCredit)
	}
}

// queuedCalls returns all queued calls, the late ones last.
func (q *priorityQueue) queuedCalls() []*targetCall {
	var calls []*targetCall
	for _, lists := range [...]*[tables.Priorities]callList{&q.nested.lists, &q.waiting, &q.late} {
		for p := range lists {
			for call := lists[p].head; call != nil; call = call.next {
				calls = append(calls, call)
			}
		}
	}
	return calls
}
