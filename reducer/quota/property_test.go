package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// applyTime is the longest time from the confirmation of a version to its use at connected nodes.
const applyTime = 2500 * time.Millisecond

// change is a version with other quotas, when it was confirmed, and when the last instance applied it: a paused one does so
// when it resumes.
type change struct {
	at, applied time.Duration
	quotas      []tables.Workspace
}

// bound returns the most requests of a workspace in a window that begins at the given time.
func bound(changes []*change, index int, start time.Duration, l Limits) float64 {
	most := 0.0
	for i, c := range changes {
		if i+1 < len(changes) && changes[i+1].applied < start || c.at > start+l.Window {
			continue
		}
		w := c.quotas[index]
		most = max(most, (w.Rate*l.Window.Seconds()+w.Burst)*(1+l.Overage)+l.Slack)
	}
	return max(most, 1)
}

// checkBound reports the first window in which more requests of a workspace were admitted than allowed.
func checkBound(c *cluster, changes []*change) error {
	for i, w := range c.quotas {
		var sent []time.Duration
		for _, r := range c.results {
			if r.workspace == w.Name && r.decision.Result == Admitted {
				sent = append(sent, r.sentAt)
			}
		}
		slices.Sort(sent)
		end := 0
		for first, start := range sent {
			for end < len(sent) && sent[end] <= start+c.limits.Window {
				end++
			}
			if most := bound(changes, i, start, c.limits); float64(end-first) > most+1e-6 {
				return fmt.Errorf("%s: %d requests in the window from %v, at most %.1f allowed", w.Name, end-first, start, most)
			}
		}
	}
	return nil
}

func drawQuotas(t *rapid.T) []tables.Workspace {
	var quotas []tables.Workspace
	for i := range 2 {
		rate := rapid.SampledFrom([]float64{1, 5, 40, 200}).Draw(t, "rate")
		burst := rate * rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "burst seconds")
		quotas = append(quotas, tables.Workspace{Name: fmt.Sprintf("w%d", i), Rate: rate, Burst: burst})
	}
	return quotas
}

// joinTime is how long after a start an instance knows the members.
const joinTime = time.Second

// injectFault applies one fault to the cluster. No instance restarts while there is a partition or just before: nodes that
// have all restarted cannot know of others beyond it. docs/design/quotas.md names this limit.
func injectFault(t *rapid.T, c *cluster, changes *[]*change) {
	in := c.nodes[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "instance")]
	partitioned := slices.ContainsFunc(c.nodes, func(in *instance) bool { return in.side != 0 })
	switch fault := rapid.SampledFrom([]string{"partition", "heal", "pause", "resume", "restart", "kill", "restart all", "tables", "surge"}).Draw(t, "fault"); fault {
	case "partition":
		if slices.ContainsFunc(c.nodes, func(in *instance) bool { return in.up && c.now-in.startAt < joinTime }) {
			return
		}
		mask := rapid.IntRange(1, 1<<len(c.nodes)-2).Draw(t, "side")
		for i, in := range c.nodes {
			in.side = mask >> i & 1
		}
	case "heal":
		for _, in := range c.nodes {
			in.side = 0
		}
	case "pause":
		if in.up && !in.paused {
			in.paused, in.pausedAt = true, c.now
		}
	case "resume":
		in.resume()
	case "restart":
		if !partitioned {
			in.kill()
			in.start()
		}
	case "kill":
		if !partitioned {
			in.kill()
		}
	case "restart all":
		if partitioned {
			return
		}
		for _, in := range c.nodes {
			in.kill()
			in.start()
		}
	case "tables":
		c.quotas = drawQuotas(t)
		c.version++
		version, quotas := c.version, c.quotas
		added := &change{c.now, c.now + applyTime, quotas}
		*changes = append(*changes, added)
		for _, in := range c.nodes {
			c.after(time.Duration(c.rng.Int64N(int64(applyTime))), func() {
				in.do(func() {
					added.applied = max(added.applied, c.now)
					if in.node.version < version {
						in.applyTables(version, quotas)
					}
				})
			})
		}
	}
}

// Guards against more requests than the quota allows after generated partitions, pauses, restarts and new limits.
func TestBoundHoldsInGeneratedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Window: 5 * time.Second, Overage: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "overage"), Slack: float64(rapid.SampledFrom([]int{0, 20}).Draw(t, "slack"))}
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "nodes"), limits, false, drawQuotas(t))
		changes := []*change{{0, 0, c.quotas}}
		surge := 1.0
		const duration = 25 * time.Second
		for i := range c.quotas {
			c.load(c.quotas[i].Name, func() float64 { return surge * min(c.quotas[i].Rate, 100) }, duration)
		}
		for at := time.Duration(0); at < duration; at += time.Duration(rapid.IntRange(50, 4000).Draw(t, "interval")) * time.Millisecond {
			c.run(at)
			injectFault(t, c, &changes)
			surge = rapid.SampledFrom([]float64{0.1, 0.6, 2, 8}).Draw(t, "surge")
		}
		c.run(duration + 2*time.Second)
		if err := checkBound(c, changes); err != nil {
			t.Fatal(err)
		}
	})
}
