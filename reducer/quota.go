package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// quotaViewInterval is the longest interval between updates of the members for quotas while calls are limited. It
	// covers members that are forgotten after their retention.
	quotaViewInterval = 10 * time.Second
	// quotaStatsInterval is the shortest interval between the QuotaStats effects.
	quotaStatsInterval = time.Second
	defaultQuotaWindow = 5 * time.Second
)

// quotaState holds both sides of the quotas of workspaces. Nothing of it acts unless the active version has a workspace
// with a rate.
type quotaState struct {
	node    *quota.Node
	owner   *quota.Owner
	enabled bool
	touched bool // there may be results to carry out

	viewStale bool
	viewAt    time.Duration // of the last update of the view
	changedAt time.Duration // when a member joined, left, was lost or returned
	alone     bool
	ended     map[NodeID]endedMember
	// expected is the number of members that the entries in the store named at the start, read at expectedAt.
	expected   int
	expectedAt time.Duration
	wakeAt     time.Duration // of the timer; valid if wakeSet is set
	wakeSet    bool
	stats      QuotaStats // as last emitted
	statsAt    time.Duration
}

func (q *quotaState) init(limits quota.Limits) {
	if limits.Window == 0 {
		limits.Window = defaultQuotaWindow
	}
	q.node, q.owner = quota.NewNode(limits, 0), quota.NewOwner(limits)
	q.ended = map[NodeID]endedMember{}
}

// applyQuotas takes over the quotas of the active version.
func (s *State) applyQuotas() {
	var limited []tables.Workspace
	for _, w := range s.config.active.Workspaces() {
		if w.Rate > 0 {
			limited = append(limited, w)
		}
	}
	q := &s.quota
	if len(limited) == 0 && !q.enabled {
		return
	}
	if !q.enabled {
		q.viewStale = true
	}
	q.enabled, q.touched = len(limited) > 0, true
	s.updateQuotaView()
	version := s.config.active.ID().Number
	q.owner.SetWorkspaces(s.now, version, limited)
	q.node.SetWorkspaces(s.now, version, limited)
	s.log(LevelInfo, "quotas active", Field{"workspaces", len(limited)}, Field{"owned", q.owner.Owned()}, Field{"version", version})
}

// resetQuotas empties the buckets that this node owns after a pause of the process.
func (s *State) resetQuotas() {
	if s.quota.enabled {
		s.quota.owner.Reset(s.now)
		s.log(LevelWarn, "quotas held after a pause", Field{"owned", s.quota.owner.Owned()})
	}
}

// admitByQuota lets a new call go on, refuses it, or lets it wait for a token of its workspace.
func (s *State) admitByQuota(call *ingressCall) {
	if !s.quota.enabled || call.workspace == "" {
		s.startIngressCall(call)
		return
	}
	s.quota.touched = true
	s.updateQuotaView()
	s.setPhase(call, ingressAwaitingQuota)
	s.decideByQuota(s.quota.node.Arrive(s.now, call.workspace, uint64(call.handle)))
}

func (s *State) decideByQuota(d quota.Decision) {
	call := s.ingress.calls[Handle(d.Call)]
	if call == nil || call.phase != ingressAwaitingQuota {
		return
	}
	switch d.Result {
	case quota.Admitted:
		s.startIngressCall(call)
	case quota.Refused:
		call.quotaRetryAfter = d.RetryAfter
		s.failCall(call, OutcomeNotRun, ReasonQuotaExceeded)
	}
}

// forgetQuotaWait removes a call that ends while it waits for a token.
func (s *State) forgetQuotaWait(call *ingressCall) {
	if call.phase == ingressAwaitingQuota {
		s.quota.touched = true
		s.quota.node.Forget(call.workspace, uint64(call.handle))
	}
}

// runQuotaTimer advances the calls that wait for tokens and the requests for tokens.
func (s *State) runQuotaTimer() {
	s.quota.wakeSet, s.quota.touched = false, true
	s.updateQuotaView()
	s.quota.node.Advance(s.now)
}

func (s *State) handleQuotaRequest(from PeerRef, in QuotaRequest) {
	q := &s.quota
	q.touched = true
	s.updateQuotaView()
	if len(in.Releases) > 0 {
		q.owner.HandleReleases(s.now, in.Releases)
		s.log(LevelInfo, "quotas taken over", Field{"from", from.Node}, Field{"workspaces", len(in.Releases)})
	}
	if len(in.Asks) > 0 {
		s.emit(Send{To: from, Message: QuotaGrant{Grant: q.owner.Handle(s.now, quotaPeer(from), in.Request)}})
	}
	if in.Query.Round > 0 {
		s.emit(Send{To: from, Message: QuotaGrant{Answer: s.answerQuotaQuery(quotaPeer(from), in.Query)}})
	}
}

