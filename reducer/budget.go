package reducer

// retryBudget is a token bucket that limits the retries of this node, so that retries do not multiply the load on a
// service that is already failing.
type retryBudget struct {
	tokens float64
	filled bool // set by the first call, which fills the bucket
}

const (
	// retryRatioFraction is the part of Tunables.RetryRatio that each call adds, in tokens. The rest is for nested
	// calls, which are made again when their outer call is retried.
	retryRatioFraction = 0.5
	// minRetryCapacity is the minimum capacity in tokens, for a fleet so large that the node's share of
	// Tunables.RetrySlack is lower.
	minRetryCapacity = 2.0
)

// retryCapacity returns the capacity of the bucket in tokens: the node's share of Tunables.RetrySlack.
func (s *State) retryCapacity() float64 {
	return max(float64(s.cfg.RetrySlack)/float64(s.members.livePeers+1), minRetryCapacity)
}

func (s *State) addRetryTokens() {
	b := &s.ingress.budget
	capacity := s.retryCapacity()
	if !b.filled {
		b.filled, b.tokens = true, capacity
	}
	b.tokens = min(b.tokens+s.cfg.RetryRatio*retryRatioFraction, capacity)
}

// takeRetryToken consumes a token, or returns false when less than one is left.
func (s *State) takeRetryToken() bool {
	b := &s.ingress.budget
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
