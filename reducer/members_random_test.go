package reducer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// injectFault injects one random fault and returns a description of it.
func (p *memberSim) injectFault(zones, n int) string {
	node := nodeName(p.rand.IntN(zones), p.rand.IntN(n))
	zone := node[:2]
	fault := []string{"crash", "restart", "pause", "cut zone of", "lose a third and", "heal and"}[p.rand.IntN(6)]
	switch fault {
	case "crash":
		delete(p.nodes, node)
	case "restart":
		p.start(node, string(zone), "z0-000", "z0-001", "z1-000")
	case "pause":
		p.paused[node] = p.now + time.Duration(p.rand.IntN(6000))*time.Millisecond
	case "cut zone of":
		p.drops = func(from *State, to NodeID, _ Message) bool { return (from.cfg.Self[:2] == zone) != (to[:2] == zone) }
	case "lose a third and":
		p.drops = func(*State, NodeID, Message) bool { return p.rand.IntN(3) == 0 }
	default:
		p.drops = nil
	}
	return fault + " " + string(node) + "; "
}

// Guards against combinations of faults after which the member tables do not converge.
func TestMembersAgreeAfterRandomFaults(t *testing.T) {
	const zones, n = 3, 5
	for round := range 40 {
		p := newMemberSim(t)
		p.rand = rand.New(rand.NewPCG(uint64(round), 0))
		p.startCluster(zones, n)
		history := ""
		for range 12 {
			history += p.injectFault(zones, n)
			p.run(time.Duration(p.rand.IntN(3000)) * time.Millisecond)
		}
		p.drops = nil
		for i := range zones * n {
			if node := nodeName(i/n, i%n); p.nodes[node] == nil {
				p.start(node, string(node[:2]), "z0-000", "z0-001", "z1-000")
			}
		}
		p.run(15 * time.Second)
		for _, id := range sortedKeys(p.nodes) {
			p.expectState(id, MemberAlive)
		}
		p.expectSameTables()
		if t.Failed() {
			t.Fatalf("round %d: %s", round, history)
		}
	}
}

// Guards against a connection storm when all nodes of a zone return at once. The limit per node is two connections for
// each of the 9 links of docs/design.md, section 4.1, and as many again for links that change while the ring grows.
func TestReturningZoneBoundsHandshakes(t *testing.T) {
	const returning = 137
	p := newMemberSim(t)
	p.startCluster(7, 8)
	start := func() {
		for i := range returning {
			p.start(nodeName(1, i), "z1", "z0-000", "z0-001")
		}
	}
	start()
	p.run(10 * time.Second)
	for i := range returning {
		delete(p.nodes, nodeName(1, i))
	}
	p.run(10 * time.Second)
	p.connections, p.sent = map[[2]string]bool{}, 0
	start()
	p.run(2 * time.Second)
	conns, count := len(p.connections), p.sent
	p.run(3 * time.Second)
	p.expectSameTables()
	t.Logf("%d handshakes and %d messages in 2 s among %d nodes", conns, count, len(p.nodes))
	if bound := 2 * 2 * 9 * returning; conns > bound {
		t.Errorf("%d handshakes, expected at most %d", conns, bound)
	}
}

// BenchmarkHeartbeat runs 959 nodes that know each other, 137 per zone, in virtual time. It reports the time to handle
// a heartbeat, the messages that an idle node sends per second, and the time until all nodes know that one has died.
func BenchmarkHeartbeat(b *testing.B) {
	const zones, n = 7, 137
	p := newMemberSim(b)
	for i := range zones * n {
		p.start(nodeName(i/n, i%n), fmt.Sprint("z", i/n))
	}
	for _, s := range p.nodes {
		for id, other := range p.nodes {
			s.mergeMember(other.members.table[id])
		}
	}
	p.run(5 * time.Second)
	p.expectSameTables()
	p.sent = 0
	p.run(10 * time.Second)
	messages := float64(p.sent) / 10 / float64(len(p.nodes))
	delete(p.nodes, "z3-050")
	begin := p.now
	for known := 0; known < len(p.nodes) && p.now < begin+time.Minute; p.run(10 * time.Millisecond) {
		known = 0
		for _, s := range p.nodes {
			if s.members.table["z3-050"].State == MemberDead {
				known++
			}
		}
	}
	s := p.nodes["z0-000"]
	in := PeerMessage{From: p.nodes["z0-136"].members.table["z0-136"].Ref(), Message: s.heartbeat(false)}
	for b.Loop() {
		Reduce(s, Event{Now: s.now, Input: in})
	}
	b.ReportMetric(messages, "messages/node/s")
	b.ReportMetric(float64((p.now - begin).Milliseconds()), "ms-until-dead")
}
