package reducer

import (
	"cmp"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// endRepeats is how often the end of a roll-out is repeated, RefreshInterval apart, before the decider's lease ends.
	endRepeats = 4
	// leaseRetryInterval is how soon the lease is tried again after the store did not answer, or while its holder is silent:
	// in the guarded and the final step all calls go to the new version after PermissionTTL without a decider.
	leaseRetryInterval = 250 * time.Millisecond
	// probeDeadFor bounds how long a node that counts as dead is asked whether it has ended: the decider waits for it no
	// longer than the longest timeout of a route and some seconds.
	probeDeadFor = 2 * tables.MaxTimeout
)

// rolloutLead is this node's part in deciding the roll-out of a service: as a candidate, or as the decider.
type rolloutLead struct {
	lease, fence uint64 // 0 while another node decides
	holding      bool   // a call for the lease is in flight
	holdAt       time.Duration
	// confirmed is set once the store has confirmed the lease since the last pause of this process.
	confirmed   bool
	ready       bool // the state was read since the lease was acquired or a write failed
	decider     *rollout.Decider
	writing     *rollout.Stored
	refreshedAt time.Duration
	refreshes   uint64
	repeats     int // repetitions of the end so far
	firstSeen   time.Duration
	logged      string // reason of the last halt that was logged
}

// leadOpenOrders makes this node a candidate for the decider of each open order, and reports whether there is one.
func (s *State) leadOpenOrders() bool {
	r := &s.rollouts
	if s.shutdown.phase != phaseServing {
		return false
	}
	for service := range r.orders {
		s.leadIfOpen(service)
	}
	for service := range r.stored {
		s.leadIfOpen(service)
	}
	for _, u := range r.view.Updates() {
		s.leadIfOpen(u.Service)
	}
	for _, lead := range r.leads {
		lead.ready = lead.fence != 0 && lead.writing == nil
	}
	return len(r.leads) > 0
}

func (s *State) leadIfOpen(service string) {
	if s.rollouts.leads[service] == nil && s.hasRolloutWork(service) {
		s.rollouts.leads[service] = &rolloutLead{firstSeen: s.now}
		s.timers.set(timerKey{kind: timerRollouts}, s.now)
	}
}

// suspendRollouts makes this node ask for the states after a pause of the process, and its deciders wait until the store
// has confirmed their leases: another node may decide, and a roll-out may have ended.
func (s *State) suspendRollouts(paused time.Duration) {
	if !s.cfg.Rollouts.Enabled {
		return
	}
	for _, lead := range s.rollouts.leads {
		lead.confirmed, lead.ready, lead.holdAt = false, false, s.now
	}
	if paused >= rollout.PermissionTTL {
		s.rollouts.view.Suspend(s.now)
		s.readRolloutsNow()
	}
}

// advanceLead does what is due for a roll-out that this node decides or may decide.
func (s *State) advanceLead(service string, lead *rolloutLead) {
	if s.isLeadOver(service, lead) {
		if lead.lease != 0 {
			s.log(LevelInfo, "node decides the roll-out no more", Field{"service", service}, Field{"fence", lead.fence})
			s.emit(EndLease{Lease: lead.lease})
		}
		delete(s.rollouts.leads, service)
		return
	}
	if !lead.holding && s.now >= lead.holdAt {
		lead.holding = true
		s.emit(HoldRolloutLease{Service: service, Node: s.cfg.Self, Lease: lead.lease, TTL: rollout.LeaseTTL})
	}
	if lead.fence == 0 || !lead.confirmed {
		return
	}
	if lead.ready && lead.writing == nil {
		s.considerOrder(service, lead)
	}
	s.decideRollout(lead)
	s.refreshRollout(lead)
}

