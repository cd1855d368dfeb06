package quota

import (
	"math"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// requestInterval is the shortest interval between two requests of a node to one owner.
	requestInterval = 50 * time.Millisecond
	// answerTimeout is how long a node waits for a grant before it counts the owner as silent.
	answerTimeout = maxWait
	// failoverTimeout takes the place of answerTimeout if a quota has several owners: half of the time that a call may wait is
	// left to ask another one.
	failoverTimeout = maxWait / 2
	// silentRetry is how long a node does not use a silent owner while other parts of the quota have one that answers.
	silentRetry = time.Second
	// silentInterval is the interval of the requests to an owner that is silent or does not grant. Calls do not wait for it
	// meanwhile.
	silentInterval = 250 * time.Millisecond
	// demandPeriod is the time constant of the average of the demand.
	demandPeriod = 4 * time.Second
	// minAheadDemand is the least demand for which a node holds tokens ahead. A single call gives 0.25, and two calls close
	// together 0.5: the tokens and messages that less would cost serve no further call of most workspaces.
	minAheadDemand = 0.45
	// renewalLevel is the part of the target below which a node asks for more tokens ahead. With half of it the node sent a tenth
	// more messages and waited as often.
	renewalLevel = 1.0 / 3
	// aheadTime is the time for whose expected calls a node holds tokens.
	aheadTime = time.Second
	// renewalFraction is the last part of the validity of tokens in which they are returned for new ones.
	renewalFraction = 0.25
	// minAheadDelay and maxAheadDelay bound the time from an answer with too few tokens ahead to the next request for them. An
	// owner whose bucket is low grants none, and most buckets of small workspaces are always low: with a fixed delay of 625 ms
	// most requests of a node asked in vain for tokens ahead.
	minAheadDelay = validity / 4
	maxAheadDelay = 2 * validity
	// reportInterval is the interval of the reports of a workspace's refused calls.
	reportInterval = 10 * time.Second
	// retryAfterUnowned is the Retry-After of calls that are refused while no owner grants.
	retryAfterUnowned = time.Second
)

// Result says what becomes of a call.
type Result uint8

// The results of Arrive, and of the decisions about calls that wait.
const (
	Admitted Result = iota + 1
	Waiting
	Refused
)

// Decision is the result for a call.
type Decision struct {
	Call       uint64
	Result     Result
	RetryAfter time.Duration // for Refused
	Wait       time.Duration // how long the call waited
}

// Outgoing is a message to another node: a request to an owner, buckets that the sender no longer owns, or a query of an owner.
type Outgoing struct {
	To       Peer
	Request  Request
	Releases []Release
	Query    Query
}

// Report tells of refused calls of a workspace. There is one in reportInterval.
type Report struct {
	Workspace  string
	Refused    int // calls since the last report
	Demand     float64
	Quota      float64 // requests per window
	Unowned    bool    // no owner granted tokens
	RetryAfter time.Duration
}

// NodeStats counts what a node decided.
type NodeStats struct {
	Admitted, Refused, Waited, ByAllowance float64 // calls
	Requests, Silent                       float64 // requests to owners, and those without an answer in time
}

// Node decides which calls that enter at a node may go on.
type Node struct {
	limits     Limits
	view       View
	startedAt  time.Duration
	workspaces map[string]*account
	active     []*account // with calls that wait, tokens or demand; in the order in which they became active
	owners     map[Peer]*ownerLink
	open       []*ownerLink // whose request has no answer yet
	version    uint64       // of the tables
	seq        uint64
	decisions  []Decision
	outgoing   []Outgoing
	reports    []Report
	Stats      NodeStats
}

// account is a node's side of the quota of a workspace.
type account struct {
	name   string
	plan   plan
	active bool
	parts  []part
	at     int // the part that is asked as long as it grants
	// hasOwner is set if the parts have owners. It is derived from the view, as they are.
	hasOwner  bool
	allowance int          // requests per window without an owner
	tokens    []heldTokens // by expiry
	waits     []waiting
	// immediate is the number of tokens for calls that wait while a grant is handled.
	immediate float64

	demand   float64 // requests per second, at demandAt
	demandAt time.Duration
	// aheadUntil is when the demand falls below minAheadDemand without another call.
	aheadUntil time.Duration
	// aheadTo is when the owners are asked again for tokens ahead only. aheadDelay doubles as long as they grant none.
	aheadTo    time.Duration
	aheadDelay time.Duration
	// askedAhead is the number of tokens ahead that the latest request asked for.
	askedAhead float64
	asked      bool // the open request to the owner asks for this workspace
	wantsNow   bool // a request is due

	refused  int           // calls since the last report
	reportAt time.Duration // when the next report may follow

	used []time.Duration // uses of the allowance within the last window
}

type heldTokens struct {
	from    Peer
	part    int
	tokens  float64
	renewAt time.Duration
	expires time.Duration
}

type waiting struct {
	call  uint64
	since time.Duration
}

