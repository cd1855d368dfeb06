package rollout

import (
	"testing"
	"time"
)

// Guards against a decider that takes over in the final step and finds any version good, because it has no responses of the
// old version to compare with.
func TestDeciderThatTakesOverInTheFinalStepStepsBack(t *testing.T) {
	stored := Stored{Duration: 12 * time.Second, Revision: 9}
	stored.Update = Update{Service: "s", Version: "v2", From: "v1", State: Running, Revision: 9}.atStep(finalStep)
	d := NewDecider(testSettings, stored, Node{ID: "d"}, 0)
	failing := Report{Revision: 9, Upstream: "v2", Serves: true, Routes: []RouteCount{{Route: "look", Calls: 100, Failures: 100}}}
	members := []Member{{ID: "a", Version: "v2", Serves: true}}
	for _, at := range []time.Duration{0, time.Second, 2 * time.Second} {
		d.Observe(at, "a", "z", failing)
		got := d.Decide(Situation{Now: at, WallMs: at.Milliseconds(), Members: members})
		if got.Next == nil || got.Next.Update.State != Running || got.Next.Update.Step != guardedStep || got.Next.Update.Final {
			t.Fatalf("decision at %v is %+v, expected the guarded step", at, got.Next)
		}
	}
	d.Written(*d.Decide(Situation{Now: 2 * time.Second, Members: members}).Next, 2*time.Second)
	if got := d.Decide(Situation{Now: 2 * time.Second, WallMs: 2000, Members: members}); got.Next != nil {
		t.Errorf("decision after the step back is %+v, expected none", got.Next)
	}
}

// Guards against nodes that go on sending the new version its share of a later step while no one decides, and against calls
// that no version takes because the old one may be used no more.
func TestShareFallsWhileTheStateIsSilent(t *testing.T) {
	u := Update{Service: "s", Version: "v2", From: "v1", State: Running, Revision: 9}
	for _, c := range []struct {
		step   int
		silent time.Duration
		want   float64
	}{
		{1, time.Second, 0.15}, {1, 1300 * time.Millisecond, firstShare}, {1, 4 * time.Second, firstShare},
		{guardedStep, 1300 * time.Millisecond, firstShare}, {guardedStep, PermissionTTL, 0.4}, {finalStep, 1300 * time.Millisecond, 1},
	} {
		v := syncedView(u.atStep(c.step))
		drawn := 0
		for range 1000 {
			if v.Draw("s", 12345, c.silent) {
				drawn++
			}
		}
		if want := int(1000 * c.want); drawn < want-3 || drawn > want+3 {
			t.Errorf("step %d, silent for %v: %d of 1,000 draws, expected %d", c.step, c.silent, drawn, want)
		}
	}
}
