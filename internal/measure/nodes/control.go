package main

import (
	"fmt"
	"time"
)

// Number and interval of churn events. The rate is far above that of section 1.3 of the design page, so that the
// cost of an event can be told from the cost at rest.
const (
	churnRounds   = 10
	churnInterval = time.Second
)

// reportControl measures one node, which runs in its own process, in a fleet of the given size.
func reportControl(size int, window time.Duration) {
	printHeading(fmt.Sprintf("control work of one node among %d", size))
	f := startFleet(size, 1)
	defer f.stop()
	observed := f.start(hostOptions{zone: 0, first: 0, count: 1, register: true})
	f.publish()
	sample := []nodeRef{{0, 0}, {0, 1}, {3, 1}, {6, 1}} // exist in fleets of 14 nodes and more
	if formed, ok := f.awaitMembers(sample); !ok {
		fmt.Printf("the fleet was not complete after %v\n", formed)
		return
	}
	time.Sleep(settleTime)
	t := newTable("state", "s", "core %", "reducer core %", "RSS MB", "control B/s", "ms cpu a round")
	rest := observe(observed, func() { time.Sleep(2 * window) })
	t.row(rest.row("idle", 0, 0)...)
	t.row(observe(observed, func() {
		for range churnRounds {
			f.publish()
			time.Sleep(churnInterval)
		}
	}).row("one change a second", rest.cores(), churnRounds)...)
	t.row(observe(observed, func() { restartNodes(f) }).row("one restart in 2 s", rest.cores(), churnRounds/2)...)
	t.row(observe(observed, func() { restartZone(f) }).row("a zone restarts", rest.cores(), 1)...)
	t.print()
}

// restartNodes repeatedly adds a node to a zone and kills it. The other nodes see a join and a death, as in a restart.
func restartNodes(f *fleet) {
	for range churnRounds / 2 {
		extra := f.start(hostOptions{zone: 1, first: nodesInZone(f.size, 1), count: 1, register: true})
		time.Sleep(churnInterval)
		extra.kill()
		f.children = f.children[:len(f.children)-1]
		time.Sleep(churnInterval)
	}
}

// restartZone kills all nodes of zone 1, restarts them without delay and waits.
func restartZone(f *fleet) {
	f.children[1].kill()
	again := f.children[1].options
	again.startInterval = 0
	f.children[1] = startChild(again, f.activations)
	time.Sleep(churnRounds * churnInterval)
}

// observation holds what a node used during a period.
type observation struct {
	took           time.Duration
	processor      time.Duration
	resident       int64   // bytes, at the end
	bytes          float64 // control traffic, in and out
	reducerSeconds float64
}

// observe measures the first node of c while work runs.
func observe(c *child, work func()) observation {
	ref := nodeRef{c.options.zone, c.options.first}
	before, used, begin := scrapeOne(ref), c.usage(), time.Now()
	work()
	now, after := c.usage(), scrapeOne(ref)
	return observation{
		time.Since(begin), now.processor - used.processor, now.resident,
		after.in + after.out - before.in - before.out, after.reducerSeconds - before.reducerSeconds,
	}
}

func (o observation) cores() float64 { return o.processor.Seconds() / o.took.Seconds() }

// row returns the figures as a table row. The processor time per round is what exceeds rest, the cores used at rest.
func (o observation) row(name string, rest float64, rounds int) []string {
	round := "-"
	if rounds > 0 {
		round = fmt.Sprintf("%.2f", 1000*(o.processor.Seconds()-rest*o.took.Seconds())/float64(rounds))
	}
	return []string{
		name, formatNumber(o.took.Seconds()), fmt.Sprintf("%.2f", 100*o.cores()), fmt.Sprintf("%.2f", 100*o.reducerSeconds/o.took.Seconds()),
		formatNumber(float64(o.resident) / (1 << 20)), formatNumber(o.bytes / o.took.Seconds()), round,
	}
}
