package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// testStream supplies parts and then ends with err. A part is supplied only when the test allows it, if allow is set.
type testStream struct {
	parts  [][]byte
	err    error
	allow  chan struct{}
	closed chan struct{}
}

func (s *testStream) Next(ctx context.Context) ([]byte, error) {
	if s.allow != nil {
		select {
		case <-s.allow:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if len(s.parts) == 0 {
		return nil, s.err
	}
	part := s.parts[0]
	s.parts = s.parts[1:]
	return part, nil
}

func (s *testStream) Close()                 { close(s.closed) }
func (s *testStream) Ended() <-chan struct{} { return s.closed }

// streamHandler answers calls to /long with a body and a stream, and others like echoHandler.
type streamHandler struct {
	echoHandler
	body   []byte
	stream *testStream
}

func (h *streamHandler) Forward(newInput func(reducer.Handle) reducer.ForwardArrived, request *traffic.Request, disconnected <-chan struct{}) (reducer.AnswerForward, *traffic.Response) {
	if request.URI != "/long" {
		return h.echoHandler.Forward(newInput, request, disconnected)
	}
	response := &traffic.Response{Status: http.StatusOK, Body: h.body, Length: -1}
	if h.stream != nil {
		response.Rest = h.stream
	}
	return reducer.AnswerForward{Outcome: reducer.OutcomeDone, Took: echoTook}, response
}

func forwardLong(f *fixture, timeLeft time.Duration) (reducer.ForwardDone, *traffic.Response) {
	forward := reducer.Forward{To: f.to, ID: reducer.CallID{Origin: "client", Seq: 1}, Attempt: 1, Streaming: true, TimeLeft: timeLeft}
	return f.client.Forward(context.Background(), forward, &traffic.Request{Method: "GET", URI: "/long"})
}

func pattern(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte(i * 7 >> 3)
	}
	return body
}

// Guards against parts of a response that are lost, repeated or in another order, and against a response that is handed on
// before it is complete although it is short enough to be replaced.
func TestLongResponseMovesInParts(t *testing.T) {
	whole := pattern(traffic.MaxWholeBodyBytes - 1)
	f := startPair(t, identity("client"), identity("target"), &streamHandler{body: whole})
	done, response := forwardLong(f, time.Minute)
	if done.Outcome != reducer.OutcomeDone || response == nil || response.Rest != nil || !bytes.Equal(response.Body, whole) {
		t.Fatalf("outcome %v, response of %d bytes", done.Outcome, len(response.Body))
	}
	long := pattern(2 * traffic.MaxWholeBodyBytes)
	stream := &testStream{parts: [][]byte{long[traffic.PartBytes+1 : traffic.MaxWholeBodyBytes], long[traffic.MaxWholeBodyBytes:]}, err: io.EOF, closed: make(chan struct{})}
	f = startPair(t, identity("client"), identity("target"), &streamHandler{body: long[:traffic.PartBytes+1], stream: stream})
	_, response = forwardLong(f, time.Minute)
	got := response.Body
	for response.Rest != nil {
		part, err := response.Rest.Next(context.Background())
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, part...)
	}
	if !bytes.Equal(got, long) {
		t.Errorf("%d bytes arrived, expected the same %d", len(got), len(long))
	}
	response.Discard()
	<-stream.closed // the target releases the response
}

// Guards against a response that broke off at the backend server and looks complete at the ingress node, or that is
// reported as done, so that it is not replaced by that of another attempt.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	for name, after := range map[string]int{"while it can be replaced": 2, "after its first part was delivered": 14} {
		parts := make([][]byte, after)
		for i := range parts {
			parts[i] = pattern(traffic.PartBytes)
		}
		stream := &testStream{parts: parts, err: errors.New("reset"), closed: make(chan struct{})}
		f := startPair(t, identity("client"), identity("target"), &streamHandler{body: pattern(10), stream: stream})
		done, response := forwardLong(f, time.Minute)
		if response == nil {
			if done.Outcome != reducer.OutcomeUnknown || done.Reason != reducer.ReasonBackendFailed || after > 12 {
				t.Errorf("%s: %+v", name, done)
			}
			continue
		}
		var err error
		for err == nil {
			_, err = response.Rest.Next(context.Background())
		}
		if err == io.EOF {
			t.Errorf("%s: a response that broke off looks complete", name)
		}
		response.Discard()
	}
}

