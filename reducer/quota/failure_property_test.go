package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against more requests than the quota allows because nodes that have ended no longer count, or because owners begin as soon
// as all nodes agree, with the faults of TestBoundHoldsInGeneratedFailures. Each quota has several owners here.
func TestBoundHoldsWithEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Window: 5 * time.Second, Overage: rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "overage"), Slack: minPartsSlack}
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "nodes"), limits, false, drawQuotas(t))
		c.evidence = true
		c.expected = len(c.nodes)
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
