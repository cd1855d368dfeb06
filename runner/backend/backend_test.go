package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// TestMain fails if goroutines are left after the tests, for example those of a closed client.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the timeout of the requests in these tests.
const testTimeout = time.Minute

// rawServer is a backend server on plain TCP: the tests write the bytes of its responses. It counts the requests that
// it has read.
type rawServer struct {
	listener net.Listener
	requests atomic.Int64
	work     sync.WaitGroup
}

// startRawServer starts a server that calls serve for each connection and closes the connection afterwards.
func startRawServer(t *testing.T, serve func(s *rawServer, conn net.Conn, r *bufio.Reader)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: listener}
	s.work.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.work.Go(func() {
				defer conn.Close()
				serve(s, conn, bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.work.Wait()
	})
	return s
}

// readRequest reads and counts one request. It returns false if the connection has ended or the body is incomplete.
func (s *rawServer) readRequest(r *bufio.Reader) bool {
	request, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	return err == nil
}

func newClient(t *testing.T, address string, connections int) *Client {
	c := NewClient(address, connections, frontend.Native{})
	t.Cleanup(c.Close)
	return c
}

func doRequest(c *Client, method string, header http.Header) (*traffic.Response, reducer.BackendResult) {
	request := &traffic.Request{Method: method, URI: "/dues", Header: header}
	if method == http.MethodPost {
		request.Body = []byte("amount=7")
	}
	response, done := c.Do(context.Background(), reducer.StartBackendRequest{TimeLeft: testTimeout, Timeout: testTimeout}, request)
	return response, done.Result
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a request that is sent again, as net/http does, when a persistent connection breaks: the request may
// have run.
func TestRequestIsNeverSentTwice(t *testing.T) {
	key := http.Header{"Idempotency-Key": {"k1"}, "X-Idempotency-Key": {"k1"}}
	for _, c := range []struct {
		method string
		header http.Header
	}{{http.MethodGet, nil}, {http.MethodHead, nil}, {http.MethodPost, nil}, {http.MethodPost, key}, {http.MethodGet, key}} {
		s := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
			if s.readRequest(r) {
				io.WriteString(conn, okResponse)
				s.readRequest(r) // closes the connection without a response
			}
		})
		client := newClient(t, s.listener.Addr().String(), 1)
		if _, result := doRequest(client, http.MethodPost, nil); result != reducer.BackendAnswered {
			t.Fatalf("first request ended as %v", result)
		}
		if _, result := doRequest(client, c.method, c.header); result != reducer.BackendFailed {
			t.Errorf("%s %v ended as %v, expected failed", c.method, c.header, result)
		}
		if count := s.requests.Load(); count != 2 {
			t.Errorf("%s %v: the backend server saw %d requests, expected 2", c.method, c.header, count)
		}
	}
}

// Guards against a request that runs twice, or is reported as not sent although it ran, when the backend server closes
// persistent connections while they are idle.
func TestIdleConnectionClosed(t *testing.T) {
	s := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		if s.readRequest(r) {
			io.WriteString(conn, okResponse) // closes the connection concurrently with the next request
		}
	})
	client := newClient(t, s.listener.Addr().String(), 1)
	var answered, maybeRun int64
	for range 200 {
		switch _, result := doRequest(client, http.MethodGet, nil); result {
		case reducer.BackendAnswered:
			answered++
		case reducer.BackendNotSent:
		default:
			maybeRun++
		}
	}
	if seen := s.requests.Load(); seen < answered || seen > answered+maybeRun {
		t.Errorf("the backend server saw %d requests, %d were answered and %d may have run", seen, answered, maybeRun)
	}
}

// Guards against more open connections than the configured maximum.
func TestConnectionsAreBounded(t *testing.T) {
	const limit = 3
	var mu sync.Mutex
	open, peak := 0, 0
	count := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		open += n
		peak = max(peak, open)
	}
	s := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		count(1)
		defer count(-1)
		for s.readRequest(r) {
			io.WriteString(conn, okResponse)
		}
	})
	client := newClient(t, s.listener.Addr().String(), limit)
	var work sync.WaitGroup
	for range 10 * limit {
		work.Go(func() { doRequest(client, http.MethodPost, nil) })
	}
	work.Wait()
	client.Close() // the server's cleanup waits for the connections to close
	mu.Lock()
	defer mu.Unlock()
	if peak > limit {
		t.Errorf("%d connections were open, expected at most %d", peak, limit)
	}
}

