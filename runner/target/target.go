// Package target serves the calls that peers forward to this node. One goroutine per call does its I/O and performs
// the effects that the reducer sends to its mailbox.
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

// ControlThread accepts events.
type ControlThread interface {
	// Post passes an event. It returns false if the control thread has ended.
	Post(input reducer.Input) bool
	// Done is closed when the control thread has ended.
	Done() <-chan struct{}
}

// Handler implements peer.Handler: it serves the requests of peers.
type Handler struct {
	Control    ControlThread
	Mailboxes  *traffic.Mailboxes
	Responses  *traffic.ResponseStore
	Starter    backend.Starter
	Tracer     *telemetry.Tracer
	Logger     log.Logger
	LogLimiter *telemetry.LogLimiter // limits the log lines about calls; nil suppresses them
	LogServed  bool                  // write lines about calls that were served
}

// Post passes an event to the control thread. It returns false if the control thread has ended.
func (h *Handler) Post(input reducer.Input) bool { return h.Control.Post(input) }

// Forward implements peer.Handler: it serves a forwarded call until it has an outcome. The outcome is unknown if the
// control thread ends without deciding it.
func (h *Handler) Forward(newInput func(reducer.Handle) reducer.ForwardArrived, request *traffic.Request, disconnected <-chan struct{}) (reducer.AnswerForward, *traffic.Response) {
	mailbox := h.Mailboxes.Open()
	defer mailbox.Close()
	call := newInput(mailbox.Handle)
	ctx, span := h.Tracer.StartServerSpan(context.Background(), telemetry.SpanTarget, request.Header)
	defer span.End()
	span.SetCall(call.ID)
	c := &forwardedCall{handler: h, mailbox: mailbox, request: request, ctx: ctx, arrivedAt: time.Now()}
	h.Control.Post(call)
	answer := c.run(disconnected)
	span.SetOutcome(answer.Outcome)
	h.logAnswer(call, answer, time.Since(c.arrivedAt))
	return answer, c.responseFor(answer)
}

// logAnswer logs the outcome of a forwarded call and the load of this node at the decision.
func (h *Handler) logAnswer(call reducer.ForwardArrived, answer reducer.AnswerForward, took time.Duration) {
	served := answer.Outcome == reducer.OutcomeDone
	if served && !h.LogServed || !h.LogLimiter.Allow(time.Now(), served) {
		return
	}
	logger := level.Info(h.Logger)
	if served {
		logger = level.Debug(h.Logger)
	}
	logger.Log("msg", "forwarded call answered", "request", call.RequestID, "call", call.ID, "attempt", call.Attempt,
		"route", call.Route, "priority", call.Priority, "outcome", answer.Outcome, "reason", answer.Reason, "status", answer.Status,
		"time_left", call.TimeLeft, "elapsed", took, "wait", answer.Load.Waits[call.Priority], "running", answer.Load.Running,
		"queued", answer.Load.Queued, "slots", answer.Load.Slots)
}

// Settle answers a peer that asks for the outcome of a call. The response is nil unless the outcome is done.
func (h *Handler) Settle(newInput func(reducer.Handle) reducer.SettleArrived) (reducer.AnswerSettle, *traffic.Response) {
	mailbox := h.Mailboxes.Open()
	defer mailbox.Close()
	h.Control.Post(newInput(mailbox.Handle))
	select {
	case effect := <-mailbox.Effects:
		answer := effect.(reducer.AnswerSettle) // the only effect of this exchange
		if answer.Outcome != reducer.OutcomeDone {
			return answer, nil
		}
		return answer, h.Responses.Get(answer.ResponseOf)
	case <-h.Control.Done():
		return reducer.AnswerSettle{Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonLeaving}, nil
	}
}

// OfferUpload implements peer.Handler: it asks the reducer whether the body of a call is sent to this node.
func (h *Handler) OfferUpload(newInput func(reducer.Handle) reducer.UploadOffered) reducer.AnswerUpload {
	mailbox := h.Mailboxes.Open()
	defer mailbox.Close()
	h.Control.Post(newInput(mailbox.Handle))
	select {
	case effect := <-mailbox.Effects:
		return effect.(reducer.AnswerUpload) // the only effect of this exchange
	case <-h.Control.Done():
		return reducer.AnswerUpload{Reason: reducer.ReasonLeaving}
	}
}

// HandOver stores the responses of the records that a peer hands over, and reports whether the reducer accepted the
// records. If it did not, the responses are dropped.
func (h *Handler) HandOver(records []reducer.KeyRecord, responses []*traffic.Response) bool {
	mailbox := h.Mailboxes.Open()
	defer mailbox.Close()
	for i, response := range responses {
		if response != nil {
			records[i].Call = h.Mailboxes.NewHandle()
			h.Responses.Put(records[i].Call, response)
		}
	}
	h.Control.Post(reducer.RecordsArrived{Exchange: mailbox.Handle, Records: records})
	select {
	case effect := <-mailbox.Effects:
		if effect.(reducer.AcceptRecords).Accepted { // the only effect of this exchange
			return true
		}
	case <-h.Control.Done():
	}
	for _, r := range records {
		h.Responses.Drop(r.Call)
	}
	return false
}

// forwardedCall is the state of the goroutine that serves one forwarded call.
type forwardedCall struct {
	handler      *Handler
	mailbox      *traffic.Mailbox
	request      *traffic.Request
	response     *traffic.Response
	abortBackend context.CancelFunc
	ctx          context.Context // carries the trace; never cancelled
	arrivedAt    time.Time
}

// run performs the effects of the call until it has an answer. It reports to the reducer if the connection on which
// the answer would be sent ends first.
func (c *forwardedCall) run(disconnected <-chan struct{}) reducer.AnswerForward {
	for {
		select {
		case effect := <-c.mailbox.Effects:
			if answer, ok := c.perform(effect); ok {
				return answer
			}
		case <-disconnected:
			disconnected = nil
			c.handler.Control.Post(reducer.ForwarderGone{Call: c.mailbox.Handle})
		case <-c.handler.Control.Done():
			return c.answerWithoutControl()
		}
	}
}

// answerWithoutControl returns the answer after the control thread has ended: the one that is already in the mailbox,
// or an unknown outcome.
func (c *forwardedCall) answerWithoutControl() reducer.AnswerForward {
	for {
		select {
		case effect := <-c.mailbox.Effects:
			if answer, ok := effect.(reducer.AnswerForward); ok {
				return answer
			}
		default:
			return reducer.AnswerForward{Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonLeaving}
		}
	}
}

// perform carries out one effect. For the last effect it returns the answer and true.
func (c *forwardedCall) perform(effect reducer.CallEffect) (reducer.AnswerForward, bool) {
	switch effect := effect.(type) {
	case reducer.StartBackendRequest:
		c.abortBackend = c.handler.Starter.Start(c.ctx, effect, c.request, c.arrivedAt, &c.response)
	case reducer.AbortBackendRequest:
		c.abortBackend()
	case reducer.AnswerForward:
		return effect, true
	default:
		panic("target: effect is not for a forwarded call")
	}
	return reducer.AnswerForward{}, false
}

// responseFor returns the response that an answer refers to, or nil if it refers to none.
func (c *forwardedCall) responseFor(answer reducer.AnswerForward) *traffic.Response {
	switch {
	case answer.Outcome != reducer.OutcomeDone:
		return nil
	case answer.ResponseOf == c.mailbox.Handle:
		return c.response
	default:
		return c.handler.Responses.Get(answer.ResponseOf)
	}
}
