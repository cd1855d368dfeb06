// Package node assembles a node from its settings: the control thread, which runs the reducer, and the runners, which
// carry out its effects.
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
	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/control"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/ingress"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/runner/operator"
	"github.com/rosemaryhatch/rosemaryhatch/runner/peer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/store"
	"github.com/rosemaryhatch/rosemaryhatch/runner/target"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const (
	// decisionTimeout bounds the wait for calls that are still undecided when the shutdown timeout expires.
	decisionTimeout = 10 * time.Second
	// writeTimeout bounds the wait for responses to slow callers. It equals the bound that ingress sets on each
	// request.
	writeTimeout = ingress.WriteTimeout
	// maxMissedHeartbeats is the TTL of a registration in heartbeat intervals. A backend server that does not register
	// for that long is considered down.
	maxMissedHeartbeats = 3
	// spanExportTimeout bounds the final export of spans when the node stops.
	spanExportTimeout = 2 * time.Second
)

// Node is a node of the mesh: its control thread and its runners.
type Node struct {
	settings       settings.Settings
	logger         log.Logger // drops lines below the level of the settings, adds the node ID and the zone to the others
	asyncLogger    *telemetry.AsyncLogger
	metrics        *telemetry.Metrics
	tracer         *telemetry.Tracer
	callLogLimiter *telemetry.LogLimiter
	logsServed     bool // lines about calls that were served are written
	state          *reducer.State
	thread         *control.Thread
	mailboxes      *traffic.Mailboxes
	responses      *traffic.ResponseStore
	workers        *traffic.Workers
	backend        *backend.Runner
	peerClient     *peer.Client
	peerServer     *peer.Server
	ingress        *ingress.Server
	store          *store.Runner
	registerServer *http.Server
	operator       *operator.Server
	listeners      *Listeners
	stopped        chan struct{} // closed by the StopProcess effect
}

// New builds a node without starting it. The node takes over the open listeners and closes them when it stops.
func New(s settings.Settings, listeners *Listeners, kv platform.Store, logger log.Logger) *Node {
	n := &Node{
		settings: s, listeners: listeners, metrics: telemetry.NewMetrics(), callLogLimiter: telemetry.NewLogLimiter(),
		mailboxes: traffic.NewMailboxes(), responses: traffic.NewResponseStore(), workers: traffic.NewWorkers(), stopped: make(chan struct{}),
	}
	n.asyncLogger = telemetry.NewAsyncLogger(logger, n.metrics.LogDropped)
	allowed := level.ParseDefault(s.Log.Level, level.DebugValue()) // settings that a program builds may have no level
	n.logsServed = allowed == level.DebugValue()
	n.logger = log.With(level.NewFilter(n.asyncLogger, level.Allow(allowed)), "node", s.Node.ID, "zone", s.Node.Zone)
	n.thread = control.New(n.metrics.EventReduced)
	n.metrics.RegisterQueueLength("arrivals", n.thread.QueuedArrivals)
	n.metrics.RegisterQueueLength("completions", n.thread.QueuedCompletions)
	n.tracer = n.newTracer()
	incarnation := reducer.Incarnation(time.Now().UnixNano())
	n.state = reducer.New(n.reducerConfig(incarnation))
	n.buildRunners(incarnation, telemetry.NewCountingStore(kv, n.metrics))
	return n
}

// newTracer returns a tracer for the trace settings. If it cannot be created, newTracer logs the error and returns a
// tracer that records nothing, so that the node still serves calls.
func (n *Node) newTracer() *telemetry.Tracer {
	tracer, err := telemetry.NewTracer(n.settings.Trace, n.settings.Node, func(err error) {
		n.metrics.SpanExportFailed()
		level.Debug(n.logger).Log("msg", "spans cannot be exported", "err", err)
	})
	if err != nil {
		level.Error(n.logger).Log("msg", "traces are off", "err", err)
		return telemetry.NewNoopTracer()
	}
	return tracer
}

