package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Figures of the ingress side of a call.
const (
	// MaxDepth bounds calls made on behalf of calls.
	MaxDepth = 30
	// hopMargin is taken off the time left that a hop is given, so that its answer arrives in time.
	hopMargin = 4 * time.Millisecond
	// settleBackoff is the pause between two attempts to learn an outcome.
	settleBackoff = 100 * time.Millisecond
	// probeAfter is how long an attempt goes without an answer before its connection is probed, and
	// probeTimeout how long the probe may take. A connection that went silent is known after both.
	probeAfter   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// ingressPhase says what an arrived call waits for.
type ingressPhase uint8

const (
	phaseBody ingressPhase = iota + 1
	phaseBackoff
	phaseForwarded
	phaseLocal    // this node is the target
	phaseSettling // asks for the outcome of a lost attempt
	phaseAsking   // asks for a record of the call's key
	phaseHedged   // the later of two attempts has ended, the earlier one goes on
	phaseFinished
)

// ingressCall is a call that a caller sent to this node.
//
// Invariant: at most one attempt may be executing at any time when the route is not idempotent. The
// next attempt starts only after the one before was answered as not run, fenced, or never sent.
type ingressCall struct {
	handle Handle
	id     CallID
	route  tables.Route
	key    string
	limits CallLimits
	// requestID is what the caller calls the request, and version the tables by which it is handled.
	requestID string
	version   uint64
	phase     ingressPhase
	attempt   int
	target    PeerRef
	tried     []NodeID
	retries   int    // retries still allowed
	parent    CallID // the call that it was made on behalf of; zero when not known
	// overloadRetried is set once a refusal under load was considered for its one retry.
	overloadRetried bool
	reserved        int64
	arrivedAt       time.Duration
	sentAt          time.Duration // begin of the present attempt
	expected        time.Duration // time that the attempt was expected to take; idempotent calls only
	deadline        time.Duration
	due             time.Duration // when the response loses worth; 0 when that is not known
	lastReason      Reason
	firstAttempt    bool
	keyOwner        NodeID   // owner of the call's key when it was last looked up
	asked           []NodeID // nodes that said since then that they have no record of the key
	// ownerKnows is set once the owner of the call's key said that the call did not run.
	ownerKnows bool
	// mayHaveRun is set once an attempt of an idempotent call was lost: a later refusal of another
	// attempt does not make the whole call "not run".
	mayHaveRun bool
	// hedged is set once a second attempt was started beside another; earlier is that other one while it goes on.
	hedged  bool
	earlier *openAttempt
}

type ingressState struct {
	calls    map[Handle]*ingressCall
	reserved int64
	seq      uint64
	budget   retryBudget
}

func (g *ingressState) init() {
	g.calls = map[Handle]*ingressCall{}
}

func (s *State) callArrived(in CallArrived) {
	route, reason := s.admitArrival(in)
	if reason != ReasonNone {
		in.FirstAttempt = s.isFirstAttempt(in)
		outcome := in.RefusalOutcome()
		s.emit(Refuse{Call: in.Call, Outcome: outcome, Reason: reason, RetryAfter: pauseFor(reason)})
		s.emit(CallFinished{Call: in.Call, RequestID: in.RequestID, Version: s.config.active.ID().Number, Route: route.Name, Priority: route.Priority, Outcome: outcome, Reason: reason})
		return
	}
	call := s.newIngressCall(in, route)
	if call.key == "" && s.refusesEarly(call) {
		s.refuse(call, OutcomeNotRun, ReasonDeadline)
		return
	}
	s.earnRetry()
	s.timers.set(timerKey{kind: timerIngressDeadline, call: call.handle}, call.deadline)
	if in.BodyBytes == 0 {
		s.dispatch(call)
		return
	}
	s.setPhase(call, phaseBody)
	s.emit(ReadBody{Call: call.handle, Limit: route.MaxBodyBytes})
}

// admitArrival finds the route of a call, or the reason to refuse it before its body is read.
func (s *State) admitArrival(in CallArrived) (tables.Route, Reason) {
	if !s.ready() {
		return tables.Route{}, ReasonNotReady
	}
	route, ok := s.config.active.Match(in.Host, in.Method, in.Path)
	switch {
	case !ok:
		return tables.Route{}, ReasonNoRoute
	case in.Depth >= MaxDepth:
		return *route, ReasonTooDeep
	case in.BodyBytes > route.MaxBodyBytes:
		return *route, ReasonBodyTooLarge
	case len(s.ingress.calls) >= s.cfg.Limits.MaxCalls:
		return *route, ReasonOverloaded
	case s.ingress.reserved+bodyReserve(in.BodyBytes, route) > s.cfg.Limits.MaxBodyBytes:
		return *route, ReasonOverloaded
	}
	chosen := *route
	if len(route.Split) > 0 {
		chosen.Pool = s.drawPool(route.Split)
	}
	return chosen, ReasonNone
}

// drawPool returns one of the pools that share a route, at random by their weights.
func (s *State) drawPool(split []tables.Share) string {
	sum := 0
	for _, share := range split {
		sum += share.Weight
	}
	draw := s.random(sum)
	for _, share := range split {
		if draw -= share.Weight; draw < 0 {
			return share.Pool
		}
	}
	panic("reducer: a split without weights passed its check")
}

// bodyReserve returns the bytes to reserve for a body; one of unknown length may reach the limit.
func bodyReserve(declared int64, route *tables.Route) int64 {
	if declared < 0 {
		return route.MaxBodyBytes
	}
	return declared
}

func (s *State) newIngressCall(in CallArrived, route tables.Route) *ingressCall {
	timeout := route.Timeout
	if in.Timeout > 0 && in.Timeout < timeout {
		timeout = in.Timeout
	}
	s.ingress.seq++
	call := &ingressCall{
		handle:       in.Call,
		id:           CallID{Origin: s.cfg.Self, Incarnation: s.cfg.Incarnation, Seq: s.ingress.seq},
		route:        route,
		limits:       CallLimits{Depth: in.Depth + 1},
		requestID:    in.RequestID,
		version:      s.config.active.ID().Number,
		retries:      allowedRetries(in, route.Retries),
		parent:       in.Parent,
		reserved:     bodyReserve(in.BodyBytes, &route),
		arrivedAt:    s.now,
		deadline:     s.now + timeout,
		due:          s.dueOf(&route, timeout),
		firstAttempt: s.isFirstAttempt(in),
	}
	if !route.Idempotent {
		call.key = in.IdempotencyKey
	}
	s.ingress.calls[call.handle] = call
	s.ingress.reserved += call.reserved
	return call
}

// dueOf returns when the response to a new call loses worth, 0 when its route does not say. A caller that allows less time
// than the route has waited before: it was refused and has come back.
func (s *State) dueOf(route *tables.Route, timeout time.Duration) time.Duration {
	if route.TargetLatency == 0 {
		return 0
	}
	return max(s.now+route.TargetLatency-(route.Timeout-timeout), 1)
}

// dueIn returns the time until the response of a call loses worth at an upstream beyond a hop, 0 when that is not known.
func (s *State) dueIn(call *ingressCall) time.Duration {
	if call.due == 0 {
		return 0
	}
	if left := call.due - s.now - hopMargin; left != 0 {
		return left
	}
	return -1
}

func (s *State) bodyRead(in BodyRead) {
	call := s.ingress.calls[in.Call]
	if call == nil || call.phase != phaseBody {
		return
	}
	switch in.Result {
	case BodyComplete:
		s.ingress.reserved += in.Bytes - call.reserved
		call.reserved = in.Bytes
		s.dispatch(call)
	case BodyTooLarge:
		s.refuse(call, OutcomeNotRun, ReasonBodyTooLarge)
	default:
		s.refuse(call, OutcomeNotRun, ReasonBodyIncomplete)
	}
}

// dispatch starts the next attempt of a call at an upstream.
func (s *State) dispatch(call *ingressCall) {
	if call.key != "" {
		s.dispatchToOwner(call)
		return
	}
	target, reason := s.chooseUpstream(call)
	if reason != ReasonNone {
		s.refuse(call, OutcomeNotRun, s.reasonToReport(call, reason))
		return
	}
	s.sendTo(call, target)
}

// sendTo starts an attempt at an upstream.
func (s *State) sendTo(call *ingressCall, target Member) {
	left := s.timeLeftAt(target, call)
	if left <= 0 && target.Node != s.cfg.Self {
		s.refuse(call, call.outcomeBetweenAttempts(), ReasonDeadline)
		return
	}
	call.attempt++
	call.target = target.Ref()
	call.tried = append(call.tried, target.Node)
	call.limits.RetriesLeft = s.retriesLeft(call)
	call.sentAt = s.now
	if call.route.Idempotent {
		call.expected = s.expectedFinish(&upstream{target, s.loadOf(target.Node)}, call.route.Priority)
	}
	if target.Node == s.cfg.Self {
		s.setPhase(call, phaseLocal)
		if call.route.Idempotent {
			s.timers.set(timerKey{kind: timerIngressProbe, call: call.handle}, s.nextCheck(call))
		}
		s.admitTarget(s.localTargetCall(call))
		return
	}
	s.setPhase(call, phaseForwarded)
	s.emit(Forward{
		Call: call.handle, Attempt: call.attempt, To: call.target, ID: call.id,
		Route: call.route.Name, Pool: call.route.Pool, Priority: call.route.Priority,
		Idempotent: call.route.Idempotent, Key: call.key, KeyRetention: call.route.KeyRetention,
		TimeLeft: left, DueIn: s.dueIn(call), Limits: call.limits, RequestID: call.requestID,
	})
	s.timers.set(timerKey{kind: timerIngressProbe, call: call.handle}, s.nextCheck(call))
}

// nextCheck returns when an attempt without an answer is looked at next: when another one may be started beside it, or
// when its connection is due for a probe.
func (s *State) nextCheck(call *ingressCall) time.Duration {
	probe := call.sentAt + probeAfter
	if probe <= s.now {
		probe = s.now + probeAfter
	}
	if at := call.hedgeAt(); at > s.now {
		return min(probe, at)
	}
	return probe
}

// ingressProbe looks at an attempt that has no answer yet: it starts another one, or probes the connection.
func (s *State) ingressProbe(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil || call.phase != phaseForwarded && call.phase != phaseLocal || s.hedge(call) {
		return
	}
	if call.phase == phaseLocal || s.now < call.sentAt+probeAfter {
		s.timers.set(timerKey{kind: timerIngressProbe, call: call.handle}, s.nextCheck(call))
		return
	}
	s.emit(Probe{Call: call.handle, Attempt: call.attempt, To: call.target, Timeout: probeTimeout})
	if at := call.hedgeAt(); at > s.now {
		s.timers.set(timerKey{kind: timerIngressProbe, call: call.handle}, at)
	}
}

func (s *State) probeDone(in ProbeDone) {
	call := s.ingress.calls[in.Call]
	if call == nil || call.attempt != in.Attempt || call.phase != phaseForwarded {
		return
	}
	s.timers.set(timerKey{kind: timerIngressProbe, call: call.handle}, s.nextCheck(call))
}

// reasonToReport prefers the reason of the last attempt to "no other upstream is left".
func (s *State) reasonToReport(call *ingressCall, reason Reason) Reason {
	if reason == ReasonNoUpstream && call.lastReason != ReasonNone {
		return call.lastReason
	}
	return reason
}

func (s *State) forwardDone(in ForwardDone) {
	call := s.ingress.calls[in.Call]
	if call != nil && call.earlier != nil && !call.earlier.local && call.earlier.number == in.Attempt {
		s.earlierForwarded(call, in)
		return
	}
	if call == nil || call.attempt != in.Attempt || call.phase != phaseForwarded {
		return
	}
	s.observeForward(call, in)
	s.chargeRetries(call, in.RetriesUsed)
	switch in.Result {
	case ForwardAnswered:
		s.attemptAnswered(call, in.Outcome, in.Reason, 0)
	case ForwardNotSent:
		s.attemptNotRun(call, ReasonPeerUnreachable)
	default:
		s.attemptLost(call)
	}
}

// attemptAnswered ends an attempt whose outcome the target told. The response is the one that the
// attempt brought, or the one that this node keeps for answerOf.
func (s *State) attemptAnswered(call *ingressCall, outcome Outcome, reason Reason, answerOf Handle) {
	switch {
	case outcome == OutcomeDone:
		s.emit(Deliver{Call: call.handle, ID: call.id, Attempt: call.attempt, ResponseOf: answerOf})
		s.finish(call, OutcomeDone, reason)
	case outcome == OutcomeNotRun:
		s.attemptNotRun(call, reason)
	case call.route.Idempotent:
		call.mayHaveRun = true
		s.retryOrRefuse(call, OutcomeUnknown, reason)
	default:
		s.refuse(call, OutcomeUnknown, reason)
	}
}

// attemptNotRun ends an attempt that certainly did not and will not run.
func (s *State) attemptNotRun(call *ingressCall, reason Reason) {
	call.ownerKnows = reason.isFromOwner()
	s.retryOrRefuse(call, OutcomeNotRun, reason)
}

// attemptLost handles an attempt that may or may not have run. An idempotent call is tried elsewhere;
// any other is settled first.
func (s *State) attemptLost(call *ingressCall) {
	if call.route.Idempotent {
		call.mayHaveRun = true
		s.emit(Cancel{To: call.target, ID: call.id})
		s.retryOrRefuse(call, OutcomeUnknown, ReasonPeerUnreachable)
		return
	}
	s.setPhase(call, phaseSettling)
	s.ingressSettle(call.handle)
}

// ingressSettle asks the target of a lost attempt for its outcome.
func (s *State) ingressSettle(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil || call.phase != phaseSettling && call.phase != phaseAsking {
		return
	}
	s.emit(Settle{
		Call: call.handle, Attempt: call.attempt, TakeKey: call.phase == phaseAsking, To: call.target, ID: call.id,
		Route: call.route.Name, Key: call.key, KeyRetention: call.route.KeyRetention,
		TimeLeft: call.deadline - s.now - hopMargin,
	})
}

func (s *State) settleDone(in SettleDone) {
	call := s.ingress.calls[in.Call]
	if call == nil || call.attempt != in.Attempt || call.phase != phaseSettling && call.phase != phaseAsking {
		return
	}
	if !in.Answered || in.Outcome == OutcomePending {
		s.timers.set(timerKey{kind: timerIngressSettle, call: call.handle}, s.now+settleBackoff)
		return
	}
	if call.phase == phaseAsking && in.Outcome == OutcomeNotRun {
		s.dispatchToOwner(call)
		return
	}
	s.attemptAnswered(call, in.Outcome, in.Reason, 0)
}

// ingressDeadline ends a call whose time is up. Only an attempt that may have been sent makes the
// outcome unknown.
func (s *State) ingressDeadline(handle Handle) {
	call := s.ingress.calls[handle]
	if call == nil {
		return
	}
	switch call.phase {
	case phaseForwarded, phaseSettling:
		s.observeSilence(call.target.Node)
		s.emit(Cancel{To: call.target, ID: call.id})
		s.refuse(call, OutcomeUnknown, ReasonDeadline)
	case phaseAsking:
		s.refuse(call, OutcomeUnknown, ReasonDeadline)
	case phaseLocal:
		outcome := s.abandonTarget(call.handle)
		if outcome == OutcomeUnknown {
			s.observeSilence(s.cfg.Self)
		}
		s.refuse(call, outcome, ReasonDeadline)
	default:
		s.refuse(call, call.outcomeBetweenAttempts(), ReasonDeadline)
	}
}

func (s *State) callerGone(in CallerGone) {
	call := s.ingress.calls[in.Call]
	if call == nil {
		return
	}
	outcome := call.outcomeBetweenAttempts()
	switch call.phase {
	case phaseForwarded, phaseSettling:
		outcome = OutcomeUnknown
		s.emit(Cancel{To: call.target, ID: call.id})
	case phaseLocal:
		outcome = s.abandonTarget(call.handle)
	}
	s.refuse(call, outcome, ReasonCallerGone)
}

// setPhase moves a call on and counts the calls in flight to each upstream.
func (s *State) setPhase(call *ingressCall, phase ingressPhase) {
	if call.phase == phaseForwarded {
		s.loadOf(call.target.Node).inFlight--
	}
	if phase == phaseForwarded {
		load := s.loadOf(call.target.Node)
		load.inFlight++
		load.sent++
	}
	call.phase = phase
}

func (s *State) refuse(call *ingressCall, outcome Outcome, reason Reason) {
	if outcome == OutcomeNotRun && !call.isCertainlyNotRun() {
		outcome = OutcomeUnknown
	}
	s.emit(Refuse{Call: call.handle, ID: call.id, Outcome: outcome, Reason: reason, RetryAfter: s.retryAfter(call, outcome, reason)})
	s.finish(call, outcome, reason)
}

func (s *State) finish(call *ingressCall, outcome Outcome, reason Reason) {
	s.setPhase(call, phaseFinished)
	s.cancelEarlier(call)
	s.ingress.reserved -= call.reserved
	delete(s.ingress.calls, call.handle)
	s.timers.cancel(timerKey{kind: timerIngressDeadline, call: call.handle})
	s.timers.cancel(timerKey{kind: timerIngressRetry, call: call.handle})
	s.timers.cancel(timerKey{kind: timerIngressSettle, call: call.handle})
	s.timers.cancel(timerKey{kind: timerIngressProbe, call: call.handle})
	s.emit(CallFinished{
		Call: call.handle, ID: call.id, RequestID: call.requestID, Target: call.target.Node, Version: call.version,
		Route: call.route.Name, Priority: call.route.Priority,
		Outcome: outcome, Reason: reason, Attempts: call.attempt, Elapsed: s.now - call.arrivedAt, TimeLeft: call.deadline - s.now,
	})
	s.shutdownProgress()
}
