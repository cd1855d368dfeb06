package main

import (
	"fmt"
	"sort"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// deployment is the size of one service of the two present deployments.
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
	baseLoad float64 // offered load when another priority floods, as a share of the capacity
}

var classes = []class{
	{0, 250 * time.Millisecond, 0, 0.40},
	{2, 500 * time.Millisecond, 10, 0.15},
	{4, time.Second, 10, 0.15},
	{7, 2 * time.Second, 5, 0.10},
}

// A service time is the sum of a fixed and an exponentially distributed part; its mean is 20 ms.
const (
	serviceFixed       = 5 * time.Millisecond
	serviceExponential = 15 * time.Millisecond
	serviceMean        = serviceFixed + serviceExponential
)

// A run has three phases: light load, the load under test, and light load again.
const (
	warmUp        = 5 * time.Second
	loadTime      = 12 * time.Second
	settleTime    = 2 * time.Second // start of loadTime that is excluded from the figures
	recoveryTime  = 5 * time.Second
	recoveryStep  = 250 * time.Millisecond
	lightLoad     = 0.5
	overloadZones = 4
)

// scenario configures one run.
type scenario struct {
	deployment    deployment
	discipline    reducer.Discipline
	floodPriority int     // priority whose load is raised
	loadFactor    float64 // offered load under test, in multiples of the capacity
	seed          uint64
	slowdown      int // factor of the service time during the load under test
	placement     placement
	zones         int
	entry         entryPoint
	reports       timeReporting
}

// offered returns the offered load of a class in the phase under test, as a share of the capacity. The flooding
// class offers what the others leave of the load factor.
func (s scenario) offered(c class) float64 {
	if c.priority != s.floodPriority {
		return c.baseLoad * min(s.loadFactor, 1)
	}
	rest := s.loadFactor
	for _, other := range classes {
		if other.priority != s.floodPriority {
			rest -= other.baseLoad * min(s.loadFactor, 1)
		}
	}
	return rest
}

// classResult holds the figures of the calls of one class.
type classResult struct {
	calls, inTime int
	slotTime      time.Duration   // received within the measured time
	latencies     []time.Duration // of the calls in time
}

// inTimeShare returns the share of the calls that got a response in time, and 0 if there were no calls.
func (r *classResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(r.calls, 1)) }

// percentile returns the latency at the quantile p, between 0 and 1, and 0 if no call was in time.
func (r *classResult) percentile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	sort.Slice(r.latencies, func(i, j int) bool { return r.latencies[i] < r.latencies[j] })
	return r.latencies[min(int(p*float64(len(r.latencies))), len(r.latencies)-1)]
}

// result holds the figures of a run.
type result struct {
	scenario     scenario
	classes      map[int]*classResult
	goodput      float64       // calls in time per second, as a share of the capacity
	recovery     time.Duration // from the end of the load under test to the end of the last step with too many late calls
	slotOverruns int
	crossings    crossings
}

// slotShare returns the share of all slot time that a priority received.
func (r *result) slotShare(priority int) float64 {
	d := r.scenario.deployment
	capacity := float64(d.upstreams*d.slots) * (loadTime - settleTime).Seconds()
	return r.classes[priority].slotTime.Seconds() / capacity
}

func poolsText() string {
	text := "[pool main]\nservice = " + service + "\nramp = 0s\n"
	for _, c := range classes {
		text += fmt.Sprintf("min_share.%d = %d\n", c.priority, c.minShare)
	}
	return text
}

func routesText() string {
	text := ""
	for _, c := range classes {
		text += fmt.Sprintf("[route p%d]\npath = /p%d\npool = main\npriority = %d\nidempotent = yes\ntimeout = %v\n",
			c.priority, c.priority, c.priority, c.timeout)
	}
	return text
}

// overloadRun is a run in progress.
type overloadRun struct {
	cluster         *cluster
	result          *result
	recoveryWindows []classResult // all calls after the load under test, in steps of recoveryStep
}

