package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkJudge judges a service with 200 old and 20 new upstreams and five routes, as a decider does every 50 ms.
func BenchmarkJudge(b *testing.B) {
	e := NewEvidence(0, 12*time.Second)
	for second := range 8 {
		for node := range 220 {
			r := Report{Slots: 6}
			for route := range 5 {
				c := RouteCount{Route: fmt.Sprint("r", route), Calls: 3}
				c.Buckets[10+(node+route+second)%5] = 3
				r.Routes = append(r.Routes, c)
			}
			e.Add(time.Duration(second)*time.Second, fmt.Sprint("n", node), fmt.Sprint("z", node%7), node >= 200, r)
		}
	}
	b.Run("same", func(b *testing.B) {
		for b.Loop() {
			e.Judge()
		}
	})
	b.Run("more responses", func(b *testing.B) {
		for b.Loop() {
			e.comparedCalls = 0
			e.Judge()
		}
	})
}
