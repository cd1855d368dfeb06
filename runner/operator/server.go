// Package operator serves a node's HTTP endpoints for operators.
package operator

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/rosemaryhatch/rosemaryhatch/operator/nodestatus"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// statusTimeout limits the wait for the control thread.
	statusTimeout  = 2 * time.Second
	requestTimeout = 5 * time.Second
	maxHeaderBytes = 16 << 10
)

// ControlThread accepts events. Post returns false if the control thread has ended, and Done is closed then.
type ControlThread interface {
	Post(input reducer.Input) bool
	Done() <-chan struct{}
}

// Server serves the operator endpoints.
type Server struct {
	control   ControlThread
	mailboxes *traffic.Mailboxes
	metrics   *telemetry.Metrics
	active    atomic.Pointer[tables.Snapshot]
	http      *http.Server
}

// New returns a server that has not started.
func New(control ControlThread, mailboxes *traffic.Mailboxes, m *telemetry.Metrics) (*Server, error) {
	s := &Server{control: control, mailboxes: mailboxes, metrics: m}
	app := iris.New()
	app.Logger().SetLevel("disable") // iris would log to the process's output instead of the node's logger
	app.Get("/healthz", s.serveHealth)
	app.Get("/readyz", s.serveReadiness)
	app.Get("/status", s.serveStatus)
	app.Get("/tables", s.serveTables)
	app.Get("/metrics", s.serveMetrics)
	if err := app.Build(); err != nil {
		return nil, err
	}
	s.http = &http.Server{
		Handler: app, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s, nil
}

// Serve accepts connections on a listener until Close is called. It always returns an error.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

// Publish sets the active snapshot, which /tables returns.
func (s *Server) Publish(snapshot *tables.Snapshot) { s.active.Store(snapshot) }

// serveHealth returns status 200 unless the control thread has ended.
func (s *Server) serveHealth(ctx iris.Context) {
	select {
	case <-s.control.Done():
		reply(ctx, http.StatusServiceUnavailable, message{"the control thread has ended"})
	default:
		reply(ctx, http.StatusOK, message{"ok"})
	}
}

func (s *Server) serveReadiness(ctx iris.Context) {
	status, ok := s.requestStatus(ctx.Request().Context())
	switch {
	case !ok:
		reply(ctx, http.StatusServiceUnavailable, message{"the control thread does not answer"})
	case !status.Ready:
		reply(ctx, http.StatusServiceUnavailable, message{"not ready"})
	default:
		reply(ctx, http.StatusOK, message{"ready"})
	}
}

func (s *Server) serveStatus(ctx iris.Context) {
	status, ok := s.requestStatus(ctx.Request().Context())
	if !ok {
		reply(ctx, http.StatusServiceUnavailable, message{"the control thread does not answer"})
		return
	}
	reply(ctx, http.StatusOK, nodestatus.New(status))
}

func (s *Server) serveTables(ctx iris.Context) {
	snapshot := s.active.Load()
	if snapshot == nil {
		reply(ctx, http.StatusNotFound, message{"no version is active"})
		return
	}
	reply(ctx, http.StatusOK, snapshot.Document())
}

func (s *Server) serveMetrics(ctx iris.Context) {
	if status, ok := s.requestStatus(ctx.Request().Context()); ok {
		s.metrics.UpdateStatus(status)
	}
	ctx.ContentType(telemetry.ContentType)
	_ = s.metrics.WritePrometheus(ctx.ResponseWriter()) // fails only if the client has disconnected
}

// requestStatus requests the status from the control thread. It returns false if the control thread has ended or does
// not answer within statusTimeout.
func (s *Server) requestStatus(ctx context.Context) (reducer.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	mailbox := s.mailboxes.Open()
	defer mailbox.Close()
	if !s.control.Post(reducer.StatusRequested{Exchange: mailbox.Handle}) {
		return reducer.Status{}, false
	}
	select {
	case effect := <-mailbox.Effects:
		return effect.(reducer.AnswerStatus).Status, true // AnswerStatus is the only effect of this exchange
	case <-s.control.Done():
	case <-ctx.Done():
	}
	return reducer.Status{}, false
}

func reply(ctx iris.Context, code int, body any) {
	ctx.StatusCode(code)
	_ = ctx.JSON(body) // fails only if the client has disconnected
}
