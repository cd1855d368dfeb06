package reducer

// retryBudget is a token bucket that bounds the retries of this node, so that retries cannot multiply the load on
// a service that is already failing.
type retryBudget struct {
	tokens  float64
	started bool
}

const (
	// retryEarned is the part of the fleet's ratio that a call earns. The rest is for calls that executions make again
	// when they are retried.
	retryEarned = 0.5
	// minRetryBudget is what a node may keep in a fleet so large that its part of the slack is less.
	minRetryBudget = 2.0
)

// retryCapacity returns the tokens that this node keeps at most: its part of the fleet's slack.
func (s *State) retryCapacity() float64 {
	return max(float64(s.cfg.RetrySlack)/float64(s.members.livePeers+1), minRetryBudget)
}

// earnRetry adds what a new call earns.
func (s *State) earnRetry() {
	b := &s.ingress.budget
	most := s.retryCapacity()
	if !b.started {
		b.started, b.tokens = true, most
	}
	b.tokens = min(b.tokens+s.cfg.RetryRatio*retryEarned, most)
}

// spendRetry takes a token, or returns false when there is none.
func (s *State) spendRetry() bool {
	b := &s.ingress.budget
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
