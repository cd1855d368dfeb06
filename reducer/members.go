package reducer

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/balance"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// tombstoneRetention is how long the table keeps a tombstone: the entry of a member that left or died, or an
// earlier incarnation of one that restarted. It equals the longest retention of an idempotency key, because a lost
// node may hold the key's record.
const tombstoneRetention = tables.MaxKeyRetention

// memberState holds the member table, its indexes and what this node has observed of the members.
//
// Invariant: order, byService, buckets and livePeers are derived from table. Only put and remove change them, and both
// invalidate choice.serving for the services involved.
type memberState struct {
	self      NodeID
	table     map[NodeID]Member
	order     []Member // entries of table, sorted by node
	byService map[string][]Member
	buckets   [bucketCount]uint64
	livePeers int // members other than self that are neither dead, left nor lost
	changedAt time.Duration

	endedAt    map[NodeID]time.Duration // when a dead or left member died or left
	past       map[NodeID]pastIncarnation
	nextExpiry time.Duration // when the next tombstone may expire; 0 when there is none

	loads     map[NodeID]*upstreamLoad
	distances map[string]zoneDistance // by zone; only other zones that have answered calls
	choice    choiceState
	overlay   overlayState
	relay     relayState
	detector  detectorState
	exchange  exchangeState
	join      joinState
}

// pastIncarnation is the latest earlier incarnation of a restarted node, if that incarnation ended without leaving.
type pastIncarnation struct {
	member Member
	at     time.Duration // when it ended
}

func (m *memberState) init(cfg Config) {
	m.self = cfg.Self
	m.table = map[NodeID]Member{}
	m.byService = map[string][]Member{}
	m.endedAt = map[NodeID]time.Duration{}
	m.past = map[NodeID]pastIncarnation{}
	m.loads = map[NodeID]*upstreamLoad{}
	m.distances = map[string]zoneDistance{}
	m.choice.serving = map[string][]*servingUpstream{}
	m.choice.speed = map[string]*balance.Mode{}
	m.overlay.init()
	m.detector.init()
	m.put(Member{
		Node: cfg.Self, Zone: cfg.Zone, Address: cfg.Address, Operator: cfg.Operator,
		Incarnation: cfg.Incarnation, Sequence: 1, State: MemberAlive,
	})
}

// put adds or replaces an entry and updates the indexes.
func (m *memberState) put(member Member) {
	old, known := m.table[member.Node]
	if known {
		m.unindex(old, member.Upstream.Service)
	}
	m.table[member.Node] = member
	m.order = upsertMember(m.order, member)
	m.buckets[bucketOf(member.Node)] += member.hash()
	if service := member.Upstream.Service; service != "" {
		m.byService[service] = upsertMember(cloneForInsert(m.byService[service]), member)
		delete(m.choice.serving, service)
	}
	m.adjustLivePeers(member, 1)
	if !known || old.isInOverlay() != member.isInOverlay() || old.Zone != member.Zone {
		m.overlay.stale = true
	}
}

// unindex removes an entry from the indexes, except from order, and from byService if next, the service of the new
// entry, is the same: put replaces it there.
func (m *memberState) unindex(old Member, next string) {
	m.buckets[bucketOf(old.Node)] -= old.hash()
	delete(m.choice.serving, old.Upstream.Service)
	if service := old.Upstream.Service; service != "" && service != next {
		left := withoutMember(m.byService[service], old.Node)
		m.byService[service] = left
		if len(left) == 0 {
			delete(m.byService, service)
		}
	}
	m.adjustLivePeers(old, -1)
}

func (m *memberState) adjustLivePeers(member Member, by int) {
	if member.Node != m.self && member.isInOverlay() && member.State != MemberLost {
		m.livePeers += by
	}
}

func (m *memberState) remove(node NodeID) {
	old, known := m.table[node]
	if !known {
		return
	}
	m.unindex(old, "")
	delete(m.table, node)
	delete(m.endedAt, node)
	delete(m.loads, node)
	m.order = withoutMember(m.order, node)
	m.overlay.stale = true
}

// sorted returns all members sorted by node, including those that died or left within tombstoneRetention. The slice
// must not be changed.
func (m *memberState) sorted() []Member { return m.order }

// ofService returns the members of sorted whose upstream belongs to a service. The slice must not be changed.
func (m *memberState) ofService(service string) []Member { return m.byService[service] }

// lostIncarnation returns the latest earlier incarnation of a restarted node, if it was lost within tombstoneRetention.
func (m *memberState) lostIncarnation(node NodeID) (Member, bool) {
	past, ok := m.past[node]
	return past.member, ok
}

