package quota

import "time"

// part is a node's view of the owner of a part of a workspace's quota.
type part struct {
	name     string
	owner    Peer          // valid if the account has owners
	link     *ownerLink    // nil before the first request to the owner
	shortTo  time.Duration // the owner has no token for this node before
	idleTo   time.Duration // the owner grants nothing, and is not asked before
	grantsAt time.Duration // when the owner expects to grant
}

func newAccount(name string, parts int, now time.Duration) *account {
	a := &account{name: name, demandAt: now, parts: make([]part, parts)}
	for i := range a.parts {
		a.parts[i].name = partName(name, i)
	}
	return a
}

// linkTo returns the link to an owner, and adds it if there is none.
func (n *Node) linkTo(owner Peer) *ownerLink {
	link := n.owners[owner]
	if link != nil {
		return link
	}
	link = &ownerLink{peer: owner}
	n.owners[owner] = link
	for _, a := range n.workspaces {
		for i := range a.parts {
			if p := &a.parts[i]; p.owner == owner {
				p.link = link
			}
		}
	}
	return link
}

// unservedTo returns until when the owner of a part is not expected to grant, because it is silent or has said so.
func (a *account) unservedTo(p *part) time.Duration {
	link := p.link
	switch {
	case link == nil || !link.silent:
		return p.idleTo
	case len(a.parts) == 1:
		return maxDuration // until it answers
	default:
		return max(p.idleTo, link.sentAt+silentRetry)
	}
}

const maxDuration time.Duration = 1<<63 - 1

// choose returns the index of the part to ask next, and from when on its owner is expected to grant: the current part, or the
// next one whose owner is expected to grant now, or else the one that is the first to grant.
func (a *account) choose(now time.Duration) (int, time.Duration) {
	best, bestAt := a.at, maxDuration
	for i := range a.parts {
		index := (a.at + i) % len(a.parts)
		p := &a.parts[index]
		at := max(a.unservedTo(p), p.shortTo)
		if at <= now {
			return index, at
		}
		if at < bestAt {
			best, bestAt = index, at
		}
	}
	return best, bestAt
}

// serviceTimes returns when the first owner is expected to have a token for this node, and whether one of the owners is not
// expected to grant now.
func (a *account) serviceTimes(now time.Duration) (first time.Duration, unserved bool) {
	if !a.hasOwner {
		return maxDuration, true
	}
	first = maxDuration
	for i := range a.parts {
		p := &a.parts[i]
		at := a.unservedTo(p)
		if at > now {
			unserved = true
			continue
		}
		first = min(first, p.shortTo)
	}
	return first, unserved
}

// decideWithoutOwner decides about a call if no owner is expected to have a token for it in time: the allowance is used if
// one of the owners does not grant at all.
func (n *Node) decideWithoutOwner(now time.Duration, a *account, w waiting) (Decision, bool) {
	first, unserved := a.serviceTimes(now)
	switch {
	case first <= now, first != maxDuration && first <= w.since+maxWait:
		return Decision{}, false
	case unserved:
		return n.useAllowance(now, a, w), true
	default:
		return n.refuse(now, a, w, first-now), true
	}
}

// decideWaiting decides about a call that waits, as far as it is known.
func (n *Node) decideWaiting(now time.Duration, a *account, w waiting) (Decision, bool) {
	first, unserved := a.serviceTimes(now)
	switch {
	case now < w.since+maxWait && a.asked:
		return Decision{}, false
	case now < w.since+maxWait:
		return n.decideWithoutOwner(now, a, w)
	case a.asked || unserved: // an owner has not answered in time
		return n.useAllowance(now, a, w), true
	default:
		return n.refuse(now, a, w, max(first-now, requestInterval)), true
	}
}

// refuse ends a call for which the owners have no token.
func (n *Node) refuse(now time.Duration, a *account, w waiting, retryAfter time.Duration) Decision {
	n.noteRefusal(now, a, retryAfter, false)
	return Decision{Call: w.call, Result: Refused, RetryAfter: retryAfter, Wait: now - w.since}
}

// grantsAt returns when the first owner that does not grant expects to, or 0 if none has said it.
func (a *account) grantsAt(now time.Duration) time.Duration {
	first := time.Duration(0)
	for i := range a.parts {
		if at := a.parts[i].grantsAt; at > now && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

// answerTimeout returns how long the node waits for a grant before it counts the owner as silent.
func (n *Node) answerTimeout() time.Duration {
	if n.limits.parts() > 1 {
		return failoverTimeout
	}
	return answerTimeout
}
