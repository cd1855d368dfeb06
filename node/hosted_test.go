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

// site is the users' platform with a node in each of two zones and a backend server beside the second.
type site struct {
	store   *standin.Server
	callers [2]string // address for callers of each node
}

// startSite starts both nodes; serve answers on the connections to the backend server.
func startSite(t *testing.T, serve func(net.Conn)) *site {
	t.Helper()
	p := &site{store: standin.New()}
	kv := httptest.NewServer(p.store)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go acceptAll(server, serve)
	ctx, cancel := context.WithCancel(context.Background())
	var ended [2]chan struct{}
	for i, zone := range []string{"Larvik", "Horten"} {
		listeners, addresses := openListeners(t)
		s := settings.Settings{
			Node:     settings.Node{ID: fmt.Sprint("n", i), Zone: zone, System: "test"},
			Backend:  settings.Backend{Service: "desk", Address: server.Addr().String(), Heartbeat: 100 * time.Millisecond},
			Listen:   addresses,
			Platform: settings.Platform{Mode: settings.ModeHosted, Address: kv.Listener.Addr().String()},
			Limits:   settings.Limits{Calls: 1000, BodyBytes: 1 << 24, QueuedBytes: 1 << 24, Records: 1000},
			Shutdown: settings.Shutdown{Timeout: time.Second},
		}
		n := New(s, listeners, store.New(s.Platform.Address), log.NewNopLogger())
		p.callers[i] = addresses.Callers
		ended[i] = make(chan struct{})
		go func() {
			n.Run(ctx)
			close(ended[i])
		}()
		if i == 1 {
			go register(ctx, addresses.Register, s.Backend)
		}
	}
	t.Cleanup(func() {
		cancel()
		for _, end := range ended {
			<-end
		}
		server.Close()
		kv.Close()
	})
	return p
}

func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// register sends the registrations of a backend server until the context ends.
func register(ctx context.Context, node string, b settings.Backend) {
	for sequence := uint64(1); ctx.Err() == nil; sequence++ {
		body, _ := json.Marshal(backend.Registration{
			Service: b.Service, Address: b.Address, Slots: 6, State: backend.StateReady, Sequence: sequence, Born: 1,
		})
		if response, err := http.Post("http://"+node+backend.RegisterPath+"b1", "application/json", bytes.NewReader(body)); err == nil {
			response.Body.Close()
		}
		time.Sleep(b.Heartbeat)
	}
}

// put writes a version of the configuration as the operator does. Each version has a path of its own.
func (p *site) put(version int) {
	p.store.OperatorPut(hosted.KeyConfig, fmt.Appendf(nil, `{"version":"%08x","services":[{"name":"desk","max-connections":100}],
		"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":2000,"idle-timeout-ms":60000},
		"virtual-hosts":[{"host":"desk.example","paths":[{"name":"all","prefix":"/v%d","kind":"idempotent",
		"timeout-ms":2000,"target-latency-ms":500,"priority":1,"service":"desk","max-attempts":3}]}]}`, version, version))
}

// get sends a request and returns the status and the body of the response.
func (p *site) get(node int, path, id string) (int, string, error) {
	request, _ := http.NewRequest(http.MethodGet, "http://"+p.callers[node]+path, nil)
	request.Host = "desk.example"
	request.Header.Set(hosted.HeaderAttempt, id)
	request.Header.Set(hosted.HeaderTimeLeft, "2000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// await waits until a node serves the path of a version, and returns how long it took.
func (p *site) await(t *testing.T, node, version int) time.Duration {
	t.Helper()
	began := time.Now()
	var last string
	for i := 0; time.Since(began) < waitLimit; i++ {
		status, body, err := p.get(node, fmt.Sprint("/v", version), fmt.Sprint("await", node, version, i))
		if err == nil && status == http.StatusOK {
			return time.Since(began)
		}
		last = fmt.Sprint(status, " ", body, " ", err)
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("node %d does not serve version %d, last response %s", node, version, last)
	return 0
}

func writeResponse(w io.Writer, id, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s",
		hosted.HeaderAttempt, id, hosted.HeaderSeal, len(body), body)
	return err
}

// serveAll answers the requests of a connection. With extra, an old response stands before or behind each.
func serveAll(conn net.Conn, extra func(n int64) bool, count *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	last := "none"
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, n := request.Header.Get(hosted.HeaderAttempt), count.Add(1)
		if extra(n) && n%2 == 0 {
			_ = writeResponse(conn, last, "late "+last) // the write of the response fails, too
		}
		if writeResponse(conn, id, "ran "+id) != nil {
			return
		}
		if extra(n) && n%2 == 1 {
			_ = writeResponse(conn, id, "again "+id)
		}
		last = id
	}
}

// Guards against a late or doubled response of the backend server on a reused connection that reaches the
// caller of a later request, and against calls that fail because of it.
func TestResponsesOfOtherRequestsAreSkipped(t *testing.T) {
	var count atomic.Int64
	extra := func(n int64) bool { return n%3 != 0 }
	p := startSite(t, func(conn net.Conn) { serveAll(conn, extra, &count) })
	p.put(1)
	for node := range p.callers {
		p.await(t, node, 1)
		for i := range 200 {
			id := fmt.Sprintf("request-%d-%d", node, i)
			status, body, err := p.get(node, "/v1/x", id)
			if err != nil || status != http.StatusOK || body != "ran "+id {
				t.Fatalf("%s got %d %q, %v", id, status, body, err)
			}
		}
	}
}

// Guards against a version that is not in force on a node within the operator's bound after a fault of the
// store, and against a node that is not found any more after its entry lapsed.
func TestVersionsComeInForceAfterStoreFaults(t *testing.T) {
	const bound = 2 * time.Second // config-apply-ms of the users' sites
	var count atomic.Int64
	p := startSite(t, func(conn net.Conn) { serveAll(conn, func(int64) bool { return false }, &count) })
	version := 1
	p.put(version)
	for node := range p.callers {
		p.await(t, node, version)
	}
	for _, fault := range []standin.Fault{
		{Kind: standin.FaultBusy}, {Kind: standin.FaultDown}, {Kind: standin.FaultCutWatch}, {Kind: standin.FaultHistory},
		{Kind: standin.FaultStaleRead}, {Kind: standin.FaultRateLimit, Limit: 1}, {Kind: standin.FaultAnswerLost, Count: 3},
		{Kind: standin.FaultLeaseLapsed}, {Kind: standin.FaultSlow, DelayMs: 300}, {Kind: standin.FaultSilent},
	} {
		t.Run(string(fault.Kind), func(t *testing.T) {
			inject(t, p.store, fault)
			time.Sleep(500 * time.Millisecond)
			version += 3
			p.put(version)
			time.Sleep(500 * time.Millisecond)
			inject(t, p.store, standin.Fault{Kind: standin.FaultNone})
			for node := range p.callers {
				if took := p.await(t, node, version); took > bound {
					t.Errorf("node %d has version %d in force after %v, expected at most %v", node, version, took, bound)
				}
			}
		})
	}
}

func inject(t *testing.T, s *standin.Server, fault standin.Fault) {
	t.Helper()
	if err := s.Inject(fault); err != nil {
		t.Fatal(err)
	}
}