// Guards against a request that is written although the client reports it as not sent: its context is cancelled.
func TestNotSentWritesNothing(t *testing.T) {
	s := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) { s.readRequest(r) })
	client := newClient(t, s.listener.Addr().String(), 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, done := client.Do(ctx, reducer.StartBackendRequest{TimeLeft: testTimeout, Timeout: testTimeout}, &traffic.Request{Method: http.MethodPost, URI: "/dues"})
	if done.Result != reducer.BackendNotSent {
		t.Errorf("result is %v, expected not sent", done.Result)
	}
	client.Close()
	s.listener.Close()
	s.work.Wait()
	if n := s.requests.Load(); n != 0 {
		t.Errorf("the backend server saw %d requests after it was reported as not sent", n)
	}
}

// Guards against an incomplete or oversized response that is delivered, and against a failure that is reported where
// the backend server states that it has not run the request.
func TestUnusualResponses(t *testing.T) {
	large := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", maxResponseBytes+1, strings.Repeat("x", maxResponseBytes+1))
	for _, c := range []struct {
		name, response string
		want           reducer.BackendResult
	}{
		{"body over the limit", large, reducer.BackendFailed},
		{"headers over the limit", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", maxHeaderBytes+1) + "\r\nContent-Length: 0\r\n\r\n", reducer.BackendFailed},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", reducer.BackendFailed},
		{"upgrade", "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", reducer.BackendFailed},
		{"continue", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, reducer.BackendAnswered},
		{"shed", "HTTP/1.1 503 Service Unavailable\r\nRosemaryhatch-Outcome: not_run\r\nContent-Length: 0\r\n\r\n", reducer.BackendShed},
		{"other 503", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", reducer.BackendAnswered},
	} {
		s := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
			if s.readRequest(r) {
				io.WriteString(conn, c.response)
			}
		})
		if _, result := doRequest(newClient(t, s.listener.Addr().String(), 1), http.MethodPost, nil); result != c.want {
			t.Errorf("%s ended as %v, expected %v", c.name, result, c.want)
		}
	}
}

// Guards against a request whose end the backend server cannot detect, so that it waits for a body or reads the next
// request on the connection as the body.
func TestRequestsFollowEachOtherOnOneConnection(t *testing.T) {
	var seen []string
	connections := 0
	s := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		for connections++; ; {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, err := io.ReadAll(request.Body)
			_, hasLength := request.Header["Content-Length"]
			seen = append(seen, fmt.Sprintf("%s %s %q %v %v", request.Method, request.RequestURI, body, err, hasLength))
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := NewClient(s.listener.Addr().String(), 1, frontend.Native{})
	var want []string
	methods := []string{http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions, http.MethodPost, http.MethodPut, "NEW"}
	for i, method := range methods {
		for _, body := range []string{"", "amount=7", ""} {
			request := &traffic.Request{Method: method, URI: "//dues/%2F?a=%20&b", Host: "a:1", Body: []byte(body)}
			start := reducer.StartBackendRequest{TimeLeft: testTimeout, Timeout: testTimeout}
			if _, done := client.Do(context.Background(), start, request); done.Result != reducer.BackendAnswered {
				t.Errorf("%s with body %q ended as %v", method, body, done.Result)
			}
			wantLength := body != "" || i >= 4 // a server may require Content-Length for POST, PUT and unknown methods, even if it is 0
			want = append(want, fmt.Sprintf("%s %s %q %v %v", method, request.URI, body, nil, wantLength))
		}
	}
	client.Close()
	s.listener.Close()
	s.work.Wait()
	if !slices.Equal(seen, want) || connections != 1 {
		t.Errorf("the backend server saw %q on %d connections, expected %q on one", seen, connections, want)
	}
}
