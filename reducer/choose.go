package reducer

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/balance"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// Parameters of load balancing.
const (
	// reportMaxAge is the maximum age of a load report that is used to estimate a wait.
	reportMaxAge = time.Second
	// failurePenalty is added to the expected wait of an upstream in proportion to its failure rate. It is about the
	// time that a retry at another upstream takes.
	failurePenalty = 100 * time.Millisecond
	// maxSampleTries limits the tries to sample one upstream. Slow start may reject all but the last.
	maxSampleTries = 4
)

// upstreamLoad is what this node has observed of an upstream.
type upstreamLoad struct {
	report          LoadReport
	reportedAt      time.Duration
	hasReport       bool
	inFlight        int
	sentSinceReport int   // attempts sent since the last report
	linkBytesSent   int64 // expected bytes of their responses on streaming routes
	uploadBytesSent int64 // bytes of their large bodies
	pace            balance.Pace
	outlier         outlierState
	incarnation     Incarnation
	servingSince    time.Duration
	serving         bool
}

func (s *State) loadOf(node NodeID) *upstreamLoad {
	load := s.members.loads[node]
	if load == nil {
		load = &upstreamLoad{outlier: newOutlierState()}
		s.members.loads[node] = load
	}
	return load
}

// hasFreshReport reports whether the upstream sent a load report within the given time.
func (l *upstreamLoad) hasFreshReport(now, within time.Duration) bool {
	return l.hasReport && now-l.reportedAt <= within
}

// updateServing records since when the current incarnation of an upstream has been serving.
func (l *upstreamLoad) updateServing(m Member, serves bool, now time.Duration) {
	if serves && (!l.serving || l.incarnation != m.Incarnation) {
		l.servingSince, l.pace = now, balance.Pace{}
	}
	l.serving, l.incarnation = serves, m.Incarnation
}

// servingUpstream is a member whose backend server takes new calls, with what this node has observed of it.
type servingUpstream struct {
	Member
	load      *upstreamLoad
	preferred bool // see markSubset
}

// choiceState holds an index of the serving upstreams, and lists that are reused for each choice: lists made for each
// call were most of the garbage of the control thread.
type choiceState struct {
	serving map[string][]*servingUpstream // by service; an entry is deleted when a member of the service changes
	usable  []*servingUpstream
	groups  [distanceGroups][]*servingUpstream
	subset  []*servingUpstream
	ranking []Member
	weights []weightedUpstream
	// versions holds the versions of the upstreams by service, with serving; permitted is reused like the other lists.
	versions  map[string][]rollout.Upstream
	permitted []*servingUpstream
	speed     map[string]*balance.Mode // by service
}

// servingUpstreams returns the serving upstreams of a service, ordered by node. The caller must not modify the slice.
func (s *State) servingUpstreams(service string) []*servingUpstream {
	choice := &s.members.choice
	if serving, ok := choice.serving[service]; ok {
		return serving
	}
	members := s.members.ofService(service)
	if len(members) == 0 {
		return nil
	}
	upstreams := make([]servingUpstream, 0, len(members))
	serving := make([]*servingUpstream, 0, len(members))
	for _, m := range members {
		load := s.loadOf(m.Node)
		serves := m.serves(service)
		load.updateServing(m, serves, s.now)
		if serves {
			upstreams = append(upstreams, servingUpstream{Member: m, load: load})
			serving = append(serving, &upstreams[len(upstreams)-1])
		}
	}
	s.markSubset(serving)
	s.noteVersions(service, members)
	choice.serving[service] = serving
	return serving
}

// chooseUpstream returns the upstream for the next attempt of a call, or the reason why there is none.
func (s *State) chooseUpstream(call *ingressCall) (Member, Reason) {
	pool, ok := s.config.active.Pool(call.route.Pool)
	if !ok {
		return Member{}, ReasonNoRoute
	}
	usable := s.drawVersion(pool.Service, s.usableUpstreams(pool.Service, call.tried))
	if call.overloadRetryConsidered {
		usable = s.filterFittingUpstreams(usable, call)
	}
	if len(usable) == 0 {
		return Member{}, ReasonNoUpstream
	}
	usable = s.preferShortLinks(usable, call)
	return s.pickLowestCost(usable, s.criteriaFor(pool, call.loadClass())).Member, ReasonNone
}

// pickLowestCost samples each distance group and returns the upstream with the lowest sum of cost and zone margin. Ties go to the nearer group.
func (s *State) pickLowestCost(upstreams []*servingUpstream, c criteria) *servingUpstream {
	var best *servingUpstream
	var lowest time.Duration
	for _, group := range s.groupByDistance(upstreams) {
		if len(group) == 0 {
			continue
		}
		u := s.pickInGroup(group, c)
		cost := s.choiceCost(u, c) + s.zoneMargin(u.Zone, c)
		if best == nil || cost < lowest {
			best, lowest = u, cost
		}
	}
	return best
}

