package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// hostedNodes is a pair of nodes in hosted mode, one in each of two zones, with a stand-in for the platform's store and
// a backend server beside the second node.
type hostedNodes struct {
	store           *standin.Server
	callerAddresses [2]string // address of each node's callers listener
}

// startHostedNodes starts both nodes and a backend server that runs serveBackend on each connection.
func startHostedNodes(t *testing.T, serveBackend func(net.Conn)) *hostedNodes {
	t.Helper()
	h := &hostedNodes{store: standin.New()}
	kv := httptest.NewServer(h.store)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go acceptAll(server, serveBackend)
	ctx, cancel := context.WithCancel(context.Background())
	var ended [2]chan struct{}
	for i, zone := range []string{"Larvik", "Horten"} {
		listeners, addresses := openListeners(t)
		s := settings.Settings{
			Node:     settings.Node{ID: fmt.Sprint("n", i), Zone: zone, System: "test"},
			Backend:  settings.Backend{Service: "desk", Address: server.Addr().String(), Heartbeat: 100 * time.Millisecond},
			Listen:   addresses,
			Platform: settings.Platform{Mode: settings.ModeHosted, Address: kv.Listener.Addr().String()},
			Limits:   settings.Limits{Calls: 1000, BodyBytes: 1 << 24, QueuedBytes: 1 << 24, ResponseBytes: 1 << 24, Records: 1000},
			Shutdown: settings.Shutdown{Timeout: time.Second},
		}
		n := New(s, listeners, store.New(s.Platform.Address), log.NewNopLogger())
		h.callerAddresses[i] = addresses.Callers
		ended[i] = make(chan struct{})
		go func() {
			n.Run(ctx)
			close(ended[i])
		}()
		if i == 1 {
			go registerBackend(ctx, addresses.Register, s.Backend)
		}
	}
	t.Cleanup(func() {
		cancel()
		for _, nodeEnded := range ended {
			<-nodeEnded
		}
		server.Close()
		kv.Close()
	})
	return h
}

// acceptAll runs serve on each connection, in a goroutine of its own, until the listener is closed.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// registerBackend registers a backend server at each heartbeat interval until ctx is cancelled.
func registerBackend(ctx context.Context, node string, b settings.Backend) {
	registerUntil(ctx, node, b.Heartbeat, backend.Registration{Service: b.Service, Address: b.Address, Slots: 6, State: backend.StateReady, Born: 1})
}

// registerUntil sends a registration with increasing sequences until ctx is cancelled.
func registerUntil(ctx context.Context, node string, interval time.Duration, registration backend.Registration) {
	for registration.Sequence = 1; ctx.Err() == nil; registration.Sequence++ {
		body, _ := json.Marshal(registration)
		if response, err := http.Post("http://"+node+backend.RegisterPath+"b1", "application/json", bytes.NewReader(body)); err == nil {
			response.Body.Close()
		}
		time.Sleep(interval)
	}
}

// putVersion writes a version of the configuration to the store, as the platform's operator does. The only path of a
// version is /v followed by its number.
func (h *hostedNodes) putVersion(version int) { h.putRoute(version, "idempotent") }

// putRoute is putVersion with the kind of the path.
func (h *hostedNodes) putRoute(version int, kind string) {
	h.putTimedRoute(version, kind, 2*time.Second)
}

// putTimedRoute is putRoute with the timeout of the path.
func (h *hostedNodes) putTimedRoute(version int, kind string, timeout time.Duration) {
	h.store.OperatorPut(hosted.KeyConfig, fmt.Appendf(nil, `{"version":"%08x","services":[{"name":"desk","max-connections":100}],
		"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":2000,"idle-timeout-ms":60000},
		"virtual-hosts":[{"host":"desk.example","paths":[{"name":"all","prefix":"/v%d","kind":"%s",
		"timeout-ms":%d,"target-latency-ms":500,"priority":1,"service":"desk","max-attempts":3}]}]}`, version, version, kind, timeout.Milliseconds()))
}

// get sends a request and returns the status and the body of the response.
func (h *hostedNodes) get(node int, path, id string) (int, string, error) {
	return h.send(node, path, id, 2*time.Second)
}

