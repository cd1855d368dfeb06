package reducer

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// recordRetention is how long the outcome of a call is kept: twice the longest timeout, so that every
// copy of the call and every question about it arrives before.
const recordRetention = 120 * time.Second

// answerRetention is how long the response of a call without an idempotency key is kept after its
// deadline. Only the node where the call entered asks for it, within a probe and a few attempts.
const answerRetention = 5 * time.Second

// recordState is what is known about a call that is not idempotent.
type recordState uint8

const (
	recordOpen      recordState = iota + 1 // queued or running
	recordConcluded                        // has an outcome
)

// recordKey finds a record. A call with an idempotency key is found by route and key, any other by its
// id. The fence of one copy is found by id and attempt.
type recordKey struct {
	route, key string
	id         CallID
	attempt    int
}

// executionKey returns the key of the record that a call shares with its copies.
func executionKey(id CallID, route, key string) recordKey {
	if key != "" {
		return recordKey{route: route, key: key}
	}
	return recordKey{id: id}
}

// fenceKey returns the key of the fence of one copy of a call.
func fenceKey(id CallID, attempt int) recordKey {
	return recordKey{id: id, attempt: max(attempt, 1)} // attempt 0 is the record of the execution
}

// record is the execution record of one call that is not idempotent, or the fence of a copy.
//
// Invariant: while a record exists, no copy of its call is started again, unless the outcome is that
// the call did not run.
type record struct {
	key        recordKey
	id         CallID // of the copy that made the record
	attempt    int    // of the call that last asked for the key, in the fence of a key
	state      recordState
	call       Handle // the call that ran; 0 when none did
	kept       int64  // bytes of its response that are kept
	outcome    Outcome
	reason     Reason
	status     int
	expiresAt  time.Duration
	answerTill time.Duration // when the response is dropped
	waiters    []waiter
	index      int // in the heap by expiry
}

// waiter is an exchange that waits for the outcome of a record.
type waiter struct {
	exchange Handle
	kind     waiterKind
}

// waiterKind says how a waiter is answered.
type waiterKind uint8

const (
	waitForward waiterKind = iota + 1 // a copy that a peer forwarded
	waitLocal                         // a copy that entered at this node
	waitSettle                        // a question about the outcome
)

// recordTable holds execution records and fences.
type recordTable struct {
	byKey  map[recordKey]*record
	expiry indexedHeap[*record]
	marks  map[NodeID]originMark
	kept   int64 // bytes of responses kept
}

// originMark is the highest sequence of an origin whose record was dropped. A copy at or below it
// without a record may have run before.
type originMark struct {
	incarnation Incarnation
	seq         uint64
}

func (t *recordTable) init() {
	t.byKey = map[recordKey]*record{}
	t.marks = map[NodeID]originMark{}
}

func (t *recordTable) len() int { return len(t.byKey) }

// keyed returns the concluded records of keys that this node owns, in a fixed order.
func (t *recordTable) keyed() []*record {
	var records []*record
	for _, r := range t.byKey {
		if r.key.key != "" && r.state == recordConcluded && r.reason != ReasonKeyMoved {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.key.route, b.key.route), cmp.Compare(a.key.key, b.key.key))
	})
	return records
}

func (t *recordTable) insert(r *record, expiresAt time.Duration) *record {
	r.expiresAt = expiresAt
	t.byKey[r.key] = r
	heap.Push(&t.expiry, r)
	return r
}

// remove drops a record and returns the bytes of its response to the budget.
func (t *recordTable) remove(r *record) {
	delete(t.byKey, r.key)
	heap.Remove(&t.expiry, r.index)
	t.kept -= r.kept
	r.kept = 0
}

// forgotten reports whether the record of a call may have been dropped.
func (t *recordTable) forgotten(id CallID) bool {
	mark, ok := t.marks[id.Origin]
	if !ok || id.Incarnation > mark.incarnation {
		return false
	}
	return id.Incarnation < mark.incarnation || id.Seq <= mark.seq
}

// raiseMark remembers that the record of a call was dropped.
func (t *recordTable) raiseMark(id CallID) {
	mark := t.marks[id.Origin]
	if id.Incarnation < mark.incarnation {
		return
	}
	if id.Incarnation > mark.incarnation {
		mark = originMark{incarnation: id.Incarnation}
	}
	mark.seq = max(mark.seq, id.Seq)
	t.marks[id.Origin] = mark
}

// openRecord records that a call is about to be queued.
func (s *State) openRecord(call *targetCall) *record {
	r := &record{key: call.recordKey(), id: call.id, state: recordOpen, call: call.handle}
	r.answerTill = call.deadline + answerRetention
	retention := recordRetention
	if call.key != "" {
		retention = max(retention, call.keyRetention)
		r.answerTill = s.now + retention
	}
	if passed := s.target.records.byKey[r.key]; passed != nil {
		s.target.records.remove(passed)
	}
	s.target.records.insert(r, s.now+retention)
	s.scheduleExpiry()
	return r
}

// joinRecord gives a copy of a call the outcome of the call's record, or reports that it may run.
func (s *State) joinRecord(call *targetCall) bool {
	records := &s.target.records
	w := waiter{exchange: call.handle, kind: waitForward}
	if call.local {
		w.kind = waitLocal
	}
	fence, r := records.byKey[fenceKey(call.id, call.attempt)], records.byKey[call.recordKey()]
	if r != nil && r.passes(call) {
		r = nil
	}
	switch {
	case fence != nil:
		s.answerWaiter(w, fence)
	case r == nil && records.forgotten(call.id):
		s.answerCall(call, OutcomeUnknown, ReasonForgotten)
	case r == nil:
		return false
	case r.state == recordConcluded:
		s.answerWaiter(w, r)
	default:
		r.waiters = append(r.waiters, w)
	}
	return true
}

