package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/capacity"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/fairshare"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// targetPhase says what a call for the backend server waits for.
type targetPhase uint8

const (
	targetQueued targetPhase = iota + 1
	targetRunning
	targetStreaming // answered; the backend server still sends the response
)

// targetCall is a call for the backend server beside this node.
type targetCall struct {
	handle       Handle
	id           CallID
	attempt      int
	route        string
	key          string // idempotency key, empty for idempotent calls
	pool         string
	priority     int
	idempotent   bool
	streaming    bool // a long response may be passed on while it is received
	local        bool // it entered at this node
	abandoned    bool // nobody waits for it, but its record may need the outcome
	limits       CallLimits
	requestID    string
	workspace    string          // empty for none
	nested       bool            // see State.noteNested
	flow         *fairshare.Flow // nil without workspaces
	bytes        int64
	phase        targetPhase
	record       *record       // nil for idempotent calls
	arrivedAt    time.Duration // arrival from a peer; 0 for a local call
	queuedAt     time.Duration
	startedAt    time.Duration
	deadline     time.Duration
	due          time.Duration      // 0 when there is none
	late         bool               // it is not expected to end by its due time
	cost         time.Duration      // expected slot time
	overtakes    bool               // a nested call that used overtake credit
	fromMinShare bool               // its slot counts towards the minimum share of its priority
	queueSeq     uint64             // order of arrival
	retriesUsed  int                // retries of calls made on its behalf
	prev, next   *targetCall        // neighbours in the callList that holds it
	streamDone   BackendRequestDone // in phase targetStreaming
	occupancy    int                // requests at the backend server as it started, with abandoned ones that may still run there
	expected     time.Duration      // service time of its route as it started, 0 when not known
	hangNoted    bool               // it was counted as hung before its request ended

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
	responses   responseMemory
	cancelled   cancelledCalls
	capacity    capacity.Limiter
}

func (t *targetState) init() {
	t.calls = map[Handle]*targetCall{}
	t.byID = map[CallID]*targetCall{}
	t.queue.init()
	t.records.init()
}

func (s *State) newLocalTargetCall(call *ingressCall) *targetCall {
	return &targetCall{
		handle: call.handle, id: call.id, attempt: call.attempt, route: call.route.Name, key: call.key,
		keyRetention: call.route.KeyRetention, pool: call.route.Pool, priority: call.route.Priority,
		idempotent: call.route.Idempotent, local: true, limits: call.limits, bytes: call.reservedBytes, requestID: call.requestID, streaming: call.route.Streaming,
		workspace: call.workspace, nested: call.nested,
		deadline: call.deadline, due: call.due,
	}
}

// handleForwardArrived admits or refuses a call that a peer forwarded.
func (s *State) handleForwardArrived(in ForwardArrived) {
	call := &targetCall{
		handle: in.Call, id: in.ID, attempt: max(in.Attempt, 1), route: in.Route, key: in.Key,
		keyRetention: in.KeyRetention, pool: in.Pool, priority: min(max(in.Priority, 0), tables.Priorities-1),
		idempotent: in.Idempotent, limits: in.Limits, requestID: in.RequestID, bytes: in.BodyBytes, deadline: s.now + in.TimeLeft, due: dueAt(s.now, in.DueIn),
		arrivedAt: s.now, streaming: in.Streaming && in.Idempotent, workspace: in.Workspace, nested: in.Nested,
	}
	if in.TargetIncarnation != s.cfg.Incarnation {
		s.answerCall(call, OutcomeNotRun, ReasonWrongIncarnation)
		return
	}
	s.learnOrigin(in)
	s.admitTargetCall(call)
}

// dueAt returns a due time from the time left until it, which is 0 for none.
func dueAt(now, left time.Duration) time.Duration {
	if left == 0 {
		return 0
	}
	return now + left
}

// admitTargetCall queues a call or refuses it. A refused call leaves no state behind and never runs.
func (s *State) admitTargetCall(call *targetCall) {
	if !call.idempotent && s.attachToRecord(call) {
		return
	}
	if !call.local && s.target.cancelled.covers(call.id, call.attempt) {
		s.answerCall(call, OutcomeNotRun, ReasonCallerGone)
		return
	}
	if call.key != "" && !s.ownsKey(call) {
		s.answerCall(call, OutcomeNotRun, ReasonKeyMoved)
		return
	}
	s.prepareNested(call)
	s.assignFlow(call)
	if reason := s.refusalReason(call); reason != ReasonNone {
		s.logShare(call, reason)
		s.answerCall(call, OutcomeNotRun, reason)
		return
	}
	if !call.idempotent {
		call.record = s.openRecord(call)
	}
	s.enqueue(call)
	s.startQueuedCalls()
}

