package reducer

import "github.com/rosemaryhatch/rosemaryhatch/reducer/quota"

// QuotaRequest asks the owner of the quotas of some workspaces for tokens, one of which allows one request, or passes the
// buckets of workspaces to their new owner, or asks a node to agree that its sender begins to grant.
type QuotaRequest struct {
	quota.Request
	Releases []quota.Release
	Query    quota.Query
}

// QuotaGrant answers a QuotaRequest that asks for tokens or has a query.
type QuotaGrant struct {
	quota.Grant
	Answer quota.Answer
}

// QuotaStats reports to the metrics what both sides of the quotas have counted since the start.
type QuotaStats struct {
	Node  quota.NodeStats
	Owner quota.OwnerStats
	Owned int // parts of quotas that this node owns
}

func (QuotaRequest) message() {}
func (QuotaGrant) message()   {}
func (QuotaStats) effect()    {}