// passes reports whether the fence of a key lets an attempt run here. The call that last asked for the key has asked all
// other nodes that may run it before it came back to this one, as with any owner; other calls may not have. An
// earlier attempt may be a copy that was settled as not run.
func (r *record) passes(call *targetCall) bool {
	return r.reason == ReasonKeyMoved && r.id == call.id && call.attempt > r.attempt
}

// settleArrived answers with the outcome of a call. A call without a record is fenced: that it did not
// run is then true, because a copy that arrives later is refused.
func (s *State) settleArrived(in SettleArrived) {
	ask := waiter{exchange: in.Exchange, kind: waitSettle}
	records := &s.target.records
	r := records.byKey[executionKey(in.ID, in.Route, in.Key)]
	switch {
	case in.TargetIncarnation != s.cfg.Incarnation:
		s.answerWaiter(ask, &record{outcome: OutcomeUnknown, reason: ReasonWrongIncarnation})
	case r != nil && r.state == recordConcluded:
		r.askedAgain(in)
		s.answerWaiter(ask, r)
	case r != nil:
		s.answerWaiter(ask, &record{outcome: OutcomePending})
	case records.forgotten(in.ID):
		s.answerWaiter(ask, &record{outcome: OutcomeUnknown, reason: ReasonForgotten})
	case records.len() >= s.cfg.Limits.MaxRecords:
		s.answerWaiter(ask, &record{outcome: OutcomeUnknown, reason: ReasonRecordsFull})
	default:
		s.answerWaiter(ask, s.fence(in))
	}
}

// askedAgain keeps the fence of a key closed for what it was said to have refused: every call but the last one that took
// the key, and that one's attempts so far.
func (r *record) askedAgain(in SettleArrived) {
	switch {
	case r.reason != ReasonKeyMoved:
	case r.id == in.ID:
		r.attempt = max(r.attempt, in.Attempt)
	case in.TakeKey:
		r.id, r.attempt = in.ID, in.Attempt
	}
}

// fence refuses a copy of a call that may still arrive, or every copy when another node takes the key.
func (s *State) fence(in SettleArrived) *record {
	r := &record{
		key: fenceKey(in.ID, in.Attempt), id: in.ID, state: recordConcluded,
		outcome: OutcomeNotRun, reason: ReasonFenced,
	}
	retention := recordRetention
	if in.TakeKey {
		r.key, r.reason, r.attempt = executionKey(in.ID, in.Route, in.Key), ReasonKeyMoved, in.Attempt
		retention = max(retention, in.KeyRetention)
	}
	s.target.records.insert(r, s.now+retention)
	s.scheduleExpiry()
	return r
}

// concludeRecord gives a record its outcome and answers its waiters. A call with a key that did not run
// may run when it is sent again, so its record is dropped.
func (s *State) concludeRecord(r *record, outcome Outcome, reason Reason, status int, keptBytes int64) {
	r.state = recordConcluded
	r.outcome, r.reason, r.status = outcome, reason, status
	if outcome == OutcomeDone {
		r.kept = keptBytes
		s.target.records.kept += keptBytes
	}
	for _, w := range r.waiters {
		s.answerWaiter(w, r)
	}
	r.waiters = nil
	if outcome == OutcomeNotRun && r.key.key != "" {
		s.target.records.remove(r)
	}
	s.scheduleExpiry()
}

// answerWaiter gives a waiter the outcome of a record.
func (s *State) answerWaiter(w waiter, r *record) {
	switch w.kind {
	case waitLocal:
		s.answerLocal(w.exchange, r.outcome, r.reason, r.call)
	case waitForward:
		s.emit(AnswerForward{
			Call: w.exchange, ID: r.id, Outcome: r.outcome, Reason: r.reason, Status: r.status,
			AnswerOf: r.call, Load: s.loadReport(),
		})
	case waitSettle:
		s.emit(AnswerSettle{
			Exchange: w.exchange, Outcome: r.outcome, Reason: r.reason, Status: r.status,
			AnswerOf: r.call, Load: s.loadReport(),
		})
	}
}

// scheduleExpiry sets the timer for the first record that expires or whose response is dropped.
func (s *State) scheduleExpiry() {
	if expiry := s.target.records.expiry; len(expiry) > 0 {
		s.timers.set(timerKey{kind: timerRecordExpiry}, expiry[0].due())
	}
}

// expireRecords drops responses and records whose time is over. A record that has no outcome yet is
// kept for another retention.
func (s *State) expireRecords() {
	t := &s.target.records
	for len(t.expiry) > 0 && t.expiry[0].due() <= s.now {
		r := t.expiry[0]
		switch {
		case r.state == recordOpen:
			r.expiresAt, r.answerTill = s.now+recordRetention, s.now+recordRetention
			heap.Fix(&t.expiry, r.index)
		case r.expiresAt <= s.now:
			s.dropAnswer(r)
			t.remove(r)
			t.raiseMark(r.id)
		default:
			s.dropAnswer(r)
			heap.Fix(&t.expiry, r.index)
		}
	}
	s.scheduleExpiry()
}

// dropAnswer releases the response kept with a record.
func (s *State) dropAnswer(r *record) {
	if r.call != 0 && r.answerTill > 0 {
		s.emit(DropAnswer{Call: r.call})
		s.target.records.kept -= r.kept
		r.kept, r.answerTill = 0, 0
	}
}

// due returns when the record needs attention next: to drop its response or itself.
func (r *record) due() time.Duration {
	if r.answerTill > 0 && r.answerTill < r.expiresAt {
		return r.answerTill
	}
	return r.expiresAt
}

// before orders records by the time when they are due.
func (r *record) before(other *record) bool { return r.due() < other.due() }

func (r *record) position() *int { return &r.index }
