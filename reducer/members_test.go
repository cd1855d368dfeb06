package reducer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// detectionLimit is the time within which all nodes must know that a member died (docs/design.md, section 5).
const detectionLimit = 3 * time.Second

// delivery is an input in transit to one incarnation of a node.
type delivery struct {
	to          NodeID
	incarnation Incarnation
	input       Input
}

// memberSim runs several nodes in virtual time and delivers their control messages with random latency.
type memberSim struct {
	t           testing.TB
	rand        *rand.Rand
	now         time.Duration
	queue       *timers
	inputs      map[timerKey]delivery
	nodes       map[NodeID]*State
	paused      map[NodeID]time.Duration                           // end of the pause
	drops       func(from *State, to NodeID, message Message) bool // nil when no message is lost
	connections map[[2]string]bool                                 // by address of the sender and of the receiver
	sent        int                                                // messages sent
}

func newMemberSim(t testing.TB) *memberSim {
	const seed = 20261204
	t.Logf("seed %d", seed)
	return &memberSim{
		t: t, rand: rand.New(rand.NewPCG(seed, seed)), nodes: map[NodeID]*State{},
		paused: map[NodeID]time.Duration{}, connections: map[[2]string]bool{}, queue: newTimers(), inputs: map[timerKey]delivery{},
	}
}

// start starts a node, or a new incarnation of it, that joins through seeds.
func (p *memberSim) start(id NodeID, zone string, seeds ...string) {
	p.nodes[id] = New(Config{
		Self: id, Zone: zone, Address: string(id), Incarnation: Incarnation(p.now) + 1, Seeds: seeds,
		Limits: DefaultLimits(), Tunables: Tunables{ShutdownTimeout: time.Second},
	})
	p.post(id, 0, TimerDue{})
}

// startCluster starts zones z0, z1, ... of n nodes each, and runs until they have joined.
func (p *memberSim) startCluster(zones, n int) {
	for i := range zones * n {
		p.start(nodeName(i/n, i%n), fmt.Sprint("z", i/n), "z0-000", "z0-001")
		p.run(2 * time.Millisecond)
	}
	p.run(5 * time.Second)
	p.expectSameTables()
}

// nodeName returns the name of a node of a zone, such as z1-004.
func nodeName(zone, i int) NodeID { return NodeID(fmt.Sprintf("z%d-%03d", zone, i)) }

func (p *memberSim) post(to NodeID, delay time.Duration, input Input) {
	key := timerKey{call: Handle(p.queue.seq)}
	p.inputs[key] = delivery{to, p.nodes[to].cfg.Incarnation, input}
	p.queue.set(key, p.now+delay)
}

// run advances virtual time by d. Inputs of a paused node wait for the end of its pause.
func (p *memberSim) run(d time.Duration) {
	end := p.now + d
	for at, more := p.queue.next(); more && at <= end; at, more = p.queue.next() {
		key, _ := p.queue.pop(at)
		next := p.inputs[key]
		delete(p.inputs, key)
		p.now = at
		s := p.nodes[next.to]
		if s == nil || s.cfg.Incarnation != next.incarnation {
			continue
		}
		if until := p.paused[next.to]; until > p.now {
			p.post(next.to, until-p.now, next.input)
			continue
		}
		uptime := p.now + 1 - time.Duration(next.incarnation)
		p.perform(s, Reduce(s, Event{Now: uptime, Rand: p.rand.Uint64(), Input: next.input}))
	}
	p.now = end
}

func (p *memberSim) perform(s *State, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case WakeAt:
			p.post(s.cfg.Self, max(0, e.At-s.now), TimerDue{})
		case Send:
			p.send(s, e)
		case StopProcess:
			defer delete(p.nodes, s.cfg.Self)
		}
	}
}

