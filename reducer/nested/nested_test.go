package nested

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// zone has the shares of the services at the deployment of 63 nodes.
var zone = []Share{{"attendance", 4.0 / 63}, {"documents", 6.0 / 63}, {"reservations", 24.0 / 63}, {"vacancies", 29.0 / 63}}

// drawService returns a service at random by the shares.
func drawService(rng *rand.Rand, shares []Share) string {
	x := rng.Float64()
	for _, share := range shares {
		if x -= share.Value; x < 0 {
			return share.Name
		}
	}
	return shares[0].Name
}

// Guards against a nested route that is not learned within a second at 50 calls a second.
func TestNestedRouteIsLearnedFromItsOrigins(t *testing.T) {
	var o Origins
	for i := range 50 {
		o.Arrived("status", fmt.Sprint("node", i%29), "vacancies", zone)
		if o.Verdict("status", "vacancies") == Nested {
			t.Logf("learned after %d calls", i+1)
			if o.Verdict("status", "documents") == Nested {
				t.Error("the route counts as nested from a service that does not call it")
			}
			return
		}
	}
	t.Error("the route is not learned after 50 calls")
}

// Guards against an ordinary route that counts as nested, whether its callers use all nodes, one node, or the route is also
// called by backend servers.
func TestOrdinaryRouteIsNotLearned(t *testing.T) {
	const seed = 3
	t.Log("seed", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	var o Origins
	for i := range 100_000 {
		service := drawService(rng, zone)
		o.Arrived("ordinary", fmt.Sprint(service, i%9), service, zone)
		o.Arrived("one node", "node", "vacancies", zone)
		mixed := service
		if i%2 == 0 {
			mixed = "vacancies"
		}
		o.Arrived("mixed", fmt.Sprint("node", i%9), mixed, zone)
		o.Arrived("only service", fmt.Sprint("node", i%9), "vacancies", []Share{{"vacancies", 1}})
		for _, route := range []string{"ordinary", "one node", "mixed", "only service"} {
			if o.Verdict(route, "vacancies") == Nested {
				t.Fatalf("%s: counts as nested after %d calls", route, i+1)
			}
		}
	}
}

// Guards against calls of a route that stay nested when callers begin to make them.
func TestRouteBecomesOrdinaryAgain(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 1))
	var o Origins
	for i := range 1000 {
		o.Arrived("r", fmt.Sprint("node", i%9), "vacancies", zone)
	}
	for i := range 2 * maxOriginCalls {
		if o.Verdict("r", "vacancies") != Nested {
			t.Logf("ordinary after %d calls", i)
			return
		}
		o.Arrived("r", fmt.Sprint("node", i%9), drawService(rng, zone), zone)
	}
	t.Error("the route still counts as nested")
}

// Guards against holding back a route that makes no nested calls because its requests run beside those that do.
func TestCallsAreAttributedToTheRouteThatMakesThem(t *testing.T) {
	const seed = 5
	t.Log("seed", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	var c Callers
	now := time.Duration(0)
	type execution struct {
		route string
		ends  time.Duration
	}
	var running []execution
	sum := map[string]float64{}
	for now < 30*time.Second {
		now += time.Millisecond
		for len(running) < 6 { // always busy
			route := []string{"check", "search"}[rng.IntN(2)]
			c.Started(now, route)
			running = append(running, execution{route, now + time.Duration(60+rng.IntN(120))*time.Millisecond})
		}
		for i := len(running) - 1; i >= 0; i-- {
			e := running[i]
			if e.route == "check" && rng.Float64() < 0.012 {
				for _, share := range c.Called(now, "status") {
					if now > 10*time.Second {
						sum[share.Name] += share.Value
					}
				}
			}
			if e.ends <= now {
				c.Ended(now, e.route)
				running = append(running[:i], running[i+1:]...)
			}
		}
	}
	if sum["search"] > 0.25*sum["check"] {
		t.Errorf("calls by route %v, all were made by check", sum)
	}
}

// Guards against a holdback that stays after its cause has ended, or that admits nothing.
func TestHoldbackEndsWithItsCause(t *testing.T) {
	var h Holdback
	now, lowest := time.Duration(0), 1.0
	run := func(until time.Duration, failed func() bool) (share float64) {
		for ; now < until; now += 10 * time.Millisecond {
			h.Finished(now, "check", 1, failed())
			share = h.Admitted(now, "check")
			lowest = min(lowest, share)
		}
		return share
	}
	run(3*time.Second, func() bool { return true })
	if lowest != minAdmitted {
		t.Errorf("the share falls to %.2f while all calls fail, expected %.2f", lowest, minAdmitted)
	}
	if share := run(6*time.Second, func() bool { return false }); share < 1 {
		t.Errorf("3 s after the failures %.2f are admitted", share)
	}
}

// Guards against a log line for each change while requests are held back on and off.
func TestHoldbackReportsAreBounded(t *testing.T) {
	var h Holdback
	lines := 0
	for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
		h.Finished(now, "check", 1, now%time.Second < 100*time.Millisecond)
		h.Admitted(now, "check")
		if h.Report(now, "check") {
			lines++
		}
	}
	if lines == 0 || lines > 12 {
		t.Errorf("%d log lines in 30 s", lines)
	}
}
