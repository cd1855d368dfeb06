package reducer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// meshHop is the time of a message between two nodes of a mesh.
const meshHop = time.Millisecond

// mesh runs the states of several nodes in virtual time, with simulated callers and backend servers.
type mesh struct {
	now     time.Duration
	queue   meshQueue
	seq     int
	rng     *rand.Rand
	nodes   []*meshNode
	byID    map[NodeID]*meshNode
	works   map[CallID]*meshRequest
	slots   int
	learned map[string]time.Duration // when the first node learned that a route is nested
	// execute runs a request at a backend server and calls done with the status of its response.
	execute func(n *meshNode, route string, request *meshRequest, done func(status int))
}

// meshRequest is one attempt of a caller, with the slot time of all executions for it.
type meshRequest struct{ work time.Duration }

// meshNode is a node of a mesh and the backend server beside it.
type meshNode struct {
	mesh    *mesh
	id      NodeID
	service string
	speed   float64
	state   *State
	wakeSeq int
	handle  Handle
	calls   map[Handle]*meshCall // of callers and of the backend server
	route   map[Handle]string    // of calls for the backend server
	running map[Handle]time.Duration
	peers   map[Handle]func(AnswerForward)
}

// meshCall is a call that entered at a node.
type meshCall struct {
	request *meshRequest
	status  int
	ended   func(status int, retryAfter time.Duration)
}

// newMesh returns a mesh with the given number of nodes by service, whose backend servers have the given slots each.
func newMesh(t testing.TB, seed uint64, cfg Config, services map[string]int, order []string, slots int) *mesh {
	t.Helper()
	m := &mesh{slots: slots, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[NodeID]*meshNode{}, works: map[CallID]*meshRequest{}, learned: map[string]time.Duration{}}
	for _, service := range order {
		for range services[service] {
			n := &meshNode{
				mesh: m, id: NodeID(fmt.Sprintf("node-%02d", len(m.nodes))), service: service, speed: 1, calls: map[Handle]*meshCall{},
				route: map[Handle]string{}, running: map[Handle]time.Duration{}, peers: map[Handle]func(AnswerForward){},
			}
			cfg.Self, cfg.Zone, cfg.Incarnation, cfg.Limits = n.id, "z", 1, DefaultLimits()
			n.state = New(cfg)
			m.nodes, m.byID[n.id] = append(m.nodes, n), n
		}
	}
	for _, n := range m.nodes {
		for _, other := range m.nodes {
			if other != n {
				n.reduce(PeerMessage{From: PeerRef{Node: other.id, Incarnation: 1}, Message: MemberUpdate{Members: []Member{{
					Node: other.id, Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive,
				}}}})
			}
		}
	}
	for _, n := range m.nodes {
		n.register()
	}
	return m
}

func (n *meshNode) register() {
	n.reduce(BackendRegistered{Service: n.service, Address: "127.0.0.1:1", Slots: n.mesh.slots})
	n.mesh.after(time.Second, n.register)
}

func (n *meshNode) reduce(input Input) {
	for _, effect := range Reduce(n.state, Event{Now: n.mesh.now, Rand: n.mesh.rng.Uint64(), Input: input}) {
		n.perform(effect)
	}
}

// send sends a call to the node; ended receives the status of the response, or that of a refusal.
func (n *meshNode) send(path string, credential Credential, request *meshRequest, ended func(status int, retryAfter time.Duration)) Handle {
	n.handle++
	handle := n.handle
	n.calls[handle], n.route[handle] = &meshCall{request: request, ended: ended}, path[1:]
	n.reduce(CallArrived{Call: handle, Host: "h", Method: "GET", Path: path, RetriesLeft: -1, Credential: credential})
	return handle
}

func (n *meshNode) finish(handle Handle, status int, retryAfter time.Duration) {
	if call := n.calls[handle]; call != nil {
		delete(n.calls, handle)
		call.ended(status, retryAfter)
	}
}

