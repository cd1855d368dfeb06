package reducer

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// recordRetention is how long the outcome of a call is kept: twice the longest timeout, so that every copy of the call
// and every Settle request for it arrives before.
const recordRetention = 120 * time.Second

// responseRetention is how long the response of a call without an idempotency key is kept after its deadline. Only the
// node that received the call from its caller asks for it, within the time of a probe and a few attempts.
const responseRetention = 5 * time.Second

// recordState says whether the outcome of a recorded call is known.
type recordState uint8

const (
	recordOpen      recordState = iota + 1 // queued or running
	recordConcluded                        // has an outcome
)

// recordKey identifies a record: by route and key for a call with an idempotency key, by id for any other, and by id
// and attempt for the fence of one attempt.
type recordKey struct {
	route, key string
	id         CallID
	attempt    int
}

// executionKey returns the key of the record that all copies of a call share.
func executionKey(id CallID, route, key string) recordKey {
	if key != "" {
		return recordKey{route: route, key: key}
	}
	return recordKey{id: id}
}

func fenceKey(id CallID, attempt int) recordKey {
	return recordKey{id: id, attempt: max(attempt, 1)} // attempt 0 identifies the execution record
}

// record is the execution record of a call that is not idempotent, or a fence: a record with the outcome not run, which
// refuses the attempts that it covers when they arrive.
//
// Invariant: while a record exists, no other copy of its call is started, unless the outcome is that the call did not
// run.
type record struct {
	key               recordKey
	id                CallID // of the copy that created the record; in the fence of a key, of the call that last took it
	attempt           int    // in the fence of a key: the highest refused attempt of the call with this id
	state             recordState
	call              Handle // the call that ran; 0 when none did
	keptBytes         int64  // bytes of the kept response
	outcome           Outcome
	reason            Reason
	status            int
	expiresAt         time.Duration
	responseExpiresAt time.Duration // when the response is dropped; 0 once it was
	waiters           []waiter
	index             int // in the heap by expiry
}

// waiter is an exchange or a call that waits for the outcome of a record.
type waiter struct {
	exchange Handle
	kind     waiterKind
}

// waiterKind says how a waiter is answered.
type waiterKind uint8

const (
	waitForward waiterKind = iota + 1 // a copy that a peer forwarded
	waitLocal                         // a copy that entered at this node
	waitSettle                        // a Settle request of a peer
)

// recordTable holds execution records and fences.
type recordTable struct {
	byKey     map[recordKey]*record
	expiry    indexedHeap[*record]
	highWater map[NodeID]highWaterMark
	keptBytes int64 // bytes of all kept responses
}

// highWaterMark is the highest call id of an origin whose record has expired. A call with an id up to it and without a
// record may have run.
type highWaterMark struct {
	incarnation Incarnation
	seq         uint64
}

func (t *recordTable) init() {
	t.byKey = map[recordKey]*record{}
	t.highWater = map[NodeID]highWaterMark{}
}

func (t *recordTable) len() int { return len(t.byKey) }

