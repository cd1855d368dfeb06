package ingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// maxPendingResults is the capacity of an exchange's channel for results of attempts. Attempts start one after
// another, so few results are pending; the goroutine of an attempt whose result is no longer needed must not block.
const maxPendingResults = 16

// exchange is the state of the goroutine that serves one request of a caller.
type exchange struct {
	server        *Server
	w             http.ResponseWriter
	r             *http.Request
	mailbox       *traffic.Mailbox
	ctx           context.Context // of the attempts; cancelled at the end of the exchange
	request       *traffic.Request
	results       chan attemptResult
	peerResponses map[int]*traffic.Response // responses from other nodes, by attempt
	localResponse *traffic.Response         // response of the backend server beside this node
	abortBackend  context.CancelFunc
	bodyRead      chan reducer.BodyRead // nil unless the body is being read
	callSpan      telemetry.Span        // covers the whole call
	decisionSpan  telemetry.Span        // ends with the first effect
	waitingSince  time.Time             // start of the wait for the next effect, and of the queue span
	callerGone    <-chan struct{}       // of the request; nil once it is reported that the caller has left
}

// attemptResult is the result of an attempt and the event that reports it to the control thread.
type attemptResult struct {
	attempt  int
	input    reducer.Input
	response *traffic.Response
}

// run performs the effects of the call until it has an answer.
func (e *exchange) run() answer {
	e.peerResponses = map[int]*traffic.Response{}
	e.request = e.server.newRequest(e.r)
	e.callerGone = e.r.Context().Done()
	for {
		select {
		case effect := <-e.mailbox.Effects:
			e.decisionSpan.End()
			if a, ended := e.perform(effect); ended {
				return a
			}
		case read := <-e.bodyRead:
			e.bodyRead = nil
			e.post(read)
		case res := <-e.results:
			if res.response != nil {
				e.peerResponses[res.attempt] = res.response
			}
			e.post(res.input)
		case <-e.callerGone:
			if e.bodyRead != nil { // its result tells whether the caller stopped halfway
				e.callerGone = nil
				continue
			}
			e.reportCallerGone()
		case <-e.server.Control.Done():
			return e.answerWithoutControl()
		}
	}
}

// reportCallerGone reports that the caller has left.
func (e *exchange) reportCallerGone() {
	e.callerGone = nil
	e.post(reducer.CallerGone{Call: e.mailbox.Handle})
}

// hasLostCaller reports whether the caller has left, and reports it again to the reducer: it is checked before a request is
// sent on, and the event may have overtaken the arrival of the call, which waits behind all other events. The caller may
// also have left while its request waited to be read, which net/http notices only after the handler has begun.
func (e *exchange) hasLostCaller() bool {
	if e.r.Context().Err() == nil {
		conn, ok := e.r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			return false
		}
		if _, ended := traffic.Peek(conn.Conn); !ended {
			return false
		}
	}
	e.reportCallerGone()
	return true
}

// answerWithoutControl returns the answer after the control thread has ended: the one that an effect in the mailbox
// decides, or an unknown outcome if there is none.
func (e *exchange) answerWithoutControl() answer {
	for {
		select {
		case effect := <-e.mailbox.Effects:
			if a, ended := e.perform(effect); ended {
				return a
			}
		default:
			a, _ := e.perform(reducer.FailCall{Call: e.mailbox.Handle, Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonLeaving})
			return a
		}
	}
}

func (e *exchange) post(input reducer.Input) {
	e.server.Control.Post(input)
	e.waitingSince = time.Now()
}

