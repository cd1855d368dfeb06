package backend

import (
	"context"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Backend sends one request to the backend server beside this node; Runner is one.
type Backend interface {
	Run(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone)
}

// Starter starts requests to the backend server for the goroutines of calls.
type Starter struct {
	Backend Backend
	Tracer  *telemetry.Tracer
	Post    func(reducer.Input) bool
	Workers *traffic.Workers // may be nil
}

// Start sends a request in another goroutine and returns what aborts it. The request has waited in the queue since
// the given time. Its end is reported even when nobody waits for it any more, because it holds a slot. The
// response is stored before the event is posted, and must be read only after an effect that follows the event.
func (s Starter) Start(ctx context.Context, effect reducer.StartBackendRequest, request *traffic.Request, since time.Time, response **traffic.Response) context.CancelFunc {
	queued := s.Tracer.Inner(ctx, telemetry.SpanQueue, since)
	queued.Call(effect.ID)
	queued.End()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.Workers.Go(func() {
		defer cancel()
		request, span := s.Tracer.Client(ctx, telemetry.SpanBackend, request)
		defer span.End()
		span.Call(effect.ID)
		var done reducer.BackendRequestDone
		*response, done = s.Backend.Run(ctx, effect, request)
		s.Post(done)
	})
	return cancel
}
