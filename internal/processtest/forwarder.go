package processtest

import (
	"io"
	"net"
	"sync"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
)

// Forwarder is a TCP proxy for one address that can silence or close its connections.
type Forwarder struct {
	listener         net.Listener
	target           string
	partition        *Partition             // nil if the forwarder belongs to none
	crossesPartition func(node string) bool // reports whether connections of a node cross the partition; nil if all do
	mu               sync.Mutex
	connections      []*forwardedConn
}

// forwardedConn is a connection from a client to the forwarder and the connection from there to the target.
type forwardedConn struct {
	client, server net.Conn
	partition      *Partition // the partition that it crosses, or nil
	mu             sync.Mutex // held while bytes are forwarded
	silent         bool       // bytes are dropped, guarded by mu
}

// NewForwarder starts a forwarder that listens at a free loopback address and connects each client to the address to.
func NewForwarder(to string) (*Forwarder, error) { return startForwarder(&Forwarder{target: to}) }

func startForwarder(f *Forwarder) (*Forwarder, error) {
	var err error
	if f.listener, err = fleet.Listen(); err != nil {
		return nil, err
	}
	go f.accept()
	return f, nil
}

// Address returns the address at which the forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// accept forwards new connections until the listener is closed.
func (f *Forwarder) accept() {
	for {
		client, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(client)
	}
}

// forward connects a client to the target and copies bytes both ways until the connection ends. It first waits for the
// partition that the connection crosses, or closes the connection if the partition refuses it.
func (f *Forwarder) forward(client net.Conn) {
	conn := &forwardedConn{client: client}
	handshake, err := f.findPartition(conn)
	if err != nil || !conn.partition.admitConnection() {
		client.Close()
		return
	}
	if conn.server, err = net.Dial("tcp", f.target); err != nil {
		client.Close()
		return
	}
	f.mu.Lock()
	f.connections = append(f.connections, conn)
	f.mu.Unlock()
	_, _ = conn.server.Write(handshake) // if this fails, so does the next write
	go conn.copyBytes(conn.server, client)
	conn.copyBytes(client, conn.server)
}

// findPartition sets conn.partition if the connection crosses the partition. It returns the handshake that it read from
// the client to find the sending node, which the target still has to receive.
func (f *Forwarder) findPartition(conn *forwardedConn) ([]byte, error) {
	if f.crossesPartition == nil {
		conn.partition = f.partition
		return nil, nil
	}
	node, handshake, err := readHandshake(conn.client)
	if err == nil && f.crossesPartition(node) {
		conn.partition = f.partition
	}
	return handshake, err
}

// copyBytes copies bytes from one side to the other until the first side closes, and then closes both. During a
// partition it waits. Once the connection is silent, it drops the bytes and leaves both sides open.
func (c *forwardedConn) copyBytes(to, from net.Conn) {
	_, _ = io.Copy(writerFunc(func(bytes []byte) (int, error) {
		c.partition.waitUntilEnded()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.silent {
			return len(bytes), nil
		}
		return to.Write(bytes)
	}), from)
	c.partition.waitUntilEnded()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent {
		c.close()
	}
}

type writerFunc func([]byte) (int, error)

func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

func (c *forwardedConn) close() {
	c.client.Close()
	c.server.Close()
}

// Silence makes the open connections drop all further bytes without closing, and returns their number. New connections
// work normally.
func (f *Forwarder) Silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.connections {
		conn.mu.Lock()
		conn.silent = true
		conn.mu.Unlock()
	}
	return len(f.connections)
}

// Cut closes the open connections. New connections work normally.
func (f *Forwarder) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.connections {
		conn.close()
	}
	f.connections = nil
}

// cutCrossing closes the open connections that cross the partition.
func (f *Forwarder) cutCrossing() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conn := range f.connections {
		if conn.partition != nil {
			conn.close()
		}
	}
}

// Close closes the listener and all open connections.
func (f *Forwarder) Close() {
	f.listener.Close()
	f.Cut()
}
