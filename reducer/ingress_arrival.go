package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// handleCallArrived admits a new call or refuses it.
func (s *State) handleCallArrived(in CallArrived) {
	route, workspace, reason := s.admitArrival(in)
	if in.Pipelined && (reason != ReasonNone || !route.Idempotent) {
		// The requests ahead of it may close the connection, and their callers then send it again as a new request.
		s.emit(PostponeCall{Call: in.Call})
		return
	}
	if reason != ReasonNone {
		s.noteCallFailed(route.Pool, reason)
		in.FirstAttempt = s.isFirstAttempt(in)
		outcome := in.RefusalOutcome()
		s.emit(FailCall{Call: in.Call, Outcome: outcome, Reason: reason, RetryAfter: fixedRetryAfter(reason)})
		s.emit(CallFinished{Call: in.Call, RequestID: in.RequestID, Version: s.config.active.ID().Number, Route: route.Name, Workspace: workspace, Priority: route.Priority, Outcome: outcome, Reason: reason})
		return
	}
	call := s.newIngressCall(in, route, workspace)
	s.noteNested(call)
	if call.key == "" && (s.shouldRefuseEarly(call) || s.linkRefusesEarly(call)) || s.receiveLinkRefuses(call) {
		s.failCall(call, OutcomeNotRun, ReasonDeadline)
		return
	}
	if call.key == "" && s.isWithheld(call) {
		s.failCall(call, OutcomeNotRun, ReasonNestedFailing)
		return
	}
	s.addRetryTokens()
	s.timers.set(timerKey{kind: timerIngressDeadline, call: call.handle}, call.deadline)
	s.admitByQuota(call)
}

// startIngressCall begins an admitted call: its body is read first if it has one.
func (s *State) startIngressCall(call *ingressCall) {
	if !call.hasBody {
		s.dispatch(call)
		return
	}
	s.setPhase(call, ingressReadingBody)
	s.emit(ReadBody{Call: call.handle, Limit: call.route.MaxBodyBytes})
}

// admitArrival returns the route of a new call, with its pool and its priority selected, and its workspace, or the reason to
// refuse it before its body is read.
func (s *State) admitArrival(in CallArrived) (tables.Route, string, Reason) {
	if !s.isReady() {
		return tables.Route{}, "", ReasonNotReady
	}
	route, ok := s.config.active.Match(in.Host, in.Method, in.Path)
	if !ok {
		return tables.Route{}, "", ReasonNoRoute
	}
	chosen := *route
	workspace, ok := s.authenticate(in.Credential, route)
	if !ok {
		return chosen, "", ReasonUnknownKey
	}
	if workspace.HasPriority {
		chosen.Priority = workspace.Priority
	}
	if reason := s.refuseArrival(in, route); reason != ReasonNone {
		return chosen, workspace.Name, reason
	}
	if len(route.Split) > 0 {
		chosen.Pool = s.pickPool(route)
	}
	return chosen, workspace.Name, ReasonNone
}

// authenticate returns the workspace that holds the key of a request, or false if its route needs a key and there is none.
// A request on a public route belongs to no workspace.
func (s *State) authenticate(credential Credential, route *tables.Route) (tables.Workspace, bool) {
	if route.Public || !s.config.active.HasWorkspaces() {
		return tables.Workspace{}, true
	}
	if !credential.Valid {
		return tables.Workspace{}, false
	}
	workspace, ok := s.config.active.WorkspaceOf(credential.Key)
	if !ok {
		return tables.Workspace{}, false
	}
	return *workspace, true
}

// refuseArrival returns why a new call on a route is refused before its body is read, or ReasonNone.
func (s *State) refuseArrival(in CallArrived, route *tables.Route) Reason {
	switch {
	case route.Unsupported != "":
		return ReasonUnsupportedRoute
	case s.shutdown.mayEndBefore(s.now + callTimeout(in, route)):
		return ReasonLeaving
	case in.Depth >= MaxDepth:
		return ReasonTooDeep
	case in.BodyBytes > route.MaxBodyBytes:
		return ReasonBodyTooLarge
	case len(s.ingress.calls) >= s.cfg.Limits.MaxCalls:
		return ReasonOverloaded
	case s.ingress.reservedBytes+bytesToReserve(in.BodyBytes, route) > s.cfg.Limits.MaxBodyBytes:
		return ReasonOverloaded
	}
	return ReasonNone
}

// bytesToReserve returns the bytes to reserve for a request body; one of unknown length, given as negative, may reach
// the limit of the route.
func bytesToReserve(declared int64, route *tables.Route) int64 {
	if declared < 0 {
		return route.MaxBodyBytes
	}
	return declared
}

// callTimeout returns the time of a new call: that of its route, unless the caller waits less.
func callTimeout(in CallArrived, route *tables.Route) time.Duration {
	if in.Timeout > 0 {
		return min(in.Timeout, route.Timeout)
	}
	return route.Timeout
}

// newIngressCall adds an admitted call and reserves memory for its body.
func (s *State) newIngressCall(in CallArrived, route tables.Route, workspace string) *ingressCall {
	timeout := callTimeout(in, &route)
	s.ingress.seq++
	call := &ingressCall{
		handle:        in.Call,
		id:            CallID{Origin: s.cfg.Self, Incarnation: s.cfg.Incarnation, Seq: s.ingress.seq},
		route:         route,
		limits:        CallLimits{Depth: in.Depth + 1},
		requestID:     in.RequestID,
		version:       s.config.active.ID().Number,
		workspace:     workspace,
		retries:       allowedRetries(in, route.Retries),
		parent:        in.Parent,
		hasBody:       in.BodyBytes != 0,
		reservedBytes: bytesToReserve(in.BodyBytes, &route),
		arrivedAt:     s.now,
		deadline:      s.now + timeout,
		due:           s.initialDue(&route, timeout),
		firstAttempt:  s.isFirstAttempt(in),
	}
	if !route.Idempotent {
		call.key = in.IdempotencyKey
	}
	s.ingress.calls[call.handle] = call
	s.ingress.reservedBytes += call.reservedBytes
	return call
}

// initialDue returns the due time of a new call, 0 when its route has no target latency. A caller that allows less time
// than the route is assumed to send a refused request again: the time since the first request counts.
func (s *State) initialDue(route *tables.Route, timeout time.Duration) time.Duration {
	if route.TargetLatency == 0 {
		return 0
	}
	return max(s.now+route.TargetLatency-(route.Timeout-timeout), 1)
}