// isRecordTableFull reports whether no further call that is not idempotent can be recorded. Refusing it is safe;
// dropping an older record early could run its call twice.
func (s *State) isRecordTableFull() bool {
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
	s.promiseLink(call)
	s.timers.set(timerKey{kind: timerTargetDeadline, call: call.handle}, call.deadline)
}

// startOnBackend sends a call to the backend server. One that is not idempotent is not aborted at its deadline, so its
// request is bounded by the longest timeout.
func (s *State) startOnBackend(call *targetCall) {
	call.phase = targetRunning
	call.startedAt = s.now
	s.links.out.Start(uint64(call.handle))
	s.target.queuedBytes -= call.bytes
	s.target.running++
	s.nested.callers.Started(s.now, call.route, call.priority)
	s.noteStart(call)
	s.emit(CallQueued{Call: call.handle, Priority: call.priority, Wait: s.now - call.queuedAt})
	left := call.deadline - s.now
	s.emit(StartBackendRequest{
		Call: call.handle, ID: call.id, Address: s.backend.address, Instance: s.backend.instance, TimeLeft: left, Timeout: s.backendTimeout(call), ResponseTail: responseTail,
		Limits: call.limits, KeepResponse: call.record != nil, Streaming: call.streaming, Workspace: call.workspace,
	})
}

func (s *State) handleBackendRequestDone(in BackendRequestDone) {
	call := s.target.calls[in.Call]
	if call == nil || call.phase != targetRunning {
		return
	}
	s.target.responses.release(call.handle)
	s.settleLink(call, in)
	if in.Streaming {
		s.beginStream(call, in)
		return
	}
	s.target.running--
	s.accountForExecution(call, in)
	s.removeTargetCall(call)
	if in.Result == BackendMalformed {
		s.logMalformed(call, in)
	}
	outcome, reason := backendOutcome(in.Result)
	reason = s.abortReason(call, reason, in.Result)
	s.completeCall(call, outcome, reason, in)
	if in.Result == BackendMisdirected {
		s.handleMisdirected()
	}
	s.startQueuedCalls()
	s.handOverWhenIdle()
}

// logMalformed tells a malformed response from a broken connection, which has the same outcome and reason.
func (s *State) logMalformed(call *targetCall, in BackendRequestDone) {
	s.emit(Log{Level: LevelWarn, Message: "response of the backend server is malformed", PerCall: true, Fields: []Field{
		{"request", call.requestID}, {"call", call.id}, {"route", call.route}, {"instance", s.backend.instance},
		{"problem", in.Problem}, {"elapsed", in.Elapsed},
	}})
}

// beginStream answers a call whose response is passed on while the backend server sends it. The call keeps its slot until
// handleBackendStreamEnded; the runner ends the request at the deadline.
func (s *State) beginStream(call *targetCall, in BackendRequestDone) {
	call.phase = targetStreaming
	call.streamDone = in
	s.timers.cancel(timerKey{kind: timerTargetDeadline, call: call.handle})
	s.completeCall(call, OutcomeDone, ReasonNone, in)
	call.abandoned = true // it has its answer
}

// handleBackendStreamEnded frees the slot of a call that beginStream answered. Its service time is that until the first
// part of the response: the rest depends on how fast the caller reads.
func (s *State) handleBackendStreamEnded(in BackendStreamEnded) {
	call := s.target.calls[in.Call]
	if call == nil || call.phase != targetStreaming {
		return
	}
	s.target.running--
	s.accountForExecution(call, call.streamDone)
	s.removeTargetCall(call)
	s.startQueuedCalls()
	s.handOverWhenIdle()
}

// accountForExecution charges the slot time of an execution and updates the service times. Failures do not count
// towards those: a backend server that fails fast must not look fast.
func (s *State) accountForExecution(call *targetCall, in BackendRequestDone) {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	s.nested.callers.Ended(s.now, call.route)
	s.observeCapacity(call, in.Result)
	q := &s.target.queue
	q.advance(s.now, s.slots(), pool)
	q.accountEnd(call, in, s.slots(), pool)
	s.countForRollout(call.route, in)
	switch {
	case in.Result == BackendAnswered && in.Status < failureStatus:
		q.service.add(call.route, in.Elapsed, s.now)
	case in.Result == BackendAborted:
		q.service.addAborted(call.route, in.Elapsed, s.now)
	}
	if call.local && !s.noteFailedBelow(call, in) {
		s.observeLocal(in)
	}
}

