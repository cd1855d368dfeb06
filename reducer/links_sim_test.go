package reducer

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Figures of the service whose link is too small: section 2 of docs/design/2026-12-06-work.md.
const (
	simLinkMbps      = 10
	simMeanBytes     = 90_000
	simMaxBytes      = 540_000
	simSmallTime     = 400 * time.Millisecond
	simSmallTarget   = 120 * time.Millisecond
	simSmallBytes    = 300
	simServiceTime   = 30 * time.Millisecond
	simHop           = time.Millisecond
	simLoad          = 1.5
	simSmallInterval = 33 * time.Millisecond
	simAtOnce        = 100 * time.Millisecond // a refusal later than that has cost its caller time
	simDuration      = 40 * time.Second
)

const simRoutes = `
[route documents]
path = /documents
pool = p
idempotent = yes
streaming = yes
timeout = 3s
[route lookup]
path = /lookup
pool = p
idempotent = yes
timeout = 400ms
`

// transfer is a response on the link.
type transfer struct {
	bytes    int
	deadline time.Duration
	small    bool
	done     func()
}

// testLink is a link that is paced: small responses first, then chunks of 16 KiB by deadline, at 0.85 of the rate. Without
// pacing it sends parts of 64 KiB in turn, and small responses behind them.
type testLink struct {
	sim   *linkSim
	paced bool
	queue []*transfer
	busy  bool
}

func (l *testLink) send(t *transfer) {
	l.queue = append(l.queue, t)
	if !l.busy {
		l.next()
	}
}

// next sends the next piece. A transfer whose caller has left is dropped.
func (l *testLink) next() {
	l.queue = slices.DeleteFunc(l.queue, func(t *transfer) bool { return t.deadline < l.sim.now })
	if l.busy = len(l.queue) > 0; !l.busy {
		return
	}
	chunk, first := 64<<10, 0
	if l.paced {
		chunk = 16 << 10
		for i, t := range l.queue {
			if best := l.queue[first]; t.small && !best.small || t.small == best.small && t.deadline < best.deadline {
				first = i
			}
		}
	}
	t := l.queue[first]
	l.queue = slices.Delete(l.queue, first, first+1)
	n := min(chunk, t.bytes)
	took := time.Duration(n) * 8 * time.Microsecond / simLinkMbps
	pause := took
	if l.paced && !t.small {
		pause = took * 100 / 85
	}
	t.bytes -= n
	l.sim.after(took, func() {
		if t.bytes == 0 {
			t.done()
			return
		}
		l.queue = append(l.queue, t)
	})
	l.sim.after(pause, l.next)
}

type linkEvent struct {
	at  time.Duration
	seq int
	run func()
}

type linkEvents []linkEvent

func (q linkEvents) Len() int { return len(q) }
func (q linkEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q linkEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *linkEvents) Push(e any)   { *q = append(*q, e.(linkEvent)) }
func (q *linkEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simResult is how the calls of a simulation ended.
type simResult struct {
	small                 []time.Duration // latencies; simSmallTime for a failure
	served, late, refused int             // downloads
	slowRefusals          int
}

// linkSim runs an ingress node and the node of a service, with the link between them, in virtual time.
type linkSim struct {
	now    time.Duration
	seq    int
	queue  linkEvents
	rng    *rand.Rand
	states map[NodeID]*State
	link   *testLink
	sizes  map[Handle]int
	calls  map[Handle]func(Effect)
	last   Handle
	result simResult
}

func (m *linkSim) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.queue, linkEvent{m.now + d, m.seq, run})
}

func simRef(id NodeID) PeerRef { return PeerRef{Node: id, Address: string(id), Incarnation: 1} }

func (m *linkSim) reduce(id NodeID, input Input) {
	for _, effect := range Reduce(m.states[id], Event{Now: m.now, Rand: m.rng.Uint64(), Input: input}) {
		m.perform(id, effect)
	}
}

func (m *linkSim) perform(id NodeID, effect Effect) {
	switch e := effect.(type) {
	case Send:
		m.after(simHop, func() { m.reduce(e.To.Node, PeerMessage{From: simRef(id), Message: e.Message}) })
	case WakeAt:
		m.after(max(e.At-m.now, 0), func() { m.reduce(id, TimerDue{}) })
	case Forward:
		m.forward(e)
	case Probe:
		m.after(2*simHop, func() { m.reduce(id, ProbeDone{Call: e.Call, Attempt: e.Attempt}) })
	case Cancel:
		m.after(simHop, func() { m.reduce(e.To.Node, CancelArrived{ID: e.ID, Attempt: e.Attempt}) })
	case StartBackendRequest:
		bytes := m.sizes[e.Call]
		m.after(simServiceTime, func() {
			m.reduce(id, BackendRequestDone{Call: e.Call, Result: BackendAnswered, Status: 200, Bytes: int64(bytes), Elapsed: simServiceTime})
		})
	case AnswerForward:
		m.calls[e.Call](e)
	case FailCall:
		m.calls[e.Call](e)
	case Deliver:
		m.calls[e.Call](e)
	}
}

