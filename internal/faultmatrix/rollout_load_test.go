package faultmatrix

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// loadTestRate keeps the two upstreams of the new version half busy if all requests go to them.
const loadTestRate = 150

// replaceUpstreams stops the upstreams of the version that is not wanted any more, as the platform does: the old ones when
// the roll-out has succeeded, the new ones when it was rolled back. Without roll-outs it stops the old ones at the order.
func replaceUpstreams(w *pump.World, withRollouts bool) {
	state, _ := w.Store.Rollout(rolloutService)
	unwanted := map[rollout.State]string{rollout.Succeeded: oldVersion, rollout.RolledBack: newVersion}[state.Update.State]
	if !withRollouts {
		unwanted = oldVersion
	}
	for _, n := range w.Nodes() {
		if unwanted != "" && n.Backend.Version == unwanted {
			n.DrainBackend()
		}
	}
	w.After(100*time.Millisecond, func() { replaceUpstreams(w, withRollouts) })
}

// runLoadTest replaces a version under load by one that is bad, and returns the violations of the exposure and the parts of
// the requests in the time of the order that reached the new version and that failed.
func runLoadTest(kind string, settings rollout.Settings) (violations []invariant.Violation, exposed, failed float64) {
	w := NewRolloutWorld(matrixSeed, settings)
	badRollouts[kind](w)
	from := w.Now
	loadRollout(w, from+rolloutLoad, loadTestRate)
	order(w, newVersion)
	replaceUpstreams(w, settings.Enabled)
	w.Run(from + rolloutLoad + Recovery)
	all := 0.0
	for _, e := range w.History.Executions {
		if e.At < from || e.At >= from+rolloutDuration {
			continue
		}
		all++
		if e.Version == newVersion {
			exposed++
		}
		if e.BadAt > 0 {
			failed++
		}
	}
	for _, v := range w.CheckInvariants() {
		if v.Invariant == invariant.Exposure {
			violations = append(violations, v)
		}
	}
	return violations, exposed / all, failed / all
}

// Guards against a bad version that gets all traffic. Without the component it does, which the second half shows: the same
// check then fails.
func TestLoadOnABadVersion(t *testing.T) {
	for _, kind := range rolloutKinds() {
		if kind == "good" {
			continue
		}
		violations, exposed, failed := runLoadTest(kind, rolloutSettings)
		t.Logf("%s: with roll-outs %.1f of 100 requests reached the new version, %.1f of 100 were bad", kind, 100*exposed, 100*failed)
		for _, v := range violations {
			t.Errorf("%s: %v", kind, v)
		}
		violations, exposed, failed = runLoadTest(kind, rollout.Settings{})
		t.Logf("%s: without %.1f of 100 requests reached it, %.1f of 100 were bad", kind, 100*exposed, 100*failed)
		if len(violations) == 0 || exposed < 0.9 {
			t.Errorf("%s: the check passes although roll-outs are off", kind)
		}
	}
}

// Guards against a good version that is served worse with the component than the load allows: nothing is refused.
func TestLoadOnAGoodVersion(t *testing.T) {
	w := NewRolloutWorld(matrixSeed, rolloutSettings)
	loadRollout(w, w.Now+rolloutLoad, loadTestRate)
	order(w, newVersion)
	replaceUpstreams(w, true)
	w.Run(w.Now + rolloutLoad + Recovery)
	refused := 0
	for _, a := range w.History.Answers {
		if a.Outcome != reducer.OutcomeDone {
			refused++
		}
	}
	if state, _ := w.Store.Rollout(rolloutService); state.Update.State != rollout.Succeeded || refused > 0 {
		t.Errorf("state %v, %d of %d requests were not served", state.Update.State, refused, len(w.History.Answers))
	}
	for _, v := range w.CheckInvariants() {
		t.Error(v)
	}
}