// backendOutcome returns what the end of a backend request means for the call.
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
	case BackendOversized:
		return OutcomeUnknown, ReasonResponseTooLarge
	default:
		return OutcomeUnknown, ReasonBackendFailed
	}
}

// completeCall answers a call and concludes its execution record, which answers the copies that wait for it.
func (s *State) completeCall(call *targetCall, outcome Outcome, reason Reason, done BackendRequestDone) {
	s.answerWithStatus(call, outcome, reason, done.Status)
	if call.record != nil {
		s.concludeRecord(call.record, outcome, reason, done.Status, done.KeptBytes)
	}
}

// answerCall answers a call without a response of the backend server.
func (s *State) answerCall(call *targetCall, outcome Outcome, reason Reason) {
	s.answerWithStatus(call, outcome, reason, 0)
}

// answerWithStatus answers the peer or the local caller. status is that of the response, 0 without one.
func (s *State) answerWithStatus(call *targetCall, outcome Outcome, reason Reason, status int) {
	if call.abandoned {
		return
	}
	if !call.local {
		s.emit(AnswerForward{
			Call: call.handle, ID: call.id, Outcome: outcome, Reason: reason, Status: status,
			ResponseOf: call.handle, Load: s.reportFor(call), RetriesUsed: call.retriesUsed,
			Took: max(s.now-call.arrivedAt, 1), // 0 would mean that it is not known
		})
		return
	}
	s.chargeRetries(s.ingress.calls[call.handle], call.retriesUsed)
	s.answerLocal(call.handle, outcome, reason, call.handle)
}

// answerLocal passes an outcome to an ingress call whose current or earlier attempt is at this node.
func (s *State) answerLocal(handle Handle, outcome Outcome, reason Reason, responseOf Handle) {
	call := s.ingress.calls[handle]
	switch {
	case call == nil:
	case call.phase == ingressLocal:
		s.handleAttemptAnswered(call, outcome, reason, responseOf)
	case call.earlier != nil && call.earlier.local:
		s.handleEarlierEnded(call, outcome, reason, Deliver{Call: handle, ID: call.id, ResponseOf: responseOf})
	}
}

// expireTargetCall ends a call at its deadline. A queued call is refused. A running one is aborted if it is idempotent;
// otherwise it continues, so that its record gets an outcome, unless a large response is being received: the call has
// run then.
func (s *State) expireTargetCall(handle Handle) {
	call := s.target.calls[handle]
	if call == nil {
		return
	}
	if call.phase == targetQueued {
		s.dropQueued(call, ReasonDeadline)
		return
	}
	s.answerCall(call, OutcomeUnknown, ReasonDeadline)
	call.abandoned = true
	s.observeExpired(call)
	if call.idempotent {
		s.emit(AbortBackendRequest{Call: call.handle})
	}
	s.cutResponse(call.handle)
}

func (s *State) removeTargetCall(call *targetCall) {
	delete(s.target.calls, call.handle)
	delete(s.target.byID, call.id)
	s.links.out.Release(uint64(call.handle))
	s.timers.cancel(timerKey{kind: timerTargetDeadline, call: call.handle})
}

// abandonTargetCall cancels a local call without answering it and returns what is known about its execution.
func (s *State) abandonTargetCall(handle Handle) Outcome {
	call := s.target.calls[handle]
	if call == nil {
		return OutcomeUnknown
	}
	call.abandoned = true
	s.cutResponse(handle)
	return s.cancelTargetCall(call)
}

// handleForwarderGone handles the loss of the connection on which a call arrived. Only an idempotent call is cancelled;
// the outcome of any other may still be asked for. The call is answered all the same, which ends its traffic goroutine.
func (s *State) handleForwarderGone(in ForwarderGone) {
	if call := s.target.calls[in.Call]; call != nil && !call.local && call.idempotent {
		s.cancelTargetCall(call)
	}
}

// cancelTargetCall cancels a call whose response nobody needs and returns its outcome. A running call is aborted only
// if it is idempotent.
func (s *State) cancelTargetCall(call *targetCall) Outcome {
	if call.phase == targetQueued {
		s.dropQueued(call, ReasonCallerGone)
		return OutcomeNotRun
	}
	if call.idempotent {
		s.emit(AbortBackendRequest{Call: call.handle})
	}
	return OutcomeUnknown
}
