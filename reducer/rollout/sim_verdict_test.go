package rollout

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func good(string, float64, time.Duration) (float64, float64) { return 0, 1 }

// badVersions are ways in which a version is bad.
var badVersions = map[string]func(route string, share float64, elapsed time.Duration) (failures, slowness float64){
	"30 of 100 fail": func(string, float64, time.Duration) (float64, float64) { return 0.3, 1 },
	"4 times slower": func(string, float64, time.Duration) (float64, float64) { return 0, 4 },
	"fails from 3 s on": func(_ string, _ float64, at time.Duration) (float64, float64) {
		return map[bool]float64{true: 0.3}[at > 3*time.Second], 1
	},
	"fails on one route": func(route string, _ float64, _ time.Duration) (float64, float64) {
		return map[bool]float64{true: 0.5}[route == "book"], 1
	},
	"fails under load": func(_ string, share float64, _ time.Duration) (float64, float64) {
		return map[bool]float64{true: 0.4}[share > 0.3], 1
	},
	"fails at all calls": func(_ string, share float64, _ time.Duration) (float64, float64) {
		return map[bool]float64{true: 0.4}[share == 1], 1
	},
}

var simRuns = flagRuns()

// rates holds the runs of each rate and how many of them may end wrongly: at 30 requests a second a bad version may not
// have enough calls to be told from a good one.
var rates = []struct {
	rate          float64
	runs, mistake int
}{{30, simRuns, max(simRuns/20, 1)}, {300, simRuns, max(simRuns/50, 1)}, {3000, max(simRuns/10, 1), 0}}

// Guards against a good version that is rolled back or late, against a bad one that succeeds, and against one that gets
// more calls than allowed before it is rolled back.
func TestProbabilityOfFalseVerdicts(t *testing.T) {
	for _, r := range rates {
		for _, duration := range []time.Duration{12 * time.Second, 16 * time.Second} {
			t.Run(fmt.Sprintf("good/%v/%v", r.rate, duration), func(t *testing.T) {
				wrong := 0
				for seed := range r.runs {
					s := (&sim{rate: r.rate, duration: duration, base: 0.01, bad: good, seed: uint64(seed)}).run()
					if s.oldAfter > 0 {
						t.Errorf("seed %d: %d calls to the old version after success", seed, s.oldAfter)
					}
					if s.held.Update.State != Succeeded || s.endedAt > duration {
						t.Logf("seed %d: %v at %v: %s", seed, s.held.Update.State, s.endedAt, s.held.Status.Reason)
						wrong++
					}
				}
				checkMistakes(t, wrong, r.runs, r.mistake)
			})
			for name, bad := range badVersions {
				t.Run(fmt.Sprintf("%s/%v/%v", name, r.rate, duration), func(t *testing.T) {
					wrong := 0
					for seed := range r.runs {
						s := (&sim{rate: r.rate, duration: duration, base: 0.01, bad: bad, seed: uint64(seed)}).run()
						if s.held.Update.State != RolledBack {
							wrong++
							continue
						}
						if s.exposed > s.exposureBound() || s.after50 > 0 {
							t.Logf("seed %d: %d calls to the bad version, expected at most %d; %d later than 5 s after the 50th bad response", seed, s.exposed, s.exposureBound(), s.after50)
							wrong++
						}
					}
					checkMistakes(t, wrong, r.runs, r.mistake)
				})
			}
		}
	}
}

func checkMistakes(t *testing.T, wrong, runs, allowed int) {
	t.Helper()
	t.Logf("%d of %d runs ended wrongly", wrong, runs)
	if wrong > allowed {
		t.Errorf("%d of %d runs ended wrongly, expected at most %d", wrong, runs, allowed)
	}
}

// flagRuns returns the runs for each case: 20, or the number in ROLLOUT_RUNS.
func flagRuns() int {
	if runs, err := strconv.Atoi(os.Getenv("ROLLOUT_RUNS")); err == nil {
		return runs
	}
	return 20
}
