package reducer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// BenchmarkChooseUpstream measures one choice among the 222 upstreams of the large site, with fresh load reports.
func BenchmarkChooseUpstream(b *testing.B) {
	for _, balance := range []string{"slots", "auto", "speed"} {
		b.Run(balance, func(b *testing.B) { benchmarkChoice(b, balance) })
	}
}

func benchmarkChoice(b *testing.B, balance string) {
	snapshot := testSnapshot(b, "[route r]\npool = p\n", "[pool p]\nservice = s\nramp = 0s\nbalance = "+balance+"\n")
	s := newLargeNode(snapshot, 0)
	random := rand.New(rand.NewPCG(testSeed, 0))
	callLarge(s, 100, random)
	call := &ingressCall{route: tables.Route{Name: "r", Pool: "p"}, deadline: time.Hour}
	for b.Loop() {
		s.rand = random.Uint64()
		if s.now += 10 * time.Microsecond; random.IntN(100) == 0 {
			for _, u := range s.servingUpstreams("s")[:8] {
				u.load.report, u.load.reportedAt, u.load.hasReport = busyReport(0), s.now, true
			}
		}
		if target, _ := s.chooseUpstream(call); target.Node == "" {
			b.Fatal("no upstream was chosen")
		}
	}
}
