package capacity

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a limit for a backend server whose connections are reset at any load, and against none for one that is full.
func TestOnlyResetsAtTheTopLower(t *testing.T) {
	const slots, takes = 13, 7
	for name, c := range map[string]struct {
		fails func(occupancy int, random float64) bool
		want  bool
	}{
		"one in five at any load": {func(_ int, random float64) bool { return random < 0.2 }, false},
		"two in five at any load": {func(_ int, random float64) bool { return random < 0.4 }, false},
		"full":                    {func(occupancy int, _ float64) bool { return occupancy > takes }, true},
	} {
		random, limiter, lowered := rand.New(rand.NewPCG(1, 2)), Limiter{}, 0
		for i := range 1000 {
			occupancy, result := 4+random.IntN(slots-4), Answered
			if c.fails(occupancy, random.Float64()) {
				result = Reset
			}
			if limiter.Ended(time.Duration(i)*time.Second, result, occupancy, 0, slots) {
				lowered++
			}
		}
		// 3 of 8 requests that fail at random are the ones with the most running once in 56 cases, of which 1 in 4 occurs.
		if c.want && lowered == 0 || !c.want && lowered > 20 {
			t.Errorf("%s: lowered %d times in 1,000 requests", name, lowered)
		}
	}
}