// isLeadOver reports whether nothing is left to decide: the order is carried out and its end was repeated, or this node is
// no reader any more, or it leaves. One that leaves ends its lease at once, so that another node decides before the nodes lose
// their permission to use the old version; a state that it is writing is passed on first.
func (s *State) isLeadOver(service string, lead *rolloutLead) bool {
	switch {
	case lead.holding || lead.writing != nil:
		return false
	case lead.fence == 0 && !s.isReader():
		return true
	case s.shutdown.phase != phaseServing && (lead.decider == nil || lead.decider.Held().Update.State == rollout.Running):
		return true
	case s.hasRolloutWork(service):
		return false
	default:
		return lead.decider == nil || lead.repeats >= endRepeats
	}
}

// handleRolloutLeaseHeld notes whether this node decides a roll-out.
func (s *State) handleRolloutLeaseHeld(in RolloutLeaseHeld) {
	lead := s.rollouts.leads[in.Service]
	s.noteStoreAnswer(in.Result != StoreUnknown)
	if lead == nil {
		return
	}
	lead.holding, lead.holdAt = false, s.now+rollout.LeaseInterval
	switch in.Result {
	case StoreOK:
		if lead.lease != in.Lease && in.Fence == 0 { // the renewal of a lease of an earlier era, which may be another node's now
			lead.holdAt = s.now
			return
		}
		lead.confirmed = true
		if lead.lease != in.Lease {
			s.log(LevelInfo, "node decides the roll-out", Field{"service", in.Service}, Field{"fence", in.Fence})
			lead.lease, lead.fence, lead.ready = in.Lease, in.Fence, false
			s.readRolloutsNow()
		}
	case StoreConflict:
		s.loseLead(lead)
		if s.now-s.rollouts.heardAt[in.Service] >= stateSilence { // the decider may have failed
			lead.holdAt = s.now + leaseRetryInterval
		}
	case StoreNoLease:
		s.loseLead(lead)
		lead.holdAt = s.now
	default:
		lead.holdAt = s.now + leaseRetryInterval
	}
}

// loseLead ends the decisions of this node until it has the lease again.
func (s *State) loseLead(lead *rolloutLead) {
	lead.lease, lead.fence, lead.confirmed, lead.ready, lead.decider, lead.writing = 0, 0, false, false, nil, nil
}

// considerOrder begins the roll-out of a new order, refuses it, or halts one whose order was withdrawn.
func (s *State) considerOrder(service string, lead *rolloutLead) {
	if s.restoreRollout(service, lead) {
		return
	}
	r := &s.rollouts
	order, ordered := r.orders[service]
	stored := r.stored[service]
	running := stored.Update.State == rollout.Running
	if lead.decider != nil && stored.Update.At().IsAfter(lead.decider.Held().Update.At()) || lead.decider == nil && running {
		s.continueRollout(lead, stored)
	}
	if running && stored.Update.Decider != s.rolloutSelf() {
		s.takeOverRollout(lead, stored)
		return
	}
	if s.awaitsOrder(service, stored) {
		return
	}
	inUse, known := r.view.InUse(service, s.versionsOf(service))
	switch {
	case !ordered && running:
		lead.decider.Halt("the order was withdrawn")
	case order.Revision <= stored.Update.Order:
	case order.Problem != "" || known && order.Version == inUse && !running:
		s.writeRollout(lead, rollout.Refuse(order, withService(stored, service), s.rolloutSelf()))
	case running && order.Version == stored.Update.Version:
		stored.Update.Order, stored.Update.Decider = order.Revision, s.rolloutSelf()
		s.writeRollout(lead, stored)
	case known && order.Version == inUse:
		s.writeRollout(lead, rollout.Refuse(order, stored, s.rolloutSelf()))
	case known:
		lead.logged = ""
		s.writeRollout(lead, rollout.Start(order, inUse, stored, s.rolloutSelf(), s.wallClockMillis()))
	case s.now-lead.firstSeen >= order.Duration:
		order.Problem = "no upstream of the service is known"
		s.writeRollout(lead, rollout.Refuse(order, withService(stored, service), s.rolloutSelf()))
	}
}

// takeOverRollout writes the state of another decider with this node in its place. Nodes send their reports to the decider that the
// state names, and ignore repetitions of a revision by a node that counts them from the beginning.
func (s *State) takeOverRollout(lead *rolloutLead, stored rollout.Stored) {
	stored.Update.Decider, stored.Update.Refresh = s.rolloutSelf(), 0
	s.writeRollout(lead, stored)
}

