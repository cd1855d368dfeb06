// Package backend sends requests to the backend server beside the node and takes its registrations.
package backend

import (
	"context"
	"sync/atomic"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// maxKeptBodyBytes is the largest response body that is kept to answer copies of a call.
const maxKeptBodyBytes = 64 << 10

// Runner implements Backend. It sends requests to the backend server that Configure sets.
type Runner struct {
	client    atomic.Pointer[Client]
	responses *traffic.ResponseStore
	front     frontend.FrontEnd
	control   ControlThread
	mailboxes *traffic.Mailboxes
}

// NewRunner returns a runner without a backend server. It puts the responses that are to be kept into the given store,
// and asks the control thread how much of a large response may be held.
func NewRunner(responses *traffic.ResponseStore, front frontend.FrontEnd, control ControlThread, mailboxes *traffic.Mailboxes) *Runner {
	return &Runner{responses: responses, front: front, control: control, mailboxes: mailboxes}
}

// Configure sets the address and the connection limit of the backend server. Requests in flight finish on their
// current connections.
func (r *Runner) Configure(c reducer.ConfigureBackend) {
	client := NewClient(c.Address, c.MaxConnections, r.front)
	client.newGrowth = func(call reducer.Handle, cut func()) *growth {
		return &growth{control: r.control, mailboxes: r.mailboxes, call: call, cut: cut}
	}
	old := r.client.Swap(client)
	if old != nil {
		old.Close()
	}
}

// Run sends a request to the backend server and returns the response, nil unless the result is BackendAnswered. A
// response that is to be kept is stored before Run returns, so that it can be found once the reducer knows of it.
func (r *Runner) Run(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	client := r.client.Load()
	if client == nil {
		return nil, reducer.BackendRequestDone{Call: start.Call, Result: reducer.BackendNotSent}
	}
	response, done := client.Do(ctx, start, request)
	if start.KeepResponse && response != nil {
		kept := responseToKeep(response)
		r.responses.Put(start.Call, kept)
		done.KeptBytes = int64(len(kept.Body))
	}
	return response, done
}

// responseToKeep returns the response, without its body if the body exceeds maxKeptBodyBytes.
func responseToKeep(response *traffic.Response) *traffic.Response {
	if len(response.Body) <= maxKeptBodyBytes {
		return response
	}
	return &traffic.Response{Status: response.Status, Header: response.Header, Truncated: true}
}
