package reducer

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// tombstoneRetention is how long a member that left or died, and the earlier life of one that restarted,
// is remembered: as long as an idempotency key may be, because a lost node may hold its record.
const tombstoneRetention = tables.MaxKeyRetention

// memberState is the member table and what was observed of the members.
//
// Invariant: order, byService, buckets and live describe table; only put and remove change them. They drop the
// index of the upstreams that serve.
type memberState struct {
	self      NodeID
	table     map[NodeID]Member
	order     []Member // table by node
	byService map[string][]Member
	buckets   [bucketCount]uint64
	live      int // members other than self that may be reached
	changedAt time.Duration

	since      map[NodeID]time.Duration // when a member that is dead or left became so
	past       map[NodeID]pastLife
	nextExpiry time.Duration // earliest end of a retention; 0 when there is none

	loads     map[NodeID]*upstreamLoad
	distances map[string]zoneDistance // by zone, of other zones that answered calls
	choice    choiceState
	overlay   overlayState
	spread    spreadState
	detector  detectorState
	exchange  exchangeState
	join      joinState
}

// pastLife is the latest earlier incarnation of a restarted node that did not leave as planned.
type pastLife struct {
	member Member
	at     time.Duration
}

func (m *memberState) init(cfg Config) {
	m.self = cfg.Self
	m.table = map[NodeID]Member{}
	m.byService = map[string][]Member{}
	m.since = map[NodeID]time.Duration{}
	m.past = map[NodeID]pastLife{}
	m.loads = map[NodeID]*upstreamLoad{}
	m.distances = map[string]zoneDistance{}
	m.choice.serving = map[string][]*upstream{}
	m.overlay.init()
	m.detector.init()
	m.put(Member{
		Node: cfg.Self, Zone: cfg.Zone, Address: cfg.Address, Operator: cfg.Operator,
		Incarnation: cfg.Incarnation, Sequence: 1, State: MemberAlive,
	})
}

// put adds or replaces an entry of the table and updates the indexes.
func (m *memberState) put(member Member) {
	old, known := m.table[member.Node]
	if known {
		m.unindex(old, member.Upstream.Service)
	}
	m.table[member.Node] = member
	m.order = withMember(m.order, member)
	m.buckets[bucketOf(member.Node)] += member.hash()
	if service := member.Upstream.Service; service != "" {
		m.byService[service] = withMember(copyForOneMore(m.byService[service]), member)
		delete(m.choice.serving, service)
	}
	m.countLive(member, 1)
	if !known || old.linkable() != member.linkable() || old.Zone != member.Zone {
		m.overlay.stale = true
	}
}

// unindex takes an entry out of all indexes but order, whose place is kept, and that of the service that
// the entry after it has.
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
	m.countLive(old, -1)
}

func (m *memberState) countLive(member Member, by int) {
	if member.Node != m.self && member.linkable() && member.State != MemberLost {
		m.live += by
	}
}

func (m *memberState) remove(node NodeID) {
	old, known := m.table[node]
	if !known {
		return
	}
	m.unindex(old, "")
	delete(m.table, node)
	delete(m.since, node)
	delete(m.loads, node)
	m.order = withoutMember(m.order, node)
	m.overlay.stale = true
}

// sorted returns the members by node, including those that died or left within the retention.
func (m *memberState) sorted() []Member { return m.order }

// ofService returns the members whose upstream belongs to a service, by node, including those that
// died or left within the retention. The slice must not be changed.
func (m *memberState) ofService(service string) []Member { return m.byService[service] }

// lostLife returns the latest earlier incarnation of a restarted node that was lost within the
// retention.
func (m *memberState) lostLife(node NodeID) (Member, bool) {
	life, ok := m.past[node]
	return life.member, ok
}

// copyForOneMore returns a copy with room for another member.
func copyForOneMore(members []Member) []Member {
	return append(make([]Member, 0, len(members)+1), members...)
}

