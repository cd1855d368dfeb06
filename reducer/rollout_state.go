package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// Intervals of the roll-outs of versions.
const (
	// rolloutTick is how often a node looks whether something is due, and leadTick how often a node that decides does. A
	// version that is bad under all calls gets 10 in 1,000 of a roll-out of 12 s in 100 ms.
	rolloutTick = 250 * time.Millisecond
	leadTick    = 50 * time.Millisecond
	// rolloutReadInterval is how often a reader reads the orders although no watch reported a change. openReadInterval is
	// the same while an order is open and, staleReads times, after a change: a list may be stale by seconds.
	rolloutReadInterval = 15 * time.Second
	openReadInterval    = 500 * time.Millisecond
	staleReads          = 6
	// rolloutFetchInterval is how often a node asks a peer for states that it lacks, and stateSilence how long the state of
	// a running roll-out is not repeated before it does.
	rolloutFetchInterval = 500 * time.Millisecond
	stateSilence         = time.Second
)

// rolloutState is what this node knows of the roll-outs of versions, and its part in them.
type rolloutState struct {
	view   rollout.View
	orders map[string]rollout.Order  // by service, as read from the store
	stored map[string]rollout.Stored // by service, as read from the store
	leads  map[string]*rolloutLead   // by service
	counts map[string]*rollout.RouteCount
	busy   int // sum over the counted responses of the calls that ran beside each at the backend server
	// callFailedAt is when a call that entered at this node for another service last failed; 0 for never.
	callFailedAt time.Duration
	heardAt      map[string]time.Duration // when the state of a service was last repeated
	movedAt      map[string]time.Duration // when traffic of a service last moved between versions

	read, watch     platformCall
	readAt, watchAt time.Duration     // earliest times of the next calls
	readAgain       bool              // the read in flight may have missed a change
	revision        storeera.Revision // of the store, after which the next watch starts
	watchedAfter    storeera.Revision // of the watch in flight
	readsLeft       int               // reads after a change that follow soon
	hasRead         bool
	settledAt       time.Duration // when the orders of a new era count as complete
	fetchedAt       time.Duration
	ended           map[NodeID]Incarnation // nodes whose address refused a connection
	reports         map[string]sentReport  // by service, the newest one
}

// sentReport says when a report was sent, and for which revision.
type sentReport struct {
	at       time.Duration
	revision storeera.Revision
}

func (s *State) initRollouts() {
	if !s.cfg.Rollouts.Enabled {
		return
	}
	r := &s.rollouts
	r.view.Silence = s.cfg.Rollouts.Rollback
	r.orders, r.stored, r.leads = map[string]rollout.Order{}, map[string]rollout.Stored{}, map[string]*rolloutLead{}
	r.reports, r.ended = map[string]sentReport{}, map[NodeID]Incarnation{}
	r.counts, r.heardAt, r.movedAt = map[string]*rollout.RouteCount{}, map[string]time.Duration{}, map[string]time.Duration{}
	s.timers.set(timerKey{kind: timerRollouts}, 0)
}

// advanceRolloutsNow makes what is due for the roll-outs be done with the next event.
func (s *State) advanceRolloutsNow() {
	if s.cfg.Rollouts.Enabled {
		s.timers.set(timerKey{kind: timerRollouts}, s.now)
	}
}

// advanceRollouts does what is due for the roll-outs of versions.
func (s *State) advanceRollouts() {
	if s.shutdown.phase >= phaseLeft {
		return
	}
	next := rolloutTick
	if !s.rollouts.view.Synced() {
		next = leadTick // calls to a service with two versions wait for it
	}
	s.readRollouts()
	s.fetchRollouts()
	s.rollouts.view.CutOff = s.isCutOffInZone()
	for _, u := range s.rollouts.view.Lapsed(s.now) {
		s.log(LevelWarn, "roll-out not heard of, old version is not used", Field{"service", u.Service}, Field{"software", u.From}, Field{"silence", s.now - s.rollouts.heardAt[u.Service]})
		s.leaveForbiddenVersion(u.Service)
	}
	for _, service := range sortedKeys(s.rollouts.leads) {
		next = leadTick
		s.advanceLead(service, s.rollouts.leads[service])
	}
	s.reportRollouts()
	s.timers.set(timerKey{kind: timerRollouts}, s.now+next)
}

