package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/nested"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Limits and intervals of the ingress side of a call.
const (
	// MaxDepth is the maximum depth of calls made on behalf of other calls.
	MaxDepth = 30
	// hopMargin is subtracted from the time left that a hop is given, so that its response arrives before the deadline.
	hopMargin = 4 * time.Millisecond
	// settleRetryInterval is the interval between requests for the outcome of a lost attempt.
	settleRetryInterval = 100 * time.Millisecond
	// probeDelay is how long an attempt may be unanswered before its connection is probed, and probeTimeout limits the
	// probe. A dead connection is detected after both.
	probeDelay   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// ingressPhase says what an ingress call waits for.
type ingressPhase uint8

const (
	ingressReadingBody   ingressPhase = iota + 1
	ingressAwaitingQuota              // waits for a token of its workspace
	ingressBackoff
	ingressForwarded
	ingressLocal           // an attempt at the backend server beside this node
	ingressSettling        // requests the outcome of a lost attempt
	ingressAskingHolder    // asks another node for the record of the call's idempotency key
	ingressAwaitingEarlier // the hedged attempt has ended, the earlier one is still open
	ingressFinished
)

// ingressCall is a call that a caller sent to this node.
//
// Invariant: at most one attempt of a call on a non-idempotent route may be executing at any time. The next one starts
// only after the previous one was answered as not run, was fenced, or was never sent.
type ingressCall struct {
	handle Handle
	id     CallID
	route  tables.Route
	key    string
	limits CallLimits
	// requestID is the caller's identifier of the request, and version that of the tables that apply to it.
	requestID string
	version   uint64
	workspace string // whose key the caller sent; empty for none
	phase     ingressPhase
	attempt   int
	target    PeerRef
	tried     []NodeID
	retries   int    // retries still allowed
	parent    CallID // the call that it was made on behalf of; zero when not known
	// overloadRetryConsidered is set once the one retry after an overload refusal was considered.
	overloadRetryConsidered bool
	quotaRetryAfter         time.Duration // for ReasonQuotaExceeded
	hasBody                 bool          // the request has a body, which may be empty if its length is not known
	reservedBytes           int64         // bytes counted against Limits.MaxBodyBytes
	arrivedAt               time.Duration
	sentAt                  time.Duration // start of the current attempt
	expectedDuration        time.Duration // estimated duration of the current attempt; idempotent calls only
	deadline                time.Duration
	// due is the end of the route's target latency; 0 when it has none.
	due          time.Duration
	lastReason   Reason
	firstAttempt bool     // see isFirstAttempt
	keyOwner     NodeID   // owner of the call's key when it was last looked up
	askedHolders []NodeID // nodes asked since then for the record of the key
	hasWaited    bool     // between two attempts; a repeat with the same key may have run meanwhile
	// ownerReportedNotRun is set when the owner of the call's key answered that the call did not run.
	ownerReportedNotRun bool
	// mayHaveRun is set once the outcome of an attempt of an idempotent call is unknown: if another attempt is refused,
	// the whole call must not be reported as not run.
	mayHaveRun bool
	// hedged is set once a second attempt was started in parallel; earlier is the first one while it is open.
	hedged  bool
	earlier *earlierAttempt
	nested  bool           // see noteNested
	madeBy  []nested.Share // probabilities of the routes whose requests may have made a nested call
	// failedBelow is set when a response is a failure because of the calls that the backend server made.
	failedBelow bool
}

// ingressState holds the calls that entered at this node and have not finished.
type ingressState struct {
	calls         map[Handle]*ingressCall
	reservedBytes int64 // bytes counted against Limits.MaxBodyBytes
	seq           uint64
	budget        retryBudget
	splits        splitState
}

func (g *ingressState) init() {
	g.calls = map[Handle]*ingressCall{}
}

// timeUntilDue returns the time until the due time as it is passed to the next hop: negative once it has passed, 0
// without one.
func (s *State) timeUntilDue(call *ingressCall) time.Duration {
	if call.due == 0 {
		return 0
	}
	if left := call.due - s.now - hopMargin; left != 0 {
		return left
	}
	return -1
}

func (s *State) handleBodyRead(in BodyRead) {
	call := s.ingress.calls[in.Call]
	if call == nil || call.phase != ingressReadingBody {
		return
	}
	switch in.Result {
	case BodyComplete:
		s.ingress.reservedBytes += in.Bytes - call.reservedBytes
		call.reservedBytes = in.Bytes
		s.dispatch(call)
	case BodyTooLarge:
		s.failCall(call, OutcomeNotRun, ReasonBodyTooLarge)
	default:
		s.failCall(call, OutcomeNotRun, ReasonBodyIncomplete)
	}
}

// dispatch starts the next attempt of a call at an upstream; one with an idempotency key goes to the owner of the key.
func (s *State) dispatch(call *ingressCall) {
	if call.key != "" {
		s.dispatchToOwner(call)
		return
	}
	target, reason := s.chooseUpstream(call)
	if reason != ReasonNone {
		s.failCall(call, OutcomeNotRun, s.reasonToReport(call, reason))
		return
	}
	s.startAttempt(call, target)
}

// startAttempt sends a call to an upstream, or fails it when no time is left for another node.
func (s *State) startAttempt(call *ingressCall, target Member) {
	left := s.timeLeftAt(target, call)
	if left <= 0 && target.Node != s.cfg.Self {
		s.failCall(call, call.outcomeBetweenAttempts(), ReasonDeadline)
		return
	}
	call.attempt++
	call.target = target.Ref()
	call.tried = append(call.tried, target.Node)
	call.limits.RetriesLeft = s.retriesLeft(call)
	call.sentAt = s.now
	if call.route.Idempotent {
		at := &servingUpstream{Member: target, load: s.loadOf(target.Node)}
		call.expectedDuration = max(s.estimateDuration(at, call.loadClass()), s.linkTime(at, call))
	}
	if target.Node == s.cfg.Self {
		s.setPhase(call, ingressLocal)
		if call.route.Idempotent {
			s.timers.set(timerKey{kind: timerIngressCheck, call: call.handle}, s.nextCheckTime(call))
		}
		s.admitTargetCall(s.newLocalTargetCall(call))
		return
	}
	s.setPhase(call, ingressForwarded)
	s.emit(Forward{
		Call: call.handle, Attempt: call.attempt, To: call.target, ID: call.id,
		Route: call.route.Name, Pool: call.route.Pool, Priority: call.route.Priority,
		Idempotent: call.route.Idempotent, Key: call.key, KeyRetention: call.route.KeyRetention,
		TimeLeft: left, DueIn: s.timeUntilDue(call), Limits: call.limits, RequestID: call.requestID,
		Streaming: call.route.Streaming, Workspace: call.workspace, Nested: call.nested, BodyAhead: s.sendsBodyAhead(call.reservedBytes),
	})
	s.timers.set(timerKey{kind: timerIngressCheck, call: call.handle}, s.nextCheckTime(call))
}

// nextCheckTime returns when to check an unanswered attempt next: when it may be hedged or its connection is due for a
// probe.
func (s *State) nextCheckTime(call *ingressCall) time.Duration {
	probe := call.sentAt + probeDelay
	if probe <= s.now {
		probe = s.now + probeDelay
	}
	if at := call.hedgeTime(); at > s.now {
		return min(probe, at)
	}
	return probe
}

// checkAttempt hedges an attempt that is still unanswered, or probes its connection.
func (s *State) checkAttempt(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil || call.phase != ingressForwarded && call.phase != ingressLocal || s.tryHedge(call) {
		return
	}
	if call.phase == ingressLocal || s.now < call.sentAt+probeDelay {
		s.timers.set(timerKey{kind: timerIngressCheck, call: call.handle}, s.nextCheckTime(call))
		return
	}
	s.emit(Probe{Call: call.handle, Attempt: call.attempt, To: call.target, Timeout: probeTimeout})
	if at := call.hedgeTime(); at > s.now {
		s.timers.set(timerKey{kind: timerIngressCheck, call: call.handle}, at)
	}
}

func (s *State) handleProbeDone(in ProbeDone) {
	call := s.ingress.calls[in.Call]
	if call == nil || call.attempt != in.Attempt || call.phase != ingressForwarded {
		return
	}
	s.timers.set(timerKey{kind: timerIngressCheck, call: call.handle}, s.nextCheckTime(call))
}

// reasonToReport prefers the reason of the last attempt to ReasonNoUpstream.
func (s *State) reasonToReport(call *ingressCall, reason Reason) Reason {
	if reason == ReasonNoUpstream && call.lastReason != ReasonNone {
		return call.lastReason
	}
	return reason
}

// handleForwardDone handles the end of a forwarded attempt. Results of attempts that are no longer open are ignored.
func (s *State) handleForwardDone(in ForwardDone) {
	call := s.ingress.calls[in.Call]
	s.logMalformedAnswer(call, in.Attempt, in.Problem)
	if call != nil && call.earlier != nil && !call.earlier.local && call.earlier.number == in.Attempt {
		s.handleEarlierForwardDone(call, in)
		return
	}
	if call == nil || call.attempt != in.Attempt || call.phase != ingressForwarded {
		return
	}
	s.observeForward(call, in)
	if in.Status >= failureStatus {
		s.noteCallFailed(call.route.Pool, ReasonBackendFailed)
	}
	s.learnFromReport(call, &in.Load)
	call.failedBelow = in.Load.Withheld > 0 && in.Status >= failureStatus
	s.chargeRetries(call, in.RetriesUsed)
	switch in.Result {
	case ForwardAnswered:
		s.handleAttemptAnswered(call, in.Outcome, in.Reason, 0)
	case ForwardNotSent:
		s.handleAttemptNotRun(call, ReasonPeerUnreachable)
	default:
		s.handleAttemptLost(call)
	}
}

// logMalformedAnswer logs why the response of another node is not delivered. It does nothing if there is no problem, or if the
// call has ended.
func (s *State) logMalformedAnswer(call *ingressCall, attempt int, problem string) {
	if call != nil && problem != "" {
		s.logCall(call, "response of another node is malformed", Field{"attempt", attempt}, Field{"problem", problem})
	}
}

// handleAttemptAnswered handles an attempt whose target reported an outcome. The response is that of the attempt or,
// when responseOf is not 0, the one that this node keeps for that call.
func (s *State) handleAttemptAnswered(call *ingressCall, outcome Outcome, reason Reason, responseOf Handle) {
	switch {
	case outcome == OutcomeDone:
		s.cancelEarlier(call) // before the effect that ends the exchange
		s.emit(Deliver{Call: call.handle, ID: call.id, Attempt: call.attempt, ResponseOf: responseOf})
		s.finish(call, OutcomeDone, reason)
	case outcome == OutcomeNotRun:
		s.handleAttemptNotRun(call, reason)
	case call.route.Idempotent:
		call.mayHaveRun = true
		s.retryOrFail(call, OutcomeUnknown, reason)
	default:
		s.failCall(call, OutcomeUnknown, reason)
	}
}

// handleAttemptNotRun handles an attempt that certainly did not and will not run.
func (s *State) handleAttemptNotRun(call *ingressCall, reason Reason) {
	call.ownerReportedNotRun = reason.isFromOwner()
	s.retryOrFail(call, OutcomeNotRun, reason)
}

// handleAttemptLost handles an attempt that may have run. An idempotent call is retried elsewhere; for any other the
// outcome is requested first.
func (s *State) handleAttemptLost(call *ingressCall) {
	if call.route.Idempotent {
		call.mayHaveRun = true
		s.emit(Cancel{To: call.target, ID: call.id, Attempt: call.attempt})
		s.retryOrFail(call, OutcomeUnknown, ReasonPeerUnreachable)
		return
	}
	s.setPhase(call, ingressSettling)
	s.requestOutcome(call.handle)
}

// requestOutcome asks the target of a lost attempt for its outcome, or another node for the record of the call's key.
func (s *State) requestOutcome(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil || call.phase != ingressSettling && call.phase != ingressAskingHolder {
		return
	}
	s.emit(Settle{
		Call: call.handle, Attempt: call.attempt, TakeKey: call.phase == ingressAskingHolder, To: call.target, ID: call.id,
		Route: call.route.Name, Key: call.key, KeyRetention: call.route.KeyRetention,
		TimeLeft: call.deadline - s.now - hopMargin,
	})
}

// handleSettleDone handles the answer about an outcome, and asks again while there is none.
func (s *State) handleSettleDone(in SettleDone) {
	call := s.ingress.calls[in.Call]
	if call == nil || call.attempt != in.Attempt || call.phase != ingressSettling && call.phase != ingressAskingHolder {
		return
	}
	s.logMalformedAnswer(call, in.Attempt, in.Problem)
	if !in.Answered || in.Outcome == OutcomePending {
		s.timers.set(timerKey{kind: timerIngressSettle, call: call.handle}, s.now+settleRetryInterval)
		return
	}
	if call.phase == ingressAskingHolder && in.Outcome == OutcomeNotRun {
		s.dispatchToOwner(call)
		return
	}
	s.handleAttemptAnswered(call, in.Outcome, in.Reason, 0)
}

// expireIngressCall ends a call at its deadline. The outcome is unknown if an attempt may have run, or if a copy of the
// call may have run elsewhere under its key.
func (s *State) expireIngressCall(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil {
		return
	}
	switch call.phase {
	case ingressForwarded, ingressSettling:
		s.observeTimeout(call.target.Node)
		s.emit(Cancel{To: call.target, ID: call.id, Attempt: call.attempt})
		s.failCall(call, OutcomeUnknown, ReasonDeadline)
	case ingressAskingHolder:
		s.failCall(call, OutcomeUnknown, ReasonDeadline)
	case ingressLocal:
		outcome := s.abandonTargetCall(call.handle)
		if outcome == OutcomeUnknown {
			s.observeTimeout(s.cfg.Self)
		}
		s.failCall(call, outcome, ReasonDeadline)
	default:
		s.failCall(call, call.outcomeBetweenAttempts(), ReasonDeadline)
	}
}

func (s *State) handleCallerGone(in CallerGone) {
	call := s.ingress.calls[in.Call]
	if call == nil {
		return
	}
	outcome := call.outcomeBetweenAttempts()
	switch call.phase {
	case ingressForwarded, ingressSettling:
		outcome = OutcomeUnknown
		s.emit(Cancel{To: call.target, ID: call.id, Attempt: call.attempt})
	case ingressLocal:
		outcome = s.abandonTargetCall(call.handle)
	}
	s.failCall(call, outcome, ReasonCallerGone)
}

// setPhase changes the phase of a call and counts the calls in flight to each upstream.
func (s *State) setPhase(call *ingressCall, phase ingressPhase) {
	if call.phase == ingressForwarded {
		s.loadOf(call.target.Node).inFlight--
	}
	if phase == ingressForwarded {
		load := s.loadOf(call.target.Node)
		load.inFlight++
		load.sentSinceReport++
		s.noteLinkSent(call, load)
	}
	call.phase = phase
}

// failCall ends a call without a response. It reports OutcomeNotRun only if that is certain, and otherwise
// OutcomeUnknown.
func (s *State) failCall(call *ingressCall, outcome Outcome, reason Reason) {
	if outcome == OutcomeNotRun && !call.isCertainlyNotRun() {
		outcome = OutcomeUnknown
	}
	s.cancelEarlier(call) // before the effect that ends the exchange
	s.emit(FailCall{Call: call.handle, ID: call.id, Outcome: outcome, Reason: reason, RetryAfter: s.retryAfter(call, outcome, reason)})
	s.finish(call, outcome, reason)
}

// finish removes a call whose attempts have ended.
func (s *State) finish(call *ingressCall, outcome Outcome, reason Reason) {
	s.forgetQuotaWait(call)
	s.setPhase(call, ingressFinished)
	if outcome != OutcomeDone {
		s.noteCallFailed(call.route.Pool, reason)
	}
	s.noteNestedEnd(call, outcome, reason)
	s.ingress.reservedBytes -= call.reservedBytes
	delete(s.ingress.calls, call.handle)
	s.timers.cancel(timerKey{kind: timerIngressDeadline, call: call.handle})
	s.timers.cancel(timerKey{kind: timerIngressRetry, call: call.handle})
	s.timers.cancel(timerKey{kind: timerIngressSettle, call: call.handle})
	s.timers.cancel(timerKey{kind: timerIngressCheck, call: call.handle})
	s.emit(CallFinished{
		Call: call.handle, ID: call.id, RequestID: call.requestID, Target: call.target.Node, Version: call.version,
		Route: call.route.Name, Workspace: call.workspace, Priority: call.route.Priority,
		Outcome: outcome, Reason: reason, Attempts: call.attempt, Elapsed: s.now - call.arrivedAt, TimeLeft: call.deadline - s.now, Nested: call.nested,
	})
	s.handOverWhenIdle()
}