// cloneForInsert returns a copy with capacity for one more member.
func cloneForInsert(members []Member) []Member {
	return append(make([]Member, 0, len(members)+1), members...)
}

// upsertMember inserts a member into a list sorted by node, or replaces its entry in place.
func upsertMember(members []Member, member Member) []Member {
	i, found := findMember(members, member.Node)
	if found {
		members[i] = member
		return members
	}
	return slices.Insert(members, i, member)
}

// withoutMember returns a copy without the entry of a node, or the list itself when there is none.
func withoutMember(members []Member, node NodeID) []Member {
	i, found := findMember(members, node)
	if !found {
		return members
	}
	return append(slices.Clone(members[:i]), members[i+1:]...)
}

// findMember returns the index of a node in a list sorted by node, or its insertion point.
func findMember(members []Member, node NodeID) (int, bool) {
	return slices.BinarySearchFunc(members, node, func(m Member, node NodeID) int {
		return strings.Compare(string(m.Node), string(node))
	})
}

// isInOverlay reports whether the member takes part in the overlay: it is neither dead nor left.
func (m Member) isInOverlay() bool {
	return m.State != MemberDead && m.State != MemberLeft && m.State != 0
}

// advertised returns the state as it is sent to other nodes. MemberLost is this node's own view and is sent as
// MemberAlive: on the other side of the partition the member is alive.
func (s MemberState) advertised() MemberState {
	if s == MemberLost {
		return MemberAlive
	}
	return s
}

// supersedes reports whether an entry replaces another one of the same node: by incarnation first, then by sequence,
// then by state in the order of the constants.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.State.advertised() > other.State.advertised()
}

// updateSelf updates this node's own entry with a higher sequence and floods it.
func (s *State) updateSelf() {
	self := s.members.table[s.cfg.Self]
	self.Sequence++
	self.State = s.shutdown.ownMemberState()
	self.RecordsHandedOver = s.shutdown.recordsHandedOver
	self.Upstream = Upstream{Service: s.backend.service, Slots: s.backend.declaredSlots, State: s.backend.state, Version: s.backend.version}
	s.putMember(self)
	s.flood(MemberUpdate{Members: []Member{self}})
}

// handleMemberUpdate merges the entries, refutes wrong ones about this node, and relays those that changed the table. A
// joining node does not relay the tables that it receives: its peers already hold them, and a mismatch shows in the
// digests of heartbeats.
func (s *State) handleMemberUpdate(from PeerRef, in MemberUpdate) {
	if in.Repair {
		s.members.join.tableReceived = true
	}
	joining := in.Repair && (s.members.livePeers == 0 || s.now < joiningPeriod)
	var changed []Member
	for _, member := range in.Members {
		if s.mergeMember(member) {
			changed = append(changed, member)
		} else {
			s.noteHolder(member, from.Node)
		}
	}
	if len(changed) > 0 && !joining {
		s.relayEntries(changed, from.Node)
	}
}

// mergeMember merges an entry into the member table and reports whether the table took it.
func (s *State) mergeMember(member Member) bool {
	if member.Node == s.cfg.Self {
		s.refute(member)
		return false
	}
	held, known := s.members.table[member.Node]
	switch {
	case known && member.Incarnation < held.Incarnation:
		s.rememberIncarnation(member, s.now-member.Age)
		return false
	case known && !member.supersedes(held):
		return false
	case !known && !s.makeRoomFor(member):
		return false
	case known && member.Incarnation > held.Incarnation:
		s.retireIncarnation(held)
	case known && held.State == MemberLost && member.State == MemberSuspect && member.Sequence == held.Sequence:
		return false
	}
	s.acceptEntry(member, held.State)
	return true
}

// makeRoomFor reports whether a new member may be added, and evicts one that has left if the table is full. Tombstones
// older than tombstoneRetention are not added.
func (s *State) makeRoomFor(member Member) bool {
	if !member.isInOverlay() && member.Age >= tombstoneRetention {
		return false
	}
	if len(s.members.table) < s.cfg.Limits.MaxMembers || s.evictOldestLeft() {
		return true
	}
	s.log(LevelWarn, "member table is full", Field{"member", member.Node}, Field{"limit", s.cfg.Limits.MaxMembers})
	return false
}

// evictOldestLeft removes the member that left the longest time ago, and reports whether there was one. Dead and lost
// members are not evicted: calls whose idempotency keys are recorded only there would run again.
func (s *State) evictOldestLeft() bool {
	var oldest NodeID
	for _, m := range s.members.sorted() {
		if m.State == MemberLeft && (oldest == "" || s.members.endedAt[m.Node] < s.members.endedAt[oldest]) {
			oldest = m.Node
		}
	}
	s.members.remove(oldest)
	return oldest != ""
}

