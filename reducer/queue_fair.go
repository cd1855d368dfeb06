package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/fairshare"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// fairState holds what this node knows of the workspaces' shares.
type fairState struct {
	weights  map[string]float64 // by workspace, of the version below
	standard float64            // weight of a workspace without a rate
	snapshot *tables.Snapshot
	waits    map[workspacePool]workspaceWait // as targets report
	loggedAt time.Duration                   // last log line of logShare
}

// assignFlow gives a call its workspace in the queue. Without workspaces in the tables calls have none, and their order is
// that of their due times. Calls without a workspace form one of their own.
func (s *State) assignFlow(call *targetCall) {
	q := &s.target.queue
	if s.cfg.DisableFairness || q.discipline != DisciplineShares || call.nested || !s.config.active.HasWorkspaces() {
		return
	}
	call.flow = q.fair[call.priority].Flow(s.now, call.workspace, s.workspaceWeight(call.workspace))
}

// workspaceWeight returns the share of a workspace relative to others: its rate, which is in proportion to its usual
// demand, or the mean rate for one without.
func (s *State) workspaceWeight(name string) float64 {
	f := &s.fair
	if f.snapshot != s.config.active {
		f.update(s.config.active)
	}
	if weight, ok := f.weights[name]; ok {
		return weight
	}
	return f.standard
}

func (f *fairState) update(snapshot *tables.Snapshot) {
	f.snapshot, f.weights, f.standard = snapshot, map[string]float64{}, 1
	sum := 0.0
	for _, w := range snapshot.Workspaces() {
		if w.Rate > 0 {
			f.weights[w.Name] = w.Rate
			sum += w.Rate
		}
	}
	if len(f.weights) > 0 {
		f.standard = sum / float64(len(f.weights))
	}
}

// firstOf returns the next call of a priority among those that can end by their due time, or nil: the first one of the
// workspace that has had the least of its share.
func (q *priorityQueue) firstOf(priority int) *targetCall {
	first := q.waiting[priority].head
	if first == nil || first.flow == nil {
		return first
	}
	fair := &q.fair[priority]
	lowest := fair.Tag(first.flow)
	for call := first.next; call != nil; call = call.next {
		if call.flow == nil || call.flow == first.flow {
			continue
		}
		if tag := fair.Tag(call.flow); tag < lowest {
			first, lowest = call, tag
		}
	}
	return first
}

// ownWorkAhead returns the expected slot time of the calls of the same workspace in front of a new call.
func (l *callList) ownWorkAhead(flow *fairshare.Flow, due time.Duration) time.Duration {
	work := time.Duration(0)
	for call := l.head; call != nil && (due == 0 || call.due <= due); call = call.next {
		if call.flow == flow {
			work += call.cost
		}
	}
	return work
}

// waitOfCall is wait for a call, which may belong to a workspace. The caller must have called advance.
func (q *priorityQueue) waitOfCall(call *targetCall, slots int, pool tables.Pool, due time.Duration) time.Duration {
	if call.flow == nil {
		return q.wait(call.priority, slots, pool, due)
	}
	own := q.waiting[call.priority].ownWorkAhead(call.flow, due).Seconds()
	rate := float64(slots)
	for p := range call.priority {
		rate -= q.arrivalRate(p)
	}
	return q.waitBehind(call.priority, slots, pool, q.fair[call.priority].Ahead(q.now, call.flow, own, rate))
}

// evictionByShare returns the queued call to refuse in favour of a new call with a workspace, or nil: a late one, else the
// last call of the workspace with the most queued slot time beyond its share in the priority that must give up a place.
func (q *priorityQueue) evictionByShare(call *targetCall, pool tables.Pool) *targetCall {
	candidate := q.evictionCandidate(call.priority, pool)
	switch {
	case candidate == nil:
		most := q.fair[call.priority].MostExcess()
		if most == nil || most == call.flow || q.fair[call.priority].Excess(most) <= q.fair[call.priority].Excess(call.flow) {
			return nil
		}
		return q.waiting[call.priority].lastOf(most)
	case candidate.late || candidate.flow == nil:
		return candidate
	default:
		if last := q.waiting[candidate.priority].lastOf(q.fair[candidate.priority].MostExcess()); last != nil {
			return last
		}
		return candidate
	}
}

// lastOf returns the last call of a workspace, or nil.
func (l *callList) lastOf(flow *fairshare.Flow) *targetCall {
	for call := l.tail; call != nil; call = call.prev {
		if call.flow == flow {
			return call
		}
	}
	return nil
}

// evictionFor returns the queued call to refuse in favour of a new one, or nil.
func (q *priorityQueue) evictionFor(call *targetCall, pool tables.Pool) *targetCall {
	switch {
	case call.nested:
		return q.evictionForNested(call.priority, pool)
	case call.flow != nil:
		return q.evictionByShare(call, pool)
	default:
		return q.evictionCandidate(call.priority, pool)
	}
}

