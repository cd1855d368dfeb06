package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs one roll-out in virtual time: nodes that draw versions, upstreams that answer, reports and a decider.
type sim struct {
	rate     float64 // calls a second
	duration time.Duration
	base     float64 // part of the responses of both versions that fail
	// bad returns the part of the responses of the new version that fail, and the factor of its latency.
	bad  func(route string, share float64, elapsed time.Duration) (failures, slowness float64)
	seed uint64
	// speeds are those of the upstreams, 1 where there is none, and fresh the number of upstreams of the new version.
	speeds []float64
	fresh  int
	// cores is how many calls an upstream runs at its full speed; more share it. 0 for no bound.
	cores int
	work  time.Duration // mean service time at speed 1
	// fault changes the run at each tick; it may be nil.
	fault func(s *sim, now time.Duration)

	lost         map[int]bool // nodes that no message reaches
	storeDown    bool
	decider      *Decider
	held         Stored
	random       *rand.Rand
	views        [simNodes]View
	counts       [simNodes]map[string]*RouteCount
	busy         [simNodes]int
	ends         [simNodes][]time.Duration // of the calls in progress
	exposed      int                       // calls sent to the new version until the end of the order
	calls        int
	bads         int
	after50      int // calls sent to it later than 5 s after the 50th bad response
	at50         time.Duration
	endedAt      time.Duration
	oldAfter     int // calls to the old version after success
	finding      Finding
	pendingWrite *Stored
	writeAt      time.Duration
}

const (
	simNodes    = 8 // the first half beside upstreams of the old version, the others of the new one
	simTick     = 10 * time.Millisecond
	simDelay    = 30 * time.Millisecond // of a message or a write
	simUpstream = 20 * time.Millisecond
	simSlots    = 12
)

var testSettings = Settings{Enabled: true, ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}

var simRoutes = []string{"look", "book", "list"}

func (s *sim) members() []Member {
	var members []Member
	for i := range simNodes {
		m := Member{ID: fmt.Sprint("n", i), Version: "v1", Serves: i < simNodes/2+s.fresh}
		if i >= simNodes/2 {
			m.Version = "v2"
		}
		members = append(members, m)
	}
	return members
}

var simUpstreams = []Upstream{{Version: "v1", Started: 1}, {Version: "v2", Started: 2}}

func (s *sim) run() *sim {
	s.random = rand.New(rand.NewPCG(s.seed, 1))
	s.lost = map[int]bool{}
	if s.fresh == 0 {
		s.fresh = simNodes / 2
	}
	if s.work == 0 {
		s.work = simUpstream
	}
	for i := range s.counts {
		s.counts[i] = map[string]*RouteCount{}
		s.views[i].SetSynced()
	}
	s.held = Start(Order{Service: "s", Version: "v2", Duration: s.duration, Revision: 1}, "v1", Stored{}, Node{ID: "n0"}, 0)
	s.held.Update.Revision, s.held.Revision = 2, 2
	s.decider = NewDecider(testSettings, s.held, Node{ID: "n0"}, 0)
	var due float64
	for now := time.Duration(0); now < 2*s.duration; now += simTick {
		if s.fault != nil {
			s.fault(s, now)
		}
		for due += s.rate * simTick.Seconds(); due >= 1; due-- {
			s.call(now)
		}
		s.control(now)
	}
	return s
}

