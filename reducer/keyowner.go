package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// ageMargin covers the time in which news of a member spreads, when the time since a change is
	// compared with a retention.
	ageMargin = 30 * time.Second
	// clockSkew is the largest difference between the clocks of two instances that is allowed for.
	clockSkew = 5 * time.Second
	// firstMargin is how long the first request with a key may have been on its way, so that a repeat of
	// it has run elsewhere meanwhile. It covers four retransmissions of TCP; a pause of this process is
	// noticed.
	firstMargin = 5 * time.Second
	// resumeMargin is how long after a pause of this process requests and messages may have waited through it.
	resumeMargin = time.Second
)

// ownerState remembers what makes it uncertain which upstream has the record of a key.
type ownerState struct {
	views     map[NodeID]ownerView
	lost      map[NodeID]lostUpstream
	resumedAt time.Duration // end of the last pause of this process
	paused    bool
}

// ownerView is what this node saw of an upstream.
type ownerView struct {
	servingSince time.Duration // while it serves
	returnedAt   time.Duration // when it, or the news of its end, came back into sight
	returned     bool
}

// lostUpstream is an incarnation of an upstream that ended, or seems to have ended, with its records.
type lostUpstream struct {
	service     string
	zone        string
	incarnation Incarnation
	since       time.Duration
}

func (o *ownerState) init() {
	o.views = map[NodeID]ownerView{}
	o.lost = map[NodeID]lostUpstream{}
}

// noteMemberChange keeps track of changes that move keys to another owner. It is called with the entry
// held before, zero when there was none, the one that replaces it, and the time of the change. A node that
// has just joined is told of losses that are older than its process.
func (s *State) noteMemberChange(before, after Member, at time.Duration) {
	o := &s.owners
	view := o.views[after.Node]
	if !before.serves(after.Upstream.Service) || before.Incarnation != after.Incarnation {
		view.servingSince = s.now
	}
	if s.comesIntoSight(before, after) {
		view.returned, view.returnedAt = true, s.now
	}
	o.views[after.Node] = view
	switch {
	case before.Upstream.Service != "" && after.Incarnation > before.Incarnation && before.isInOverlay():
		s.noteLost(before, s.now)
	case after.gone() && !after.handedOver():
		s.noteLost(after, at)
	case o.lost[after.Node].incarnation == after.Incarnation:
		delete(o.lost, after.Node)
	}
}

// noteZoneReturned notes that a zone is in sight again. Its upstreams that were held for dead may have served
// beyond the partition until now.
func (s *State) noteZoneReturned(zone string) {
	o := &s.owners
	for node, lost := range o.lost {
		if lost.zone != zone {
			continue
		}
		lost.since = s.now
		o.lost[node] = lost
		view := o.views[node]
		view.returned, view.returnedAt = true, s.now
		o.views[node] = view
	}
}

// comesIntoSight reports whether a change shows a member, or its end, that may have served out of sight: one
// that was gone or beyond a partition, and one that is new here although its process is not.
func (s *State) comesIntoSight(before, after Member) bool {
	switch {
	case before.State == MemberLost:
		return after.State != MemberLost
	case before.Incarnation != after.Incarnation:
		return s.ageOf(after) >= clockSkew
	default:
		return before.gone() && !after.gone()
	}
}

// gone reports whether nothing can be asked of the member.
func (m Member) gone() bool {
	return m.State == MemberDead || m.State == MemberLeft || m.State == MemberLost
}

// handedOver reports whether the member left in good order and others have its records.
func (m Member) handedOver() bool { return m.State == MemberLeft && m.Handed }

func (s *State) noteLost(m Member, since time.Duration) {
	held := s.owners.lost[m.Node]
	if m.handedOver() || m.Upstream.Service == "" {
		return
	}
	if held.incarnation == m.Incarnation {
		since = max(since, held.since) // it may have served beyond a partition after it was lost from sight
	}
	s.owners.lost[m.Node] = lostUpstream{
		service: m.Upstream.Service, zone: m.Zone, incarnation: m.Incarnation, since: since,
	}
}

