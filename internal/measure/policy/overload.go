package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// deployment is the size of one service of today's two deployments.
type deployment struct {
	name      string
	upstreams int
	slots     int
	zoneHop   time.Duration
}

var deployments = []deployment{
	{"stitchroom", 6, 6, time.Millisecond},
	{"cuttable", 4, 6, time.Millisecond},
	{"counter-desk", 8, 12, 1500 * time.Microsecond},
	{"approval-office", 4, 12, 1500 * time.Microsecond},
}

// class is the traffic of one priority.
type class struct {
	priority int
	timeout  time.Duration
	minShare int     // percent
	base     float64 // offered load outside of the flood, as a share of the capacity
}

var classes = []class{
	{0, 250 * time.Millisecond, 0, 0.40},
	{2, 500 * time.Millisecond, 10, 0.15},
	{4, time.Second, 10, 0.15},
	{7, 2 * time.Second, 5, 0.10},
}

// Service times are a fixed part and an exponential one; the mean is 20 ms.
const (
	serviceFixed = 5 * time.Millisecond
	serviceRest  = 15 * time.Millisecond
	serviceMean  = serviceFixed + serviceRest
)

// Phases of a run: light load, the load under test, light load again.
const (
	warmUp        = 5 * time.Second
	loadTime      = 12 * time.Second
	settled       = 2 * time.Second // part of loadTime that is left out of the figures
	recoveryTime  = 5 * time.Second
	recoveryStep  = 250 * time.Millisecond
	lightLoad     = 0.5
	overloadZones = 4
)

// scenario is one run.
type scenario struct {
	deployment deployment
	discipline reducer.Discipline
	flood      int // priority that floods
	factor     float64
	seed       uint64
	slowdown   int // factor of the service time during the load under test
	spread     spread
	zones      int
	entry      entry
	reports    timeReports
}

// offered returns the load of a class under test, as a share of the capacity.
func (s scenario) offered(c class) float64 {
	if c.priority != s.flood {
		return c.base * min(s.factor, 1)
	}
	rest := s.factor
	for _, other := range classes {
		if other.priority != s.flood {
			rest -= other.base * min(s.factor, 1)
		}
	}
	return rest
}

// classResult is what became of the calls of one priority.
type classResult struct {
	calls, inTime int
	slotTime      time.Duration // received within the measured time
	latencies     []time.Duration
}

func (r *classResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.calls, 1)) }

func (r *classResult) percentile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	sort.Slice(r.latencies, func(i, j int) bool { return r.latencies[i] < r.latencies[j] })
	return r.latencies[min(int(p*float64(len(r.latencies))), len(r.latencies)-1)]
}

// result is the outcome of a run.
type result struct {
	scenario  scenario
	classes   map[int]*classResult
	goodput   float64 // calls in time a second, as a share of the capacity
	recovery  time.Duration
	overSlots int
	crossed   crossings
}

// kept returns the share of all slot time that a priority received.
func (r *result) kept(priority int) float64 {
	d := r.scenario.deployment
	capacity := float64(d.upstreams*d.slots) * (loadTime - settled).Seconds()
	return r.classes[priority].slotTime.Seconds() / capacity
}

func pools() string {
	text := "[pool main]\nservice = " + service + "\nramp = 0s\n"
	for _, c := range classes {
		text += fmt.Sprintf("min_share.%d = %d\n", c.priority, c.minShare)
	}
	return text
}

func routes() string {
	text := ""
	for _, c := range classes {
		text += fmt.Sprintf("[route p%d]\npath = /p%d\npool = main\npriority = %d\nidempotent = yes\ntimeout = %v\n",
			c.priority, c.priority, c.priority, c.timeout)
	}
	return text
}

// overloadRun is a run in progress.
type overloadRun struct {
	cluster *cluster
	result  *result
	windows []classResult // of all calls after the flood
}

