package reducer

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

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

// Guards against registrations of before a deregistration that arrive late, one after the other, and count as proof
// that the backend server has not deregistered (review/7): the answer of the store, which names the deregistration,
// was dropped.
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

// Guards against a backend server that is never used after a restart of its node because the store is away for long,
// and against the answer of the store that comes when it is in use and is not heeded.
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

// Guards against a clock that was set back between the start of the backend server and that of the process: the
// backend server seemed to be the younger one, and the store was not asked whether it has deregistered.
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

// Guards against a registration that is held back for ever, with a timer that fires ten times a second, when the
// backend server sends no other one, and against its use when the store answers much later.
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
