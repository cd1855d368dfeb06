// Package rollout decides the roll-out of a version of a service: which share of the calls goes to the new version, when
// it is good or bad, and which versions a node may use. It does no I/O and reads no clock.
package rollout

import (
	"math"
	"time"
)

// State says how far the roll-out of a version of a service has come.
type State uint8

// The states of a roll-out.
const (
	None State = iota
	Running
	Succeeded
	RolledBack
)

var stateNames = [...]string{"none", "running", "succeeded", "rolled_back"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Order is the operator's request to move the traffic of a service to upstreams of a version.
type Order struct {
	Service  string
	Version  string
	Duration time.Duration // in which a good version is expected to have all traffic
	Revision uint64        // of the order in the platform's store; a later order has a higher one
	Problem  string        // why the order cannot be carried out; empty if it can
}

// Node identifies the incarnation of a node that decides a roll-out, and its peer address.
type Node struct {
	ID          string
	Address     string
	Incarnation uint64
}

// Update is the state of one roll-out as nodes pass it on.
type Update struct {
	Service  string
	Version  string // target of the roll-out
	From     string // version in use before
	State    State
	Step     int     // index in the schedule
	Share    float64 // of the service's calls that go to Version, 0 to 1
	Guarded  bool    // a node that has not heard of the state for PermissionTTL uses From no more
	Final    bool    // From may be used no more: the next state is Succeeded
	Era      uint64  // of the platform's store in which the state was written
	Revision uint64  // of the state in the platform's store, which increases with each change in an era
	Refresh  uint64  // counts the repetitions of one revision, which renew the permission to use From
	Order    uint64  // revision of the order that the roll-out carries out
	Halted   bool    // Version may be used no more; set before the state RolledBack is stored
	Decider  Node    // that collects reports
}

// Supersedes reports whether u replaces held: by revision first, then by a halt, then by the count of repetitions.
func (u Update) Supersedes(held Update) bool {
	switch {
	case u.At() != held.At():
		return u.At().IsAfter(held.At())
	case u.Halted != held.Halted:
		return u.Halted
	default:
		return u.Refresh > held.Refresh
	}
}

// Stored is the state of a roll-out as the platform's store keeps it.
type Stored struct {
	Update   Update
	Revision uint64 // of the key of the state, which a write expects
	// StartedAt is the start of the roll-out in Unix milliseconds, by the clock of its first decider.
	StartedAt int64
	Duration  time.Duration
	Status    Status
}

// Status is what the operator is told. It differs from the Update for an order that moved nothing.
type Status struct {
	State   State
	Version string // of the order
	Reason  string
}

// Report is what a node has applied and what it has observed of the upstream beside it since its last report.
type Report struct {
	Service  string
	Era      uint64 // of the newest update applied
	Revision uint64 // of the newest update applied
	OldCalls int    // calls of this node that are open at upstreams of the old version
	Upstream string // version of the upstream beside the node
	Serves   bool   // the upstream beside the node is of the service
	Slots    int    // of that upstream; 0 from a node of an earlier release
	Busy     int    // sum over Routes of the calls in progress beside each response
	Routes   []RouteCount
}

// RouteCount counts the responses of an upstream on one route.
type RouteCount struct {
	Route    string
	Calls    int
	Failures int
	Buckets  [LatencyBuckets]uint16 // responses that did not fail, by latency
}

// LatencyBuckets is the number of latency buckets. Bucket i ends at 2^((i+1)/2) quarters of a millisecond; the last one
// holds all that is longer than about 3 s.
const LatencyBuckets = 28

// BucketOf returns the bucket of a latency.
func BucketOf(latency time.Duration) int {
	if latency <= firstBucket {
		return 0
	}
	return min(int(2*math.Log2(float64(latency)/float64(firstBucket))), LatencyBuckets-1)
}

// firstBucket is the shortest latency that is told from shorter ones.
const firstBucket = 250 * time.Microsecond

// Settings bounds what a version may receive before it is known to be good.
type Settings struct {
	Enabled       bool
	ExposureShare float64
	ExposureSlack int
	Rollback      time.Duration
}

const (
	// PermissionTTL is how long a node may use the old version of a guarded roll-out after it last heard of the state. It
	// covers the time in which another node takes over from a decider that was killed: LeaseTTL, RefreshInterval, and a
	// second for the lease and the state. Without it the calls that are not for the new version would have no upstream
	// meanwhile.
	PermissionTTL = 4500 * time.Millisecond
	// RefreshInterval is how often the decider repeats the state of a running roll-out.
	RefreshInterval = 500 * time.Millisecond
	// LeaseTTL is how long a decider that has failed keeps others from deciding; LeaseInterval is how often it is renewed.
	LeaseTTL      = 3 * time.Second
	LeaseInterval = time.Second
	// ReportInterval is how often nodes report in the first step, and FastReportInterval in the later ones, where more
	// requests reach a bad version until it is found.
	ReportInterval     = 500 * time.Millisecond
	FastReportInterval = 250 * time.Millisecond
)

// The schedule of shares. The first step takes firstStepPart of the duration; docs/design/rollouts.md has the arithmetic.
const (
	firstShare    = 0.04
	firstStepPart = 0.55
	// minStepTime lets the reports of all nodes arrive at least twice in a step.
	minStepTime = 700 * time.Millisecond
	// firstStepCalls is the number of calls that the first step sends to the new version beyond firstShare. Without them a
	// service with 30 requests a second has 8 calls to judge by; the exposure slack allows for 50.
	firstStepCalls = 20
	// maxFirstShare bounds the share of the first step of a service with very few requests.
	maxFirstShare = 0.25
	// rateAfter is how long the rate of requests is measured before the share of the first step is set by it.
	rateAfter = 1500 * time.Millisecond
	// minShareChange is the smallest change of the share that is written.
	minShareChange = 0.01
)

// laterShares are the shares of the steps after the first one. The one before the last is guarded, the last is final.
var laterShares = [...]float64{0.15, 0.40, 1}

const (
	guardedStep = len(laterShares) - 1
	finalStep   = len(laterShares)
)

// atStep returns the update for a step of the schedule.
func (u Update) atStep(step int) Update {
	u.Step, u.Share = step, firstShare
	if step > 0 {
		u.Share = max(u.Share, laterShares[step-1])
	}
	u.Guarded, u.Final = step >= guardedStep, step == finalStep
	return u
}
