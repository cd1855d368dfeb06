// Command policy measures how the reducer admits, queues, forwards and retries calls under load. It runs the
// reducer states of a cluster in virtual time with simulated backend servers; the same seed gives the same
// figures on every machine.
package main

import (
	"fmt"
	"os"
	"sync"

	"github.com/alecthomas/kingpin/v2"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// workers is the number of scenarios that run in parallel. It is small because the machine is shared.
const workers = 4

// factors are the loads under test, in multiples of the capacity.
var factors = []float64{0.5, 1, 2, 4}

var disciplineNames = map[reducer.Discipline]string{
	reducer.DisciplineShares: "shares", reducer.DisciplineStrict: "strict", reducer.DisciplineFIFO: "fifo",
}

func main() {
	app := kingpin.New("policy", "Measures the policy for calls under load.")
	seed := app.Flag("seed", "Seed of arrivals and service times.").Default("1").Uint64()
	part := app.Flag("part", "What to measure.").Default("all").Enum("all", "overload", "slowdown", "retries", "distance", "keys")
	kingpin.MustParse(app.Parse(os.Args[1:]))
	fmt.Printf("seed %d\n", *seed)
	failed := 0
	if *part == "all" || *part == "overload" {
		failed += reportOverload(runScenarios(overloadScenarios(*seed)))
	}
	if *part == "all" || *part == "slowdown" {
		reportRuns(runScenarios(slowdownScenarios(*seed)))
	}
	if *part == "all" || *part == "retries" {
		failed += reportRetries(*seed)
	}
	if *part == "all" || *part == "distance" {
		reportDistances(runScenarios(distanceScenarios(*seed)))
	}
	if *part == "all" || *part == "keys" {
		reportKeys(*seed)
	}
	if failed > 0 {
		fmt.Printf("%d checks failed\n", failed)
		os.Exit(1)
	}
	fmt.Println("all checks passed")
}

func overloadScenarios(seed uint64) []scenario {
	var all []scenario
	for _, d := range deployments {
		for _, flood := range []int{7, 0} {
			for _, discipline := range []reducer.Discipline{reducer.DisciplineShares, reducer.DisciplineStrict, reducer.DisciplineFIFO} {
				for _, factor := range factors {
					all = append(all, scenario{deployment: d, zones: overloadZones, discipline: discipline, floodPriority: flood, loadFactor: factor, seed: seed})
				}
			}
		}
	}
	return all
}

// slowdownScenarios returns scenarios at light load in which backend servers are 10 or 30 times slower for a
// while. The learned service times must not cause refusals once the servers are fast again.
func slowdownScenarios(seed uint64) []scenario {
	var all []scenario
	for _, d := range deployments {
		for _, slowdown := range []int{10, 30} {
			all = append(all, scenario{deployment: d, zones: overloadZones, floodPriority: 7, loadFactor: lightLoad, seed: seed, slowdown: slowdown})
		}
	}
	return all
}

func runScenarios(all []scenario) []*result {
	results := make([]*result, len(all))
	next := make(chan int)
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				results[i] = runScenario(all[i])
			}
		}()
	}
	for i := range all {
		next <- i
	}
	close(next)
	wg.Wait()
	return results
}