func runOverload(s scenario) *result {
	d := s.deployment
	c := newCluster(clusterOptions{
		upstreams: d.upstreams, slots: d.slots, zones: s.zones, zoneHop: d.zoneHop,
		farZones: s.spread.farZones, regionHop: s.spread.regionHop, noUpstream: s.entry == entryNoUpstream,
		reports:    s.reports,
		discipline: s.discipline, routes: routes(), pools: pools(), seed: s.seed,
	})
	r := &overloadRun{cluster: c, result: &result{scenario: s, classes: map[int]*classResult{}}}
	r.windows = make([]classResult, recoveryTime/recoveryStep)
	c.execute = r.execute
	for _, cl := range classes {
		r.result.classes[cl.priority] = &classResult{}
		r.arrive(cl)
	}
	c.run(warmUp + loadTime + recoveryTime + 3*time.Second)
	r.summarize()
	return r.result
}

func (r *overloadRun) execute(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult)) {
	c := r.cluster
	if inMeasuredTime(c.now) {
		r.result.crossed.count(n, c.originOf(start))
	}
	took := serviceFixed + time.Duration(c.rng.ExpFloat64()*float64(serviceRest))
	began := c.now
	if began >= warmUp && began < warmUp+loadTime {
		took *= time.Duration(max(r.result.scenario.slowdown, 1))
	}
	run := n.running[start.Call]
	c.after(took, func() {
		if n.running[start.Call] == run {
			r.credit(run.priority, began, c.now)
		}
		done(reducer.BackendAnswered)
	})
}

// credit adds slot time within the measured part of the run.
func (r *overloadRun) credit(priority int, from, to time.Duration) {
	from, to = max(from, warmUp+settled), min(to, warmUp+loadTime)
	if to > from {
		r.result.classes[priority].slotTime += to - from
	}
}

// arrive sends the next call of a class after an exponential pause, at a random node.
func (r *overloadRun) arrive(cl class) {
	c := r.cluster
	load := r.loadNow(cl)
	d := r.result.scenario.deployment
	rate := load * float64(d.upstreams*d.slots) / serviceMean.Seconds()
	pause := time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
	if c.now+pause > warmUp+loadTime+recoveryTime {
		return
	}
	c.after(pause, func() {
		r.send(cl)
		r.arrive(cl)
	})
}

// loadNow returns the offered load of a class at this time of the run.
func (r *overloadRun) loadNow(cl class) float64 {
	if now := r.cluster.now; now >= warmUp && now < warmUp+loadTime {
		return r.result.scenario.offered(cl)
	}
	light := r.result.scenario
	light.factor = lightLoad
	return light.offered(cl)
}

func (r *overloadRun) send(cl class) {
	c := r.cluster
	n := r.result.scenario.entryNode(c)
	began := c.now
	n.call(reducer.CallArrived{Path: fmt.Sprintf("/p%d", cl.priority), RetriesLeft: -1}, func(ok bool) {
		r.finished(cl, began, ok && c.now-began <= cl.timeout)
	})
}

func (r *overloadRun) finished(cl class, began time.Duration, inTime bool) {
	into := r.result.classes[cl.priority]
	switch {
	case inMeasuredTime(began):
	case began >= warmUp+loadTime:
		index := int((began - warmUp - loadTime) / recoveryStep)
		into = &r.windows[min(index, len(r.windows)-1)]
	default:
		return
	}
	into.calls++
	if inTime {
		into.inTime++
		into.latencies = append(into.latencies, r.cluster.now-began)
	}
}

func (r *overloadRun) summarize() {
	done := 0
	for _, cl := range classes {
		done += r.result.classes[cl.priority].inTime
	}
	d := r.result.scenario.deployment
	capacity := float64(d.upstreams*d.slots) / serviceMean.Seconds() * (loadTime - settled).Seconds()
	r.result.goodput = float64(done) / capacity
	r.result.overSlots = r.cluster.overSlots
	for i := range r.windows {
		if r.windows[i].inTimeShare() < 0.99 {
			r.result.recovery = time.Duration(i+1) * recoveryStep
		}
	}
}
