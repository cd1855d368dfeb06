package main

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// spread is how the upstreams of a service are spread over zones and regions.
type spread struct {
	deployment
	zones     int
	farZones  int           // of them in the other region
	regionHop time.Duration // one way, between regions
	reports   []timeReports
}

var spreads = []spread{
	{deployment: deployment{"4 zones", 8, 12, time.Millisecond}, zones: 4, reports: []timeReports{reportsNone, reportsTrue}},
	{deployment: deployment{"4 zones", 8, 12, 1500 * time.Microsecond}, zones: 4, reports: []timeReports{reportsNone, reportsTrue}},
	{
		deployment: deployment{"2 regions", 14, 6, time.Millisecond}, zones: 7, farZones: 3, regionHop: 15 * time.Millisecond,
		reports: []timeReports{reportsNone, reportsTrue, reportsOneLies},
	},
}

// entry says where callers reach the nodes.
type entry string

const (
	entryBalanced entry = "all zones" // at all nodes alike
	entryOneZone  entry = "one zone"
	// entryNoUpstream is at the nodes of one zone whose backend servers are down.
	entryNoUpstream entry = "no upstream in the zone"
)

// timeReports says what targets report of the time that they had a call.
type timeReports string

const (
	reportsNone    timeReports = "constant" // as nodes of an older version
	reportsTrue    timeReports = "observed" //
	reportsOneLies timeReports = "one lies" // one upstream of the other region hides the distance
)

// lyingNode is the node that lies; with 2 regions and 7 zones it is in the other one.
const lyingNode = 5

// reportedTime returns what a node reports of the time that it had a call.
func (n *simNode) reportedTime(took time.Duration) time.Duration {
	switch n.cluster.options.reports {
	case "", reportsNone:
		return 0
	case reportsOneLies:
		if n.index == lyingNode {
			return took + 2*n.cluster.options.regionHop
		}
	}
	return took
}

// crossings counts the executions of calls by the way that they went.
type crossings struct {
	calls, zones, regions int
	lying                 int // at lyingNode
}

// count takes in an execution at a node.
func (x *crossings) count(at, origin *simNode) {
	x.calls++
	if at.zone != origin.zone {
		x.zones++
	}
	if at.index == lyingNode {
		x.lying++
	}
	if at.far != origin.far {
		x.regions++
	}
}

// entryNode returns the node that a caller reaches.
func (s scenario) entryNode(c *cluster) *simNode {
	i := c.rng.IntN(len(c.nodes))
	if s.entry != "" && s.entry != entryBalanced {
		i -= i % s.zones // zone 0 has the nodes whose index is divisible by the number of zones
	}
	return c.nodes[i]
}

// distances returns the runs that show where calls go when the distances between zones differ.
func distances(seed uint64) []scenario {
	var all []scenario
	for _, s := range spreads {
		for _, e := range []entry{entryBalanced, entryOneZone, entryNoUpstream} {
			for _, factor := range []float64{0.5, 1, 2} {
				for _, reports := range s.reports {
					all = append(all, scenario{
						deployment: s.deployment, spread: s, zones: s.zones, entry: e, flood: 7, factor: factor,
						reports: reports, seed: seed,
					})
				}
			}
		}
	}
	return all
}

// reportDistances prints a line for each run.
func reportDistances(results []*result) {
	fmt.Println("zone, region: calls in 100 that ran in another one. liar: those at the upstream that lies. p<N>: calls in time in 100 / 50th / 99th percentile in ms")
	for _, r := range results {
		s := r.scenario
		fmt.Printf("%-9s %5v %-23s %.1fx %-8s goodput %.3f zone %5.1f region %5.1f liar %4.1f", s.spread.name, s.spread.zoneHop, s.entry,
			s.factor, s.reports, r.goodput, percent(r.crossed.zones, r.crossed.calls),
			percent(r.crossed.regions, r.crossed.calls), percent(r.crossed.lying, r.crossed.calls))
		for _, c := range classes {
			cr := r.classes[c.priority]
			fmt.Printf("  p%d %5.1f/%5.1f/%6.1f", c.priority, 100*cr.inTimeShare(), tenths(cr.percentile(0.5)), tenths(cr.percentile(0.99)))
		}
		fmt.Println()
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func tenths(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// inMeasuredTime reports whether a time belongs to the part of the run whose figures count.
func inMeasuredTime(at time.Duration) bool {
	return at >= warmUp+settled && at < warmUp+loadTime
}

// originOf returns the node that a call entered at.
func (c *cluster) originOf(start reducer.StartBackendRequest) *simNode {
	return c.byID[start.ID.Origin]
}