func withService(stored rollout.Stored, service string) rollout.Stored {
	stored.Update.Service = service
	return stored
}

// versionsOf returns the versions of the upstreams of a service.
func (s *State) versionsOf(service string) []rollout.Upstream {
	if len(s.servingUpstreams(service)) == 0 {
		return nil
	}
	return s.members.choice.versions[service]
}

func (s *State) rolloutSelf() rollout.Node {
	return rollout.Node{ID: string(s.cfg.Self), Address: s.cfg.Address, Incarnation: uint64(s.cfg.Incarnation)}
}

func (s *State) writeRollout(lead *rolloutLead, next rollout.Stored) {
	next.Update.Era = s.storeEra.Current()
	lead.writing = &next
	s.emit(WriteRollout{Rollout: next, Fence: lead.fence})
}

// decideRollout carries out the decision of the decider. A halt is passed on at once and written when the store answers.
func (s *State) decideRollout(lead *rolloutLead) {
	if lead.decider == nil || lead.decider.Held().Update.State != rollout.Running {
		return
	}
	d := lead.decider.Decide(s.rolloutSituation(lead.decider.Held().Update))
	if d.Halt && lead.logged != d.Reason {
		lead.logged = d.Reason
		u := lead.decider.Held().Update
		s.log(LevelWarn, "roll-out is halted", Field{"service", u.Service}, Field{"software", u.Version}, Field{"reason", d.Reason}, Field{"step", u.Step},
			Field{"route", d.Finding.Route}, Field{"kind", d.Finding.Kind}, Field{"score", d.Finding.Score}, Field{"bad", d.Finding.Observed}, Field{"expected", d.Finding.Expected},
			Field{"new_calls", d.Finding.NewCalls}, Field{"old_calls", d.Finding.OldCalls})
		s.repeatRollout(lead)
	}
	if d.Next != nil && lead.ready && lead.writing == nil {
		u := d.Next.Update
		s.log(LevelInfo, "roll-out step decided", Field{"service", u.Service}, Field{"software", u.Version}, Field{"state", u.State.String()}, Field{"step", u.Step}, Field{"share", u.Share},
			Field{"score", d.Finding.Score}, Field{"new_calls", d.Finding.NewCalls}, Field{"old_calls", d.Finding.OldCalls})
		s.emit(RolloutObserved{Service: u.Service, Version: u.Version, State: u.State, Step: u.Step, Share: u.Share, Finding: d.Finding})
		s.writeRollout(lead, *d.Next)
	}
}

// rolloutSituation returns what the decider has to know of the mesh.
func (s *State) rolloutSituation(u rollout.Update) rollout.Situation {
	situation := rollout.Situation{Now: s.now, WallMs: s.wallClockMillis()}
	for _, m := range s.members.sorted() {
		if m.State == MemberLeft {
			continue
		}
		situation.Members = append(situation.Members, rollout.Member{
			ID: string(m.Node), Version: m.Upstream.Version, Serves: m.serves(u.Service),
			Dead: m.State == MemberDead, Ended: s.rollouts.ended[m.Node] == m.Incarnation, DeadFor: s.now - s.members.endedAt[m.Node],
		})
	}
	for _, route := range s.config.active.Routes() {
		if pool, ok := s.config.active.Pool(route.Pool); !ok || pool.Service == u.Service {
			situation.LongCall = max(situation.LongCall, route.Timeout)
		}
	}
	return situation
}

// handleRolloutWritten takes the state that was written, or reads the store if it may have another one.
func (s *State) handleRolloutWritten(in RolloutWritten) {
	lead := s.rollouts.leads[in.Service]
	s.noteStoreAnswer(in.Result != StoreUnknown)
	if lead == nil || lead.writing == nil {
		return
	}
	written := *lead.writing
	lead.writing = nil
	if in.Result != StoreOK {
		lead.ready = false
		if in.Result == StoreConflict {
			lead.holdAt = s.now
		}
		s.readRolloutsNow()
		return
	}
	written.Revision, written.Update.Revision = in.Revision, in.Revision
	s.log(LevelInfo, "roll-out state written", Field{"service", in.Service}, Field{"software", written.Status.Version}, Field{"state", written.Status.State.String()},
		Field{"share", written.Update.Share}, Field{"reason", written.Status.Reason}, Field{"revision", in.Revision})
	s.takeWritten(lead, written)
}

