package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// takeOverDelay is how long a new owner grants nothing. Suspicion makes it the owner 1.2 s after the last contact with
	// the earlier one, which may be alive beyond a partition: it knows after 3.6 s that it hears fewer members. A larger
	// share of the rate also takes effect only then.
	takeOverDelay = 3 * time.Second
	// stampInterval is the precision of the expiry of tokens for calls that wait, at the owner.
	stampInterval = 50 * time.Millisecond
	// demandRetention is how long the demand of a node counts after its last request. It is longer than validity.
	demandRetention = 3 * time.Second
	// overloadRetryAfter is the shortest time after which a node asks again for a workspace that exceeds its quota: each of
	// its owners after this time for each part. With 90 nodes it means 225 requests a second to the owners of one.
	overloadRetryAfter = 400 * time.Millisecond
	// overloadDeviations is how far the demand exceeds the rate when the workspace exceeds its quota: in standard deviations
	// of the number of calls in a second. Less is chance, as the part of a small workspace has a few calls a second.
	overloadDeviations = 2
	maxRetryAfter      = 5 * time.Second
	// notGrantingRetryAfter is the Retry-After of a node that does not own the quota.
	notGrantingRetryAfter = 250 * time.Millisecond
	// aheadReserve is the part of the bucket that is kept for calls that wait, and not granted ahead.
	aheadReserve = 0.25
	// minAheadReserve is the least number of tokens that is kept in a bucket of several: with 1.5 of the 6 tokens of a small workspace's part, the other
	// parts refused calls after the loss of an owner while nodes held tokens that they did not use.
	minAheadReserve = 4
	// releaseRetention is how long a passed bucket waits until this node knows that it is the owner.
	releaseRetention = time.Second
	// resumeMargin is how long after a pause of the process messages may arrive that waited during it.
	resumeMargin = time.Second
	// maxHolders bounds the nodes that are known for a workspace. Others get no tokens ahead.
	maxHolders = 4096
)

// OwnerStats counts what an owner decided.
type OwnerStats struct {
	Requests, Granted, Returned, Short float64
	Recovered                          float64 // parts whose hold ended early
}

// Owner grants the tokens of the workspaces that a node owns.
type Owner struct {
	limits     Limits
	view       View
	workspaces map[string]tables.Workspace
	buckets    map[string]*bucket // by the name of the part
	share      float64
	nextShare  float64 // larger one that takes effect at shareAt
	shareAt    time.Duration
	resetAt    time.Duration // end of the last pause; valid if wasReset is set
	wasReset   bool
	version    uint64 // of the tables
	releases   []Outgoing
	recovery   *recovery                  // nil unless queries are open
	rounds     uint64                     // of queries since the start
	promised   map[string]time.Duration   // when this node agreed that another one owns a part
	received   map[string]receivedRelease // by workspace; only those that arrived before this node knew that it is the owner
	Stats      OwnerStats
}

type receivedRelease struct {
	Release
	at time.Duration
}

// bucket is the token bucket of an owned part of a workspace's quota.
type bucket struct {
	plan     plan
	level    float64
	filledAt time.Duration
	heldTo   time.Duration // grants nothing before
	granted  []lot         // for calls that wait, and passed on by an earlier owner; by expiry
	holders  map[Peer]*holder
	out      float64 // tokens of granted and holders, which nodes may still use
	demand   int64   // sum of the holders' demands, in thousandths of a request per second: a sum that depends on no order
	prunedAt time.Duration
}

type lot struct {
	expires time.Duration
	tokens  float64
}

// holder is a node that asked for tokens of a workspace.
type holder struct {
	seq     uint64  // of its latest request
	tokens  float64 // granted ahead that may be unused until expires
	expires time.Duration
	demand  int64 // thousandths of a request per second
	at      time.Duration
}

// NewOwner returns an owner that owns nothing yet.
func NewOwner(limits Limits) *Owner {
	return &Owner{limits: limits, workspaces: map[string]tables.Workspace{}, buckets: map[string]*bucket{}, received: map[string]receivedRelease{}, promised: map[string]time.Duration{}}
}

