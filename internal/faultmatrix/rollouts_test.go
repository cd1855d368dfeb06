package faultmatrix

import (
	"fmt"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

func checkRollout(t *testing.T, run RolloutRun) {
	t.Helper()
	for _, violation := range run.CheckRollout(run.Run()) {
		t.Errorf("%v: %v", run, violation)
	}
}

// Guards against a roll-out without faults that ends wrongly, and against a step of RolloutSteps that no longer occurs, so
// that the matrix would inject nothing there.
func TestRolloutStepsWithoutFaults(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range rolloutKinds() {
		run := RolloutRun{Seed: matrixSeed, Kind: kind}
		w := run.run(func(w *pump.World, input reducer.Input) { seen[rolloutStepOf(w, input)] = true })
		for _, violation := range run.CheckRollout(w) {
			t.Errorf("%v: %v", run, violation)
		}
		state, _ := w.Store.Rollout(rolloutService)
		t.Logf("%s: %v, %s", kind, state.Update.State, state.Status.Reason)
	}
	for _, step := range RolloutSteps {
		if !seen[step] {
			t.Errorf("no event is the step %q", step)
		}
	}
}

// Guards against a single fault at a step of a roll-out after which the old version gets calls although it was replaced,
// the new one gets more than its share or calls after its roll-back, a bad version succeeds, or nothing is decided.
func TestRolloutSingleFaults(t *testing.T) {
	cell := 0
	for _, step := range RolloutSteps {
		for _, fault := range Faults() {
			kinds := rolloutKinds()
			if cell++; testing.Short() { // with the race detector a run takes ten times as long
				kinds = kinds[cell%len(kinds):][:1]
			}
			t.Run(step+"/"+fault.Name, func(t *testing.T) {
				t.Parallel()
				for _, kind := range kinds {
					checkRollout(t, RolloutRun{Seed: matrixSeed, Kind: kind, Injections: []RolloutInjection{{fault, step, 0}}})
				}
			})
		}
	}
}

// Guards against a violation when a second fault occurs while the first one is being handled. Each pair is injected at one
// of the steps, or with -every-step at all of them, with one kind of version.
func TestRolloutPairsOfFaults(t *testing.T) {
	pair, cells := 0, 0
	for _, first := range Faults() {
		var runs []RolloutRun
		for _, second := range Faults() {
			pair++
			for i, step := range RolloutSteps {
				if !*everyStep && (pair%len(RolloutSteps) != i || testing.Short() && pair%15 != 0) {
					continue
				}
				cells++
				injections := []RolloutInjection{{first, step, 0}, {second, step, pairGap}}
				runs = append(runs, RolloutRun{Seed: matrixSeed, Kind: rolloutKinds()[(pair/len(RolloutSteps)+i)%len(rolloutKinds())], Injections: injections})
			}
		}
		t.Run(first.Name, func(t *testing.T) {
			t.Parallel()
			for _, run := range runs {
				checkRollout(t, run)
			}
		})
	}
	t.Logf("seed %d, %d cells", matrixSeed, cells)
	if want := len(Faults()) * len(Faults()); !testing.Short() && cells < want {
		t.Errorf("%d cells, expected at least one for each of %d pairs", cells, want)
	}
}

// Guards against sequences of orders and faults that no one has thought of. -sequences sets their number: one for ten of
// those of TestGeneratedSequences, because each takes longer.
func TestGeneratedRollouts(t *testing.T) {
	runs := *sequences / 10
	if testing.Short() {
		runs /= 4
	}
	for worker := range workers {
		t.Run(fmt.Sprint("worker", worker), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed + worker; seed < *firstSeed+runs; seed += workers {
				checkRollout(t, RolloutSequence(uint64(seed)))
			}
		})
	}
}