// keyHorizon returns how far back a copy of the call may have run. The first request with its key has no
// earlier copy, and a repeat may have overtaken it for a short time only.
func (s *State) keyHorizon(call *ingressCall) time.Duration {
	if call.firstAttempt {
		return firstMargin
	}
	return call.route.KeyRetention + ageMargin
}

// claimsFirst reports whether a call counts as the first with its key. A request that waited while this
// process was paused may have been repeated elsewhere.
func (s *State) claimsFirst(in CallArrived) bool {
	return in.FirstAttempt && !s.resumedLately()
}

// resumedLately reports whether what arrives may have waited while this process was paused.
func (s *State) resumedLately() bool {
	return s.owners.paused && s.now-s.owners.resumedAt < resumeMargin
}

// notePause remembers the end of a pause of this process.
func (s *State) notePause() {
	s.owners.paused = true
	s.owners.resumedAt = s.now
}

// ownerSettled reports whether an upstream has served, as far as this node saw, since the horizon.
func (s *State) ownerSettled(node NodeID, horizon time.Duration) bool {
	return s.now-s.owners.views[node].servingSince >= horizon
}

// wasOutOfSight reports whether an upstream came back into sight since the horizon. On the other side of the
// partition it may have owned any key.
func (s *State) wasOutOfSight(node NodeID, horizon time.Duration) bool {
	view := s.owners.views[node]
	return view.returned && s.now-view.returnedAt < horizon
}

// recordsLost reports whether an upstream that is gone may have run the call: one that ranks before the
// owner, any one while the owner is new, one that ended after it was out of sight, and for a repeat one that
// may be serving beyond a partition.
func (s *State) recordsLost(call *ingressCall, service string, owner Member) bool {
	horizon := s.keyHorizon(call)
	if s.isolated() || !call.firstAttempt && (s.knowsNobody() || s.mayHaveMissedLoss(service, horizon) || s.mayHaveMissedPartition(service)) {
		return true
	}
	weight := keyWeight(owner.Node, call.route.Name, call.key)
	settled := s.ownerSettled(owner.Node, horizon)
	for _, node := range sortedKeys(s.owners.lost) {
		lost := s.owners.lost[node]
		age := s.now - lost.since
		hidden := !call.firstAttempt && !s.zoneInSight(lost.zone)
		owned := !settled || s.wasOutOfSight(node, horizon) || keyWeight(node, call.route.Name, call.key) >= weight
		if lost.service == service && (hidden || age < horizon && owned) {
			return true
		}
		if age >= tables.MaxKeyRetention+ageMargin && s.zoneInSight(lost.zone) {
			delete(s.owners.lost, node)
		}
	}
	return false
}

// isolated reports whether no other node is in sight although the own zone has some. The nodes of the own
// zone may then be alive, hold this one for dead and run its keys.
func (s *State) isolated() bool {
	neighbours := false
	for _, m := range s.members.sorted() {
		if m.Node == s.cfg.Self || m.State == MemberLeft {
			continue
		}
		if !m.gone() {
			return false
		}
		neighbours = neighbours || m.Zone == s.cfg.Zone
	}
	return neighbours
}

// mayHaveMissedLoss reports whether an upstream may have been lost before this node started: nobody is
// left who knows the time before, or an upstream, such as this node itself, is new and its earlier life
// cannot be ruled out. Peers of a node that waited long for its first version had none either, so that
// none of them knows what served beyond a partition.
func (s *State) mayHaveMissedLoss(service string, horizon time.Duration) bool {
	since := s.config.firstActiveAt
	if s.now-since >= horizon {
		return false
	}
	if since > maxStartupTime {
		return true
	}
	witness := false
	for _, m := range s.members.sorted() {
		age := s.ageOf(m)
		// The backend server beside this node may not have registered yet, and its service not be known.
		serves := m.Upstream.Service == service || m.Node == s.cfg.Self && m.Upstream.Service == ""
		if serves && age < horizon && age > s.now-clockSkew {
			return true
		}
		witness = witness || age >= horizon && m.State == MemberAlive
	}
	return !witness
}

