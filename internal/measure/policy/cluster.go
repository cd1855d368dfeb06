package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	service          = "service"
	localHop         = 100 * time.Microsecond // one way, in a zone
	registerInterval = time.Second
)

// clusterOptions describe the nodes of a run.
type clusterOptions struct {
	upstreams  int
	slots      int
	zones      int
	zoneHop    time.Duration // one way, between zones of a region
	farZones   int           // zones of the other region
	regionHop  time.Duration // one way, between regions
	noUpstream bool          // the backend servers of the first zone are down
	reports    timeReports
	discipline reducer.Discipline
	routes     string
	pools      string
	seed       uint64
}

// cluster runs the reducer states of some nodes in virtual time. Each node has a modelled backend server.
type cluster struct {
	options clusterOptions
	now     time.Duration
	queue   eventQueue
	seq     uint64
	nodes   []*simNode
	byID    map[reducer.NodeID]*simNode
	rng     *rand.Rand
	// execute returns how a request runs at a backend server; it calls done once.
	execute func(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult))
	// overSlots counts the starts beyond the slots of a backend server.
	overSlots int
	retries   int
	starts    int
}

// simNode is one node and its backend server.
type simNode struct {
	cluster      *cluster
	index        int
	id           reducer.NodeID
	zone         string
	far          bool // in the other region
	state        *reducer.State
	handles      reducer.Handle
	wake         uint64 // generation of the last WakeAt
	nextPriority int
	running      map[reducer.Handle]*execution
	forwards     map[reducer.Handle]forwardOrigin
	settles      map[reducer.Handle]forwardOrigin
	callers      map[reducer.Handle]func(ok bool)
}

// execution is a request at a backend server.
type execution struct {
	began    time.Duration
	priority int
}

// forwardOrigin is where the answer of a forwarded call goes.
type forwardOrigin struct {
	node    *simNode
	call    reducer.Handle
	attempt int
}

func newCluster(options clusterOptions) *cluster {
	c := &cluster{options: options, byID: map[reducer.NodeID]*simNode{}, rng: rand.New(rand.NewPCG(options.seed, 1))}
	document := tables.Document{
		Version: 1, EditID: "edit", Routes: options.routes, Pools: options.pools,
		Hash: tables.ContentHash(options.routes, options.pools),
	}
	snapshot, err := tables.Check(document)
	if err != nil {
		panic(err)
	}
	for i := range options.upstreams {
		c.addNode(i, snapshot)
	}
	for _, n := range c.nodes {
		n.introduce()
		if !options.noUpstream || n.index%options.zones != 0 {
			n.register()
		}
	}
	return c
}

func (c *cluster) addNode(index int, snapshot *tables.Snapshot) {
	n := &simNode{
		cluster: c, index: index, id: reducer.NodeID(fmt.Sprintf("node-%02d", index)),
		zone:    fmt.Sprintf("zone-%d", index%c.options.zones),
		far:     index%c.options.zones >= c.options.zones-c.options.farZones,
		running: map[reducer.Handle]*execution{}, forwards: map[reducer.Handle]forwardOrigin{},
		settles: map[reducer.Handle]forwardOrigin{}, callers: map[reducer.Handle]func(bool){},
	}
	limits := reducer.DefaultLimits()
	n.state = reducer.New(reducer.Config{
		Self: n.id, Zone: n.zone, Address: fmt.Sprintf("127.0.0.1:%d", 10000+index), Incarnation: 1,
		Limits: limits, Discipline: c.options.discipline, Tables: snapshot,
	})
	c.nodes = append(c.nodes, n)
	c.byID[n.id] = n
}

func (n *simNode) ref() reducer.PeerRef {
	return reducer.PeerRef{Node: n.id, Address: fmt.Sprintf("127.0.0.1:%d", 10000+n.index), Incarnation: 1}
}

// introduce tells a node of all others, as the exchange after a handshake does.
func (n *simNode) introduce() {
	for _, other := range n.cluster.nodes {
		if other == n {
			continue
		}
		ref := other.ref()
		n.reduce(reducer.PeerMessage{From: ref, Message: reducer.MemberUpdate{Members: []reducer.Member{{
			Node: ref.Node, Zone: other.zone, Address: ref.Address, Incarnation: 1, Sequence: 1, State: reducer.MemberAlive,
		}}}})
	}
}

// register sends the registration of the backend server, now and each second.
func (n *simNode) register() {
	n.reduce(reducer.BackendRegistered{
		Service: service, Address: fmt.Sprintf("127.0.0.1:%d", 20000+n.index),
		Slots: n.cluster.options.slots,
	})
	n.cluster.after(registerInterval, n.register)
}

func (c *cluster) hop(a, b *simNode) time.Duration {
	switch {
	case a.zone == b.zone:
		return localHop
	case a.far != b.far:
		return c.options.regionHop
	default:
		return c.options.zoneHop
	}
}

// call sends a call to a node and reports whether a response came in time.
func (n *simNode) call(in reducer.CallArrived, finished func(ok bool)) {
	n.handles++
	in.Call = n.handles
	in.Host, in.Method = "host", "GET"
	n.callers[in.Call] = finished
	n.reduce(in)
}

func (n *simNode) reduce(input reducer.Input) {
	c := n.cluster
	event := reducer.Event{Now: c.now, Rand: c.rng.Uint64(), Input: input}
	for _, effect := range reducer.Reduce(n.state, event) {
		n.perform(effect)
	}
}

