package reducer

import "time"

// Bounds of the pause that a caller is told after a refusal.
const (
	minRetryAfter = 20 * time.Millisecond
	// nodePause is told when this node cannot serve: callers then have other nodes, and a node that starts is ready soon.
	nodePause = 250 * time.Millisecond
	// worthPart is the part of the time until its response loses worth that a caller is made to wait at most. One that
	// comes back later would be served late even by a free upstream.
	worthPart = 3
)

// pauseFor returns the pause for a refusal that does not depend on the load of upstreams, 0 when no pause helps.
func pauseFor(reason Reason) time.Duration {
	switch reason {
	case ReasonNotReady, ReasonOverloaded, ReasonNoUpstream, ReasonLeaving, ReasonDraining, ReasonRecordsFull, ReasonPeerUnreachable,
		ReasonBackendUnreachable:
		return nodePause
	default:
		return 0
	}
}

// retryAfter returns how long a caller should wait before it tries again: until there will be room for its call at the
// upstream with the shortest queue, if that takes in nothing else meanwhile. It is 0 when no hint can be given.
func (s *State) retryAfter(call *ingressCall, outcome Outcome, reason Reason) time.Duration {
	if outcome != OutcomeNotRun || !overloadRefusal(reason) {
		return pauseFor(reason)
	}
	left := call.fitBy(s.now) - s.now
	excess, most := s.shortestFinish(call)-left, max(left/worthPart, minRetryAfter)
	return min(max(excess, minRetryAfter), most)
}

// shortestFinish returns the shortest time that a call is expected to take at an upstream of its pool.
func (s *State) shortestFinish(call *ingressCall) time.Duration {
	pool, _ := s.config.active.Pool(call.route.Pool)
	shortest := maxWait
	for _, u := range s.usableUpstreams(pool.Service, nil) {
		shortest = min(shortest, s.expectedFinish(u, call.route.Priority))
	}
	return shortest
}