// knowsNobody reports whether this node has seeds and has never heard of another node: the others may be serving
// beyond a partition that is older than this process.
func (s *State) knowsNobody() bool {
	return s.expectsPeers() && len(s.members.sorted()) == 1
}

// mayHaveMissedPartition reports whether an upstream that counts as alive may have been serving beyond a
// partition: there is no news of its zone, as after a pause of this process.
func (s *State) mayHaveMissedPartition(service string) bool {
	return slices.ContainsFunc(s.members.ofService(service), func(m Member) bool {
		return !m.gone() && m.Zone != s.cfg.Zone && !s.hasRecentContact(m.Zone)
	})
}

// ageOf returns how long a member's process has been running, as its incarnation is the start by its
// instance's clock.
func (s *State) ageOf(m Member) time.Duration {
	wallClock := int64(s.cfg.Incarnation) + int64(s.now)
	return time.Duration(wallClock - int64(m.Incarnation))
}

// zoneInSight reports whether a node of the zone is alive as far as this node knows.
func (s *State) zoneInSight(zone string) bool {
	for _, m := range s.members.sorted() {
		if m.Zone == zone && (m.State == MemberAlive || m.State == MemberLeaving) {
			return true
		}
	}
	return false
}

// keyRanking returns the upstreams that serve, in the order in which they own a key by rendezvous
// hashing. The next call of it uses the list again.
func (s *State) keyRanking(service, route, key string) []Member {
	choice := &s.members.choice
	choice.weights, choice.ranking = choice.weights[:0], choice.ranking[:0]
	for _, u := range s.servingUpstreams(service) {
		choice.weights = append(choice.weights, weightedUpstream{u, keyWeight(u.Node, route, key)})
	}
	slices.SortStableFunc(choice.weights, func(a, b weightedUpstream) int { return cmp.Compare(b.weight, a.weight) })
	for _, w := range choice.weights {
		choice.ranking = append(choice.ranking, w.Member)
	}
	return choice.ranking
}

// weightedUpstream keeps the weight of an upstream, so that sorting does not hash at each comparison.
type weightedUpstream struct {
	*upstream
	weight uint64
}

// ownsKey reports whether this node owns the key of a call as far as it knows. It keeps a node with an
// old member table from having a call run here after the key has moved.
func (s *State) ownsKey(call *targetCall) bool {
	ranking := s.keyRanking(s.backend.service, call.route, call.key)
	return len(ranking) > 0 && ranking[0].Node == s.cfg.Self
}

// keyHolders returns the nodes other than the owner that may have the record of a call's key, by node: one
// that ranks before the owner and does not serve now, one that was out of sight and owned keys there, and
// while the owner is new those that owned its keys before.
func (s *State) keyHolders(call *ingressCall, service string, ranking []Member) []Member {
	horizon := s.keyHorizon(call)
	owner := ranking[0].Node
	weight := keyWeight(owner, call.route.Name, call.key)
	former := s.formerOwners(ranking, horizon)
	var holders []Member
	for _, m := range s.members.ofService(service) {
		if m.Node == owner || m.gone() {
			continue
		}
		returned := s.wasOutOfSight(m.Node, horizon)
		serves := m.serves(service)
		before := !serves && keyWeight(m.Node, call.route.Name, call.key) > weight // no one that serves does
		idle := !serves && len(former) > 0
		if before || returned || idle || former[m.Node] {
			holders = append(holders, m)
		}
	}
	return holders
}

// formerOwners returns the upstreams that may have owned a key before its owner did: none when the owner
// has served since the horizon, else those that follow it up to the first that has.
func (s *State) formerOwners(ranking []Member, horizon time.Duration) map[NodeID]bool {
	if s.ownerSettled(ranking[0].Node, horizon) {
		return nil
	}
	former := map[NodeID]bool{}
	for i, m := range ranking {
		former[m.Node] = i > 0
		if s.ownerSettled(m.Node, horizon) {
			break
		}
	}
	delete(former, ranking[0].Node)
	return former
}

// keyWeight is the weight of a node for a key in rendezvous hashing.
func keyWeight(node NodeID, route, key string) uint64 {
	return hashString(string(node), "\x00", route, "\x00", key)
}