// Guards against a caller that reads slowly and holds up other calls on the same connection, and against a response that is
// kept after the time of its call.
func TestSlowStreamHoldsUpNobody(t *testing.T) {
	stream := &testStream{parts: [][]byte{pattern(100)}, err: io.EOF, allow: make(chan struct{}), closed: make(chan struct{})}
	f := startPair(t, identity("client"), identity("target"), &streamHandler{body: pattern(traffic.MaxWholeBodyBytes + 1), stream: stream})
	_, response := forwardLong(f, 300*time.Millisecond)
	if response == nil || response.Rest == nil {
		t.Fatal("the response is not streaming")
	}
	f.forward(t, &traffic.Request{Method: "GET", URI: "/", Body: []byte("x")})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	if err := f.server.Drain(ctx); err != nil {
		t.Errorf("a stream whose time is up holds up the shutdown: %v", err)
	}
	select {
	case <-stream.closed:
	case <-ctx.Done():
		t.Error("the response is kept after the time of its call")
	}
	if _, err := response.Rest.Next(context.Background()); err == nil || err == io.EOF {
		t.Errorf("a response whose time is up ended with %v", err)
	}
}

// Guards against bytes that are skipped when an answer with a part was lost and the part is asked for again.
func TestPartCanBeFetchedAgain(t *testing.T) {
	body := pattern(3 * traffic.PartBytes)
	stream := &servedStream{partBytes: traffic.PartBytes, body: body, ctx: context.Background()}
	for _, offset := range []int{0, 0, 1, 1, 2} {
		part, err := stream.part(int64(offset * traffic.PartBytes))
		if err != nil || !bytes.Equal(part.Data, body[offset*traffic.PartBytes:(offset+1)*traffic.PartBytes]) || part.End != (offset == 2) {
			t.Errorf("part %d: %d bytes, end %v, %v", offset, len(part.Data), part.End, err)
		}
	}
	for _, offset := range []int64{0, 5, 9 * traffic.PartBytes} {
		if _, err := stream.part(offset); err == nil {
			t.Errorf("a part at offset %d is sent", offset)
		}
	}
}

// Guards against a response that looks complete because the process that passes it on has ended, or because another process has
// taken its address: with a length and without, after the first part and after a later one.
func TestStreamOfAProcessThatEndsIsNotComplete(t *testing.T) {
	for _, takenOver := range []bool{false, true} {
		for _, parts := range []int{0, 1} { // read before the process ends
			stream := &testStream{parts: [][]byte{pattern(traffic.PartBytes), pattern(traffic.PartBytes), pattern(10)}, err: io.EOF, closed: make(chan struct{})}
			f := startPair(t, identity("client"), identity("target"), &streamHandler{body: pattern(traffic.MaxWholeBodyBytes + 1), stream: stream})
			_, response := forwardLong(f, time.Minute)
			if response == nil || response.Rest == nil {
				t.Fatal("the response is not streaming")
			}
			for range parts {
				if _, err := response.Rest.Next(context.Background()); err != nil {
					t.Fatal(err)
				}
			}
			f.server.Close()
			if takenOver {
				listener, err := net.Listen("tcp", f.to.Address)
				if err != nil {
					t.Fatal(err)
				}
				next := NewServer(identity("target"), listener, &streamHandler{}, log.NewNopLogger(), f.metrics)
				go next.Serve()
				defer next.Close()
			}
			for range 3 { // also when it is asked again
				if part, err := response.Rest.Next(context.Background()); err == nil || err == io.EOF {
					t.Errorf("taken over %v, after %d parts: %d bytes, %v", takenOver, parts, len(part), err)
				}
			}
			response.Discard()
		}
	}
}