func (n *simNode) perform(effect reducer.Effect) {
	c := n.cluster
	switch e := effect.(type) {
	case reducer.FailCall:
		n.finish(e.Call, false)
	case reducer.Deliver:
		n.finish(e.Call, true)
	case reducer.Forward:
		n.forward(e)
	case reducer.AnswerForward:
		n.answer(e)
	case reducer.Probe:
		c.after(2*c.hop(n, c.byID[e.To.Node]), func() { n.reduce(reducer.ProbeDone{Call: e.Call, Attempt: e.Attempt}) })
	case reducer.Settle:
		n.settle(e)
	case reducer.AnswerSettle:
		n.answerSettle(e)
	case reducer.Cancel:
		to := c.byID[e.To.Node]
		c.after(c.hop(n, to), func() { to.reduce(reducer.CancelArrived{ID: e.ID}) })
	case reducer.CallQueued:
		n.nextPriority = e.Priority // of the StartBackend that follows
	case reducer.StartBackendRequest:
		n.start(e)
	case reducer.AbortBackendRequest:
		c.after(0, func() { n.backendDone(e.Call, reducer.BackendAborted) })
	case reducer.Send:
		to := c.byID[e.To.Node]
		c.after(c.hop(n, to), func() { to.reduce(reducer.PeerMessage{From: n.ref(), Message: e.Message}) })
	case reducer.WakeAt:
		n.wakeAt(e.At)
	case reducer.CallFinished:
		c.retries += max(e.Attempts-1, 0)
	}
}

func (n *simNode) finish(call reducer.Handle, ok bool) {
	if finished := n.callers[call]; finished != nil {
		delete(n.callers, call)
		finished(ok)
	}
}

func (n *simNode) forward(e reducer.Forward) {
	c := n.cluster
	to := c.byID[e.To.Node]
	c.after(c.hop(n, to), func() {
		to.handles++
		to.forwards[to.handles] = forwardOrigin{n, e.Call, e.Attempt}
		to.reduce(reducer.ForwardArrived{
			Call: to.handles, ID: e.ID, Attempt: e.Attempt, Route: e.Route, Pool: e.Pool, Priority: e.Priority,
			Idempotent: e.Idempotent, TimeLeft: e.TimeLeft, DueIn: e.DueIn, TargetIncarnation: e.To.Incarnation, Limits: e.Limits,
		})
	})
}

func (n *simNode) answer(e reducer.AnswerForward) {
	origin, ok := n.forwards[e.Call]
	if !ok {
		return
	}
	delete(n.forwards, e.Call)
	n.cluster.after(n.cluster.hop(n, origin.node), func() {
		origin.node.reduce(reducer.ForwardDone{
			Call: origin.call, Attempt: origin.attempt, Result: reducer.ForwardAnswered, Outcome: e.Outcome,
			Reason: e.Reason, Status: e.Status, Load: e.Load, RetriesUsed: e.RetriesUsed,
			Took: n.reportedTime(e.Took),
		})
	})
}

func (n *simNode) settle(e reducer.Settle) {
	c := n.cluster
	to := c.byID[e.To.Node]
	c.after(c.hop(n, to), func() {
		to.handles++
		to.settles[to.handles] = forwardOrigin{n, e.Call, e.Attempt}
		to.reduce(reducer.SettleArrived{
			Exchange: to.handles, ID: e.ID, Route: e.Route, TargetIncarnation: e.To.Incarnation, TimeLeft: e.TimeLeft,
		})
	})
}

func (n *simNode) answerSettle(e reducer.AnswerSettle) {
	origin := n.settles[e.Exchange]
	delete(n.settles, e.Exchange)
	n.cluster.after(n.cluster.hop(n, origin.node), func() {
		origin.node.reduce(reducer.SettleDone{
			Call: origin.call, Attempt: origin.attempt, Answered: true, Outcome: e.Outcome, Reason: e.Reason,
			Status: e.Status, Load: e.Load,
		})
	})
}

func (n *simNode) start(e reducer.StartBackendRequest) {
	c := n.cluster
	n.running[e.Call] = &execution{began: c.now, priority: n.nextPriority}
	c.starts++
	if len(n.running) > c.options.slots {
		c.overSlots++
	}
	c.after(e.Timeout, func() { n.backendDone(e.Call, reducer.BackendAborted) })
	c.execute(n, e, func(result reducer.BackendResult) { n.backendDone(e.Call, result) })
}

func (n *simNode) backendDone(call reducer.Handle, result reducer.BackendResult) {
	run := n.running[call]
	if run == nil {
		return
	}
	delete(n.running, call)
	done := reducer.BackendRequestDone{Call: call, Result: result, Elapsed: n.cluster.now - run.began}
	if result == reducer.BackendAnswered {
		done.Status = 200
	}
	n.reduce(done)
}

func (n *simNode) wakeAt(at time.Duration) {
	n.wake++
	generation := n.wake
	n.cluster.at(at, func() {
		if n.wake == generation {
			n.reduce(reducer.TimerDue{})
		}
	})
}

// simEvent is something that happens at a time of the run.
type simEvent struct {
	at  time.Duration
	seq uint64
	do  func()
}

func (c *cluster) after(d time.Duration, do func()) { c.at(c.now+d, do) }

func (c *cluster) at(at time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, simEvent{max(at, c.now), c.seq, do})
}

// run handles the events up to a time.
func (c *cluster) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		event := heap.Pop(&c.queue).(simEvent)
		c.now = event.at
		event.do()
	}
	c.now = until
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	event := old[len(old)-1]
	old[len(old)-1] = simEvent{}
	*q = old[:len(old)-1]
	return event
}
