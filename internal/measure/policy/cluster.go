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
	localHop         = 100 * time.Microsecond // one way, within a zone
	registerInterval = time.Second
)

// clusterOptions configures the nodes, the network delays and the tables of a simulated cluster.
type clusterOptions struct {
	upstreams     int
	slots         int
	zones         int
	zoneHop       time.Duration // one way, between zones of a region
	farZones      int           // number of zones in the other region
	regionHop     time.Duration // one way, between regions
	firstZoneDown bool          // the backend servers of the first zone are down
	reports       timeReporting
	discipline    reducer.Discipline
	routes        string
	pools         string
	seed          uint64
}

// cluster runs the reducer states of several nodes in virtual time. Each node has a simulated backend server.
type cluster struct {
	options clusterOptions
	now     time.Duration
	queue   eventQueue
	seq     uint64
	nodes   []*simNode
	byID    map[reducer.NodeID]*simNode
	rng     *rand.Rand
	// execute simulates a request at the backend server of n. It calls done exactly once.
	execute func(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult))
	// slotOverruns counts requests that started while all slots of their backend server were in use.
	slotOverruns int
	retries      int // of finished calls
	starts       int // requests that backend servers started
}

// simNode is a node and its simulated backend server.
type simNode struct {
	cluster      *cluster
	index        int
	id           reducer.NodeID
	zone         string
	far          bool // whether the node is in the other region
	state        *reducer.State
	lastHandle   reducer.Handle
	wakeSeq      uint64 // number of the last WakeAt; earlier ones are ignored
	nextPriority int
	running      map[reducer.Handle]*execution
	forwards     map[reducer.Handle]replyTarget
	settles      map[reducer.Handle]replyTarget
	callbacks    map[reducer.Handle]func(ok bool)
}

// execution is a request that a backend server is running.
type execution struct {
	began    time.Duration
	priority int
}

// replyTarget is the node and call attempt that wait for the answer to a Forward or Settle.
type replyTarget struct {
	node    *simNode
	call    reducer.Handle
	attempt int
}

