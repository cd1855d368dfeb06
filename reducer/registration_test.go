package reducer

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
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

// Guards against a restarted node that acknowledges a deregistration of an incarnation that it does not know, and later
// takes an older registration of it for the newest (ljosaskodun-hq, trouble-2, seed 113356663093): the deregistration did
// not give the start time of the incarnation, and the store did not keep it.
func TestDeregistrationOfUnknownIncarnationIsRemembered(t *testing.T) {
	const born = processStart - 5000
	d := newTestRegistrar(t)
	d.now = 500 * time.Millisecond
	d.reduce(BackendDeregistered{Instance: "a", Exchange: 8})
	d.reduce(DeregistrationStored{Exchange: 8, Instance: "a", Result: StoreUnknown})
	d.now = 3 * time.Second
	d.register("a", born, 13, false)
	d.reduce(DeregistrationRead{Instance: "a", Result: StoreAbsent})
	d.register("a", born, 14, false)
	d.expectState("registrations of an incarnation that has deregistered", UpstreamNone)
	d.register("b", processStart+100, 1, false)
	d.expectState("another incarnation that started before the deregistration arrived", UpstreamReady)
}

// Guards against a deregistration that is acknowledged before it is stored, so that a restarted node does not know it, and
// against one that is never acknowledged while the store is unavailable.
func TestDeregistrationIsStoredBeforeItIsAcknowledged(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	d.register("a", born, 1, false)
	if _, ok := findEffect[AcknowledgeBackend](d); !ok {
		t.Error("a registration is not acknowledged at once")
	}
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 8})
	if _, ok := findEffect[AcknowledgeBackend](d); ok {
		t.Error("a deregistration is acknowledged before it is stored")
	}
	d.expectState("after the deregistration", UpstreamDraining)
	d.reduce(DeregistrationStored{Exchange: 8, Instance: "a", At: born, Result: StoreOK})
	if ack, _ := findEffect[AcknowledgeBackend](d); ack.Exchange != 8 {
		t.Error("a stored deregistration is not acknowledged")
	}
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 9})
	if _, again := findEffect[StoreDeregistration](d); again {
		t.Error("a stored deregistration is written again")
	}
}

// Guards against a deregistration that is acknowledged although it is kept nowhere but in this process (review/10): after a restart of the
// process a late registration put the backend server into use again.
func TestDeregistrationThatIsKeptNowhereIsRefused(t *testing.T) {
	const born = processStart + 1
	for name, leave := range map[string]func(d *testRegistrar){
		"deregisters": func(d *testRegistrar) { d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 7}) },
		"drains":      func(d *testRegistrar) { d.register("a", born, 2, true) },
	} {
		d := newTestRegistrar(t)
		d.register("a", born, 1, false)
		d.now = time.Second
		leave(d)
		d.expectState(name, UpstreamDraining)
		d.reduce(DeregistrationStored{Exchange: 7, Instance: "a", At: born, Result: StoreUnknown})
		for range 10 { // backend servers wait 1 s for the answer
			if ack, answered := findEffect[AcknowledgeBackend](d); answered {
				if !ack.Refused || ack.Exchange != 7 {
					t.Errorf("%s: acknowledged as %+v while the store is unavailable and there is no other node", name, ack)
				}
				break
			}
			d.now += 100 * time.Millisecond
			d.reduce(TimerDue{})
		}
		if d.now >= 2*time.Second {
			t.Errorf("%s: no answer within 1 s", name)
		}
		d.expectState(name+", refused", UpstreamDraining)
		d.reduce(DeregistrationStored{Instance: "a", At: born, Result: StoreOK})
		d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 9})
		if ack, _ := findEffect[AcknowledgeBackend](d); ack != (AcknowledgeBackend{Exchange: 9}) {
			t.Errorf("%s: repeated after the record was stored, it is answered with %+v", name, ack)
		}
	}
}

