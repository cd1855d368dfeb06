package reducer

import (
	"slices"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// eraNode is a node without others and without a version, which reads the store again and again.
type eraNode struct {
	t     *testing.T
	state *State
	now   time.Duration
}

func newEraNode(t *testing.T) *eraNode {
	n := &eraNode{t, New(Config{Self: "n", Zone: "z", Address: "10.0.0.1:7", Incarnation: 1, Discover: true, Limits: DefaultLimits()}), joinTimeout}
	Reduce(n.state, Event{Now: n.now, Input: TimerDue{}})
	n.now += startupReadJitter
	n.answer(1, StoreRead{Result: StoreAbsent, Revision: 150})
	return n
}

// answer passes an answer of the store on and returns the effects of it and of the next 2 s.
func (n *eraNode) answer(era uint64, in StoreAnswer) []Effect {
	effects := Reduce(n.state, Event{Now: n.now, Input: StoreAnswered{Era: era, Answer: in}})
	for range 20 {
		n.now += 100 * time.Millisecond
		effects = append(effects, Reduce(n.state, Event{Now: n.now, Input: TimerDue{}})...)
	}
	return effects
}

// Guards against a watch that goes on from a revision of an earlier era when any answer, of whatever call, shows the new one.
func TestAnyAnswerBeginsAnEra(t *testing.T) {
	for name, in := range map[string]StoreAnswer{
		"read": StoreRead{Result: StoreAbsent, Revision: 120}, "lease": LeaseGranted{Result: StoreOK, Lease: 3}, "list": NodesListed{Result: StoreOK},
		"lease that is gone": LeaseRenewed{Result: StoreNoLease, Lease: 2}, "leave": DeregistrationStored{Instance: "a", At: 1, Result: StoreOK},
	} {
		n := newEraNode(t)
		n.answer(1, LeaseGranted{Result: StoreOK, Lease: 2})
		if after := n.state.config.reader.watchedAfter; after != (storeera.Revision{Era: 1, Number: 150}) {
			t.Fatalf("%s: the watch is after %+v", name, after)
		}
		effects := n.answer(2, in)
		if !slices.Contains(effects, Effect(EndWatch{})) || n.state.storeEra.Current() != 2 || n.state.platform.lease == 2 {
			t.Errorf("%s: in era %d the watch or the lease of the era before goes on: %+v", name, n.state.storeEra.Current(), effects)
		}
		if !n.state.config.reader.read.inFlight {
			t.Errorf("%s: the store is not read: %+v", name, effects)
		}
		n.answer(2, StoreRead{Result: StoreAbsent, Revision: 121})
		if after := n.state.config.reader.watchedAfter; after != (storeera.Revision{Era: 2, Number: 121}) && name != "read" {
			t.Errorf("%s: the watch is after %+v", name, after)
		}
	}
}

// Guards against a node that does not know the new era yet and writes the state of a roll-out again that another node has written
// in it, as one of its own earlier era.
func TestStateOfALaterEraIsNotRestored(t *testing.T) {
	n := newEraNode(t)
	for era, want := range map[uint64]bool{1: false, 2: false, 0: true} {
		n.state.rollouts = rolloutState{stored: map[string]rollout.Stored{}}
		n.state.rollouts.view.Apply(rollout.Update{Service: "s", Version: "v2", State: rollout.RolledBack, Era: era, Revision: 5, Order: 3}, n.now)
		if got := n.state.hasRolloutWork("s"); got != want {
			t.Errorf("state of era %d in era 1: there is something to decide: %v", era, got)
		}
	}
}

// Guards against answers that were given in an earlier era, or partly in it, and arrive in the new one.
func TestLateAnswersOfAnEraAreDropped(t *testing.T) {
	n := newEraNode(t)
	n.answer(2, StoreRead{Result: StoreAbsent, Revision: 120})
	n.answer(1, StoreRead{Result: StoreAbsent, Revision: 170})
	if revision := n.state.config.reader.revision; revision != (storeera.Revision{Era: 2, Number: 120}) {
		t.Errorf("the revision is %+v", revision)
	}
	n.answer(1, LeaseGranted{Result: StoreOK, Lease: 9})
	if n.state.platform.lease == 9 {
		t.Error("a lease of an earlier era is taken")
	}
	Reduce(n.state, Event{Now: n.now, Input: StoreAnswered{Era: 3, Mixed: true, Answer: LeaseGranted{Result: StoreOK, Lease: 9}}})
	if n.state.platform.lease == 9 || n.state.storeEra.Current() != 3 {
		t.Error("the result of a call across two eras is taken, or the later one is not noticed")
	}
	before := n.state.config.reader.revision
	Reduce(n.state, Event{Now: n.now, Input: StoreAnswered{Era: 3, Answer: StoreRead{Result: StoreUnchanged, Watch: true, After: storeera.Revision{Era: 1, Number: 150}, Revision: 190}}})
	if n.state.config.reader.revision != before {
		t.Error("the result of a watch from an earlier era is taken")
	}
}
