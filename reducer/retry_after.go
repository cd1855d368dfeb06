package reducer

import "time"

// Values and bounds of the Retry-After hint that a caller gets with a refusal.
const (
	// minRetryAfter is the shortest hint after an overload refusal.
	minRetryAfter = 20 * time.Millisecond
	// unavailableRetryAfter is the hint when this node cannot serve: callers can use other nodes, and a starting node
	// is ready soon.
	unavailableRetryAfter = 250 * time.Millisecond
	// retryAfterDivisor limits the hint to a third of the time until the effective deadline of the call. A call that is
	// sent again later would be answered late even by an idle upstream.
	retryAfterDivisor = 3
)

// fixedRetryAfter returns the hint for a refusal that does not depend on the load of upstreams, 0 when waiting does not
// help.
func fixedRetryAfter(reason Reason) time.Duration {
	switch reason {
	case ReasonNotReady, ReasonOverloaded, ReasonNoUpstream, ReasonLeaving, ReasonDraining, ReasonRecordsFull, ReasonPeerUnreachable,
		ReasonBackendUnreachable:
		return unavailableRetryAfter
	default:
		return 0
	}
}

// retryAfter returns how long a caller should wait before it sends a refused call again, 0 for no hint. After an
// overload refusal that is the time until the upstream with the shortest queue could serve the call in time if it
// admitted nothing else meanwhile, within minRetryAfter and the limit set by retryAfterDivisor.
func (s *State) retryAfter(call *ingressCall, outcome Outcome, reason Reason) time.Duration {
	if reason == ReasonNestedFailing {
		return s.withheldRetryAfter(call)
	}
	if reason == ReasonQuotaExceeded {
		return call.quotaRetryAfter
	}
	if outcome != OutcomeNotRun || !isOverloadRefusal(reason) {
		return fixedRetryAfter(reason)
	}
	left := call.effectiveDeadline(s.now) - s.now
	excess, limit := s.estimateShortestDuration(call)-left, max(left/retryAfterDivisor, minRetryAfter)
	if s.sharesApply(call) {
		return s.spreadRetryAfter(call, min(max(s.workspaceExcess(call, left), minRetryAfter), limit), limit)
	}
	return min(max(excess, minRetryAfter), limit)
}

// estimateShortestDuration returns the shortest estimated duration of a call at the usable upstreams of its pool.
func (s *State) estimateShortestDuration(call *ingressCall) time.Duration {
	pool, _ := s.config.active.Pool(call.route.Pool)
	shortest := maxWait
	for _, u := range s.usableUpstreams(pool.Service, nil) {
		shortest = min(shortest, max(s.estimateDuration(u, call.loadClass()), s.linkTime(u, call)))
	}
	return shortest
}
