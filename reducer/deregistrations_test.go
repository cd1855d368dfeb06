package reducer

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

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
	d.now = joinTimeout // the process knows by then that there is no other node to hold the deregistration
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

// Guards against a deregistration that a process confirms on the word of the store alone before it knows the other nodes: the
// store may be restored from a copy that lacks it, and the next process then finds it nowhere.
func TestProcessThatHasJustStartedWaitsForAHolder(t *testing.T) {
	const born = processStart + 1
	for name, hold := range map[string]bool{"another node holds it": true, "no other node is found": false} {
		d := newTestRegistrar(t)
		d.register("a", born, 1, false)
		d.now = 5 * time.Millisecond
		d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 8})
		d.reduce(DeregistrationStored{Exchange: 8, Instance: "a", At: born, Result: StoreOK})
		if _, early := findEffect[AcknowledgeBackend](d); early {
			t.Errorf("%s: confirmed on the word of the store", name)
		}
		want := deregistrationOverdueAfter
		if hold {
			peers := d.addPeers("p1", "p2", "p3")
			d.now += copyRenewalInterval
			d.reduce(TimerDue{})
			for node, hold := range sentMessages[HoldDeregistrations](d) {
				d.reduce(PeerMessage{From: peers[node], Message: DeregistrationsHeld(hold)})
				want = 0
				break
			}
		}
		d.now += want
		d.reduce(TimerDue{})
		if hold == (want > 0) {
			t.Errorf("%s: other nodes were asked: %v", name, want == 0)
		}
		d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 9})
		if ack, _ := findEffect[AcknowledgeBackend](d); ack != (AcknowledgeBackend{Exchange: 9}) {
			t.Errorf("%s: a repetition is answered with %+v", name, ack)
		}
	}
}

// Guards against a deregistration that is acknowledged although it is kept nowhere but in this process (review/10):
// after a restart of the process a late registration put the backend server into use again.
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

// Guards against a deregistration that no backend server gets acknowledged in an outage of the store, and against one
// that is forgotten by a restart in it (review/10): other nodes hold it until the store has it.
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

// Guards against the deregistration of a backend server that started again under its instance and is not stored,
// because one of an earlier incarnation is: after a restart of the node a late registration put it into use again.
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

// Guards against a deregistration that nobody holds any more in a long outage of the store, because the nodes that
// held it started again one after the other.
func TestHoldersThatStartAgainAreAskedAgain(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	peers := d.addPeers("p1", "p2", "p3")
	d.register("a", born, 1, false)
	d.now = time.Second
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 7})
	d.reduce(DeregistrationStored{Exchange: 7, Instance: "a", At: born, Result: StoreUnknown})
	for node, hold := range sentMessages[HoldDeregistrations](d) {
		d.reduce(PeerMessage{From: peers[node], Message: DeregistrationsHeld(hold)})
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

// Guards against a drain that counts as a deregistration for good once other nodes hold it: the registrations that follow
// would count as late, and the backend server as down while it still runs requests.
func TestDrainThatOtherNodesHoldIsNotFinal(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	peers := d.addPeers("p1", "p2", "p3")
	d.register("a", born, 1, false)
	d.register("a", born, 2, true)
	d.reduce(DeregistrationStored{Exchange: 7, Instance: "a", At: born, Result: StoreUnknown})
	for node, hold := range sentMessages[HoldDeregistrations](d) {
		d.reduce(PeerMessage{From: peers[node], Message: DeregistrationsHeld(hold)})
	}
	for sequence := uint64(3); sequence < 10; sequence++ {
		d.now += time.Second
		d.register("a", born, sequence, true)
		if ack, _ := findEffect[AcknowledgeBackend](d); ack != (AcknowledgeBackend{Exchange: 7}) {
			t.Errorf("registration %d is answered with %+v", sequence, ack)
		}
		d.expectState("while it drains", UpstreamDraining)
	}
}

// Guards against a store that is asked twice a second for as long as an outage lasts, and against a deregistration that is
// written after no registration can be late any more.
func TestAttemptsToStoreBecomeRareAndEnd(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	d.reduce(BackendDeregistered{Instance: "a", Born: born})
	attempts := map[time.Duration]int{} // by minute
	for d.now = 0; d.now < 20*time.Minute; d.now += 100 * time.Millisecond {
		if _, stores := findEffect[StoreDeregistration](d); stores {
			attempts[d.now.Truncate(time.Minute)]++
			d.reduce(DeregistrationStored{Instance: "a", At: born, Result: StoreUnknown})
		}
		d.reduce(TimerDue{})
	}
	if attempts[0] < 10 || attempts[5*time.Minute] > 13 || attempts[5*time.Minute] == 0 || attempts[15*time.Minute] > 0 {
		t.Errorf("attempts by minute: %v", attempts)
	}
}
