package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// longUploadRoutes allow bodies that are longer than what the buffers of a connection hold.
const longUploadRoutes = `
[route uploads]
path = /uploads
pool = stitchroom
idempotent = no
max_body_bytes = 8000000
timeout = 60s
[route lookup]
path = /lookup
pool = stitchroom
idempotent = yes
timeout = 60s
`

// serveBrokenAnswers answers each request at once with a part of a body without a length, and resets the connection while the
// request may still be sent. Requests for /lookup get a whole response.
func serveBrokenAnswers(w http.ResponseWriter, r *http.Request, status int) {
	if r.URL.Path == "/lookup" {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n\r\nfirst part", status)
	time.Sleep(5 * time.Millisecond) // the node has read the part
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// startBrokenAnswers runs two nodes, of which the second has a backend server whose answers with a status break off. It returns
// the addresses for callers of both.
func startBrokenAnswers(t *testing.T, status *atomic.Int64) [2]string {
	kv := httptest.NewServer(standin.New())
	t.Cleanup(kv.Close)
	writeTables(t, store.New(kv.Listener.Addr().String()), 1, longUploadRoutes, testPools)
	ctx, cancel := context.WithCancel(context.Background())
	var nodes sync.WaitGroup
	run := func(id string, seeds ...string) settings.Listen {
		listeners, addresses := openListeners(t)
		n := New(settings.Settings{
			Node: settings.Node{ID: id, Zone: "Larvik", System: "test"}, Listen: addresses, Peers: settings.Peers{Seeds: seeds},
			Limits:   settings.Limits{Calls: 1000, BodyBytes: 1 << 26, QueuedBytes: 1 << 26, ResponseBytes: 1 << 24, Records: 1000},
			Shutdown: settings.Shutdown{Timeout: time.Second},
		}, listeners, store.New(kv.Listener.Addr().String()), log.NewNopLogger())
		nodes.Go(func() { n.Run(ctx) })
		return addresses
	}
	first := run("n1")
	second := run("n2", first.Peers)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveBrokenAnswers(w, r, int(status.Load())) }))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateNew {
			_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10) // so that an upload does not fit into the buffers of the connection
		}
	}
	server.Start()
	nodes.Go(func() { keepRegistered(ctx, second.Register, server) })
	t.Cleanup(func() {
		cancel()
		nodes.Wait()
		server.Close()
	})
	callUntilServed(t, first.Callers, "/lookup", "r0", "")
	return [2]string{first.Callers, second.Callers}
}

// Guards against a part of an answer that reaches a caller as a whole one (MIXED): the backend server resets the connection while
// a long request is being sent, at the node beside it and at another one.
func TestAnswerThatIsResetDuringAnUploadIsNotDelivered(t *testing.T) {
	var status atomic.Int64
	addresses := startBrokenAnswers(t, &status)
	const rounds, uploadBytes = 8, 8_000_000
	for _, answered := range []int64{http.StatusOK, http.StatusForbidden, http.StatusInternalServerError} {
		status.Store(answered)
		for hop, address := range []string{addresses[1], addresses[0]} {
			for range rounds {
				response, err := http.Post("http://"+address+"/uploads/1", "image/png", bytes.NewReader(make([]byte, uploadBytes)))
				if err != nil {
					continue // the connection was closed without an answer, which promises nothing
				}
				text, err := io.ReadAll(response.Body)
				response.Body.Close()
				if err == nil && bytes.HasPrefix(text, []byte("first")) {
					t.Errorf("%d hops between nodes: status %d, answered with %d, body %q", hop, answered, response.StatusCode, text)
				}
				if err == nil && response.StatusCode != http.StatusGatewayTimeout {
					t.Errorf("%d hops between nodes: status %d, answered with %d, body %q", hop, answered, response.StatusCode, text)
				}
			}
		}
	}
}