func (n *Node) reducerConfig(incarnation reducer.Incarnation) reducer.Config {
	s := n.settings
	limits := reducer.DefaultLimits()
	limits.MaxCalls, limits.MaxRecords = s.Limits.Calls, s.Limits.Records
	limits.MaxBodyBytes, limits.MaxQueuedBytes = s.Limits.BodyBytes, s.Limits.QueuedBytes
	limits.MaxResponseBytes = s.Limits.ResponseBytes
	return reducer.Config{
		Self: reducer.NodeID(s.Node.ID), Zone: s.Node.Zone, Address: s.Listen.PeerAddress(), Operator: s.Listen.Operator,
		Incarnation: incarnation, Seeds: s.Peers.Seeds, Discover: true, Limits: limits,
		Tunables: tunables(s), LinkMbps: s.Instance.LinkMbps, LearnCapacity: s.Backend.LearnCapacity,
		Quotas:   quota.Limits{Window: s.Quotas.Window, Overage: s.Quotas.Overage, Slack: float64(s.Quotas.Slack)},
		Rollouts: rollout.Settings(s.Rollouts),
	}
}

// tunables returns the reducer's settings that can change while the node runs.
func tunables(s settings.Settings) reducer.Tunables {
	return reducer.Tunables{
		ShutdownTimeout: s.Shutdown.Timeout, RegistrationTTL: maxMissedHeartbeats * s.Backend.Heartbeat,
		RetryRatio: s.Retries.Ratio, RetrySlack: s.Retries.Slack,
	}
}

// Reload applies changed settings to the running node. Changed sections that need a restart are logged and keep their
// old values.
func (n *Node) Reload(s settings.Settings) {
	for _, section := range n.settings.SectionsNeedingRestart(s) {
		level.Warn(n.logger).Log("msg", "changed settings need a restart", "section", section)
	}
	TuneRuntime(s.Runtime)
	n.thread.Post(reducer.SettingsChanged{Tunables: tunables(s)})
	level.Info(n.logger).Log("msg", "settings reloaded", "retry_ratio", s.Retries.Ratio, "retry_slack", s.Retries.Slack,
		"heartbeat", s.Backend.Heartbeat, "shutdown_timeout", s.Shutdown.Timeout, "memory_bytes", s.Runtime.MemoryBytes)
}

// buildRunners creates the runners and connects them to the control thread.
func (n *Node) buildRunners(incarnation reducer.Incarnation, kv platform.Store) {
	s := n.settings
	self := peer.NewIdentity(s.Node.System, reducer.PeerRef{
		Node: reducer.NodeID(s.Node.ID), Address: s.Listen.PeerAddress(), Incarnation: incarnation,
	})
	front, source, rollouts := frontend.FrontEnd(frontend.Native{}), platform.OwnSource(), platform.OwnRollouts()
	if s.Platform.Mode == settings.ModeHosted {
		front = hosted.FrontEnd{Service: s.Backend.Service}
		source, rollouts = hosted.Source(), hosted.Rollouts()
	}
	n.backend = backend.NewRunner(n.responses, front, n.thread, n.mailboxes)
	n.peerClient = peer.NewClient(self, n.thread.Post, n.metrics)
	pacer := link.New(s.Instance.LinkMbps)
	n.peerClient.SetPacer(pacer)
	n.peerServer = peer.NewServer(self, n.listeners.Peers, &target.Handler{
		Control: n.thread, Mailboxes: n.mailboxes, Responses: n.responses,
		Starter: backend.Starter{Backend: n.backend, Tracer: n.tracer, Post: n.thread.Post, Workers: n.workers},
		Tracer:  n.tracer, Logger: n.logger, LogLimiter: n.callLogLimiter, LogServed: n.logsServed,
	}, n.logger, n.metrics)
	n.peerServer.SetPacer(pacer)
	n.metrics.RegisterLink(pacer.PacedBytes, pacer.WaitTime)
	n.ingress = ingress.NewServer(ingress.Options{
		Control: n.thread, Mailboxes: n.mailboxes, Responses: n.responses, Forwarder: n.peerClient, Backend: n.backend,
		Front: front, Tracer: n.tracer, Logger: n.logger, Workers: n.workers, Pacer: pacer, OnRefused: n.metrics.CallerRefused,
	})
	n.store = store.New(kv, source, rollouts, n.thread.Post)
	registrations := backend.RegisterHandler(n.thread, n.mailboxes, backend.Expected{
		Service: s.Backend.Service, Address: s.Backend.Address, Ordered: s.Platform.Mode == settings.ModeHosted,
	})
	n.registerServer = &http.Server{Handler: registrations, ReadTimeout: registerTimeout, WriteTimeout: registerTimeout}
	var err error
	if n.operator, err = operator.New(n.thread, n.mailboxes, n.metrics); err != nil {
		panic(err) // a programming error: the endpoints do not depend on the settings
	}
}

