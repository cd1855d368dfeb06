package node

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const testTrace = "0af7651916cd43dd8448eb211c80319c"

// nodePair is two nodes: callers reach callerNode, and targetNode runs beside the backend server. The backend server
// holds requests to /dues/held until release is closed.
type nodePair struct {
	callerNode, targetNode *Node
	callerNodeAddresses    settings.Listen
	stop                   func()
	heldRequests           chan string // traceparent of each held request
	release                chan struct{}
	nodes                  sync.WaitGroup // done when both nodes have stopped
	mu                     sync.Mutex
	log, spans             bytes.Buffer
}

// Write implements io.Writer for the loggers of both nodes.
func (p *nodePair) Write(line []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(line)
}

// textOf returns what was written to a buffer. The export of spans may still log after both nodes have stopped.
func (p *nodePair) textOf(buffer *bytes.Buffer) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return buffer.String()
}

func (p *nodePair) receiveSpans(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	io.Copy(&p.spans, r.Body)
}

func (p *nodePair) serveBackend(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/dues/held" {
		p.heldRequests <- r.Header.Get("Traceparent")
		<-p.release
	}
	io.WriteString(w, "served")
}

// startNodePair starts both nodes and the backend server and waits until a call is served.
func startNodePair(t *testing.T) *nodePair {
	t.Helper()
	p := &nodePair{heldRequests: make(chan string, 1), release: make(chan struct{})}
	kv, collector := httptest.NewServer(standin.New()), httptest.NewServer(http.HandlerFunc(p.receiveSpans))
	routes := strings.ReplaceAll(testRoutes, "path =", "timeout = 60s\npath =") // longer than the shutdown
	writeTables(t, store.New(kv.Listener.Addr().String()), 1, routes, testPools)
	ctx, cancel := context.WithCancel(context.Background())
	var registrations sync.WaitGroup
	run := func(id string, seeds ...string) (*Node, settings.Listen) {
		listeners, addresses := openListeners(t)
		n := New(settings.Settings{
			Node: settings.Node{ID: id, Zone: "Larvik", System: "test"}, Listen: addresses, Peers: settings.Peers{Seeds: seeds},
			Limits:   settings.Limits{Calls: 1000, BodyBytes: 1 << 24, QueuedBytes: 1 << 24, ResponseBytes: 1 << 24, Records: 1000},
			Shutdown: settings.Shutdown{Timeout: waitTimeout}, Log: settings.Log{Level: "debug"},
			Trace: settings.Trace{Endpoint: collector.Listener.Addr().String(), Sample: 1},
		}, listeners, store.New(kv.Listener.Addr().String()), log.NewLogfmtLogger(p))
		p.nodes.Go(func() { n.Run(ctx) })
		return n, addresses
	}
	p.callerNode, p.callerNodeAddresses = run("n1")
	var targetAddresses settings.Listen
	p.targetNode, targetAddresses = run("n2", p.callerNodeAddresses.Peers)
	server := httptest.NewServer(http.HandlerFunc(p.serveBackend))
	registrations.Go(func() {
		registerBackend(ctx, targetAddresses.Register, settings.Backend{Service: "stitchroom", Address: server.Listener.Addr().String(), Heartbeat: 100 * time.Millisecond})
	})
	p.stop = sync.OnceFunc(func() {
		cancel()
		registrations.Wait()
		p.nodes.Wait()
	})
	t.Cleanup(func() {
		p.stop()
		server.Close()
		collector.Close()
		kv.Close()
	})
	callUntilServed(t, p.callerNodeAddresses.Callers, "/dues/first", "r0", "")
	return p
}

// Guards against a graceful shutdown that aborts a call in progress, at the node that received the call or at the
// target node, and against a trace context or a call ID that is not propagated between the two nodes.
func TestCallInProgressSurvivesShutdown(t *testing.T) {
	p := startNodePair(t)
	type result struct {
		body, id string
		err      error
	}
	results := make(chan result, 1)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "http://"+p.callerNodeAddresses.Callers+"/dues/held", strings.NewReader("x"))
		request.Header.Set("Traceparent", "00-"+testTrace+"-b7ad6b7169203331-01")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			results <- result{err: err}
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		results <- result{string(body), response.Header.Get(frontend.HeaderCallID), err}
	}()
	if traceparent := <-p.heldRequests; !strings.Contains(traceparent, testTrace) {
		t.Errorf("traceparent at the backend server is %q, expected trace %s", traceparent, testTrace)
	}
	p.callerNode.Shutdown()
	p.targetNode.Shutdown()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if _, err := http.Get("http://" + p.callerNodeAddresses.Callers + "/dues/new"); err != nil && strings.Contains(err.Error(), "refused") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the callers listener of a node that shuts down stays open")
		}
	}
	close(p.release)
	got := <-results
	if got.err != nil || got.body != "served" || got.id == "" {
		t.Errorf("call in progress ended with %+v", got)
	}
	p.nodes.Wait()
	p.stop()
	for _, line := range []string{"call finished", "forwarded call answered"} {
		if !strings.Contains(p.textOf(&p.log), `msg="`+line+`" request= call=`+got.id+" ") {
			t.Errorf("log has no line %q for call %s", line, got.id)
		}
	}
	for _, span := range []string{"call", "decision", "forward", "target", "queue", "backend", got.id} {
		if !strings.Contains(p.textOf(&p.spans), span) {
			t.Errorf("the collector got no span %q", span)
		}
	}
}

// Guards against operator endpoints that do not answer, or whose responses use other names than the documented ones.
func TestOperatorEndpoints(t *testing.T) {
	p := startNodePair(t)
	for path, want := range map[string][]string{
		"/healthz": {"ok"},
		"/readyz":  {"ready"},
		"/status":  {`"node":"n1"`, `"zone":"Larvik"`, `"number":1`, `"state":"alive"`, `"version_age_ms":`},
		"/tables":  {`"version":1`, `[route catalogue]`},
		"/metrics": {
			`rosemaryhatch_calls_total{priority="0",outcome="done",reason="none"} 1`, "rosemaryhatch_config_version 1",
			`rosemaryhatch_members{state="alive"} 2`, `rosemaryhatch_peer_bytes_total{class="control",direction="out"}`,
			`rosemaryhatch_platform_calls_total{method="`, "# TYPE rosemaryhatch_reducer_event_seconds histogram",
			`rosemaryhatch_event_queue_length{queue="arrivals"} 0`,
		},
	} {
		response, err := http.Get("http://" + p.callerNodeAddresses.Operator + path)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		for _, text := range want {
			if response.StatusCode != http.StatusOK || !strings.Contains(string(body), text) {
				t.Errorf("%s: status %d, no %s in %s", path, response.StatusCode, text, body)
			}
		}
	}
	p.callerNode.Shutdown()
	response, err := http.Get("http://" + p.callerNodeAddresses.Operator + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("/readyz of a node that shuts down: status %d", response.StatusCode)
	}
}