// Guards against a deregistration that no backend server gets acknowledged in an outage of the store, and against one that is forgotten by a
// restart in it (review/10): other nodes hold it until the store has it.
func TestOtherNodesHoldDeregistrationWhileTheStoreIsAway(t *testing.T) {
	const born = processStart - 5000
	left := deregistration.Record{Instance: "a", At: born}
	d := newTestRegistrar(t)
	peers := d.addPeers("p1", "p2", "p3", "p4")
	d.now = 10 * time.Second
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 7})
	d.reduce(DeregistrationStored{Exchange: 7, Instance: "a", At: born, Result: StoreUnknown})
	asked := sentMessages[HoldDeregistrations](d)
	if len(asked) != askedHolders {
		t.Fatalf("%d nodes are asked to hold the deregistration, expected %d", len(asked), askedHolders)
	}
	for i, node := range sortedKeys(asked)[:2] {
		if _, early := findEffect[AcknowledgeBackend](d); early {
			t.Errorf("acknowledged when %d other nodes hold it", i)
		}
		d.reduce(PeerMessage{From: peers[node], Message: DeregistrationsHeld{Records: asked[node].Records}})
	}
	if ack, _ := findEffect[AcknowledgeBackend](d); ack != (AcknowledgeBackend{Exchange: 7}) {
		t.Errorf("answered with %+v when two other nodes hold it", ack)
	}
	again := newTestRegistrar(t)
	again.addPeers("p1", "p2", "p3", "p4")
	again.register("a", born, 3, false)
	for _, node := range sortedKeys(asked)[:2] {
		if _, ok := sentMessages[HoldDeregistrations](again)[node]; !ok {
			t.Errorf("the process that follows does not ask %s", node)
		}
	}
	again.reduce(DeregistrationRead{Instance: "a", Result: StoreAbsent})
	again.expectState("before any holder has answered", UpstreamNone)
	again.reduce(PeerMessage{From: peers[sortedKeys(asked)[0]], Message: DeregistrationsHeld{Records: []deregistration.Record{left}}})
	again.now = 5 * time.Second
	again.register("a", born, 4, false)
	again.expectState("a late registration", UpstreamNone)
	if stored, ok := findEffect[StoreDeregistration](again); ok && (stored.Instance != "a" || stored.At != born) {
		t.Errorf("the process that follows stores %+v", stored)
	}
}

// Guards against a node that restarts after it acknowledged a deregistration and takes an earlier registration for the
// newest: calls would reach the backend server after its drain time.
func TestRestartedNodeAsksForDeregistration(t *testing.T) {
	const born = processStart - 5000
	for _, c := range []struct {
		name   string
		result StoreResult
		want   UpstreamState
	}{
		{"has deregistered", StoreOK, UpstreamDraining},
		{"has not deregistered", StoreAbsent, UpstreamReady},
	} {
		d := newTestRegistrar(t)
		d.register("a", born, 10, false)
		d.expectState("before the store has answered", UpstreamNone)
		if ask, ok := findEffect[ReadDeregistration](d); !ok || ask.Instance != "a" {
			t.Fatal("the store is not asked")
		}
		d.reduce(DeregistrationRead{Instance: "a", At: processStart - 1000, Result: c.result})
		d.expectState("before other nodes had time to say that they hold its deregistration", UpstreamNone)
		d.now = time.Second
		d.reduce(TimerDue{})
		if c.result == StoreOK {
			d.register("a", born, 11, false)
		}
		if got := d.state.backend.state; got != c.want && !(c.want == UpstreamDraining && got == UpstreamNone) {
			t.Errorf("%s: the backend server is %v, expected %v", c.name, got, c.want)
		}
	}
	again := newTestRegistrar(t)
	again.register("a", born, 1, false)
	again.reduce(DeregistrationRead{Instance: "a", At: born - 1, Result: StoreOK})
	again.now = time.Second
	again.reduce(TimerDue{})
	again.expectState("an incarnation that started after the one of the same name deregistered", UpstreamReady)
	d := newTestRegistrar(t)
	d.register("a", born, 10, false)
	d.reduce(DeregistrationRead{Instance: "a", Result: StoreUnknown})
	d.register("a", born, 10, false)
	d.expectState("the same registration again while the store is unavailable", UpstreamNone)
	d.register("a", born, 11, false)
	d.expectState("a later registration while the store is unavailable", UpstreamNone)
}

// Guards against registrations of before a deregistration that arrive late, one after the other, and count as proof that the backend server has
// not deregistered (review/7): the answer of the store, which names the deregistration, was dropped.
func TestLateRegistrationsProveNothing(t *testing.T) {
	const born = processStart - 5000
	d := newTestRegistrar(t)
	d.now = time.Second
	for sequence := uint64(8); sequence < 12; sequence++ {
		d.register("a", born, sequence, false)
		d.expectState("a late registration", UpstreamNone)
		d.now += time.Millisecond
	}
	d.reduce(DeregistrationRead{Instance: "a", At: born, Result: StoreOK})
	d.register("a", born, 12, false)
	d.now += time.Second
	d.reduce(TimerDue{})
	d.expectState("after the answer of the store", UpstreamNone)
}

