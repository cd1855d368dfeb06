package ingress

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// TestMain guards against goroutines that outlive their request. After net/http closes a connection, it keeps the
// goroutine for 500 ms so that the caller can still read the response.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("net/http.(*conn).closeWriteAndWait"))
}

// maxBodyBytes is the limit of request bodies in the tests.
const maxBodyBytes = 1000

// scriptedControl replaces the control thread: it has the body of each call read, sends the call to the backend
// server and delivers the response. Calls to /late are refused while their body is being read, and calls to /silent
// get no decision.
type scriptedControl struct {
	mailboxes *traffic.Mailboxes
	done      chan struct{}
}

func (s *scriptedControl) PostArrival(input reducer.Input) bool {
	in := input.(reducer.CallArrived)
	if in.Path == "/silent" {
		return true
	}
	s.mailboxes.Deliver(reducer.ReadBody{Call: in.Call, Limit: maxBodyBytes})
	if in.Path == "/late" {
		s.mailboxes.Deliver(reducer.FailCall{Call: in.Call, Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonDeadline})
	}
	return true
}

func (s *scriptedControl) Done() <-chan struct{} { return s.done }

func (s *scriptedControl) Post(input reducer.Input) bool {
	switch in := input.(type) {
	case reducer.BodyRead:
		if in.Result == reducer.BodyTooLarge {
			s.mailboxes.Deliver(reducer.FailCall{Call: in.Call, Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonBodyTooLarge})
			break
		}
		s.mailboxes.Deliver(reducer.StartBackendRequest{Call: in.Call})
	case reducer.BackendRequestDone:
		s.mailboxes.Deliver(reducer.Deliver{Call: in.Call, ResponseOf: in.Call})
	}
	return true
}

// echoBackend responds with the body of the request, except to the paths /empty, /unchanged and /large.
type echoBackend struct{}

func (echoBackend) Run(_ context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	response := &traffic.Response{Status: http.StatusOK, Header: http.Header{}, Body: request.Body}
	switch request.URI {
	case "/empty":
		response = &traffic.Response{Status: http.StatusNoContent, Header: http.Header{"Content-Length": {"0"}}}
	case "/unchanged":
		response = &traffic.Response{Status: http.StatusNotModified, Header: http.Header{"Etag": {"e"}}}
	case "/large":
		response.Body = make([]byte, 16<<20)
	}
	if request.Method == http.MethodHead {
		response.Header.Set("Content-Length", "42")
	}
	return response, reducer.BackendRequestDone{Call: start.Call}
}

type fixture struct {
	server  *Server
	control *scriptedControl
	address string
	client  *http.Client
	log     bytes.Buffer
}

func startServer(t *testing.T) *fixture {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mailboxes, transport := traffic.NewMailboxes(), &http.Transport{}
	f := &fixture{address: listener.Addr().String(), client: &http.Client{Transport: transport}}
	f.control = &scriptedControl{mailboxes: mailboxes, done: make(chan struct{})}
	f.server = NewServer(Options{
		Control: f.control, Mailboxes: mailboxes, Responses: traffic.NewResponseStore(), Backend: echoBackend{},
		Tracer: telemetry.NewNoopTracer(), Logger: log.NewSyncLogger(log.NewLogfmtLogger(&f.log)),
	})
	go f.server.Serve(listener)
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		f.server.Close()
	})
	return f
}

func (f *fixture) do(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+f.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(text)
}

// Guards against refusals that are not machine-readable, and against requests that exhaust the resources of a node.
func TestBadRequestsAreRefusedAsNotRun(t *testing.T) {
	f := startServer(t)
	for _, c := range []struct {
		name, path, body, header, value string
		status                          int
		reason                          string
	}{
		{"timeout", "/", "", frontend.HeaderTimeout, "soon", 400, "bad_request"},
		{"depth", "/", "", frontend.HeaderDepth, "-1", 400, "bad_request"},
		{"key", "/", "", "Idempotency-Key", strings.Repeat("k", 257), 400, "bad_request"},
		{"upgrade", "/", "", "Upgrade", "websocket", 400, "bad_request"},
		{"URI", "/" + strings.Repeat("x", maxURIBytes), "", "X-Any", "1", 400, "bad_request"},
		{"body", "/", strings.Repeat("x", maxBodyBytes+1), "X-Any", "1", 413, "body_too_large"},
	} {
		response, text := f.do(t, http.MethodPost, c.path, c.body, c.header, c.value)
		var body failureBody
		if err := json.Unmarshal([]byte(text), &body); err != nil {
			t.Errorf("%s: body %q: %v", c.name, text, err)
		}
		if response.StatusCode != c.status || body.Outcome != "not_run" || body.Reason != c.reason ||
			response.Header.Get(frontend.HeaderOutcome) != "not_run" {
			t.Errorf("%s: status %d, body %+v, expected %d %s", c.name, response.StatusCode, body, c.status, c.reason)
		}
	}
	// net/http closes this connection with headers still unread, which resets it, so only the status is checked.
	request, _ := http.NewRequest(http.MethodGet, "http://"+f.address, nil)
	request.Header.Set("X-Long", strings.Repeat("x", maxHeaderBytes+8<<10))
	response, err := f.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("headers over the bound: status %d, expected 431", response.StatusCode)
	}
}

