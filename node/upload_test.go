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
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/link"
	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const uploadRoutes = `
[route uploads]
path = /uploads
pool = stitchroom
idempotent = no
upload = yes
timeout = 60s
[route download]
path = /download
pool = stitchroom
idempotent = yes
streaming = yes
timeout = 3s
[route lookup]
path = /lookup
pool = stitchroom
idempotent = yes
timeout = 60s
`

// uploadLinkMbps is the rate of the link between the nodes in each direction.
const uploadLinkMbps = 10

// startUploads runs two nodes with a slow link to the second, which has a backend server that answers with the length of
// the body. It returns the address of the first.
func startUploads(t testing.TB, mbps float64) string {
	kv := httptest.NewServer(standin.New())
	t.Cleanup(kv.Close)
	writeTables(t, store.New(kv.Listener.Addr().String()), 1, uploadRoutes, testPools)
	ctx, cancel := context.WithCancel(context.Background())
	var nodes sync.WaitGroup
	run := func(id string, slow bool, seeds ...string) settings.Listen {
		listeners, addresses := openListeners(t)
		if slow {
			proxy, err := link.Start(addresses.Peers, uploadLinkMbps)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(proxy.Close)
			addresses.AdvertisePeers = proxy.Address()
		}
		n := New(settings.Settings{
			Node: settings.Node{ID: id, Zone: "Larvik", System: "test"}, Listen: addresses, Peers: settings.Peers{Seeds: seeds},
			Limits:   settings.Limits{Calls: 1000, BodyBytes: 1 << 26, QueuedBytes: 1 << 26, ResponseBytes: 1 << 24, Records: 1000},
			Shutdown: settings.Shutdown{Timeout: time.Second}, Instance: settings.Instance{LinkMbps: mbps},
		}, listeners, store.New(kv.Listener.Addr().String()), log.NewNopLogger())
		nodes.Go(func() { n.Run(ctx) })
		return addresses
	}
	first := run("n1", false)
	second := run("n2", true, first.Peers)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var size int
		if _, err := fmt.Sscanf(r.URL.Path, "/download/%d", &size); err == nil {
			time.Sleep(30 * time.Millisecond)
			w.Write(make([]byte, size))
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	}))
	nodes.Go(func() { keepRegistered(ctx, second.Register, server) })
	t.Cleanup(func() {
		cancel()
		nodes.Wait()
		server.Close()
	})
	callUntilServed(t, first.Callers, "/lookup", "r0", "")
	return first.Callers
}

// keepRegistered registers a backend server with 80 slots at a node until ctx ends.
func keepRegistered(ctx context.Context, register string, server *httptest.Server) {
	text, _ := json.Marshal(backend.Registration{Service: "stitchroom", Address: server.Listener.Addr().String(), Slots: 80, State: backend.StateReady})
	for ctx.Err() == nil {
		if response, err := http.Post("http://"+register+backend.RegisterPath+"i1", "application/json", bytes.NewReader(text)); err == nil {
			response.Body.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// uploadAll sends uploads at once and returns how many got the length of the body.
func uploadAll(address string, uploads, length int) int {
	var served int
	var mu sync.Mutex
	var group sync.WaitGroup
	for range uploads {
		group.Go(func() {
			response, err := http.Post("http://"+address+"/uploads/1", "image/png", bytes.NewReader(make([]byte, length)))
			if err != nil {
				return
			}
			defer response.Body.Close()
			text, _ := io.ReadAll(response.Body)
			mu.Lock()
			defer mu.Unlock()
			if response.StatusCode == http.StatusOK && string(text) == fmt.Sprint(length) {
				served++
			}
		})
	}
	group.Wait()
	return served
}

// Guards against uploads that do not arrive whole when their bodies are sent ahead of their calls.
func TestUploadsCrossALink(t *testing.T) {
	address := startUploads(t, uploadLinkMbps)
	if served := uploadAll(address, 4, 100_000); served != 4 {
		t.Errorf("%d of 4 uploads were served", served)
	}
}

// Guards against an upload that runs although its body is not the one that was announced, and against an outcome that says
// less than is known: nothing was sent on.
func TestBodiesOtherThanAnnounced(t *testing.T) {
	address := startUploads(t, uploadLinkMbps)
	for name, c := range map[string]struct{ sent, status int }{"stops halfway": {50_000, 400}, "sends more": {100_000, 200}} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "POST /uploads/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", make([]byte, c.sent))
		if c.status == 400 {
			conn.(*net.TCPConn).CloseWrite() // it still reads
		} else {
			io.WriteString(conn, "more\r\n\r\n")
		}
		conn.SetReadDeadline(time.Now().Add(waitTimeout))
		r := bufio.NewReader(conn)
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		text, _ := io.ReadAll(response.Body)
		if response.StatusCode != c.status {
			t.Errorf("%s: status %d, %s", name, response.StatusCode, text)
		}
		if c.status == 400 && response.Header.Get("Rosemaryhatch-Outcome") != "not_run" {
			t.Errorf("%s: %v", name, response.Header)
		}
		if next, err := http.ReadResponse(r, nil); err == nil && next.StatusCode < 400 {
			t.Errorf("%s: bytes beyond the body were answered with %d", name, next.StatusCode)
		}
	}
}

// BenchmarkUploads measures 64 uploads of 360 KB at once over a link of 10 Mbit/s: the memory of both nodes, the callers and the
// backend server, which are one process, and the time of small calls meanwhile.
func BenchmarkUploads(b *testing.B) {
	for name, mbps := range map[string]float64{"not paced": 0, "paced": uploadLinkMbps} {
		b.Run(name, func(b *testing.B) {
			address := startUploads(b, mbps)
			runtime.GC()
			for b.Loop() {
				benchmarkUploads(b, address)
			}
		})
	}
}

func benchmarkUploads(b *testing.B, address string) {
	ctx, cancel := context.WithCancel(context.Background())
	var peak uint64
	var times []time.Duration
	var group sync.WaitGroup
	group.Go(func() {
		for ctx.Err() == nil {
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			peak = max(peak, memory.HeapInuse)
			time.Sleep(20 * time.Millisecond)
		}
	})
	group.Go(func() {
		for ctx.Err() == nil {
			began := time.Now()
			if response, err := http.Get("http://" + address + "/lookup"); err == nil {
				response.Body.Close()
			}
			times = append(times, time.Since(began))
			time.Sleep(20 * time.Millisecond)
		}
	})
	began := time.Now()
	served := uploadAll(address, 64, 360_000)
	took := time.Since(began)
	cancel()
	group.Wait()
	slices.Sort(times)
	b.ReportMetric(float64(served), "served")
	b.ReportMetric(took.Seconds(), "all-s")
	b.ReportMetric(float64(peak)/(1<<20), "peak-MiB")
	b.ReportMetric(times[len(times)*95/100].Seconds()*1e3, "small-p95-ms")
	b.ReportMetric(times[len(times)-1].Seconds()*1e3, "small-max-ms")
}