// isCutOffInZone reports whether other nodes of the zone count as dead that have not been seen to end: this node may be the
// one that is cut off.
func (s *State) isCutOffInZone() bool {
	for _, m := range s.members.sorted() {
		if m.State == MemberDead && m.Zone == s.cfg.Zone && s.rollouts.ended[m.Node] != m.Incarnation {
			return true
		}
	}
	return false
}

// readRollouts reads and watches the orders if this node is a reader of its zone.
func (s *State) readRollouts() {
	r := &s.rollouts
	if !s.isReader() || s.members.livePeers == 0 && s.now < joinTimeout {
		return
	}
	if !r.read.inFlight && s.now >= r.readAt {
		r.read.inFlight, r.readAgain = true, false
		s.emit(ReadRollouts{})
	}
	if r.hasRead && !r.watch.inFlight && s.now >= r.watchAt {
		r.watch.inFlight, r.watchedAfter = true, r.revision
		s.emit(WatchRollouts{After: r.revision})
	}
}

// readRolloutsNow makes the next read due.
func (s *State) readRolloutsNow() {
	s.rollouts.readAt, s.rollouts.readAgain = s.now, true
	s.timers.set(timerKey{kind: timerRollouts}, s.now)
}

func (s *State) handleRolloutsChanged(in RolloutsChanged) {
	r := &s.rollouts
	s.noteStoreAnswer(in.Result != StoreUnknown)
	if !r.watch.inFlight || in.After != r.watchedAfter {
		return // it was given up, and a read covers what it reports
	}
	r.watch.inFlight = false
	switch in.Result {
	case StoreOK, StoreUnchanged:
		r.watch.recordSuccess()
		r.watchAt = s.now + openReadInterval
		if revision := s.storeEra.At(in.Revision); revision.IsAfter(r.revision) {
			r.revision, r.readsLeft = revision, staleReads
			s.readRolloutsNow()
		}
	case StoreHistoryGone:
		r.watchAt, r.hasRead = s.now+s.recordFailure(&r.watch), false
		r.revision = storeera.Revision{} // a read gives the one to continue from
		s.readRolloutsNow()
	default:
		r.watchAt = s.now + s.recordFailure(&r.watch)
		s.readRolloutsNow()
	}
}

func (s *State) handleRolloutsRead(in RolloutsRead) {
	r := &s.rollouts
	r.read.inFlight = false
	s.noteStoreAnswer(in.Result != StoreUnknown)
	if in.Result != StoreOK {
		r.readAt = s.now + s.recordFailure(&r.read)
		return
	}
	r.read.recordSuccess()
	if revision := s.storeEra.At(in.Revision); revision.IsAfter(r.revision) {
		r.revision = revision
	}
	r.hasRead = true
	r.orders = map[string]rollout.Order{}
	for _, order := range in.Orders {
		r.orders[order.Service] = order
	}
	for _, stored := range in.States {
		s.noteStored(stored)
	}
	s.noteLostStates(in.States)
	r.view.SetSynced()
	r.readAt = s.now + rolloutReadInterval
	if s.leadOpenOrders() || r.readsLeft > 0 {
		r.readAt, r.readsLeft = s.now+openReadInterval, max(r.readsLeft-1, 0)
	}
	if r.readAgain {
		r.readAt, r.readAgain = s.now, false
	}
}

