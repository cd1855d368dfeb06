package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// heldBackend is a backend whose calls run until the test releases them. It responds with the path.
type heldBackend struct {
	mu       sync.Mutex
	started  chan string
	release  map[string]chan struct{}
	finished chan string
}

func (b *heldBackend) hold(path string) chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.release[path] == nil {
		b.release[path] = make(chan struct{})
	}
	return b.release[path]
}

func (b *heldBackend) Run(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	b.started <- request.URI
	select {
	case <-b.hold(request.URI):
		return &traffic.Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(request.URI)}, reducer.BackendRequestDone{Call: start.Call}
	case <-ctx.Done():
		b.finished <- request.URI
		return nil, reducer.BackendRequestDone{Call: start.Call, Result: reducer.BackendAborted}
	}
}

// pipelineControl replaces the control thread: it starts each call at once, except pipelined calls to /once, which it
// postpones. A caller that leaves aborts its call.
type pipelineControl struct{ mailboxes *traffic.Mailboxes }

func (c *pipelineControl) Done() <-chan struct{} { return nil }

func (c *pipelineControl) PostArrival(input reducer.Input) bool {
	in := input.(reducer.CallArrived)
	if in.Pipelined && strings.HasPrefix(in.Path, "/once") {
		c.mailboxes.Deliver(reducer.PostponeCall{Call: in.Call})
		return true
	}
	if in.BodyBytes > 0 {
		c.mailboxes.Deliver(reducer.ReadBody{Call: in.Call, Limit: maxBodyBytes})
		return true
	}
	c.mailboxes.Deliver(reducer.StartBackendRequest{Call: in.Call})
	return true
}

func (c *pipelineControl) Post(input reducer.Input) bool {
	switch in := input.(type) {
	case reducer.BodyRead:
		c.mailboxes.Deliver(reducer.StartBackendRequest{Call: in.Call})
	case reducer.CallerGone:
		c.mailboxes.Deliver(reducer.AbortBackendRequest(in))
	case reducer.BackendRequestDone:
		if in.Result == reducer.BackendAborted {
			c.mailboxes.Deliver(reducer.FailCall{Call: in.Call, Outcome: reducer.OutcomeUnknown, Reason: reducer.ReasonCallerGone})
			break
		}
		c.mailboxes.Deliver(reducer.Deliver{Call: in.Call, ResponseOf: in.Call})
	}
	return true
}

type pipelineFixture struct {
	t       *testing.T
	server  *Server
	backend *heldBackend
	conn    net.Conn
	reader  *bufio.Reader
}

func startPipeline(t *testing.T) *pipelineFixture {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &pipelineFixture{t: t, backend: &heldBackend{started: make(chan string, 64), finished: make(chan string, 64), release: map[string]chan struct{}{}}}
	mailboxes := traffic.NewMailboxes()
	f.server = NewServer(Options{
		Control: &pipelineControl{mailboxes}, Mailboxes: mailboxes, Responses: traffic.NewResponseStore(), Backend: f.backend,
		Tracer: telemetry.NewNoopTracer(), Logger: log.NewNopLogger(),
	})
	go f.server.Serve(listener)
	if f.conn, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	f.reader = bufio.NewReader(f.conn)
	t.Cleanup(func() {
		f.conn.Close()
		f.server.Close()
	})
	return f
}

