package ingress

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// limitedListener limits the number of open connections, in total and per caller IP. Above the total, connections
// wait in the kernel's accept queue; above the limit of its IP, a connection is closed.
type limitedListener struct {
	net.Listener
	permits   chan struct{} // semaphore with one element per open connection and one for a running Accept
	maxPerIP  int
	onRefused func(reason string)
	beginCall func(*pipelinedCall) bool // begins a pipelined call early; may be nil
	done      chan struct{}
	closeOnce sync.Once

	mu        sync.Mutex
	countByIP map[string]int // open connections by caller IP
	open      map[*callerConn]struct{}
	draining  bool // accepts only connections that are already established
	closed    bool
}

func newLimitedListener(inner net.Listener, maxOpen, maxPerIP int, onRefused func(reason string)) *limitedListener {
	return &limitedListener{
		Listener: inner, permits: make(chan struct{}, maxOpen), maxPerIP: maxPerIP, onRefused: onRefused,
		done: make(chan struct{}), countByIP: map[string]int{}, open: map[*callerConn]struct{}{},
	}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.permits <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	for {
		conn, err := l.acceptOrDrain()
		if err != nil {
			<-l.permits
			return nil, err
		}
		c := &callerConn{Conn: conn, listener: l, ip: remoteIP(conn), opened: time.Now()}
		c.ahead.begin = l.beginCall
		if l.track(c) {
			return c, nil
		}
		l.onRefused("connections_per_ip")
		conn.Close()
	}
}

// acceptOrDrain accepts a connection. A draining listener accepts the established connections and closes once none
// is left in the accept queue.
func (l *limitedListener) acceptOrDrain() (net.Conn, error) {
	for {
		draining := l.isDraining()
		if draining {
			l.setAcceptDeadline(time.Now().Add(acceptQueueTimeout))
		}
		conn, err := l.Listener.Accept()
		switch {
		case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case draining:
			l.Close()
			return nil, net.ErrClosed
		}
	}
}

func (l *limitedListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *limitedListener) setAcceptDeadline(t time.Time) {
	if inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = inner.SetDeadline(t) // fails only if the listener is closed
	}
}

// drain closes the listener once all connections that are already established have been accepted. If it returns an
// error, new connections are still accepted: a steady stream of them can keep the listener open, and one can be reset
// when the listener closes.
func (l *limitedListener) drain() error {
	err := dropNewConnections(l.Listener)
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.setAcceptDeadline(pastDeadline)
	return err
}

func (l *limitedListener) openConnections() ([]*callerConn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.open)), !l.closed
}

func remoteIP(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// track counts an open connection. It returns false if the caller's IP is at its limit.
func (l *limitedListener) track(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.countByIP[c.ip] >= l.maxPerIP {
		return false
	}
	l.countByIP[c.ip]++
	l.open[c] = struct{}{}
	return true
}

func (l *limitedListener) release(c *callerConn) {
	l.mu.Lock()
	delete(l.open, c)
	if l.countByIP[c.ip]--; l.countByIP[c.ip] == 0 {
		delete(l.countByIP, c.ip)
	}
	l.mu.Unlock()
	<-l.permits
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() {
		close(l.done)
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
	})
	return l.Listener.Close()
}
