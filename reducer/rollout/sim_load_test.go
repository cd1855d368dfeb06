package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// generated gives a run upstreams of unlike speed or load.
type generated func(s *sim, random *rand.Rand)

// withSpeeds sets the speeds of the old and of the new upstreams.
func withSpeeds(old, fresh func(*rand.Rand) float64) generated {
	return func(s *sim, random *rand.Rand) {
		for i := range simNodes {
			speed := old
			if i >= simNodes/2 {
				speed = fresh
			}
			s.speeds = append(s.speeds, speed(random))
		}
	}
}

// anySpeed is within 0.5 to 1.7 times the mean of all upstreams, as the work page states.
func anySpeed(random *rand.Rand) float64 { return 0.5 + 1.2*random.Float64() }

func always(speed float64) func(*rand.Rand) float64 {
	return func(*rand.Rand) float64 { return speed }
}

// fewer has half as many new upstreams as old ones. The calls of an upstream slow each other, and keep the old ones busy
// for a part of the time.
func fewer(busy float64) generated {
	return func(s *sim, _ *rand.Rand) {
		s.fresh, s.cores = simNodes/4, 4
		s.work = time.Duration(busy * float64(s.cores) * simNodes / 2 / s.rate * float64(time.Second))
	}
}

// fewerOfAnySpeed is fewer with upstreams of any speed. All can bear the load.
func fewerOfAnySpeed(s *sim, random *rand.Rand) {
	withSpeeds(anySpeed, anySpeed)(s, random)
	fewer(0.25)(s, random)
}

var generatedLoads = map[string]generated{
	"any speed":          withSpeeds(anySpeed, anySpeed),
	"new at 0.5":         withSpeeds(always(1), always(0.5)),
	"new at 1.7":         withSpeeds(always(1), always(1.7)),
	"one speed":          withSpeeds(always(1), always(1)),
	"fewer":              fewer(0.4),
	"fewer of any speed": fewerOfAnySpeed,
}

// allowedMistakes are the runs of 100 that may end wrongly, at 30 and at 300 requests a second; 10 and 0 where nothing is
// stated. A version 3 times slower on upstreams of speed 1.5 is twice as slow as the mean, as a good one at speed 0.5 is:
// such pairs cannot be told apart. At 30 requests a second 28 calls in the first step say the mean latency to within a fifth.
var allowedMistakes = map[string][2]int{
	"any speed/3 times slower": {15, 10}, "fewer of any speed/3 times slower": {20, 15}, "fewer of any speed/good": {10, 5},
	"new at 0.5/good": {45, 5}, "one speed/3 times slower": {10, 5},
	"any speed/3 times slower on one route": {45, 0}, "fewer of any speed/3 times slower on one route": {45, 0},
	"one speed/3 times slower on one route": {45, 0}, "fewer/3 times slower on one route": {45, 0},
	// Upstreams that are all at the highest speed hide a version 3 times slower.
	"new at 1.7/3 times slower": {100, 100}, "new at 1.7/3 times slower on one route": {55, 0},
	"new at 1.7/5 times slower from 5 s on": {70, 50},
}

// loadVersions are the versions that are run under each load.
var loadVersions = map[string]func(route string, share float64, at time.Duration) (float64, float64){
	"good":           good,
	"3 times slower": func(string, float64, time.Duration) (float64, float64) { return 0, 3 },
	"3 times slower on one route": func(route string, _ float64, _ time.Duration) (float64, float64) {
		return 0, map[bool]float64{false: 1, true: 3}[route == "book"]
	},
	"5 times slower from 5 s on": func(_ string, _ float64, at time.Duration) (float64, float64) {
		return 0, map[bool]float64{false: 1, true: 5}[at > 5*time.Second]
	},
}

// Guards against a good version that is rolled back because its upstreams are slower or busier, and against one that is 3
// times slower and succeeds because they might be.
func TestVerdictOverGeneratedLoads(t *testing.T) {
	for load, generate := range generatedLoads {
		for kind, version := range loadVersions {
			for i, rate := range []float64{30, 300} {
				t.Run(fmt.Sprintf("%s/%s/%v", load, kind, rate), func(t *testing.T) {
					wrong, runs := 0, loadRuns(i)
					for seed := range runs {
						s := &sim{rate: rate, duration: 12 * time.Second, base: 0.01, bad: version, seed: uint64(seed)}
						generate(s, rand.New(rand.NewPCG(uint64(seed), 2)))
						if s.run().isWrong(kind == "good") {
							t.Logf("seed %d: %v at %v: %s; %d of %d calls, %d late; speeds %.2f", seed, s.held.Update.State, s.endedAt, s.held.Status.Reason, s.exposed, s.exposureBound(), s.after50, s.speeds)
							wrong++
						}
					}
					allowed, stated := allowedMistakes[load+"/"+kind]
					if !stated {
						allowed = [2]int{10, 0}
					}
					checkMistakes(t, wrong, runs, runs*allowed[i]/100+1) // one more, because the runs are few
				})
			}
		}
	}
}

// loadRuns returns the number of runs at 30 or at 300 requests a second. With -short, as with the race detector, a quarter of
// the latter: fewer of the former would say nothing about the probabilities.
func loadRuns(rate int) int {
	switch {
	case rate == 0:
		return simRuns
	case testing.Short():
		return simRuns / 8
	default:
		return simRuns / 2
	}
}

// isWrong reports whether a good version did not succeed in time, or a bad one was not rolled back or got too many calls.
func (s *sim) isWrong(good bool) bool {
	if good {
		return s.held.Update.State != Succeeded || s.endedAt > s.duration
	}
	return s.held.Update.State != RolledBack || s.exposed > s.exposureBound() || s.after50 > 0
}
