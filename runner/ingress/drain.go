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
	// backlogPause is how long a closing listener waits for a connection that is already established. The
	// kernel resets the ones in its accept queue when the listener closes.
	backlogPause = 5 * time.Millisecond
	// newConnGrace is how long a new connection may take to send its first bytes during a shutdown.
	newConnGrace = time.Second
	// retireInterval is the pause between two looks for connections that may be closed.
	retireInterval = 50 * time.Millisecond
)

// callerConn is a connection of a caller. During a shutdown it ends only between two requests: net/http
// closes a connection as idle while the bytes of its next request may have arrived already.
type callerConn struct {
	net.Conn
	listener *limitedListener
	ip       string
	opened   time.Time
	closed   atomic.Bool

	mu       sync.Mutex
	busy     bool // bytes of a request have been read
	retiring bool // ends unless a request begins; its read deadline has passed
}

// Read implements net.Conn. It returns io.EOF once the connection is to end and no request has begun.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 {
			if problem := c.begin(); err == nil {
				err = problem
			}
			return n, err
		}
		again, err := c.afterRead(err)
		if !again {
			return 0, err
		}
	}
}

// begin notes that a request has begun, and undoes a retirement that came at the same time.
func (c *callerConn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	return c.resume()
}

// resume gives a retiring connection its read deadline back. The caller holds the lock.
func (c *callerConn) resume() error {
	if !c.retiring {
		return nil
	}
	c.retiring = false
	return c.Conn.SetReadDeadline(time.Now().Add(readTimeout))
}

// afterRead says what a read without bytes means: whether to read again, or the error to return.
func (c *callerConn) afterRead(err error) (again bool, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.retiring || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, err
	}
	if !c.pending() {
		return false, io.EOF
	}
	return true, c.resume()
}

// SetReadDeadline implements net.Conn. net/http sets a deadline of its own before it waits for a request.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retiring {
		t = longAgo
	}
	return c.Conn.SetReadDeadline(t)
}

var longAgo = time.Unix(1, 0)

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.listener.leave(c)
	}
	return c.Conn.Close()
}

// retire ends the connection if no request has begun on it.
func (c *callerConn) retire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy || c.retiring || now.Sub(c.opened) < newConnGrace {
		return
	}
	c.retiring = true
	_ = c.Conn.SetReadDeadline(longAgo) // fails only on a connection that is closed
}

// idle notes that the response of a request was written.
func (c *callerConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// pending reports whether received bytes wait to be read.
func (c *callerConn) pending() bool {
	arrived, _ := traffic.Peek(c.Conn)
	return arrived
}

// connState follows the requests of a connection for net/http.
func connState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
		c.idle()
	}
}

// Shutdown closes the listeners, waits for the requests under way and ends each connection between two
// requests. It returns early with the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.CloseListener()
	ticker := time.NewTicker(retireInterval)
	defer ticker.Stop()
	for s.retireAll() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return s.http.Shutdown(ctx)
}

// retireAll ends the connections that wait for a request and returns the number of open ones.
func (s *Server) retireAll() int {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	open := 0
	for _, listener := range listeners {
		conns, accepting := listener.conns()
		for _, c := range conns {
			c.retire(time.Now())
		}
		open += len(conns)
		if accepting {
			open++
		}
	}
	return open
}