// forward carries a call to the service's node and its answer back over the link.
func (m *linkSim) forward(f Forward) {
	m.last++
	at, deadline := m.last, m.now+f.TimeLeft
	m.sizes[at] = m.sizes[f.Call]
	m.calls[at] = func(effect Effect) {
		e := effect.(AnswerForward)
		answer := &transfer{bytes: simSmallBytes, small: true, deadline: deadline}
		if e.Outcome == OutcomeDone && f.Streaming {
			answer.bytes, answer.small = m.sizes[at], false
		}
		answer.done = func() {
			m.after(simHop, func() {
				m.reduce("ingress", ForwardDone{
					Call: f.Call, Attempt: f.Attempt, Result: ForwardAnswered, Outcome: e.Outcome, Reason: e.Reason, Status: e.Status,
					Load: e.Load, Took: e.Took, Bytes: int64(m.sizes[at]),
				})
			})
		}
		m.link.send(answer)
	}
	m.after(simHop, func() {
		m.reduce("target", ForwardArrived{
			Call: at, ID: f.ID, Attempt: f.Attempt, Route: f.Route, Pool: f.Pool, Priority: f.Priority, Idempotent: f.Idempotent,
			TimeLeft: f.TimeLeft, TargetIncarnation: 1, Streaming: f.Streaming, Limits: f.Limits,
		})
	})
}

// call sends a call to the ingress node and counts how it ends.
func (m *linkSim) call(path string, bytes int) {
	m.last++
	call, began := m.last, m.now
	m.sizes[call] = bytes
	m.calls[call] = func(effect Effect) {
		took := m.now - began
		failed, isFailure := effect.(FailCall)
		switch {
		case path == "/lookup" && isFailure:
			m.result.small = append(m.result.small, simSmallTime)
		case path == "/lookup":
			m.result.small = append(m.result.small, took)
		case !isFailure:
			m.result.served++
		case failed.Outcome == OutcomeNotRun:
			m.result.refused++
			if took > simAtOnce {
				m.result.slowRefusals++
			}
		default:
			m.result.late++
		}
	}
	m.reduce("ingress", CallArrived{Call: call, Method: "GET", Path: path, RetriesLeft: -1})
}

// runLinkSim asks a service for simLoad times what its link carries, and for small lookups beside that.
func runLinkSim(t *testing.T, limited bool) simResult {
	t.Logf("seed %d", testSeed)
	m := &linkSim{rng: rand.New(rand.NewPCG(testSeed, 1)), states: map[NodeID]*State{}, sizes: map[Handle]int{}, calls: map[Handle]func(Effect){}}
	m.link = &testLink{sim: m, paced: limited}
	mbps := 0.0
	if limited {
		mbps = simLinkMbps
	}
	for _, id := range []NodeID{"ingress", "target"} {
		m.states[id] = New(Config{
			Self: id, Zone: "z", Address: string(id), Incarnation: 1, Limits: DefaultLimits(), LinkMbps: mbps,
			Tables: testSnapshot(t, simRoutes, "[pool p]\nservice = s\nramp = 0s\n"),
		})
	}
	for _, pair := range [][2]NodeID{{"ingress", "target"}, {"target", "ingress"}} {
		member := Member{Node: pair[1], Zone: "z", Address: string(pair[1]), Incarnation: 1, Sequence: 1, State: MemberAlive}
		m.reduce(pair[0], PeerMessage{From: simRef(pair[1]), Message: MemberUpdate{Members: []Member{member}}})
	}
	repeat := func(pause func() time.Duration, run func()) {
		var again func()
		again = func() { run(); m.after(pause(), again) }
		m.after(0, again)
	}
	repeat(func() time.Duration { return time.Second }, func() {
		m.reduce("target", testRegistration(map[string]string{"slots": "6"}))
	})
	mean := time.Duration(simMeanBytes * 8 * float64(time.Microsecond) / simLinkMbps / simLoad)
	repeat(func() time.Duration { return time.Duration(m.rng.ExpFloat64() * float64(mean)) }, func() {
		m.call("/documents", min(int(m.rng.ExpFloat64()*simMeanBytes)+1, simMaxBytes))
	})
	repeat(func() time.Duration { return simSmallInterval }, func() { m.call("/lookup", simSmallBytes) })
	for len(m.queue) > 0 && m.now < simDuration {
		next := heap.Pop(&m.queue).(linkEvent)
		m.now = next.at
		next.run()
	}
	return m.result
}

// Guards against small calls that fail behind the downloads of a service whose link is asked for more than it carries, against
// downloads that run and do not arrive in time, and against refusals that come late. Without the setting the same load must
// fail, or it would show nothing.
func TestOverloadedLinkServesWhatItCarries(t *testing.T) {
	with, without := runLinkSim(t, true), runLinkSim(t, false)
	report := func(name string, r simResult) (wait95 time.Duration) {
		slices.Sort(r.small)
		wait95 = r.small[len(r.small)*95/100]
		t.Logf("%s: lookups p95 %v; downloads served %d, late %d, refused %d, of these late %d", name, wait95, r.served, r.late, r.refused, r.slowRefusals)
		return wait95
	}
	wait95 := report("with link_mbps", with)
	if wait95 > simSmallTarget {
		t.Errorf("95th percentile of the lookups is %v, expected at most %v", wait95, simSmallTarget)
	}
	if with.late*100 > with.served {
		t.Errorf("%d of %d accepted downloads did not end in time", with.late, with.served+with.late)
	}
	if with.slowRefusals > 0 {
		t.Errorf("%d refusals came later than %v", with.slowRefusals, simAtOnce)
	}
	if carried := int(simDuration.Seconds() * simLinkMbps * 1e6 / 8 / simMeanBytes); with.served*100 < carried*80 {
		t.Errorf("%d downloads were served, the link carries %d", with.served, carried)
	}
	if report("without", without) <= simSmallTarget || without.late*100 <= without.served {
		t.Error("without link_mbps the lookups and the downloads are served: the load is too small")
	}
}
