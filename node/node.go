// Package node builds a node from its settings: the control thread and the runners around it.
package node

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/internal/version"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/control"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/ingress"
	"github.com/rosemaryhatch/rosemaryhatch/runner/operator"
	"github.com/rosemaryhatch/rosemaryhatch/runner/peer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/store"
	"github.com/rosemaryhatch/rosemaryhatch/runner/target"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const (
	// closeTimeout bounds the wait for calls that the shutdown timeout left without a decision.
	closeTimeout = 10 * time.Second
	// writeTimeout bounds the wait for responses that are being written to slow callers; ingress bounds
	// each of them.
	writeTimeout = ingress.WriteTimeout
	// missedHeartbeats is how many registrations may be missing before the backend server counts as down.
	missedHeartbeats = 3
	// traceTimeout bounds the last export of spans.
	traceTimeout = 2 * time.Second
)

// Node is one node: its control thread and its runners.
type Node struct {
	settings  settings.Settings
	logger    log.Logger // puts node and zone on each line
	async     *telemetry.AsyncLogger
	metrics   *telemetry.Metrics
	tracer    *telemetry.Tracer
	callLines *telemetry.LineLimit
	state     *reducer.State
	thread    *control.Thread
	mailboxes *traffic.Mailboxes
	answers   *traffic.ResponseStore
	workers   *traffic.Workers
	backend   *backend.Runner
	peers     *peer.Client
	server    *peer.Server
	ingress   *ingress.Server
	store     *store.Runner
	register  *http.Server
	operator  *operator.Server
	listeners *Listeners
	stopped   chan struct{} // closed when the reducer ends the process
}

// New returns a node on open listeners that has not started. The node closes the listeners.
func New(s settings.Settings, listeners *Listeners, kv platform.Store, logger log.Logger) *Node {
	n := &Node{
		settings: s, listeners: listeners, metrics: telemetry.NewMetrics(), callLines: telemetry.NewLineLimit(),
		mailboxes: traffic.NewMailboxes(), answers: traffic.NewResponseStore(), workers: traffic.NewWorkers(), stopped: make(chan struct{}),
	}
	n.async = telemetry.NewAsyncLogger(logger, n.metrics.LogDropped)
	n.logger = log.With(n.async, "node", s.Node.ID, "zone", s.Node.Zone)
	n.thread = control.New(n.metrics.EventReduced)
	n.metrics.WatchQueue("arrivals", n.thread.Arrivals)
	n.metrics.WatchQueue("completions", n.thread.Completions)
	n.tracer = n.newTracer()
	incarnation := reducer.Incarnation(time.Now().UnixNano())
	n.state = reducer.New(n.config(incarnation))
	n.connect(incarnation, telemetry.CountStore(kv, n.metrics))
	return n
}

// newTracer returns the tracer of the settings. A node serves calls without traces when it cannot be made.
func (n *Node) newTracer() *telemetry.Tracer {
	tracer, err := telemetry.NewTracer(n.settings.Trace, n.settings.Node, func(err error) {
		n.metrics.SpansLost()
		level.Debug(n.logger).Log("msg", "spans cannot be exported", "err", err)
	})
	if err != nil {
		level.Error(n.logger).Log("msg", "traces are off", "err", err)
		return telemetry.NoTracer()
	}
	return tracer
}

func (n *Node) config(incarnation reducer.Incarnation) reducer.Config {
	s := n.settings
	limits := reducer.DefaultLimits()
	limits.MaxCalls, limits.MaxRecords = s.Limits.Calls, s.Limits.Records
	limits.MaxBodyBytes, limits.MaxQueuedBytes = s.Limits.BodyBytes, s.Limits.QueuedBytes
	return reducer.Config{
		Self: reducer.NodeID(s.Node.ID), Zone: s.Node.Zone, Address: s.Listen.PeerAddress(), Operator: s.Listen.Operator,
		Incarnation: incarnation, Seeds: s.Peers.Seeds, Discover: true, Limits: limits,
		Tunables: tunables(s),
	}
}

// tunables returns the settings that may change while the node runs.
func tunables(s settings.Settings) reducer.Tunables {
	return reducer.Tunables{
		ShutdownTimeout: s.Shutdown.Timeout, RegistrationTTL: missedHeartbeats * s.Backend.Heartbeat,
		RetryRatio: s.Retries.Ratio, RetrySlack: s.Retries.Slack,
	}
}

