package main

import (
	"math"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/balance"
)

// chooser returns the index of the upstream for the next attempt of a call.
type chooser func(w *world, j *job) int

// reportMaxAge and spillMargin are those of reducer/choose.go and distance.go.
const (
	reportMaxAge = time.Second
	spillMargin  = 15 * time.Millisecond
)

// todaysWait is estimateWait of reducer/choose.go.
func (v *view) todaysWait(w *world, priority int) time.Duration {
	if !v.has || w.now-v.at > reportMaxAge {
		service := max(v.report.service, time.Millisecond)
		return service * time.Duration(max(v.inFlight+1-w.slots, 0)) / time.Duration(w.slots)
	}
	free := max(w.slots-v.report.running-v.report.queued, 0)
	return v.report.waits[priority] + v.report.service*time.Duration(max(v.sent-free, 0))/time.Duration(w.slots)
}

// variant is a choice among samples of the near and the far subset.
type variant struct {
	chosen    bool // the rule of package balance
	samples   int
	speed     bool          // the service time counts
	fade      time.Duration // age at which 63% of the difference between a reported wait and the mean is forgotten; 0 for never
	occupancy float64       // weight of the part of the slots in use, as a part of the service time
	margin    float64       // part of the service time that a call in another zone must save beyond spillMargin
	across    float64       // part of the service time that counts between zones
	weighted  bool          // samples are drawn in proportion to the speed
}

func (c variant) choose(w *world, j *job) int {
	near := c.pick(w, j, j.node.near)
	far := c.pick(w, j, j.node.far)
	if near < 0 || far < 0 {
		return max(near, far)
	}
	service, _ := j.node.views[near].pace.Service(j.route.priority)
	margin := spillMargin + time.Duration(c.margin*float64(service))
	if c.chosen {
		margin = spillMargin + balance.OtherZoneMargin(j.node.typical(j.route.priority))
	}
	if c.cost(w, j, far, c.across)+margin < c.cost(w, j, near, c.across) {
		return far
	}
	return near
}

func (c variant) sample(w *world, j *job, from []int) int {
	for try := 1; ; try++ {
		i := from[w.rand.IntN(len(from))]
		if !c.weighted || try == 4 {
			return i
		}
		service, known := j.node.views[i].pace.Service(j.route.priority)
		if !known {
			return i
		}
		fastest := service
		for _, k := range from {
			if other, ok := j.node.views[k].pace.Service(j.route.priority); ok {
				fastest = min(fastest, other)
			}
		}
		if w.rand.Float64()*float64(service) < float64(fastest) {
			return i
		}
	}
}

func (c variant) pick(w *world, j *job, from []int) int {
	best, lowest := -1, time.Duration(math.MaxInt64)
	for k := 0; k < min(c.samples, len(from)); k++ {
		i := c.sample(w, j, from)
		if c.samples >= len(from) {
			i = from[k]
		}
		if j.tried == w.upstreams[i] {
			continue
		}
		cost := c.cost(w, j, i, 1)
		if best < 0 || cost < lowest || cost == lowest && j.node.views[i].inFlight < j.node.views[best].inFlight {
			best, lowest = i, cost
		}
	}
	return best
}

func (c variant) cost(w *world, j *job, i int, part float64) time.Duration {
	v := &j.node.views[i]
	p := j.route.priority
	cost := v.todaysWait(w, p)
	if c.fade > 0 && v.has {
		cost = time.Duration(float64(v.report.waits[p]) * math.Exp(-(w.now-v.at).Seconds()/c.fade.Seconds()))
		free := max(w.slots-v.report.running-v.report.queued, 0)
		cost += v.report.service * time.Duration(max(v.sent-free, 0)) / time.Duration(w.slots)
	}
	if !c.speed {
		return cost
	}
	service, ok := v.pace.Service(p)
	if !ok {
		service = j.node.typical(p)
	}
	busy := v.report.running + v.report.queued + v.sent
	if c.chosen {
		return balance.Cost(cost, service, busy, w.slots)
	}
	return cost + time.Duration(part*float64(service)*(1+c.occupancy*min(float64(busy)/float64(w.slots), 1)))
}

func chooseRoundRobin(w *world, j *job) int {
	j.node.turn++
	return (j.node.index*7 + j.node.turn) % len(w.upstreams)
}

// choosePerfectly takes the upstream that completes the call first, by the true state at this moment.
func choosePerfectly(w *world, j *job) int {
	best, lowest := 0, math.Inf(1)
	for i, u := range w.upstreams {
		if j.tried == u {
			continue
		}
		factor := 1 / u.speed
		if u.slow {
			factor *= slowFactor
		}
		cost := u.wait(j.route.priority, w.slots).Seconds() + j.route.work.Seconds()*factor
		if u.zone != j.node.zone {
			cost += 2 * (hopOther - hopOwnZone).Seconds()
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// typical returns the mean service time of a priority over the upstreams that the node knows.
func (n *node) typical(priority int) time.Duration {
	if n.mode.Due(n.now) {
		n.mode.Check(n.now, len(n.views), func(i int) *balance.Pace { return &n.views[i].pace })
	}
	return n.mode.Typical(priority)
}
