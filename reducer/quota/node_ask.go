package quota

import (
	"math"
	"slices"
	"time"
)

// ask marks a workspace as one to ask for, and sends the request to its owner if it is due.
func (n *Node) ask(now time.Duration, a *account) {
	a.wantsNow = n.wants(now, a)
	if !a.wantsNow {
		return
	}
	if !a.hasOwner {
		return
	}
	if index, at := n.requestTime(a, now); at <= now {
		n.send(now, a.parts[index].owner)
	}
}

// wants reports whether a workspace needs a request now: calls wait, or fewer than a third of the tokens ahead are left
// that need no renewal.
func (n *Node) wants(now time.Duration, a *account) bool {
	if a.asked {
		return false
	}
	if len(a.waits) > 0 {
		return true
	}
	if now < a.aheadTo || now >= a.aheadUntil {
		return false
	}
	fresh := a.fresh(now)
	// The demand falls until the next call, so that the exponential function is needed only below that part of the greatest target.
	most := math.Ceil(a.demand * aheadTime.Seconds())
	return fresh < (most+1)*renewalLevel && fresh < (a.target(now)+1)*renewalLevel
}

// noteAhead notes how many tokens ahead an owner has granted. After fewer than the node asked for it asks another owner later, as
// long as no call waits.
func (a *account) noteAhead(now time.Duration, granted float64) {
	if granted >= a.askedAhead {
		a.aheadTo, a.aheadDelay = 0, 0
		return
	}
	if granted > 0 || a.aheadDelay == 0 {
		a.aheadDelay = minAheadDelay
	} else {
		a.aheadDelay = min(2*a.aheadDelay, maxAheadDelay)
	}
	a.aheadTo = now + a.aheadDelay
	a.at = (a.at + 1) % len(a.parts)
}

// fresh returns the tokens that need no renewal yet.
func (a *account) fresh(now time.Duration) float64 {
	sum := 0.0
	for _, t := range a.tokens {
		if t.renewAt > now {
			sum += t.tokens
		}
	}
	return sum
}

// requestTime returns the part to ask next, and when the next request to its owner may be sent.
func (n *Node) requestTime(a *account, now time.Duration) (int, time.Duration) {
	index, _ := a.choose(now)
	p := &a.parts[index]
	at := max(p.idleTo, p.shortTo)
	link := p.link
	switch {
	case link == nil:
		return index, max(at, now)
	case link.open && !link.silent:
		return index, max(at, link.sentAt+n.answerTimeout())
	case link.silent:
		return index, max(at, link.sentAt+silentInterval)
	default:
		return index, max(at, link.sentAt+requestInterval)
	}
}

// send sends one request for all workspaces of an owner that need one.
func (n *Node) send(now time.Duration, owner Peer) {
	link := n.linkTo(owner)
	n.close(link)
	n.seq++
	request := Request{Seq: n.seq}
	for _, a := range n.active {
		if !a.hasOwner || !n.wants(now, a) {
			continue
		}
		index, _ := a.choose(now)
		if p := &a.parts[index]; p.owner != owner || now < p.idleTo || now < p.shortTo {
			continue
		}
		request.Asks = append(request.Asks, a.newAsk(now, index))
		a.at, a.asked, a.wantsNow = index, true, false
		link.asks = append(link.asks, a)
	}
	link.seq, link.sentAt, link.open, link.answered = n.seq, now, true, false
	n.open = append(n.open, link)
	n.Stats.Requests++
	n.outgoing = append(n.outgoing, Outgoing{To: owner, Request: request})
}

// newAsk asks for the tokens of one part, reports those that are held, and gives back those that expire soon.
func (a *account) newAsk(now time.Duration, index int) Ask {
	p := &a.parts[index]
	ask := Ask{Workspace: p.name, Needed: float64(len(a.waits)), Demand: a.demandNow(now)}
	a.expire(now)
	a.tokens = slices.DeleteFunc(a.tokens, func(t heldTokens) bool {
		switch {
		case t.from != p.owner || t.part != index:
			return false
		case t.renewAt <= now:
			ask.Returned += t.tokens
			return true
		default:
			ask.Held += t.tokens
			return false
		}
	})
	ask.Ahead = max(a.target(now)-a.fresh(now), 0)
	a.askedAhead = ask.Ahead
	return ask
}

// close ends the wait for the answer to a request.
func (n *Node) close(link *ownerLink) {
	link.open = false
	n.open = slices.DeleteFunc(n.open, func(other *ownerLink) bool { return other == link })
	for _, a := range link.asks {
		a.asked = false
	}
	link.asks = link.asks[:0]
}

// Advance decides about calls whose wait has ended, notices owners that are silent, and sends the requests that are due.
func (n *Node) Advance(now time.Duration) {
	for _, link := range slices.Clone(n.open) {
		if now >= link.sentAt+n.answerTimeout() {
			link.silent = true
			n.Stats.Silent++
			n.close(link)
		}
	}
	n.active = slices.DeleteFunc(n.active, func(a *account) bool {
		a.expire(now)
		n.serve(now, a)
		a.active = len(a.waits) > 0 || len(a.tokens) > 0 || a.asked || a.target(now) > 0
		return !a.active
	})
}

// NextWake returns when Advance has something to do, or false.
func (n *Node) NextWake(now time.Duration) (time.Duration, bool) {
	next, ok := time.Duration(0), false
	note := func(at time.Duration) {
		if at = max(at, now); !ok || at < next {
			next, ok = at, true
		}
	}
	for _, a := range n.active {
		if len(a.waits) > 0 {
			note(a.waits[0].since + maxWait)
		}
		if a.wantsNow && !a.asked && a.hasOwner {
			_, at := n.requestTime(a, now)
			note(at)
		}
		if i := slices.IndexFunc(a.tokens, func(t heldTokens) bool { return t.renewAt > now }); i >= 0 && !a.asked {
			note(max(a.tokens[i].renewAt, a.aheadTo))
		}
	}
	for _, link := range n.open {
		note(link.sentAt + n.answerTimeout())
	}
	return next, ok
}