// concludedKeyRecords returns the concluded records of idempotency keys, without fences, by route and key.
func (t *recordTable) concludedKeyRecords() []*record {
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

// remove deletes a record and releases the bytes of its response.
func (t *recordTable) remove(r *record) {
	delete(t.byKey, r.key)
	heap.Remove(&t.expiry, r.index)
	t.keptBytes -= r.keptBytes
	r.keptBytes = 0
}

// mayHaveExpired reports whether the record of a call may have existed and expired.
func (t *recordTable) mayHaveExpired(id CallID) bool {
	mark, ok := t.highWater[id.Origin]
	if !ok || id.Incarnation > mark.incarnation {
		return false
	}
	return id.Incarnation < mark.incarnation || id.Seq <= mark.seq
}

// noteExpired raises the high-water mark to a call whose record has expired.
func (t *recordTable) noteExpired(id CallID) {
	mark := t.highWater[id.Origin]
	if id.Incarnation < mark.incarnation {
		return
	}
	if id.Incarnation > mark.incarnation {
		mark = highWaterMark{incarnation: id.Incarnation}
	}
	mark.seq = max(mark.seq, id.Seq)
	t.highWater[id.Origin] = mark
}

// openRecord inserts the record of a call that is about to be queued. It replaces a fence that the call has passed.
func (s *State) openRecord(call *targetCall) *record {
	r := &record{key: call.recordKey(), id: call.id, state: recordOpen, call: call.handle}
	r.responseExpiresAt = call.deadline + responseRetention
	retention := recordRetention
	if call.key != "" {
		retention = max(retention, call.keyRetention)
		r.responseExpiresAt = s.now + retention
	}
	if passed := s.target.records.byKey[r.key]; passed != nil {
		s.target.records.remove(passed)
	}
	s.target.records.insert(r, s.now+retention)
	s.scheduleExpiry()
	return r
}

// attachToRecord answers a copy of a call from the record or fence that covers it, or lets it wait for the outcome. It
// returns false when the call may run.
func (s *State) attachToRecord(call *targetCall) bool {
	records := &s.target.records
	w := waiter{exchange: call.handle, kind: waitForward}
	if call.local {
		w.kind = waitLocal
	}
	fence, r := records.byKey[fenceKey(call.id, call.attempt)], records.byKey[call.recordKey()]
	if r != nil && r.allowsAttempt(call) {
		r = nil
	}
	switch {
	case fence != nil:
		s.answerWaiter(w, fence)
	case r == nil && records.mayHaveExpired(call.id):
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

// allowsAttempt reports whether the fence of a key lets an attempt run here: a later attempt of the call that last took
// the key. Before it is sent here, that call asks all other nodes that may have a record of the key; other calls may
// not have, and an earlier attempt may have been reported as not run.
func (r *record) allowsAttempt(call *targetCall) bool {
	return r.reason == ReasonKeyMoved && r.id == call.id && call.attempt > r.attempt
}

// handleSettleArrived answers with the outcome of the call. An attempt without a record is fenced: the answer that it
// did not run is then true, because the attempt is refused if it arrives later.
func (s *State) handleSettleArrived(in SettleArrived) {
	ask := waiter{exchange: in.Exchange, kind: waitSettle}
	records := &s.target.records
	r := records.byKey[executionKey(in.ID, in.Route, in.Key)]
	switch {
	case in.TargetIncarnation != s.cfg.Incarnation:
		s.answerWaiter(ask, &record{outcome: OutcomeUnknown, reason: ReasonWrongIncarnation})
	case r != nil && r.state == recordConcluded:
		r.extendFence(in)
		s.answerWaiter(ask, r)
	case r != nil:
		s.answerWaiter(ask, &record{outcome: OutcomePending})
	case records.mayHaveExpired(in.ID):
		s.answerWaiter(ask, &record{outcome: OutcomeUnknown, reason: ReasonForgotten})
	case records.len() >= s.cfg.Limits.MaxRecords:
		s.answerWaiter(ask, &record{outcome: OutcomeUnknown, reason: ReasonRecordsFull})
	default:
		s.answerWaiter(ask, s.fence(in))
	}
}

// extendFence makes the fence of a key refuse all that was reported as not run: every call but the one that last took
// the key, and the attempts of that call so far.
func (r *record) extendFence(in SettleArrived) {
	switch {
	case r.reason != ReasonKeyMoved:
	case r.id == in.ID:
		r.attempt = max(r.attempt, in.Attempt)
	case in.TakeKey:
		r.id, r.attempt = in.ID, in.Attempt
	}
}

// fence refuses an attempt that may still arrive, or with TakeKey every call with the key.
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

// concludeRecord sets the outcome of a record and answers its waiters. A call with an idempotency key that did not run
// may run when it is sent again, so its record is removed.
func (s *State) concludeRecord(r *record, outcome Outcome, reason Reason, status int, keptBytes int64) {
	r.state = recordConcluded
	r.outcome, r.reason, r.status = outcome, reason, status
	if outcome == OutcomeDone {
		r.keptBytes = keptBytes
		s.target.records.keptBytes += keptBytes
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

func (s *State) answerWaiter(w waiter, r *record) {
	switch w.kind {
	case waitLocal:
		s.answerLocal(w.exchange, r.outcome, r.reason, r.call)
	case waitForward:
		s.emit(AnswerForward{
			Call: w.exchange, ID: r.id, Outcome: r.outcome, Reason: r.reason, Status: r.status,
			ResponseOf: r.call, Load: s.loadReport(),
		})
	case waitSettle:
		s.emit(AnswerSettle{
			Exchange: w.exchange, Outcome: r.outcome, Reason: r.reason, Status: r.status,
			ResponseOf: r.call, Load: s.loadReport(),
		})
	}
}

// scheduleExpiry sets the timer for the next record that expires or whose response is dropped.
func (s *State) scheduleExpiry() {
	if expiry := s.target.records.expiry; len(expiry) > 0 {
		s.timers.set(timerKey{kind: timerRecordExpiry}, expiry[0].nextExpiry())
	}
}

// expireRecords drops records and responses that are no longer kept. A record without an outcome is kept for another
// recordRetention.
func (s *State) expireRecords() {
	t := &s.target.records
	for len(t.expiry) > 0 && t.expiry[0].nextExpiry() <= s.now {
		r := t.expiry[0]
		switch {
		case r.state == recordOpen:
			r.expiresAt, r.responseExpiresAt = s.now+recordRetention, s.now+recordRetention
			heap.Fix(&t.expiry, r.index)
		case r.expiresAt <= s.now:
			s.dropResponse(r)
			t.remove(r)
			t.noteExpired(r.id)
		default:
			s.dropResponse(r)
			heap.Fix(&t.expiry, r.index)
		}
	}
	s.scheduleExpiry()
}

func (s *State) dropResponse(r *record) {
	if r.call != 0 && r.responseExpiresAt > 0 {
		s.emit(DropResponse{Call: r.call})
		s.target.records.keptBytes -= r.keptBytes
		r.keptBytes, r.responseExpiresAt = 0, 0
	}
}

// nextExpiry returns when the record needs attention next: to drop its response or itself.
func (r *record) nextExpiry() time.Duration {
	if r.responseExpiresAt > 0 && r.responseExpiresAt < r.expiresAt {
		return r.responseExpiresAt
	}
	return r.expiresAt
}

// before orders records by the time at which they are due.
func (r *record) before(other *record) bool { return r.nextExpiry() < other.nextExpiry() }

func (r *record) position() *int { return &r.index }
