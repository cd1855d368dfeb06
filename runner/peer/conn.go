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

// A peer that refuses a connection because it is busy is retried after a random delay of up to the backoff, which
// doubles from minBusyBackoff to maxBusyBackoff.
const (
	minBusyBackoff = 200 * time.Millisecond
	maxBusyBackoff = 5 * time.Second
	// busyRetryTimeout is how long opening a control connection to a busy peer is retried. Connections for calls are
	// not retried, because a call can go to another upstream.
	busyRetryTimeout = 10 * time.Second
)

// silentAfter is the time without a response after which a connection counts as silent.
const silentAfter = 500 * time.Millisecond

// connKey identifies the connection of one class to one peer.
type connKey struct {
	address string
	class   Class
}

// clientConn is a connection that is open or being opened.
type clientConn struct {
	ready chan struct{} // closed when rpc, socket, peer, version and err are set
	rpc   *rpc.Client
	// socket is the connection below rpc, and observed the one between them.
	socket   net.Conn
	observed *observedConn
	peer     reducer.PeerRef
	// version is the negotiated protocol version.
	version uint32
	err     error

	lastHeard atomic.Int64 // ns since 1970 of the last response; before the first, of the opening

	// Under the client's lock:
	activeRPCs int       // RPCs that use the connection or wait for it to open
	retired    bool      // not used for new RPCs; closed after its last RPC
	lastUsed   time.Time // end of the last RPC, or of the opening
}

// close closes a connection whose ready channel is closed.
func (conn *clientConn) close() {
	if conn.rpc != nil {
		conn.rpc.Close()
	}
}

var errClosed = errors.New("peer client is closed")

// acquire returns an open connection, and opens one when there is none. The caller must release it, unless there is an
// error.
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

// release ends the use of a connection by an RPC, whose error is err. After a failure the connection is closed, which
// ends the other RPCs on it, and the next acquire opens a new one. A cancelled RPC is not a failure of the connection.
func (c *Client) release(key connKey, conn *clientConn, err error) {
	var serverErr rpc.ServerError // an error that the peer sent as its response, so the connection works
	failed := err != nil && !errors.Is(err, context.Canceled) && !errors.As(err, &serverErr)
	c.mu.Lock()
	conn.activeRPCs--
	conn.lastUsed = time.Now()
	if failed {
		c.retire(key, conn)
	}
	last := conn.retired && conn.activeRPCs == 0
	c.mu.Unlock()
	if failed {
		conn.discardUnsent()
	}
	if failed || last {
		conn.closeIfOpen()
	}
}

// discardUnsent makes the close of an open connection drop the requests that the peer has not received. The kernel would
// otherwise go on sending them, behind a partition for as long as that lasts, and the peer would begin calls that have been
// given up long before.
func (conn *clientConn) discardUnsent() {
	select {
	case <-conn.ready:
		dropUnsent(conn.socket)
	default:
	}
}

// dropUnsent makes the close of a socket drop what it has not sent.
func dropUnsent(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
}

// closeIfOpen closes a connection that is open. One that is still being opened is closed by open.
func (conn *clientConn) closeIfOpen() {
	select {
	case <-conn.ready:
		conn.close()
	default:
	}
}

// retire makes a connection unavailable to new RPCs. The client's lock must be held.
func (c *Client) retire(key connKey, conn *clientConn) {
	conn.retired = true
	if c.conns[key] == conn {
		delete(c.conns, key)
	}
}

// open opens a connection and then closes its ready channel. A connection that was retired meanwhile and has no RPCs is
// closed at once.
func (c *Client) open(key connKey, conn *clientConn) {
	conn.rpc, conn.peer, conn.version, conn.err = c.dialWithRetries(key, conn) // sets conn.socket as well
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

// dialWithRetries opens a connection like dial. For a control connection it retries a busy peer for busyRetryTimeout.
func (c *Client) dialWithRetries(key connKey, conn *clientConn) (*rpc.Client, reducer.PeerRef, uint32, error) {
	started := time.Now()
	for backoff := minBusyBackoff; ; backoff = min(2*backoff, maxBusyBackoff) {
		client, peer, version, err := c.dial(key, conn)
		if !errors.Is(err, errBusy) || key.class != ClassControl || time.Since(started) > busyRetryTimeout {
			return client, peer, version, err
		}
		select {
		case <-time.After(rand.N(backoff)):
		case <-c.ctx.Done():
			return nil, reducer.PeerRef{}, 0, c.ctx.Err()
		}
	}
}

// dial opens a connection to a peer and returns the negotiated protocol version. The error is errBusy when the peer
// is busy.
func (c *Client) dial(key connKey, conn *clientConn) (*rpc.Client, reducer.PeerRef, uint32, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(c.ctx, "tcp", key.address)
	if err != nil {
		return nil, reducer.PeerRef{}, 0, err
	}
	// Client.Close also ends a handshake that waits for the peer.
	stop := context.AfterFunc(c.ctx, func() { socket.Close() })
	defer stop()
	observed := &observedConn{Conn: socket, raw: rawConnOf(socket), class: key.class.String(), observer: c.observer}
	reply, r, err := c.handshake(observed, key.class)
	if err != nil {
		socket.Close()
		return nil, reducer.PeerRef{}, 0, err
	}
	hooks := codecHooks{
		onReadError:  func(err error) { c.handleReadError(key, conn, err) },
		onWriteError: func() { dropUnsent(socket) },
	}
	if key.class == ClassControl {
		hooks.onSent, hooks.onReceived = c.observer.MessageOut, c.observer.MessageIn
	}
	codec := newCodec(observed, r, key.class.maxResponseBytes(), key.class.maxRequestBytes(), hooks)
	if c.self.omitsTypeStream(reply, key.class) {
		codec.skipTypeStream()
	}
	conn.socket, conn.observed = socket, observed
	return rpc.NewClientWithCodec(codec), reply.peerRef(), c.self.negotiateVersion(reply), nil
}

// handleReadError retires a connection that has ended, so that no further RPC is tried on it.
func (c *Client) handleReadError(key connKey, conn *clientConn, err error) {
	if errors.Is(err, ErrFrameTooLarge) {
		c.observer.PeerRefused("frame")
	}
	c.mu.Lock()
	c.retire(key, conn)
	c.mu.Unlock()
}

// handshake exchanges hellos with a peer. It returns the peer's hello and a reader for the messages that follow it.
// The error is errBusy when the peer is busy.
func (c *Client) handshake(socket net.Conn, class Class) (hello, *bufio.Reader, error) {
	if err := socket.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return hello{}, nil, err
	}
	written, err := writeHello(socket, c.self.hello(class))
	if err != nil {
		return hello{}, nil, err
	}
	r := bufio.NewReader(socket)
	reply, err := readHello(r)
	reportHellos(c.observer, class, reply.wireBytes, written)
	switch {
	case err != nil:
		return hello{}, nil, err
	case reply.Refusal == busyRefusal:
		return hello{}, nil, errBusy
	case reply.Refusal != "":
		return hello{}, nil, errors.New("peer refused the connection: " + reply.Refusal)
	}
	if refusal := c.self.checkHello(reply); refusal != nil {
		c.observer.PeerRefused(refusal.reason)
		return hello{}, nil, refusal
	}
	return reply, r, socket.SetDeadline(time.Time{})
}

// retireIfSilent retires a connection that had no response for silentAfter. RPCs on it are not interrupted; it is
// closed after the last one.
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

// runIdleChecks closes idle connections every idleCheckInterval until the client is closed.
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

// closeIdleConns closes the connections that, at the given time, have been unused for idleTimeout.
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
