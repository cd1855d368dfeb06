package reducer

import (
	"testing"
	"time"
)

// Guards against entries that wait to be relayed and never reach a peer that lacks them. Only peers that sent the same
// entry count as holders and get no copy; a peer that sent an older one does not.
func TestWaitingEntriesReachPeersThatLackThem(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(1, 8)
	s := p.nodes["z0-000"]
	peers := s.linkedPeers()
	member := p.nodes["z0-007"].members.table["z0-007"]
	update := func(from NodeID, sequence uint64) []Effect {
		member.Sequence = sequence
		in := PeerMessage{From: p.nodes[from].members.table[from].Ref(), Message: MemberUpdate{Members: []Member{member}}}
		return Reduce(s, Event{Now: s.now, Input: in})
	}
	first := member.Sequence
	update(peers[0], first+1) // relayed at once
	update(peers[0], first+2)
	update(peers[1], first+2) // the same entry
	update(peers[2], first+1) // an older entry
	got := map[NodeID]uint64{}
	for _, effect := range Reduce(s, Event{Now: s.now + relayInterval, Input: TimerDue{}}) {
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

// Guards against restarted nodes that relay the complete member table that they receive: it grows with the fleet, and all
// peers already hold it. Only entries that change are relayed.
func TestRestartedZoneDoesNotRelayTheTable(t *testing.T) {
	const zones, n = 4, 12
	p := newMemberSim(t)
	p.startCluster(zones, n)
	relayed := 0
	p.drops = func(from *State, _ NodeID, message Message) bool {
		update, ok := message.(MemberUpdate)
		if !ok || update.Repair || from.cfg.Zone != "z1" {
			return false
		}
		for _, member := range update.Members {
			if member.Zone != "z1" && member.State == MemberAlive {
				relayed++
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
	if relayed > 0 {
		t.Errorf("restarted nodes relayed %d entries of members that did not change", relayed)
	}
	p.expectState("z1-003", MemberAlive)
	p.expectSameTables()
}

// Guards against a node that is suspected because the first table it waits for is lost, and against one that stays
// without links although it knows a member.
func TestNodeWithoutTableIsNotSuspected(t *testing.T) {
	p := newMemberSim(t)
	p.startCluster(3, 8)
	const node = NodeID("z1-new")
	until := p.now + 2*time.Second
	p.drops = func(_ *State, to NodeID, message Message) bool {
		update, ok := message.(MemberUpdate)
		return to == node && ok && update.Repair && p.now < until
	}
	p.start(node, "z1", "z0-000")
	peer := p.nodes["z1-004"].members.table["z1-004"]
	p.post(node, time.Millisecond, PeerMessage{From: peer.Ref(), Message: MemberUpdate{Members: []Member{peer}}})
	p.expectNever(time.Second, MemberSuspect, append(sortedKeys(p.nodes), node)...)
	if len(p.nodes[node].linkedPeers()) == 0 {
		t.Error("the node has no links although it knows a member")
	}
	p.expectNever(2*detectionLimit, MemberSuspect, append(sortedKeys(p.nodes), node)...)
	p.expectState(node, MemberAlive)
	p.expectSameTables()
}

// Guards against every zone relaying an entry to every other zone: users pay for traffic between zones. A zone that is
// cut off from the member's zone must still get the entry through other zones.
func TestEntriesCrossZonesFromTheMembersZone(t *testing.T) {
	const zones, n, spreadLimit = 5, 20, 300 * time.Millisecond
	p := newMemberSim(t)
	p.startCluster(zones, n)
	across := 0
	lost := ""
	p.drops = func(from *State, to NodeID, message Message) bool {
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
	hasChange := func(id NodeID) bool { return p.nodes[id].members.table[node].Upstream.Slots == 2 }
	for _, id := range sortedKeys(p.nodes) {
		if !hasChange(id) {
			t.Errorf("%s has not heard of the change after %v", id, spreadLimit)
		}
	}
	links := 0 // between the member's zone and other zones
	for i := range n {
		for _, peer := range p.nodes[nodeName(0, i)].linkedPeers() {
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
