package reducer

import (
	"testing"
	"time"
)

// testRegistrar sends registrations and deregistrations of a backend server to the state of a node that starts at
// processStart.
type testRegistrar struct {
	t       *testing.T
	state   *State
	now     time.Duration
	effects []Effect
}

// processStart is the start of the node's process in Unix milliseconds.
const processStart = 1_000_000

func newTestRegistrar(t *testing.T) *testRegistrar {
	return &testRegistrar{t: t, state: New(Config{
		Self: "n1", Zone: "z", Address: "n1", Incarnation: Incarnation(processStart * time.Millisecond), Limits: DefaultLimits(),
		Discover: true, Tables: testSnapshot(t, "[route r]\npool = p\n", "[pool p]\nservice = s\n"),
	})}
}

func (d *testRegistrar) reduce(input Input) {
	d.effects = Reduce(d.state, Event{Now: d.now, Rand: 1, Input: input})
}

func (d *testRegistrar) register(instance string, born int64, sequence uint64, draining bool) {
	d.reduce(BackendRegistered{
		Service: "s", Address: "127.0.0.1:1", Slots: 2, Instance: instance, Born: born, Sequence: sequence, Draining: draining, Exchange: 7,
	})
}

// addPeers makes live nodes known, each in a zone of its own, and returns how they are reached.
func (d *testRegistrar) addPeers(nodes ...NodeID) map[NodeID]PeerRef {
	peers := map[NodeID]PeerRef{}
	for _, node := range nodes {
		m := Member{Node: node, Zone: "zone of " + string(node), Address: string(node), Incarnation: 1, Sequence: 1, State: MemberAlive}
		d.state.members.put(m)
		peers[node] = m.Ref()
	}
	return peers
}

// sentMessages returns the messages of type M that the last input sent, by receiver.
func sentMessages[M Message](d *testRegistrar) map[NodeID]M {
	sent := map[NodeID]M{}
	for _, effect := range d.effects {
		if send, ok := effect.(Send); ok {
			if m, ok := send.Message.(M); ok {
				sent[send.To.Node] = m
			}
		}
	}
	return sent
}

// findEffect returns the first effect of type E of the last input.
func findEffect[E Effect](d *testRegistrar) (found E, ok bool) {
	for _, effect := range d.effects {
		if e, is := effect.(E); is {
			return e, true
		}
	}
	return found, false
}

func (d *testRegistrar) expectState(when string, want UpstreamState) {
	d.t.Helper()
	if got := d.state.backend.state; got != want {
		d.t.Errorf("%s: the backend server is %v, expected %v", when, got, want)
	}
}

// Guards against a late registration that overrides a newer one, a deregistration, or the registration of a new
// incarnation.
func TestRegistrationsAreOrdered(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	d.register("a", born, 2, false)
	d.expectState("first registration", UpstreamReady)
	d.register("a", born, 4, true)
	d.expectState("draining", UpstreamDraining)
	d.register("a", born, 3, false)
	d.expectState("a registration from before the drain", UpstreamDraining)
	d.register("a", born, 5, false)
	d.expectState("ready again with a later registration", UpstreamReady)
	d.now = time.Second
	d.reduce(BackendDeregistered{Instance: "a", Born: born})
	d.register("a", born, 6, false)
	d.expectState("a registration of an incarnation that has deregistered", UpstreamDraining)
	d.register("a", born+2000, 1, false)
	d.expectState("a new incarnation under the same name", UpstreamReady)
	d.reduce(BackendDeregistered{Instance: "a", Born: born})
	d.expectState("a deregistration of the earlier incarnation", UpstreamReady)
	d.register("old", born-1, 9, true)
	d.expectState("a registration of an earlier incarnation", UpstreamReady)
	d.reduce(BackendDeregistered{Instance: "old"})
	d.expectState("a deregistration of another incarnation, without its start time", UpstreamReady)
}

// Guards against a registration of another writer, without a start time or a sequence, that puts a draining backend server
// into use again.
func TestRegistrationThatCannotBeOrderedChangesNothing(t *testing.T) {
	const born = processStart + 1
	for _, odd := range []BackendRegistered{{Born: 0, Sequence: 0}, {Born: 0, Sequence: 99}, {Born: born, Sequence: 0}} {
		d := newTestRegistrar(t)
		d.register("a", born, 1, false)
		d.register("a", born, 2, true)
		d.register("a", odd.Born, odd.Sequence, false)
		d.expectState("after an odd registration", UpstreamDraining)
	}
	d := newTestRegistrar(t)
	d.register("a", 0, 0, false)
	d.register("a", 0, 0, true)
	d.expectState("without any start time or sequence, in order of arrival", UpstreamDraining)
}