// Reload takes over changed settings. Those that only a restart can take over are named in the log and stay as they
// are.
func (n *Node) Reload(s settings.Settings) {
	for _, section := range n.settings.Fixed(s) {
		level.Warn(n.logger).Log("msg", "changed settings need a restart", "section", section)
	}
	TuneRuntime(s.Runtime)
	n.thread.Post(reducer.SettingsChanged{Tunables: tunables(s)})
	level.Info(n.logger).Log("msg", "settings reloaded", "retry_ratio", s.Retries.Ratio, "retry_slack", s.Retries.Slack,
		"heartbeat", s.Backend.Heartbeat, "shutdown_timeout", s.Shutdown.Timeout, "memory_bytes", s.Runtime.MemoryBytes)
}

// connect builds the runners around the control thread.
func (n *Node) connect(incarnation reducer.Incarnation, kv platform.Store) {
	s := n.settings
	self := peer.NewIdentity(s.Node.System, reducer.PeerRef{
		Node: reducer.NodeID(s.Node.ID), Address: s.Listen.PeerAddress(), Incarnation: incarnation,
	})
	front, source := frontend.FrontEnd(frontend.Native{}), platform.OwnSource()
	if s.Platform.Mode == settings.ModeHosted {
		front = hosted.FrontEnd{Service: s.Backend.Service}
		source = hosted.Source()
	}
	n.backend = backend.NewRunner(n.answers, front)
	n.peers = peer.NewClient(self, n.thread.Post, n.metrics)
	n.server = peer.NewServer(self, n.listeners.Peers, &target.Handler{
		Events: n.thread, Mailboxes: n.mailboxes, Responses: n.answers,
		Starter: backend.Starter{Backend: n.backend, Tracer: n.tracer, Post: n.thread.Post, Workers: n.workers},
		Tracer:  n.tracer, Logger: n.logger, LogLimit: n.callLines,
	}, n.logger, n.metrics)
	n.ingress = ingress.NewServer(ingress.Options{
		Events: n.thread, Mailboxes: n.mailboxes, Responses: n.answers, Forwarder: n.peers, Backend: n.backend,
		Front: front, Tracer: n.tracer, Logger: n.logger, Workers: n.workers, OnRefused: n.metrics.CallerRefused,
	})
	n.store = store.New(kv, source, n.thread.Post)
	registrations := backend.RegisterHandler(n.thread, n.mailboxes, backend.Expected{Service: s.Backend.Service, Address: s.Backend.Address})
	n.register = &http.Server{Handler: registrations, ReadTimeout: registerTimeout, WriteTimeout: registerTimeout}
	var err error
	if n.operator, err = operator.New(n.thread, n.mailboxes, n.metrics); err != nil {
		panic(err) // the endpoints are fixed, so building them either always works or never
	}
}

const registerTimeout = 5 * time.Second

// Run serves until a graceful shutdown has ended or the context does.
func (n *Node) Run(ctx context.Context) {
	threadCtx, stopThread := context.WithCancel(ctx)
	defer stopThread()
	go n.thread.Run(threadCtx, n.state, n)
	go n.server.Serve()
	go n.serve("callers", func() error { return n.ingress.Serve(n.listeners.Callers) })
	go n.serve("register", func() error { return n.register.Serve(n.listeners.Register) })
	go n.serve("operator", func() error { return n.operator.Serve(n.listeners.Operator) })
	level.Info(n.logger).Log("msg", "node started", "version", version.String())
	select {
	case <-n.stopped:
	case <-ctx.Done():
	}
	n.close(ctx, stopThread)
}

func (n *Node) serve(name string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed {
		level.Error(n.logger).Log("msg", "listener ended", "listener", name, "err", err)
	}
}

// Shutdown starts a graceful shutdown. From now on responses close their connection.
func (n *Node) Shutdown() {
	n.ingress.StopKeepAlive()
	n.thread.Post(reducer.ShutdownRequested{})
}

// close ends the runners: callers and peers first, so that responses already decided are still written.
// The context ends with a second signal, which ends all waiting.
func (n *Node) close(ctx context.Context, stopThread context.CancelFunc) {
	n.register.Close()
	n.finishCalls(ctx, closeTimeout)
	stopThread()
	<-n.thread.Done()
	n.finishCalls(ctx, writeTimeout) // calls without a decision have an unknown outcome now
	n.ingress.Close()
	n.peers.Close()
	n.server.Close()
	n.workers.Close()
	n.store.Close()
	n.operator.Close()
	traceCtx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	if err := n.tracer.Close(traceCtx); err != nil {
		level.Debug(n.logger).Log("msg", "last spans were not exported", "err", err)
	}
	n.async.Close()
}

// finishCalls waits until all responses are written, or for at most the bound.
func (n *Node) finishCalls(ctx context.Context, bound time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if err := n.ingress.Shutdown(ctx); err != nil {
		level.Warn(n.logger).Log("msg", "calls of callers are not finished", "err", err)
	}
	if err := n.server.Drain(ctx); err != nil {
		level.Warn(n.logger).Log("msg", "calls of peers are not finished", "err", err)
	}
}
