package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// recoveryPeriod is how long after its start an owner may end its hold early. Only a restart of all nodes makes most of them
	// hold at once; later losses concern one part of three.
	recoveryPeriod = 10 * time.Second
	// queryInterval is the interval of the queries to a node that has not agreed.
	queryInterval = 250 * time.Millisecond
	// queryTimeout is how long the agreement of a node counts. It is shorter than the hold that a node keeps after it has
	// agreed, so that no other owner can begin before the round ends.
	queryTimeout = time.Second
	// maxQueryRounds bounds the messages if a node never agrees, such as one of an earlier version.
	maxQueryRounds = 6
)

// Query asks a node to give up all tokens of some parts, and not to own them for takeOverDelay: the sender owns them and begins
// as soon as all nodes have agreed.
type Query struct {
	Round uint64
	Parts []string
}

// Answer answers a Query. Free is set if the node has agreed.
type Answer struct {
	Round uint64
	Free  bool
}

// recovery is a round of queries.
type recovery struct {
	round   uint64
	parts   []string // sorted
	beganAt time.Duration
	sentAt  map[Peer]time.Duration
	free    map[Peer]bool
}

// Advance begins and continues the queries that end the hold of this owner early.
func (o *Owner) Advance(now time.Duration) {
	if !o.mayRecover(now) {
		o.recovery = nil
		return
	}
	held := o.heldParts(now)
	if len(held) == 0 {
		o.recovery = nil
		return
	}
	if r := o.recovery; r == nil || !slices.Equal(r.parts, held) || now-r.beganAt >= queryTimeout {
		if o.rounds >= maxQueryRounds {
			o.recovery = nil
			return
		}
		o.rounds++
		o.recovery = &recovery{round: o.rounds, parts: held, beganAt: now, sentAt: map[Peer]time.Duration{}, free: map[Peer]bool{}}
	}
	o.continueRecovery(now)
}

// mayRecover reports whether all nodes that there may be are heard, so that their agreement suffices. Owners that have granted
// a share of a rate, as on one side of a partition, keep to the hold.
func (o *Owner) mayRecover(now time.Duration) bool {
	return now < recoveryPeriod && !o.wasReset && o.view.Expected > 0 && len(o.view.Live) == o.view.Alive &&
		o.view.share() == 1 && (o.share == 0 || o.share == 1)
}

// heldParts returns the names of the parts that get no tokens yet: their buckets are held, or the share of the rate is 0 until a
// larger one takes effect.
func (o *Owner) heldParts(now time.Duration) []string {
	var held []string
	noShare := o.currentShare(now) == 0
	for _, name := range slices.Sorted(maps.Keys(o.buckets)) {
		if noShare || now < o.buckets[name].heldTo {
			held = append(held, name)
		}
	}
	return held
}

// continueRecovery sends the queries that are due, and ends the hold when all nodes have agreed.
func (o *Owner) continueRecovery(now time.Duration) {
	r := o.recovery
	agreed := true
	for _, peer := range o.view.Live {
		if r.free[peer] {
			continue
		}
		agreed = false
		if at, sent := r.sentAt[peer]; !sent || now-at >= queryInterval {
			r.sentAt[peer] = now
			o.releases = append(o.releases, Outgoing{To: peer, Query: Query{Round: r.round, Parts: r.parts}})
		}
	}
	if !agreed {
		return
	}
	o.share, o.nextShare = 1, 1
	for _, name := range r.parts {
		b := o.buckets[name]
		b.heldTo, b.filledAt, b.level = now, now, 0
	}
	o.recovery = nil
	o.Stats.Recovered += float64(len(r.parts))
}

// HandleAnswer takes the answer of a node to a query.
func (o *Owner) HandleAnswer(now time.Duration, from Peer, answer Answer) {
	if r := o.recovery; r != nil && r.round == answer.Round && answer.Free {
		r.free[from] = true
		o.Advance(now)
	}
}

// HandleQuery reports whether this node agrees that another one begins to own parts: it owns none of them. If it does, it takes
// over no bucket of them, and holds them if it becomes their owner.
func (o *Owner) HandleQuery(now time.Duration, query Query) bool {
	for _, name := range query.Parts {
		if o.buckets[name] != nil || !o.mayOwn(name) {
			return false
		}
	}
	maps.DeleteFunc(o.promised, func(_ string, at time.Duration) bool { return now-at >= takeOverDelay })
	if len(o.promised)+len(query.Parts) > maxPromises {
		return false
	}
	for _, name := range query.Parts {
		o.promised[name] = now
		delete(o.received, name)
	}
	return true
}

// maxPromises bounds the parts that a node has agreed not to own. It is the greatest number of workspaces of a version.
const maxPromises = 30_000

// hasPromised reports whether this node has agreed recently that another one owns a part.
func (o *Owner) hasPromised(now time.Duration, name string) bool {
	at, ok := o.promised[name]
	return ok && now-at < takeOverDelay
}

// NextWake returns when Advance has something to do, or false.
func (o *Owner) NextWake() (time.Duration, bool) {
	r := o.recovery
	if r == nil {
		return 0, false
	}
	next := r.beganAt + queryTimeout
	for _, peer := range o.view.Live { // others may have been asked, and get no further query
		if !r.free[peer] {
			next = min(next, r.sentAt[peer]+queryInterval)
		}
	}
	return next, true
}

// Forfeit gives up all tokens of parts that another owner granted, and those of grants that are under way: the sender of a query
// begins to own the parts.
func (n *Node) Forfeit(owner Peer, parts []string) {
	for _, name := range parts {
		workspace, index := splitPart(name)
		a := n.workspaces[workspace]
		if a == nil || index < 0 || index >= len(a.parts) {
			continue
		}
		a.tokens = slices.DeleteFunc(a.tokens, func(t heldTokens) bool { return t.part == index && t.from != owner })
		if p := &a.parts[index]; p.owner != owner && p.link != nil {
			p.link.answered = true // a grant that comes later is ignored
			n.close(p.link)
		}
	}
}
