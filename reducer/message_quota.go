package reducer

import "time"

// QuotaRequest asks the owner of the quotas of some workspaces for tokens, one of which allows one request.
type QuotaRequest struct {
	Asks []QuotaAsk
}

// QuotaAsk is what a node asks of one workspace's quota.
type QuotaAsk struct {
	Workspace string
	Wanted    float64 // tokens beyond those held
	Returned  float64 // unused tokens of earlier grants that the node gives back
	Demand    float64 // requests per second at this node, averaged over about a second
}

// QuotaGrant answers a QuotaRequest.
type QuotaGrant struct {
	Grants []QuotaTokens
}

// QuotaTokens is what an owner grants of one workspace's quota.
type QuotaTokens struct {
	Workspace string
	Tokens    float64
	ValidFor  time.Duration // from the time at which the request was sent, by the clock of the node that asked
	// RetryAfter is set with fewer tokens than were wanted: the time until the quota has a token for this node again.
	RetryAfter time.Duration
}

func (QuotaRequest) message() {}
func (QuotaGrant) message()   {}
