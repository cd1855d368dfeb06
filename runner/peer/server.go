// Package peer carries calls and control messages between nodes with net/rpc.
//
// A connection starts with a preface and a hello in each direction; both sides then exchange gob
// messages in frames of bounded size. Each peer has one connection for control messages, one for calls
// and one for calls with long bodies.
package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	// maxConnections bounds the connections that peers may open to a node.
	maxConnections = 8192
	// maxHandshakes bounds the handshakes that are served at a time. When a zone reconnects at once the
	// rest is told to come back later.
	maxHandshakes = 8
	// maxRefusals bounds the connections that are being told to come back later; beyond it they are
	// closed without a word.
	maxRefusals = 64
	// readTimeout ends a connection without a message. It is longer than the client's idle time-out, so
	// that the client, which knows that it has no call under way, closes first.
	readTimeout = idleTimeout + time.Minute
	// acceptRetryDelay keeps a listener that has run out of file descriptors from spinning.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler serves what peers ask for. Its methods block until the answer is known.
type Handler interface {
	// Forward serves a call. Gone is closed when the connection ends on which the call came.
	Forward(newInput func(reducer.Handle) reducer.ForwardArrived, request *traffic.Request, disconnected <-chan struct{}) (reducer.AnswerForward, *traffic.Response)
	Settle(newInput func(reducer.Handle) reducer.SettleArrived) (reducer.AnswerSettle, *traffic.Response)
	HandOver(records []reducer.KeyRecord, responses []*traffic.Response) bool
	Post(input reducer.Input) bool
}

// Server accepts connections of peers.
type Server struct {
	self       Identity
	handler    Handler
	logger     log.Logger
	observer   Observer
	listener   net.Listener
	logLimiter logLimiter
	handshakes chan struct{}
	refusals   chan struct{}
	calls      inflight // of peers, with an answer still to be written

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	goroutines sync.WaitGroup
}

// NewServer returns a server on a listener. The observer may be nil.
func NewServer(self Identity, listener net.Listener, handler Handler, logger log.Logger, observer Observer) *Server {
	if observer == nil {
		observer = nopObserver{}
	}
	return &Server{
		self: self, handler: handler, logger: logger, observer: observer, listener: listener,
		handshakes: make(chan struct{}, maxHandshakes), refusals: make(chan struct{}, maxRefusals),
		conns: map[net.Conn]struct{}{},
	}
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			level.Warn(s.logger).Log("msg", "peer connection cannot be accepted", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
	}
}

// accept hands a connection to a goroutine when a handshake can be served now, and refuses it otherwise.
func (s *Server) accept(conn net.Conn) {
	if !s.track(conn) {
		s.observer.PeerRefused("connections")
		conn.Close()
		return
	}
	select {
	case s.handshakes <- struct{}{}:
		go s.serve(conn)
		return
	default:
	}
	s.observer.PeerRefused(busyRefusal)
	select {
	case s.refusals <- struct{}{}:
		go s.refuseBusy(conn)
	default:
		s.untrack(conn)
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	s.goroutines.Add(1)
	return true
}

func (s *Server) untrack(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.goroutines.Done()
}

// Drain waits until the calls of peers that are under way have their answers written.
func (s *Server) Drain(ctx context.Context) error { return s.calls.wait(ctx) }

// Close stops accepting, ends all connections and waits for their goroutines.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// refuseBusy tells a peer to come back later. It reads the hello first: closing a socket with unread
// bytes resets the connection, and the answer could be lost.
func (s *Server) refuseBusy(conn net.Conn) {
	defer s.untrack(conn)
	defer func() { <-s.refusals }()
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	if _, err := readHello(bufio.NewReader(conn)); err != nil {
		return
	}
	answer := s.self.hello(ClassControl)
	answer.Refusal = busyRefusal
	_, _ = writeHello(conn, answer) // the peer sees an error all the same
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	// Bytes are counted from the hello on, which tells the class. The reader has to be made on the observed
	// connection, or requests are not counted.
	observed := &observedConn{Conn: conn, observer: s.observer}
	peer, r, err := s.handshake(observed)
	<-s.handshakes
	if err != nil {
		s.recordRefusal(conn, err)
		return
	}
	class := Class(peer.Class)
	server := rpc.NewServer()
	disconnected := make(chan struct{})
	service := &service{
		peer: peer.peerRef(), version: s.self.negotiateVersion(peer), handler: s.handler, maxResponseBytes: class.maxResponseBytes(), disconnected: disconnected,
	}
	if err := server.RegisterName("Peer", service); err != nil {
		panic(err) // the service has the methods that net/rpc expects
	}
	observed.class = class.String()
	hooks := s.newHooks(conn, sync.OnceFunc(func() { close(disconnected) }))
	if class == ClassControl {
		hooks.onSent, hooks.onReceived = s.observer.MessageOut, s.observer.MessageIn
	}
	codec := newCodec(observed, r, class.maxRequestBytes(), class.maxResponseBytes(), hooks)
	if s.self.omitsTypeStream(peer, class) {
		codec.skipTypeStream()
	}
	server.ServeCodec(codec)
}

// newHooks returns the newHooks of a connection: calls are counted until their answer is written, and gone is
// called when the connection has ended.
func (s *Server) newHooks(conn net.Conn, onDisconnect func()) codecHooks {
	count := func(n int) func(string) {
		return func(method string) {
			if method == "Peer.Forward" || method == "Peer.Settle" {
				s.calls.add(n)
			}
		}
	}
	return codecHooks{
		onRequest: count(1), onResponse: count(-1), readTimeout: readTimeout,
		onReadError: func(err error) {
			onDisconnect()
			if isProtocolError(err) {
				s.recordRefusal(conn, err)
			}
		},
	}
}

// isProtocolError reports whether a connection ended because of what the peer sent, not because it closed.
func isProtocolError(err error) bool {
	var network net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) &&
		!errors.As(err, &network)
}

