package pump

import (
	"cmp"
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

// perform carries out an effect. It panics on an unknown effect, so that a new one is not ignored in tests.
func (n *Node) perform(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.ReadBody:
		read := reducer.BodyRead{Call: e.Call, Result: reducer.BodyComplete}
		if g := n.traffic[e.Call]; g != nil && g.caller != nil {
			read.Bytes = g.caller.arrived.BodyBytes
		}
		n.post(time.Millisecond, read)
	case reducer.FailCall:
		n.answerCaller(e.Call, invariant.Answer{Outcome: e.Outcome, Reason: e.Reason})
	case reducer.PostponeCall:
		n.repeatPostponed(e.Call)
	case reducer.Deliver:
		n.deliver(e)
	case reducer.Forward:
		if e.BodyAhead {
			n.offerUpload(e)
		} else {
			n.forward(e)
		}
	case reducer.AnswerUpload:
		n.answerUpload(e)
	case reducer.Probe:
		n.probe(e)
	case reducer.Settle:
		n.settle(e)
	case reducer.Cancel:
		n.cancel(e)
	case reducer.StartBackendRequest:
		n.startBackendRequest(e)
	case reducer.AbortBackendRequest:
		if g := n.traffic[e.Call]; g != nil {
			n.endBackendRequest(e.Call, g, reducer.BackendAborted, 0)
		}
	case reducer.AnswerResponseGrowth:
		n.answerGrowth(e)
	case reducer.AnswerForward:
		n.answerForward(e)
	case reducer.AnswerSettle:
		n.answerSettle(e)
	case reducer.HandOver:
		n.handOver(e)
	case reducer.AcceptRecords:
		if g := n.traffic[e.Exchange]; g != nil {
			g.onAccepted(e.Accepted)
			delete(n.traffic, e.Exchange)
		}
	case reducer.DropResponse:
		delete(n.keptResponses, e.Call)
	case reducer.CheckTables:
		n.post(CheckDelay, runCheck(e))
	case reducer.Publish:
		n.world.History.Activations = append(n.world.History.Activations, invariant.Activation{
			Node: n.ID, Incarnation: n.incarnation, Snapshot: e.Snapshot, At: n.world.Now,
		})
	case reducer.Send:
		n.send(e)
	case reducer.WakeAt:
		n.wakeAt(e.At)
	case reducer.CloseListener:
		n.listenerClosed = true
	case reducer.StopProcess:
		n.stopping = true
		n.endWhenIdle()
	case reducer.AcknowledgeBackend:
		if g := n.traffic[e.Exchange]; g != nil {
			g.onAcknowledged(!e.Refused)
			delete(n.traffic, e.Exchange)
		}
	case reducer.ConfigureBackend, reducer.CallFinished, reducer.CallQueued, reducer.Log, reducer.AnswerStatus, reducer.QuotaStats, reducer.RolloutObserved:
		// These effects are not visible to other nodes or callers.
	default:
		if !n.world.Store.perform(n, effect) {
			panic(fmt.Sprintf("pump: effect %T is not handled", effect))
		}
	}
}

// wakeAt sets the timer of the control thread to a time since the start of the node. It replaces the previous timer.
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

// repeatPostponed lets a pipelined call arrive again, as if the request ahead of it had been answered meanwhile.
func (n *Node) repeatPostponed(call reducer.Handle) {
	g := n.traffic[call]
	if g == nil || g.caller == nil {
		return
	}
	arrived := g.caller.arrived
	arrived.Pipelined = false
	n.post(PostponeDelay, arrived)
}

// answerCaller records the answer to a caller and ends its request.
func (n *Node) answerCaller(call reducer.Handle, answer invariant.Answer) {
	g := n.traffic[call]
	if g == nil || g.caller == nil {
		return
	}
	answer.Request, answer.At = g.request, n.world.Now
	if answer.Outcome != reducer.OutcomeDone {
		answer.Complete = true
	}
	n.world.History.Answers = append(n.world.History.Answers, answer)
	delete(n.world.calls, g.request.ID)
	g.caller = nil
	if !g.running {
		delete(n.traffic, call)
	}
	n.endWhenIdle()
}

// endWhenIdle ends a process in graceful shutdown once all its callers have their answers, and records the backend
// requests that still run as aborted.
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
			n.world.History.AbortedByStop = append(n.world.History.AbortedByStop, n.traffic[handle].request.ID)
		}
	}
	n.Up = false
}

