package ingress

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"os"
	"slices"
	"sync"
)

// Bounds on what one connection may have in progress behind the request that is being served.
const (
	// maxPipelinedCalls is the number of calls that are begun early. Later requests wait for those ahead of them.
	maxPipelinedCalls = 16
	// maxReadAheadBytes is the number of bytes that are read early. Reading stops there until the next response.
	maxReadAheadBytes = 16 << 10
)

// pipelinedCall is a call that was begun before the requests ahead of it on its connection were answered.
type pipelinedCall struct {
	number  int // position of the request on the connection
	request *http.Request
	cancel  context.CancelFunc // reports that the caller has gone, or that the answer was written
	ended   chan struct{}      // closed when answer is set
	answer  answer
}

// readAhead follows the requests of one connection. net/http reads a request only after it has answered the one before;
// readAhead sees later requests when they arrive and has their calls begun, so that they do not wait for those ahead.
// The responses still leave in the order of the requests, because net/http asks for them in that order.
type readAhead struct {
	begin func(*pipelinedCall) bool // begins a call, or returns false; nil if calls are never begun early

	mu       sync.Mutex
	scanner  requestScanner
	buffered []byte // read from the connection, not yet passed to net/http
	served   int    // requests that net/http has passed to its handler
	answered int    // requests whose handler has returned
	calls    []*pipelinedCall
	closed   bool // no call is begun any more
}

// observe follows bytes that were read from the connection and begins the calls behind the request being served.
func (a *readAhead) observe(p []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, scanned := range a.scanner.scan(p, a.answered+1) {
		if a.closed || a.begin == nil || scanned.number < a.served || len(a.calls) >= maxPipelinedCalls {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		call := &pipelinedCall{number: scanned.number, request: scanned.request.WithContext(ctx), cancel: cancel, ended: make(chan struct{})}
		if a.begin(call) {
			a.calls = append(a.calls, call)
		}
	}
}

// isAnswerDue reports whether a complete request without a response is known: then a read of net/http only waits for the
// caller to leave.
func (a *readAhead) isAnswerDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.scanner.stopped && a.scanner.bodyBytes == 0 && a.scanner.heads > a.answered
}

// isIdle reports whether no request has begun to arrive and none waits for its response.
func (a *readAhead) isIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.buffered) > 0 {
		return false
	}
	return a.scanner.stopped || a.scanner.heads <= a.answered && len(a.scanner.head) == 0 && a.scanner.bodyBytes == 0
}

// take moves buffered bytes to p and returns their number.
func (a *readAhead) take(p []byte) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := copy(p, a.buffered)
	if a.buffered = a.buffered[n:]; len(a.buffered) == 0 {
		a.buffered = nil
	}
	return n
}

// keep buffers bytes and reports whether there is room for more.
func (a *readAhead) keep(p []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffered = append(a.buffered, p...)
	return len(a.buffered) < maxReadAheadBytes
}

// beginRequest is called when net/http passes a request to its handler. It returns the call that was begun early for this
// request, or nil, and the number of calls behind it that were begun as well.
func (a *readAhead) beginRequest(r *http.Request) (call *pipelinedCall, behind int) {
	if a == nil {
		return nil, 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	number := a.served
	a.served++
	for len(a.calls) > 0 && a.calls[0].number <= number {
		first := a.calls[0]
		a.calls = a.calls[1:]
		if first.number == number && isSameRequest(first.request, r) {
			call = first
		} else {
			first.cancel()
		}
	}
	for _, later := range a.calls {
		if !later.isPostponed() {
			behind++
		}
	}
	return call, behind
}

// isPostponed reports whether the call has ended without having been begun.
func (c *pipelinedCall) isPostponed() bool {
	select {
	case <-c.ended:
		return c.answer.postponed
	default:
		return false
	}
}

// endRequest is called when the handler of a request returns.
func (a *readAhead) endRequest() {
	a.mu.Lock()
	a.answered++
	a.mu.Unlock()
}

// cancel ends the calls that were begun early. No further ones are begun.
func (a *readAhead) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, call := range a.calls {
		call.cancel()
	}
}

// isSameRequest guards against a difference between the scanner and net/http: a response must never answer another
// request.
func isSameRequest(scanned, served *http.Request) bool {
	return scanned.Method == served.Method && scanned.RequestURI == served.RequestURI && scanned.Host == served.Host &&
		maps.EqualFunc(scanned.Header, served.Header, slices.Equal[[]string])
}

// readAheadOfResponse reads requests that arrive while net/http waits for the caller to leave, until the wait ends. It
// returns a byte to net/http only if there is no more room, since net/http does not notice afterwards that the caller
// leaves.
func (c *callerConn) readAheadOfResponse(p []byte) (int, error) {
	var buffer []byte
	next := p
	for {
		n, err := c.readConn(next)
		if n > 0 {
			c.ahead.observe(next[:n])
			if !c.ahead.keep(next[:n]) {
				return c.ahead.take(p), nil
			}
			if buffer == nil {
				buffer = make([]byte, maxReadAheadBytes/4)
			}
			next = buffer
		}
		if err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.ahead.cancel()
			}
			return 0, err
		}
	}
}

// beginPipelined begins the call of a request that arrived before the requests ahead of it were answered. The reducer
// decides whether it may run now. It returns false during a shutdown, when further requests count as not read.
func (s *Server) beginPipelined(call *pipelinedCall) bool {
	if s.keepAliveStopped.Load() {
		call.cancel()
		return false
	}
	s.Workers.Go(func() {
		call.answer = s.serveCall(nil, call.request)
		close(call.ended)
		context.AfterFunc(call.request.Context(), func() {
			if call.answer.release != nil {
				call.answer.release()
			}
		})
	})
	return true
}

// awaitPipelined waits for the answer of a call that was begun early.
func awaitPipelined(ctx context.Context, call *pipelinedCall) answer {
	select {
	case <-call.ended:
	case <-ctx.Done():
		call.cancel()
		<-call.ended
	}
	return call.answer
}
