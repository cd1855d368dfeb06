package peer

import (
	"bufio"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Pauses before a peer that said that it is busy is tried again: a random part of a backoff that doubles.
const (
	minBusyBackoff = 200 * time.Millisecond
	maxBusyBackoff = 5 * time.Second
	// busyRetryTimeout is how long a control connection is tried for. Calls do not wait; they have another
	// upstream to go to.
	busyRetryTimeout = 10 * time.Second
)

// silentAfter is how long an answer on a connection counts as a sign that it works.
const silentAfter = 500 * time.Millisecond

type connKey struct {
	address string
	class   Class
}

// clientConn is a connection that is open or being opened.
type clientConn struct {
	ready chan struct{} // closed when the fields below are set
	rpc   *rpc.Client
	peer  reducer.PeerRef
	// version is the protocol version that both sides use.
	version uint32
	err     error

	lastHeard atomic.Int64 // ns since 1970 of the last sign that the connection works

	// Under the client's lock:
	activeRPCs int       // RPCs that use the connection
	retired    bool      // no new RPC uses it; it is closed with its last one
	lastUsed   time.Time // end of the last RPC
}

func (conn *clientConn) close() {
	if conn.rpc != nil {
		conn.rpc.Close()
	}
}

var errClosed = errors.New("peer client is closed")

// acquire returns an open connection, opening one when there is none. It must be released.
func (c *Client) acquire(ctx context.Context, key connKey) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	conn, ok := c.conns[key]
	if !ok {
		conn = &clientConn{ready: make(chan struct{})}
		conn.lastHeard.Store(time.Now().UnixNano())
		c.conns[key] = conn
		c.goroutines.Go(func() { c.open(key, conn) })
	}
	conn.activeRPCs++
	c.mu.Unlock()
	select {
	case <-conn.ready:
		if conn.err != nil {
			c.release(key, conn, conn.err)
		}
		return conn, conn.err
	case <-ctx.Done():
		c.release(key, conn, nil)
		return nil, ctx.Err()
	}
}

// release ends the use of a connection. After a failure it is closed, which ends the other RPCs on it,
// and the next use opens a new one. A cancelled RPC says nothing about the connection.
func (c *Client) release(key connKey, conn *clientConn, err error) {
	var answered rpc.ServerError // the peer answered that it does not serve the request
	failed := err != nil && !errors.Is(err, context.Canceled) && !errors.As(err, &answered)
	c.mu.Lock()
	conn.activeRPCs--
	conn.lastUsed = time.Now()
	if failed {
		c.retire(key, conn)
	}
	last := conn.retired && conn.activeRPCs == 0
	c.mu.Unlock()
	if failed || last {
		conn.closeIfOpen()
	}
}

// closeIfOpen closes a connection now, or has its opening goroutine close it.
func (conn *clientConn) closeIfOpen() {
	select {
	case <-conn.ready:
		conn.close()
	default:
	}
}

// retire takes a connection out of use. The client's lock must be held.
func (c *Client) retire(key connKey, conn *clientConn) {
	conn.retired = true
	if c.conns[key] == conn {
		delete(c.conns, key)
	}
}

// open opens a connection. One that was retired meanwhile and has no users is closed at once.
func (c *Client) open(key connKey, conn *clientConn) {
	conn.rpc, conn.peer, conn.version, conn.err = c.dialWithRetries(key, conn)
	conn.lastHeard.Store(time.Now().UnixNano())
	c.mu.Lock()
	conn.lastUsed = time.Now()
	if conn.err != nil {
		c.retire(key, conn)
	}
	unused := conn.retired && conn.activeRPCs == 0
	close(conn.ready)
	c.mu.Unlock()
	if unused {
		conn.close()
	}
}

// dialWithRetries opens a connection. It tries a busy peer again when the connection is for control.
func (c *Client) dialWithRetries(key connKey, conn *clientConn) (*rpc.Client, reducer.PeerRef, uint32, error) {
	began := time.Now()
	for backoff := minBusyBackoff; ; backoff = min(2*backoff, maxBusyBackoff) {
		client, peer, version, err := c.dial(key, conn)
		if !errors.Is(err, errBusy) || key.class != ClassControl || time.Since(began) > busyRetryTimeout {
			return client, peer, version, err
		}
		select {
		case <-time.After(rand.N(backoff)):
		case <-c.ctx.Done():
			return nil, reducer.PeerRef{}, 0, c.ctx.Err()
		}
	}
}