// takeWritten continues from a state that this node wrote.
func (s *State) takeWritten(lead *rolloutLead, written rollout.Stored) {
	s.continueRollout(lead, written)
	s.noteStored(written)
}

// continueRollout makes the decider continue from a state of the store. It keeps what it has observed if the state is its
// own, as after a write whose answer was lost.
func (s *State) continueRollout(lead *rolloutLead, stored rollout.Stored) {
	lead.repeats = 0
	if lead.decider != nil && stored.Update.Decider == s.rolloutSelf() {
		held := lead.decider.Held().Update
		if held.Version == stored.Update.Version && held.State == rollout.Running {
			lead.decider.Written(stored, s.now)
			return
		}
	}
	lead.decider = rollout.NewDecider(s.cfg.Rollouts, stored, s.rolloutSelf(), s.now)
	// A halt that is not stored yet, as after an outage of the store, stays: without calls there is nothing to judge by.
	if held := s.rollouts.view.Update(stored.Update.Service); stored.Update.KeepsHalt(held) {
		lead.decider.Halt(cmp.Or(lead.logged, "halted by an earlier decider"))
	}
}

// probeDeadMembers asks nodes that count as dead for an answer while the decider waits for them: one whose address refuses
// the connection has ended, any other may be behind a partition.
func (s *State) probeDeadMembers(u rollout.Update) {
	if !u.Final {
		return
	}
	for _, m := range s.members.sorted() {
		if m.State == MemberDead && s.rollouts.ended[m.Node] != m.Incarnation && s.now-s.members.endedAt[m.Node] < probeDeadFor {
			s.emit(Send{To: m.Ref(), Message: RolloutFetch{}})
		}
	}
}

// refreshRollout repeats the state every RefreshInterval, also its end a few times.
func (s *State) refreshRollout(lead *rolloutLead) {
	if lead.decider == nil || s.now-lead.refreshedAt < rollout.RefreshInterval {
		return
	}
	if lead.decider.Held().Update.State != rollout.Running {
		lead.repeats++
	}
	s.probeDeadMembers(lead.decider.Held().Update)
	s.repeatRollout(lead)
}

// noteRefused notes that the address of a node refused a connection: its process has ended.
func (s *State) noteRefused(to PeerRef) {
	if s.cfg.Rollouts.Enabled && to.Node != "" && to.Incarnation != 0 {
		s.rollouts.ended[to.Node] = to.Incarnation
	}
}

func (s *State) repeatRollout(lead *rolloutLead) {
	lead.refreshedAt = s.now
	lead.refreshes++
	u := lead.decider.Current()
	u.Refresh = lead.refreshes
	s.applyRollout(u, "")
}

// followLead makes the decider of this node, if there is one, follow an update that was applied: a halt by another one, or
// the state of one that has taken over.
func (s *State) followLead(u rollout.Update) {
	lead := s.rollouts.leads[u.Service]
	if lead == nil || lead.decider == nil {
		return
	}
	held := lead.decider.Held().Update
	switch {
	case held.KeepsHalt(u):
		lead.decider.Halt("halted by another decider")
	case u.At().IsAfter(held.At()) && u.Decider != s.rolloutSelf():
		lead.decider = nil
	}
}

// observeRolloutReport passes a report of a node to the decider, which decides every leadTick.
func (s *State) observeRolloutReport(node NodeID, report rollout.Report) {
	lead := s.rollouts.leads[report.Service]
	if lead == nil || lead.decider == nil {
		return
	}
	lead.decider.Observe(s.now, string(node), s.members.table[node].Zone, report)
}