func withMember(members []Member, member Member) []Member {
	i, found := findMember(members, member.Node)
	if found {
		members[i] = member
		return members
	}
	return slices.Insert(members, i, member)
}

// withoutMember returns a copy without the named member.
func withoutMember(members []Member, node NodeID) []Member {
	i, found := findMember(members, node)
	if !found {
		return members
	}
	return append(slices.Clone(members[:i]), members[i+1:]...)
}

func findMember(members []Member, node NodeID) (int, bool) {
	return slices.BinarySearchFunc(members, node, func(m Member, node NodeID) int {
		return strings.Compare(string(m.Node), string(node))
	})
}

// linkable reports whether the member takes part in the overlay.
func (m Member) linkable() bool {
	return m.State != MemberDead && m.State != MemberLeft && m.State != 0
}

// shared returns the state as other nodes may be told it. That a zone is lost is the view of this node
// only: on the other side of a partition the member is alive.
func (s MemberState) shared() MemberState {
	if s == MemberLost {
		return MemberAlive
	}
	return s
}

// supersedes reports whether an entry replaces another one of the same node: a later incarnation, then
// a higher sequence, then a state further on.
func (m Member) supersedes(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.State.shared() > other.State.shared()
}

// updateSelf raises this node's sequence and tells the others.
func (s *State) updateSelf() {
	self := s.members.table[s.cfg.Self]
	self.Sequence++
	self.State = s.shutdown.memberState()
	self.RecordsHandedOver = s.shutdown.handed
	self.Upstream = Upstream{Service: s.backend.service, Slots: s.backend.declared, State: s.backend.state}
	s.putMember(self)
	s.flood(MemberUpdate{Members: []Member{self}})
}

// memberUpdate takes over entries that are news, refutes wrong ones about this node, and passes news
// on. A node that joins does not pass on the tables that it was given: its peers hold them, and where one
// does not the digests of heartbeats show it.
func (s *State) memberUpdate(from PeerRef, in MemberUpdate) {
	if in.Repair {
		s.members.join.given = true
	}
	joining := in.Repair && (s.members.live == 0 || s.now < joinTime)
	var news []Member
	for _, member := range in.Members {
		if s.learn(member) {
			news = append(news, member)
		} else {
			s.noteHeld(member, from.Node)
		}
	}
	if len(news) > 0 && !joining {
		s.spread(news, from.Node)
	}
}

// learn takes over an entry when it supersedes the one held, and reports whether it did.
func (s *State) learn(member Member) bool {
	if member.Node == s.cfg.Self {
		s.refute(member)
		return false
	}
	held, known := s.members.table[member.Node]
	switch {
	case known && member.Incarnation < held.Incarnation:
		s.rememberLife(member, s.now-member.Age)
		return false
	case known && !member.supersedes(held):
		return false
	case !known && !s.admit(member):
		return false
	case known && member.Incarnation > held.Incarnation:
		s.replaceLife(held)
	case known && held.State == MemberLost && member.State == MemberSuspect && member.Sequence == held.Sequence:
		return false
	}
	s.store(member, held.State)
	return true
}

// admit makes room for a new member, and reports whether there is any.
func (s *State) admit(member Member) bool {
	if !member.linkable() && member.Age >= tombstoneRetention {
		return false
	}
	if len(s.members.table) < s.cfg.Limits.MaxMembers || s.evictLeft() {
		return true
	}
	s.log(LevelWarn, "member table is full", Field{"member", member.Node}, Field{"limit", s.cfg.Limits.MaxMembers})
	return false
}

// evictLeft forgets the member that left first. Lost ones are not evicted: calls with idempotency keys
// would run again.
func (s *State) evictLeft() bool {
	var oldest NodeID
	for _, m := range s.members.sorted() {
		if m.State == MemberLeft && (oldest == "" || s.members.since[m.Node] < s.members.since[oldest]) {
			oldest = m.Node
		}
	}
	s.members.remove(oldest)
	return oldest != ""
}

