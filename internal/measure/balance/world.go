package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/balance"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// route is a kind of calls of the simulated service.
type route struct {
	name     string
	rate     float64 // calls a second over all zones
	work     time.Duration
	target   time.Duration
	timeout  time.Duration
	priority int
}

// scenario is a service and the load on it.
type scenario struct {
	nodes, zones, upstreams, slots int
	speeds                         []float64
	wave                           float64 // part by which the demand of a zone swings
	load                           float64 // factor on the rates of the routes
	slowShare                      float64 // part of the time for which an upstream is slowed by slowFactor
	reportDelay                    time.Duration
	routes                         []route
	duration, warmUp               time.Duration
}

const (
	wavePeriod   = 17.0
	slowFactor   = 2.5
	slowSpell    = 600 * time.Millisecond
	longShare    = 0.03
	longFactor   = 7
	hopOwnZone   = 200 * time.Microsecond
	hopOther     = 700 * time.Microsecond
	serviceStep  = 0.1 // weight of the newest execution, as in reducer/service.go
	subsetSize   = 12
	arrivalDecay = 1.0
)

var phases = []float64{0.1, 0.18, 0.26, 0.34}

// report is a load report as a node receives it.
type report struct {
	waits, services [tables.Priorities]time.Duration
	service         time.Duration
	running, queued int
}

// view is what one node knows of one upstream.
type view struct {
	report   report
	at       time.Duration
	has      bool
	sent     int
	inFlight int
	pace     balance.Pace
}

type upstream struct {
	index, zone int
	speed       float64
	slow        bool
	running     int
	runningCost time.Duration
	waiting     [tables.Priorities][]*job
	arrived     [tables.Priorities]float64
	arrivedAt   time.Duration
	mean        time.Duration
	byRoute     []time.Duration
	busy        time.Duration // slot time in the current second
}

type job struct {
	route           *route
	routeIndex      int
	node            *node
	to              *upstream
	arrived         time.Duration
	queued, started time.Duration
	work, cost      time.Duration
	attempts        int
	tried           *upstream
}

type node struct {
	index, zone int
	views       []view
	near, far   []int
	mode        balance.Mode
	now         time.Duration
	turn        int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is the state of a simulation in virtual time.
type world struct {
	scenario
	now       time.Duration
	seq       int
	pending   events
	rand      *rand.Rand // of the choices; arrivals and slow spells have their own, so that all choices meet the same load
	seed      uint64
	nodes     []*node
	upstreams []*upstream
	choose    chooser
	result    result
}

func newWorld(s scenario, choose chooser, seed uint64) *world {
	w := &world{scenario: s, choose: choose, seed: seed, rand: rand.New(rand.NewPCG(seed, 0))}
	for i := range s.upstreams {
		u := &upstream{index: i, zone: i % s.zones, speed: s.speeds[i/s.zones%len(s.speeds)], mean: time.Millisecond, byRoute: make([]time.Duration, len(s.routes))}
		w.upstreams = append(w.upstreams, u)
		if s.slowShare > 0 {
			random := rand.New(rand.NewPCG(seed, uint64(1000+i)))
			w.after(w.spell(random, false), func() { w.toggle(u, random) })
		}
	}
	for i := range s.nodes {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	for i := range s.routes {
		for zone := range s.zones {
			w.scheduleArrival(i, zone, rand.New(rand.NewPCG(seed, uint64(100*(i+1)+zone))))
		}
	}
	w.after(time.Second, w.closeSecond)
	return w
}

// newNode returns a node with the subset of upstreams that it prefers, as in reducer/subset.go.
func (w *world) newNode(i int) *node {
	n := &node{index: i, zone: i % w.zones, views: make([]view, w.scenario.upstreams)}
	var near, far []int
	for _, u := range w.upstreams {
		if u.zone == n.zone {
			near = append(near, u.index)
		} else {
			far = append(far, u.index)
		}
	}
	n.near = window(near, i/w.zones, w.scenario.nodes/w.zones)
	n.far = window(far, i, w.scenario.nodes)
	return n
}

func window(all []int, index, nodes int) []int {
	first := index * len(all) / nodes
	var out []int
	for i := range min(subsetSize, len(all)) {
		out = append(out, all[(first+i)%len(all)])
	}
	return out
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.pending, event{w.now + d, w.seq, run})
}

func (w *world) run() *result {
	for len(w.pending) > 0 {
		e := heap.Pop(&w.pending).(event)
		if e.at > w.duration {
			break
		}
		w.now = e.at
		e.run()
	}
	return &w.result
}

func (w *world) spell(random *rand.Rand, slow bool) time.Duration {
	length := slowSpell.Seconds()
	if !slow {
		length *= (1 - w.slowShare) / w.slowShare
	}
	return seconds(random.ExpFloat64() * length)
}

func (w *world) toggle(u *upstream, random *rand.Rand) {
	u.slow = !u.slow
	w.after(w.spell(random, u.slow), func() { w.toggle(u, random) })
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// scheduleArrival draws the next call by thinning at the highest rate of the wave.
func (w *world) scheduleArrival(index, zone int, random *rand.Rand) {
	r := &w.routes[index]
	highest := r.rate * w.load / float64(w.zones) * (1 + w.wave)
	w.after(seconds(random.ExpFloat64()/highest), func() {
		w.scheduleArrival(index, zone, random)
		level := 1 + w.wave*math.Sin(2*math.Pi*(w.now.Seconds()/wavePeriod+phases[zone%len(phases)]))
		if random.Float64()*(1+w.wave) > level {
			return
		}
		perZone := len(w.nodes) / w.zones
		j := &job{route: r, routeIndex: index, node: w.nodes[random.IntN(perZone)*w.zones+zone], arrived: w.now, work: r.work}
		if random.Float64() < longShare {
			j.work *= longFactor
		}
		w.send(j)
	})
}

func (w *world) hop(j *job) time.Duration {
	if j.node.zone == j.to.zone {
		return hopOwnZone
	}
	return hopOther
}

func (w *world) send(j *job) {
	j.node.now = w.now
	j.to = w.upstreams[w.choose(w, j)]
	j.attempts++
	v := &j.node.views[j.to.index]
	v.inFlight++
	v.sent++
	w.after(w.hop(j), func() { w.admit(j) })
}

// answer takes a load report back to the node that sent the call.
func (w *world) answer(j *job, done bool) {
	r := j.to.load(w)
	w.after(w.hop(j), func() {
		v := &j.node.views[j.to.index]
		v.inFlight--
		w.after(w.reportDelay, func() {
			v.report, v.at, v.has, v.sent = r, w.now-w.reportDelay, true, 0
			v.pace.Observe(r.service, &r.services)
		})
		w.finish(j, done)
	})
}

// finish counts a call, or tries a refused one once more if there is time.
func (w *world) finish(j *job, done bool) {
	left := j.route.timeout - (w.now - j.arrived)
	if !done && j.attempts < 2 && left > j.route.work {
		j.tried = j.to
		w.after(4*time.Millisecond, func() { w.send(j) })
		return
	}
	if j.arrived >= w.warmUp {
		w.result.add(w, j, done)
	}
}