// ownerLink is the state of the requests to one owner.
type ownerLink struct {
	peer     Peer
	seq      uint64
	sentAt   time.Duration
	open     bool // the request has no answer yet, and answerTimeout has not passed
	answered bool
	silent   bool       // the last request had no answer in time
	asks     []*account // of the open request
}

// NewNode returns the side of a node that started at the given time.
func NewNode(limits Limits, now time.Duration) *Node {
	return &Node{limits: limits, startedAt: now, workspaces: map[string]*account{}, owners: map[Peer]*ownerLink{}}
}

// SetWorkspaces sets the workspaces with a quota of a version of the tables. Calls that wait for one without a quota now
// are admitted. Tokens of a quota that was lowered are dropped.
func (n *Node) SetWorkspaces(now time.Duration, version uint64, workspaces []tables.Workspace) {
	n.version = version
	next := make(map[string]*account, len(workspaces))
	for _, w := range workspaces {
		a := n.workspaces[w.Name]
		if a == nil {
			a = newAccount(w.Name, n.limits.parts(), now)
		}
		before := a.plan.quota
		if a.plan = newPlan(w, n.limits); a.plan.quota < before {
			a.tokens = nil
		}
		n.updateOwner(a)
		next[w.Name] = a
	}
	n.active = slices.DeleteFunc(n.active, func(a *account) bool {
		if next[a.name] != nil {
			return false
		}
		for _, w := range a.waits {
			n.admit(now, w)
		}
		a.waits = nil
		return true
	})
	n.workspaces = next
}

// SetView sets the members that are known, and reports whether they have changed.
func (n *Node) SetView(view View) bool {
	if old := &n.view; slices.Equal(old.Live, view.Live) && slices.Equal(old.Known, view.Known) && old.Alive == view.Alive && old.Ended == view.Ended && old.Expected == view.Expected && old.Alone == view.Alone {
		return false
	}
	n.view = view
	for peer, link := range n.owners {
		if !slices.Contains(view.Live, peer) {
			n.close(link)
			delete(n.owners, peer)
		}
	}
	for _, a := range n.workspaces {
		n.updateOwner(a)
	}
	return true
}

func (n *Node) updateOwner(a *account) {
	owners, ok := n.view.ownersOf(a.name, len(a.parts))
	for i := range a.parts {
		if p := &a.parts[i]; p.owner != owners[i] || ok != a.hasOwner {
			*p = part{name: p.name, owner: owners[i], link: n.owners[owners[i]]}
		}
	}
	if !a.hasOwner && ok {
		// The nodes begin with different parts, so that each gets a third of the demand.
		a.at = int(hashName(a.name).score(n.view.Self.Node) % uint64(len(a.parts)))
	}
	a.hasOwner = ok
	a.allowance = n.view.allowanceOf(a.name, a.plan.allowance)
}

// Limits reports whether the calls of a workspace are limited.
func (n *Node) Limits(workspace string) bool { return n.workspaces[workspace] != nil }

// Arrive decides about a new call. One that waits gets a decision later.
func (n *Node) Arrive(now time.Duration, workspace string, call uint64) Decision {
	a := n.workspaces[workspace]
	if a == nil {
		return Decision{Call: call, Result: Admitted}
	}
	a.noteCall(now)
	a.expire(now)
	if !a.active {
		a.active = true
		n.active = append(n.active, a)
	}
	if a.take() {
		n.Stats.Admitted++
		n.ask(now, a)
		return Decision{Call: call, Result: Admitted}
	}
	w := waiting{call, now}
	if d, ok := n.decideWithoutOwner(now, a, w); ok {
		n.ask(now, a)
		return d
	}
	a.waits = append(a.waits, w)
	n.ask(now, a)
	return Decision{Call: call, Result: Waiting}
}

// useAllowance admits a call without an owner's token, or refuses it.
func (n *Node) useAllowance(now time.Duration, a *account, w waiting) Decision {
	d := Decision{Call: w.call, Result: Refused, RetryAfter: retryAfterUnowned, Wait: now - w.since}
	if at := a.grantsAt(now); at > now {
		d.RetryAfter = at - now
	}
	window := n.limits.Window + arrivalMargin
	a.used = slices.DeleteFunc(a.used, func(at time.Duration) bool { return now-at > window })
	// The uses of an earlier incarnation of this node are not known.
	if now-n.startedAt > window && len(a.used) < a.allowance {
		a.used = append(a.used, now)
		d.Result, d.RetryAfter = Admitted, 0
		n.Stats.Admitted++
		n.Stats.ByAllowance++
		return d
	}
	n.noteRefusal(now, a, d.RetryAfter, true)
	return d
}

// noteRefusal counts a refused call, and reports it if there was no report of its workspace recently.
func (n *Node) noteRefusal(now time.Duration, a *account, retryAfter time.Duration, unowned bool) {
	n.Stats.Refused++
	a.refused++
	if now < a.reportAt {
		return
	}
	n.reports = append(n.reports, Report{
		Workspace: a.name, Refused: a.refused, Demand: a.demandNow(now), Quota: a.plan.quota, Unowned: unowned, RetryAfter: retryAfter,
	})
	a.refused, a.reportAt = 0, now+reportInterval
}

