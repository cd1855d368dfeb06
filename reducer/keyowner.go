package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// disseminationMargin is added to a retention that is compared with the time since a member changed. It covers the
	// dissemination of the change.
	disseminationMargin = 30 * time.Second
	// clockSkew is the largest tolerated difference between the clocks of two instances.
	clockSkew = 5 * time.Second
	// firstAttemptMargin is how long the first request with a key may have been in transit while a repeat of it ran
	// elsewhere. It covers four retransmissions of TCP; resumeMargin covers a pause of this process.
	firstAttemptMargin = 5 * time.Second
	// resumeMargin is how long after a pause of this process an arriving request or message may have waited through the
	// pause.
	resumeMargin = time.Second
)

// ownerState holds the changes of members because of which an upstream other than the owner of a key may have its
// record.
type ownerState struct {
	views     map[NodeID]ownerView
	lost      map[NodeID]lostUpstream
	resumedAt time.Duration // end of the last pause of this process
	hasPaused bool          // resumedAt is set
}

// ownerView is what this node has observed of an upstream.
type ownerView struct {
	servingSince time.Duration // valid while it serves
	returnedAt   time.Duration // when this node last learned of it, or of its end, after it was unreachable
	returned     bool          // returnedAt is set
}

// lostUpstream is an incarnation of an upstream that has ended or is unreachable, so that it cannot be asked for
// records.
type lostUpstream struct {
	service     string
	zone        string
	incarnation Incarnation
	since       time.Duration // the latest time at which it may have served
}

func (o *ownerState) init() {
	o.views = map[NodeID]ownerView{}
	o.lost = map[NodeID]lostUpstream{}
}

// noteMemberChange records a change that may move keys to another owner. before is zero when there was no entry. at is
// the time of the change; for a loss that a node learns of when it joins, it is before the start of the process.
func (s *State) noteMemberChange(before, after Member, at time.Duration) {
	o := &s.owners
	view := o.views[after.Node]
	if !before.serves(after.Upstream.Service) || before.Incarnation != after.Incarnation {
		view.servingSince = s.now
	}
	if s.isReappearance(before, after) {
		view.returned, view.returnedAt = true, s.now
	}
	o.views[after.Node] = view
	switch {
	case before.Upstream.Service != "" && after.Incarnation > before.Incarnation && before.isInOverlay():
		s.noteLost(before, s.now)
	case after.isGone() && !after.hasHandedOver():
		s.noteLost(after, at)
	case o.lost[after.Node].incarnation == after.Incarnation:
		delete(o.lost, after.Node)
	}
}

// noteZoneReturned records that a zone is reachable again. Upstreams there that were considered dead may have served on
// the other side of the partition until now.
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

// isReappearance reports whether a change shows that a member may have served unobserved: it was gone or behind a
// partition, or its incarnation is new here but has been running for at least clockSkew.
func (s *State) isReappearance(before, after Member) bool {
	switch {
	case before.State == MemberLost:
		return after.State != MemberLost
	case before.Incarnation != after.Incarnation:
		return s.ageOf(after) >= clockSkew
	default:
		return before.isGone() && !after.isGone()
	}
}

// isGone reports whether the member cannot be asked for records: it has ended or is behind a partition.
func (m Member) isGone() bool {
	return m.State == MemberDead || m.State == MemberLeft || m.State == MemberLost
}

// hasHandedOver reports whether the member has left and other nodes have accepted all its records.
func (m Member) hasHandedOver() bool { return m.State == MemberLeft && m.RecordsHandedOver }

// noteLost records that an incarnation of an upstream is lost with its records.
func (s *State) noteLost(m Member, since time.Duration) {
	held := s.owners.lost[m.Node]
	if m.hasHandedOver() || m.Upstream.Service == "" {
		return
	}
	if held.incarnation == m.Incarnation {
		since = max(since, held.since) // it may have served behind a partition since it was lost
	}
	s.owners.lost[m.Node] = lostUpstream{
		service: m.Upstream.Service, zone: m.Zone, incarnation: m.Incarnation, since: since,
	}
}

// keyHorizon returns the longest time that may have passed since a copy of the call ran. For the first request with a
// key only a repeat can have run, while the first request was in transit.
func (s *State) keyHorizon(call *ingressCall) time.Duration {
	if call.firstAttempt {
		return firstAttemptMargin
	}
	return call.route.KeyRetention + disseminationMargin
}

