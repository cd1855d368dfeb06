package reducer

import (
	"testing"
	"time"
)

// Guards against entries that wait to be passed on and are lost because a peer counts as one that holds them: only
// the peer that sent an entry as new does. A peer that has sent it gets no copy.
func TestWaitingEntriesReachPeersThatLackThem(t *testing.T) {
	p := newPump(t)
	p.cluster(1, 8)
	s := p.nodes["z0-000"]
	peers := s.linked()
	member := p.nodes["z0-007"].members.table["z0-007"]
	update := func(from NodeID, sequence uint64) []Effect {
		member.Sequence = sequence
		in := PeerMessage{From: p.nodes[from].members.table[from].Ref(), Message: MemberUpdate{Members: []Member{member}}}
		return Reduce(s, Event{Now: s.now, Input: in})
	}
	first := member.Sequence
	update(peers[0], first+1) // passed on at once
	update(peers[0], first+2)
	update(peers[1], first+2) // the same
	update(peers[2], first+1) // older
	got := map[NodeID]uint64{}
	for _, effect := range Reduce(s, Event{Now: s.now + spreadInterval, Input: TimerDue{}}) {
		if send, ok := effect.(Send); ok {
			if update, ok := send.Message.(MemberUpdate); ok {
				got[send.To.Node] = update.Members[0].Sequence
			}
		}
	}
	for i, peer := range peers {
		want := first + 2
		if i < 2 {
			want = 0
		}
		if got[peer] != want {
			t.Errorf("peer %d was sent sequence %d, expected %d", i, got[peer], want)
		}
	}
}

// Guards against restarted nodes that pass on the whole table that they were given: its size grows with the
// fleet, and all peers hold it. Only what changes is passed on.
func TestRestartedZoneDoesNotPassOnTheTable(t *testing.T) {
	const zones, n = 4, 12
	p := newPump(t)
	p.cluster(zones, n)
	passedOn := 0
	p.loses = func(from *State, _ NodeID, message Message) bool {
		update, ok := message.(MemberUpdate)
		if !ok || update.Repair || from.cfg.Zone != "z1" {
			return false
		}
		for _, member := range update.Members {
			if member.Zone != "z1" && member.State == MemberAlive {
				passedOn++
			}
		}
		return false
	}
	for i := range n {
		delete(p.nodes, nodeName(1, i))
	}
	for i := range n {
		p.start(nodeName(1, i), "z1", "z0-000", "z2-000", "z3-000")
	}
	p.run(detectionLimit)
	if passedOn > 0 {
		t.Errorf("restarted nodes passed on %d entries of members that did not change", passedOn)
	}
	p.holds("z1-003", MemberAlive)
	p.agree()
}

// Guards against a node that is suspected because it waits for its first table, which is lost, and against one
// that stays without links although it knows a member.
func TestNodeWithoutTableIsNotSuspected(t *testing.T) {
	p := newPump(t)
	p.cluster(3, 8)
	const node = NodeID("z1-new")
	until := p.now + 2*time.Second
	p.loses = func(_ *State, to NodeID, message Message) bool {
		update, ok := message.(MemberUpdate)
		return to == node && ok && update.Repair && p.now < until
	}
	p.start(node, "z1", "z0-000")
	peer := p.nodes["z1-004"].members.table["z1-004"]
	p.post(node, time.Millisecond, PeerMessage{From: peer.Ref(), Message: MemberUpdate{Members: []Member{peer}}})
	p.never(time.Second, MemberSuspect, append(sortedKeys(p.nodes), node)...)
	if len(p.nodes[node].linked()) == 0 {
		t.Error("the node has no links although it knows a member")
	}
	p.never(2*detectionLimit, MemberSuspect, append(sortedKeys(p.nodes), node)...)
	p.holds(node, MemberAlive)
	p.agree()
}

// Guards against news of a member that each zone passes on to each other one: users pay for the bytes between zones.
// A zone that has lost the member's zone still hears of it from the others.
func TestNewsCrossesZonesFromTheMembersZone(t *testing.T) {
	const zones, n, spreadLimit = 5, 20, 300 * time.Millisecond
	p := newPump(t)
	p.cluster(zones, n)
	across := 0
	lost := ""
	p.loses = func(from *State, to NodeID, message Message) bool {
		update, ok := message.(MemberUpdate)
		zone := string(to[:2])
		if ok && !update.Repair && from.cfg.Zone != zone {
			across += len(update.Members)
		}
		return from.cfg.Zone == "z0" && zone == lost || from.cfg.Zone == lost && zone == "z0"
	}
	const node = NodeID("z0-007")
	register := func(slots int) {
		p.post(node, 0, BackendRegistered{Service: "stitchroom", Address: "10.0.0.1:80", Slots: slots})
	}
	register(1)
	p.run(spreadLimit)
	across = 0
	register(2)
	p.run(spreadLimit)
	heard := func(id NodeID) bool { return p.nodes[id].members.table[node].Upstream.Slots == 2 }
	for _, id := range sortedKeys(p.nodes) {
		if !heard(id) {
			t.Errorf("%s has not heard of the change after %v", id, spreadLimit)
		}
	}
	links := 0 // between the member's zone and others
	for i := range n {
		for _, peer := range p.nodes[nodeName(0, i)].linked() {
			if peer[:2] != "z0" {
				links++
			}
		}
	}
	if across > links {
		t.Errorf("one change crossed zones %d times, expected at most %d", across, links)
	}
	lost = "z1"
	register(3)
	p.run(detectionLimit)
	for i := range n {
		if id := nodeName(1, i); p.nodes[id].members.table[node].Upstream.Slots != 3 {
			t.Errorf("%s has not heard of the change through other zones after %v", id, detectionLimit)
		}
	}
}
