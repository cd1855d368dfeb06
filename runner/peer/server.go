// Package peer carries calls and control messages between nodes with net/rpc.
//
// A connection starts with a preface and a hello in each direction; both sides then exchange gob
// messages in frames of bounded size. A node opens up to three connections to each peer: one for control
// messages, one for calls and one for calls with long bodies.
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
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	// maxConnections bounds the connections that peers may open to a node.
	maxConnections = 8192
	// maxHandshakes bounds the handshakes that are served at a time. When a zone reconnects at once, the other peers
	// are told to retry later.
	maxHandshakes = 8
	// maxRefusals bounds the connections that are being told to retry later. Further connections are closed without a
	// reply.
	maxRefusals = 64
	// readTimeout is the time without a message after which a connection is closed. It is longer than idleTimeout, so
	// that the client, which knows whether calls are under way, closes an idle connection first.
	readTimeout = idleTimeout + time.Minute
	// acceptRetryDelay keeps a listener from spinning while the process has no free file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// Handler serves the requests of peers. Its methods except Post block until the answer is known.
type Handler interface {
	// Forward serves a call. newInput returns the event for the call, given the handle that Forward chooses for it.
	// disconnected is closed when the connection ends on which the call arrived.
	Forward(newInput func(reducer.Handle) reducer.ForwardArrived, request *traffic.Request, disconnected <-chan struct{}) (reducer.AnswerForward, *traffic.Response)
	// OfferUpload decides whether the body of a call is sent to this node. newInput is used as for Forward.
	OfferUpload(newInput func(reducer.Handle) reducer.UploadOffered) reducer.AnswerUpload
	// Settle returns the outcome of a call. newInput is used as for Forward.
	Settle(newInput func(reducer.Handle) reducer.SettleArrived) (reducer.AnswerSettle, *traffic.Response)
	// HandOver takes over records, whose responses have the same indices, and reports whether it accepted them.
	HandOver(records []reducer.KeyRecord, responses []*traffic.Response) bool
	// Post passes an event to the control thread, and reports false when the thread has ended.
	Post(input reducer.Input) bool
}

// Server accepts connections of peers and serves their requests.
type Server struct {
	self       Identity
	handler    Handler
	logger     log.Logger
	observer   Observer
	listener   net.Listener
	logLimiter logLimiter
	handshakes chan struct{} // semaphore for maxHandshakes
	refusals   chan struct{} // semaphore for maxRefusals
	calls      inflight      // calls of peers whose answer has not been written, and streams
	streams    servedStreams
	uploads    uploads
	grants     pendingGrants
	pacer      *link.Pacer

	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	goroutines sync.WaitGroup
}

// NewServer returns a server on a listener. The observer may be nil.
func NewServer(self Identity, listener net.Listener, handler Handler, logger log.Logger, observer Observer) *Server {
	if observer == nil {
		observer = nopObserver{}
	}
	s := &Server{
		self: self, handler: handler, logger: logger, observer: observer, listener: listener,
		handshakes: make(chan struct{}, maxHandshakes), refusals: make(chan struct{}, maxRefusals),
		conns: map[net.Conn]struct{}{},
	}
	s.streams.onChange = s.calls.add
	return s
}

// SetPacer sets the pacer of large bodies. It must be called before Serve.
func (s *Server) SetPacer(pacer *link.Pacer) { s.pacer = pacer }

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

// accept serves a connection in its own goroutine, or refuses it when maxConnections or maxHandshakes is reached.
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

// track registers a connection, and reports false when there are maxConnections already.
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

// Drain waits until the answers to all calls of peers are written, or returns the context's error.
func (s *Server) Drain(ctx context.Context) error { return s.calls.wait(ctx) }