// isFirstAttempt reports whether a call counts as the first request with its key. The caller's statement does not count
// shortly after a pause of this process: the request may have been repeated elsewhere meanwhile.
func (s *State) isFirstAttempt(in CallArrived) bool {
	return in.FirstAttempt && !s.hasResumedRecently()
}

// hasResumedRecently reports whether an arriving request or message may have waited while this process was paused.
func (s *State) hasResumedRecently() bool {
	return s.owners.hasPaused && s.now-s.owners.resumedAt < resumeMargin
}

func (s *State) notePause() {
	s.owners.hasPaused = true
	s.owners.resumedAt = s.now
}

// hasServedFor reports whether this node has seen an upstream serve for at least the horizon.
func (s *State) hasServedFor(node NodeID, horizon time.Duration) bool {
	return s.now-s.owners.views[node].servingSince >= horizon
}

// hasReturnedWithin reports whether an upstream became reachable again within the horizon. On the other side of the
// partition it may have owned any key.
func (s *State) hasReturnedWithin(node NodeID, horizon time.Duration) bool {
	view := s.owners.views[node]
	return view.returned && s.now-view.returnedAt < horizon
}

// mayHaveLostRecord reports whether an upstream that is gone, and cannot be asked for the record, may have run the
// call: one that ranks before the owner, any one while the owner has served for less than the horizon, one that was
// unreachable before it ended, and, unless the call is the first request, one that may be serving on the other side of
// a partition.
func (s *State) mayHaveLostRecord(call *ingressCall, service string, owner Member) bool {
	horizon := s.keyHorizon(call)
	if s.isIsolated() || !call.firstAttempt && (s.knowsNoPeers() || s.mayHaveMissedLoss(service, horizon) || s.mayHaveMissedPartition(service)) {
		return true
	}
	weight := keyWeight(owner.Node, call.route.Name, call.key)
	longServing := s.hasServedFor(owner.Node, horizon)
	for _, node := range sortedKeys(s.owners.lost) {
		lost := s.owners.lost[node]
		age := s.now - lost.since
		behindPartition := !call.firstAttempt && !s.isZoneReachable(lost.zone)
		mayHaveOwned := !longServing || s.hasMovedWithin(service, horizon) || s.hasReturnedWithin(node, horizon) || keyWeight(node, call.route.Name, call.key) >= weight
		if lost.service == service && (behindPartition || age < horizon && mayHaveOwned) {
			return true
		}
		if age >= tables.MaxKeyRetention+disseminationMargin && s.isZoneReachable(lost.zone) {
			delete(s.owners.lost, node)
		}
	}
	return false
}

// isIsolated reports whether this node knows other nodes of its zone but can reach no node at all. Those of its zone
// may be alive, consider this node dead and run calls with its keys.
func (s *State) isIsolated() bool {
	hasZonePeers := false
	for _, m := range s.members.sorted() {
		if m.Node == s.cfg.Self || m.State == MemberLeft {
			continue
		}
		if !m.isGone() {
			return false
		}
		hasZonePeers = hasZonePeers || m.Zone == s.cfg.Zone
	}
	return hasZonePeers
}

// mayHaveMissedLoss reports whether an upstream may have been lost before this node started, without this node having
// learned of it: no node is alive that has been running for the horizon, or an upstream, such as this node itself, has
// started within the horizon and may have had an earlier incarnation. It is also possible if this node waited long for
// its first version: its peers had none either, so none of them knows which upstreams served on the other side of a
// partition.
func (s *State) mayHaveMissedLoss(service string, horizon time.Duration) bool {
	since := s.config.firstActiveAt
	if s.now-since >= horizon {
		return false
	}
	if since > maxStartupTime {
		return true
	}
	hasLongRunning := false
	for _, m := range s.members.sorted() {
		age := s.ageOf(m)
		// The service of the backend server beside this node is not known until it has registered.
		serves := m.Upstream.Service == service || m.Node == s.cfg.Self && m.Upstream.Service == ""
		if serves && age < horizon && age > s.now-clockSkew {
			return true
		}
		hasLongRunning = hasLongRunning || age >= horizon && m.State == MemberAlive
	}
	return !hasLongRunning
}

