package peer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Guards against a call that is sent on after its caller has left or its time is over, because it waited for its turn on a
// connection whose peer reads slowly, and against a target that is told the time from before that wait.
func TestCallThatWaitedIsSentOnlyWithItsCallerAndTime(t *testing.T) {
	for _, c := range []struct {
		name         string
		leaves       bool
		left, waited time.Duration
		due          time.Duration
		sent         bool
	}{
		{"its caller waits", false, time.Second, 300 * time.Millisecond, 300 * time.Millisecond, true},
		{"its caller has left", true, time.Second, 0, 0, false},
		{"its time is over", false, 200 * time.Millisecond, 300 * time.Millisecond, 0, false},
	} {
		here, there := net.Pipe()
		received := make(chan *ForwardArgs, 1)
		go func() {
			defer close(received)
			var header rpc.Request
			server, args := newCodec(there, bufio.NewReader(there), 1<<20, 1<<20, codecHooks{}), &ForwardArgs{}
			if server.ReadRequestHeader(&header) == nil && server.ReadRequestBody(args) == nil {
				received <- args
			}
		}()
		ctx, leave := context.WithCancel(context.Background())
		args := wireForward(ctx, reducer.Forward{TimeLeft: c.left, DueIn: c.due}, postRequest(1))
		args.timeAt = args.timeAt.Add(-c.waited)
		if c.leaves {
			leave()
		}
		client := newCodec(here, bufio.NewReader(here), 1<<20, 1<<20, codecHooks{})
		err := client.WriteRequest(&rpc.Request{ServiceMethod: "Peer.Forward"}, args)
		if c.sent != (err == nil) || !c.sent && !errors.Is(err, context.Canceled) || args.maybeSent.Load() != c.sent {
			t.Errorf("%s: error %v, may have been sent %v", c.name, err, args.maybeSent.Load())
		}
		here.Close()
		got := <-received
		if (got != nil) != c.sent {
			t.Errorf("%s: received %v, expected %v", c.name, got != nil, c.sent)
		}
		if got != nil && (got.TimeLeft > int64(c.left-c.waited) || got.DueIn >= 0) {
			t.Errorf("%s: the target is told %v, due in %v, after a wait of %v", c.name, time.Duration(got.TimeLeft), time.Duration(got.DueIn), c.waited)
		}
		leave()
	}
}

// Guards against a cancellation that waits behind control messages to a peer that does not reply.
func TestCancellationDoesNotWaitForReplies(t *testing.T) {
	handler := &slowControl{notified: make(chan struct{}, 1), release: make(chan struct{}), cancelled: make(chan struct{}, 1)}
	f := startPair(t, identity("a"), identity("b"), handler)
	t.Cleanup(func() { close(handler.release) })
	f.client.Send(reducer.Send{To: f.to, Message: reducer.Heartbeat{}})
	<-handler.notified
	f.client.Cancel(reducer.Cancel{To: f.to, Attempt: 1})
	select {
	case <-handler.cancelled:
	case <-time.After(controlTimeout / 2):
		t.Error("the cancellation waits for the reply to the message before")
	}
}

// Guards against a cancellation that is lost with its connection, so that the target works on for a caller that has left.
func TestCancellationSurvivesAReset(t *testing.T) {
	handler := &resettingControl{arrived: make(chan reducer.CancelArrived, 2)}
	f := startPair(t, identity("a"), identity("b"), handler)
	handler.reset = sync.OnceFunc(func() { f.conn(ClassControl).rpc.Close() })
	f.client.Cancel(reducer.Cancel{To: f.to, Attempt: 7})
	for range 2 {
		select {
		case got := <-handler.arrived:
			if got.Attempt != 7 {
				t.Errorf("attempt %d is cancelled, expected 7", got.Attempt)
			}
		case <-time.After(2 * controlTimeout):
			t.Fatal("the cancellation is not sent again")
		}
	}
}

// resettingControl is a handler whose connection is reset as the first cancellation arrives.
type resettingControl struct {
	echoHandler
	reset   func()
	arrived chan reducer.CancelArrived
}

// Post implements Handler.
func (r *resettingControl) Post(input reducer.Input) bool {
	if in, ok := input.(reducer.CancelArrived); ok {
		r.reset()
		r.arrived <- in
	}
	return true
}

// Guards against calls that the kernel goes on sending after their connection was given up: a peer that reads again, or is
// reached again, would begin them long after their callers have left.
func TestUnsentCallsAreDroppedWithTheirConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := NewServer(identity("b"), listener, &echoHandler{}, log.NewNopLogger(), nil)
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, _, err := server.handshake(&observedConn{Conn: conn, observer: nopObserver{}}); err == nil {
			accepted <- conn // not read from here on
		}
	}()
	client := NewClient(identity("a"), func(reducer.Input) bool { return true }, nil)
	defer client.Close()
	const calls = 600 // more than the kernel takes for a peer that does not read
	to, request := reducer.PeerRef{Address: listener.Addr().String()}, postRequest(maxCallBodyBytes)
	ended := make(chan reducer.ForwardDone, calls)
	for range calls {
		go func() {
			done, _ := client.Forward(context.Background(), reducer.Forward{To: to, TimeLeft: time.Minute}, request)
			ended <- done
		}()
	}
	conn := <-accepted
	defer conn.Close()
	if client.Probe(context.Background(), reducer.Probe{To: to, Timeout: 100 * time.Millisecond}, request) {
		t.Fatal("a peer that does not read answered a probe")
	}
	if done := <-ended; done.Result == reducer.ForwardAnswered {
		t.Errorf("a call was answered by a peer that does not read")
	}
	if _, err := io.Copy(io.Discard, conn); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, expected a reset that drops what was not received", err)
	}
}

// slowControl is a handler that does not reply to control messages until release is closed.
type slowControl struct {
	echoHandler
	notified, cancelled, release chan struct{}
}

// Post implements Handler.
func (s *slowControl) Post(input reducer.Input) bool {
	switch input.(type) {
	case reducer.PeerMessage:
		s.notified <- struct{}{}
		<-s.release
	case reducer.CancelArrived:
		s.cancelled <- struct{}{}
	}
	return true
}