// Close stops accepting, closes all connections and waits for their goroutines.
func (s *Server) Close() {
	s.listener.Close()
	s.streams.closeAll()
	s.uploads.clear()
	s.mu.Lock()
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

// refuseBusy tells a peer to retry later. It reads the peer's hello first: closing a socket with unread bytes resets
// the connection, and the reply could be lost.
func (s *Server) refuseBusy(conn net.Conn) {
	defer s.untrack(conn)
	defer func() { <-s.refusals }()
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	if _, err := readHello(bufio.NewReader(conn)); err != nil {
		return
	}
	reply := s.self.hello(ClassControl)
	reply.Refusal = busyRefusal
	_, _ = writeHello(conn, reply) // when the write fails the peer sees an error as well
}

func (s *Server) serve(conn net.Conn) {
	defer s.untrack(conn)
	// Bytes are counted only after the handshake, because the hello names the class. All reads must go through the
	// observed connection, or requests would not be counted.
	observed := &observedConn{Conn: conn, raw: rawConnOf(conn), observer: s.observer}
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
		peer: peer.peerRef(), version: s.self.negotiateVersion(peer), handler: s.handler, maxResponseBytes: class.maxResponseBytes(), disconnected: disconnected, streams: &s.streams,
		uploads: &s.uploads, grants: &s.grants, pacer: s.pacer,
	}
	if err := server.RegisterName("Peer", service); err != nil {
		panic(err) // cannot fail: the service has the methods that net/rpc expects
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

// newHooks returns the codec hooks of an accepted connection. They count calls until their answer is written, and
// call onDisconnect when the connection has ended.
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

// isProtocolError reports whether a connection ended because of what the peer sent, not because it closed or failed.
func isProtocolError(err error) bool {
	var network net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) &&
		!errors.As(err, &network)
}

// recordRefusal counts a peer that was refused or disconnected, and logs it as far as logLimiter allows.
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
		reason = "handshake" // the connection ended or timed out before the end of the handshake
	}
	s.observer.PeerRefused(reason)
	if s.logLimiter.allow(conn.RemoteAddr(), time.Now()) {
		level.Warn(s.logger).Log("msg", "peer refused", "from", conn.RemoteAddr(), "reason", reason, "err", err)
	}
}

// handshake exchanges hellos with a peer. It returns the peer's hello and a reader for the messages that follow it.
func (s *Server) handshake(conn net.Conn) (hello, *bufio.Reader, error) {
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return hello{}, nil, err
	}
	r := bufio.NewReader(conn)
	peer, err := readHello(r)
	if err != nil {
		return hello{}, nil, err
	}
	reply := s.self.hello(Class(peer.Class))
	refusal := s.self.checkHello(peer)
	if refusal != nil {
		reply.Refusal = refusal.text
	}
	if _, err := writeHello(conn, reply); err != nil {
		return hello{}, nil, err
	}
	if refusal != nil {
		return hello{}, nil, refusal
	}
	return peer, r, conn.SetDeadline(time.Time{})
}

// service receives the RPCs of one connection. net/rpc calls its exported methods by name.
type service struct {
	peer             reducer.PeerRef
	version          uint32 // negotiated protocol version
	handler          Handler
	maxResponseBytes int // largest frame of an answer, in bytes without the frame header
	disconnected     <-chan struct{}
	streams          *servedStreams
	uploads          *uploads
	grants           *pendingGrants
	pacer            *link.Pacer
}

// Forward serves a call that the peer forwards.
func (s *service) Forward(args *ForwardArgs, reply *Answer) error {
	deadline := time.Now().Add(time.Duration(args.TimeLeft))
	if !s.takeUpload(args) {
		reply.Outcome, reply.Reason = uint8(reducer.OutcomeNotRun), uint8(reducer.ReasonPeerUnreachable)
		return nil
	}
	answer, response := s.handler.Forward(args.toInput, args.toRequest(), s.disconnected)
	reply.Outcome, reply.Reason, reply.Load = uint8(answer.Outcome), uint8(answer.Reason), wireLoad(answer.Load)
	reply.RetriesUsed = answer.RetriesUsed
	reply.Took = int64(answer.Took)
	reply.Status = answer.Status
	reply.setResponse(response)
	if !args.Streaming && len(reply.Body) <= link.LargeBytes {
		s.pacer.NoteSmall()
	}
	s.splitResponse(args, reply, response, deadline)
	reply.truncateTo(s.maxResponseBytes)
	return nil
}

// Settle replies with the outcome of a call.
func (s *service) Settle(args *SettleArgs, reply *Answer) error {
	answer, response := s.handler.Settle(args.toInput)
	reply.Outcome, reply.Reason, reply.Load = uint8(answer.Outcome), uint8(answer.Reason), wireLoad(answer.Load)
	reply.Status = answer.Status
	reply.setResponse(response)
	reply.truncateTo(s.maxResponseBytes)
	return nil
}

// Cancel reports to the handler that no response to a call is needed any more.
func (s *service) Cancel(args *CancelArgs, _ *Empty) error {
	s.handler.Post(reducer.CancelArrived{ID: args.ID.toCallID(), Attempt: args.Attempt})
	return nil
}

// Ping replies, which shows that the connection works.
func (s *service) Ping(*Empty, *Empty) error { return nil }
