// Package backend sends requests to the backend server beside the node and takes its registrations.
package backend

import (
	"context"
	"sync/atomic"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// keptAnswerBytes bounds the body of a response that is kept for later copies of a call.
const keptAnswerBytes = 64 << 10

// Runner carries out StartBackend effects.
type Runner struct {
	client  atomic.Pointer[Client]
	answers *traffic.ResponseStore
	front   frontend.FrontEnd
}

// NewRunner returns a runner that keeps responses in answers.
func NewRunner(answers *traffic.ResponseStore, front frontend.FrontEnd) *Runner {
	return &Runner{answers: answers, front: front}
}

// Configure replaces the client. Requests under way end on the old one.
func (r *Runner) Configure(c reducer.ConfigureBackend) {
	old := r.client.Swap(NewClient(c.Address, c.MaxConnections, r.front))
	if old != nil {
		old.Close()
	}
}

// Run sends a request to the backend server. A response that others may ask for is kept before Run
// returns, so that it can be found once the reducer knows of it.
func (r *Runner) Run(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	client := r.client.Load()
	if client == nil {
		return nil, reducer.BackendRequestDone{Call: start.Call, Result: reducer.BackendNotSent}
	}
	response, done := client.Do(ctx, start, request)
	if start.KeepResponse && response != nil {
		keep := kept(response)
		r.answers.Put(start.Call, keep)
		done.KeptBytes = int64(len(keep.Body))
	}
	return response, done
}

// kept returns what is kept of a response: all of a short one, the headers of a long one.
func kept(response *traffic.Response) *traffic.Response {
	if len(response.Body) <= keptAnswerBytes {
		return response
	}
	return &traffic.Response{Status: response.Status, Header: response.Header, Truncated: true}
}
