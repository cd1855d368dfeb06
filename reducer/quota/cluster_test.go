package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Delays of the deployment between nodes, one way.
const (
	inZone       = 200 * time.Microsecond
	betweenZones = 1400 * time.Microsecond
)

// cluster runs the nodes and owners of many instances in virtual time.
type cluster struct {
	now      time.Duration
	seq      uint64
	queue    eventQueue
	rng      *rand.Rand
	limits   Limits
	nodes    []*instance
	version  uint64
	quotas   []tables.Workspace
	calls    map[uint64]*callRecord
	nextCall uint64
	messages int
	results  []*callRecord
	fixed    bool // all nodes know each other from the start
	expected int  // members that the instances know of at the start
	evidence bool // nodes learn which processes have ended, if they can reach their instances
}

type callRecord struct {
	workspace string
	sentAt    time.Duration
	decision  Decision
}

// instance is a process; its clock starts with it.
type instance struct {
	c        *cluster
	index    int
	zone     int
	side     int // of a partition; 0 for all without one
	life     uint64
	startAt  time.Duration
	up       bool
	paused   bool
	pausedAt time.Duration
	deferred []func()
	node     *Node
	owner    *Owner
	wakeSeq  int
	heard    []time.Duration // when each instance was last heard, by c.now; negative for never
	patience []time.Duration // silence after which it counts as lost
	lives    []uint64
	ended    []uint64 // first life that may have begun after the end of the process, by instance
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newCluster(seed uint64, size int, limits Limits, fixed bool, quotas []tables.Workspace) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, seed)), limits: limits, quotas: quotas, version: 1, calls: map[uint64]*callRecord{}, fixed: fixed}
	for i := range size {
		c.nodes = append(c.nodes, &instance{c: c, index: i, zone: i % 3, heard: make([]time.Duration, size), patience: make([]time.Duration, size), lives: make([]uint64, size), ended: make([]uint64, size)})
	}
	for _, in := range c.nodes {
		in.start()
	}
	for _, in := range c.nodes {
		for j, other := range c.nodes {
			in.lives[j] = other.life
		}
		in.refreshView()
	}
	return c
}

func (c *cluster) after(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + delay, c.seq, run})
}

func (c *cluster) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
	c.now = until
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func (in *instance) clock() time.Duration { return in.c.now - in.startAt }

func (in *instance) peer() Peer { return Peer{nodeName(in.index), in.life} }

func (in *instance) start() {
	in.life++
	in.startAt, in.up, in.paused, in.deferred = in.c.now, true, false, nil
	in.node, in.owner = NewNode(in.c.limits, 0), NewOwner(in.c.limits)
	for j, other := range in.c.nodes {
		in.heard[j], in.lives[j], in.ended[j] = -1, other.life, 0
		in.patience[j] = time.Duration(1200+in.c.rng.IntN(2400)) * time.Millisecond
		if in.c.fixed {
			in.heard[j] = in.c.now
		}
	}
	in.applyTables(in.c.version, in.c.quotas)
	if !in.c.fixed {
		in.scheduleTick()
	}
}

func (in *instance) kill() { in.up, in.paused = false, false; in.life++ }

func (in *instance) applyTables(version uint64, quotas []tables.Workspace) {
	in.node.SetWorkspaces(in.clock(), version, quotas)
	in.owner.SetWorkspaces(in.clock(), version, quotas)
	in.flush()
}

// do runs a function in the process, after its pause if it is paused, unless the process ends before.
func (in *instance) do(run func()) {
	life := in.life
	var step func()
	step = func() {
		switch {
		case !in.up || in.life != life:
		case in.paused:
			in.deferred = append(in.deferred, step)
		default:
			run()
			in.flush()
		}
	}
	step()
}

func (in *instance) resume() {
	if !in.paused {
		return
	}
	in.paused = false
	if in.c.now-in.pausedAt > 1200*time.Millisecond {
		in.owner.Reset(in.clock())
		for j := range in.heard {
			if in.heard[j] >= 0 {
				in.heard[j] = in.c.now
			}
		}
	}
	deferred := in.deferred
	in.deferred = nil
	for _, run := range deferred {
		run()
	}
}

func (in *instance) reaches(other *instance) bool {
	return in.up && other.up && !in.paused && !other.paused && in.side == other.side
}

// scheduleTick exchanges what the instances know each 100 ms, as heartbeats and floods do.
func (in *instance) scheduleTick() {
	life := in.life
	in.c.after(time.Duration(100+in.c.rng.IntN(50))*time.Millisecond, func() {
		if in.life != life {
			return
		}
		in.do(in.tick)
		in.scheduleTick()
	})
}

func (in *instance) tick() {
	for j, other := range in.c.nodes {
		if in.c.evidence && !other.up && in.side == other.side {
			in.ended[j] = other.life
		}
		if j == in.index || !in.reaches(other) {
			continue
		}
		in.heard[j], in.lives[j] = in.c.now, other.life
		for k, at := range other.heard {
			if in.heard[k] < 0 && at >= 0 && k != in.index {
				in.heard[k], in.lives[k] = at, other.lives[k]
			}
		}
	}
	in.refreshView()
}

