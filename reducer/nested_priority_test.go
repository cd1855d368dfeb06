package reducer

import (
	"testing"
	"time"
)

// priorityResult has what the callers of the holds and of the checks got.
type priorityResult struct {
	holds, checks *nestedResult
}

// runBesideHolds simulates 9 nodes of vacancies and 6 of reservations whose 36 slots are asked for holds of priority 0 and for
// status calls of priority 1, which checks of priority 3 make, as shares of the slots, from 2 s to 12 s; for half of both before
// and after.
func runBesideHolds(t *testing.T, seed uint64, holds, status float64, disabled bool) priorityResult {
	t.Helper()
	cfg := testTables(t, nestedRoutes, nestedPools)
	cfg.DisableNested = disabled
	m := newMesh(t, seed, cfg, map[string]int{"vacancies": 9, "reservations": 6}, []string{"vacancies", "reservations"}, 6)
	for i, n := range m.nodes {
		n.speed = 0.7 + 0.6*float64(i%4)/3 // mean 1
	}
	r := priorityResult{&nestedResult{learned: m.learned}, &nestedResult{learned: m.learned}}
	m.execute = nestedServer(m, nestedLoad{}, func() {})
	const slots, holdTime, statusTime = 36, 0.16, 1.4 * 0.03 // seconds for a request
	rate := func(full float64) func(time.Duration) float64 {
		return func(now time.Duration) float64 {
			if now >= 2*time.Second && now < 12*time.Second {
				return full
			}
			return full / 2
		}
	}
	m.arrivals(rate(slots*holds/holdTime), 19*time.Second, func() { r.holds.request(m, "/hold") })
	m.arrivals(rate(slots*status/statusTime), 19*time.Second, func() { r.checks.request(m, "/check") })
	m.run(23 * time.Second)
	return r
}

// Guards against nested calls that displace calls of higher priority which fit the slots by themselves, and against an overload
// by both that does not end by itself, because nested calls get too little beside calls of higher priority.
func TestNestedCallsLeaveRoomForHigherPriority(t *testing.T) {
	const seed = 5
	for _, load := range []struct{ holds, status float64 }{{0.8, 0.15}, {0.8, 0.3}, {0.8, 0.45}, {0.9, 0.25}, {0.9, 0.4}, {1, 0.5}} {
		var checks [2]float64
		for i, disabled := range []bool{true, false} {
			r := runBesideHolds(t, seed, load.holds, load.status, disabled)
			holds, wasted, after := r.holds.servedShare(3, 12), r.checks.wasted(), min(r.holds.servedShare(15, 19), r.checks.servedShare(15, 19))
			checks[i] = r.checks.servedShare(3, 12)
			t.Logf("seed %d, holds %.2f status %.2f off %-5v: holds served %.3f, checks %.3f, wasted %.2f; from 3 s after it %.2f",
				seed, load.holds, load.status, disabled, holds, checks[i], wasted, after)
			if disabled {
				continue
			}
			least := 0.95
			if load.holds >= 1 { // nested calls keep a share of slots that are all needed
				least = 0.85
			}
			if holds < least {
				t.Errorf("holds %.2f status %.2f: %.3f of the holds are served, which fit by themselves", load.holds, load.status, holds)
			}
			if after < 0.99 || wasted > 0.1 {
				t.Errorf("holds %.2f status %.2f: %.2f of the work of checks is thrown away, %.2f are served from 3 s after it", load.holds, load.status, wasted, after)
			}
		}
		if load.holds < 1 && checks[1] < checks[0] {
			t.Errorf("holds %.2f status %.2f: %.3f of the checks are served, %.3f without the part", load.holds, load.status, checks[1], checks[0])
		}
	}
}