// workspacePool names the calls of a workspace to a pool.
type workspacePool struct{ workspace, pool string }

// workspaceWait is the expected wait of the calls of a workspace, from the answers to them.
type workspaceWait struct {
	wait time.Duration
	at   time.Duration
}

const (
	// workspaceWaitWeight is the weight of the newest answer. A node sees a large workspace at many upstreams.
	workspaceWaitWeight = 0.2
	// maxWorkspaceWaits bounds the waits that are kept.
	maxWorkspaceWaits = 4096
	// shareLogInterval is the least time between two log lines about refusals by share at a node.
	shareLogInterval = time.Second
	// returnSpread is the part of the longest Retry-After over which refused calls are spread.
	returnSpread = 0.5
)

// noteWorkspaceWait takes over the wait of a workspace that the answer to one of its calls carries.
func (s *State) noteWorkspaceWait(call *ingressCall, report *LoadReport) {
	if !s.sharesApply(call) {
		return
	}
	f, key := &s.fair, workspacePool{call.workspace, call.route.Pool}
	old, known := f.waits[key]
	if !known && len(f.waits) >= maxWorkspaceWaits {
		f.dropOldWaits(s.now)
	}
	if f.waits == nil {
		f.waits = map[workspacePool]workspaceWait{}
	}
	wait := report.WorkspaceWait
	if known && s.now-old.at <= earlyReportMaxAge {
		wait = old.wait + time.Duration(workspaceWaitWeight*float64(wait-old.wait))
	}
	if known || len(f.waits) < maxWorkspaceWaits {
		f.waits[key] = workspaceWait{wait, s.now}
	}
}

func (f *fairState) dropOldWaits(now time.Duration) {
	for key, w := range f.waits {
		if now-w.at > earlyReportMaxAge {
			delete(f.waits, key)
		}
	}
}

// sharesApply reports whether a call belongs to a workspace in the queues.
func (s *State) sharesApply(call *ingressCall) bool {
	return !call.nested && !s.cfg.DisableFairness && s.config.active.HasWorkspaces()
}

// workspaceRefusal reports whether fresh answers to calls of the same workspace say that a new call cannot finish in time.
// One in earlyRefusalsPerProbe such calls is let through.
func (s *State) workspaceRefusal(call *ingressCall) bool {
	known, ok := s.fair.waits[workspacePool{call.workspace, call.route.Pool}]
	if !ok || s.now-known.at > earlyReportMaxAge || known.wait <= call.deadline-s.now-2*hopMargin {
		return false
	}
	return s.random(earlyRefusalsPerProbe) != 0
}

// addWorkspaceWait adds the wait of the workspace of the answered call to the report.
func (s *State) addWorkspaceWait(call *targetCall, report *LoadReport) {
	if call.flow != nil {
		pool, _ := s.config.active.PoolOfService(s.backend.service)
		report.WorkspaceWait = s.target.queue.waitOfCall(call, report.Slots, pool, 0)
	}
}

// logShare logs the refusal of a call because its workspace has had its share, at most once in shareLogInterval.
func (s *State) logShare(call *targetCall, reason Reason) {
	f := &s.fair
	if call.flow == nil || !isOverloadRefusal(reason) || f.loggedAt > 0 && s.now-f.loggedAt < shareLogInterval {
		return
	}
	q := &s.target.queue.fair[call.priority]
	if excess := q.Excess(call.flow); excess > 0 {
		f.loggedAt = s.now
		s.log(LevelInfo, "calls of a workspace beyond its share are refused", Field{"workspace", call.workspace}, Field{"priority", call.priority},
			Field{"reason", reason}, Field{"beyond_share", time.Duration(excess * float64(time.Second))}, Field{"demand", call.flow.Demand()})
	}
}

// workspaceExcess returns by how much the expected wait of a workspace exceeds the time left for a call.
func (s *State) workspaceExcess(call *ingressCall, left time.Duration) time.Duration {
	return s.fair.waits[workspacePool{call.workspace, call.route.Pool}].wait - left
}

// spreadRetryAfter spreads the hints of refused calls, so that these do not return at one time: the more urgent the
// priority and the longer the caller has waited, the sooner. A caller that repeats a request allows less time for it.
func (s *State) spreadRetryAfter(call *ingressCall, hint, limit time.Duration) time.Duration {
	allowed := call.deadline - call.arrivedAt
	left := float64(allowed) / float64(max(call.route.Timeout, allowed, 1))
	rank := float64(call.route.Priority+1) / tables.Priorities
	spread := time.Duration(returnSpread * rank * left * float64(limit))
	latest := time.Duration((1 - 1.5*returnSpread) * float64(limit)) // leaves room for the spread of the least urgent
	earliest := max(min(hint, latest), minRetryAfter)
	return min(earliest+spread/2+s.jitter(spread), max(limit, minRetryAfter))
}