// registerTimeout bounds the reading of a registration, and the writing of its response.
const registerTimeout = 5 * time.Second

// Run starts the node and blocks until a graceful shutdown is complete or ctx is cancelled, then stops the runners.
func (n *Node) Run(ctx context.Context) {
	threadCtx, stopThread := context.WithCancel(ctx)
	defer stopThread()
	go n.thread.Run(threadCtx, n.state, n)
	go n.peerServer.Serve()
	go n.serveListener("callers", func() error { return n.ingress.Serve(n.listeners.Callers) })
	go n.serveListener("register", func() error { return n.registerServer.Serve(n.listeners.Register) })
	go n.serveListener("operator", func() error { return n.operator.Serve(n.listeners.Operator) })
	level.Info(n.logger).Log("msg", "node started", "version", version.String())
	select {
	case <-n.stopped:
	case <-ctx.Done():
	}
	n.close(ctx, stopThread)
}

func (n *Node) serveListener(name string, serve func() error) {
	if err := serve(); err != nil && err != http.ErrServerClosed {
		level.Error(n.logger).Log("msg", "listener ended", "listener", name, "err", err)
	}
}

// Shutdown starts a graceful shutdown and does not wait for its end. Each response from then on closes its connection.
func (n *Node) Shutdown() {
	n.ingress.StopKeepAlive()
	n.thread.Post(reducer.ShutdownRequested{})
}

// close stops the runners. It first waits for the calls of callers and peers, so that responses that are already
// decided are still written. An interrupt during the shutdown cancels ctx, which ends all waits.
func (n *Node) close(ctx context.Context, stopThread context.CancelFunc) {
	n.registerServer.Close()
	n.waitForCalls(ctx, decisionTimeout)
	stopThread()
	<-n.thread.Done()
	n.waitForCalls(ctx, writeTimeout) // without the control thread, undecided calls end with an unknown outcome
	n.ingress.Close()
	n.peerClient.Close()
	n.peerServer.Close()
	n.workers.Close()
	n.store.Close()
	n.operator.Close()
	traceCtx, cancel := context.WithTimeout(ctx, spanExportTimeout)
	defer cancel()
	if err := n.tracer.Close(traceCtx); err != nil {
		level.Debug(n.logger).Log("msg", "last spans were not exported", "err", err)
	}
	n.asyncLogger.Close()
}

// waitForCalls waits until all responses to callers and peers are written, the timeout expires or ctx is cancelled.
func (n *Node) waitForCalls(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := n.ingress.Shutdown(ctx); err != nil {
		level.Warn(n.logger).Log("msg", "calls of callers are not finished", "err", err)
	}
	if err := n.peerServer.Drain(ctx); err != nil {
		level.Warn(n.logger).Log("msg", "calls of peers are not finished", "err", err)
	}
}
