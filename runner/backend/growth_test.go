package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// growthControl is a control thread that allows responses to grow up to a size, and takes that back for one call.
type growthControl struct {
	mailboxes *traffic.Mailboxes
	limit     int64
	largest   int64         // bytes that were allowed
	cutLater  time.Duration // after which an allowed response is cut; 0 for never
}

// Post implements ControlThread.
func (g *growthControl) Post(input reducer.Input) bool {
	in := input.(reducer.ResponseGrows)
	allowed := in.Bytes <= g.limit
	if allowed {
		g.largest = max(g.largest, in.Bytes)
	}
	if allowed && g.cutLater > 0 {
		time.AfterFunc(g.cutLater, func() { g.mailboxes.Deliver(reducer.AnswerResponseGrowth{Exchange: in.Exchange}) })
	}
	g.mailboxes.Deliver(reducer.AnswerResponseGrowth{Exchange: in.Exchange, Allowed: allowed})
	return true
}

// run sends a request to a server on behalf of a control thread.
func (g *growthControl) run(t *testing.T, r *Runner, streaming bool) (*traffic.Response, reducer.BackendRequestDone) {
	t.Helper()
	start := reducer.StartBackendRequest{Call: 1, Timeout: testTimeout, TimeLeft: testTimeout, ResponseTail: time.Second, Streaming: streaming}
	return r.Run(context.Background(), start, &traffic.Request{Method: "GET", URI: "/", Host: "h"})
}

func newGrowthRunner(t *testing.T, g *growthControl, address string) *Runner {
	g.mailboxes = traffic.NewMailboxes()
	r := NewRunner(traffic.NewResponseStore(), frontend.Native{}, g, g.mailboxes)
	r.Configure(reducer.ConfigureBackend{Address: address, MaxConnections: 1})
	t.Cleanup(func() { r.client.Load().Close() })
	return r
}

// Guards against a response that takes more memory than the control thread allows, whatever length it declares, and
// against one that is reported as not run when it is cut.
func TestResponseGrowsOnlyAsAllowed(t *testing.T) {
	const limit = 512 << 10
	for name, head := range map[string]string{
		"without a length": "\r\n", "declared": "Content-Length: 8000000\r\n\r\n", "in chunks": "Transfer-Encoding: chunked\r\n\r\n7a1200\r\n",
	} {
		for _, streaming := range []bool{false, true} {
			t.Run(fmt.Sprint(name, streaming), func(t *testing.T) {
				server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
					for s.readRequest(r) {
						if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head); err != nil {
							return
						}
						for part := strings.Repeat("x", 16<<10); ; {
							if _, err := io.WriteString(conn, part); err != nil {
								return
							}
						}
					}
				})
				g := &growthControl{limit: limit}
				_, done := g.run(t, newGrowthRunner(t, g, server.listener.Addr().String()), streaming)
				if done.Result != reducer.BackendOversized || g.largest != limit {
					t.Errorf("ended as %v after %d bytes were allowed, expected it to be cut after %d", done.Result, g.largest, limit)
				}
			})
		}
	}
}

// Guards against a response that is not cut when the control thread needs its memory while no byte of it arrives.
func TestSilentResponseIsCut(t *testing.T) {
	server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		if s.readRequest(r) {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 100<<10))
			s.readRequest(r) // until the connection is closed
		}
	})
	g := &growthControl{limit: 1 << 20, cutLater: 20 * time.Millisecond}
	if _, done := g.run(t, newGrowthRunner(t, g, server.listener.Addr().String()), false); done.Result != reducer.BackendOversized {
		t.Errorf("ended as %v, expected it to be cut", done.Result)
	}
}

// Guards against a cut that comes after the end of its response and closes the connection of the next one.
func TestLateCutHitsNoOtherResponse(t *testing.T) {
	const body = 100 << 10
	server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		for s.readRequest(r) {
			time.Sleep(10 * time.Millisecond)
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body)); err != nil {
				return
			}
		}
	})
	g := &growthControl{limit: 1 << 20, cutLater: 5 * time.Millisecond}
	r := newGrowthRunner(t, g, server.listener.Addr().String())
	for i := range 10 {
		response, done := g.run(t, r, false)
		if done.Result != reducer.BackendAnswered || len(response.Body) != body {
			t.Fatalf("request %d ended as %v", i, done.Result)
		}
	}
}
