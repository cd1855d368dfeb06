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

// limitedListener bounds the open connections. Further ones wait in the kernel's accept queue; those of
// an IP that has too many are closed.
type limitedListener struct {
	net.Listener
	places  chan struct{}
	perIP   int
	refused func(reason string)
	done    chan struct{}
	once    sync.Once

	mu        sync.Mutex
	perCaller map[string]int // connections by caller IP
	open      map[*callerConn]struct{}
	closing   bool // accepts only connections that are established already
	closed    bool
}

func newLimitedListener(inner net.Listener, limit, perIP int, refused func(reason string)) *limitedListener {
	return &limitedListener{
		Listener: inner, places: make(chan struct{}, limit), perIP: perIP, refused: refused,
		done: make(chan struct{}), perCaller: map[string]int{}, open: map[*callerConn]struct{}{},
	}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.places <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	for {
		conn, err := l.acceptNext()
		if err != nil {
			<-l.places
			return nil, err
		}
		c := &callerConn{Conn: conn, listener: l, ip: remoteIP(conn), opened: time.Now()}
		if l.enter(c) {
			return c, nil
		}
		l.refused("connections_per_ip")
		conn.Close()
	}
}

// acceptNext accepts a connection. A listener that is closing accepts until no established connection
// waits any more, and closes then.
func (l *limitedListener) acceptNext() (net.Conn, error) {
	for {
		closing := l.isClosing()
		if closing {
			l.setDeadline(time.Now().Add(backlogPause))
		}
		conn, err := l.Listener.Accept()
		switch {
		case err == nil || !errors.Is(err, os.ErrDeadlineExceeded):
			return conn, err
		case closing:
			l.Close()
			return nil, net.ErrClosed
		}
	}
}

func (l *limitedListener) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closing
}

// setDeadline bounds the wait for a connection, where the listener can.
func (l *limitedListener) setDeadline(t time.Time) {
	if inner, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = inner.SetDeadline(t) // fails only on a listener that is closed
	}
}

// finish closes the listener once the connections that are established already were accepted. After an
// error, callers that connect without pause can keep it open, and one can be reset.
func (l *limitedListener) finish() error {
	err := stopConnecting(l.Listener)
	l.mu.Lock()
	l.closing = true
	l.mu.Unlock()
	l.setDeadline(longAgo)
	return err
}

// conns returns the open connections and whether the listener is still open.
func (l *limitedListener) conns() ([]*callerConn, bool) {
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

func (l *limitedListener) enter(c *callerConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perCaller[c.ip] >= l.perIP {
		return false
	}
	l.perCaller[c.ip]++
	l.open[c] = struct{}{}
	return true
}

func (l *limitedListener) leave(c *callerConn) {
	l.mu.Lock()
	delete(l.open, c)
	if l.perCaller[c.ip]--; l.perCaller[c.ip] == 0 {
		delete(l.perCaller, c.ip)
	}
	l.mu.Unlock()
	<-l.places
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
	})
	return l.Listener.Close()
}