func (f *pipelineFixture) send(requests ...string) {
	f.t.Helper()
	if _, err := io.WriteString(f.conn, strings.Join(requests, "")); err != nil {
		f.t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// testTimeout bounds waits for what must happen; it is no target.
const testTimeout = 20 * time.Second

// awaitStarts waits until exactly the given paths have started, in any order.
func (f *pipelineFixture) awaitStarts(paths ...string) {
	f.t.Helper()
	missing := map[string]bool{}
	for _, path := range paths {
		missing[path] = true
	}
	for len(missing) > 0 {
		select {
		case path := <-f.backend.started:
			if !missing[path] {
				f.t.Fatalf("%s started, expected one of %v", path, paths)
			}
			delete(missing, path)
		case <-time.After(testTimeout):
			f.t.Fatalf("%v did not start", missing)
		}
	}
}

func (f *pipelineFixture) expectNoStart() {
	f.t.Helper()
	select {
	case path := <-f.backend.started:
		f.t.Fatalf("%s started before the requests ahead of it were answered", path)
	case <-time.After(100 * time.Millisecond):
	}
}

// expectResponse reads the next response and returns it.
func (f *pipelineFixture) expectResponse(body string) *http.Response {
	f.t.Helper()
	f.conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(f.reader, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil || string(text) != body {
		f.t.Fatalf("response %q, %v, expected %q", text, err, body)
	}
	return response
}

// Guards against pipelined requests that wait for those ahead of them, and against responses in another order than the
// requests. The requests arrive in one segment, in several, and split within a head.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	for name, segments := range map[string][]string{
		"one segment":  {get("/a") + get("/b") + get("/c")},
		"one each":     {get("/a"), get("/b"), get("/c")},
		"within heads": {get("/a") + "GE", "T /b HTTP/1.1\r\nHost: h\r\n\r", "\n" + get("/c")[:9], get("/c")[9:]},
		"behind a body": {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n" + strings.Repeat("\r\n\r\n", 10) + get("/b"),
			get("/c")},
	} {
		t.Run(name, func(t *testing.T) {
			f := startPipeline(t)
			for _, segment := range segments {
				f.send(segment)
				time.Sleep(5 * time.Millisecond) // keeps the segments apart
			}
			f.awaitStarts("/a", "/b", "/c")
			close(f.backend.hold("/c"))
			close(f.backend.hold("/b"))
			close(f.backend.hold("/a"))
			for _, path := range []string{"/a", "/b", "/c"} {
				f.expectResponse(path)
			}
			f.send(get("/d"))
			close(f.backend.hold("/d"))
			f.awaitStarts("/d")
			f.expectResponse("/d")
		})
	}
}

// Guards against a request that may run once only and that is begun before those ahead of it were answered: the caller
// sends it again if one of them closes the connection.
func TestRequestThatMustNotRepeatWaitsForItsTurn(t *testing.T) {
	f := startPipeline(t)
	f.send(get("/a"), get("/once"), get("/c"))
	f.awaitStarts("/a", "/c")
	f.expectNoStart()
	close(f.backend.hold("/a"))
	f.awaitStarts("/once")
	close(f.backend.hold("/once"))
	close(f.backend.hold("/c"))
	for _, path := range []string{"/a", "/once", "/c"} {
		f.expectResponse(path)
	}
}

// Guards against calls of a caller that has left and that still run: the one being served and those behind it.
func TestCallerThatLeavesEndsAllItsCalls(t *testing.T) {
	f := startPipeline(t)
	f.send(get("/a"), get("/b"), get("/c"))
	f.awaitStarts("/a", "/b", "/c")
	f.conn.Close()
	for range 3 {
		select {
		case <-f.backend.finished:
		case <-time.After(testTimeout):
			t.Fatal("a call still runs after its caller left")
		}
	}
}

// Guards against a caller that makes a node begin any number of calls, or keep any number of bytes, for one connection.
func TestPipelinedCallsOfOneConnectionAreBounded(t *testing.T) {
	f := startPipeline(t)
	var paths []string
	for i := range maxPipelinedCalls + 4 {
		paths = append(paths, fmt.Sprintf("/p%d", i))
		f.send(get(paths[i]))
	}
	f.awaitStarts(paths[:maxPipelinedCalls+1]...)
	f.expectNoStart()
	for _, path := range paths {
		close(f.backend.hold(path))
	}
	for _, path := range paths {
		f.expectResponse(path)
	}
}

// Guards against a planned stop that cuts calls which were begun behind another one: their responses come before the
// connection is closed.
func TestShutdownAnswersPipelinedCalls(t *testing.T) {
	f := startPipeline(t)
	f.send(get("/a"), get("/b"))
	f.awaitStarts("/a", "/b")
	f.server.StopKeepAlive()
	shutdown := make(chan error, 1)
	go func() { shutdown <- f.server.Shutdown(context.Background()) }()
	f.send(get("/late"))
	f.expectNoStart()
	close(f.backend.hold("/a"))
	close(f.backend.hold("/b"))
	if response := f.expectResponse("/a"); response.Close {
		t.Error("the connection is closed although a call behind the response was begun")
	}
	if response := f.expectResponse("/b"); !response.Close {
		t.Error("the connection stays open after the last call that was begun")
	}
	if err := <-shutdown; err != nil {
		t.Error(err)
	}
}

// Guards against a scanner that takes the bytes of a body, or of a head that net/http reads in another way, as a request:
// such a request was smuggled inside another one.
func TestScannerStopsWhereFramingIsUnclear(t *testing.T) {
	behind := get("/b")
	for name, first := range map[string]string{
		"chunked":             "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + "2f\r\n" + behind + "\r\n0\r\n\r\n",
		"both":                "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":         "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
		"bare line feed":      "GET /a HTTP/1.1\nHost: h\n\n",
		"line feed in a head": "GET /a HTTP/1.1\r\nHost: h\n\r\n\r\n",
		"continued line":      "GET /a HTTP/1.1\r\nX: 1\r\n Content-Length: 9\r\n\r\n",
		"empty line":          "\r\n\r\n",
		"no host":             "GET /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
		"expectation":         "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n",
		"endless head":        "GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", 2*maxScannedHeadBytes),
	} {
		var whole, parts requestScanner
		if found := whole.scan([]byte(first+behind), 0); len(found) > 0 && found[len(found)-1].request.URL.Path == "/b" {
			t.Errorf("%s: the scanner took %s as a request", name, behind)
		}
		for _, b := range []byte(first + behind) {
			if found := parts.scan([]byte{b}, 0); len(found) > 0 && found[0].request.URL.Path == "/b" {
				t.Errorf("%s: the scanner took %s as a request, byte by byte", name, behind)
			}
		}
	}
}

