package rollout

import (
	"math"
	"testing"
	"time"
)

var twoVersions = []Upstream{{Version: "v1", Started: 1}, {Version: "v2", Started: 2}}

func syncedView(u Update) *View {
	v := &View{Silence: 5 * time.Second}
	v.SetSynced()
	if u.State != None {
		u.Service, u.Version, u.From = "s", "v2", "v1"
		v.Apply(u, 0)
	}
	return v
}

// Guards against a version that is used in a state that does not allow it.
func TestVersionsByState(t *testing.T) {
	const f, i, n = Forbidden, InUse, New
	for _, c := range []struct {
		name     string
		update   Update
		at       time.Duration
		cutOff   bool
		old, new Class
	}{
		{"no order", Update{}, 0, false, i, f},
		{"running", Update{State: Running, Revision: 1, Share: 0.04}, 0, false, i, n},
		{"halted", Update{State: Running, Revision: 1, Share: 0.04, Halted: true}, 0, false, i, f},
		{"running, not heard of", Update{State: Running, Revision: 1, Share: 0.04}, 5 * time.Second, false, i, f},
		{"running, cut off", Update{State: Running, Revision: 1, Share: 0.04}, 5 * time.Second, true, f, f},
		{"guarded", Update{State: Running, Revision: 1, Guarded: true}, PermissionTTL - 1, false, i, n},
		{"guarded, not heard of", Update{State: Running, Revision: 1, Guarded: true}, PermissionTTL, false, f, n},
		{"final", Update{State: Running, Revision: 1, Guarded: true, Final: true}, 0, false, f, n},
		{"succeeded", Update{State: Succeeded, Revision: 1}, time.Hour, false, f, i},
		{"rolled back", Update{State: RolledBack, Revision: 1}, time.Hour, false, i, f},
	} {
		v := syncedView(c.update)
		v.CutOff = c.cutOff
		if gotOld, gotNew := v.Class("s", "v1", twoVersions, c.at), v.Class("s", "v2", twoVersions, c.at); gotOld != c.old || gotNew != c.new {
			t.Errorf("%s: old %d, new %d, expected %d, %d", c.name, gotOld, gotNew, c.old, c.new)
		}
		if got := v.Class("s", "v3", append(twoVersions, Upstream{Version: "v3"}), c.at); got != Forbidden {
			t.Errorf("%s: a version without an order is of class %d", c.name, got)
		}
	}
}

// Guards against a node that has started, or was paused, and uses a version that was replaced before it knows the states.
func TestStatesMustBeKnown(t *testing.T) {
	v := &View{}
	if v.Class("s", "v1", twoVersions[:1], time.Second) != Forbidden || v.Class("s", "", []Upstream{{}}, 0) != InUse {
		t.Error("a node without states uses a version, or does not use upstreams that state none")
	}
	if v.Class("s", "v1", twoVersions, syncTimeout) != InUse {
		t.Error("a node that no one answers serves nothing")
	}
	v = syncedView(Update{State: Running, Revision: 1})
	v.Suspend(time.Minute)
	if v.Class("s", "v1", twoVersions, time.Minute) != Forbidden {
		t.Error("a node that was paused uses a version before it has asked")
	}
}

// Guards against upstreams that are replaced without an order and then do not serve, and against the return of a version
// that was replaced or rolled back.
func TestOnlyVersionThatIsLeft(t *testing.T) {
	only := func(version string) []Upstream { return []Upstream{{Version: version}} }
	v := syncedView(Update{})
	v.Class("s", "v1", twoVersions, 0)
	if v.Class("s", "v2", only("v2"), 0) != InUse {
		t.Error("upstreams that were replaced do not serve")
	}
	if syncedView(Update{State: Succeeded, Revision: 1}).Class("s", "v1", only("v1"), 0) != Forbidden ||
		syncedView(Update{State: RolledBack, Revision: 1}).Class("s", "v2", only("v2"), 0) != Forbidden ||
		syncedView(Update{State: Succeeded, Revision: 1}).Class("s", "v3", only("v3"), 0) != InUse {
		t.Error("a version that was replaced or rolled back serves, or a later one does not")
	}
}

