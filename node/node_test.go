package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const testRoutes = `
[route catalogue]
path = /catalogue
pool = stitchroom
priority = 1
idempotent = yes
[route dues]
path = /dues
pool = stitchroom
priority = 0
`

const testPools = `
[pool stitchroom]
service = stitchroom
ramp = 0s
`

// waitTimeout bounds the wait for an expected event. It is far above the target of 7 s, so that a slow machine does not
// fail the test.
const waitTimeout = 60 * time.Second

// openListeners opens the listeners of a node on free ports and returns them with their addresses.
func openListeners(t testing.TB) (*Listeners, settings.Listen) {
	t.Helper()
	anyPort := "127.0.0.1:0"
	l, err := Listen(settings.Listen{Callers: anyPort, Peers: anyPort, Operator: anyPort, Register: anyPort})
	if err != nil {
		t.Fatal(err)
	}
	return l, settings.Listen{
		Callers: l.Callers.Addr().String(), Peers: l.Peers.Addr().String(),
		Operator: l.Operator.Addr().String(), Register: l.Register.Addr().String(),
	}
}

// writeTables writes a version of the tables to the store, as rosemaryhatchctl does.
func writeTables(t testing.TB, kv platform.Store, version uint64, routes, pools string) {
	t.Helper()
	ctx := context.Background()
	entry, err := kv.Get(ctx, platform.KeyConfig)
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(tables.Document{
		Version: version, EditID: fmt.Sprint("edit-", version), Routes: routes, Pools: pools,
		Hash: tables.ContentHash(routes, pools),
	})
	if err != nil {
		t.Fatal(err)
	}
	if outcome, _, err := kv.CompareAndSwap(ctx, platform.KeyConfig, entry.Revision, value); outcome != platform.Applied {
		t.Fatalf("write of version %d: %v, %v", version, outcome, err)
	}
}

// startNode runs a node until the end of the test and returns its settings.
func startNode(t testing.TB, id, zone, kv string, seeds ...string) settings.Settings {
	t.Helper()
	listeners, addresses := openListeners(t)
	s := settings.Settings{
		Node:     settings.Node{ID: id, Zone: zone, System: "test"},
		Listen:   addresses,
		Peers:    settings.Peers{Seeds: seeds},
		Platform: settings.Platform{Address: kv},
		Limits:   settings.Limits{Calls: 1000, BodyBytes: 1 << 24, QueuedBytes: 1 << 24, ResponseBytes: 1 << 24, Records: 1000},
		Shutdown: settings.Shutdown{Timeout: time.Second},
	}
	n := New(s, listeners, store.New(kv), log.NewNopLogger())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return s
}

// startBackend runs a backend server that registers with a node, and returns the server and its address.
func startBackend(t testing.TB, register string, serviceTime time.Duration) (*backend.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := backend.New(backend.Options{
		Service: "stitchroom", Address: listener.Addr().String(), RegisterAddress: register,
		Slots: 6, ServiceTime: serviceTime,
	})
	server := &http.Server{Handler: b}
	go server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	go b.Register(ctx)
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
	return b, listener.Addr().String()
}

// callUntilServed repeats a request until it is served, because the nodes need a moment to load the tables and to
// discover each other.
func callUntilServed(t testing.TB, address, path, id, body string) string {
	t.Helper()
	var last []byte
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		request, _ := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
		request.Header.Set(backend.HeaderRequestID, id)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode == http.StatusOK {
			return string(content)
		}
		last = content
		if !bytes.Contains(content, []byte("not_run")) {
			t.Fatalf("%s: status %d, %s", path, response.StatusCode, content)
		}
	}
	t.Fatalf("%s was not served within %v, last response %s", path, waitTimeout, last)
	return ""
}

// Guards against a fault anywhere on the path of a call: store, tables, ingress node, target node, backend server and
// back.
func TestCallCrossesTwoNodes(t *testing.T) {
	kv := httptest.NewServer(standin.New())
	defer kv.Close()
	kvAddress := kv.Listener.Addr().String()
	writeTables(t, store.New(kvAddress), 1, testRoutes, testPools)
	first := startNode(t, "n1", "Larvik", kvAddress)
	second := startNode(t, "n2", "Horten", kvAddress, first.Listen.Peers)
	b, _ := startBackend(t, second.Listen.Register, time.Millisecond)
	if got, want := callUntilServed(t, first.Listen.Callers, "/dues/42", "r1", "amount=7"), "r1 /dues/42 amount=7"; got != want {
		t.Errorf("response is %q, expected %q", got, want)
	}
	if count := b.Executions()["r1"]; count != 1 {
		t.Errorf("request ran %d times, expected once", count)
	}
}
