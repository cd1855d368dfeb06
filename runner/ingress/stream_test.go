package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// partStream supplies a number of parts and then ends with err.
type partStream struct {
	parts  int
	err    error
	closed chan struct{}
}

func (s *partStream) Next(ctx context.Context) ([]byte, error) {
	if s.parts == 0 {
		if s.err == nil { // waits until the caller has left
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, s.err
	}
	s.parts--
	return bytes.Repeat([]byte("p"), traffic.PartBytes), nil
}

func (s *partStream) Close() {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
}

func (s *partStream) Ended() <-chan struct{} { return s.closed }

// streamBackend responds with a body of which the first byte has arrived.
type streamBackend struct {
	stream *partStream
	length int64
}

func (b *streamBackend) Run(_ context.Context, start reducer.StartBackendRequest, _ *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	response := &traffic.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("p"), Rest: b.stream, Length: b.length}
	return response, reducer.BackendRequestDone{Call: start.Call, Streaming: true}
}

// Guards against a response that broke off and that reaches the caller as a complete one, with and without a length, and
// against a stream that goes on after its caller has left.
func TestBrokenStreamReachesTheCallerAsBroken(t *testing.T) {
	const parts = 5
	for _, c := range []struct {
		length   int64
		err      error
		complete bool
		request  string
	}{
		{-1, io.EOF, true, get("/a")}, {1 + parts*traffic.PartBytes, io.EOF, true, get("/a")}, {-1, errors.New("reset"), false, get("/a")},
		{2 + parts*traffic.PartBytes, errors.New("reset"), false, get("/a")}, {2 + parts*traffic.PartBytes, io.EOF, false, get("/a")},
		{-1, io.EOF, true, getWithoutChunks}, {-1, errors.New("reset"), false, getWithoutChunks},
		{2 + parts*traffic.PartBytes, errors.New("reset"), false, getWithoutChunks},
	} {
		t.Run(fmt.Sprintf("%d %v %.20q", c.length, c.err, c.request), func(t *testing.T) {
			stream := &partStream{parts: parts, err: c.err, closed: make(chan struct{})}
			conn := serveStream(t, &streamBackend{stream, c.length}, c.request)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if (err == nil) != c.complete || c.complete && len(body) != 1+parts*traffic.PartBytes {
				t.Errorf("%d bytes, %v, expected complete: %v", len(body), err, c.complete)
			}
			<-stream.closed
		})
	}
	stream := &partStream{parts: 1, closed: make(chan struct{})}
	conn := serveStream(t, &streamBackend{stream, -1}, get("/a"))
	conn.Read(make([]byte, 1))
	conn.Close()
	select {
	case <-stream.closed:
	case <-time.After(testTimeout):
		t.Error("the stream goes on after its caller has left")
	}
}

// getWithoutChunks is a request of HTTP/1.0, whose response ends with its connection unless it has a length.
const getWithoutChunks = "GET /a HTTP/1.0\r\nHost: h\r\n\r\n"

// serveStream starts a server with a backend, sends it a request and returns the connection.
func serveStream(t *testing.T, backend *streamBackend, request string) net.Conn {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mailboxes := traffic.NewMailboxes()
	server := NewServer(Options{
		Control: &pipelineControl{mailboxes}, Mailboxes: mailboxes, Responses: traffic.NewResponseStore(), Backend: backend,
		Tracer: telemetry.NewNoopTracer(), Logger: log.NewNopLogger(),
	})
	go server.Serve(listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		server.Close()
	})
	io.WriteString(conn, request)
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	return conn
}
