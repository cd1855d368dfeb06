package backend

import (
	"context"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Backend sends a request to the backend server beside this node. Runner implements it.
type Backend interface {
	Run(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone)
}

// Starter carries out StartBackendRequest effects on behalf of the goroutines of calls.
type Starter struct {
	Backend Backend
	Tracer  *telemetry.Tracer
	Post    func(reducer.Input) bool
	Workers *traffic.Workers // may be nil
}

// Start sends a request in another goroutine and returns a function that aborts it. The request has been queued since
// queuedAt. BackendRequestDone is posted even after an abort, because the request occupies a slot until then. Start
// stores the response in *response before it posts the event; the caller may read it only when it has received an
// effect that results from the event. A streaming response is closed when ctx ends.
func (s Starter) Start(ctx context.Context, effect reducer.StartBackendRequest, request *traffic.Request, queuedAt time.Time, response **traffic.Response) context.CancelFunc {
	queueSpan := s.Tracer.StartInternalSpan(ctx, telemetry.SpanQueue, queuedAt)
	queueSpan.SetCall(effect.ID)
	queueSpan.End()
	owner := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.Workers.Go(func() {
		request, span := s.Tracer.StartClientSpan(ctx, telemetry.SpanBackend, request)
		defer span.End()
		span.SetCall(effect.ID)
		var done reducer.BackendRequestDone
		*response, done = s.Backend.Run(ctx, effect, request)
		if !done.Streaming {
			cancel()
			s.Post(done)
			return
		}
		rest := (*response).Rest
		context.AfterFunc(owner, rest.Close)
		s.Post(done)
		<-rest.Ended()
		cancel()
		s.Post(reducer.BackendStreamEnded{Call: effect.Call})
	})
	return cancel
}