// send is get for a caller that waits for the given time.
func (h *hostedNodes) send(node int, path, id string, wait time.Duration) (int, string, error) {
	request, _ := http.NewRequest(http.MethodGet, "http://"+h.callerAddresses[node]+path, nil)
	request.Host = "desk.example"
	request.Header.Set(hosted.HeaderAttempt, id)
	request.Header.Set(hosted.HeaderTimeLeft, fmt.Sprint(wait.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// waitForVersion waits until a node serves the path of a version, and returns the time it waited.
func (h *hostedNodes) waitForVersion(t *testing.T, node, version int) time.Duration {
	t.Helper()
	start := time.Now()
	var last string
	for i := 0; time.Since(start) < waitTimeout; i++ {
		status, body, err := h.get(node, fmt.Sprint("/v", version), fmt.Sprint("await", node, version, i))
		if err == nil && status == http.StatusOK {
			return time.Since(start)
		}
		last = fmt.Sprint(status, " ", body, " ", err)
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("node %d does not serve version %d, last response %s", node, version, last)
	return 0
}

// writeResponse writes a response to the request with the given attempt ID.
func writeResponse(w io.Writer, id, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s",
		hosted.HeaderAttempt, id, hosted.HeaderSeal, len(body), body)
	return err
}

// serveRequests answers and counts the requests of a connection. If hasExtraResponse returns true for the count n, it
// writes a second response: before the actual one, to the previous request, if n is even; after it, as a duplicate, if
// n is odd.
func serveRequests(conn net.Conn, hasExtraResponse func(n int64) bool, count *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	lastID := "none"
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, n := request.Header.Get(hosted.HeaderAttempt), count.Add(1)
		if hasExtraResponse(n) && n%2 == 0 {
			_ = writeResponse(conn, lastID, "late "+lastID) // if this fails, the next write fails as well
		}
		if writeResponse(conn, id, "ran "+id) != nil {
			return
		}
		if hasExtraResponse(n) && n%2 == 1 {
			_ = writeResponse(conn, id, "again "+id)
		}
		lastID = id
	}
}

// Guards against delivering a late or duplicate response on a reused connection to the backend server to the caller of
// a later request, and against failing calls because of such a response.
func TestResponsesOfOtherRequestsAreSkipped(t *testing.T) {
	var count atomic.Int64
	hasExtraResponse := func(n int64) bool { return n%3 != 0 }
	h := startHostedNodes(t, func(conn net.Conn) { serveRequests(conn, hasExtraResponse, &count) })
	h.putVersion(1)
	for node := range h.callerAddresses {
		h.waitForVersion(t, node, 1)
		for i := range 200 {
			id := fmt.Sprintf("request-%d-%d", node, i)
			status, body, err := h.get(node, "/v1/x", id)
			if err != nil || status != http.StatusOK || body != "ran "+id {
				t.Fatalf("%s got %d %q, %v", id, status, body, err)
			}
		}
	}
}

// Guards against a version that does not become active on a node within the operator's bound after a fault of the
// store, and against a node that is no longer found after the lease on its entry expired.
func TestVersionsBecomeActiveAfterStoreFaults(t *testing.T) {
	const maxApplyTime = 2 * time.Second // config-apply-ms of the users' sites
	var count atomic.Int64
	h := startHostedNodes(t, func(conn net.Conn) { serveRequests(conn, func(int64) bool { return false }, &count) })
	version := 1
	h.putVersion(version)
	for node := range h.callerAddresses {
		h.waitForVersion(t, node, version)
	}
	for _, fault := range []standin.Fault{
		{Kind: standin.FaultBusy}, {Kind: standin.FaultDown}, {Kind: standin.FaultCutWatch}, {Kind: standin.FaultHistory},
		{Kind: standin.FaultStaleRead}, {Kind: standin.FaultRateLimit, Limit: 1}, {Kind: standin.FaultAnswerLost, Count: 3},
		{Kind: standin.FaultLeaseLapsed}, {Kind: standin.FaultSlow, DelayMs: 300}, {Kind: standin.FaultSilent},
	} {
		t.Run(string(fault.Kind), func(t *testing.T) {
			inject(t, h.store, fault)
			time.Sleep(500 * time.Millisecond)
			version += 3
			h.putVersion(version)
			time.Sleep(500 * time.Millisecond)
			inject(t, h.store, standin.Fault{Kind: standin.FaultNone})
			for node := range h.callerAddresses {
				if took := h.waitForVersion(t, node, version); took > maxApplyTime {
					t.Errorf("node %d activated version %d after %v, expected at most %v", node, version, took, maxApplyTime)
				}
			}
		})
	}
}

// workspaceConfig is a configuration with one workspace, which holds a key, and two routes of which one is public.
const workspaceConfig = `{"version":"%08x","services":[{"name":"desk"}],"tenants":[{"name":"red","api-keys":["%s"],"priority":0}],
"virtual-hosts":[{"host":"desk.example","paths":[{"name":"all","prefix":"/v1/","kind":"idempotent","timeout-ms":2000,"service":"desk"},
{"name":"open","prefix":"/open/","kind":"idempotent","timeout-ms":2000,"service":"desk","public":true}]}]}`

// sendWithKey sends a request with the given values of the headers for the key and the workspace.
func (h *hostedNodes) sendWithKey(t *testing.T, node int, path string, keys []string) int {
	t.Helper()
	request, _ := http.NewRequest(http.MethodGet, "http://"+h.callerAddresses[node]+path, nil)
	request.Host = "desk.example"
	request.Header[hosted.HeaderKey] = keys
	request.Header.Set(hosted.HeaderWorkspace, "forged")
	request.Header.Set(hosted.HeaderAttempt, fmt.Sprint("k", node, path, keys))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err) // not Fatal: callers may be goroutines of their own
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Guards against a key or a forged workspace that reaches a backend server, beside the caller's node or another one, and
// against requests that are served without a valid key, also on a connection that is open when the key is withdrawn.
func TestKeysOfWorkspaces(t *testing.T) {
	var requests sync.Map // headers of the requests that reached the backend server, by attempt
	h := startHostedNodes(t, func(conn net.Conn) {
		defer conn.Close()
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(hosted.HeaderAttempt)
			requests.Store(id, request.Header)
			if writeResponse(conn, id, "ran") != nil {
				return
			}
		}
	})
	h.store.OperatorPut(hosted.KeyConfig, fmt.Appendf(nil, workspaceConfig, 1, "red-1"))
	for node := range h.callerAddresses {
		waitFor(t, func() bool { return h.sendWithKey(t, node, "/v1/ready", []string{"red-1"}) == http.StatusOK })
		for _, c := range []struct {
			path      string
			keys      []string
			status    int
			workspace string
		}{
			{"/v1/a", []string{"red-1"}, http.StatusOK, "red"},
			{"/v1/a", nil, http.StatusUnauthorized, ""},
			{"/v1/a", []string{""}, http.StatusUnauthorized, ""},
			{"/v1/a", []string{"red-2"}, http.StatusUnauthorized, ""},
			{"/v1/a", []string{"red-1", "red-1"}, http.StatusUnauthorized, ""},
			{"/v1/a", []string{strings.Repeat("red-1", 1000)}, http.StatusUnauthorized, ""},
			{"/open/a", nil, http.StatusOK, ""},
			{"/open/a", []string{"red-1"}, http.StatusOK, ""},
		} {
			if status := h.sendWithKey(t, node, c.path, c.keys); status != c.status {
				t.Errorf("node %d %s %v: status %d, expected %d", node, c.path, c.keys, status, c.status)
			}
			received, ran := requests.Load(fmt.Sprint("k", node, c.path, c.keys))
			if ran != (c.status == http.StatusOK) {
				t.Errorf("node %d %s %v: reached the backend server: %v", node, c.path, c.keys, ran)
			}
			if ran {
				header := received.(http.Header)
				if header.Get(hosted.HeaderWorkspace) != c.workspace || header.Get(hosted.HeaderKey) != "" {
					t.Errorf("node %d %s %v: headers %v", node, c.path, c.keys, header)
				}
			}
		}
	}
	h.store.OperatorPut(hosted.KeyConfig, fmt.Appendf(nil, workspaceConfig, 2, "red-2"))
	for node := range h.callerAddresses {
		waitFor(t, func() bool { return h.sendWithKey(t, node, "/v1/b", []string{"red-1"}) == http.StatusUnauthorized })
	}
}

// waitFor waits until a condition holds, for at most waitTimeout.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for start := time.Now(); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Since(start) > waitTimeout {
			t.Fatal("condition does not hold in time")
		}
	}
}

// inject sets the fault of the store; FaultNone ends it.
func inject(t *testing.T, s *standin.Server, fault standin.Fault) {
	t.Helper()
	if err := s.Inject(fault); err != nil {
		t.Fatal(err)
	}
}
