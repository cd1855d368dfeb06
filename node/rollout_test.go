package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// versionedNodes are four nodes in hosted mode with roll-outs, two beside backend servers of v1 and two of v2.
type versionedNodes struct {
	hostedNodes
	served  map[string]*atomic.Int64 // requests by version
	failing atomic.Bool              // v2 answers 500
}

func startVersionedNodes(t *testing.T) *versionedNodes {
	t.Helper()
	v := &versionedNodes{served: map[string]*atomic.Int64{"v1": {}, "v2": {}}}
	v.store = standin.New()
	kv := httptest.NewServer(v.store)
	t.Cleanup(kv.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range 4 {
		version := []string{"v1", "v2"}[i/2]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			v.served[version].Add(1)
			w.Header().Set(hosted.HeaderAttempt, r.Header.Get(hosted.HeaderAttempt))
			w.Header().Set(hosted.HeaderSeal, "1")
			if version == "v2" && v.failing.Load() {
				w.WriteHeader(http.StatusInternalServerError)
			}
		}))
		t.Cleanup(server.Close)
		listeners, addresses := openListeners(t)
		s := settings.Settings{
			Node:     settings.Node{ID: fmt.Sprint("n", i), Zone: []string{"Larvik", "Horten"}[i%2], System: "test"},
			Backend:  settings.Backend{Service: "desk", Address: server.Listener.Addr().String(), Heartbeat: 100 * time.Millisecond},
			Listen:   addresses,
			Platform: settings.Platform{Mode: settings.ModeHosted, Address: kv.Listener.Addr().String()},
			Limits:   settings.Limits{Calls: 1000, BodyBytes: 1 << 24, QueuedBytes: 1 << 24, ResponseBytes: 1 << 24, Records: 1000},
			Rollouts: settings.Rollouts{Enabled: true, ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second},
			Shutdown: settings.Shutdown{Timeout: time.Second},
		}
		n := New(s, listeners, store.New(s.Platform.Address), log.NewNopLogger())
		if i < 2 {
			v.callerAddresses[i] = addresses.Callers
		}
		ended := make(chan struct{})
		go func() { n.Run(ctx); close(ended) }()
		t.Cleanup(func() { cancel(); <-ended })
		go registerVersion(ctx, addresses.Register, s.Backend, version)
		if i == 1 {
			time.Sleep(time.Second) // v2 is started beside v1
		}
	}
	v.putVersion(1)
	v.waitForVersion(t, 0, 1)
	v.waitForVersion(t, 1, 1)
	return v
}

// load sends 100 requests a second to both nodes of v1 until ctx ends, and counts those that fail.
func (v *versionedNodes) load(ctx context.Context, failed *atomic.Int64) {
	for i := 0; ctx.Err() == nil; i++ {
		go func() {
			if status, _, err := v.get(i%2, "/v1", fmt.Sprint("load", i)); err != nil || status != http.StatusOK {
				failed.Add(1)
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitStatus waits until the status has the given state.
func (v *versionedNodes) awaitStatus(t *testing.T, kv *store.Client, want string, within time.Duration) {
	t.Helper()
	var status platform.RolloutStatus
	start := time.Now()
	for time.Since(start) < within {
		entry, err := kv.Get(context.Background(), hosted.KeyStatusPrefix+"desk")
		if err == nil && entry.Revision > 0 {
			status, err = hosted.Rollouts().DecodeStatus(entry.Value)
		}
		if err == nil && status.State == want {
			t.Logf("%s after %v: %s", want, time.Since(start), status.Reason)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("status is %+v after %v, expected %s", status, within, want)
}

// Guards against whole nodes that do not carry out an order of the platform's operator: a version gets no request before
// its order, a failing one is rolled back and gets none after that, a good one gets all and the old one none.
func TestOperatorOrdersRollouts(t *testing.T) {
	v := startVersionedNodes(t)
	kvServer := httptest.NewServer(v.store)
	defer kvServer.Close()
	kv := store.New(kvServer.Listener.Addr().String())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var failed atomic.Int64
	go v.load(ctx, &failed)
	time.Sleep(time.Second)
	if v.served["v2"].Load() > 0 || failed.Load() > 0 {
		t.Errorf("before the order v2 served %d requests, %d failed", v.served["v2"].Load(), failed.Load())
	}
	v.failing.Store(true)
	v.order("v2", 12)
	v.awaitStatus(t, kv, "running", 2*time.Second)
	v.awaitStatus(t, kv, "rolled_back", 12*time.Second)
	time.Sleep(200 * time.Millisecond)
	if before := v.served["v2"].Load(); before == 0 || before > 100 {
		t.Errorf("the failing version served %d requests, expected 1 to 100", before)
	}
	before := v.served["v2"].Load()
	time.Sleep(time.Second)
	if after := v.served["v2"].Load(); after > before {
		t.Errorf("the failing version served %d requests after the roll-back", after-before)
	}
	v.failing.Store(false)
	v.order("v2", 12)
	v.awaitStatus(t, kv, "running", 2*time.Second)
	v.awaitStatus(t, kv, "succeeded", 12*time.Second)
	before = v.served["v1"].Load()
	time.Sleep(time.Second)
	if after := v.served["v1"].Load(); after > before || v.served["v2"].Load() == 0 {
		t.Errorf("the old version served %d requests after the success", after-before)
	}
}

func (v *versionedNodes) order(version string, seconds int) {
	v.store.OperatorPut(hosted.KeyRolloutPrefix+"desk", fmt.Appendf(nil, `{"service":"desk","target-version":%q,"duration-s":%d}`, version, seconds))
}

// registerVersion registers a backend server with a version at each heartbeat interval until ctx is cancelled.
func registerVersion(ctx context.Context, node string, b settings.Backend, version string) {
	registerUntil(ctx, node, b.Heartbeat, backend.Registration{Service: b.Service, Address: b.Address, Slots: 6, State: backend.StateReady, Born: 1, Version: version})
}
