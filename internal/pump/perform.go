package pump

import (
	"fmt"
	"sort"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

func sortPending(keys []pendingKey) {
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].call != keys[j].call {
			return keys[i].call < keys[j].call
		}
		return keys[i].attempt < keys[j].attempt
	})
}

// perform carries out an effect. An effect that it does not know is a fault of the test.
func (n *Node) perform(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.ReadBody:
		n.post(time.Millisecond, reducer.BodyRead{Call: e.Call, Result: reducer.BodyComplete})
	case reducer.FailCall:
		n.finish(e.Call, invariant.Answer{Outcome: e.Outcome, Reason: e.Reason})
	case reducer.Deliver:
		n.deliver(e)
	case reducer.Forward:
		n.forward(e)
	case reducer.Probe:
		n.probe(e)
	case reducer.Settle:
		n.settle(e)
	case reducer.Cancel:
		n.cancel(e)
	case reducer.StartBackendRequest:
		n.startBackend(e)
	case reducer.AbortBackendRequest:
		if g := n.traffic[e.Call]; g != nil {
			n.endBackend(e.Call, g, reducer.BackendAborted, 0)
		}
	case reducer.AnswerForward:
		n.answerForward(e)
	case reducer.AnswerSettle:
		n.answerSettle(e)
	case reducer.HandOver:
		n.handOver(e)
	case reducer.AcceptRecords:
		if g := n.traffic[e.Exchange]; g != nil {
			g.accepted(e.Accepted)
			delete(n.traffic, e.Exchange)
		}
	case reducer.DropResponse:
		delete(n.kept, e.Call)
	case reducer.CheckTables:
		n.post(CheckDelay, checked(e))
	case reducer.Publish:
		n.world.History.Activations = append(n.world.History.Activations, invariant.Activation{
			Node: n.ID, Incarnation: n.incarnation, Snapshot: e.Snapshot, At: n.world.Now,
		})
	case reducer.Send:
		n.send(e)
	case reducer.WakeAt:
		n.wakeAt(e.At)
	case reducer.CloseListener:
		n.closed = true
	case reducer.StopProcess:
		n.stopping = true
		n.endWhenIdle()
	case reducer.ConfigureBackend, reducer.CallFinished, reducer.CallQueued, reducer.Log, reducer.AnswerStatus,
		reducer.AcknowledgeBackend:
		// Nothing that other nodes or callers see.
	default:
		if !n.world.Store.perform(n, effect) {
			panic(fmt.Sprintf("pump: effect %T has no rule", effect))
		}
	}
}

// wakeAt replaces the timer of the control thread.
func (n *Node) wakeAt(at time.Duration) {
	n.wakeSeq++
	seq := n.wakeSeq
	delay := max(at-(n.world.Now-n.startedAt), 0)
	n.after(delay, func() {
		if n.wakeSeq == seq {
			n.reduce(reducer.TimerDue{})
		}
	})
}

// finish gives a caller its answer.
func (n *Node) finish(call reducer.Handle, answer invariant.Answer) {
	g := n.traffic[call]
	if g == nil || g.caller == nil {
		return
	}
	answer.Request, answer.At = g.request, n.world.Now
	if answer.Outcome != reducer.OutcomeDone {
		answer.Whole = true
	}
	n.world.History.Answers = append(n.world.History.Answers, answer)
	delete(n.world.calls, g.request.ID)
	g.caller = nil
	if !g.running {
		delete(n.traffic, call)
	}
	n.endWhenIdle()
}

// endWhenIdle ends a process that has stopped in good order once its callers have their answers.
func (n *Node) endWhenIdle() {
	if !n.stopping {
		return
	}
	for _, call := range n.world.calls {
		if call.node == n {
			return
		}
	}
	for _, handle := range n.trafficHandles() {
		if n.traffic[handle].running {
			n.world.History.Aborted = append(n.world.History.Aborted, n.traffic[handle].request.ID)
		}
	}
	n.Up = false
}

func (n *Node) deliver(e reducer.Deliver) {
	g := n.traffic[e.Call]
	if g == nil {
		return
	}
	response, ok := g.responses[e.Attempt]
	if e.ResponseOf != 0 {
		response, ok = n.responseOf(e.ResponseOf, e.Call, g)
	}
	n.finish(e.Call, invariant.Answer{Outcome: reducer.OutcomeDone, Response: response, Whole: ok})
}

// responseOf returns the response of a call that ran at this node: the goroutine's own, or one kept.
func (n *Node) responseOf(call, own reducer.Handle, g *goroutine) (invariant.Request, bool) {
	if call == own {
		return g.local, g.local.ID != ""
	}
	response, ok := n.kept[call]
	return response, ok
}

func (n *Node) startBackend(e reducer.StartBackendRequest) {
	g := n.traffic[e.Call]
	if g == nil {
		panic("pump: call to start has no goroutine")
	}
	if !n.Backend.Up {
		n.post(LinkDelay, reducer.BackendRequestDone{Call: e.Call, Result: reducer.BackendNotSent})
		return
	}
	if n.Backend.Shed {
		n.post(LinkDelay, reducer.BackendRequestDone{Call: e.Call, Result: reducer.BackendShed, Elapsed: LinkDelay})
		return
	}
	n.world.History.Executions = append(n.world.History.Executions, invariant.Execution{
		Request: g.request, Node: n.ID, At: n.world.Now,
	})
	g.running = true
	n.Backend.Running++
	n.Backend.MostRunning = max(n.Backend.MostRunning, n.Backend.Running)
	began := n.world.Now
	n.after(n.Backend.ServiceTime, func() {
		if !g.running {
			return
		}
		g.local = g.request
		if e.KeepResponse {
			n.kept[e.Call] = g.request
		}
		n.endBackend(e.Call, g, reducer.BackendAnswered, n.world.Now-began)
	})
}

func (n *Node) endBackend(call reducer.Handle, g *goroutine, result reducer.BackendResult, elapsed time.Duration) {
	if !g.running {
		return
	}
	g.running = false
	n.Backend.Running--
	n.post(0, reducer.BackendRequestDone{Call: call, Result: result, Status: 200, Bytes: 1, KeptBytes: 1, Elapsed: elapsed})
}

func (n *Node) answerForward(e reducer.AnswerForward) {
	g := n.traffic[e.Call]
	if g == nil || g.reply == nil {
		return
	}
	response, _ := n.responseOf(e.ResponseOf, e.Call, g)
	g.reply(e, response)
	g.reply = nil
	if !g.running {
		delete(n.traffic, e.Call)
	}
}

func (n *Node) answerSettle(e reducer.AnswerSettle) {
	g := n.traffic[e.Exchange]
	if g == nil || g.settled == nil {
		return
	}
	g.settled(e, n.kept[e.ResponseOf])
	delete(n.traffic, e.Exchange)
}
