package pump

import (
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// offerUpload asks the target whether it takes the body of a call, and sends the call after it. Until then nothing of the call
// has been sent: without an answer the attempt ends as not sent.
func (n *Node) offerUpload(f reducer.Forward) {
	w, to := n.world, n.world.nodes[f.To.Node]
	over := false
	end := func(done reducer.ForwardDone) {
		if over {
			return
		}
		over = true
		done.Call, done.Attempt = f.Call, f.Attempt
		n.post(0, done)
	}
	n.after(callTimeout, func() { end(reducer.ForwardDone{Result: reducer.ForwardNotSent}) })
	w.scheduleAt(w.Now+LinkDelay, func() {
		if !to.Up || !w.link(n.ID, f.To.Node).isResponsive() {
			return
		}
		exchange := to.addGoroutine(&goroutine{onUpload: func(answer reducer.AnswerUpload) {
			n.after(LinkDelay, func() {
				sender := n.traffic[f.Call]
				switch {
				case over || sender == nil || sender.caller == nil || !w.link(n.ID, f.To.Node).isResponsive():
				case !answer.Accepted:
					end(reducer.ForwardDone{Result: reducer.ForwardAnswered, Outcome: reducer.OutcomeNotRun, Reason: answer.Reason, Load: answer.Load})
				default:
					over = true
					n.after(UploadTime, func() { n.forwardAfterBody(f) })
				}
			})
		}})
		to.post(0, reducer.UploadOffered{
			Exchange: exchange, ID: f.ID, Attempt: f.Attempt, Route: f.Route, Pool: f.Pool, Priority: f.Priority, Idempotent: f.Idempotent,
			Bytes: uploadBytes, TimeLeft: f.TimeLeft, TargetIncarnation: f.To.Incarnation,
		})
	})
}

// forwardAfterBody sends a call whose body is at the target, unless its caller has left.
func (n *Node) forwardAfterBody(f reducer.Forward) {
	if sender := n.traffic[f.Call]; sender != nil && sender.caller != nil {
		f.TimeLeft -= UploadTime
		n.forward(f)
	}
}

// answerUpload passes on whether a node takes the body of a call.
func (n *Node) answerUpload(e reducer.AnswerUpload) {
	if g := n.traffic[e.Exchange]; g != nil {
		g.onUpload(e)
		delete(n.traffic, e.Exchange)
	}
}
