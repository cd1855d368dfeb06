package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// observeReports lets each upstream report a service time, which is off by the given part at random.
func observeReports(paces []Pace, speeds []float64, noise float64, random *rand.Rand) {
	var none [tables.Priorities]time.Duration
	for i := range paces {
		off := 1 + noise*random.NormFloat64()
		paces[i].Observe(time.Duration(float64(100*time.Millisecond)*max(off, 0.2)/speeds[i%len(speeds)]), &none)
	}
}

// Guards against a choice by speed among upstreams of one speed, whose reports differ by chance, and against one that is
// not enabled where speeds differ.
func TestModeFollowsTheSpeeds(t *testing.T) {
	for name, test := range map[string]struct {
		speeds []float64
		want   bool
	}{
		"equal": {[]float64{1}, false}, "nearly equal": {[]float64{0.9, 1, 1.1}, false},
		"0.6 to 1.4": {[]float64{0.6, 1, 1.4}, true}, "0.7 to 1.7": {[]float64{0.7, 0.7, 1.7}, true},
	} {
		random := rand.New(rand.NewPCG(1, 0))
		mode, paces := Mode{}, make([]Pace, 24)
		for second := range 120 {
			observeReports(paces, test.speeds, 0.33, random)
			mode.Check(time.Duration(second)*time.Second, len(paces), func(i int) *Pace { return &paces[i] })
			if mode.Enabled() && !test.want {
				t.Fatalf("%s: enabled after %d s with the ratio %.2f", name, second, mode.Ratio())
			}
		}
		if mode.Enabled() != test.want {
			t.Errorf("%s: enabled is %v with the ratio %.2f", name, mode.Enabled(), mode.Ratio())
		}
	}
}

// Guards against a mode that changes with every check while the ratio is at the threshold.
func TestModeChangesAtMostOncePerHold(t *testing.T) {
	mode, changes := Mode{}, 0
	for second := range 40 {
		paces := make([]Pace, 8)
		for range paceReports {
			observeReports(paces, []float64{1, 1 + float64(second%2)}, 0, rand.New(rand.NewPCG(1, 0)))
		}
		if mode.Check(time.Duration(second)*time.Second, len(paces), func(i int) *Pace { return &paces[i] }) {
			changes++
		}
	}
	if changes > 4 {
		t.Errorf("%d changes in 40 s, expected at most one in %v", changes, modeHold)
	}
}