func (p *memberSim) send(s *State, e Send) {
	p.sent++
	to := NodeID(e.To.Address)
	latency := time.Millisecond + time.Duration(p.rand.IntN(4000))*time.Microsecond
	if p.nodes[to] == nil || p.drops != nil && p.drops(s, to, e.Message) {
		return // no failure is reported to the sender
	}
	p.connections[[2]string{s.cfg.Address, e.To.Address}] = true
	p.post(to, latency, PeerMessage{From: s.members.table[s.cfg.Self].Ref(), Message: e.Message})
}

// expectSameTables checks that all nodes hold the same table.
func (p *memberSim) expectSameTables() {
	p.t.Helper()
	first := p.nodes[sortedKeys(p.nodes)[0]]
	for _, id := range sortedKeys(p.nodes) {
		if s := p.nodes[id]; s.members.digest() != first.members.digest() || len(s.members.table) != len(first.members.table) {
			p.t.Fatalf("%s holds %d members and %s %d, expected the same", id, len(s.members.table), first.cfg.Self, len(first.members.table))
		}
	}
}

// expectState checks that all other running nodes hold a member in one of the states; 0 stands for no entry.
func (p *memberSim) expectState(node NodeID, states ...MemberState) {
	p.t.Helper()
	for _, id := range sortedKeys(p.nodes) {
		if got := p.nodes[id].members.table[node].State; id != node && !slices.Contains(states, got) {
			p.t.Errorf("at %v %s holds %s as %v, expected %v", p.now, id, node, got, states)
		}
	}
}

// expectNever runs for d and checks every 50 ms that no other node holds any of the members in a state.
func (p *memberSim) expectNever(d time.Duration, state MemberState, members ...NodeID) {
	p.t.Helper()
	for end := p.now + d; p.now < end && !p.t.Failed(); p.run(50 * time.Millisecond) {
		for _, id := range sortedKeys(p.nodes) {
			for _, m := range members {
				if id != m && p.nodes[id].members.table[m].State == state {
					p.t.Errorf("at %v %s holds %s as %v", p.now, id, m, state)
				}
			}
		}
	}
}

// Guards against nodes that never learn of a member because a flood was lost, and against digest repairs that send
// the complete table.
func TestLostFloodIsRepairedByDigest(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(3, 8)
	p.drops = func(_ *State, to NodeID, m Message) bool {
		update, ok := m.(MemberUpdate)
		if ok && update.Repair && to != "z1-new" && len(update.Members) > 6 {
			t.Errorf("repair of one entry sends %d members", len(update.Members))
		}
		return ok && !update.Repair && to[:2] != "z0"
	}
	p.start("z1-new", "z1", "z0-000")
	p.run(100 * time.Millisecond)
	if _, known := p.nodes["z2-005"].members.table["z1-new"]; known {
		t.Fatal("the flood was not lost")
	}
	p.run(3 * time.Second)
	p.expectState("z1-new", MemberAlive)
	p.expectSameTables()
}

// Guards against a dead member that is detected too late, and against a live one declared dead with it.
func TestSilentMemberIsDeadInTime(t *testing.T) {
	for _, refused := range []bool{false, true} {
		p := newMemberSim(t)
		p.startCluster(3, 12)
		delete(p.nodes, "z1-004")
		if refused {
			s := p.nodes["z0-000"]
			ref := s.members.table["z1-004"].Ref()
			p.post("z0-000", 0, PeerSendFailed{To: ref, Refused: true})
			p.run(100 * time.Millisecond)
			p.expectState("z1-004", MemberSuspect)
		}
		p.expectNever(detectionLimit, MemberDead, "z1-003", "z0-000")
		p.expectState("z1-004", MemberDead)
	}
}

// Guards against a live member that stays suspect or is declared dead after a false, late or repeated suspicion.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(2, 8)
	old := p.nodes["z0-000"].members.table["z1-002"]
	old.State = MemberSuspect
	for range 3 {
		p.post("z0-000", 0, PeerMessage{From: p.nodes["z0-001"].members.table["z0-001"].Ref(), Message: MemberUpdate{Members: []Member{old}}})
		p.expectNever(refutationTimeout, MemberDead, "z1-002")
		p.expectState("z1-002", MemberAlive)
	}
	if got := p.nodes["z0-000"].members.table["z1-002"].Sequence; got != old.Sequence+1 {
		t.Errorf("sequence is %d after one suspicion and two late copies, expected %d", got, old.Sequence+1)
	}
}

