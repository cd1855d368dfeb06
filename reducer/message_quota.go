package reducer

import "github.com/rosemaryhatch/rosemaryhatch/reducer/quota"

// QuotaRequest asks the owner of the quotas of some workspaces for tokens, one of which allows one request, or passes the
// buckets of workspaces to their new owner.
type QuotaRequest struct {
	quota.Request
	Releases []quota.Release
}

// QuotaGrant answers a QuotaRequest that asks for tokens.
type QuotaGrant struct{ quota.Grant }

// QuotaStats reports to the metrics what both sides of the quotas have counted since the start.
type QuotaStats struct {
	Node  quota.NodeStats
	Owner quota.OwnerStats
	Owned int // workspaces whose quota this node owns
}

func (QuotaRequest) message() {}
func (QuotaGrant) message()   {}
func (QuotaStats) effect()    {}