func runScenario(s scenario) *result {
	d := s.deployment
	c := newCluster(clusterOptions{
		upstreams: d.upstreams, slots: d.slots, zones: s.zones, zoneHop: d.zoneHop,
		farZones: s.placement.farZones, regionHop: s.placement.regionHop, firstZoneDown: s.entry == entryNoUpstream,
		reports:    s.reports,
		discipline: s.discipline, routes: routesText(), pools: poolsText(), seed: s.seed,
	})
	r := &overloadRun{cluster: c, result: &result{scenario: s, classes: map[int]*classResult{}}}
	r.recoveryWindows = make([]classResult, recoveryTime/recoveryStep)
	c.execute = r.execute
	for _, cl := range classes {
		r.result.classes[cl.priority] = &classResult{}
		r.scheduleArrival(cl)
	}
	c.run(warmUp + loadTime + recoveryTime + 3*time.Second)
	r.summarize()
	return r.result
}

// execute simulates a request with a random service time and credits the slot time to its priority.
func (r *overloadRun) execute(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult)) {
	c := r.cluster
	if inMeasuredTime(c.now) {
		r.result.crossings.add(n, c.originOf(start))
	}
	took := serviceFixed + time.Duration(c.rng.ExpFloat64()*float64(serviceExponential))
	began := c.now
	if began >= warmUp && began < warmUp+loadTime {
		took *= time.Duration(max(r.result.scenario.slowdown, 1))
	}
	request := n.running[start.Call]
	c.scheduleAfter(took, func() {
		if n.running[start.Call] == request {
			r.addSlotTime(request.priority, began, c.now)
		}
		done(reducer.BackendAnswered)
	})
}

// addSlotTime credits a priority with the part of an execution that lies in the measured time.
func (r *overloadRun) addSlotTime(priority int, from, to time.Duration) {
	from, to = max(from, warmUp+settleTime), min(to, warmUp+loadTime)
	if to > from {
		r.result.classes[priority].slotTime += to - from
	}
}

// scheduleArrival schedules the next call of a class after an exponentially distributed interval.
func (r *overloadRun) scheduleArrival(cl class) {
	c := r.cluster
	load := r.currentLoad(cl)
	d := r.result.scenario.deployment
	rate := load * float64(d.upstreams*d.slots) / serviceMean.Seconds()
	pause := time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
	if c.now+pause > warmUp+loadTime+recoveryTime {
		return
	}
	c.scheduleAfter(pause, func() {
		r.sendCall(cl)
		r.scheduleArrival(cl)
	})
}

// currentLoad returns the offered load of a class at the current virtual time.
func (r *overloadRun) currentLoad(cl class) float64 {
	if now := r.cluster.now; now >= warmUp && now < warmUp+loadTime {
		return r.result.scenario.offered(cl)
	}
	light := r.result.scenario
	light.loadFactor = lightLoad
	return light.offered(cl)
}

func (r *overloadRun) sendCall(cl class) {
	c := r.cluster
	n := r.result.scenario.entryNode(c)
	began := c.now
	n.sendCall(reducer.CallArrived{Path: fmt.Sprintf("/p%d", cl.priority), RetriesLeft: -1}, func(ok bool) {
		r.recordCall(cl, began, ok && c.now-began <= cl.timeout)
	})
}

// recordCall counts a finished call in the measured phase or in a recovery window, by the time at which it began.
func (r *overloadRun) recordCall(cl class, began time.Duration, inTime bool) {
	into := r.result.classes[cl.priority]
	switch {
	case inMeasuredTime(began):
	case began >= warmUp+loadTime:
		index := int((began - warmUp - loadTime) / recoveryStep)
		into = &r.recoveryWindows[min(index, len(r.recoveryWindows)-1)]
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
	capacity := float64(d.upstreams*d.slots) / serviceMean.Seconds() * (loadTime - settleTime).Seconds()
	r.result.goodput = float64(done) / capacity
	r.result.slotOverruns = r.cluster.slotOverruns
	for i := range r.recoveryWindows {
		if r.recoveryWindows[i].inTimeShare() < 0.99 {
			r.result.recovery = time.Duration(i+1) * recoveryStep
		}
	}
}