// Guards against responses without a body that break the connection or have a wrong Content-Length.
func TestResponsesWithoutBody(t *testing.T) {
	f := startServer(t)
	for _, c := range []struct {
		method, path string
		status       int
		length       string
	}{
		{http.MethodHead, "/", 200, "42"},
		{http.MethodGet, "/empty", 204, ""},
		{http.MethodGet, "/unchanged", 304, ""},
		{http.MethodPost, "/", 200, "0"},
	} {
		response, body := f.do(t, c.method, c.path, "")
		if response.StatusCode != c.status || response.Header.Get("Content-Length") != c.length || body != "" {
			t.Errorf("%s %s: status %d, length %q, body %q", c.method, c.path, response.StatusCode, response.Header.Get("Content-Length"), body)
		}
	}
}

// Guards against routes that do not match because the Host header contains a port or brackets.
func TestHostIsWithoutPort(t *testing.T) {
	for host, want := range map[string]string{
		"shop.example": "shop.example", "shop.example:8080": "shop.example", "[::1]:80": "::1", "[::1]": "::1", "::1": "::1",
	} {
		if got := hostname(host); got != want {
			t.Errorf("host of %q is %q, expected %q", host, got, want)
		}
	}
}

// Guards against callers that keep using a connection to a node that is shutting down, and against new connections
// to it.
func TestShutdownClosesConnections(t *testing.T) {
	f := startServer(t)
	if response, _ := f.do(t, http.MethodPost, "/", "a"); response.Close {
		t.Error("a connection was closed before the shutdown")
	}
	f.server.StopKeepAlive()
	if response, text := f.do(t, http.MethodPost, "/", "b"); !response.Close || text != "b" {
		t.Errorf("response %q leaves its connection open", text)
	}
	f.server.CloseListener()
	for range 2000 { // established connections are still accepted for a few milliseconds
		conn, err := net.Dial("tcp", f.address)
		if err != nil {
			return
		}
		conn.Close()
		time.Sleep(2 * acceptQueueTimeout)
	}
	t.Error("connections are accepted although the listener was closed")
}

// Guards against a shutdown that closes a connection on which part of the next request has arrived: the call could
// run without its caller getting a response.
func TestRequestThatHasBegunSurvivesShutdown(t *testing.T) {
	f := startServer(t)
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	serve := func(request string) {
		t.Helper()
		fmt.Fprint(conn, request)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		if err != nil || string(body) != "x" {
			t.Fatalf("response has body %q, %v", body, err)
		}
	}
	serve("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
	fmt.Fprint(conn, "POST / HTTP/1.1\r\n")
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- f.server.Shutdown(context.Background()) }()
	select {
	case err := <-shutdownErr:
		t.Fatalf("shutdown ended with %v before the request", err)
	case <-time.After(100 * time.Millisecond): // net/http closes idle connections at once
	}
	serve("Host: h\r\nContent-Length: 1\r\n\r\nx")
	if err := <-shutdownErr; err != nil {
		t.Error(err)
	}
}

// Guards against a caller that sends its body slowly and occupies a goroutine beyond the deadline of the call.
func TestSlowBodyIsRefusedInTime(t *testing.T) {
	f := startServer(t)
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /late HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	conn.SetReadDeadline(time.Now().Add(readTimeout / 2))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("status %d, close %v", response.StatusCode, response.Close)
	}
}

// Guards against callers that wait for a decision after the control thread has ended, and against a false "not_run".
func TestOutcomeIsUnknownWhenControlThreadEnds(t *testing.T) {
	f := startServer(t)
	close(f.control.done)
	if response, _ := f.do(t, http.MethodPost, "/silent", "x"); response.Header.Get(frontend.HeaderOutcome) != "unknown" {
		t.Errorf("status %d, outcome %q", response.StatusCode, response.Header.Get(frontend.HeaderOutcome))
	}
}

// Guards against one IP that takes all connections, and against closed connections that still count as open.
func TestConnectionsPerIPAreBounded(t *testing.T) {
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var refused atomic.Int64
	listener := newLimitedListener(inner, 4, 2, func(string) { refused.Add(1) })
	defer listener.Close()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	accepted := make(chan net.Conn, 3)
	go func() {
		for range 3 {
			conn, _ := listener.Accept()
			accepted <- conn
		}
	}()
	dial()
	dial()
	first, second := <-accepted, <-accepted
	defer second.Close()
	if _, err := dial().Read(make([]byte, 1)); err == nil || refused.Load() != 1 {
		t.Errorf("third connection: %v, %d refused", err, refused.Load())
	}
	first.Close()
	dial()
	(<-accepted).Close()
}

// Guards against a caller that disconnects during its response: it must not be logged as an error or leak the
// goroutine.
func TestCallerDisconnectIsNotLogged(t *testing.T) {
	f := startServer(t)
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		t.Errorf("the request did not end: %v", err)
	}
	if f.log.Len() > 0 {
		t.Errorf("log: %s", &f.log)
	}
}
