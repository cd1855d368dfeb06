package reducer

import (
	"testing"
	"time"
)

// testRegistrar drives the registrations of the backend server beside one node. Its process starts at processStart.
type testRegistrar struct {
	t       *testing.T
	state   *State
	now     time.Duration
	effects []Effect
}

// processStart is the start of the test's process in Unix milliseconds.
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

func (d *testRegistrar) registers(instance string, born int64, sequence uint64, draining bool) {
	d.reduce(BackendRegistered{
		Service: "s", Address: "127.0.0.1:1", Slots: 2, Instance: instance, Born: born, Sequence: sequence, Draining: draining, Exchange: 7,
	})
}

// has reports whether the last input had an effect of the same type.
func has[E Effect](d *testRegistrar) (found E, ok bool) {
	for _, effect := range d.effects {
		if e, is := effect.(E); is {
			return e, true
		}
	}
	return found, false
}

func (d *testRegistrar) expect(when string, want UpstreamState) {
	d.t.Helper()
	if got := d.state.backend.state; got != want {
		d.t.Errorf("%s: the backend server is %v, expected %v", when, got, want)
	}
}

// Guards against a late registration that undoes a newer one, a leave, or the start of a new life.
func TestRegistrationsAreOrdered(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	d.registers("a", born, 2, false)
	d.expect("first registration", UpstreamReady)
	d.registers("a", born, 4, true)
	d.expect("draining", UpstreamDraining)
	d.registers("a", born, 3, false)
	d.expect("a registration from before the drain", UpstreamDraining)
	d.registers("a", born, 5, false)
	d.expect("ready again with a later registration", UpstreamReady)
	d.now = time.Second
	d.reduce(BackendDeregistered{Instance: "a", Born: born})
	d.registers("a", born, 6, false)
	d.expect("a registration of a life that has left", UpstreamDraining)
	d.registers("a", born+2000, 1, false)
	d.expect("a new life under the same name", UpstreamReady)
	d.reduce(BackendDeregistered{Instance: "a", Born: born})
	d.expect("a leave of the earlier life", UpstreamReady)
	d.registers("old", born-1, 9, true)
	d.expect("a registration of an earlier life", UpstreamReady)
	d.reduce(BackendDeregistered{Instance: "old"})
	d.expect("a leave of another life that does not say when it was born", UpstreamReady)
}

// Guards against a node that restarts, acknowledges a leave of a life that it has not heard of, and takes an older
// registration of it for the newest (ljosaskodun-hq, trouble-2, seed 113356663093): the leave does not say when
// the life was born, and the store did not keep it.
func TestLeaveOfAnUnknownLifeIsRemembered(t *testing.T) {
	const born = processStart - 5000
	d := newTestRegistrar(t)
	d.now = 500 * time.Millisecond
	d.reduce(BackendDeregistered{Instance: "a", Exchange: 8})
	d.reduce(DeregistrationStored{Exchange: 8, Result: StoreUnknown})
	d.now = 3 * time.Second
	d.registers("a", born, 13, false)
	d.reduce(DeregistrationRead{Instance: "a", Result: StoreAbsent})
	d.registers("a", born, 14, false)
	d.expect("registrations of a life that has left", UpstreamNone)
	d.registers("b", processStart+100, 1, false)
	d.expect("another life that was born before the leave arrived", UpstreamReady)
}

// Guards against a leave that is acknowledged before anybody beside this process knows of it, and against one that is
// never acknowledged while the store is away.
func TestLeaveIsKeptBeforeItIsAcknowledged(t *testing.T) {
	const born = processStart + 1
	d := newTestRegistrar(t)
	d.registers("a", born, 1, false)
	if _, ok := has[AcknowledgeBackend](d); !ok {
		t.Error("a registration is not acknowledged at once")
	}
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 8})
	if _, ok := has[AcknowledgeBackend](d); ok {
		t.Error("a leave is acknowledged before it is kept")
	}
	d.expect("leaving", UpstreamDraining)
	d.reduce(DeregistrationStored{Exchange: 8, Result: StoreOK})
	if ack, _ := has[AcknowledgeBackend](d); ack.Exchange != 8 {
		t.Error("a leave that is kept is not acknowledged")
	}
	d.reduce(BackendDeregistered{Instance: "a", Born: born, Exchange: 9})
	if _, again := has[StoreDeregistration](d); again {
		t.Error("a leave that is kept is written again")
	}
	d.registers("b", born+1, 1, true)
	d.reduce(DeregistrationStored{Exchange: 7, Result: StoreUnknown})
	d.now += leaveKeepWait
	d.reduce(TimerDue{})
	if ack, _ := has[AcknowledgeBackend](d); ack.Exchange != 7 {
		t.Error("a drain is not acknowledged while the store is away")
	}
}

// Guards against a node that restarts after it acknowledged a leave and takes a registration from before it for the
// newest: work would reach the backend server after its drain time.
func TestRestartedNodeAsksForLeave(t *testing.T) {
	const born = processStart - 5000
	for _, c := range []struct {
		name   string
		result StoreResult
		want   UpstreamState
	}{
		{"left", StoreOK, UpstreamDraining},
		{"not left", StoreAbsent, UpstreamReady},
	} {
		d := newTestRegistrar(t)
		d.registers("a", born, 10, false)
		d.expect("before the store has answered", UpstreamNone)
		if ask, ok := has[ReadDeregistration](d); !ok || ask.Instance != "a" {
			t.Fatal("the store is not asked")
		}
		d.reduce(DeregistrationRead{Instance: "a", At: processStart - 1000, Result: c.result})
		if c.result == StoreOK {
			d.registers("a", born, 11, false)
		}
		if got := d.state.backend.state; got != c.want && !(c.want == UpstreamDraining && got == UpstreamNone) {
			t.Errorf("%s: the backend server is %v, expected %v", c.name, got, c.want)
		}
	}
	again := newTestRegistrar(t)
	again.registers("a", born, 1, false)
	again.reduce(DeregistrationRead{Instance: "a", At: born - 1, Result: StoreOK})
	again.expect("a life that was born after the one of the same name left", UpstreamReady)
	d := newTestRegistrar(t)
	d.registers("a", born, 10, false)
	d.reduce(DeregistrationRead{Instance: "a", Result: StoreUnknown})
	d.registers("a", born, 10, false)
	d.expect("the same registration again while the store is away", UpstreamNone)
	d.registers("a", born, 11, false)
	d.expect("a later registration while the store is away", UpstreamReady)
}