// noteStored takes a state that was read from the store, if it is newer. One that is older than a state of an earlier era shows
// that the store has lost that state, which is written again in its place.
func (s *State) noteStored(stored rollout.Stored) {
	service := stored.Update.Service
	held := s.rollouts.stored[service]
	switch {
	case stored.Update.At().IsAfter(held.Update.At()):
		s.rollouts.stored[service] = stored
		s.applyRollout(stored.Update, "")
	case s.isOfEarlierEra(held):
		held.Revision = stored.Revision
		s.rollouts.stored[service] = held
	}
}

// applyRollout takes an update if it is newer than the one held, and passes it on.
func (s *State) applyRollout(u rollout.Update, from NodeID) {
	r := &s.rollouts
	before := r.view.Update(u.Service)
	if !r.view.Apply(u, s.now) {
		return
	}
	after := r.view.Update(u.Service)
	r.heardAt[u.Service] = s.now
	if before.Share != after.Share || before.State != after.State || before.Halted != after.Halted || before.Version != after.Version {
		r.movedAt[u.Service] = s.now
		s.log(LevelInfo, "roll-out state applied", Field{"service", u.Service}, Field{"software", u.Version}, Field{"from", u.From}, Field{"state", after.State.String()},
			Field{"step", u.Step}, Field{"share", u.Share}, Field{"halted", after.Halted}, Field{"revision", u.Revision}, Field{"decider", u.Decider.ID})
	}
	s.leaveForbiddenVersion(u.Service)
	s.followLead(after)
	for _, node := range s.linkedPeers() {
		if node != from {
			s.sendOnLink(node, RolloutUpdates{Updates: []rollout.Update{after}})
		}
	}
}

// leaveForbiddenVersion refuses the queued calls of the backend server beside this node if its version gets no calls any
// more. Their senders try an upstream of another version.
func (s *State) leaveForbiddenVersion(service string) {
	if s.backend.service == service && s.isOwnVersionForbidden() {
		s.refuseQueuedCalls()
	}
}

func (s *State) handleRolloutUpdates(from PeerRef, in RolloutUpdates) {
	if !s.cfg.Rollouts.Enabled {
		return
	}
	for _, u := range in.Updates {
		s.applyRollout(u, from.Node)
	}
	if in.Complete {
		s.rollouts.view.SetSynced()
	}
}

func (s *State) handleRolloutFetch(from PeerRef) {
	if s.cfg.Rollouts.Enabled {
		s.emit(Send{To: from, Message: RolloutUpdates{Updates: s.rollouts.view.Updates(), Complete: s.rollouts.view.Synced()}})
	}
}

// fetchRollouts asks a peer for the states of the roll-outs while this node does not know them, or has not heard of one that
// is running.
func (s *State) fetchRollouts() {
	r := &s.rollouts
	lacks, interval := !r.view.Synced(), rolloutFetchInterval
	if lacks {
		interval = leadTick
	}
	for _, u := range r.view.Running() {
		lacks = lacks || s.now-r.heardAt[u.Service] >= stateSilence
	}
	peers := s.linkedPeers()
	if !lacks || len(peers) == 0 || r.fetchedAt > 0 && s.now-r.fetchedAt < interval {
		return
	}
	r.fetchedAt = s.now
	s.sendOnLink(peers[s.random(len(peers))], RolloutFetch{})
}

// maxRolloutRoutes bounds the routes that are counted for a report; a node serves few.
const maxRolloutRoutes = 256

// countForRollout counts a response of the backend server while a roll-out of its service runs. The latency of one that is
// cold after its start says nothing about its version.
func (s *State) countForRollout(route string, in BackendRequestDone) {
	r := &s.rollouts
	if !s.cfg.Rollouts.Enabled || r.view.Update(s.backend.service).State != rollout.Running || in.Result == BackendShed || in.Result == BackendMisdirected {
		return
	}
	if in.Result == BackendAnswered && in.Status >= failureStatus && s.callFailedWithin(in.Elapsed) {
		return
	}
	c := r.counts[route]
	if c == nil {
		if len(r.counts) >= maxRolloutRoutes {
			return
		}
		c = &rollout.RouteCount{Route: route}
		r.counts[route] = c
	}
	c.Calls++
	r.busy += s.target.running
	switch {
	case in.Result == BackendFailed, in.Result == BackendMalformed, in.Result == BackendNotSent, in.Result == BackendAnswered && in.Status >= failureStatus:
		c.Failures++
	case s.now-in.Elapsed >= s.backend.coldUntil:
		c.Buckets[rollout.BucketOf(in.Elapsed)]++
	}
}

