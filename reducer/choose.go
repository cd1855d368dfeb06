package reducer

import (
	"slices"
	"time"
)

// Figures of load balancing.
const (
	// reportFresh is how long a load report counts.
	reportFresh = time.Second
	// failurePenalty is the wait that a failing attempt is worth: about what a retry elsewhere costs.
	failurePenalty = 100 * time.Millisecond
	// drawTries bounds the draws that the slow start of upstreams may reject for one choice.
	drawTries = 4
)

// upstreamLoad is what this node has seen of an upstream.
type upstreamLoad struct {
	report       LoadReport
	reportedAt   time.Duration
	reported     bool
	inFlight     int
	sent         int // attempts sent since the last report
	outlier      outlierState
	incarnation  Incarnation
	servingSince time.Duration
	serving      bool
}

func (s *State) loadOf(node NodeID) *upstreamLoad {
	load := s.members.loads[node]
	if load == nil {
		load = &upstreamLoad{outlier: newOutlierState()}
		s.members.loads[node] = load
	}
	return load
}

// fresh reports whether the upstream sent a load report within the given time.
func (l *upstreamLoad) fresh(now, within time.Duration) bool {
	return l.reported && now-l.reportedAt <= within
}

// noteServing remembers since when an incarnation of an upstream has been serving.
func (l *upstreamLoad) noteServing(m Member, serves bool, now time.Duration) {
	if serves && (!l.serving || l.incarnation != m.Incarnation) {
		l.servingSince = now
	}
	l.serving, l.incarnation = serves, m.Incarnation
}

// upstream is a member that serves, with what this node has seen of it.
type upstream struct {
	Member
	load *upstreamLoad
}

// choiceState holds an index of the upstreams that serve, and lists that are filled anew for each choice:
// lists made for each call were most of the garbage of the control thread.
type choiceState struct {
	serving map[string][]*upstream // by service; an entry is dropped when a member of the service changes
	usable  []*upstream
	groups  [distanceGroups][]*upstream
	ranking []Member
	weights []weightedUpstream
}

// servingUpstreams returns the upstreams of a service that serve, by node. The slice must not be changed.
func (s *State) servingUpstreams(service string) []*upstream {
	choice := &s.members.choice
	if serving, ok := choice.serving[service]; ok {
		return serving
	}
	members := s.members.ofService(service)
	if len(members) == 0 {
		return nil
	}
	upstreams := make([]upstream, 0, len(members))
	serving := make([]*upstream, 0, len(members))
	for _, m := range members {
		load := s.loadOf(m.Node)
		serves := m.serves(service)
		load.noteServing(m, serves, s.now)
		if serves {
			upstreams = append(upstreams, upstream{m, load})
			serving = append(serving, &upstreams[len(upstreams)-1])
		}
	}
	choice.serving[service] = serving
	return serving
}

// chooseUpstream returns the upstream for the next attempt of a call, or the reason why there is none.
func (s *State) chooseUpstream(call *ingressCall) (Member, Reason) {
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		return Member{}, ReasonNoRoute
	}
	usable := s.usableUpstreams(pool.Service, call.tried)
	if call.overloadRetried {
		usable = s.fittingUpstreams(usable, call)
	}
	if len(usable) == 0 {
		return Member{}, ReasonNoUpstream
	}
	return s.nearest(usable, call.route.Priority, pool.Ramp).Member, ReasonNone
}