// Guards against two incarnations of a node being mixed up, and against an earlier one being forgotten before the
// retention of its keys ends or kept beyond it. A node that joins later must know of it too.
func TestRestartReplacesAndRemembersEarlierIncarnation(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(2, 6)
	old := p.nodes["z1-002"].members.table["z1-002"]
	p.start("z1-002", "z1", "z0-001")
	p.run(time.Second)
	p.expectState("z1-002", MemberAlive)
	old.State = MemberDead
	p.post("z0-000", 0, PeerMessage{From: old.Ref(), Message: MemberUpdate{Members: []Member{old}}})
	p.start("z0-late", "z0", "z0-001")
	p.run(5 * time.Second)
	p.expectState("z1-002", MemberAlive)
	expectRemembered := func(want bool) {
		t.Helper()
		for _, id := range []NodeID{"z0-000", "z0-late"} {
			if past, ok := p.nodes[id].members.lostIncarnation("z1-002"); ok != want || ok && past.Incarnation != old.Incarnation {
				t.Errorf("%s remembers the earlier incarnation: %v, expected %v", id, ok, want)
			}
		}
	}
	expectRemembered(true)
	p.run(tombstoneRetention - 10*time.Second)
	expectRemembered(true)
	p.run(10 * time.Second)
	expectRemembered(false)
}

// Guards against a node that suspects its peers after it was paused itself, and against one that cannot return after
// others declared it dead.
func TestPausedNodeSuspectsNobody(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(3, 8)
	const node = NodeID("z0-003")
	p.paused[node] = p.now + 10*time.Second
	p.run(detectionLimit)
	p.expectState(node, MemberDead)
	p.run(7*time.Second - time.Millisecond)
	for end := p.now + 3*time.Second; p.now < end; p.run(time.Millisecond) {
		for _, m := range p.nodes[node].members.sorted() {
			if m.State != MemberAlive {
				t.Fatalf("at %v the node that was paused holds %s as %v", p.now, m.Node, m.State)
			}
		}
	}
	p.expectState(node, MemberAlive)
	p.expectSameTables()
}

// Guards against the nodes of a partitioned zone being declared dead, and against a zone that does not return when the
// partition heals, or returns with a storm of refutations.
func TestPartitionedZoneIsLostAndReturns(t *testing.T) {
	for _, zones := range []int{2, 5} {
		p := newMemberSim(t)
		p.startCluster(zones, 10)
		all := sortedKeys(p.nodes)
		p.drops = func(from *State, to NodeID, _ Message) bool { return (from.cfg.Zone == "z1") != (to[:2] == "z1") }
		p.expectNever(20*time.Second, MemberDead, all...)
		for _, s := range p.nodes {
			for _, m := range s.members.sorted() {
				if lost := (s.cfg.Zone == "z1") != (m.Zone == "z1"); lost != (m.State == MemberLost) {
					t.Errorf("%s holds %s as %v while z1 is cut off", s.cfg.Self, m.Node, m.State)
				}
			}
		}
		p.drops = nil
		p.run(time.Second)
		for _, id := range all {
			p.expectState(id, MemberAlive)
		}
		p.run(3 * time.Second)
		p.expectSameTables()
	}
}

// Guards against a member that left being suspected or forgotten too early, and against an isolated node that does not
// join again.
func TestLeavingAndJoiningAgain(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(1, 6)
	p.post("z0-004", 0, ShutdownRequested{})
	p.run(500 * time.Millisecond)
	p.expectState("z0-004", MemberLeaving)
	p.expectNever(10*time.Second, MemberSuspect, "z0-004")
	p.expectState("z0-004", MemberLeft)
	p.run(tombstoneRetention)
	p.expectState("z0-004", 0)

	isolated := NodeID("z0-005")
	p.drops = func(from *State, to NodeID, _ Message) bool { return from.cfg.Self == isolated || to == isolated }
	p.run(30 * time.Second)
	if live := p.nodes[isolated].members.livePeers; live != 0 {
		t.Errorf("a node that is cut off holds %d peers as live", live)
	}
	p.drops = nil
	p.run(reconnectMax + time.Second)
	p.expectSameTables()
	p.expectState(isolated, MemberAlive)
}

