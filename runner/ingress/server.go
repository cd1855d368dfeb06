// Package ingress serves callers over HTTP. One goroutine per request does its I/O and performs the effects that the
// reducer sends to its mailbox.
package ingress

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Limits on the resources that callers can use.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second // for headers and body, so that a slow caller does not hold a connection
	// WriteTimeout limits the time from the headers of a request to the end of its response. It allows for the
	// longest call and for a caller that reads slowly.
	WriteTimeout   = 90 * time.Second
	idleTimeout    = 2 * time.Minute
	maxConnections = 4096
	// maxConnectionsPerIP prevents one caller from taking all connections. Half of them leaves enough room for the
	// backend server beside the node, which is the caller with the most calls.
	maxConnectionsPerIP = maxConnections / 2
)

// ControlThread accepts events.
type ControlThread interface {
	// PostArrival passes the event of a new call. It returns false if the call must be refused.
	PostArrival(input reducer.Input) bool
	// Post passes any other event. It returns false if the control thread has ended.
	Post(input reducer.Input) bool
	// Done is closed when the control thread has ended.
	Done() <-chan struct{}
}

// Forwarder forwards calls to other nodes.
type Forwarder interface {
	Forward(ctx context.Context, f reducer.Forward, request *traffic.Request) (reducer.ForwardDone, *traffic.Response)
	Probe(ctx context.Context, p reducer.Probe, request *traffic.Request) bool
	Settle(ctx context.Context, s reducer.Settle) (reducer.SettleDone, *traffic.Response)
}

// Options holds the dependencies of a Server.
type Options struct {
	Control   ControlThread
	Mailboxes *traffic.Mailboxes
	Responses *traffic.ResponseStore
	Forwarder Forwarder
	Backend   backend.Backend
	Front     frontend.FrontEnd // frontend.Native if nil
	Tracer    *telemetry.Tracer
	Logger    log.Logger
	Pacer     *link.Pacer         // of large responses; nil for none
	Workers   *traffic.Workers    // goroutines for outgoing requests; may be nil
	OnRefused func(reason string) // called for each connection or request that the server itself refuses; may be nil
}

// Server is the HTTP server for callers.
type Server struct {
	Options
	http             *http.Server
	starter          backend.Starter
	keepAliveStopped atomic.Bool

	mu        sync.Mutex
	listeners []*limitedListener
}

// NewServer returns a server that accepts no connections until Serve is called.
func NewServer(o Options) *Server {
	if o.Front == nil {
		o.Front = frontend.Native{}
	}
	if o.OnRefused == nil {
		o.OnRefused = func(string) {}
	}
	s := &Server{Options: o, starter: backend.Starter{Backend: o.Backend, Tracer: o.Tracer, Post: o.Control.Post, Workers: o.Workers}}
	s.http = &http.Server{
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      WriteTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         connState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog: stdlog.New(log.NewStdlibAdapter(level.Error(o.Logger)), "", 0),
	}
	return s
}

// Serve accepts connections on a listener until the listener or the server is closed, and then returns
// http.ErrServerClosed. It returns the error of an Accept that fails for another reason.
func (s *Server) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, maxConnections, maxConnectionsPerIP, s.OnRefused)
	limited.beginCall = s.beginPipelined
	s.mu.Lock()
	s.listeners = append(s.listeners, limited)
	s.mu.Unlock()
	err := s.http.Serve(limited)
	if errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// StopKeepAlive makes every further response close its connection, so that callers connect to another node. Idle
// connections stay open until their next response: a caller whose connection is closed while it sends a request
// cannot tell whether the request ran.
func (s *Server) StopKeepAlive() { s.keepAliveStopped.Store(true) }

// CloseListener stops accepting new connections. Open ones are closed after their next response.
func (s *Server) CloseListener() {
	s.StopKeepAlive()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		if err := listener.drain(); err != nil && !errors.Is(err, net.ErrClosed) {
			level.Warn(s.Logger).Log("msg", "callers can still connect to a closing listener", "err", err)
		}
	}
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error { return s.http.Close() }

// connKey is the key of the callerConn in the context of a request.
type connKey struct{}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var ahead *readAhead
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
		ahead = &conn.ahead
		defer ahead.endRequest()
	}
	call, behind := ahead.beginRequest(r)
	// Calls that were begun early get their responses on this connection before it is closed.
	if s.keepAliveStopped.Load() && behind == 0 {
		w.Header().Set("Connection", "close")
	}
	if call != nil {
		a := awaitPipelined(r.Context(), call)
		defer call.cancel()
		if !a.postponed {
			s.writeAnswer(w, r, a)
			return
		}
	}
	s.writeAnswer(w, r, s.serveCall(w, r))
}

// answer is how a call of a caller ended: with a response of the backend server, with a failure or with an invalid
// request.
type answer struct {
	postponed  bool              // the call was not begun and must be begun again when its turn comes
	badRequest error             // the request is invalid; failure has the outcome
	delivered  bool              // the backend server responded
	id         reducer.CallID    // of a delivered response
	response   *traffic.Response // nil if the response is no longer kept
	failure    reducer.FailCall  // unless the call was postponed or delivered
	// release ends the attempts of the call and releases the rest of the response. It is nil if there is nothing to end.
	release context.CancelFunc
}

// serveCall has a call decided and returns its answer. A nil w means that the call is begun before the requests ahead of
// it on its connection were answered.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) answer {
	mailbox := s.Mailboxes.Open()
	defer mailbox.Close()
	call, err := s.parseCall(mailbox.Handle, r)
	call.Pipelined = w == nil
	if err != nil {
		s.OnRefused(reasonBadRequest)
		return answer{badRequest: err, failure: reducer.FailCall{Outcome: call.RefusalOutcome()}}
	}
	traceCtx, span := s.Tracer.StartServerSpan(context.WithoutCancel(r.Context()), telemetry.SpanCall, r.Header)
	defer span.End()
	decision := s.Tracer.StartInternalSpan(traceCtx, telemetry.SpanDecision, time.Now())
	if !s.Control.PostArrival(call) {
		decision.End()
		s.OnRefused(reducer.ReasonOverloaded.String())
		return answer{failure: reducer.FailCall{Outcome: call.RefusalOutcome(), Reason: reducer.ReasonOverloaded}}
	}
	ctx, cancel := context.WithCancel(traceCtx)
	e := &exchange{
		server: s, w: w, r: r, mailbox: mailbox, ctx: ctx, results: make(chan attemptResult, maxPendingResults),
		callSpan: span, decisionSpan: decision, waitingSince: time.Now(),
	}
	a := e.run()
	if a.response == nil || a.response.Rest == nil {
		cancel()
	}
	a.release = cancel
	return a
}
