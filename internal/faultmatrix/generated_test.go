package faultmatrix

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// CI runs the default number of sequences. A full run has a million:
// go test ./internal/faultmatrix -run Generated -sequences 1000000 -timeout 0
var (
	sequences = flag.Int("sequences", 2000, "number of generated sequences of faults")
	firstSeed = flag.Int("first-seed", 0, "seed of the first sequence")
	traceSeed = flag.Int("trace-seed", -1, "run only the sequence of this seed and print all inputs and effects")
)

// workers is the number of parallel subtests. A sequence depends only on its seed.
const workers = 10

// Guards against violations after several faults, at the same time or in succession: each sequence is a random scenario
// with up to four random faults at random steps.
func TestGeneratedSequences(t *testing.T) {
	generator := NewGenerator()
	if *traceSeed >= 0 {
		for _, violation := range generator.Sequence(uint64(*traceSeed)).Check(os.Stdout) {
			t.Error(violation)
		}
		return
	}
	for worker := range workers {
		t.Run(fmt.Sprint("worker", worker), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed + worker; seed < *firstSeed+*sequences; seed += workers {
				sequence := generator.Sequence(uint64(seed))
				for _, violation := range sequence.Check(nil) {
					t.Errorf("%v: %v", sequence, violation)
				}
			}
		})
	}
}
