package pump

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// linkKey identifies the link from one node to another.
type linkKey struct{ from, to reducer.NodeID }

// link is the network from one node to another and the connection that carries forwarded calls over it.
type link struct {
	cut         bool                  // the network drops all messages
	closeOnHeal bool                  // a process at one end ended while the link was cut
	epoch       int                   // number of the current connection
	silentUpTo  int                   // connections up to this epoch carry nothing
	extraDelay  time.Duration         // added to LinkDelay for forwarded calls
	pending     map[pendingKey]func() // for each unanswered attempt, the function that reports its loss
}

type pendingKey struct {
	call    reducer.Handle
	attempt int
}

// stalledForward is a forwarded call that a cut link or a silent connection holds up.
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

// isResponsive reports whether the current connection of a link carries messages.
func (l *link) isResponsive() bool { return !l.cut && l.epoch > l.silentUpTo }

// failConnection ends the current connection and reports its unanswered attempts as lost, in a fixed order.
func (l *link) failConnection() {
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

// forward sends a call to its target and returns the answer to the sender.
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
	epoch, processSeq := l.epoch, n.processSeq
	l.pending[key] = func() {
		if n.processSeq == processSeq {
			report(reducer.ForwardLost)
		}
	}
	g := n.traffic[f.Call]
	w.scheduleAt(w.Now+LinkDelay+l.extraDelay, func() {
		if epoch <= l.silentUpTo || l.cut {
			w.stalled = append(w.stalled, stalledForward{deliver: func() { to.receiveForward(n, l, epoch, key, f, g) }})
			return
		}
		to.receiveForward(n, l, epoch, key, f, g)
	})
}

// receiveForward accepts a forwarded call at its target.
func (n *Node) receiveForward(from *Node, l *link, epoch int, key pendingKey, f reducer.Forward, sender *goroutine) {
	if !n.Up {
		return
	}
	g := &goroutine{request: sender.request, forwarder: from.ID}
	handle := n.addGoroutine(g)
	fromProcessSeq := from.processSeq
	g.onAnswer = func(answer reducer.AnswerForward, response invariant.Request) {
		n.world.scheduleAt(n.world.Now+LinkDelay, func() {
			if l.epoch != epoch || !l.isResponsive() || from.processSeq != fromProcessSeq || !from.Up {
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
		TargetIncarnation: f.To.Incarnation, Limits: f.Limits, Streaming: f.Streaming, Workspace: f.Workspace, Nested: f.Nested,
	})
}

// probe checks a connection and ends it when there is no answer within the timeout of the probe.
func (n *Node) probe(p reducer.Probe) {
	w := n.world
	l := w.link(n.ID, p.To.Node)
	to := w.nodes[p.To.Node]
	if l.isResponsive() && to.Up && !to.Paused {
		n.post(2*LinkDelay, reducer.ProbeDone{Call: p.Call, Attempt: p.Attempt})
		return
	}
	epoch := l.epoch
	n.after(p.Timeout, func() {
		if l.epoch == epoch {
			l.failConnection()
		}
	})
}

// settle asks the target for the outcome of an attempt over a new connection.
func (n *Node) settle(s reducer.Settle) {
	w := n.world
	to := w.nodes[s.To.Node]
	sender := n.traffic[s.Call]
	processSeq := n.processSeq
	done := false
	fail := func() {
		if !done && n.processSeq == processSeq {
			done = true
			n.post(0, reducer.SettleDone{Call: s.Call, Attempt: s.Attempt})
		}
	}
	n.after(callTimeout, fail)
	if !to.Up && !w.link(n.ID, to.ID).cut {
		n.after(LinkDelay, fail)
		return
	}
	w.scheduleAt(w.Now+LinkDelay, func() {
		if w.link(n.ID, to.ID).cut || !to.Up {
			return
		}
		g := &goroutine{}
		handle := to.addGoroutine(g)
		g.onSettled = func(answer reducer.AnswerSettle, response invariant.Request) {
			w.scheduleAt(w.Now+LinkDelay, func() {
				if done || n.processSeq != processSeq || !n.Up || w.link(n.ID, to.ID).cut {
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

// send sends a control message to a peer.
func (n *Node) send(s reducer.Send) {
	w := n.world
	to := w.nodeByAddress(s.To.Address)
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
	w.scheduleAt(w.Now+LinkDelay, func() { to.post(0, reducer.PeerMessage{From: from, Message: s.Message}) })
}

func (w *World) nodeByAddress(addr string) *Node {
	for _, n := range w.nodes {
		if address(n.ID) == addr {
			return n
		}
	}
	return nil
}

// cancel sends a cancellation to the target of a call.
func (n *Node) cancel(c reducer.Cancel) {
	w := n.world
	to := w.nodes[c.To.Node]
	if to == nil || !to.Up || w.link(n.ID, to.ID).cut {
		return
	}
	w.scheduleAt(w.Now+LinkDelay, func() { to.post(0, reducer.CancelArrived{ID: c.ID, Attempt: c.Attempt}) })
}

// handOver sends key records to a peer, with the responses kept for them.
func (n *Node) handOver(h reducer.HandOver) {
	w := n.world
	to := w.nodes[h.To.Node]
	if !to.Up || w.link(n.ID, to.ID).cut {
		n.post(callTimeout, reducer.HandOverDone{To: h.To})
		return
	}
	responses := make([]invariant.Request, len(h.Records))
	for i, r := range h.Records {
		responses[i] = n.keptResponses[r.Call]
	}
	w.scheduleAt(w.Now+LinkDelay, func() {
		if !to.Up {
			return
		}
		records := append([]reducer.KeyRecord(nil), h.Records...)
		for i := range records {
			to.lastHandle++
			records[i].Call = to.lastHandle + reducer.Handle(to.processSeq)<<32
			to.keptResponses[records[i].Call] = responses[i]
		}
		exchange := to.addGoroutine(&goroutine{onAccepted: func(ok bool) {
			if !w.link(n.ID, to.ID).cut {
				n.post(LinkDelay, reducer.HandOverDone{To: h.To, Accepted: ok})
			}
		}})
		to.post(0, reducer.RecordsArrived{Exchange: exchange, Records: records})
	})
}
