package nested

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// zone has the shares of the services at the deployment of 63 nodes.
var zone = []Share{
	{Name: "attendance", Value: 4.0 / 63}, {Name: "documents", Value: 6.0 / 63}, {Name: "reservations", Value: 24.0 / 63}, {Name: "vacancies", Value: 29.0 / 63},
}

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

// learner draws the calls that a target of reservations gets. Nodes beside reservations serve most of theirs themselves.
type learner struct {
	Origins
	rng   *rand.Rand
	calls int
}

func newLearner(t *testing.T, seed uint64) *learner {
	t.Log("seed", seed)
	return &learner{Origins: Origins{Own: "reservations"}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// ordinary adds a call of a route that callers make.
func (l *learner) ordinary(route string) {
	service := drawService(l.rng, zone)
	if l.calls++; service != l.Own || l.rng.IntN(10) == 0 {
		l.Arrived(route, fmt.Sprint(service, l.calls%9), service)
	}
}

// Guards against a nested route that is not learned within 2 s of the load of the deployment of 63 nodes: 18 calls a second
// of an ordinary route and 50 of the nested one at each target.
func TestNestedRouteIsLearnedFromItsOrigins(t *testing.T) {
	l := newLearner(t, 1)
	for i := range 100 {
		if i%3 == 0 {
			l.ordinary("hold")
		}
		l.Arrived("status", fmt.Sprint("node", i%29), "vacancies")
		if l.Verdict("status", "vacancies") == Nested {
			t.Logf("learned after %d calls", i+1)
			if l.Verdict("status", "documents") == Nested || l.Verdict("hold", "vacancies") == Nested {
				t.Error("calls that are not nested count as nested")
			}
			return
		}
	}
	t.Error("the route is not learned after 100 calls")
}

// Guards against an ordinary route that counts as nested, whether its callers use all nodes, one node, or backend servers
// call it too; and against routes that nothing can be compared with.
func TestOrdinaryRouteIsNotLearned(t *testing.T) {
	l := newLearner(t, 3)
	single := Origins{Own: "reservations"}
	for i := range 30_000 {
		l.ordinary("hold")
		l.ordinary("list")
		l.Arrived("one node", "node", "vacancies")
		l.Arrived("nested", fmt.Sprint("node", i%29), "vacancies")
		l.Arrived("own", fmt.Sprint("node", i%24), "reservations")
		if l.ordinary("mixed"); i%2 == 0 {
			l.Arrived("mixed", fmt.Sprint("node", i%29), "vacancies")
		}
		single.Arrived("only route", fmt.Sprint("node", i%9), "vacancies")
		for _, route := range []string{"hold", "list", "one node", "own", "mixed"} {
			for _, share := range zone {
				if l.Verdict(route, share.Name) == Nested {
					t.Fatalf("%s: counts as nested from %s after %d calls", route, share.Name, i+1)
				}
			}
		}
		if single.Verdict("only route", "vacancies") == Nested {
			t.Fatal("a route counts as nested that no other is compared with")
		}
	}
}

// Guards against calls of a route that stay nested when callers begin to make them.
func TestRouteBecomesOrdinaryAgain(t *testing.T) {
	l := newLearner(t, 4)
	for i := range 1000 {
		l.ordinary("hold")
		l.Arrived("r", fmt.Sprint("node", i%9), "vacancies")
	}
	if l.Verdict("r", "vacancies") != Nested {
		t.Fatal("the route is not learned")
	}
	for i := range 2 * maxOriginCalls {
		if l.Verdict("r", "vacancies") != Nested {
			t.Logf("ordinary after %d calls", i)
			return
		}
		l.ordinary("r")
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
			c.Started(now, route, 0)
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
