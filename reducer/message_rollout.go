package reducer

import "time"

// RolloutState says how far the roll-out of a version of a service has come.
type RolloutState uint8

// The states of a roll-out.
const (
	RolloutNone RolloutState = iota
	RolloutRunning
	RolloutSucceeded
	RolloutRolledBack
)

var rolloutStateNames = [...]string{"none", "running", "succeeded", "rolled_back"}

func (s RolloutState) String() string {
	if int(s) < len(rolloutStateNames) {
		return rolloutStateNames[s]
	}
	return "invalid"
}

// RolloutOrder is the operator's request to move the traffic of a service to upstreams of a version.
type RolloutOrder struct {
	Service  string
	Version  string
	Duration time.Duration // in which a good version is expected to have all traffic
	Revision uint64        // of the order in the platform's store; a later order has a higher one
	Problem  string        // why the order cannot be carried out; empty if it can
}

// RolloutUpdate carries the state of one roll-out. Of two updates of a service the one with the higher Revision holds.
type RolloutUpdate struct {
	Service  string
	Version  string // target of the roll-out
	State    RolloutState
	Share    float64 // of the service's calls that go to Version, 0 to 1
	Final    bool    // the old version may be used no more: the next state is RolloutSucceeded
	Revision uint64  // of the state in the platform's store, which increases with each change
	Order    uint64  // revision of the order that the roll-out carries out
	Decider  PeerRef // that collects RolloutReports
}

// RolloutReport tells the decider of a roll-out what a node has observed of the upstream beside it, and what it has
// applied.
type RolloutReport struct {
	Service  string
	Revision uint64 // of the newest RolloutUpdate applied
	OldCalls int    // calls of this node that are open at upstreams of the old version
	Upstream string // version of the upstream beside the node; empty if it is of another service
	Routes   []RolloutRoute
}

// RolloutRoute is what a node has observed of one route since its last report.
type RolloutRoute struct {
	Route    string
	Calls    int
	Failures int
	Elapsed  time.Duration // sum over the calls that did not fail, corrected for cold starts
}

func (RolloutUpdate) message() {}
func (RolloutReport) message() {}

// RolloutsRead reports the orders and the stored states of roll-outs. Results other than StoreOK leave both empty.
type RolloutsRead struct {
	Result   StoreResult
	Watch    bool // answers WatchRollouts
	Revision uint64
	Orders   []RolloutOrder
	States   []StoredRollout
}

// StoredRollout is the state of a roll-out as the platform's store keeps it.
type StoredRollout struct {
	Update        RolloutUpdate
	StateRevision uint64 // of the key of the state, which a write expects
	StartedAt     int64  // start of the roll-out in Unix milliseconds, by the clock of its first decider
}

// RolloutLeaseHeld reports whether this node decides the roll-out of a service: it holds the lease of the decider's key.
type RolloutLeaseHeld struct {
	Service string
	Result  StoreResult
	Fence   uint64 // revision of the decider's key; a write expects it
}

// RolloutWritten reports the result of WriteRollout.
type RolloutWritten struct {
	Service       string
	Result        StoreResult
	StateRevision uint64 // after StoreOK
}

// ReadRollouts reads the orders and the stored states of all roll-outs.
type ReadRollouts struct{}

// HoldRolloutLease acquires or renews the lease of the decider's key of a service.
type HoldRolloutLease struct {
	Service string
	TTL     time.Duration
}

// WriteRollout writes the state of a roll-out and its status in one transaction, if this node still decides and the state
// is still the one it knows.
type WriteRollout struct {
	Rollout StoredRollout
	Fence   uint64
}