// SetWorkspaces sets the workspaces with a quota of a version of the tables. A changed quota takes effect at once.
func (o *Owner) SetWorkspaces(now time.Duration, version uint64, workspaces []tables.Workspace) {
	o.version = version
	o.workspaces = map[string]tables.Workspace{}
	for _, w := range workspaces {
		o.workspaces[w.Name] = w
		for part := range o.limits.parts() {
			if b := o.buckets[partName(w.Name, part)]; b != nil {
				o.fill(now, b)
				b.plan = newPlan(w, o.limits).ofPart()
				o.fill(now, b)
			}
		}
	}
	o.updateBuckets(now)
}

// SetView sets the members that are known. It returns the workspaces that this node begins to own, sorted.
func (o *Owner) SetView(now time.Duration, view View) []string {
	o.fillAll(now)
	o.view = view
	if share := view.share(); share <= o.share {
		o.share, o.nextShare = share, share
	} else if share != o.nextShare {
		if share > o.nextShare {
			o.shareAt = view.ChangedAt + takeOverDelay
		}
		o.nextShare = share
	}
	o.fillAll(now)
	return o.updateBuckets(now)
}

// Reset empties all buckets and holds them, after a pause of the process in which another node may have taken over.
func (o *Owner) Reset(now time.Duration) {
	o.resetAt, o.wasReset = now, true
	clear(o.received)
	for _, b := range o.buckets {
		b.level, b.filledAt, b.heldTo = 0, now, now+takeOverDelay
		b.granted, b.out, b.demand, b.holders = nil, 0, 0, map[Peer]*holder{}
	}
}

// updateBuckets adds an empty bucket for each part that this node owns now, and removes the others.
func (o *Owner) updateBuckets(now time.Duration) []string {
	owned := o.ownedParts()
	for _, name := range slices.Sorted(maps.Keys(o.buckets)) {
		if _, ok := owned[name]; !ok {
			o.release(now, name)
			delete(o.buckets, name)
		}
	}
	var gained []string
	for name, w := range owned {
		if o.buckets[name] == nil {
			o.addBucket(now, name, w)
			gained = append(gained, name)
		}
	}
	slices.Sort(gained)
	return gained
}

// ownedParts returns the parts that this node owns by its view, with their workspaces.
func (o *Owner) ownedParts() map[string]tables.Workspace {
	owned := map[string]tables.Workspace{}
	parts := o.limits.parts()
	for name, w := range o.workspaces {
		owners, ok := o.view.ownersOf(name, parts)
		for part := 0; ok && part < parts; part++ {
			if owners[part] == o.view.Self {
				owned[partName(name, part)] = w
			}
		}
	}
	return owned
}

func (o *Owner) addBucket(now time.Duration, name string, w tables.Workspace) {
	b := &bucket{plan: newPlan(w, o.limits).ofPart(), filledAt: now, holders: map[Peer]*holder{}}
	if len(o.view.Known) > 1 {
		b.heldTo = o.view.ChangedAt + takeOverDelay
	}
	if o.hasPromised(now, name) {
		b.heldTo = max(b.heldTo, o.promised[name]+takeOverDelay)
	}
	o.buckets[name] = b
	if r, ok := o.received[name]; ok && now-r.at < releaseRetention {
		o.takeOver(now, b, r.Release)
	}
	delete(o.received, name)
}

// release passes a bucket on to the new owner of its workspace.
func (o *Owner) release(now time.Duration, name string) {
	b := o.buckets[name]
	owner, ok := o.view.ownerOf(name)
	workspace, _ := splitPart(name)
	if _, exists := o.workspaces[workspace]; !exists || !ok || now < b.heldTo {
		return
	}
	o.fill(now, b)
	o.sendRelease(owner, Release{Workspace: name, Level: b.level, Out: b.out, Share: o.currentShare(now)})
}

func (o *Owner) sendRelease(to Peer, release Release) {
	for i := range o.releases {
		if o.releases[i].To == to && o.releases[i].Query.Round == 0 {
			o.releases[i].Releases = append(o.releases[i].Releases, release)
			return
		}
	}
	o.releases = append(o.releases, Outgoing{To: to, Releases: []Release{release}})
}

// TakeReleases returns the messages about passed buckets and the queries since the last call.
func (o *Owner) TakeReleases() []Outgoing {
	releases := o.releases
	o.releases = nil
	return releases
}

