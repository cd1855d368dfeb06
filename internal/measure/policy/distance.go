package main

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// placement is the distribution of the upstreams of a service over zones and regions.
type placement struct {
	deployment
	zones     int
	farZones  int           // number of the zones that are in the other region
	regionHop time.Duration // one way, between regions
	reports   []timeReporting
}

var placements = []placement{
	{deployment: deployment{"4 zones", 8, 12, time.Millisecond}, zones: 4, reports: []timeReporting{reportConstant, reportObserved}},
	{deployment: deployment{"4 zones", 8, 12, 1500 * time.Microsecond}, zones: 4, reports: []timeReporting{reportConstant, reportObserved}},
	{
		deployment: deployment{"2 regions", 14, 6, time.Millisecond}, zones: 7, farZones: 3, regionHop: 15 * time.Millisecond,
		reports: []timeReporting{reportConstant, reportObserved, reportOneFalse},
	},
}

// entryPoint selects the nodes that callers reach.
type entryPoint string

const (
	entryBalanced entryPoint = "all zones" // all nodes with equal probability
	entryOneZone  entryPoint = "one zone"
	// entryNoUpstream selects the nodes of a zone whose backend servers are all down.
	entryNoUpstream entryPoint = "no upstream in the zone"
)

// timeReporting selects what targets report as the time that they spent on a forwarded call.
type timeReporting string

const (
	reportConstant timeReporting = "constant" // zero, as nodes of an older version do
	reportObserved timeReporting = "observed"
	reportOneFalse timeReporting = "one lies" // one upstream of the other region adds the network delay, which hides its distance
)

// misreportingNode is the index of the node that reports a false time. With 2 regions and 7 zones it is in the
// other region.
const misreportingNode = 5

// reportedTime returns the time that the node reports for a forwarded call that took the given time.
func (n *simNode) reportedTime(took time.Duration) time.Duration {
	switch n.cluster.options.reports {
	case "", reportConstant:
		return 0
	case reportOneFalse:
		if n.index == misreportingNode {
			return took + 2*n.cluster.options.regionHop
		}
	}
	return took
}

// crossings counts executions, and those that ran in another zone or region than the node the call entered at.
type crossings struct {
	calls, otherZone, otherRegion int
	atMisreporting                int // at misreportingNode
}

// add counts an execution at a node.
func (x *crossings) add(at, origin *simNode) {
	x.calls++
	if at.zone != origin.zone {
		x.otherZone++
	}
	if at.index == misreportingNode {
		x.atMisreporting++
	}
	if at.far != origin.far {
		x.otherRegion++
	}
}

// entryNode returns a random node among those that callers reach.
func (s scenario) entryNode(c *cluster) *simNode {
	i := c.rng.IntN(len(c.nodes))
	if s.entry != "" && s.entry != entryBalanced {
		i -= i % s.zones // zone 0 has the nodes whose index is divisible by the number of zones
	}
	return c.nodes[i]
}

// distanceScenarios returns scenarios that show where calls run when zones are at different distances.
func distanceScenarios(seed uint64) []scenario {
	var all []scenario
	for _, s := range placements {
		for _, e := range []entryPoint{entryBalanced, entryOneZone, entryNoUpstream} {
			for _, factor := range []float64{0.5, 1, 2} {
				for _, reports := range s.reports {
					all = append(all, scenario{
						deployment: s.deployment, placement: s, zones: s.zones, entry: e, floodPriority: 7, loadFactor: factor,
						reports: reports, seed: seed,
					})
				}
			}
		}
	}
	return all
}

func reportDistances(results []*result) {
	fmt.Println("zone, region: calls in 100 that ran in another one. liar: those at the upstream that lies. p<N>: calls in time in 100 / 50th / 99th percentile in ms")
	for _, r := range results {
		s := r.scenario
		fmt.Printf("%-9s %5v %-23s %.1fx %-8s goodput %.3f zone %5.1f region %5.1f liar %4.1f", s.placement.name, s.placement.zoneHop, s.entry,
			s.loadFactor, s.reports, r.goodput, percent(r.crossings.otherZone, r.crossings.calls),
			percent(r.crossings.otherRegion, r.crossings.calls), percent(r.crossings.atMisreporting, r.crossings.calls))
		for _, c := range classes {
			cr := r.classes[c.priority]
			fmt.Printf("  p%d %5.1f/%5.1f/%6.1f", c.priority, 100*cr.inTimeShare(), fractionalMs(cr.percentile(0.5)), fractionalMs(cr.percentile(0.99)))
		}
		fmt.Println()
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

func fractionalMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// inMeasuredTime reports whether a virtual time lies in the measured part of a run.
func inMeasuredTime(at time.Duration) bool {
	return at >= warmUp+settleTime && at < warmUp+loadTime
}

// originOf returns the node that a call entered at.
func (c *cluster) originOf(e reducer.StartBackendRequest) *simNode { return c.byID[e.ID.Origin] }
