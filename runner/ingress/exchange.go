package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// maxResults bounds the results of attempts that wait for the exchange's goroutine. Attempts follow
// each other, and a goroutine whose result is not wanted any more must not block.
const maxResults = 16

// exchange is one caller's request and the goroutine that serves it.
type exchange struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	box       *traffic.Mailbox
	ctx       context.Context // ends with the exchange; attempts use it
	request   *traffic.Request
	results   chan result
	responses map[int]*traffic.Response // of other nodes, by attempt
	local     *traffic.Response         // of the backend server beside this node
	abort     context.CancelFunc
	reading   chan reducer.BodyRead // nil unless the body is being read
	span      telemetry.Span        // of the whole call
	decision  telemetry.Span
	waiting   time.Time // since when the exchange has waited for its next effect
}

// result is the end of an attempt, with its event for the control thread.
type result struct {
	attempt  int
	input    reducer.Input
	response *traffic.Response
}

// run follows the effects until the caller has its response.
func (e *exchange) run() {
	e.responses = map[int]*traffic.Response{}
	e.request = e.server.newRequest(e.r)
	gone := e.r.Context().Done()
	for {
		select {
		case effect := <-e.box.Effects:
			e.decision.End()
			if e.follow(effect) {
				return
			}
		case read := <-e.reading:
			e.reading = nil
			e.post(read)
		case res := <-e.results:
			if res.response != nil {
				e.responses[res.attempt] = res.response
			}
			e.post(res.input)
		case <-gone:
			gone = nil
			e.post(reducer.CallerGone{Call: e.box.Handle})
		case <-e.server.Events.Done():
			e.finishAlone()
			return
		}
	}
}

// finishAlone ends the exchange after the control thread has ended: with the decision that is already in
// the mailbox, or else with an unknown outcome.
func (e *exchange) finishAlone() {
	for {
		select {
		case effect := <-e.box.Effects:
			if e.follow(effect) {
				return
			}
		default:
			e.follow(reducer.FailCall{Call: e.box.Handle, Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonLeaving})
			return
		}
	}
}

func (e *exchange) post(input reducer.Input) {
	e.server.Events.Post(input)
	e.waiting = time.Now()
}

// follow carries out one effect and reports whether it was the last.
func (e *exchange) follow(effect reducer.CallEffect) bool {
	switch effect := effect.(type) {
	case reducer.ReadBody:
		e.startReading(effect)
	case reducer.Forward:
		e.forward(effect)
	case reducer.Probe:
		e.probe(effect)
	case reducer.Settle:
		e.settle(effect)
	case reducer.StartBackendRequest:
		e.abort = e.server.starter.Start(e.ctx, effect, e.request, e.waiting, &e.local)
	case reducer.AbortBackendRequest:
		e.abort()
	case reducer.FailCall:
		e.stopReading()
		e.span.SetCall(effect.ID)
		e.span.SetOutcome(effect.Outcome)
		e.server.writeRefusal(e.w, effect)
		return true
	case reducer.Deliver:
		e.span.SetCall(effect.ID)
		e.span.SetOutcome(reducer.OutcomeDone)
		e.deliver(effect)
		return true
	default:
		panic("ingress: effect is not for a caller's exchange")
	}
	return false
}

// startReading reads the body in a goroutine of its own, so that a slow caller gets its refusal when its
// time is up.
func (e *exchange) startReading(effect reducer.ReadBody) {
	reading := make(chan reducer.BodyRead, 1)
	e.reading = reading
	go func() { reading <- e.readBody(effect) }()
}

// stopReading ends the reading of a body that is not needed any more. The connection cannot be used for
// another request then.
func (e *exchange) stopReading() {
	if e.reading == nil {
		return
	}
	e.w.Header().Set("Connection", "close")
	// An error means that the connection is gone, which ends the reading too.
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Unix(1, 0))
	<-e.reading
}

func (e *exchange) readBody(effect reducer.ReadBody) reducer.BodyRead {
	in := reducer.BodyRead{Call: effect.Call, Result: reducer.BodyComplete}
	body, err := io.ReadAll(http.MaxBytesReader(e.w, e.r.Body, effect.Limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		in.Result = reducer.BodyTooLarge
	case err != nil:
		in.Result = reducer.BodyIncomplete
	}
	e.request.Body = body // read only after an effect that follows this event
	in.Bytes = int64(len(body))
	return in
}

func (e *exchange) forward(effect reducer.Forward) {
	e.server.Workers.Go(func() {
		request, span := e.server.Tracer.StartClientSpan(e.ctx, telemetry.SpanForward, e.request)
		defer span.End()
		span.SetCall(effect.ID)
		span.SetAttempt(effect.Attempt, effect.To.Node)
		done, response := e.server.Forwarder.Forward(e.ctx, effect, request)
		e.results <- result{effect.Attempt, done, response}
	})
}

// probe checks the connection of an attempt. Only success is reported; failure ends the attempt.
func (e *exchange) probe(effect reducer.Probe) {
	go func() {
		if e.server.Forwarder.Probe(e.ctx, effect, e.request) {
			e.server.Events.Post(reducer.ProbeDone{Call: effect.Call, Attempt: effect.Attempt})
		}
	}()
}

func (e *exchange) settle(effect reducer.Settle) {
	go func() {
		done, response := e.server.Forwarder.Settle(e.ctx, effect)
		e.results <- result{effect.Attempt, done, response}
	}()
}

func (e *exchange) deliver(effect reducer.Deliver) {
	response := e.responses[effect.Attempt]
	switch effect.ResponseOf {
	case 0:
	case e.box.Handle:
		response = e.local
	default:
		response = e.server.Answers.Get(effect.ResponseOf)
	}
	e.server.writeResponse(e.w, e.r.Method, effect.ID, response)
}
