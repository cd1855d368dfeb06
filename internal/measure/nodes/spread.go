package main

import (
	"fmt"
	"math"
	"time"
)

const (
	changeCount    = 8 // versions published to measure a change
	changeInterval = 300 * time.Millisecond
	stormWindow    = 6 * time.Second // shortest time after the restart of a zone over which traffic is counted
	scrapeCooldown = 2 * time.Second // keeps the cost of scraping out of the processor time
	sampledPerZone = 3               // nodes of each zone that are asked for their members
)

// reportFleet measures fleets of several sizes and prints a table.
func reportFleet(sizes []int, window time.Duration) {
	t := newTable(fleetColumns...)
	for _, size := range sizes {
		printHeading(fmt.Sprintf("fleet of %d nodes in %d zones", size, zones))
		row := measureFleet(size, window)
		printTransposed(fleetColumns, row)
		t.row(row...)
	}
	t.print()
}

var fleetColumns = []string{
	"nodes", "form s", "idle B/s mean", "max", "core %", "MB a node", "active ms p50", "p99", "max", "B a change",
	"ms cpu a change", "platform/s idle", "in storm", "storm B/s mean", "max", "whole after s",
}

func measureFleet(size int, window time.Duration) []string {
	f := startFleet(size, 0)
	defer f.stop()
	f.publish()
	formed, ok := f.awaitMembers(f.nodes(sampledPerZone))
	if !ok {
		return []string{fmt.Sprint(size), fmt.Sprintf("not whole after %.0f", formed.Seconds())}
	}
	time.Sleep(settleTime)
	row := append([]string{fmt.Sprint(size), formatNumber(formed.Seconds())}, f.measureIdle(window)...)
	row = append(row, f.measureChanges()...)
	calls := f.platformCalls()
	begin := time.Now()
	time.Sleep(window)
	row = append(row, formatNumber(float64(f.platformCalls()-calls)/time.Since(begin).Seconds()))
	return append(row, f.measureRestartStorm()...)
}

// measureIdle measures control bytes per second, processor time and memory per node of a fleet at rest.
func (f *fleet) measureIdle(window time.Duration) []string {
	all := f.nodes(math.MaxInt)
	before, begin := scrape(all), time.Now()
	time.Sleep(scrapeCooldown)
	used, _ := f.usage()
	usedFrom := time.Now()
	time.Sleep(window)
	usedNow, resident := f.usage()
	core := float64(usedNow-used) / float64(time.Since(usedFrom)) / float64(f.size)
	mean, highest := traffic(before, scrape(all))
	took := time.Since(begin).Seconds()
	return []string{
		formatNumber(mean / took), formatNumber(highest / took), fmt.Sprintf("%.2f", 100*core),
		formatNumber(float64(resident) / float64(f.size) / (1 << 20)),
	}
}

// measureChanges publishes versions one after another and measures activation time, traffic and processor time.
func (f *fleet) measureChanges() []string {
	all := f.nodes(math.MaxInt)
	times := newLatencies()
	before, begin := scrape(all), time.Now()
	used, _ := f.usage()
	missed := 0
	for range changeCount {
		since := f.publish()
		if !f.awaitActive(f.size, since, times.add) {
			missed++
		}
		time.Sleep(changeInterval)
	}
	usedNow, _ := f.usage()
	mean, _ := traffic(before, scrape(all))
	took := time.Since(begin)
	fmt.Printf("%d changes in %.1f s, %d not active everywhere in %v\n", changeCount, took.Seconds(), missed, activationTimeout)
	return []string{
		millis(times.percentile(50)), millis(times.percentile(99)), millis(times.longest()), formatNumber(mean / changeCount),
		fmt.Sprintf("%.2f", (usedNow-used).Seconds()*1000/changeCount/float64(f.size)),
	}
}

// measureRestartStorm kills all nodes of a zone at once, restarts them without delay, and measures the calls to the
// platform and the control traffic of the restarted nodes.
func (f *fleet) measureRestartStorm() []string {
	f.children[0].kill()
	calls, begin := f.platformCalls(), time.Now()
	again := f.children[0].options
	again.startInterval = 0
	f.children[0] = startChild(again, f.activations)
	var zone []nodeRef
	for index := range nodesInZone(f.size, 0) {
		zone = append(zone, nodeRef{0, index})
	}
	whole := "no"
	if _, ok := f.awaitMembers(f.nodes(sampledPerZone)); ok {
		whole = formatNumber(time.Since(begin).Seconds())
	}
	time.Sleep(max(0, stormWindow-time.Since(begin)))
	took := time.Since(begin).Seconds()
	readings := scrape(zone)
	mean, highest := traffic(nil, readings)
	fmt.Printf("control messages per node of the restarted zone, mean, in the first %.1f s\n", took)
	kindTable(readings).print()
	return []string{
		formatNumber(float64(f.platformCalls()-calls) / took), formatNumber(mean / took), formatNumber(highest / took), whole,
	}
}