func (n *meshNode) perform(effect Effect) {
	m := n.mesh
	switch e := effect.(type) {
	case FailCall:
		n.finish(e.Call, 503, e.RetryAfter)
	case Deliver:
		if call := n.calls[e.Call]; call != nil {
			n.finish(e.Call, call.status, 0)
		}
	case Forward:
		n.forward(e)
	case AnswerForward:
		if answer := n.peers[e.Call]; answer != nil {
			delete(n.peers, e.Call)
			m.after(meshHop, func() { answer(e) })
		}
	case Cancel:
		m.after(meshHop, func() { m.byID[e.To.Node].reduce(CancelArrived{ID: e.ID, Attempt: e.Attempt}) })
	case StartBackendRequest:
		n.start(e)
	case AbortBackendRequest:
		m.after(0, func() { n.end(e.Call, BackendAborted, 0) })
	case Send:
		m.after(meshHop, func() {
			m.byID[e.To.Node].reduce(PeerMessage{From: PeerRef{Node: n.id, Incarnation: 1}, Message: e.Message})
		})
	case WakeAt:
		n.wakeSeq++
		seq := n.wakeSeq
		m.at(e.At, func() {
			if seq == n.wakeSeq {
				n.reduce(TimerDue{})
			}
		})
	case Log:
		if e.Message == "learned whether a route is called by backend servers" {
			if route := e.Fields[0].Value.(string); m.learned[route] == 0 && e.Fields[2].Value.(bool) {
				m.learned[route] = m.now
			}
		}
	}
}

func (n *meshNode) forward(e Forward) {
	m, to := n.mesh, n.mesh.byID[e.To.Node]
	if call := n.calls[e.Call]; call != nil {
		m.works[e.ID] = call.request
	}
	m.after(meshHop, func() {
		to.handle++
		to.route[to.handle] = e.Route
		to.peers[to.handle] = func(a AnswerForward) {
			if call := n.calls[e.Call]; call != nil && a.Outcome == OutcomeDone {
				call.status = a.Status
			}
			n.reduce(ForwardDone{
				Call: e.Call, Attempt: e.Attempt, Result: ForwardAnswered, Outcome: a.Outcome, Reason: a.Reason, Status: a.Status,
				Load: a.Load, Took: a.Took,
			})
		}
		to.reduce(ForwardArrived{
			Call: to.handle, ID: e.ID, Attempt: e.Attempt, Route: e.Route, Pool: e.Pool, Priority: e.Priority, Idempotent: e.Idempotent,
			TimeLeft: e.TimeLeft, DueIn: e.DueIn, TargetIncarnation: 1, Limits: e.Limits, Workspace: e.Workspace, Nested: e.Nested,
		})
	})
}

// start runs a request at the backend server. The slot time counts for the request of the caller that it serves.
func (n *meshNode) start(e StartBackendRequest) {
	m, request := n.mesh, n.mesh.works[e.ID]
	if call := n.calls[e.Call]; call != nil {
		request = call.request
	}
	n.running[e.Call] = m.now
	m.after(e.Timeout, func() { n.end(e.Call, BackendAborted, 0) })
	m.execute(n, n.route[e.Call], request, func(status int) {
		if began, ok := n.running[e.Call]; ok {
			if request != nil {
				request.work += m.now - began
			}
			n.end(e.Call, BackendAnswered, status)
		}
	})
}

func (n *meshNode) end(handle Handle, result BackendResult, status int) {
	began, ok := n.running[handle]
	if !ok {
		return
	}
	delete(n.running, handle)
	if call := n.calls[handle]; call != nil {
		call.status = status
	}
	n.reduce(BackendRequestDone{Call: handle, Result: result, Status: status, Elapsed: n.mesh.now - began})
}

// arrivals calls send at random intervals with the given rate a second, which may change with time, until a time.
func (m *mesh) arrivals(rate func(now time.Duration) float64, until time.Duration, send func()) {
	pause := time.Duration(m.rng.ExpFloat64() / rate(m.now) * float64(time.Second))
	if m.now+pause > until {
		return
	}
	m.after(pause, func() {
		send()
		m.arrivals(rate, until, send)
	})
}

type meshEvent struct {
	at     time.Duration
	seq    int
	action func()
}

func (m *mesh) after(d time.Duration, action func()) { m.at(m.now+d, action) }

func (m *mesh) at(at time.Duration, action func()) {
	m.seq++
	heap.Push(&m.queue, meshEvent{max(at, m.now), m.seq, action})
}

func (m *mesh) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= until {
		event := heap.Pop(&m.queue).(meshEvent)
		m.now = event.at
		event.action()
	}
}

type meshQueue []meshEvent

func (q meshQueue) Len() int { return len(q) }
func (q meshQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q meshQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *meshQueue) Push(x any)   { *q = append(*q, x.(meshEvent)) }
func (q *meshQueue) Pop() any {
	old := *q
	event := old[len(old)-1]
	*q = old[:len(old)-1]
	return event
}

// testTables returns a configuration with the given tables.
func testTables(t testing.TB, routes, pools string) Config {
	t.Helper()
	return Config{Tables: testSnapshot(t, routes, pools), Tunables: DefaultTunables()}
}
