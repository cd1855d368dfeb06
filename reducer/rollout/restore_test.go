package rollout

import (
	"testing"
	"time"
)

// Guards against a state of before a restore of the store that replaces a later one because its number is higher, and against a
// halt that ends when the roll-out is written again under another order.
func TestStatesOfTwoEras(t *testing.T) {
	v := syncedView(Update{Era: 1, Revision: 150, Version: "v2", From: "v1", State: Running, Order: 140, Halted: true})
	for _, c := range []struct {
		update  Update
		applied bool
	}{
		{Update{Era: 2, Revision: 120}, true},              // restored before its order is known
		{Update{Era: 1, Revision: 151, Order: 140}, false}, // of the decider of before
		{Update{Era: 2, Revision: 121, Order: 110}, true},  // its order is known
	} {
		c.update.Service, c.update.Version, c.update.From, c.update.State = "s", "v2", "v1", Running
		if got := v.Apply(c.update, 0); got != c.applied || !v.Update("s").Halted {
			t.Errorf("%+v: applied %v, halted %v", c.update, got, v.Update("s").Halted)
		}
	}
	v.Apply(Update{Service: "s", Version: "v2", From: "v1", State: Running, Era: 2, Revision: 130, Order: 125}, 0)
	if v.Update("s").Halted {
		t.Error("a later order does not end the halt")
	}
}

// Guards against a success that counts a node which has applied only a state of an earlier era, with a higher number.
func TestReportOfAnEarlierEraProvesNothing(t *testing.T) {
	stored := Stored{Duration: 12 * time.Second, Revision: 9}
	stored.Update = Update{Service: "s", Version: "v2", From: "v1", State: Running, Era: 2, Revision: 9}.atStep(finalStep)
	for era, want := range map[uint64]bool{1: false, 2: true} {
		d := NewDecider(testSettings, stored, Node{ID: "d"}, 0)
		d.Observe(0, "a", "z", Report{Era: era, Revision: 8 + 70/era/era, Upstream: "v2"})
		if got := d.oldIsUnused(Situation{Now: time.Second, Members: []Member{{ID: "a"}}, LongCall: time.Second}); got != want {
			t.Errorf("era %d: old version unused %v", era, got)
		}
	}
}

// Guards against a restored state that takes an order of before for its own, and so ignores a later one with a lower number.
func TestRestoredStateHasAnOrderOfItsEra(t *testing.T) {
	held := Stored{Revision: 7, Status: Status{State: RolledBack, Version: "v2"}}
	held.Update = Update{Service: "s", Version: "v2", From: "v1", State: RolledBack, Era: 1, Revision: 150, Order: 140, Decider: Node{ID: "a"}}
	self := Node{ID: "b"}
	for name, c := range map[string]struct {
		order   Order
		ordered bool
		want    uint64
	}{
		"written again": {Order{Service: "s", Version: "v2", Revision: 110}, true, 110},
		"another":       {Order{Service: "s", Version: "v3", Revision: 110}, true, 0},
		"missing":       {Order{}, false, 0},
	} {
		got := Restore(held, c.order, c.ordered, self)
		if got.Update.Order != c.want || got.Update.Decider != self || got.Update.State != RolledBack || got.Revision != held.Revision {
			t.Errorf("%s: %+v", name, got)
		}
	}
	passed := held.Update
	passed.Revision, passed.Version, passed.State = 160, "v3", Running
	if s := (Stored{Revision: 7}).With(passed, time.Minute, 99); s.Update != passed || s.Revision != 7 || s.Status.Version != "v3" || s.StartedAt != 99 || s.Duration != time.Minute {
		t.Errorf("a state that only other nodes know is %+v", s)
	}
}
