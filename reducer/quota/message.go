package quota

import "time"

// Request asks an owner for tokens. One token allows one request.
type Request struct {
	Seq  uint64 // chosen by the node, returned in the grant
	Asks []Ask
}

// Release passes the bucket of a workspace to its new owner.
type Release struct {
	Workspace string
	Level     float64 // tokens in the bucket
	Out       float64 // granted tokens that nodes may still use
	Share     float64 // part of the rate that the earlier owner could grant
	Hops      int     // nodes that have passed it on since the owner that released it
}

// Ask is what a node asks of one workspace's quota.
type Ask struct {
	Workspace string
	Needed    float64 // tokens for calls that wait
	Ahead     float64 // tokens for expected calls
	Demand    float64 // requests per second at this node, averaged over about a second
	// Held is the number of unused tokens that the node keeps, and Returned of those that it gives back. All others that it
	// was granted before are used, or will not be.
	Held     float64
	Returned float64
}

// Grant answers a Request.
type Grant struct {
	Seq     uint64
	Version uint64 // of the owner's tables
	Tokens  []Tokens
}

// Tokens is what an owner grants of one workspace's quota.
type Tokens struct {
	Workspace string
	Now       float64       // tokens for calls that wait; they are void unless they arrive in time
	Ahead     float64       // tokens for expected calls
	ValidFor  time.Duration // of Ahead, from the time at which the request was sent, by the clock of the node that asked
	// RetryAfter is set with fewer tokens than were needed: the time until the quota has a token for this node again.
	RetryAfter time.Duration
	Quota      float64 // requests per window that the owner's tables allow, without overage
	// NotGranting is set while the answering node does not own the quota or does not grant yet.
	NotGranting bool
}