// Guards against an older update that replaces a newer one, and against a running state of a later decider that ends a halt.
func TestHaltStays(t *testing.T) {
	v := syncedView(Update{State: Running, Revision: 5, Refresh: 3, Order: 1})
	for _, c := range []struct {
		update  Update
		applied bool
	}{
		{Update{State: Running, Revision: 4, Refresh: 9, Order: 1}, false},
		{Update{State: Running, Revision: 5, Refresh: 3, Order: 1}, false},
		{Update{State: Running, Revision: 5, Refresh: 1, Order: 1, Halted: true}, true},
		{Update{State: Running, Revision: 5, Refresh: 8, Order: 1}, false},
		{Update{State: Running, Revision: 6, Order: 1, Share: 1}, true},
	} {
		c.update.Service, c.update.Version, c.update.From = "s", "v2", "v1"
		if got := v.Apply(c.update, 0); got != c.applied {
			t.Errorf("%+v: applied %v", c.update, got)
		}
	}
	if v.Class("s", "v2", twoVersions, 0) != Forbidden || v.Draw("s", 1, 0) || !v.Update("s").Halted {
		t.Error("the halted version is used")
	}
	v.Apply(Update{Service: "s", Version: "v2", From: "v1", State: Running, Revision: 7, Order: 2}, 0)
	if v.Class("s", "v2", twoVersions, 0) != New {
		t.Error("the version of a later order is not used")
	}
}

// Guards against a node that sends the new version more than its share.
func TestDrawsKeepTheShare(t *testing.T) {
	for _, share := range []float64{0, 0.04, 0.4, 1} {
		v := syncedView(Update{State: Running, Revision: 1, Share: share})
		drawn := 0
		for range 1000 {
			if v.Draw("s", 12345, 0) {
				drawn++
			}
		}
		if math.Abs(float64(drawn)-1000*share) > 3 {
			t.Errorf("%d of 1,000 draws for a share of %v", drawn, share)
		}
	}
}

// Guards against a decider that reports success while a node may still use the old version.
func TestSuccessWaitsForAllNodes(t *testing.T) {
	stored := Stored{Duration: 12 * time.Second, Revision: 9}
	stored.Update = Update{Service: "s", Version: "v2", From: "v1", State: Running, Revision: 9}.atStep(finalStep)
	const longCall = time.Second
	silent := PermissionTTL + longCall + answerMargin
	for _, c := range []struct {
		name   string
		member Member
		report *Report
		at     time.Duration
		want   bool
	}{
		{"applied", Member{ID: "a"}, &Report{Revision: 9}, time.Second, true},
		{"open call", Member{ID: "a"}, &Report{Revision: 9, OldCalls: 1}, time.Second, false},
		{"earlier revision", Member{ID: "a"}, &Report{Revision: 8}, time.Second, false},
		{"silent", Member{ID: "a"}, nil, silent - 1, false},
		{"silent for long", Member{ID: "a"}, nil, silent, true},
		{"dead", Member{ID: "a", Dead: true, DeadFor: time.Second}, nil, time.Second, false},
		{"dead for long", Member{ID: "a", Dead: true, DeadFor: 7 * time.Second}, nil, time.Second, true},
		{"ended", Member{ID: "a", Dead: true, Ended: true}, nil, time.Second, true},
	} {
		d := NewDecider(testSettings, stored, Node{ID: "d"}, 0)
		if c.report != nil {
			d.Observe(0, "a", "z", *c.report)
		}
		if got := d.oldIsUnused(Situation{Now: c.at, Members: []Member{c.member}, LongCall: longCall}); got != c.want {
			t.Errorf("%s: old version unused %v, expected %v", c.name, got, c.want)
		}
	}
}
