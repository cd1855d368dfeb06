package reducer

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/balance"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// criteria is what the choice among upstreams depends on besides their load.
type criteria struct {
	priority int // or nestedClass
	ramp     time.Duration
	speed    *balance.Mode // nil while upstreams are compared by their expected wait alone
}

// SpeedBalance says whether the upstreams of a service are compared by speed, for status and metrics.
type SpeedBalance struct {
	Service string
	Enabled bool
	Ratio   float64 // of the service times at the slowest and the fastest quarter, 0 when not known
}

// criteriaFor returns the criteria for a call of a priority to a pool.
func (s *State) criteriaFor(pool tables.Pool, priority int) criteria {
	c := criteria{priority: priority, ramp: pool.Ramp}
	if pool.Balance == tables.BalanceSlots {
		return c
	}
	mode := s.speedMode(pool.Service)
	if pool.Balance == tables.BalanceSpeed || mode.Enabled() {
		c.speed = mode
	}
	return c
}

// speedMode returns what has been learned of the speeds of a service, checked within the last second.
func (s *State) speedMode(service string) *balance.Mode {
	modes := s.members.choice.speed
	mode := modes[service]
	if mode == nil {
		mode = &balance.Mode{}
		modes[service] = mode
	}
	if !mode.Due(s.now) {
		return mode
	}
	s.observeOwnPace(service)
	serving := s.servingUpstreams(service)
	if mode.Check(s.now, len(serving), func(i int) *balance.Pace { return &serving[i].load.pace }) {
		s.log(LevelInfo, "choice by speed changed", Field{"service", service}, Field{"enabled", mode.Enabled()}, Field{"ratio", mode.Ratio()},
			Field{"upstreams", len(serving)})
	}
	return mode
}

// observeOwnPace notes the service times of the backend server beside this node, which sends no load reports to itself.
func (s *State) observeOwnPace(service string) {
	if s.backend.service != service {
		return
	}
	report := s.loadReport()
	s.loadOf(s.cfg.Self).observePace(&report)
}

func (l *upstreamLoad) observePace(report *LoadReport) {
	if report.ServiceTime != defaultServiceTime { // no execution has ended yet
		l.pace.Observe(report.ServiceTime, &report.ShortestServiceTimes)
	}
}

// choiceCost returns the cost by which upstreams are compared: the penalized wait, or the expected completion.
func (s *State) choiceCost(u *servingUpstream, c criteria) time.Duration {
	wait := s.penalizedWait(u, c.priority)
	if c.speed == nil {
		return wait
	}
	service, ok := u.load.pace.Service(c.pacePriority())
	if !ok {
		service = c.speed.Typical(c.pacePriority())
	}
	return balance.Cost(wait, service, s.knownBusy(u), s.knownSlots(u))
}

// pacePriority returns the priority whose service times are compared. Reports have none of nested calls.
func (c criteria) pacePriority() int {
	if c.priority == nestedClass {
		return balance.AllPriorities
	}
	return c.priority
}

// knownBusy returns the running and queued calls of an upstream by its last report, with those sent since, or without a fresh
// report the calls of this node in flight.
func (s *State) knownBusy(u *servingUpstream) int {
	if u.Node == s.cfg.Self || !u.load.hasFreshReport(s.now, reportMaxAge) {
		return s.knownInFlight(u)
	}
	return u.load.report.Running + u.load.report.Queued + u.load.sentSinceReport
}

func (s *State) knownSlots(u *servingUpstream) int {
	if u.Node == s.cfg.Self || !u.load.hasFreshReport(s.now, reportMaxAge) {
		return u.Upstream.Slots
	}
	return u.load.report.Slots
}

// zoneMargin returns by how much the cost in a zone must be lower than in this node's own.
func (s *State) zoneMargin(zone string, c criteria) time.Duration {
	margin := s.spillMargin(zone)
	if c.speed != nil && zone != s.cfg.Zone {
		margin += balance.OtherZoneMargin(c.speed.Typical(c.pacePriority()))
	}
	return margin
}

// speedBalances returns the state of the choice by speed for each service that calls were sent to.
func (s *State) speedBalances() []SpeedBalance {
	var all []SpeedBalance
	for service, mode := range s.members.choice.speed {
		pool, ok := s.config.active.PoolOfService(service)
		if !ok {
			continue
		}
		enabled := pool.Balance == tables.BalanceSpeed || pool.Balance == tables.BalanceAuto && mode.Enabled()
		all = append(all, SpeedBalance{Service: service, Enabled: enabled, Ratio: mode.Ratio()})
	}
	slices.SortFunc(all, func(a, b SpeedBalance) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
