package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// targetPhase says what a call for the backend server waits for.
type targetPhase uint8

const (
	targetQueued targetPhase = iota + 1
	targetRunning
)

// targetCall is a call for the backend server beside this node.
type targetCall struct {
	handle     Handle
	id         CallID
	attempt    int
	route      string
	key        string // idempotency key, empty for idempotent calls
	pool       string
	priority   int
	idempotent bool
	local      bool // it entered at this node
	abandoned  bool // nobody waits for it; its record still does
	limits     CallLimits
	requestID  string
	bytes      int64
	phase      targetPhase
	record     *record       // nil for idempotent calls
	arrivedAt  time.Duration // from a peer
	queuedAt   time.Duration
	startedAt  time.Duration
	deadline   time.Duration
	due        time.Duration // when its response loses worth; 0 when that is not known
	late       bool          // it cannot be answered by then
	cost       time.Duration // expected slot time
	byShare    bool          // got its slot for the minimum share of its priority
	order      uint64        // of queueing
	retried    int           // retries of calls made on its behalf
	prev, next *targetCall   // neighbours in the queue

	keyRetention time.Duration
}

func (c *targetCall) recordKey() recordKey { return executionKey(c.id, c.route, c.key) }

// targetState holds the calls for the backend server beside this node.
//
// Invariant: the number of running calls never exceeds the slots of the backend server, except after
// the backend server registered fewer slots while more were in use.
type targetState struct {
	calls       map[Handle]*targetCall
	byID        map[CallID]*targetCall
	queue       priorityQueue
	running     int
	queuedBytes int64
	records     recordTable
}

func (t *targetState) init() {
	t.calls = map[Handle]*targetCall{}
	t.byID = map[CallID]*targetCall{}
	t.queue.init()
	t.records.init()
}

func (s *State) localTargetCall(call *ingressCall) *targetCall {
	return &targetCall{
		handle: call.handle, id: call.id, attempt: call.attempt, route: call.route.Name, key: call.key,
		keyRetention: call.route.KeyRetention, pool: call.route.Pool, priority: call.route.Priority,
		idempotent: call.route.Idempotent, local: true, limits: call.limits, bytes: call.reserved, requestID: call.requestID,
		deadline: call.deadline, due: call.due,
	}
}

func (s *State) forwardArrived(in ForwardArrived) {
	call := &targetCall{
		handle: in.Call, id: in.ID, attempt: max(in.Attempt, 1), route: in.Route, key: in.Key,
		keyRetention: in.KeyRetention, pool: in.Pool, priority: min(max(in.Priority, 0), tables.Priorities-1),
		idempotent: in.Idempotent, limits: in.Limits, requestID: in.RequestID, bytes: in.BodyBytes, deadline: s.now + in.TimeLeft, due: dueAt(s.now, in.DueIn),
		arrivedAt: s.now,
	}
	if in.TargetIncarnation != s.cfg.Incarnation {
		s.answer(call, OutcomeNotRun, ReasonWrongIncarnation)
		return
	}
	s.admitTarget(call)
}

// dueAt returns a time from the time that is left until it, which is 0 for none.
func dueAt(now, left time.Duration) time.Duration {
	if left == 0 {
		return 0
	}
	return now + left
}

// admitTarget queues a call, or refuses it. A refused call has no trace and never runs.
func (s *State) admitTarget(call *targetCall) {
	if !call.idempotent && s.attachToRecord(call) {
		return
	}
	if call.key != "" && !s.ownsKey(call) {
		s.answer(call, OutcomeNotRun, ReasonKeyMoved)
		return
	}
	if reason := s.admissionReason(call); reason != ReasonNone {
		s.answer(call, OutcomeNotRun, reason)
		return
	}
	if !call.idempotent {
		call.record = s.openRecord(call)
	}
	s.enqueue(call)
	s.startCalls()
}

// recordsFull reports that no further call that is not idempotent can be remembered. Refusing it is safe;
// forgetting an older one early is not.
func (s *State) recordsFull() bool {
	records := &s.target.records
	return records.len() >= s.cfg.Limits.MaxRecords || records.keptBytes >= s.cfg.Limits.MaxKeptBytes
}

func (s *State) enqueue(call *targetCall) {
	call.phase = targetQueued
	call.queuedAt = s.now
	s.target.calls[call.handle] = call
	s.target.byID[call.id] = call
	s.target.queuedBytes += call.bytes
	s.target.queue.push(call)
	s.timers.set(timerKey{kind: timerTargetDeadline, call: call.handle}, call.deadline)
}

func (s *State) start(call *targetCall) {
	call.phase = targetRunning
	call.startedAt = s.now
	s.target.queuedBytes -= call.bytes
	s.target.running++
	s.emit(CallQueued{Call: call.handle, Priority: call.priority, Wait: s.now - call.queuedAt})
	left := call.deadline - s.now
	bound := left
	if !call.idempotent {
		bound = tables.MaxTimeout
	}
	s.emit(StartBackendRequest{
		Call: call.handle, ID: call.id, Address: s.backend.address, Instance: s.backend.instance, TimeLeft: left, Timeout: bound,
		Limits: call.limits, KeepResponse: call.record != nil,
	})
}