// recordRefusal counts a peer that was recordRefusal or disconnected, and logs it.
func (s *Server) recordRefusal(conn net.Conn, err error) {
	reason := "garbage"
	var refusal *refusalError
	var network net.Error
	switch {
	case errors.As(err, &refusal):
		reason = refusal.reason
	case errors.Is(err, ErrFrameTooLarge):
		reason = "frame"
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.As(err, &network):
		reason = "handshake" // the connection ended or stayed silent
	}
	s.observer.PeerRefused(reason)
	if s.logLimiter.allow(conn.RemoteAddr(), time.Now()) {
		level.Warn(s.logger).Log("msg", "peer refused", "from", conn.RemoteAddr(), "reason", reason, "err", err)
	}
}

func (s *Server) handshake(conn net.Conn) (hello, *bufio.Reader, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return hello{}, nil, err
	}
	r := bufio.NewReader(conn)
	peer, err := readHello(r)
	if err != nil {
		return hello{}, nil, err
	}
	answer := s.self.hello(Class(peer.Class))
	refusal := s.self.checkHello(peer)
	if refusal != nil {
		answer.Refusal = refusal.text
	}
	if _, err := writeHello(conn, answer); err != nil {
		return hello{}, nil, err
	}
	if refusal != nil {
		return hello{}, nil, refusal
	}
	return peer, r, conn.SetDeadline(time.Time{})
}

// service is the receiver of the RPCs of one connection.
type service struct {
	peer             reducer.PeerRef
	version          uint32 // protocol version of the connection
	handler          Handler
	maxResponseBytes int // bound of the frame of an answer
	disconnected     <-chan struct{}
}

// Forward serves a call that the peer forwards.
func (s *service) Forward(args *ForwardArgs, reply *Answer) error {
	answer, response := s.handler.Forward(args.toInput, args.toRequest(), s.disconnected)
	reply.Outcome, reply.Reason, reply.Load = uint8(answer.Outcome), uint8(answer.Reason), wireLoad(answer.Load)
	reply.RetriesUsed = answer.RetriesUsed
	reply.Took = int64(answer.Took)
	reply.Status = answer.Status
	reply.setResponse(response)
	reply.truncateTo(s.maxResponseBytes)
	return nil
}

// Settle answers with the outcome of a call.
func (s *service) Settle(args *SettleArgs, reply *Answer) error {
	answer, response := s.handler.Settle(args.toInput)
	reply.Outcome, reply.Reason, reply.Load = uint8(answer.Outcome), uint8(answer.Reason), wireLoad(answer.Load)
	reply.Status = answer.Status
	reply.setResponse(response)
	reply.truncateTo(s.maxResponseBytes)
	return nil
}

// Cancel gives up a call.
func (s *service) Cancel(args *CancelArgs, _ *Empty) error {
	s.handler.Post(reducer.CancelArrived{ID: args.ID.toCallID()})
	return nil
}

// Notify takes a control message. One that cannot be read is an error for the peer, which notes it as a message
// that was not delivered.
func (s *service) Notify(args *ControlArgs, _ *Empty) error {
	message, err := args.toMessage()
	if message != nil && err == nil {
		s.handler.Post(reducer.PeerMessage{From: s.peer, Message: message})
	}
	return err
}

// Ping answers that the connection is alive.
func (s *service) Ping(*Empty, *Empty) error { return nil }
