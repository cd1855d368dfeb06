package faultmatrix

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// planSeed is the seed of the runs that count the steps of the scenarios.
const planSeed = 1

// maxFaults is the maximum number of faults in a generated sequence.
const maxFaults = 4

// Generator generates sequences of faults from seeds.
type Generator struct {
	scenarios []Scenario
	faults    []Fault
	steps     []int // steps of each scenario without faults
}

// NewGenerator returns a generator over all scenarios and faults.
func NewGenerator() *Generator {
	g := &Generator{scenarios: Scenarios(), faults: Faults()}
	for _, scenario := range g.scenarios {
		g.steps = append(g.steps, Steps(planSeed, scenario))
	}
	return g
}

// Sequence is a run of a scenario with a seed and injected faults.
type Sequence struct {
	Seed       uint64
	Scenario   Scenario
	Injections []Injection
}

// Sequence returns the sequence that belongs to a seed.
func (g *Generator) Sequence(seed uint64) Sequence {
	rng := rand.New(rand.NewPCG(seed, 0))
	i := rng.IntN(len(g.scenarios))
	sequence := Sequence{Seed: seed, Scenario: g.scenarios[i]}
	for range 1 + rng.IntN(maxFaults) {
		fault := g.faults[rng.IntN(len(g.faults))]
		// Up to twice the steps of the scenario, so that faults also occur during the recovery from others.
		sequence.Injections = append(sequence.Injections, Injection{fault, 1 + rng.IntN(2*g.steps[i])})
	}
	return sequence
}

func (s Sequence) String() string {
	var faults []string
	for _, injection := range s.Injections {
		faults = append(faults, fmt.Sprintf("%s at %d", injection.Fault.Name, injection.Step))
	}
	return fmt.Sprintf("seed %d, %s: %s", s.Seed, s.Scenario.Name, strings.Join(faults, ", "))
}

// Check runs the sequence and returns the violations. When trace is not nil, it writes all inputs and effects to it.
func (s Sequence) Check(trace io.Writer) []invariant.Violation {
	w := newWorld(s.Seed, s.Scenario)
	if trace != nil {
		w.Trace = func(n *pump.Node, input reducer.Input, effects []reducer.Effect) {
			fmt.Fprintf(trace, "%v %s %T%+v\n", w.Now, n.ID, input, input)
			for _, effect := range effects {
				fmt.Fprintf(trace, "%v %s -> %T%+v\n", w.Now, n.ID, effect, effect)
			}
		}
	}
	return runWithFaults(w, s.Scenario, s.Injections).CheckInvariants()
}