// Guards against a backend server that is never used after a restart of its node because the store is away for long, and against the answer of
// the store that comes when it is in use and is not heeded.
func TestBackendServerIsUsedWithoutTheStoreOnceItsRegistrationCannotBeLate(t *testing.T) {
	const born = processStart - 5000
	d := newTestRegistrar(t)
	for sequence := uint64(1); d.now < deregistration.MaxDelay; sequence++ {
		d.register("a", born, sequence, false)
		d.reduce(DeregistrationRead{Instance: "a", Result: StoreUnknown})
		d.expectState("while its registration may be late", UpstreamNone)
		d.now += time.Second
	}
	d.register("a", born, 100, false)
	d.expectState("later", UpstreamReady)
	d.register("a", born, 101, false)
	if _, asked := findEffect[ReadDeregistration](d); !asked {
		t.Error("the store is not asked any more")
	}
	d.reduce(DeregistrationRead{Instance: "a", At: born, Result: StoreOK})
	d.expectState("when the store answers that it has deregistered", UpstreamDraining)
}

// Guards against the store's word after an outage that no node outlived: those that held the record have ended.
func TestOutageThatNoNodeOutlivedLeavesADoubt(t *testing.T) {
	const born = processStart - 5000
	for name, older := range map[string]bool{"all nodes are new": false, "an older node answers": true} {
		d := newTestRegistrar(t)
		peers := d.addPeers("p1")
		d.now = 500 * time.Millisecond
		d.register("a", born, 8, false)
		from := peers["p1"]
		if !older {
			from.Incarnation = Incarnation(processStart*time.Millisecond) + 1
		}
		d.reduce(PeerMessage{From: from, Message: DeregistrationsHeld{}})
		d.reduce(DeregistrationRead{Instance: "a", Result: StoreUnknown})
		d.now = 2 * time.Second
		d.register("a", born, 9, false)
		d.reduce(DeregistrationRead{Instance: "a", Result: StoreAbsent})
		if want := map[bool]UpstreamState{false: UpstreamNone, true: UpstreamReady}[older]; d.state.backend.state != want {
			t.Errorf("%s: the backend server is %v, expected %v", name, d.state.backend.state, want)
		}
	}
}

// Guards against the deregistration of a backend server that started again under its instance and is not stored, because one
// of an earlier incarnation is: after a restart of the node a late registration put it into use again.
func TestEachIncarnationStoresItsDeregistration(t *testing.T) {
	const first, second = processStart + 1, processStart + 2000
	for name, leave := range map[string]func(d *testRegistrar, born int64){
		"deregisters": func(d *testRegistrar, born int64) {
			d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 8})
		},
		"deregisters without its start": func(d *testRegistrar, _ int64) { d.reduce(BackendDeregistered{Instance: "a", Exchange: 8}) },
		"drains":                        func(d *testRegistrar, born int64) { d.register("a", born, 9, true) },
	} {
		d := newTestRegistrar(t)
		for _, born := range []int64{first, second} {
			d.register("a", born, 1, false)
			leave(d, born)
			stored, ok := findEffect[StoreDeregistration](d)
			if !ok || stored.At < born {
				t.Errorf("%s: the deregistration of the incarnation of %d is stored as %+v (%v)", name, born, stored, ok)
			}
			d.reduce(DeregistrationStored{Exchange: stored.Exchange, Instance: "a", At: stored.At, Result: StoreOK})
			d.now += time.Second
			leave(d, born)
			if _, again := findEffect[StoreDeregistration](d); again {
				t.Errorf("%s: a stored deregistration is written again", name)
			}
		}
	}
}

// Guards against a deregistration that the store did not take and that is not written again: the process may end while the
// backend server goes on.
func TestUnstoredDeregistrationIsWrittenAgain(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	d.register("a", born, 1, false)
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 8})
	d.reduce(DeregistrationStored{Exchange: 8, Instance: "a", At: born, Result: StoreUnknown})
	for i := range 3 {
		d.now += deregistrationRetryInterval
		d.reduce(TimerDue{})
		retry, ok := findEffect[StoreDeregistration](d)
		if !ok || retry.Instance != "a" || retry.At != born {
			t.Fatalf("retry %d writes %+v (%v)", i, retry, ok)
		}
		d.reduce(DeregistrationStored{Instance: "a", At: born, Result: StoreUnknown})
	}
	d.now += deregistrationRetryInterval
	d.reduce(TimerDue{})
	d.reduce(DeregistrationStored{Instance: "a", At: born, Result: StoreOK})
	d.now += 10 * deregistrationRetryInterval
	d.reduce(TimerDue{})
	if _, again := findEffect[StoreDeregistration](d); again {
		t.Error("a stored deregistration is written again")
	}
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

