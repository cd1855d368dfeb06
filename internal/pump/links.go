package pump

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// linkKey names the connections from one node to another.
type linkKey struct{ from, to reducer.NodeID }

// link is the connection from one node to another for calls, and the network below it.
type link struct {
	cut     bool // the network drops everything
	broken  bool // a process at one end has ended while the link was cut
	epoch   int  // raised when a connection is replaced
	silent  int  // connections up to this epoch get no answer any more
	delayed time.Duration
	pending map[pendingKey]func() // attempts without an answer: what to do when the connection fails
}

type pendingKey struct {
	call    reducer.Handle
	attempt int
}

// stalledForward is a call that was sent on a connection which the sender has given up.
type stalledForward struct {
	deliver func()
}

func (w *World) link(from, to reducer.NodeID) *link {
	key := linkKey{from, to}
	l, ok := w.links[key]
	if !ok {
		l = &link{epoch: 1, pending: map[pendingKey]func(){}}
		w.links[key] = l
	}
	return l
}

// works reports whether the present connection of a link carries messages.
func (l *link) works() bool { return !l.cut && l.epoch > l.silent }

// fail ends the connection: attempts without an answer are lost, in a fixed order.
func (l *link) fail() {
	l.epoch++
	pending := l.pending
	l.pending = map[pendingKey]func(){}
	for _, key := range sortedPending(pending) {
		pending[key]()
	}
}

func sortedPending(pending map[pendingKey]func()) []pendingKey {
	keys := make([]pendingKey, 0, len(pending))
	for key := range pending {
		keys = append(keys, key)
	}
	sortPending(keys)
	return keys
}

// forward carries a call to the target and its answer back.
func (n *Node) forward(f reducer.Forward) {
	w := n.world
	to := w.nodes[f.To.Node]
	l := w.link(n.ID, f.To.Node)
	key := pendingKey{f.Call, f.Attempt}
	report := func(result reducer.ForwardResult) {
		n.post(0, reducer.ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: result})
	}
	if l.cut && len(l.pending) == 0 {
		n.after(callTimeout, func() { report(reducer.ForwardNotSent) })
		return
	}
	if !to.Up && !l.cut {
		n.after(LinkDelay, func() { report(reducer.ForwardNotSent) })
		return
	}
	epoch, life := l.epoch, n.life
	l.pending[key] = func() {
		if n.life == life {
			report(reducer.ForwardLost)
		}
	}
	g := n.traffic[f.Call]
	w.at(w.Now+LinkDelay+l.delayed, func() {
		if epoch <= l.silent || l.cut {
			w.stalled = append(w.stalled, stalledForward{deliver: func() { to.arrive(n, l, epoch, key, f, g) }})
			return
		}
		to.arrive(n, l, epoch, key, f, g)
	})
}

// arrive takes a forwarded call at its target.
func (n *Node) arrive(from *Node, l *link, epoch int, key pendingKey, f reducer.Forward, sender *goroutine) {
	if !n.Up {
		return
	}
	g := &goroutine{request: sender.request, from: from.ID}
	handle := n.open(g)
	fromLife := from.life
	g.reply = func(answer reducer.AnswerForward, response invariant.Request) {
		n.world.at(n.world.Now+LinkDelay, func() {
			if l.epoch != epoch || !l.works() || from.life != fromLife || !from.Up {
				return
			}
			delete(l.pending, key)
			if answer.Outcome == reducer.OutcomeDone {
				sender.responses[f.Attempt] = response
			}
			from.post(0, reducer.ForwardDone{
				Call: f.Call, Attempt: f.Attempt, Result: reducer.ForwardAnswered,
				Outcome: answer.Outcome, Reason: answer.Reason, Status: answer.Status, Load: answer.Load,
				Took: answer.Took,
			})
		})
	}
	n.post(0, reducer.ForwardArrived{
		Call: handle, ID: f.ID, Attempt: f.Attempt, Route: f.Route, Pool: f.Pool, Priority: f.Priority,
		Idempotent: f.Idempotent, Key: f.Key, KeyRetention: f.KeyRetention, TimeLeft: f.TimeLeft, DueIn: f.DueIn,
		TargetIncarnation: f.To.Incarnation, Limits: f.Limits,
	})
}

