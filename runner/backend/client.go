package backend

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/httpresponse"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const dialTimeout = time.Second

// Client sends requests to one backend server over persistent connections. It never sends a request twice.
type Client struct {
	address string
	front   frontend.FrontEnd
	dialer  net.Dialer
	permits chan struct{} // semaphore with one element per connection in use
	// newGrowth returns what asks whether the response to a call may grow; cut ends its receipt. Nil if none is asked.
	newGrowth func(call reducer.Handle, cut func()) *growth

	mu     sync.Mutex
	idle   []*backendConn // most recently used last
	closed bool
}

// NewClient returns a client that opens at most maxConnections connections, and at least one.
func NewClient(address string, maxConnections int, front frontend.FrontEnd) *Client {
	return &Client{
		address: address, front: front, dialer: net.Dialer{Timeout: dialTimeout}, permits: make(chan struct{}, max(maxConnections, 1)),
	}
}

// Close closes the idle connections. Those in use are closed when their requests end.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}

// Do sends a request once and returns the response, nil unless the result is BackendAnswered.
func (c *Client) Do(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	began := time.Now()
	response, result, err := c.send(ctx, start, request)
	done := reducer.BackendRequestDone{Call: start.Call, Result: result, Elapsed: time.Since(began)}
	if result == reducer.BackendMalformed {
		done.Problem = err.Error()
	}
	if response != nil {
		done.Status = response.Status
		done.Bytes = int64(len(response.Body))
		done.Streaming = response.Rest != nil
	}
	return response, done
}

// send sends the request within start.Timeout. The response is nil unless the result is BackendAnswered; the error is the
// reason for a result without a response of the backend server. The connection of a streaming response is released when the
// response ends.
func (c *Client) send(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendResult, error) {
	ctx, cancel := context.WithTimeout(ctx, start.Timeout)
	head, err := c.encodeHead(start, request)
	if err != nil {
		cancel()
		return nil, reducer.BackendNotSent, err
	}
	select {
	case c.permits <- struct{}{}:
	case <-ctx.Done():
		cancel()
		return nil, reducer.BackendNotSent, ctx.Err()
	}
	conn, err := c.getConn(ctx, c.front.RequestID(head.header))
	if err != nil {
		<-c.permits
		cancel()
		return nil, reducer.BackendNotSent, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	release := func(reuse bool) {
		if !stop() || !reuse {
			conn.Close()
		} else {
			c.putIdle(conn)
		}
		<-c.permits
		cancel()
	}
	conn.end = responseEnd{after: time.Now().Add(start.TimeLeft), tail: start.ResponseTail}
	if c.newGrowth != nil {
		conn.growth = c.newGrowth(start.Call, func() { conn.Close() })
	}
	in, err := conn.roundTrip(ctx, head, request, c.front, start.Streaming)
	conn.growth.end() // before another request can use the connection
	if err != nil {
		result := classifyFailure(ctx, conn, err)
		release(false)
		return nil, result, err
	}
	if result := c.front.ClassifyResponse(in.response.Status, in.response.Header); result != reducer.BackendAnswered {
		release(in.reuse && in.rest == nil && conn.noteRefusal(c.front.RequestID(in.response.Header)))
		return nil, result, nil
	}
	if in.rest != nil {
		in.response.Rest = newBodyStream(ctx, in.rest, cancel, func(complete bool) { release(complete && conn.prepareReuse(in.head)) })
		return in.response, reducer.BackendAnswered, nil
	}
	release(in.reuse)
	return in.response, reducer.BackendAnswered, nil
}

// classifyFailure returns the result for a round trip that ended with err: BackendNotSent if no byte of the request was
// written. Otherwise the request may have run.
func classifyFailure(ctx context.Context, conn *backendConn, err error) reducer.BackendResult {
	switch {
	case conn.written == 0:
		return reducer.BackendNotSent
	case conn.growth.wasCut():
		return reducer.BackendOversized
	case ctx.Err() != nil:
		return reducer.BackendAborted
	case errors.Is(err, httpresponse.ErrMalformed):
		return reducer.BackendMalformed
	default:
		return reducer.BackendFailed
	}
}

// getConn returns a reusable idle connection, or dials a new one. The connection has had no refusal of the request, which may
// have been refused before: a late copy of that refusal would be taken for the response.
func (c *Client) getConn(ctx context.Context, requestID string) (*backendConn, error) {
	for {
		conn := c.popIdle()
		if conn == nil {
			break
		}
		if !conn.hasRefused(requestID) && time.Now().Before(conn.reusableUntil) && conn.isReusable() {
			conn.written = 0
			return conn, nil
		}
		conn.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(raw), nil
}

func (c *Client) popIdle() *backendConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

// putIdle keeps a connection for later requests, or closes it if the client is closed.
func (c *Client) putIdle(conn *backendConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}