// Guards against records in the store that are removed while a registration of before may still be on its way, or never.
func TestRecordsAreRemovedAfterTheRetention(t *testing.T) {
	d := newTestRegistrar(t)
	removed := map[string]bool{}
	lists := 0
	for d.now = 0; d.now < 2*time.Hour; d.now += time.Minute {
		d.reduce(TimerDue{})
		if _, listed := findEffect[ListDeregistrations](d); !listed {
			continue
		}
		lists++
		now := d.state.wallClockMillis()
		young, old := now-(10*time.Minute).Milliseconds(), now-(12*time.Minute).Milliseconds()
		d.reduce(DeregistrationsListed{Result: StoreOK, Records: []StoredDeregistration{{"young", young, 1}, {"old", old, 2}, {"ahead", now + 5000, 3}}})
		removal, _ := findEffect[RemoveDeregistrations](d)
		for _, r := range removal.Records {
			removed[r.Instance] = true
		}
	}
	if len(removed) != 1 || !removed["old"] || lists < 6 || lists > 30 {
		t.Errorf("in 2 h %d listings, of which %v were removed", lists, removed)
	}
}

// Guards against a clock that was set back between the start of the backend server and that of the process: the backend server seemed to be the
// younger one, and the store was not asked whether it has deregistered.
func TestClockThatWasSetBackHidesNoDeregistration(t *testing.T) {
	const born = processStart + 5000
	d := newTestRegistrar(t)
	d.register("a", born, 8, false)
	if ask, ok := findEffect[ReadDeregistration](d); !ok || ask.Instance != "a" {
		t.Error("the store is not asked")
	}
	d.reduce(DeregistrationRead{Instance: "a", At: born, Result: StoreOK})
	d.expectState("when the store answers that it has deregistered", UpstreamDraining)
	d.register("b", processStart+60_000, 1, false)
	if _, asked := findEffect[ReadDeregistration](d); asked {
		t.Error("the store is asked about a backend server that started a minute after the process")
	}
}

// Guards against a registration that is held back for ever, with a timer that fires ten times a second, when the backend server sends no other one, and
// against its use when the store answers much later.
func TestRegistrationThatIsHeldBackLapses(t *testing.T) {
	d := newTestRegistrar(t)
	d.now = time.Second
	d.register("a", processStart-5000, 8, false)
	d.reduce(DeregistrationRead{Instance: "a", Result: StoreUnknown})
	for d.now < time.Second+2*defaultRegistrationTTL {
		d.now += inquiryInterval
		d.reduce(TimerDue{})
	}
	if _, pending := d.state.timers.byKey[timerKey{kind: timerDeregistrationInquiry}]; pending {
		t.Error("the inquiry goes on")
	}
	d.reduce(DeregistrationRead{Instance: "a", Result: StoreAbsent})
	d.now += time.Second
	d.reduce(TimerDue{})
	d.expectState("when the store answers after the registration has lapsed", UpstreamNone)
}

// Guards against a deregistration that nobody holds any more in a long outage of the store, because the nodes that held it started again one after the
// other.
func TestHoldersThatStartAgainAreAskedAgain(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	peers := d.addPeers("p1", "p2", "p3")
	d.register("a", born, 1, false)
	d.now = time.Second
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 7})
	d.reduce(DeregistrationStored{Exchange: 7, Instance: "a", At: born, Result: StoreUnknown})
	for node, hold := range sentMessages[HoldDeregistrations](d) {
		d.reduce(PeerMessage{From: peers[node], Message: DeregistrationsHeld{Records: hold.Records}})
	}
	again := d.state.members.table["p2"]
	again.Incarnation++
	d.state.members.put(again)
	d.now += deregistrationRetryInterval
	d.reduce(TimerDue{})
	asked := sentMessages[HoldDeregistrations](d)
	if want := (deregistration.Record{Instance: "a", At: born}); len(asked) != 1 || len(asked["p2"].Records) != 1 || asked["p2"].Records[0] != want {
		t.Errorf("asked %+v, expected the node that started again alone", asked)
	}
}