// probe checks a connection; one that does not answer fails.
func (n *Node) probe(p reducer.Probe) {
	w := n.world
	l := w.link(n.ID, p.To.Node)
	to := w.nodes[p.To.Node]
	if l.works() && to.Up && !to.Paused {
		n.post(2*LinkDelay, reducer.ProbeDone{Call: p.Call, Attempt: p.Attempt})
		return
	}
	epoch := l.epoch
	n.after(p.Timeout, func() {
		if l.epoch == epoch {
			l.fail()
		}
	})
}

// settle asks the target for an outcome over a new connection.
func (n *Node) settle(s reducer.Settle) {
	w := n.world
	to := w.nodes[s.To.Node]
	sender := n.traffic[s.Call]
	life := n.life
	done := false
	fail := func() {
		if !done && n.life == life {
			done = true
			n.post(0, reducer.SettleDone{Call: s.Call, Attempt: s.Attempt})
		}
	}
	n.after(callTimeout, fail)
	if !to.Up && !w.link(n.ID, to.ID).cut {
		n.after(LinkDelay, fail)
		return
	}
	w.at(w.Now+LinkDelay, func() {
		if w.link(n.ID, to.ID).cut || !to.Up {
			return
		}
		g := &goroutine{}
		handle := to.open(g)
		g.settled = func(answer reducer.AnswerSettle, response invariant.Request) {
			w.at(w.Now+LinkDelay, func() {
				if done || n.life != life || !n.Up || w.link(n.ID, to.ID).cut {
					return
				}
				done = true
				if answer.Outcome == reducer.OutcomeDone && sender != nil {
					sender.responses[s.Attempt] = response
				}
				n.post(0, reducer.SettleDone{
					Call: s.Call, Attempt: s.Attempt, Answered: true, Outcome: answer.Outcome,
					Reason: answer.Reason, Status: answer.Status, Load: answer.Load,
				})
			})
		}
		to.post(0, reducer.SettleArrived{
			Exchange: handle, ID: s.ID, Attempt: s.Attempt, TakeKey: s.TakeKey, Route: s.Route, Key: s.Key,
			KeyRetention: s.KeyRetention, TargetIncarnation: s.To.Incarnation, TimeLeft: s.TimeLeft,
		})
	})
}

// send carries a control message.
func (n *Node) send(s reducer.Send) {
	w := n.world
	to := w.byAddress(s.To.Address)
	if to != nil && w.link(n.ID, to.ID).cut {
		n.post(callTimeout, reducer.PeerSendFailed{To: s.To})
		return
	}
	if to == nil || !to.Up {
		n.post(LinkDelay, reducer.PeerSendFailed{To: s.To, Refused: true})
		return
	}
	if to.Paused {
		n.post(callTimeout, reducer.PeerSendFailed{To: s.To})
	}
	from := reducer.PeerRef{Node: n.ID, Address: address(n.ID), Incarnation: n.incarnation}
	w.at(w.Now+LinkDelay, func() { to.post(0, reducer.PeerMessage{From: from, Message: s.Message}) })
}

func (w *World) byAddress(addr string) *Node {
	for _, n := range w.nodes {
		if address(n.ID) == addr {
			return n
		}
	}
	return nil
}

// cancel carries a cancellation.
func (n *Node) cancel(c reducer.Cancel) {
	w := n.world
	to := w.nodes[c.To.Node]
	if to == nil || !to.Up || w.link(n.ID, to.ID).cut {
		return
	}
	w.at(w.Now+LinkDelay, func() { to.post(0, reducer.CancelArrived{ID: c.ID}) })
}

// handOver carries records of keys, with the responses kept for them.
func (n *Node) handOver(h reducer.HandOver) {
	w := n.world
	to := w.nodes[h.To.Node]
	if !to.Up || w.link(n.ID, to.ID).cut {
		n.post(callTimeout, reducer.HandOverDone{To: h.To})
		return
	}
	responses := make([]invariant.Request, len(h.Records))
	for i, r := range h.Records {
		responses[i] = n.kept[r.Call]
	}
	w.at(w.Now+LinkDelay, func() {
		if !to.Up {
			return
		}
		records := append([]reducer.KeyRecord(nil), h.Records...)
		for i := range records {
			to.handles++
			records[i].Call = to.handles + reducer.Handle(to.life)<<32
			to.kept[records[i].Call] = responses[i]
		}
		exchange := to.open(&goroutine{accepted: func(ok bool) {
			if !w.link(n.ID, to.ID).cut {
				n.post(LinkDelay, reducer.HandOverDone{To: h.To, Accepted: ok})
			}
		}})
		to.post(0, reducer.RecordsArrived{Exchange: exchange, Records: records})
	})
}
