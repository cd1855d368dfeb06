package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
)

// noteQuotaMember notes a change of a member that may change the owners of quotas.
func (s *State) noteQuotaMember(before, after Member) {
	if before.State != after.State || before.Incarnation != after.Incarnation {
		s.quota.changedAt = s.now
		s.quota.viewStale, s.quota.touched = true, true
	}
}

// updateQuotaView passes the members to the quotas if they may have changed.
func (s *State) updateQuotaView() {
	q := &s.quota
	if !q.viewStale && !q.alone && s.now-q.viewAt < quotaViewInterval {
		return
	}
	q.viewStale, q.viewAt = false, s.now
	s.forgetEnded()
	view := s.quotaView()
	q.alone = view.Alone
	if !q.node.SetView(view) {
		return
	}
	gained := q.owner.SetView(s.now, view)
	if len(gained) > 0 {
		s.log(LevelInfo, "owner of quotas", Field{"gained", len(gained)}, Field{"owned", q.owner.Owned()},
			Field{"alive", view.Alive}, Field{"known", len(view.Known)}, Field{"ended", view.Ended}, Field{"expected", view.Expected})
	}
}

func (s *State) quotaView() quota.View {
	view := quota.View{
		Self:      quota.Peer{Node: string(s.cfg.Self), Incarnation: uint64(s.cfg.Incarnation)},
		ChangedAt: s.quota.changedAt,
		Expected:  s.expectedQuotaMembers(),
		Alone:     len(s.members.sorted()) == 1 && s.mayHaveUnknownPeers(),
	}
	for _, m := range s.members.sorted() {
		if m.State == MemberLeft {
			continue
		}
		view.Known = append(view.Known, string(m.Node))
		if s.hasEnded(m) {
			view.Ended++
		}
		if m.State == MemberAlive || m.State == MemberLeaving {
			view.Alive++
		}
		if m.State == MemberAlive {
			view.Live = append(view.Live, quota.Peer{Node: string(m.Node), Incarnation: uint64(m.Incarnation)})
		}
	}
	return view
}

// mayHaveUnknownPeers reports whether there may be nodes that this one has not heard of. Unlike expectsPeers it does not
// count a seed that is this node itself, so that a single node serves workspaces with a quota.
func (s *State) mayHaveUnknownPeers() bool {
	return len(s.joinAddresses()) > 0 || s.cfg.Discover && !s.platform.listed
}

const (
	// expectedPeriod is the time after the start in which the entries in the store are read for the number of members. Entries of
	// earlier processes are gone after nodeLeaseTTL.
	expectedPeriod = nodeLeaseTTL
	// expectedRetention is how long that number counts: as long as a dead member is known.
	expectedRetention = tombstoneRetention
)

// noteExpectedMembers takes over the number of members that the entries in the store name. All nodes that this one can reach may
// have restarted, and know none of those beyond a partition.
func (s *State) noteExpectedMembers(entries []NodeEntry) {
	if s.now >= expectedPeriod {
		return
	}
	most := s.quota.expected
	for _, e := range entries {
		most = max(most, min(e.Members, s.cfg.Limits.MaxMembers))
	}
	if most > s.quota.expected {
		s.quota.expected, s.quota.expectedAt = most, s.now
		s.quota.viewStale, s.quota.touched = true, true
	}
}

// expectedQuotaMembers returns that number without the members that have left, and those whose process has ended, since it was read.
func (s *State) expectedQuotaMembers() int {
	q := &s.quota
	if s.now >= expectedRetention || q.expected == 0 {
		return 0
	}
	gone := 0
	for _, m := range s.members.sorted() {
		at, over := s.members.endedAt[m.Node]
		if (m.State == MemberLeft || s.hasEnded(m)) && (!over || at > q.expectedAt) {
			gone++
		}
	}
	return max(q.expected-gone, 1)
}

// announcedMembers returns the number of members for this node's entry in the store, or 0 without quotas. In the first seconds it
// is at least that of earlier entries, so that it outlives a restart of all nodes one after the other.
func (s *State) announcedMembers() int {
	early := s.now < expectedPeriod
	if !s.quota.enabled {
		if early { // the version may not be active yet
			return s.quota.expected
		}
		return 0
	}
	known := 0
	for _, m := range s.members.sorted() {
		if m.State != MemberLeft && !s.hasEnded(m) {
			known++
		}
	}
	if early {
		known = max(known, s.quota.expected)
	}
	return known
}

const (
	// firstProbeInterval and maxProbeInterval bound the interval of the probes of a dead member, which doubles. An address that
	// does not refuse connections belongs to an instance that is gone or cut off, and few of those come back soon.
	firstProbeInterval = time.Second
	maxProbeInterval   = time.Minute
)

// endedMember is what is known of the process of a dead member.
type endedMember struct {
	incarnation Incarnation
	refused     bool // its address refused a connection: the process has ended
	probeAt     time.Duration
	interval    time.Duration
}

// noteQuotaMemberRefused notes that the address of a member refused a connection. Its process sends no more requests, so that
// the others may grant its share of the rate.
func (s *State) noteQuotaMemberRefused(member Member) {
	q := &s.quota
	if !q.enabled || q.ended[member.Node].refused && q.ended[member.Node].incarnation == member.Incarnation {
		return
	}
	q.ended[member.Node] = endedMember{incarnation: member.Incarnation, refused: true}
	q.changedAt = s.now
	q.viewStale, q.touched = true, true
}

// hasEnded reports whether the process of a lost member has ended and no later one can have taken its place unnoticed. In a lost
// zone it can: the member counts again, as its zone counts it.
func (s *State) hasEnded(m Member) bool {
	ended := s.quota.ended[m.Node]
	if !ended.refused || ended.incarnation != m.Incarnation || m.State != MemberDead && m.State != MemberSuspect {
		return false
	}
	zone := s.members.detector.zones[m.Zone]
	return zone == nil || !zone.lost
}

// probeDeadForQuotas sends a heartbeat to a dead member of whose process the end is not known, at most one a round. Only owners
// of quotas do so: the others do not need the shares of the members.
func (s *State) probeDeadForQuotas(heartbeat Heartbeat) {
	q := &s.quota
	if !q.enabled || q.owner.Owned() == 0 {
		return
	}
	for _, m := range s.members.sorted() {
		if m.State != MemberDead {
			continue
		}
		e := q.ended[m.Node]
		if e.incarnation != m.Incarnation {
			e = endedMember{incarnation: m.Incarnation}
		}
		if e.refused || s.now < e.probeAt {
			continue
		}
		e.interval = min(max(2*e.interval, firstProbeInterval), maxProbeInterval)
		e.probeAt = s.now + e.interval
		q.ended[m.Node] = e
		s.emit(Send{To: m.Ref(), Message: heartbeat})
		return
	}
}

// forgetEnded removes what is known of the processes of members that the table no longer holds.
func (s *State) forgetEnded() {
	for node := range s.quota.ended {
		if _, known := s.members.table[node]; !known {
			delete(s.quota.ended, node)
		}
	}
}