// newCluster starts a cluster whose nodes know each other and whose backend servers are registered, except for
// those of the first zone if firstZoneDown is set.
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
		n.addPeers()
		if !options.firstZoneDown || n.index%options.zones != 0 {
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
		running: map[reducer.Handle]*execution{}, forwards: map[reducer.Handle]replyTarget{},
		settles: map[reducer.Handle]replyTarget{}, callbacks: map[reducer.Handle]func(bool){},
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

// addPeers sends the node the member entries of all other nodes, as peers do after a handshake.
func (n *simNode) addPeers() {
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

// register registers the backend server now and once per registerInterval.
func (n *simNode) register() {
	n.reduce(reducer.BackendRegistered{
		Service: service, Address: fmt.Sprintf("127.0.0.1:%d", 20000+n.index),
		Slots: n.cluster.options.slots,
	})
	n.cluster.scheduleAfter(registerInterval, n.register)
}

func (c *cluster) hopDelay(a, b *simNode) time.Duration {
	switch {
	case a.zone == b.zone:
		return localHop
	case a.far != b.far:
		return c.options.regionHop
	default:
		return c.options.zoneHop
	}
}

// sendCall sends a call of a caller to the node. finished receives whether the call got a response.
func (n *simNode) sendCall(in reducer.CallArrived, finished func(ok bool)) {
	n.lastHandle++
	in.Call = n.lastHandle
	in.Host, in.Method = "host", "GET"
	n.callbacks[in.Call] = finished
	n.reduce(in)
}

func (n *simNode) reduce(input reducer.Input) {
	c := n.cluster
	event := reducer.Event{Now: c.now, Rand: c.rng.Uint64(), Input: input}
	for _, effect := range reducer.Reduce(n.state, event) {
		n.perform(effect)
	}
}

// perform simulates an effect. Effects that it does not list need no simulation.
func (n *simNode) perform(effect reducer.Effect) {
	c := n.cluster
	switch e := effect.(type) {
	case reducer.FailCall:
		n.finishCall(e.Call, false)
	case reducer.Deliver:
		n.finishCall(e.Call, true)
	case reducer.Forward:
		n.forward(e)
	case reducer.AnswerForward:
		n.answerForward(e)
	case reducer.Probe:
		c.scheduleAfter(2*c.hopDelay(n, c.byID[e.To.Node]), func() { n.reduce(reducer.ProbeDone{Call: e.Call, Attempt: e.Attempt}) })
	case reducer.Settle:
		n.settle(e)
	case reducer.AnswerSettle:
		n.answerSettle(e)
	case reducer.Cancel:
		to := c.byID[e.To.Node]
		c.scheduleAfter(c.hopDelay(n, to), func() { to.reduce(reducer.CancelArrived{ID: e.ID}) })
	case reducer.CallQueued:
		n.nextPriority = e.Priority // of the StartBackendRequest that follows
	case reducer.StartBackendRequest:
		n.startBackendRequest(e)
	case reducer.AbortBackendRequest:
		c.scheduleAfter(0, func() { n.finishBackendRequest(e.Call, reducer.BackendAborted) })
	case reducer.Send:
		to := c.byID[e.To.Node]
		c.scheduleAfter(c.hopDelay(n, to), func() { to.reduce(reducer.PeerMessage{From: n.ref(), Message: e.Message}) })
	case reducer.WakeAt:
		n.wakeAt(e.At)
	case reducer.CallFinished:
		c.retries += max(e.Attempts-1, 0)
	}
}

func (n *simNode) finishCall(call reducer.Handle, ok bool) {
	if finished := n.callbacks[call]; finished != nil {
		delete(n.callbacks, call)
		finished(ok)
	}
}

func (n *simNode) forward(e reducer.Forward) {
	c := n.cluster
	to := c.byID[e.To.Node]
	c.scheduleAfter(c.hopDelay(n, to), func() {
		to.lastHandle++
		to.forwards[to.lastHandle] = replyTarget{n, e.Call, e.Attempt}
		to.reduce(reducer.ForwardArrived{
			Call: to.lastHandle, ID: e.ID, Attempt: e.Attempt, Route: e.Route, Pool: e.Pool, Priority: e.Priority,
			Idempotent: e.Idempotent, TimeLeft: e.TimeLeft, DueIn: e.DueIn, TargetIncarnation: e.To.Incarnation, Limits: e.Limits, Nested: e.Nested,
		})
	})
}

func (n *simNode) answerForward(e reducer.AnswerForward) {
	origin, ok := n.forwards[e.Call]
	if !ok {
		return
	}
	delete(n.forwards, e.Call)
	n.cluster.scheduleAfter(n.cluster.hopDelay(n, origin.node), func() {
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
	c.scheduleAfter(c.hopDelay(n, to), func() {
		to.lastHandle++
		to.settles[to.lastHandle] = replyTarget{n, e.Call, e.Attempt}
		to.reduce(reducer.SettleArrived{
			Exchange: to.lastHandle, ID: e.ID, Route: e.Route, TargetIncarnation: e.To.Incarnation, TimeLeft: e.TimeLeft,
		})
	})
}

func (n *simNode) answerSettle(e reducer.AnswerSettle) {
	origin := n.settles[e.Exchange]
	delete(n.settles, e.Exchange)
	n.cluster.scheduleAfter(n.cluster.hopDelay(n, origin.node), func() {
		origin.node.reduce(reducer.SettleDone{
			Call: origin.call, Attempt: origin.attempt, Answered: true, Outcome: e.Outcome, Reason: e.Reason,
			Status: e.Status, Load: e.Load,
		})
	})
}

// startBackendRequest starts a request at the backend server of the node; it is aborted when its timeout ends.
func (n *simNode) startBackendRequest(e reducer.StartBackendRequest) {
	c := n.cluster
	n.running[e.Call] = &execution{began: c.now, priority: n.nextPriority}
	c.starts++
	if len(n.running) > c.options.slots {
		c.slotOverruns++
	}
	c.scheduleAfter(e.Timeout, func() { n.finishBackendRequest(e.Call, reducer.BackendAborted) })
	c.execute(n, e, func(result reducer.BackendResult) { n.finishBackendRequest(e.Call, result) })
}

// finishBackendRequest reports the end of a request to the node, unless it has already ended.
func (n *simNode) finishBackendRequest(call reducer.Handle, result reducer.BackendResult) {
	request := n.running[call]
	if request == nil {
		return
	}
	delete(n.running, call)
	done := reducer.BackendRequestDone{Call: call, Result: result, Elapsed: n.cluster.now - request.began}
	if result == reducer.BackendAnswered {
		done.Status = 200
	}
	n.reduce(done)
}

// wakeAt schedules the next TimerDue of the node and replaces the one scheduled before.
func (n *simNode) wakeAt(at time.Duration) {
	n.wakeSeq++
	seq := n.wakeSeq
	n.cluster.scheduleAt(at, func() {
		if n.wakeSeq == seq {
			n.reduce(reducer.TimerDue{})
		}
	})
}

// simEvent is an action scheduled at a virtual time; seq orders actions of the same time.
type simEvent struct {
	at     time.Duration
	seq    uint64
	action func()
}

func (c *cluster) scheduleAfter(d time.Duration, action func()) { c.scheduleAt(c.now+d, action) }

func (c *cluster) scheduleAt(at time.Duration, action func()) {
	c.seq++
	heap.Push(&c.queue, simEvent{max(at, c.now), c.seq, action})
}

// run executes all events up to a virtual time.
func (c *cluster) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		event := heap.Pop(&c.queue).(simEvent)
		c.now = event.at
		event.action()
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