// perform carries out one effect. For the last effect it returns the answer and true.
func (e *exchange) perform(effect reducer.CallEffect) (answer, bool) {
	switch effect := effect.(type) {
	case reducer.ReadBody:
		e.startBodyRead(effect)
	case reducer.Forward:
		if !e.hasLostCaller() {
			e.forward(effect)
		}
	case reducer.Probe:
		e.probe(effect)
	case reducer.Settle:
		e.settle(effect)
	case reducer.StartBackendRequest:
		e.startBackend(effect)
	case reducer.AbortBackendRequest:
		e.abortBackend()
	case reducer.FailCall:
		e.abortBodyRead()
		e.callSpan.SetCall(effect.ID)
		e.callSpan.SetOutcome(effect.Outcome)
		return answer{failure: effect}, true
	case reducer.Deliver:
		e.callSpan.SetCall(effect.ID)
		e.callSpan.SetOutcome(reducer.OutcomeDone)
		return answer{delivered: true, id: effect.ID, response: e.responseFor(effect)}, true
	case reducer.PostponeCall:
		return answer{postponed: true}, true
	default:
		panic("ingress: effect is not for a caller's exchange")
	}
	return answer{}, false
}

// startBackend sends the request to the backend server beside this node, unless the caller has left.
func (e *exchange) startBackend(effect reducer.StartBackendRequest) {
	if e.hasLostCaller() {
		e.abortBackend = func() {}
		e.post(reducer.BackendRequestDone{Call: effect.Call, Result: reducer.BackendNotSent})
		return
	}
	e.abortBackend = e.server.starter.Start(e.ctx, effect, e.request, e.waitingSince, &e.localResponse)
}

// startBodyRead reads the body in another goroutine, so that a call whose body arrives slowly can be refused at its
// deadline.
func (e *exchange) startBodyRead(effect reducer.ReadBody) {
	read := make(chan reducer.BodyRead, 1)
	e.bodyRead = read
	e.server.Workers.Go(func() { read <- e.readBody(effect) })
}

// abortBodyRead stops reading a body that is no longer needed. The connection is closed after the response, because
// the rest of the body makes it unusable for another request.
func (e *exchange) abortBodyRead() {
	if e.bodyRead == nil {
		return
	}
	e.w.Header().Set("Connection", "close")
	// An error means that the connection is closed, which also ends the read.
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Unix(1, 0))
	<-e.bodyRead
}

func (e *exchange) readBody(effect reducer.ReadBody) reducer.BodyRead {
	event := reducer.BodyRead{Call: effect.Call, Result: reducer.BodyComplete}
	body, err := readBody(http.MaxBytesReader(e.w, e.r.Body, effect.Limit), e.r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		event.Result = reducer.BodyTooLarge
	case err != nil:
		event.Result = reducer.BodyIncomplete
	}
	e.request.Body = body // used only after an effect that responds to this event
	event.Bytes = int64(len(body))
	return event
}

func (e *exchange) forward(effect reducer.Forward) {
	e.server.Workers.Go(func() {
		request, span := e.server.Tracer.StartClientSpan(e.ctx, telemetry.SpanForward, e.request)
		defer span.End()
		span.SetCall(effect.ID)
		span.SetAttempt(effect.Attempt, effect.To.Node)
		done, response := e.server.Forwarder.Forward(e.ctx, effect, request)
		if response != nil && response.Rest != nil {
			context.AfterFunc(e.ctx, response.Discard)
		}
		e.results <- attemptResult{effect.Attempt, done, response}
	})
}

// probe checks the connection of an attempt. It posts an event only on success; a failure ends the attempt itself.
func (e *exchange) probe(effect reducer.Probe) {
	go func() {
		if e.server.Forwarder.Probe(e.ctx, effect, e.request) {
			e.server.Control.Post(reducer.ProbeDone{Call: effect.Call, Attempt: effect.Attempt})
		}
	}()
}

func (e *exchange) settle(effect reducer.Settle) {
	go func() {
		done, response := e.server.Forwarder.Settle(e.ctx, effect)
		e.results <- attemptResult{effect.Attempt, done, response}
	}()
}

// responseFor returns the response that a Deliver effect refers to, or nil if it is no longer kept.
func (e *exchange) responseFor(effect reducer.Deliver) *traffic.Response {
	switch effect.ResponseOf {
	case 0:
		return e.peerResponses[effect.Attempt]
	case e.mailbox.Handle:
		return e.localResponse
	default:
		return e.server.Responses.Get(effect.ResponseOf)
	}
}