// HandleReleases takes the buckets that an earlier owner passes on, so that this node grants without delay. It ignores
// messages that may have waited during a pause of the process: their sender may be the owner again. A bucket that belongs to
// another node by this node's view is passed on: when many nodes join together, the sender may not know the last of them yet.
func (o *Owner) HandleReleases(now time.Duration, releases []Release) {
	if o.wasReset && now-o.resetAt < resumeMargin {
		return
	}
	for _, r := range releases {
		if o.hasPromised(now, r.Workspace) {
			continue
		}
		if b := o.buckets[r.Workspace]; b != nil {
			o.takeOver(now, b, r)
		} else if o.mayOwn(r.Workspace) && !o.passOn(r) {
			o.received[r.Workspace] = receivedRelease{r, now}
		}
	}
}

// mayOwn reports whether a workspace is in the tables, or may be in those that a node that has just started does not have yet.
func (o *Owner) mayOwn(name string) bool {
	workspace, part := splitPart(name)
	if part < 0 || part >= o.limits.parts() {
		return false
	}
	_, known := o.workspaces[workspace]
	return known || len(o.workspaces) == 0 && len(o.received) < maxHolders
}

// maxReleaseHops bounds how often a bucket is passed on. Views that differ could send it in circles.
const maxReleaseHops = 3

// passOn sends a bucket on to the node that owns it by this node's view, and reports whether there is such a node.
func (o *Owner) passOn(r Release) bool {
	owner, ok := o.view.ownerOf(r.Workspace)
	if !ok || owner == o.view.Self || r.Hops >= maxReleaseHops {
		return false
	}
	r.Hops++
	o.sendRelease(owner, r)
	return true
}

func (o *Owner) takeOver(now time.Duration, b *bucket, r Release) {
	if now >= b.heldTo {
		return
	}
	// The earlier owner could grant this share and has given it up, so that this node need not wait for it.
	o.share = max(o.share, min(r.Share, o.view.share()))
	b.heldTo, b.filledAt = now, now
	b.level = max(min(r.Level, b.plan.capacity), 0)
	b.out = max(min(r.Out, b.plan.capacity), 0)
	b.granted = []lot{{now + validity, b.out}}
	o.fill(now, b)
}

func (o *Owner) fillAll(now time.Duration) {
	for _, b := range o.buckets {
		o.fill(now, b)
	}
}

// fill adds the tokens of the time since the last call. Tokens that nodes may still use count against the capacity.
func (o *Owner) fill(now time.Duration, b *bucket) {
	b.expire(now)
	if from := max(b.filledAt, b.heldTo); now > from {
		b.level += (now - from).Seconds() * b.plan.rate * o.currentShare(now)
	}
	b.filledAt = now
	b.level = max(min(b.level, b.plan.capacity*o.share-b.out), 0)
}

// currentShare returns the share of the rate that may be granted.
func (o *Owner) currentShare(now time.Duration) float64 {
	if o.nextShare > o.share && now >= o.shareAt {
		o.share = o.nextShare
	}
	return o.share
}

// Handle answers a request of a node.
func (o *Owner) Handle(now time.Duration, from Peer, request Request) Grant {
	o.Stats.Requests++
	grant := Grant{Seq: request.Seq, Version: o.version, Tokens: make([]Tokens, 0, len(request.Asks))}
	for _, ask := range request.Asks {
		grant.Tokens = append(grant.Tokens, o.answer(now, from, request.Seq, ask))
	}
	return grant
}