// deliver answers a caller with the response of an attempt, or with one kept at this node.
func (n *Node) deliver(e reducer.Deliver) {
	g := n.traffic[e.Call]
	if g == nil {
		return
	}
	response, ok := g.responses[e.Attempt]
	if e.ResponseOf != 0 {
		response, ok = n.responseOf(e.ResponseOf, e.Call, g)
	}
	n.answerCaller(e.Call, invariant.Answer{Outcome: reducer.OutcomeDone, Response: response, Complete: ok})
}

// responseOf returns the response of a call that ran at this node, and whether there is one: the response of g itself,
// or one kept for another call.
func (n *Node) responseOf(call, own reducer.Handle, g *goroutine) (invariant.Request, bool) {
	if call == own {
		return g.localResponse, g.localResponse.ID != ""
	}
	response, ok := n.keptResponses[call]
	return response, ok
}

// startBackendRequest records an execution and ends it after the service time of the backend server.
func (n *Node) startBackendRequest(e reducer.StartBackendRequest) {
	g := n.traffic[e.Call]
	if g == nil {
		panic("pump: started call has no goroutine")
	}
	if !n.Backend.Up {
		n.post(LinkDelay, reducer.BackendRequestDone{Call: e.Call, Result: reducer.BackendNotSent})
		return
	}
	if n.Backend.Shedding {
		n.post(LinkDelay, reducer.BackendRequestDone{Call: e.Call, Result: reducer.BackendShed, Elapsed: LinkDelay})
		return
	}
	g.execution = len(n.world.History.Executions)
	n.world.History.Executions = append(n.world.History.Executions, invariant.Execution{
		Request: g.request, Node: n.ID, At: n.world.Now, From: cmp.Or(g.forwarder, n.ID), Service: n.Service, Version: n.Backend.Version,
	})
	if n.world.OnExecution != nil {
		n.world.OnExecution(n)
	}
	g.running = true
	n.Backend.Running++
	n.Backend.MaxRunning = max(n.Backend.MaxRunning, n.Backend.Running)
	startedAt := n.world.Now
	g.bad = n.Backend.isBad()
	n.after(n.Backend.serviceTime(), func() {
		if !g.running {
			return
		}
		if n.Backend.Endless {
			n.growResponse(e.Call, g, 2*reducer.FreeResponseBytes)
			return
		}
		if n.Backend.Malformed {
			n.world.History.Disrupted = true // the backend server spoils the response, not the node
			n.endBackendRequest(e.Call, g, reducer.BackendMalformed, n.world.Now-startedAt)
			return
		}
		g.localResponse = g.request
		if e.KeepResponse {
			n.keptResponses[e.Call] = g.request
		}
		if e.Streaming {
			g.streaming = true
			n.post(0, reducer.BackendRequestDone{Call: e.Call, Result: reducer.BackendAnswered, Status: 200, Streaming: true, Elapsed: n.world.Now - startedAt})
			n.after(StreamTime, func() { n.endBackendRequest(e.Call, g, reducer.BackendAnswered, 0) })
			return
		}
		n.endBackendRequest(e.Call, g, reducer.BackendAnswered, n.world.Now-startedAt)
	})
}

func (n *Node) endBackendRequest(call reducer.Handle, g *goroutine, result reducer.BackendResult, elapsed time.Duration) {
	if !g.running {
		return
	}
	g.running = false
	n.Backend.Running--
	if g.streaming {
		n.post(0, reducer.BackendStreamEnded{Call: call})
		return
	}
	status := 200
	if g.bad && n.Backend.FailShare > 0 && n.world.rng.Float64() < n.Backend.FailShare {
		status = 500
	}
	if status == 500 || g.bad && n.Backend.SlowBy > 1 {
		n.world.History.Executions[g.execution].BadAt = n.world.Now
	}
	n.post(0, reducer.BackendRequestDone{Call: call, Result: result, Status: status, Bytes: 1, KeptBytes: 1, Elapsed: elapsed})
}

func (n *Node) answerForward(e reducer.AnswerForward) {
	g := n.traffic[e.Call]
	if g == nil || g.onAnswer == nil {
		return
	}
	response, _ := n.responseOf(e.ResponseOf, e.Call, g)
	g.onAnswer(e, response)
	g.onAnswer = nil
	if !g.running {
		delete(n.traffic, e.Call)
	}
}

func (n *Node) answerSettle(e reducer.AnswerSettle) {
	g := n.traffic[e.Exchange]
	if g == nil || g.onSettled == nil {
		return
	}
	g.onSettled(e, n.keptResponses[e.ResponseOf])
	delete(n.traffic, e.Exchange)
}