func (in *instance) refreshView() {
	view := View{Self: in.peer(), Live: []Peer{in.peer()}, Alive: 1, Known: []string{nodeName(in.index)}}
	for j, at := range in.heard {
		if j == in.index || at < 0 {
			continue
		}
		view.Known = append(view.Known, nodeName(j))
		if in.lives[j] < in.ended[j] {
			view.Ended++
			continue
		}
		if in.c.fixed || in.c.now-at < in.patience[j] {
			view.Live = append(view.Live, Peer{nodeName(j), in.lives[j]})
			view.Alive++
		}
	}
	view.Expected = in.c.expected
	view.Alone = len(view.Known) == 1 && len(in.c.nodes) > 1
	view.ChangedAt = in.clock()
	if in.node.SetView(view) {
		in.owner.SetView(in.clock(), view)
		in.flush()
	}
}

// flush carries out what the node and the owner decided.
func (in *instance) flush() {
	in.owner.Advance(in.clock())
	for outgoing := in.owner.TakeReleases(); len(outgoing) > 0; outgoing = in.owner.TakeReleases() {
		for _, out := range outgoing {
			in.send(out)
		}
	}
	for {
		decisions, outgoing := in.node.Take()
		for _, d := range decisions {
			in.c.finish(d)
		}
		if len(outgoing) == 0 {
			break
		}
		for _, out := range outgoing {
			in.send(out)
		}
	}
	in.wake()
}

func (in *instance) wake() {
	in.wakeSeq++
	seq := in.wakeSeq
	at, ok := in.node.NextWake(in.clock())
	if ownerAt, owns := in.owner.NextWake(); owns && (!ok || ownerAt < at) {
		at, ok = ownerAt, true
	}
	if !ok {
		return
	}
	in.c.after(max(at-in.clock(), 0), func() {
		if in.wakeSeq == seq {
			in.do(func() { in.node.Advance(in.clock()) })
		}
	})
}

func (c *cluster) find(peer Peer) *instance {
	for _, in := range c.nodes {
		if in.peer() == peer {
			return in
		}
	}
	return nil
}

func (in *instance) send(out Outgoing) {
	to := in.c.find(out.To)
	if out.Query.Round > 0 {
		in.query(to, out.Query)
		return
	}
	if to == in {
		in.node.HandleGrant(in.clock(), in.peer(), in.owner.Handle(in.clock(), in.peer(), out.Request))
		return
	}
	sender := in.peer()
	in.transmit(to, func() {
		to.owner.HandleReleases(to.clock(), out.Releases)
		if len(out.Request.Asks) == 0 {
			return
		}
		grant := to.owner.Handle(to.clock(), sender, out.Request)
		from := to.peer()
		to.transmit(in, func() { in.node.HandleGrant(in.clock(), from, grant) })
	})
}

// query sends the query of an owner, and its answer back.
func (in *instance) query(to *instance, query Query) {
	sender := in.peer()
	if to == in {
		in.node.Forfeit(sender, query.Parts)
		in.owner.HandleAnswer(in.clock(), sender, Answer{Round: query.Round, Free: true})
		return
	}
	in.transmit(to, func() {
		answer := Answer{Round: query.Round, Free: to.owner.HandleQuery(to.clock(), query)}
		if answer.Free {
			to.node.Forfeit(sender, query.Parts)
		}
		from := to.peer()
		to.transmit(in, func() { in.owner.HandleAnswer(in.clock(), from, answer) })
	})
}

func (in *instance) transmit(to *instance, receive func()) {
	if to == nil || in.side != to.side {
		return
	}
	in.c.messages++
	delay := inZone
	if in.zone != to.zone {
		delay = betweenZones
	}
	life := to.life
	in.c.after(delay, func() {
		if to.life == life {
			to.do(receive)
		}
	})
}

// call sends a call of a workspace to an instance. One that waits in a paused process counts from its resumption.
func (c *cluster) call(in *instance, workspace string) {
	if !in.up {
		return
	}
	c.nextCall++
	id := c.nextCall
	in.do(func() {
		c.calls[id] = &callRecord{workspace: workspace, sentAt: c.now}
		d := in.node.Arrive(in.clock(), workspace, id)
		if d.Result != Waiting {
			c.finish(d)
		}
	})
}

func (c *cluster) finish(d Decision) {
	record := c.calls[d.Call]
	if record == nil {
		panic("two decisions about one call")
	}
	delete(c.calls, d.Call)
	record.decision = d
	c.results = append(c.results, record)
}

// load sends calls of a workspace to random instances at a rate that may change, until the given time.
func (c *cluster) load(workspace string, rate func() float64, until time.Duration) {
	var next func()
	next = func() {
		r := rate()
		if c.now >= until {
			return
		}
		if r > 0 {
			c.call(c.nodes[c.rng.IntN(len(c.nodes))], workspace)
		}
		c.after(time.Duration(c.rng.ExpFloat64()/max(r, 1)*float64(time.Second)), next)
	}
	c.after(0, next)
}