func (o *Owner) answer(now time.Duration, from Peer, seq uint64, ask Ask) Tokens {
	b := o.buckets[ask.Workspace]
	if b == nil {
		return Tokens{Workspace: ask.Workspace, NotGranting: true, RetryAfter: notGrantingRetryAfter}
	}
	if now < b.heldTo {
		return Tokens{Workspace: ask.Workspace, NotGranting: true, RetryAfter: b.heldTo - now}
	}
	o.fill(now, b)
	h := b.holderOf(now, from)
	if h != nil && seq <= h.seq {
		return Tokens{Workspace: ask.Workspace, RetryAfter: notGrantingRetryAfter} // overtaken by a later request
	}
	needed := whole(ask.Needed)
	out := Tokens{Workspace: ask.Workspace, Quota: b.plan.quota, ValidFor: validity}
	if h != nil {
		o.Stats.Returned += b.note(h, seq, ask)
	}
	out.Now = min(needed, whole(b.level))
	b.level -= out.Now
	b.grantNow(now, out.Now)
	if h != nil && out.Now == needed {
		out.Ahead = min(whole(ask.Ahead), whole(b.level-o.reserve(b)))
		b.grantAhead(now, h, out.Ahead)
	}
	if out.Now < needed {
		out.RetryAfter = o.retryAfter(b)
		o.Stats.Short += needed - out.Now
	}
	o.Stats.Granted += out.Now + out.Ahead
	return out
}

// reserve returns the tokens that are kept for calls that wait.
func (o *Owner) reserve(b *bucket) float64 {
	reserve := b.plan.capacity * o.share * aheadReserve
	if b.plan.parts > 1 {
		reserve = max(reserve, minAheadReserve)
	}
	return reserve
}

// holderOf returns the entry of a node, or nil if there are too many.
func (b *bucket) holderOf(now time.Duration, from Peer) *holder {
	h := b.holders[from]
	if h == nil {
		if len(b.holders) >= maxHolders {
			return nil
		}
		h = &holder{}
		b.holders[from] = h
	}
	h.at = now
	return h
}

// note takes over what a node reports of its demand and its tokens, and returns how many it gave back.
func (b *bucket) note(h *holder, seq uint64, ask Ask) float64 {
	demand := int64(max(min(ask.Demand, tables.MaxWorkspaceRate), 0) * 1000)
	b.demand += demand - h.demand
	h.demand, h.seq = demand, seq
	held := max(min(ask.Held, h.tokens), 0)
	returned := max(min(ask.Returned, h.tokens-held), 0)
	b.out -= h.tokens - held
	b.level += returned
	h.tokens = held
	return returned
}

// grantNow takes tokens for calls that wait.
func (b *bucket) grantNow(now time.Duration, tokens float64) {
	if tokens == 0 {
		return
	}
	b.out += tokens
	expires := now - now%stampInterval + stampInterval + immediateValidity
	last := len(b.granted) - 1
	switch {
	case last >= 0 && b.granted[last].expires == expires:
		b.granted[last].tokens += tokens
	case last >= 0 && b.granted[last].expires > expires: // passed on by an earlier owner
		b.granted = slices.Insert(b.granted, last, lot{expires, tokens})
	default:
		b.granted = append(b.granted, lot{expires, tokens})
	}
}

// grantAhead takes tokens for expected calls of a node.
func (b *bucket) grantAhead(now time.Duration, h *holder, tokens float64) {
	if tokens == 0 {
		return
	}
	b.level -= tokens
	b.out += tokens
	h.tokens += tokens
	h.expires = now + validity
}

// expire forgets tokens that nodes can no longer use, and nodes that have not asked for long.
func (b *bucket) expire(now time.Duration) {
	for len(b.granted) > 0 && b.granted[0].expires <= now {
		b.out -= b.granted[0].tokens
		b.granted = b.granted[1:]
	}
	if now-b.prunedAt < stampInterval {
		return
	}
	b.prunedAt = now
	for peer, h := range b.holders {
		if h.expires <= now {
			b.out -= h.tokens
			h.tokens = 0
		}
		if now-h.at >= demandRetention {
			b.demand -= h.demand
			delete(b.holders, peer)
		}
	}
}

// retryAfter returns when the bucket has a token again. When the workspace exceeds its quota, the nodes wait longer, so
// that each of their requests gets several tokens.
func (o *Owner) retryAfter(b *bucket) time.Duration {
	rate := b.plan.rate * o.share
	if rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(max(1-b.level, 0) / rate * float64(time.Second))
	if float64(b.demand)/1000 > rate+overloadDeviations*math.Sqrt(rate) {
		wait = max(wait, overloadRetryAfter*time.Duration(b.plan.parts))
	}
	return min(max(wait, time.Millisecond), maxRetryAfter)
}

// Owned returns the number of parts of quotas that this node owns.
func (o *Owner) Owned() int { return len(o.buckets) }
