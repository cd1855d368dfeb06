package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

var deploymentLimits = Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// deploymentWorkspaces returns 87 workspaces by Zipf's law with a usual demand of 2,000 requests a second together. The
// quota is 1.6 times that, the burst one second.
func deploymentWorkspaces() []tables.Workspace {
	const count, total, quota = 87, 2000.0, 1.6
	sum := 0.0
	for i := range count {
		sum += 1 / float64(i+1)
	}
	workspaces := make([]tables.Workspace, count)
	for i := range workspaces {
		rate := quota * total / sum / float64(i+1)
		workspaces[i] = tables.Workspace{Name: fmt.Sprintf("w%d", i), Rate: rate, Burst: rate}
	}
	return workspaces
}

type outcome struct{ calls, refused, waited, waitedLong int }

func (c *cluster) outcomes(from time.Duration) map[string]*outcome {
	all := map[string]*outcome{}
	for _, r := range c.results {
		if r.sentAt < from {
			continue
		}
		o := all[r.workspace]
		if o == nil {
			o = &outcome{}
			all[r.workspace] = o
		}
		o.calls++
		if r.decision.Result == Refused {
			o.refused++
		}
		if r.decision.Wait > 0 {
			o.waited++
		}
		if r.decision.Wait > maxWait {
			o.waitedLong++
		}
	}
	return all
}

func sumOf(all map[string]*outcome, except string) outcome {
	var sum outcome
	for name, o := range all {
		if name != except {
			sum.calls, sum.refused = sum.calls+o.calls, sum.refused+o.refused
			sum.waited, sum.waitedLong = sum.waited+o.waited, sum.waitedLong+o.waitedLong
		}
	}
	return sum
}

// simulate runs the deployment for 25 s, of which the last 15 s count. From 10 s on, one workspace sends surge times its usual.
func simulate(t *testing.T, surging string, surge float64) *cluster {
	t.Helper()
	c := newCluster(1, 90, deploymentLimits, true, deploymentWorkspaces())
	for _, w := range c.quotas {
		c.load(w.Name, func() float64 {
			if w.Name == surging && c.now >= 10*time.Second {
				return surge * w.Rate / 1.6
			}
			return w.Rate / 1.6
		}, 25*time.Second)
	}
	c.run(10 * time.Second)
	before := c.messages
	c.run(26 * time.Second)
	t.Logf("%.1f messages sent a second by each node", float64(c.messages-before)/15/90)
	return c
}

// Guards against calls of workspaces within their quotas that are refused, or that mostly wait for tokens.
func TestUsualDemandIsAdmitted(t *testing.T) {
	c := simulate(t, "", 1)
	sum := sumOf(c.outcomes(10*time.Second), "")
	t.Logf("%+v", sum)
	if float64(sum.refused) > 0.005*float64(sum.calls) {
		t.Errorf("%d of %d calls refused", sum.refused, sum.calls)
	}
	if 2*sum.waited > sum.calls {
		t.Errorf("%d of %d calls waited", sum.waited, sum.calls)
	}
	if sum.waitedLong > 0 {
		t.Errorf("%d calls waited more than %v", sum.waitedLong, maxWait)
	}
}

// Guards against a workspace beyond its quota that is not held to it, gets less than it, or takes from the others.
func TestSurgeIsHeldToItsQuota(t *testing.T) {
	for _, name := range []string{"w0", "w60"} {
		c := simulate(t, name, 7.5)
		all := c.outcomes(10 * time.Second)
		var rate float64
		for _, w := range c.quotas {
			if w.Name == name {
				rate = w.Rate
			}
		}
		o := all[name]
		passed := float64(o.calls - o.refused)
		others := sumOf(all, name)
		t.Logf("%s: %+v, %.0f of the rate of %.0f a second; others %+v", name, *o, passed/15, rate, others)
		if most := (rate*15+rate)*1.1 + 20; passed > most {
			t.Errorf("%s: %.0f admitted, at most %.0f expected", name, passed, most)
		}
		if passed < 0.9*rate*15 {
			t.Errorf("%s: %.0f admitted, the quota is %.0f", name, passed, rate*15)
		}
		if float64(others.refused) > 0.005*float64(others.calls) {
			t.Errorf("%s: %d of %d calls of others refused", name, others.refused, others.calls)
		}
	}
}

// Guards against refusals when the callers of a workspace move to other nodes: its tokens must follow within a second.
func TestDemandFollowsCallers(t *testing.T) {
	c := newCluster(1, 90, deploymentLimits, true, deploymentWorkspaces()[:3])
	for _, w := range c.quotas {
		var next func()
		next = func() {
			zone := int(c.now/(5*time.Second)) % 3 // all callers use one zone, for 5 s
			c.call(c.nodes[zone+3*c.rng.IntN(30)], w.Name)
			c.after(time.Duration(c.rng.ExpFloat64()/(w.Rate/1.6)*float64(time.Second)), next)
		}
		c.after(0, next)
	}
	c.run(25 * time.Second)
	sum := sumOf(c.outcomes(5*time.Second), "")
	t.Logf("%+v", sum)
	if float64(sum.refused) > 0.005*float64(sum.calls) {
		t.Errorf("%d of %d calls refused", sum.refused, sum.calls)
	}
}