func (s *State) backendDone(in BackendRequestDone) {
	call := s.target.calls[in.Call]
	if call == nil || call.phase != targetRunning {
		return
	}
	s.target.running--
	s.observeBackend(call, in)
	s.removeTarget(call)
	outcome, reason := backendOutcome(in.Result)
	s.conclude(call, outcome, reason, in)
	if in.Result == BackendMisdirected {
		s.backendMisdirected()
	}
	s.startCalls()
	s.shutdownProgress()
}

// observeBackend accounts for the slot time of a call and learns from its duration. Only successes tell
// how long the work takes: a backend server that fails fast must not look fast.
func (s *State) observeBackend(call *targetCall, in BackendRequestDone) {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	q := &s.target.queue
	q.advance(s.now, s.slots(), pool)
	q.end(call, in, s.slots(), pool)
	switch {
	case in.Result == BackendAnswered && in.Status < failureStatus:
		q.service.add(call.route, in.Elapsed, s.now)
	case in.Result == BackendAborted:
		q.service.addAborted(call.route, in.Elapsed, s.now)
	}
	if call.local {
		s.observeLocal(in)
	}
}

// backendOutcome says what the end of a backend request means for the call.
func backendOutcome(result BackendResult) (Outcome, Reason) {
	switch result {
	case BackendAnswered:
		return OutcomeDone, ReasonNone
	case BackendShed:
		return OutcomeNotRun, ReasonShed
	case BackendMisdirected:
		return OutcomeNotRun, ReasonOtherBackend
	case BackendNotSent:
		return OutcomeNotRun, ReasonBackendUnreachable
	case BackendAborted:
		return OutcomeUnknown, ReasonDeadline
	default:
		return OutcomeUnknown, ReasonBackendFailed
	}
}

// conclude records the outcome of a call that ran and answers everybody who waits for it.
func (s *State) conclude(call *targetCall, outcome Outcome, reason Reason, done BackendRequestDone) {
	s.answerStatus(call, outcome, reason, done.Status)
	if call.record != nil {
		s.concludeRecord(call.record, outcome, reason, done.Status, done.KeptBytes)
	}
}

// answer ends a call that has not run at this node.
func (s *State) answer(call *targetCall, outcome Outcome, reason Reason) {
	s.answerStatus(call, outcome, reason, 0)
}

func (s *State) answerStatus(call *targetCall, outcome Outcome, reason Reason, status int) {
	if call.abandoned {
		return
	}
	if !call.local {
		s.emit(AnswerForward{
			Call: call.handle, ID: call.id, Outcome: outcome, Reason: reason, Status: status,
			ResponseOf: call.handle, Load: s.loadReport(), RetriesUsed: call.retried,
			Took: max(s.now-call.arrivedAt, 1), // 0 would say that it is not known
		})
		return
	}
	s.chargeRetries(s.ingress.calls[call.handle], call.retried)
	s.answerLocal(call.handle, outcome, reason, call.handle)
}

// answerLocal ends the wait of a call that entered at this node and whose target is this node.
func (s *State) answerLocal(handle Handle, outcome Outcome, reason Reason, answerOf Handle) {
	call := s.ingress.calls[handle]
	switch {
	case call == nil:
	case call.phase == phaseLocal:
		s.attemptAnswered(call, outcome, reason, answerOf)
	case call.earlier != nil && call.earlier.local:
		s.earlierEnded(call, outcome, reason, Deliver{Call: handle, ID: call.id, ResponseOf: answerOf})
	}
}

// targetDeadline ends a call whose time is up: a queued one is refused, a running one is aborted when
// it may be repeated. One that may not be repeated runs on, so that its record gets an outcome.
func (s *State) targetDeadline(handle Handle) {
	call := s.target.calls[handle]
	if call == nil {
		return
	}
	if call.phase == targetQueued {
		s.dropQueued(call, ReasonDeadline)
		return
	}
	s.answer(call, OutcomeUnknown, ReasonDeadline)
	call.abandoned = true
	if call.idempotent {
		s.emit(AbortBackendRequest{Call: call.handle})
	}
}

func (s *State) removeTarget(call *targetCall) {
	delete(s.target.calls, call.handle)
	delete(s.target.byID, call.id)
	s.timers.cancel(timerKey{kind: timerTargetDeadline, call: call.handle})
}

// abandonTarget ends the wait of an ingress call for the backend server beside this node and returns
// what is known about its execution.
func (s *State) abandonTarget(handle Handle) Outcome {
	call := s.target.calls[handle]
	if call == nil {
		return OutcomeUnknown
	}
	call.abandoned = true
	return s.cancelTarget(call)
}

func (s *State) cancelArrived(in CancelArrived) {
	if call := s.target.byID[in.ID]; call != nil {
		s.cancelTarget(call)
	}
}

func (s *State) forwarderGone(in ForwarderGone) {
	if call := s.target.calls[in.Call]; call != nil && !call.local {
		call.abandoned = true
		if call.idempotent {
			s.cancelTarget(call)
		}
	}
}

// cancelTarget gives up a call that nobody waits for. A running call that may not be repeated runs on.
func (s *State) cancelTarget(call *targetCall) Outcome {
	if call.phase == targetQueued {
		s.dropQueued(call, ReasonCallerGone)
		return OutcomeNotRun
	}
	if call.idempotent {
		s.emit(AbortBackendRequest{Call: call.handle})
	}
	return OutcomeUnknown
}