// Guards against a scanner that finds other requests than net/http would read from the same bytes.
func FuzzScannerAgreesWithHTTP(f *testing.F) {
	for _, seed := range []string{
		get("/a") + get("/b"), "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + get("/b"),
		"GET /a HTTP/1.1\nHost: h\n\n" + get("/b"), "GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n 2\r\n\r\n" + get("/b"),
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/b"),
		"GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 00\r\n\r\n" + get("/b"), "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length : 9\r\n\r\n" + get("/b"),
	} {
		f.Add([]byte(seed), 7)
	}
	f.Fuzz(func(t *testing.T, text []byte, step int) {
		var scanner requestScanner
		var found []scannedRequest
		step = min(max(step, 1), 64)
		for i := 0; i < len(text); i += step {
			found = append(found, scanner.scan(text[i:min(i+step, len(text))], 0)...)
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		var read []*http.Request
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				break
			}
			read = append(read, request)
		}
		for _, scanned := range found {
			if scanned.number >= len(read) || !isSameRequest(scanned.request, read[scanned.number]) {
				t.Fatalf("request %d is %s %s; net/http reads %d requests", scanned.number, scanned.request.Method, scanned.request.RequestURI, len(read))
			}
		}
	})
}

// Guards against a shutdown that closes a connection as idle although bytes of a further request were read ahead, when the
// scanner has stopped at a request that it does not follow.
func TestBytesReadAheadKeepAConnectionBusy(t *testing.T) {
	var a readAhead
	a.observe([]byte(get("/a")))
	chunked := []byte("POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	a.observe(chunked)
	a.keep(chunked)
	a.endRequest()
	if !a.scanner.stopped || a.isIdle() {
		t.Errorf("stopped %v, idle %v, expected busy while bytes wait", a.scanner.stopped, a.isIdle())
	}
	a.take(make([]byte, len(chunked)))
	if !a.isIdle() {
		t.Error("the connection is busy although nothing waits")
	}
}