// usableUpstreams returns the upstreams of a service that are neither suspect nor ejected nor tried or, if there are
// none, all that were not tried. The next call overwrites the slice.
func (s *State) usableUpstreams(service string, tried []NodeID) []*servingUpstream {
	serving := s.permittedUpstreams(service)
	usable := s.members.choice.usable[:0]
	for _, u := range serving {
		if u.State == MemberAlive {
			usable = append(usable, u)
		}
	}
	usable = removeNodes(s.removeEjected(usable), tried)
	if len(usable) == 0 {
		usable = removeNodes(append(usable, serving...), tried)
	}
	s.members.choice.usable = usable
	return usable
}

// removeNodes removes the upstreams at the given nodes from a list, in place.
func removeNodes(upstreams []*servingUpstream, nodes []NodeID) []*servingUpstream {
	if len(nodes) == 0 {
		return upstreams
	}
	return slices.DeleteFunc(upstreams, func(u *servingUpstream) bool { return containsNode(nodes, u.Node) })
}

// serves reports whether new calls may be sent to the member's backend server.
func (m Member) serves(service string) bool {
	usable := m.State == MemberAlive || m.State == MemberSuspect
	return usable && m.Upstream.Service == service && m.Upstream.State == UpstreamReady
}

// groupByDistance returns the upstreams by distance group. The next call overwrites the lists.
func (s *State) groupByDistance(upstreams []*servingUpstream) [distanceGroups][]*servingUpstream {
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

// pickLessLoaded samples two upstreams at random and returns the one with the lower cost. Ties go to the one with
// fewer calls of this node in flight per slot.
func (s *State) pickLessLoaded(upstreams []*servingUpstream, c criteria) *servingUpstream {
	if len(upstreams) == 1 {
		return upstreams[0]
	}
	i := s.sampleUpstream(upstreams, c.ramp)
	j := s.sampleUpstream(upstreams, c.ramp)
	if i == j {
		j = (i + 1 + s.random(len(upstreams)-1)) % len(upstreams)
	}
	a, b := upstreams[i], upstreams[j]
	costA, costB := s.choiceCost(a, c), s.choiceCost(b, c)
	if costB < costA || costB == costA && s.isBusier(a, b) {
		return b
	}
	return a
}

func (s *State) isBusier(a, b *servingUpstream) bool {
	return s.knownInFlight(a)*max(b.Upstream.Slots, 1) > s.knownInFlight(b)*max(a.Upstream.Slots, 1)
}

// knownInFlight returns the calls in flight from this node to an upstream, or for the backend server beside it all
// running and queued calls.
func (s *State) knownInFlight(u *servingUpstream) int {
	if u.Node == s.cfg.Self {
		return s.target.running + s.target.queue.len()
	}
	return u.load.inFlight
}

// sampleUpstream returns the index of a random upstream. In slow start the weight of an upstream grows from a tenth to
// the full value during the pool's ramp.
func (s *State) sampleUpstream(upstreams []*servingUpstream, ramp time.Duration) int {
	for try := 1; ; try++ {
		i := s.random(len(upstreams))
		if try == maxSampleTries || s.random(100) < s.sampleWeight(upstreams[i], ramp) {
			return i
		}
	}
}

// sampleWeight returns the percentage of samples of an upstream that are accepted.
func (s *State) sampleWeight(u *servingUpstream, ramp time.Duration) int {
	age := s.now - u.load.servingSince
	if age >= ramp {
		return 100
	}
	return rampStartPercent + int(age*(100-rampStartPercent)/ramp)
}

// estimateWait estimates how long a call waits at an upstream before it runs, from the last report and the calls that
// this node has sent since, or from its calls in flight alone when no report is fresh.
func (s *State) estimateWait(u *servingUpstream, priority int) time.Duration {
	if u.Node == s.cfg.Self {
		return s.estimateLocalWait(priority)
	}
	load := u.load
	slots := max(u.Upstream.Slots, 1)
	if !load.hasFreshReport(s.now, reportMaxAge) {
		service := max(load.report.ServiceTime, defaultServiceTime)
		return service * time.Duration(max(load.inFlight+1-slots, 0)) / time.Duration(slots)
	}
	report := &load.report
	slots = max(report.Slots, 1)
	free := max(report.Slots-report.Running-report.Queued, 0)
	added := max(load.sentSinceReport-free, 0)
	return report.waitOf(priority) + report.ServiceTime*time.Duration(added)/time.Duration(slots)
}

func (s *State) estimateLocalWait(priority int) time.Duration {
	pool, _ := s.config.active.PoolOfService(s.backend.service)
	slots := s.slots()
	s.target.queue.advance(s.now, slots, pool)
	return s.target.queue.waitOf(priority, slots, pool, 0)
}

// penalizedWait returns the expected wait plus a penalty in proportion to the failure rate. Without it an upstream that
// fails fast would attract calls, because its queue is short.
func (s *State) penalizedWait(u *servingUpstream, priority int) time.Duration {
	failureRate := 1 - u.load.outlier.successRate
	return s.estimateWait(u, priority) + time.Duration(failureRate*float64(failurePenalty))
}

func containsNode(nodes []NodeID, node NodeID) bool {
	for _, n := range nodes {
		if n == node {
			return true
		}
	}
	return false
}
