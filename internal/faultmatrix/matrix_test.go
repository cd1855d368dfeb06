package faultmatrix

import (
	"flag"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const matrixSeed = 1

// sampledSteps is the approximate number of steps at which each fault is injected into a sampled scenario, and with
// -short into any scenario. CI uses -short with the race detector.
const sampledSteps = 6

var everyStep = flag.Bool("every-step", false, "inject single faults at every step of sampled scenarios too")

// chooseSteps returns the steps of a scenario at which faults are injected, and the number of all its steps.
func chooseSteps(scenario Scenario) (steps []int, all int) {
	all = Steps(matrixSeed, scenario)
	stride := 1
	if testing.Short() || scenario.Sampled && !*everyStep {
		stride = max(1, all/sampledSteps)
	}
	for step := 1; step <= all; step += stride {
		steps = append(steps, step)
	}
	return steps, all
}

// Guards against violations after a single fault at any step.
func TestSingleFaults(t *testing.T) {
	t.Logf("seed %d", matrixSeed)
	for _, scenario := range Scenarios() {
		steps, all := chooseSteps(scenario)
		t.Logf("%s: %d faults at %d of %d steps", scenario.Name, len(Faults()), len(steps), all)
		for _, fault := range Faults() {
			t.Run(scenario.Name+"/"+fault.Name, func(t *testing.T) {
				t.Parallel()
				for _, step := range steps {
					checkInvariants(t, scenario, Injection{fault, step})
				}
			})
		}
	}
}

// Guards against keeping the invariants by refusing requests: without faults all requests are served, also during a
// graceful shutdown.
func TestScenariosWithoutFaultsServeEverything(t *testing.T) {
	for _, scenario := range basicScenarios() {
		if scenario.LosesRequests {
			continue
		}
		w := Run(matrixSeed, scenario)
		for _, violation := range w.CheckInvariants() {
			t.Errorf("%s: %v", scenario.Name, violation)
		}
		for _, answer := range w.History.Answers {
			if answer.Outcome != reducer.OutcomeDone {
				t.Errorf("%s: request %s was answered %v, %v", scenario.Name, answer.Request.ID, answer.Outcome, answer.Reason)
			}
		}
	}
}

func checkInvariants(t *testing.T, scenario Scenario, injections ...Injection) {
	w := Run(matrixSeed, scenario, injections...)
	for _, violation := range w.CheckInvariants() {
		t.Errorf("%v: %v", Sequence{Seed: matrixSeed, Scenario: scenario, Injections: injections}, violation)
	}
}

// pairGap is the number of steps between the two faults of a pair.
const pairGap = 3

// pairSteps lists the steps of the first fault of a pair: the arrival of a call at its target, and its end. A call with
// a key has only one step, because its scenario takes three times as long to run.
var pairSteps = map[string][]int{
	"idempotent call":     {2, 5},
	"non-idempotent call": {2, 5},
	"call with an idempotency key, repeated at another node": {4},
}

// Guards against violations when a second fault, possibly the same one again, occurs while the first is being handled.
func TestPairsOfFaults(t *testing.T) {
	cells := 0
	for _, scenario := range Scenarios() {
		steps := pairSteps[scenario.Name]
		cells += len(steps) * len(Faults()) * len(Faults())
		for _, first := range Faults() {
			t.Run(scenario.Name+"/"+first.Name, func(t *testing.T) {
				t.Parallel()
				for _, second := range Faults() {
					for _, step := range steps {
						checkInvariants(t, scenario, Injection{first, step}, Injection{second, step + pairGap})
					}
				}
			})
		}
	}
	t.Logf("seed %d, %d cells", matrixSeed, cells)
	if cells != 5*len(Faults())*len(Faults()) {
		t.Errorf("%d cells: a scenario named in pairSteps does not exist", cells)
	}
}
