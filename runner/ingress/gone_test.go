package ingress

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// lateControl is a control thread that is behind: it decides on a call once the caller has left, and takes the event about
// that for one of a call that has ended.
type lateControl struct {
	mailboxes *traffic.Mailboxes
	forwards  bool // to another node, otherwise to the backend server
	done      chan struct{}

	mu      sync.Mutex
	arrived []reducer.Handle
	gone    int
	notSent int
}

func (l *lateControl) PostArrival(input reducer.Input) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived = append(l.arrived, input.(reducer.CallArrived).Call)
	return true
}

func (l *lateControl) Done() <-chan struct{} { return l.done }

func (l *lateControl) Post(input reducer.Input) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch in := input.(type) {
	case reducer.CallerGone:
		if l.gone++; l.gone == 1 {
			l.decide(in.Call)
			break
		}
		l.mailboxes.Deliver(reducer.FailCall{Call: in.Call, Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonCallerGone})
	case reducer.BackendRequestDone:
		if in.Result == reducer.BackendNotSent {
			l.notSent++
		}
	}
	return true
}

func (l *lateControl) decide(call reducer.Handle) {
	if l.forwards {
		l.mailboxes.Deliver(reducer.Forward{Call: call, Attempt: 1})
		return
	}
	l.mailboxes.Deliver(reducer.StartBackendRequest{Call: call})
}

// sentRequests counts the requests that are sent to backend servers and other nodes.
type sentRequests struct{ count chan string }

func (s sentRequests) Run(_ context.Context, start reducer.StartBackendRequest, _ *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	s.count <- "backend server"
	return nil, reducer.BackendRequestDone{Call: start.Call, Result: reducer.BackendFailed}
}

func (s sentRequests) Forward(_ context.Context, f reducer.Forward, _ *traffic.Request) (reducer.ForwardDone, *traffic.Response) {
	s.count <- "node"
	return reducer.ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: reducer.ForwardLost}, nil
}

func (s sentRequests) Probe(context.Context, reducer.Probe, *traffic.Request) bool { return true }

func (s sentRequests) Settle(context.Context, reducer.Settle) (reducer.SettleDone, *traffic.Response) {
	return reducer.SettleDone{}, nil
}

// Guards against a request that is sent on although its caller has left: the event that says so had overtaken the arrival of
// the call, which waits behind all other events of a busy control thread.
func TestRequestOfALostCallerIsNotSentOn(t *testing.T) {
	for _, forwards := range []bool{false, true} {
		listener, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sent := sentRequests{make(chan string, 1)}
		control := &lateControl{mailboxes: traffic.NewMailboxes(), forwards: forwards, done: make(chan struct{})}
		server := NewServer(Options{
			Control: control, Mailboxes: control.mailboxes, Responses: traffic.NewResponseStore(), Backend: sent, Forwarder: sent,
			Tracer: telemetry.NewNoopTracer(), Logger: log.NewNopLogger(),
		})
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "GET /r HTTP/1.1\r\nHost: h\r\n\r\n")
		control.await(t, "arrival of the call", func() bool { return len(control.arrived) == 1 })
		conn.Close()
		control.await(t, "second report that the caller has left", func() bool { return control.gone == 2 })
		if !forwards {
			control.await(t, "end of the request that was not sent", func() bool { return control.notSent == 1 })
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		if err := server.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		cancel()
		server.Close()
		if err := <-served; err != http.ErrServerClosed {
			t.Error(err)
		}
		select {
		case to := <-sent.count:
			t.Errorf("the request was sent to a %s", to)
		default:
		}
	}
}

// await waits until a condition holds.
func (l *lateControl) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		ok := holds()
		l.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no %s", what)
		}
	}
}