// Guards against indexes of the member table, including that of the serving upstreams, that differ from the table after
// some sequence of updates.
func TestServiceIndexFollowsTable(t *testing.T) {
	p := newMemberSim(t)
	p.start("z0-000", "z0")
	s := p.nodes["z0-000"]
	for i := range 3000 {
		m := Member{
			Node: nodeName(1, p.rand.IntN(8)), Zone: "z1", Incarnation: Incarnation(p.rand.IntN(3)), Sequence: uint64(p.rand.IntN(i + 1)),
			State:    []MemberState{MemberAlive, MemberLeaving, MemberSuspect, MemberDead, MemberLeft}[p.rand.IntN(5)],
			Upstream: Upstream{Service: []string{"", "a", "b"}[p.rand.IntN(3)], State: UpstreamState(i % 3)},
		}
		Reduce(s, Event{Now: time.Duration(i) * 100 * time.Millisecond, Input: PeerMessage{Message: MemberUpdate{Members: []Member{m}}}})
		var want memberState
		want.init(s.cfg)
		for _, m := range s.members.table {
			want.put(m)
		}
		var serving []Member
		for _, u := range s.servingUpstreams("a") {
			serving = append(serving, u.Member)
		}
		wantServing := slices.DeleteFunc(slices.Clone(want.ofService("a")), func(m Member) bool { return !m.serves("a") })
		if want.digest() != s.members.digest() || want.livePeers != s.members.livePeers || !slices.Equal(want.order, s.members.order) ||
			!slices.Equal(want.ofService("a"), s.members.ofService("a")) ||
			!slices.Equal(wantServing, serving) {
			t.Fatalf("after update %d (%+v) an index differs from the table", i, m)
		}
	}
}

// Guards against two groups of nodes that do not merge although the platform's store lists a node of the other group.
func TestJoinThroughConnectsGroups(t *testing.T) {
	p := newMemberSim(t)
	for _, id := range []NodeID{"z0-000", "z0-001", "z0-002", "z0-003"} {
		p.start(id, "z0", string(nodeName(0, int(id[5]-'0')%2)))
	}
	p.run(2 * time.Second)
	p.expectState("z0-000", MemberAlive, 0)
	p.nodes["z0-003"].joinThrough("z0-000")
	p.perform(p.nodes["z0-003"], p.nodes["z0-003"].effects)
	p.run(2 * time.Second)
	p.expectState("z0-000", MemberAlive)
	p.expectSameTables()
}

// Guards against a table that exceeds its limit, and against dead members that are evicted for new ones.
func TestFullTableEvictsMembersThatLeft(t *testing.T) {
	s := New(Config{Self: "n0", Limits: Limits{MaxMembers: 4}})
	for i, state := range []MemberState{MemberDead, MemberLeft, MemberLeft, MemberAlive, MemberAlive, MemberAlive} {
		s.now += time.Second
		s.mergeMember(Member{Node: NodeID(fmt.Sprint("n", i+1)), State: state})
	}
	if got, want := sortedKeys(s.members.table), []NodeID{"n0", "n1", "n4", "n5"}; !slices.Equal(got, want) {
		t.Errorf("table holds %v, expected %v", got, want)
	}
}

// Guards against two groups of nodes that consider each other dead and never merge.
func TestGroupsThatConsiderEachOtherDeadMerge(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(2, 4)
	p.drops = func(*State, NodeID, Message) bool { return true }
	p.run(100 * time.Millisecond) // no message is in transit any more
	p.drops = nil
	for _, s := range p.nodes {
		for _, m := range slices.Clone(s.members.sorted()) {
			if m.Zone != s.cfg.Zone {
				m.State = MemberDead
				s.mergeMember(m)
			}
		}
	}
	p.run(10 * time.Second)
	p.expectState("z0-000", MemberAlive)
	p.expectState("z1-000", MemberAlive)
	p.expectSameTables()
}