func (c *Client) dial(key connKey, conn *clientConn) (*rpc.Client, reducer.PeerRef, uint32, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(c.ctx, "tcp", key.address)
	if err != nil {
		return nil, reducer.PeerRef{}, 0, err
	}
	// Closing the client ends a handshake that waits for its peer.
	stop := context.AfterFunc(c.ctx, func() { socket.Close() })
	defer stop()
	observed := &observedConn{Conn: socket, class: key.class.String(), observer: c.observer}
	answer, r, err := c.handshake(observed, key.class)
	if err != nil {
		socket.Close()
		return nil, reducer.PeerRef{}, 0, err
	}
	hooks := codecHooks{onReadError: func(err error) { c.handleReadError(key, conn, err) }}
	if key.class == ClassControl {
		hooks.onSent, hooks.onReceived = c.observer.MessageOut, c.observer.MessageIn
	}
	codec := newCodec(observed, r, key.class.maxResponseBytes(), key.class.maxRequestBytes(), hooks)
	if c.self.omitsTypeStream(answer, key.class) {
		codec.skipTypeStream()
	}
	return rpc.NewClientWithCodec(codec), answer.peerRef(), c.self.negotiateVersion(answer), nil
}

// handleReadError takes a connection that has ended out of use before anyone tries it.
func (c *Client) handleReadError(key connKey, conn *clientConn, err error) {
	if errors.Is(err, ErrFrameTooLarge) {
		c.observer.PeerRefused("frame")
	}
	c.mu.Lock()
	c.retire(key, conn)
	c.mu.Unlock()
}

func (c *Client) handshake(socket net.Conn, class Class) (hello, *bufio.Reader, error) {
	if err := socket.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return hello{}, nil, err
	}
	written, err := writeHello(socket, c.self.hello(class))
	if err != nil {
		return hello{}, nil, err
	}
	r := bufio.NewReader(socket)
	answer, err := readHello(r)
	reportHellos(c.observer, class, answer.wireBytes, written)
	switch {
	case err != nil:
		return hello{}, nil, err
	case answer.Refusal == busyRefusal:
		return hello{}, nil, errBusy
	case answer.Refusal != "":
		return hello{}, nil, errors.New("peer refused the connection: " + answer.Refusal)
	}
	if refused := c.self.checkHello(answer); refused != nil {
		c.observer.PeerRefused(refused.reason)
		return hello{}, nil, refused
	}
	return answer, r, socket.SetDeadline(time.Time{})
}

// retireIfSilent takes a connection out of use that has given no sign of working lately. RPCs on it go
// on until they end by themselves.
func (c *Client) retireIfSilent(key connKey, now time.Time) {
	c.mu.Lock()
	conn, ok := c.conns[key]
	if !ok || now.Sub(time.Unix(0, conn.lastHeard.Load())) < silentAfter {
		c.mu.Unlock()
		return
	}
	c.retire(key, conn)
	unused := conn.activeRPCs == 0
	c.mu.Unlock()
	if unused {
		conn.closeIfOpen()
	}
}

// runIdleChecks closes connections that were not used for a while.
func (c *Client) runIdleChecks() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			c.closeIdleConns(now)
		case <-c.ctx.Done():
			return
		}
	}
}

// closeIdleConns closes the connections that have not been used for idleTimeout at the given time.
func (c *Client) closeIdleConns(now time.Time) {
	var idle []*clientConn
	c.mu.Lock()
	for key, conn := range c.conns {
		if conn.activeRPCs == 0 && !conn.lastUsed.IsZero() && now.Sub(conn.lastUsed) >= idleTimeout {
			c.retire(key, conn)
			idle = append(idle, conn)
		}
	}
	c.mu.Unlock()
	for _, conn := range idle {
		conn.closeIfOpen()
	}
}
