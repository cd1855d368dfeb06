// Command balance measures choices among upstreams in a simulation in virtual time: today's choice, round robin, perfect
// knowledge and candidates.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// result sums up a simulation.
type result struct {
	calls, refused, inTarget, otherZone int
	waits, took                         []time.Duration
	spread                              []float64
}

func (r *result) add(w *world, j *job, done bool) {
	r.calls++
	if !done {
		r.refused++
		return
	}
	took := w.now - j.arrived
	r.took = append(r.took, took)
	if took <= j.route.target {
		r.inTarget++
	}
	if j.node.zone != j.to.zone {
		r.otherZone++
	}
}

// share returns the part of the calls that ended within their target latency.
func (r *result) share() float64 { return float64(r.inTarget) / float64(r.calls) }

// closeSecond notes the busiest upstream by slot time relative to the mean.
func (w *world) closeSecond() {
	highest, sum := 0.0, 0.0
	for _, u := range w.upstreams {
		highest, sum = max(highest, u.busy.Seconds()), sum+u.busy.Seconds()
		u.busy = 0
	}
	if w.now > w.warmUp && sum > 0 {
		w.result.spread = append(w.result.spread, highest*float64(len(w.upstreams))/sum)
	}
	w.after(time.Second, w.closeSecond)
}

func percentile[T int64 | float64 | time.Duration](values []T, p float64) T {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(p*float64(len(values))), len(values)-1)]
}

type candidate struct {
	name   string
	choose chooser
}

func candidates() []candidate {
	return []candidate{
		{"today", variant{samples: 2}.choose},
		{"round robin", chooseRoundRobin},
		{"perfect", choosePerfectly},
		{"wait + service", variant{samples: 2, speed: true, across: 1}.choose},
		{"the same, 4 of 12", variant{samples: 4, speed: true, across: 1}.choose},
		{"the same, 12 of 12", variant{samples: 12, speed: true, across: 1}.choose},
		{"old waits fade", variant{samples: 2, speed: true, across: 1, fade: 500 * time.Millisecond}.choose},
		{"wait between zones", variant{samples: 2, speed: true}.choose},
		{"weighted samples", variant{samples: 2, weighted: true}.choose},
		{"slots in use count", variant{samples: 2, speed: true, across: 1, occupancy: 1}.choose},
		{"chosen", variant{samples: 2, speed: true, chosen: true}.choose},
	}
}

func main() {
	app := kingpin.New("balance", "Measures choices among upstreams.")
	seed := app.Flag("seed", "first of the seeds").Default("1").Uint64()
	name := app.Flag("scenario", "what is simulated").Default("toll-ledger").Enum("toll-ledger", "equal", "large")
	wave := app.Flag("wave", "part by which the demand of a zone swings, 0 for that of the scenario").Float64()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s := map[string]func() scenario{"toll-ledger": tollLedger, "equal": equalSpeeds, "large": largeSite}[*name]()
	if *wave > 0 {
		s.wave = *wave
	}
	for _, load := range []float64{0.6, 0.8, 1} {
		for _, delay := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			s.load, s.reportDelay = load, delay
			fmt.Printf("%s, load %.1f, wave %.2f, reports delayed by %v, seeds from %d\n", *name, load, s.wave, delay, *seed)
			for _, c := range candidates() {
				print(c.name, runSeeds(s, c.choose, *seed))
			}
		}
	}
}

// runSeeds returns the sum of the simulations of some seeds.
func runSeeds(s scenario, choose chooser, seed uint64) *result {
	var all result
	results := make(chan *result)
	for i := range uint64(seeds) {
		go func() { results <- newWorld(s, choose, seed+i).run() }()
	}
	for range seeds {
		all.merge(<-results)
	}
	return &all
}

// seeds is the number of simulations with other random numbers.
const seeds = 3

func (r *result) merge(o *result) {
	r.calls, r.refused, r.inTarget, r.otherZone = r.calls+o.calls, r.refused+o.refused, r.inTarget+o.inTarget, r.otherZone+o.otherZone
	r.waits, r.took, r.spread = append(r.waits, o.waits...), append(r.took, o.took...), append(r.spread, o.spread...)
}

func print(name string, r *result) {
	fmt.Printf("  %-18s in target %5.1f%%  refused %5.1f%%  other zone %5.1f%%  p50 %4d ms  p99 wait %4d ms  busiest/mean %.2f\n", name,
		100*r.share(), 100*float64(r.refused)/float64(r.calls), 100*float64(r.otherZone)/float64(r.calls),
		percentile(r.took, 0.5).Milliseconds(), percentile(r.waits, 0.99).Milliseconds(), percentile(r.spread, 0.5))
}