// acceptEntry puts a superseding entry into the table, records when a dead or left member ended, and starts or ends the
// suspicion of the member. before is the state held until now.
func (s *State) acceptEntry(member Member, before MemberState) {
	since := s.now - member.Age
	member.Age = 0
	if zone := s.zoneViewOf(member.Zone); zone.lost && member.isInOverlay() {
		member.State = MemberLost
	}
	if before != member.State {
		s.log(LevelInfo, "member changed", Field{"member", member.Node}, Field{"member_zone", member.Zone}, Field{"state", member.State.String()})
	}
	s.putMemberAt(member, since)
	s.members.exchange.interval = 0
	delete(s.members.endedAt, member.Node)
	if !member.isInOverlay() {
		s.members.endedAt[member.Node] = since
		s.members.lowerNextExpiry(since + tombstoneRetention)
	}
	s.trackSuspicion(member)
}

// retireIncarnation makes way for a later incarnation. The earlier one is remembered as lost, unless it had left.
func (s *State) retireIncarnation(held Member) {
	if held.State != MemberLeft {
		at := s.now
		if held.State == MemberDead {
			at = s.members.endedAt[held.Node]
		}
		s.rememberIncarnation(held, at)
	}
	s.clearSuspicion(held.Node)
	s.resetLink(held.Node)
}

// rememberIncarnation keeps the latest lost incarnation of a node. One is enough: the retention counts from the loss,
// so a later one is kept longer than those before it.
func (s *State) rememberIncarnation(member Member, at time.Duration) {
	old, known := s.members.past[member.Node]
	if member.State == MemberLeft || known && old.member.Incarnation >= member.Incarnation || at+tombstoneRetention <= s.now {
		return
	}
	member.State, member.Age = MemberDead, 0
	s.noteLost(member, at)
	s.members.past[member.Node] = pastIncarnation{member, at}
	s.members.lowerNextExpiry(at + tombstoneRetention)
}

// lowerNextExpiry makes expireMembers run at the given time at the latest.
func (m *memberState) lowerNextExpiry(at time.Duration) {
	if m.nextExpiry == 0 || at < m.nextExpiry {
		m.nextExpiry = max(at, 1)
	}
}

// expireMembers removes members and earlier incarnations whose retention has ended, except those of a lost zone.
func (s *State) expireMembers() {
	m := &s.members
	if m.nextExpiry == 0 || m.nextExpiry > s.now {
		return
	}
	m.nextExpiry = 0
	for _, member := range slices.Clone(m.order) {
		if past, ok := m.past[member.Node]; ok && !s.checkRetention(past.member, past.at) {
			delete(m.past, member.Node)
		}
		if !member.isInOverlay() && !s.checkRetention(member, m.endedAt[member.Node]) {
			m.remove(member.Node)
		}
	}
}

// checkRetention reports whether a tombstone is still kept, and if so schedules its next check. Those of a lost zone
// are kept until the zone returns.
func (s *State) checkRetention(member Member, since time.Duration) bool {
	end := since + tombstoneRetention
	if s.zoneViewOf(member.Zone).lost {
		end = max(end, s.now+heartbeatInterval)
	}
	if end <= s.now {
		return false
	}
	s.members.lowerNextExpiry(end)
	return true
}

// putMember stores an entry that changes now.
func (s *State) putMember(member Member) { s.putMemberAt(member, s.now) }

// putMemberAt stores an entry that changed at the given time. Every change after the start goes through it, so that key
// ownership is tracked.
func (s *State) putMemberAt(member Member, at time.Duration) {
	before := s.members.table[member.Node]
	s.members.put(member)
	s.members.changedAt = s.now
	s.noteQuotaMember(before, member)
	s.noteMemberChange(before, member, at)
}

// refute answers an entry about this node that supersedes its own, such as a suspicion, by flooding its own entry with
// a higher sequence. An entry of a later incarnation is only logged: another process runs under this node's name.
func (s *State) refute(member Member) {
	self := s.members.table[s.cfg.Self]
	if member.Incarnation > self.Incarnation {
		s.log(LevelError, "a later incarnation of this node is known", Field{"incarnation", uint64(member.Incarnation)})
		return
	}
	if !member.supersedes(self) {
		return
	}
	self.Sequence = member.Sequence
	s.putMember(self)
	s.updateSelf()
}