// store puts a superseding entry into the table and sets the timer of a suspicion.
func (s *State) store(member Member, before MemberState) {
	since := s.now - member.Age
	member.Age = 0
	if zone := s.zone(member.Zone); zone.lost && member.linkable() {
		member.State = MemberLost
	}
	if before != member.State {
		s.log(LevelInfo, "member changed", Field{"member", member.Node}, Field{"member_zone", member.Zone}, Field{"state", member.State.String()})
	}
	s.putMemberAt(member, since)
	s.members.exchange.interval = 0
	delete(s.members.since, member.Node)
	if !member.linkable() {
		s.members.since[member.Node] = since
		s.members.expireBy(since + tombstoneRetention)
	}
	s.trackSuspicion(member)
}

// replaceLife makes way for a new incarnation. The earlier one counts as lost, unless it had left.
func (s *State) replaceLife(held Member) {
	if held.State != MemberLeft {
		at := s.now
		if held.State == MemberDead {
			at = s.members.since[held.Node]
		}
		s.rememberLife(held, at)
	}
	s.forgetSuspicion(held.Node)
	s.resetLink(held.Node)
}

// rememberLife keeps the latest lost incarnation of a node. Later ones cover earlier ones, because the
// retention counts from the loss.
func (s *State) rememberLife(member Member, at time.Duration) {
	old, known := s.members.past[member.Node]
	if member.State == MemberLeft || known && old.member.Incarnation >= member.Incarnation || at+tombstoneRetention <= s.now {
		return
	}
	member.State, member.Age = MemberDead, 0
	s.noteLost(member, at)
	s.members.past[member.Node] = pastLife{member, at}
	s.members.expireBy(at + tombstoneRetention)
}

func (m *memberState) expireBy(at time.Duration) {
	if m.nextExpiry == 0 || at < m.nextExpiry {
		m.nextExpiry = max(at, 1)
	}
}

// expireMembers forgets members and earlier lives whose retention has ended, except those of a zone
// that is lost.
func (s *State) expireMembers() {
	m := &s.members
	if m.nextExpiry == 0 || m.nextExpiry > s.now {
		return
	}
	m.nextExpiry = 0
	for _, member := range slices.Clone(m.order) {
		if life, ok := m.past[member.Node]; ok && !s.retained(life.member, life.at) {
			delete(m.past, member.Node)
		}
		if !member.linkable() && !s.retained(member, m.since[member.Node]) {
			m.remove(member.Node)
		}
	}
}

// retained reports whether a tombstone is still kept, and schedules the next look at it.
func (s *State) retained(member Member, since time.Duration) bool {
	end := since + tombstoneRetention
	if s.zone(member.Zone).lost {
		end = max(end, s.now+heartbeatInterval)
	}
	if end <= s.now {
		return false
	}
	s.members.expireBy(end)
	return true
}

// putMember stores an entry that changes now.
func (s *State) putMember(member Member) { s.putMemberAt(member, s.now) }

// putMemberAt is where every change of an entry after the start passes.
func (s *State) putMemberAt(member Member, at time.Duration) {
	before := s.members.table[member.Node]
	s.members.put(member)
	s.members.changedAt = s.now
	s.noteMemberChange(before, member, at)
}

// refute answers a wrong entry about this node with a higher sequence.
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

func (s *State) peerMessage(in PeerMessage) {
	s.heard(in.From)
	switch message := in.Message.(type) {
	case Heartbeat:
		s.heartbeatArrived(in.From, message)
	case MemberUpdate:
		s.memberUpdate(in.From, message)
		s.heard(in.From) // the sender may have been new
	case MemberDigest:
		s.memberDigest(in.From, message)
	case ConfigUpdate:
		s.configUpdate(in.From, message)
	case ConfigFetch:
		s.configFetch(in.From, message)
	}
}
