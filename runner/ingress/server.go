// Package ingress serves callers over HTTP. One goroutine per request does its I/O and follows the
// effects that the reducer sends to its mailbox.
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
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Bounds on what a caller can use up.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second // whole request, so that a slow caller frees its place
	// WriteTimeout bounds a request from its headers to the end of its response: the longest call and a
	// slow caller.
	WriteTimeout   = 90 * time.Second
	idleTimeout    = 2 * time.Minute
	maxConnections = 4096
	// maxConnectionsPerIP keeps one caller from taking all connections. Half leaves room for the backend
	// server beside the node, which is the caller with most calls.
	maxConnectionsPerIP = maxConnections / 2
)

// Events takes events for the control thread.
type Events interface {
	Arrive(input reducer.Input) bool
	Post(input reducer.Input) bool
	Done() <-chan struct{} // closed when the control thread has ended
}

// Forwarder sends calls to other nodes.
type Forwarder interface {
	Forward(ctx context.Context, f reducer.Forward, request *traffic.Request) (reducer.ForwardDone, *traffic.Response)
	Probe(ctx context.Context, p reducer.Probe, request *traffic.Request) bool
	Settle(ctx context.Context, s reducer.Settle) (reducer.SettleDone, *traffic.Response)
}

// Options are what a server works with.
type Options struct {
	Events    Events
	Mailboxes *traffic.Mailboxes
	Answers   *traffic.Answers
	Forwarder Forwarder
	Backend   backend.Backend
	Front     frontend.FrontEnd // the project's own when nil
	Tracer    *telemetry.Tracer
	Logger    log.Logger
	Workers   *traffic.Workers    // for requests that go out; may be nil
	Refused   func(reason string) // counts connections and requests refused here; may be nil
}

// Server serves callers.
type Server struct {
	Options
	http    *http.Server
	starter backend.Starter
	leaving atomic.Bool

	mu        sync.Mutex
	listeners []*limitedListener
}

// NewServer returns a server that has not started.
func NewServer(o Options) *Server {
	if o.Front == nil {
		o.Front = frontend.Native{}
	}
	if o.Refused == nil {
		o.Refused = func(string) {}
	}
	s := &Server{Options: o, starter: backend.Starter{Backend: o.Backend, Tracer: o.Tracer, Post: o.Events.Post, Workers: o.Workers}}
	s.http = &http.Server{
		Handler:           s,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      WriteTimeout,
		IdleTimeout:       idleTimeout,
		ConnState:         connState,
		ErrorLog:          stdlog.New(log.NewStdlibAdapter(level.Error(o.Logger)), "", 0),
	}
	return s
}

// Serve accepts callers on a listener until the listener or the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	limited := newLimitedListener(listener, maxConnections, maxConnectionsPerIP, s.Refused)
	s.mu.Lock()
	s.listeners = append(s.listeners, limited)
	s.mu.Unlock()
	err := s.http.Serve(limited)
	if errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// StopKeepAlive makes callers open their next connection elsewhere: every response closes its connection.
// Idle connections stay open until then, because a caller cannot tell a connection that is closed under
// its request from one that was lost.
func (s *Server) StopKeepAlive() { s.leaving.Store(true) }

// CloseListener stops taking new connections; open ones end after their call.
func (s *Server) CloseListener() {
	s.StopKeepAlive()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		if err := listener.finish(); err != nil && !errors.Is(err, net.ErrClosed) {
			level.Warn(s.Logger).Log("msg", "callers can still connect to a closing listener", "err", err)
		}
	}
}

// Close ends all connections.
func (s *Server) Close() error { return s.http.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	box := s.Mailboxes.Open()
	defer box.Close()
	arrived, err := s.arrival(box.Handle, r)
	if err != nil {
		s.Refused(reasonBadRequest)
		s.writeBadRequest(w, arrived.RefusalOutcome(), err)
		return
	}
	traced, span := s.Tracer.StartServerSpan(context.WithoutCancel(r.Context()), telemetry.SpanCall, r.Header)
	defer span.End()
	decision := s.Tracer.StartInternalSpan(traced, telemetry.SpanDecision, time.Now())
	if !s.Events.Arrive(arrived) {
		decision.End()
		s.Refused(reducer.ReasonOverloaded.String())
		s.writeRefusal(w, reducer.FailCall{Outcome: arrived.RefusalOutcome(), Reason: reducer.ReasonOverloaded})
		return
	}
	ctx, cancel := context.WithCancel(traced)
	defer cancel()
	e := &exchange{
		server: s, w: w, r: r, box: box, ctx: ctx, results: make(chan result, maxResults),
		span: span, decision: decision, waiting: time.Now(),
	}
	e.run()
}