// knowsNoPeers reports whether this node has seeds but knows no other node. The others may be serving on the other side
// of a partition that began before this process started.
func (s *State) knowsNoPeers() bool {
	return s.expectsPeers() && len(s.members.sorted()) == 1
}

// mayHaveMissedPartition reports whether an upstream that is considered alive may be serving on the other side of a
// partition: no message of its zone has arrived recently, for example because this process was paused.
func (s *State) mayHaveMissedPartition(service string) bool {
	return slices.ContainsFunc(s.members.ofService(service), func(m Member) bool {
		return !m.isGone() && m.Zone != s.cfg.Zone && !s.hasRecentContact(m.Zone)
	})
}

// ageOf returns how long a member's process has been running: its incarnation is its start time by the clock of its
// instance.
func (s *State) ageOf(m Member) time.Duration {
	wallClock := int64(s.cfg.Incarnation) + int64(s.now)
	return time.Duration(wallClock - int64(m.Incarnation))
}

// isZoneReachable reports whether a node of the zone is alive or leaving, as far as this node knows.
func (s *State) isZoneReachable(zone string) bool {
	for _, m := range s.members.sorted() {
		if m.Zone == zone && (m.State == MemberAlive || m.State == MemberLeaving) {
			return true
		}
	}
	return false
}

// keyRanking returns the serving upstreams in the order in which they own a key by rendezvous hashing; the first is the
// owner. The next call overwrites the slice.
func (s *State) keyRanking(service, route, key string) []Member {
	choice := &s.members.choice
	choice.weights, choice.ranking = choice.weights[:0], choice.ranking[:0]
	for _, u := range s.upstreamsOfKey(service, hashString(route, "\x00", key)) {
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
	*servingUpstream
	weight uint64
}

// ownsKey reports whether this node owns the key of a call, as far as it knows. A peer with an outdated member table
// may send the call here after the key has moved.
func (s *State) ownsKey(call *targetCall) bool {
	ranking := s.keyRanking(s.backend.service, call.route, call.key)
	if len(ranking) > 0 && ranking[0].Upstream.Version != s.backend.version {
		return s.ranksFirstInVersion(call)
	}
	return len(ranking) > 0 && ranking[0].Node == s.cfg.Self
}

// keyHolders returns the nodes other than the owner that may have the record of a call's key, by node: those that rank
// before the owner and do not serve now, those that were unreachable and may have owned keys meanwhile, and, while the
// owner has served for less than the horizon, those that may have owned its keys before.
func (s *State) keyHolders(call *ingressCall, service string, ranking []Member) []Member {
	horizon := s.keyHorizon(call)
	owner := ranking[0].Node
	weight := keyWeight(owner, call.route.Name, call.key)
	former := s.formerOwners(ranking, horizon)
	otherVersions := s.ownersInOtherVersions(call, service, ranking[0], horizon)
	var holders []Member
	for _, m := range s.members.ofService(service) {
		if m.Node == owner || m.isGone() {
			continue
		}
		returned := s.hasReturnedWithin(m.Node, horizon)
		serves := m.serves(service)
		ranksBefore := !serves && keyWeight(m.Node, call.route.Name, call.key) > weight // a serving one would be the owner
		idle := !serves && len(former) > 0
		if ranksBefore || returned || idle || former[m.Node] || otherVersions[m.Node] {
			holders = append(holders, m)
		}
	}
	return holders
}

// formerOwners returns the upstreams that may have owned a key before its owner did: none when the owner has served for
// the horizon, else those that follow it in the ranking, up to and including the first that has.
func (s *State) formerOwners(ranking []Member, horizon time.Duration) map[NodeID]bool {
	if s.hasServedFor(ranking[0].Node, horizon) {
		return nil
	}
	former := map[NodeID]bool{}
	for i, m := range ranking {
		former[m.Node] = i > 0
		if s.hasServedFor(m.Node, horizon) {
			break
		}
	}
	delete(former, ranking[0].Node)
	return former
}

// keyWeight returns the weight of a node for a key in rendezvous hashing.
func keyWeight(node NodeID, route, key string) uint64 {
	return hashString(string(node), "\x00", route, "\x00", key)
}
