package main

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Targets from section 1.5 of the design page.
const (
	targetUrgentInTime = 0.99
	targetGoodput      = 0.95
	// offeredTolerance is the fraction by which a class may miss an offered load below its minimum share: calls
	// whose service time exceeds their deadline are not credited.
	offeredTolerance = 0.05
)

// reportCheck prints whether a check passed and returns the number of failures, 0 or 1.
func reportCheck(ok bool, format string, args ...any) int {
	verdict := "ok  "
	if !ok {
		verdict = "FAIL"
	}
	fmt.Printf("%s %s\n", verdict, fmt.Sprintf(format, args...))
	if ok {
		return 0
	}
	return 1
}

// reportOverload prints the results and checks and returns the number of failed checks.
func reportOverload(results []*result) int {
	reportRuns(results)
	return checkOverload(results)
}

// reportRuns prints one line per run.
func reportRuns(results []*result) {
	fmt.Println("goodput: calls in time, as a share of the capacity. p<N>: calls in time in 100 / 50th / 99th percentile in ms / slot time in 100")
	for _, r := range results {
		s := r.scenario
		fmt.Printf("%-15s flood p%d %-6s %.1fx goodput %.3f recovery %5v", s.deployment.name, s.floodPriority,
			disciplineNames[s.discipline], s.loadFactor, r.goodput, r.recovery)
		if s.slowdown > 1 {
			fmt.Printf(" slowed %dx", s.slowdown)
		}
		for _, c := range classes {
			cr := r.classes[c.priority]
			fmt.Printf("  p%d %5.1f/%4d/%4d/%4.1f", c.priority, 100*cr.inTimeShare(), ms(cr.percentile(0.5)), ms(cr.percentile(0.99)), 100*r.slotShare(c.priority))
		}
		fmt.Println()
	}
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

func checkOverload(results []*result) int {
	failed := 0
	best := bestGoodput(results)
	for _, r := range results {
		s := r.scenario
		failed += reportCheck(r.slotOverruns == 0, "%s flood p%d %s %.1fx: %d starts beyond the slots", s.deployment.name, s.floodPriority,
			disciplineNames[s.discipline], s.loadFactor, r.slotOverruns)
		if s.discipline == reducer.DisciplineShares {
			failed += checkTargets(r, best)
		}
	}
	return failed
}

// series identifies a series of runs that differ only in load.
type series struct {
	deployment string
	flood      int
	discipline reducer.Discipline
}

func (s scenario) series() series { return series{s.deployment.name, s.floodPriority, s.discipline} }

func bestGoodput(results []*result) map[series]float64 {
	best := map[series]float64{}
	for _, r := range results {
		key := r.scenario.series()
		best[key] = max(best[key], r.goodput)
	}
	return best
}

// checkTargets checks a run against the targets and returns the number of failed checks.
func checkTargets(r *result, best map[series]float64) int {
	s := r.scenario
	label := fmt.Sprintf("%s flood p%d %.1fx", s.deployment.name, s.floodPriority, s.loadFactor)
	failed := 0
	if s.loadFactor == 4 {
		share := r.goodput / best[s.series()]
		failed += reportCheck(share >= targetGoodput, "%s: goodput %.3f of its best", label, share)
	}
	for _, c := range classes {
		if c.priority == 0 && s.offered(c) <= 1 {
			got := r.classes[0].inTimeShare()
			failed += reportCheck(got >= targetUrgentInTime, "%s: p0 in time %.4f", label, got)
		}
		if c.minShare > 0 && s.loadFactor > 1 {
			want := min(float64(c.minShare)/100, s.offered(c)*(1-offeredTolerance))
			failed += reportCheck(r.slotShare(c.priority) >= want, "%s: p%d keeps %.4f of the slot time, minimum %.4f",
				label, c.priority, r.slotShare(c.priority), want)
		}
	}
	return failed
}