// TakeReports returns the reports since the last call.
func (n *Node) TakeReports() []Report {
	reports := n.reports
	n.reports = nil
	return reports
}

// Forget removes a call that no longer waits for a decision.
func (n *Node) Forget(workspace string, call uint64) {
	if a := n.workspaces[workspace]; a != nil {
		a.waits = slices.DeleteFunc(a.waits, func(w waiting) bool { return w.call == call })
	}
}

// HandleGrant takes the answer of an owner.
func (n *Node) HandleGrant(now time.Duration, from Peer, grant Grant) {
	link := n.owners[from]
	if link == nil || link.answered || link.seq != grant.Seq {
		return // the tokens expire at the owner like unused ones
	}
	asked := slices.Clone(link.asks)
	link.silent, link.answered = false, true
	n.close(link)
	for _, t := range grant.Tokens {
		workspace, part := splitPart(t.Workspace)
		if a := n.workspaces[workspace]; a != nil && part >= 0 && part < len(a.parts) {
			n.takeGrant(now, a, part, link, grant.Version, t)
			n.serve(now, a)
		}
	}
	for _, a := range asked {
		n.serve(now, a) // also those that the owner left out
	}
}

// takeGrant takes the tokens of one part. Those of an owner that does not know yet that the quota was lowered are dropped.
func (n *Node) takeGrant(now time.Duration, a *account, index int, link *ownerLink, version uint64, t Tokens) {
	if version >= n.version || t.Quota <= a.plan.quota {
		a.add(now, link, index, t)
	}
	p := &a.parts[index]
	p.shortTo, p.idleTo = 0, 0
	switch {
	case t.NotGranting:
		p.grantsAt = now + min(t.RetryAfter, maxRetryAfter)
		p.idleTo = now + max(min(t.RetryAfter, silentInterval), requestInterval)
	case t.RetryAfter > 0:
		p.shortTo = now + min(t.RetryAfter, maxRetryAfter)
	}
	a.noteAhead(now, t.Ahead)
}

// serve decides about the calls that wait for a workspace, as far as it is known.
func (n *Node) serve(now time.Duration, a *account) {
	left := a.waits[:0]
	for _, w := range a.waits {
		if a.take() {
			n.admit(now, w)
		} else if d, ok := n.decideWaiting(now, a, w); ok {
			n.decisions = append(n.decisions, d)
			n.Stats.Waited++
		} else {
			left = append(left, w)
		}
	}
	a.waits = left
	a.immediate = 0
	n.ask(now, a)
}

// admit lets a call go on that has waited.
func (n *Node) admit(now time.Duration, w waiting) {
	n.decisions = append(n.decisions, Decision{Call: w.call, Result: Admitted, Wait: now - w.since})
	n.Stats.Waited++
	n.Stats.Admitted++
}

// Take returns the decisions and the requests since the last call.
func (n *Node) Take() ([]Decision, []Outgoing) {
	decisions, outgoing := n.decisions, n.outgoing
	n.decisions, n.outgoing = nil, nil
	return decisions, outgoing
}

// target is the number of tokens that a node holds ahead.
func (a *account) target(now time.Duration) float64 {
	if now >= a.aheadUntil {
		return 0
	}
	return math.Ceil(a.demandNow(now) * aheadTime.Seconds())
}

func (a *account) noteCall(now time.Duration) {
	a.demand = a.demandNow(now) + 1/demandPeriod.Seconds()
	a.demandAt = now
	a.aheadUntil = now + time.Duration(math.Log(a.demand/minAheadDemand)*float64(demandPeriod))
}

func (a *account) demandNow(now time.Duration) float64 {
	return a.demand * math.Exp(-(now-a.demandAt).Seconds()/demandPeriod.Seconds())
}

// take uses the token that expires first, or returns false.
func (a *account) take() bool {
	if a.immediate >= 1 {
		a.immediate--
		return true
	}
	for len(a.tokens) > 0 {
		if a.tokens[0].tokens >= 1 {
			a.tokens[0].tokens--
			return true
		}
		a.tokens = a.tokens[1:]
	}
	return false
}

func (a *account) expire(now time.Duration) {
	a.tokens = slices.DeleteFunc(a.tokens, func(t heldTokens) bool { return t.expires <= now || t.tokens < 1 })
}

// add takes granted tokens. Those for calls that wait are lost unless serve uses them at once.
func (a *account) add(now time.Duration, link *ownerLink, part int, t Tokens) {
	a.immediate = 0
	if link.sentAt+immediateValidity > now {
		a.immediate = whole(t.Now)
	}
	expires := link.sentAt + min(t.ValidFor, validity)
	if t.Ahead < 1 || expires <= now {
		return
	}
	renewAt := expires - time.Duration(float64(t.ValidFor)*renewalFraction)
	a.tokens = append(a.tokens, heldTokens{link.peer, part, whole(t.Ahead), renewAt, expires})
	slices.SortStableFunc(a.tokens, func(x, y heldTokens) int { return int(x.expires - y.expires) })
}