// Guards against a zone behind a partition being considered returned because a node on this side started or resumed. Such
// a node starts its wait for the zone again, and must not report that time to its peers as contact with the zone.
func TestOnlyMessagesRestoreAZone(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(2, 4)
	crossesPartition := func(from *State, to NodeID, _ Message) bool { return from.cfg.Zone != string(to[:2]) }
	p.drops = crossesPartition
	p.run(5 * time.Second)
	p.expectState("z1-000", MemberLost, MemberAlive) // alive on its own side
	expectLost := func() {
		t.Helper()
		for end := p.now + 5*time.Second; p.now < end && !t.Failed(); p.run(50 * time.Millisecond) {
			if state := p.nodes["z0-000"].members.table["z1-000"].State; state != MemberLost {
				t.Errorf("at %v z0-000 holds z1-000 as %v, expected lost", p.now, state)
			}
		}
	}
	p.start("z0-new", "z0", "z0-000")
	expectLost()
	p.paused["z0-003"] = p.now + 10*time.Second
	p.run(10 * time.Second)
	expectLost()
	p.drops = nil
	p.run(versionBound)
	p.paused["z0-002"] = p.now + 5*time.Second // when it resumes, it reads messages from before the partition
	p.run(time.Millisecond)
	p.drops = crossesPartition
	p.run(1800 * time.Millisecond) // members are suspected, and the zone does not count as lost yet
	p.paused["z0-003"] = p.now + 5*time.Second
	p.run(5 * time.Second)
	expectLost()
}

// Guards against two groups of nodes that started on two sides of a partition and never merge, because neither knows a
// member of the other.
func TestGroupsStartedInPartitionMerge(t *testing.T) {
	p := newMemberSim(t)
	p.drops = func(from *State, to NodeID, _ Message) bool { return from.cfg.Zone != string(to[:2]) }
	for _, id := range []NodeID{"z0-000", "z0-001", "z1-000", "z1-001"} {
		p.start(id, string(id[:2]), "z0-000", "z0-001", "z1-000", "z1-001")
	}
	p.run(30 * time.Second)
	p.expectState("z0-000", MemberAlive, 0)
	p.drops = nil
	p.run(versionBound)
	p.expectState("z0-000", MemberAlive)
	p.expectState("z1-000", MemberAlive)
	p.expectSameTables()
}

// versionBound is the time within which a version must be active on all nodes (docs/design.md, section 1.3).
const versionBound = 7 * time.Second

// Guards against a node that reports its own start as the last contact with a zone although the contact that its peers
// reported is older. Peers would then declare members behind a partition dead instead of lost.
func TestFirstContactWithAZoneMayBeOlderThanTheProcess(t *testing.T) {
	const age = zoneSilenceLimit - 100*time.Millisecond
	s := New(Config{Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits()})
	for _, m := range []Member{{Node: "peer", Zone: "z"}, {Node: "far", Zone: "y"}} {
		m.Incarnation, m.Sequence, m.State = 1, 1, MemberAlive
		s.mergeMember(m)
	}
	s.zoneViewOf("y")
	heartbeat := Heartbeat{Zones: []ZoneHeard{{Zone: zoneTag("y"), Age: age}}}
	Reduce(s, Event{Now: time.Second, Input: PeerMessage{From: PeerRef{Node: "peer", Incarnation: 1}, Message: heartbeat}})
	if heard := s.zonesHeard(); len(heard) != 1 || heard[0].Age != age {
		t.Errorf("zones heard are %+v, expected one %v ago", heard, age)
	}
	Reduce(s, Event{Now: time.Second + 200*time.Millisecond, Input: TimerDue{}})
	if s.hasRecentContact("y") {
		t.Errorf("a zone that was heard %v ago counts as recently heard", age+200*time.Millisecond)
	}
}
