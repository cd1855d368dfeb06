package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	// acceptQueueTimeout is how long a draining listener waits for the next established connection before it
	// closes. Closing it makes the kernel reset the connections that are still in its accept queue.
	acceptQueueTimeout = 5 * time.Millisecond
	// newConnectionGrace is how long a new connection may take to send its first bytes during a shutdown.
	newConnectionGrace = time.Second
	// idleCheckInterval is the interval at which a shutdown looks for idle connections to close.
	idleCheckInterval = 50 * time.Millisecond
)

// callerConn is a connection of a caller. During a shutdown it is closed only between two requests. The shutdown
// of net/http cannot ensure that: it closes a connection as idle even if bytes of the next request have arrived.
type callerConn struct {
	net.Conn
	listener *limitedListener
	ip       string
	opened   time.Time
	closed   atomic.Bool
	ahead    readAhead

	mu      sync.Mutex
	busy    bool // bytes of a request have been read
	closing bool // its read deadline has passed; it is closed unless a request begins
}

// Read implements net.Conn. It returns io.EOF if the connection is closing and no request has begun.
func (c *callerConn) Read(p []byte) (int, error) {
	if n := c.ahead.take(p); n > 0 {
		return n, nil
	}
	// net/http reads a single byte to notice that the caller leaves while a request is served.
	if len(p) == 1 && c.ahead.isAnswerDue() {
		return c.readAheadOfResponse(p)
	}
	n, err := c.readConn(p)
	c.ahead.observe(p[:n])
	return n, err
}

// readConn reads from the connection like Read, without reading ahead.
func (c *callerConn) readConn(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			if deadlineErr := c.markBusy(); err == nil {
				err = deadlineErr
			}
			return n, err
		}
		retry, err := c.handleReadError(err)
		if !retry {
			return 0, err
		}
	}
}

// markBusy records that a request has begun. It cancels a close that was requested at the same time.
func (c *callerConn) markBusy() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return c.cancelClose()
}

// cancelClose restores the read deadline of a closing connection. The caller must hold c.mu.
func (c *callerConn) cancelClose() error {
	if !c.closing {
		return nil
	}
	c.closing = false
	return c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
}

// handleReadError handles a read that returned no bytes. It reports whether to read again, and otherwise returns
// the error for the reader.
func (c *callerConn) handleReadError(err error) (retry bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	if !c.hasPendingBytes() {
		return false, io.EOF
	}
	return true, c.cancelClose()
}

// SetReadDeadline implements net.Conn. net/http sets a read deadline before it waits for a request; it must not
// override that of a closing connection.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// pastDeadline is a deadline that makes reads and accepts time out at once.
var pastDeadline = time.Unix(1, 0)

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.ahead.cancel()
		c.listener.release(c)
	}
	return c.Conn.Close()
}

// closeIfIdle makes the next read return io.EOF, on which net/http closes the connection, unless a request has begun
// or the connection was opened less than newConnectionGrace ago.
func (c *callerConn) closeIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.closing || now.Sub(c.opened) < newConnectionGrace {
		return
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only if the connection is closed
}

// markIdle records that the response to a request was written. The connection stays busy if another request has begun
// to arrive.
func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.ahead.isIdle()
}

// hasPendingBytes reports whether the connection has received bytes that are not read yet.
func (c *callerConn) hasPendingBytes() bool {
	unread, _ := traffic.Peek(c.Conn)
	return unread
}

// connState is the ConnState callback of the HTTP server. It marks a connection as idle after each response.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.markIdle()
	}
}

// Shutdown closes the listeners, waits for the requests in progress and closes each connection once it is idle.
// It returns the context's error if the context ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.CloseListener()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for s.closeIdleConnections() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.http.Shutdown(ctx)
}

// closeIdleConnections closes idle connections and returns the number of connections and listeners that were open.
func (s *Server) closeIdleConnections() int {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	open := 0
	for _, listener := range listeners {
		conns, listening := listener.openConnections()
		for _, c := range conns {
			c.closeIfIdle(time.Now())
		}
		open += len(conns)
		if listening {
			open++
		}
	}
	return open
}
