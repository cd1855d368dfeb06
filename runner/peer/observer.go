package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Observer receives the events on connections between nodes that are counted in metrics. Its methods are called by
// several goroutines at once.
type Observer interface {
	// BytesIn and BytesOut report n bytes that were read from or written to a connection of a class.
	BytesIn(class string, n int)
	BytesOut(class string, n int)
	// MessageIn and MessageOut report a message of n bytes on a control connection, by kind.
	MessageIn(kind string, n int)
	MessageOut(kind string, n int)
	// PeerRefused reports a connection that was refused, or closed because of what the peer sent, and the reason.
	PeerRefused(reason string)
}

type nopObserver struct{}

func (nopObserver) BytesIn(string, int)    {}
func (nopObserver) BytesOut(string, int)   {}
func (nopObserver) MessageIn(string, int)  {}
func (nopObserver) MessageOut(string, int) {}
func (nopObserver) PeerRefused(string)     {}

// observedConn reports the bytes read from and written to a connection.
type observedConn struct {
	net.Conn
	raw      syscall.RawConn // of Conn; nil if it is not a socket
	class    string
	observer Observer
	lastRead atomic.Int64 // ns since 1970 of the last bytes read; 0 before the first
}

func (c *observedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.observer.BytesIn(c.class, n)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

func (c *observedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.observer.BytesOut(c.class, n)
	return n, err
}

const (
	// logInterval is the shortest time between two log lines about the same remote IP.
	logInterval = time.Second
	// maxLoggedIPs bounds the remote IPs that a logLimiter stores.
	maxLoggedIPs = 1024
)

// logLimiter allows one log line per remote IP in each logInterval, so that a peer that keeps sending garbage cannot
// fill the log.
type logLimiter struct {
	mu         sync.Mutex
	lastLogged map[string]time.Time // by remote IP
}

// allow reports whether a line about the address may be logged now, and counts it as logged. A new IP is not logged
// while maxLoggedIPs others are stored.
func (l *logLimiter) allow(addr net.Addr, now time.Time) bool {
	ip := remoteIP(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if last, ok := l.lastLogged[ip]; ok && now.Sub(last) < logInterval {
		return false
	}
	if len(l.lastLogged) >= maxLoggedIPs {
		l.removeExpired(now)
	}
	if len(l.lastLogged) >= maxLoggedIPs {
		return false
	}
	if l.lastLogged == nil {
		l.lastLogged = map[string]time.Time{}
	}
	l.lastLogged[ip] = now
	return true
}

func (l *logLimiter) removeExpired(now time.Time) {
	for ip, last := range l.lastLogged {
		if now.Sub(last) >= logInterval {
			delete(l.lastLogged, ip)
		}
	}
}

// remoteIP returns the IP of an address, or the whole address when it has no port.
func remoteIP(addr net.Addr) string {
	if host, _, err := net.SplitHostPort(addr.String()); err == nil {
		return host
	}
	return addr.String()
}