// call sends a call from a random node.
func (s *sim) call(now time.Duration) {
	n := s.random.IntN(simNodes)
	view, route := &s.views[n], simRoutes[s.random.IntN(len(simRoutes))]
	old := view.Class("s", "v1", simUpstreams, now) == InUse
	isNew := view.Class("s", "v2", simUpstreams, now) == New && (view.Draw("s", s.random.Uint64(), now) || !old)
	if view.Update("s").State == Succeeded {
		isNew, old = true, view.Class("s", "v1", simUpstreams, now) != Forbidden
		if old {
			s.oldAfter++
		}
	}
	upstream, failures, slowness := s.random.IntN(simNodes/2), s.base, 1.0
	if isNew {
		upstream = simNodes/2 + upstream%s.fresh
		extra, slow := s.bad(route, s.decider.Held().Update.Share, now)
		failures, slowness = failures+extra, slow
	}
	if now < s.duration {
		s.calls++
		if isNew {
			s.exposed++
		}
	}
	if !isNew && s.held.Update.State == Succeeded {
		s.oldAfter++
	}
	if isNew && s.at50 > 0 && now > s.at50+5*time.Second {
		s.after50++
	}
	c := s.counts[upstream][route]
	if c == nil {
		c = &RouteCount{Route: route}
		s.counts[upstream][route] = c
	}
	c.Calls++
	failed := s.random.Float64() < failures
	if failed {
		c.Failures++
	} else {
		c.Buckets[BucketOf(s.latency(now, upstream, slowness))]++
	}
	if isNew && (failed && failures > s.base || slowness > 1) {
		if s.bads++; s.bads == 50 {
			s.at50 = now
		}
	}
}

// latency returns that of a call which begins at an upstream.
func (s *sim) latency(now time.Duration, upstream int, slowness float64) time.Duration {
	latency := s.random.ExpFloat64() * slowness * float64(s.work)
	if s.speeds != nil {
		latency /= s.speeds[upstream]
	}
	if s.cores == 0 {
		return time.Duration(latency)
	}
	ends := slices.DeleteFunc(s.ends[upstream], func(end time.Duration) bool { return end <= now })
	s.busy[upstream] += len(ends)
	latency *= max(1, float64(len(ends)+1)/float64(s.cores))
	s.ends[upstream] = append(ends, now+time.Duration(latency))
	return time.Duration(latency)
}

// control delivers reports, decisions, writes and repetitions.
func (s *sim) control(now time.Duration) {
	interval := ReportInterval
	if s.held.Update.Step > 0 {
		interval = FastReportInterval
	}
	for i := range simNodes {
		if now%interval == simTick*time.Duration(i) && !s.lost[i] && now > 0 {
			s.report(now, i)
		}
	}
	if s.pendingWrite != nil && now >= s.writeAt && !s.storeDown {
		s.pendingWrite.Revision++
		s.pendingWrite.Update.Revision = s.pendingWrite.Revision
		s.decider.Written(*s.pendingWrite, now)
		s.held, s.pendingWrite = *s.pendingWrite, nil
		if s.held.Update.State != Running {
			s.endedAt = now
		}
		s.flood(now)
	}
	if s.pendingWrite == nil && now%(50*time.Millisecond) == 0 {
		s.decide(now)
	}
	if now%RefreshInterval == 0 && s.held.Update.State == Running {
		s.held.Update.Refresh++
		s.flood(now)
	}
}

func (s *sim) decide(now time.Duration) {
	d := s.decider.Decide(Situation{Now: now, WallMs: now.Milliseconds(), Members: s.members(), LongCall: time.Second})
	if d.Halt && s.finding == (Finding{}) {
		s.finding = d.Finding
		s.flood(now)
	}
	if d.Next != nil {
		s.pendingWrite, s.writeAt = d.Next, now+simDelay
	}
}

func (s *sim) flood(now time.Duration) {
	u := s.decider.Current()
	u.Refresh = s.held.Update.Refresh
	for i := range s.views {
		if !s.lost[i] {
			s.views[i].Apply(u, now+simDelay)
		}
	}
}

func (s *sim) report(now time.Duration, i int) {
	r := Report{Service: "s", Revision: s.views[i].Update("s").Revision, Upstream: s.members()[i].Version, Serves: s.members()[i].Serves}
	r.Slots, r.Busy, s.busy[i] = simSlots, s.busy[i], 0
	for _, route := range simRoutes {
		if c := s.counts[i][route]; c != nil {
			r.Routes = append(r.Routes, *c)
			delete(s.counts[i], route)
		}
	}
	s.decider.Observe(now, fmt.Sprint("n", i), fmt.Sprint("z", i%4), r)
}

// exposureBound returns the bound of the specification.
func (s *sim) exposureBound() int { return s.calls/10 + 50 }