// nearest draws from each group of zones and returns the upstream with the lowest expected wait, after the
// margin of its zone; between equal ones, the one of the nearer group.
func (s *State) nearest(upstreams []*upstream, priority int, ramp time.Duration) *upstream {
	var best *upstream
	var lowest time.Duration
	for _, group := range s.byDistance(upstreams) {
		if len(group) == 0 {
			continue
		}
		u := s.lessLoaded(group, priority, ramp)
		cost := s.penalizedWait(u, priority) + s.spillMargin(u.Zone)
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// usableUpstreams returns the upstreams of a service that may be chosen: those that are neither suspect
// nor ejected nor tried, or else all that are not tried. The next call of it uses the list again.
func (s *State) usableUpstreams(service string, tried []NodeID) []*upstream {
	serving := s.servingUpstreams(service)
	usable := s.members.choice.usable[:0]
	for _, u := range serving {
		if u.State == MemberAlive {
			usable = append(usable, u)
		}
	}
	usable = without(s.withoutEjected(usable), tried)
	if len(usable) == 0 {
		usable = without(append(usable, serving...), tried)
	}
	s.members.choice.usable = usable
	return usable
}

// without takes the given nodes out of a list.
func without(upstreams []*upstream, nodes []NodeID) []*upstream {
	if len(nodes) == 0 {
		return upstreams
	}
	return slices.DeleteFunc(upstreams, func(u *upstream) bool { return contains(nodes, u.Node) })
}

// serves reports whether new calls may be sent to the member's backend server.
func (m Member) serves(service string) bool {
	usable := m.State == MemberAlive || m.State == MemberSuspect
	return usable && m.Upstream.Service == service && m.Upstream.State == UpstreamReady
}

// byDistance returns the upstreams by the group of their zone. The next call of it uses the lists again.
func (s *State) byDistance(upstreams []*upstream) [distanceGroups][]*upstream {
	groups := &s.members.choice.groups
	for i := range groups {
		groups[i] = groups[i][:0]
	}
	for _, u := range upstreams {
		group := &groups[s.distanceGroup(u.Zone)]
		*group = append(*group, u)
	}
	return *groups
}

// lessLoaded draws two upstreams at random and returns the one with the lower expected wait; between equal
// waits, the one with fewer calls of this node in flight for each slot.
func (s *State) lessLoaded(upstreams []*upstream, priority int, ramp time.Duration) *upstream {
	if len(upstreams) == 1 {
		return upstreams[0]
	}
	i := s.draw(upstreams, ramp)
	j := s.draw(upstreams, ramp)
	if i == j {
		j = (i + 1 + s.random(len(upstreams)-1)) % len(upstreams)
	}
	a, b := upstreams[i], upstreams[j]
	waitA, waitB := s.penalizedWait(a, priority), s.penalizedWait(b, priority)
	if waitB < waitA || waitB == waitA && s.busier(a, b) {
		return b
	}
	return a
}

// busier reports whether this node has more calls in flight for each slot to a than to b.
func (s *State) busier(a, b *upstream) bool {
	return s.ownCalls(a)*max(b.Upstream.Slots, 1) > s.ownCalls(b)*max(a.Upstream.Slots, 1)
}

// ownCalls returns the calls that this node knows to be at an upstream.
func (s *State) ownCalls(u *upstream) int {
	if u.Node == s.cfg.Self {
		return s.target.running + s.target.queue.len()
	}
	return u.load.inFlight
}

// draw returns the index of a random upstream. One that began to serve recently is drawn less often: its
// share grows from a tenth to all during the pool's ramp.
func (s *State) draw(upstreams []*upstream, ramp time.Duration) int {
	for try := 1; ; try++ {
		i := s.random(len(upstreams))
		if try == drawTries || s.random(100) < s.drawWeight(upstreams[i], ramp) {
			return i
		}
	}
}

// drawWeight returns the share of draws of an upstream, in percent.
func (s *State) drawWeight(u *upstream, ramp time.Duration) int {
	age := s.now - u.load.servingSince
	if age >= ramp {
		return 100
	}
	return rampStartPercent + int(age*(100-rampStartPercent)/ramp)
}

// expectedWait estimates how long a call waits at an upstream before it runs: by its last report and the
// calls that this node has sent since, or by the calls in flight alone when there is no fresh report.
func (s *State) expectedWait(u *upstream, priority int) time.Duration {
	if u.Node == s.cfg.Self {
		return s.localWait(priority)
	}
	load := u.load
	slots := max(u.Upstream.Slots, 1)
	if !load.fresh(s.now, reportFresh) {
		service := max(load.report.ServiceTime, defaultServiceTime)
		return service * time.Duration(max(load.inFlight+1-slots, 0)) / time.Duration(slots)
	}
	report := &load.report
	slots = max(report.Slots, 1)
	free := max(report.Slots-report.Running-report.Queued, 0)
	added := max(load.sent-free, 0)
	return report.Waits[priority] + report.ServiceTime*time.Duration(added)/time.Duration(slots)
}

// localWait is the expected wait at the backend server beside this node.
func (s *State) localWait(priority int) time.Duration {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	slots := s.slots()
	s.target.queue.advance(s.now, slots, pool)
	return s.target.queue.wait(priority, slots, pool, 0)
}

// penalizedWait is the expected wait with a penalty for the share of attempts that fail. Without it an
// upstream that fails fast has a short queue and attracts calls.
func (s *State) penalizedWait(u *upstream, priority int) time.Duration {
	failing := 1 - u.load.outlier.success
	return s.expectedWait(u, priority) + time.Duration(failing*float64(failurePenalty))
}

func contains(nodes []NodeID, node NodeID) bool {
	for _, n := range nodes {
		if n == node {
			return true
		}
	}
	return false
}
