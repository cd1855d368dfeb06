// Package target serves the calls that peers forward to this node: one goroutine per call does its I/O
// and follows the effects that the reducer sends to its mailbox.
package target

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Events takes events for the control thread.
type Events interface {
	Post(input reducer.Input) bool
	Done() <-chan struct{}
}

// Handler implements peer.Handler.
type Handler struct {
	Events    Events
	Mailboxes *traffic.Mailboxes
	Answers   *traffic.Answers
	Starter   backend.Starter
	Tracer    *telemetry.Tracer
	Logger    log.Logger
	Lines     *telemetry.LineLimit // bounds the lines about calls; nil writes none
}

// Post hands an event to the control thread.
func (h *Handler) Post(input reducer.Input) bool { return h.Events.Post(input) }

// Forward serves a forwarded call until it has an outcome. When the control thread has ended the
// outcome is unknown.
func (h *Handler) Forward(arrived func(reducer.Handle) reducer.ForwardArrived, request *traffic.Request, gone <-chan struct{}) (reducer.AnswerForward, *traffic.Response) {
	box := h.Mailboxes.Open()
	defer box.Close()
	in := arrived(box.Handle)
	ctx, span := h.Tracer.StartServerSpan(context.Background(), telemetry.SpanTarget, request.Header)
	defer span.End()
	span.SetCall(in.ID)
	c := &call{handler: h, box: box, request: request, ctx: ctx, began: time.Now()}
	h.Events.Post(in)
	answer := c.run(gone)
	span.SetOutcome(answer.Outcome)
	h.log(in, answer, time.Since(c.began))
	return answer, c.answered(answer)
}

// log writes what became of a forwarded call, with the load that decided it.
func (h *Handler) log(in reducer.ForwardArrived, answer reducer.AnswerForward, took time.Duration) {
	served := answer.Outcome == reducer.OutcomeDone
	if !h.Lines.Allow(time.Now(), served) {
		return
	}
	logger := level.Info(h.Logger)
	if served {
		logger = level.Debug(h.Logger)
	}
	logger.Log("msg", "forwarded call answered", "request", in.RequestID, "call", in.ID, "attempt", in.Attempt,
		"route", in.Route, "priority", in.Priority, "outcome", answer.Outcome, "reason", answer.Reason, "status", answer.Status,
		"time_left", in.TimeLeft, "elapsed", took, "wait", answer.Load.Waits[in.Priority], "running", answer.Load.Running,
		"queued", answer.Load.Queued, "slots", answer.Load.Slots)
}

// Settle answers a question about a call's outcome.
func (h *Handler) Settle(arrived func(reducer.Handle) reducer.SettleArrived) (reducer.AnswerSettle, *traffic.Response) {
	box := h.Mailboxes.Open()
	defer box.Close()
	h.Events.Post(arrived(box.Handle))
	select {
	case effect := <-box.Effects:
		answer := effect.(reducer.AnswerSettle) // the only effect for such an exchange
		if answer.Outcome != reducer.OutcomeDone {
			return answer, nil
		}
		return answer, h.Answers.Get(answer.ResponseOf)
	case <-h.Events.Done():
		return reducer.AnswerSettle{Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonLeaving}, nil
	}
}

// HandOver keeps the responses of records that a peer hands over, and returns whether the records were
// taken.
func (h *Handler) HandOver(records []reducer.KeyRecord, responses []*traffic.Response) bool {
	box := h.Mailboxes.Open()
	defer box.Close()
	for i, response := range responses {
		if response != nil {
			records[i].Call = h.Mailboxes.Handle()
			h.Answers.Put(records[i].Call, response)
		}
	}
	h.Events.Post(reducer.RecordsArrived{Exchange: box.Handle, Records: records})
	select {
	case effect := <-box.Effects:
		if effect.(reducer.AcceptRecords).Accepted { // the only effect for such an exchange
			return true
		}
	case <-h.Events.Done():
	}
	for _, r := range records {
		h.Answers.Drop(r.Call)
	}
	return false
}

// call is one forwarded call.
type call struct {
	handler  *Handler
	box      *traffic.Mailbox
	request  *traffic.Request
	response *traffic.Response
	abort    context.CancelFunc
	ctx      context.Context // carries the trace; ends with nothing
	began    time.Time
}

// run follows the effects until the call has an answer. The reducer is told when the connection ends on
// which the answer would go.
func (c *call) run(gone <-chan struct{}) reducer.AnswerForward {
	for {
		select {
		case effect := <-c.box.Effects:
			if answer, ok := c.follow(effect); ok {
				return answer
			}
		case <-gone:
			gone = nil
			c.handler.Events.Post(reducer.ForwarderGone{Call: c.box.Handle})
		case <-c.handler.Events.Done():
			return c.lastAnswer()
		}
	}
}

// lastAnswer returns the answer that is already in the mailbox when the control thread has ended, or an
// unknown outcome.
func (c *call) lastAnswer() reducer.AnswerForward {
	for {
		select {
		case effect := <-c.box.Effects:
			if answer, ok := effect.(reducer.AnswerForward); ok {
				return answer
			}
		default:
			return reducer.AnswerForward{Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonLeaving}
		}
	}
}

// follow carries out one effect. It returns the answer and true with the last one.
func (c *call) follow(effect reducer.CallEffect) (reducer.AnswerForward, bool) {
	switch effect := effect.(type) {
	case reducer.StartBackendRequest:
		c.abort = c.handler.Starter.Start(c.ctx, effect, c.request, c.began, &c.response)
	case reducer.AbortBackendRequest:
		c.abort()
	case reducer.AnswerForward:
		return effect, true
	default:
		panic("target: effect is not for a forwarded call")
	}
	return reducer.AnswerForward{}, false
}

// answered returns the response that belongs to an answer, or nil.
func (c *call) answered(answer reducer.AnswerForward) *traffic.Response {
	switch {
	case answer.Outcome != reducer.OutcomeDone:
		return nil
	case answer.ResponseOf == c.box.Handle:
		return c.response
	default:
		return c.handler.Answers.Get(answer.ResponseOf)
	}
}
