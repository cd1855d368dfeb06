package node

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// handOverRequestTimeout bounds the hand-over of one batch of records of idempotency keys. The reducer has its own
// bound for all batches together.
const handOverRequestTimeout = 4 * time.Second

// Perform implements control.Performer. It passes the effect to the runner that carries it out and does not block. It
// returns an event if a message to a peer cannot be queued, else nil, and panics if no runner handles the effect.
func (n *Node) Perform(effect reducer.Effect) reducer.Input {
	if e, ok := effect.(reducer.CallEffect); ok {
		n.mailboxes.Deliver(e)
		return nil
	}
	switch e := effect.(type) {
	case reducer.Cancel:
		n.peerClient.Cancel(e)
	case reducer.Send:
		if n.peerServer.DeliverGrant(e) {
			return nil
		}
		return n.peerClient.Send(e)
	case reducer.HandOver:
		go n.handOver(e)
	case reducer.DropResponse:
		n.responses.Drop(e.Call)
	case reducer.ConfigureBackend:
		n.backend.Configure(e)
	case reducer.CheckTables:
		go func() { n.thread.Post(e.Run()) }()
	case reducer.Publish:
		n.metrics.VersionPublished(e.Snapshot.ID().Number, time.Now())
		n.operator.Publish(e.Snapshot)
	case reducer.CallFinished:
		n.recordFinishedCall(e)
	case reducer.CallQueued:
		n.metrics.CallQueued(e)
	case reducer.QuotaStats:
		n.metrics.QuotaStats(e)
	case reducer.RolloutObserved:
		n.metrics.RolloutObserved(e)
	case reducer.Log:
		n.writeLog(e)
	case reducer.CloseListener:
		n.ingress.CloseListener()
	case reducer.StopProcess:
		close(n.stopped)
	default:
		if n.store.Perform(effect) {
			return nil
		}
		panic(fmt.Sprintf("node: effect %T has no runner", effect))
	}
	return nil
}

// handOver sends records of idempotency keys to the next owner of the keys and posts whether it accepted them.
func (n *Node) handOver(e reducer.HandOver) {
	ctx, cancel := context.WithTimeout(context.Background(), handOverRequestTimeout)
	defer cancel()
	n.thread.Post(reducer.HandOverDone{To: e.To, Accepted: n.peerClient.HandOver(ctx, e, n.responses.Get)})
}

// recordFinishedCall counts a call that a caller sent to this node, and logs it as far as the level of the log and
// callLogLimiter allow.
func (n *Node) recordFinishedCall(e reducer.CallFinished) {
	n.metrics.CallFinished(e)
	served := e.Outcome == reducer.OutcomeDone
	if served && !n.logsServed {
		return
	}
	if !n.callLogLimiter.Allow(time.Now(), served) {
		n.metrics.LogDropped()
		return
	}
	logger := level.Info(n.logger)
	if served {
		logger = level.Debug(n.logger)
	}
	logger.Log("msg", "call finished", "request", e.RequestID, "call", e.ID, "route", e.Route, "workspace", e.Workspace, "priority", e.Priority,
		"version", e.Version, "outcome", e.Outcome, "reason", e.Reason, "attempts", e.Attempts, "target", e.Target,
		"time_left", e.TimeLeft, "elapsed", e.Elapsed)
}

// writeLog writes a log line of the reducer. Lines about calls are subject to callLogLimiter.
func (n *Node) writeLog(e reducer.Log) {
	if e.PerCall && !n.callLogLimiter.Allow(time.Now(), false) {
		n.metrics.LogDropped()
		return
	}
	logger := map[reducer.LogLevel]func(log.Logger) log.Logger{
		reducer.LevelDebug: level.Debug, reducer.LevelInfo: level.Info,
		reducer.LevelWarn: level.Warn, reducer.LevelError: level.Error,
	}[e.Level](n.logger)
	pairs := []any{"msg", e.Message}
	for _, field := range e.Fields {
		pairs = append(pairs, field.Key, field.Value)
	}
	logger.Log(pairs...)
}