// answerQuotaQuery agrees, unless this node owns one of the parts, that another one begins to grant them.
func (s *State) answerQuotaQuery(from quota.Peer, query quota.Query) quota.Answer {
	free := s.quota.owner.HandleQuery(s.now, query)
	if free {
		s.quota.node.Forfeit(from, query.Parts)
	}
	return quota.Answer{Round: query.Round, Free: free}
}

func (s *State) handleQuotaGrant(from PeerRef, in QuotaGrant) {
	s.quota.touched = true
	if in.Answer.Round > 0 {
		s.quota.owner.HandleAnswer(s.now, quotaPeer(from), in.Answer)
		return
	}
	s.quota.node.HandleGrant(s.now, quotaPeer(from), in.Grant)
}

func quotaPeer(peer PeerRef) quota.Peer {
	return quota.Peer{Node: string(peer.Node), Incarnation: uint64(peer.Incarnation)}
}

// flushQuotas carries out what the quotas have decided since the last event. Requests to this node itself are answered
// at once.
func (s *State) flushQuotas() {
	q := &s.quota
	if !q.touched {
		return
	}
	q.touched = false
	if q.enabled {
		s.updateQuotaView()
	}
	s.advanceQuotaOwner()
	for decisions, outgoing := q.node.Take(); len(decisions)+len(outgoing) > 0; decisions, outgoing = q.node.Take() {
		for _, d := range decisions {
			s.decideByQuota(d)
		}
		for _, out := range outgoing {
			s.sendQuota(out)
		}
	}
	for _, r := range q.node.TakeReports() {
		s.log(LevelInfo, "quota exceeded", Field{"workspace", r.Workspace}, Field{"refused", r.Refused}, Field{"demand_here", r.Demand},
			Field{"quota_in_window", r.Quota}, Field{"no_owner", r.Unowned}, Field{"retry_after", r.RetryAfter})
	}
	s.setQuotaTimer()
	s.emitQuotaStats()
}

// advanceQuotaOwner sends the passed buckets and the queries that are due.
func (s *State) advanceQuotaOwner() {
	q := &s.quota
	recovered := q.owner.Stats.Recovered
	q.owner.Advance(s.now)
	for outgoing := q.owner.TakeReleases(); len(outgoing) > 0; outgoing = q.owner.TakeReleases() {
		for _, out := range outgoing {
			s.sendQuota(out)
		}
	}
	if n := q.owner.Stats.Recovered - recovered; n > 0 {
		s.log(LevelInfo, "hold of quotas ended early", Field{"parts", int(n)})
	}
}

func (s *State) sendQuota(out quota.Outgoing) {
	if out.To.Node == string(s.cfg.Self) {
		if out.Query.Round > 0 {
			s.quota.node.Forfeit(out.To, out.Query.Parts)
			s.quota.owner.HandleAnswer(s.now, out.To, quota.Answer{Round: out.Query.Round, Free: true})
			return
		}
		s.quota.node.HandleGrant(s.now, out.To, s.quota.owner.Handle(s.now, out.To, out.Request))
		return
	}
	if member, known := s.members.table[NodeID(out.To.Node)]; known {
		s.emit(Send{To: member.Ref(), Message: QuotaRequest{Request: out.Request, Releases: out.Releases, Query: out.Query}})
	}
}

func (s *State) setQuotaTimer() {
	q := &s.quota
	at, ok := q.node.NextWake(s.now)
	if ownerAt, owns := q.owner.NextWake(); owns && (!ok || ownerAt < at) {
		at, ok = ownerAt, true
	}
	switch {
	case ok && (!q.wakeSet || at != q.wakeAt):
		s.timers.set(timerKey{kind: timerQuota}, at)
	case !ok && q.wakeSet:
		s.timers.cancel(timerKey{kind: timerQuota})
	}
	q.wakeAt, q.wakeSet = at, ok
}

// emitQuotaStats reports the counts to the metrics.
func (s *State) emitQuotaStats() {
	q := &s.quota
	stats := QuotaStats{Node: q.node.Stats, Owner: q.owner.Stats, Owned: q.owner.Owned()}
	if stats != q.stats && (s.now-q.statsAt >= quotaStatsInterval || q.stats == QuotaStats{}) {
		q.stats, q.statsAt = stats, s.now
		s.emit(stats)
	}
}