// noteCallFailed notes the failure of a call that entered at this node, if the backend server beside it may have made the call:
// it is for another service, and was not refused for what its caller sent.
func (s *State) noteCallFailed(poolName string, reason Reason) {
	if pool, ok := s.config.active.Pool(poolName); !ok || pool.Service == s.backend.service {
		return
	}
	switch reason {
	case ReasonNoRoute, ReasonUnknownKey, ReasonQuotaExceeded, ReasonBodyTooLarge, ReasonBodyIncomplete, ReasonTooDeep, ReasonUnsupportedRoute:
	default:
		s.rollouts.callFailedAt = s.now
	}
}

// callFailedWithin reports whether a call that the backend server may have made has failed within a time. A backend server fails a request
// if such a call fails: its version is not to blame. Nodes of a new version have just started, and
// fail more calls than others.
func (s *State) callFailedWithin(elapsed time.Duration) bool {
	at := s.rollouts.callFailedAt
	return at > 0 && s.now-at <= elapsed
}

// reportRollouts reports to the deciders of the running roll-outs: what the backend server beside this node has answered,
// and which state this node has applied. Nodes without an upstream of the service report only the guarded steps, in which
// the decider waits for them.
func (s *State) reportRollouts() {
	r := &s.rollouts
	for _, u := range r.view.Running() {
		serves := s.backend.service == u.Service
		interval := rollout.FastReportInterval
		if u.Step == 0 || !serves {
			interval = rollout.ReportInterval
		}
		last := r.reports[u.Service]
		isApplied := u.Guarded && u.At().IsAfter(last.revision)
		if !serves && !u.Guarded || s.now-last.at < interval && !isApplied {
			continue
		}
		r.reports[u.Service] = sentReport{s.now, u.At()}
		s.sendRolloutReport(u, serves)
	}
}

func (s *State) sendRolloutReport(u rollout.Update, serves bool) {
	r := &s.rollouts
	report := rollout.Report{Service: u.Service, Era: u.Era, Revision: u.Revision, Upstream: s.backend.version, Serves: serves}
	if u.Final {
		report.OldCalls = s.openOldCalls(u)
	}
	if serves {
		for _, route := range sortedKeys(r.counts) {
			report.Routes = append(report.Routes, *r.counts[route])
		}
		report.Slots, report.Busy = s.backend.declaredSlots, r.busy
		r.busy = 0
		clear(r.counts)
	}
	decider := PeerRef{Node: NodeID(u.Decider.ID), Address: u.Decider.Address, Incarnation: Incarnation(u.Decider.Incarnation)}
	if decider.Node == s.cfg.Self {
		s.observeRolloutReport(s.cfg.Self, report)
		return
	}
	s.emit(Send{To: decider, Message: RolloutReport{Report: report}})
}

// openOldCalls returns the calls of this node that are open at upstreams of the old version, and those that the backend
// server beside it still runs.
func (s *State) openOldCalls(u rollout.Update) int {
	isOld := func(node NodeID) bool {
		m, known := s.members.table[node]
		return known && m.Upstream.Service == u.Service && m.Upstream.Version != u.Version
	}
	open := 0
	for _, call := range s.ingress.calls {
		atTarget := call.phase == ingressForwarded || call.phase == ingressSettling || call.phase == ingressAskingHolder
		if atTarget && isOld(call.target.Node) || call.earlier != nil && isOld(call.earlier.target.Node) {
			open++
		}
	}
	if s.backend.service == u.Service && s.backend.version != u.Version {
		open += s.target.running + s.target.queue.len()
	}
	return open
}
