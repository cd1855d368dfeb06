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
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/runner/backend"
)

const downloadRoutes = `
[route documents]
path = /documents
pool = stitchroom
idempotent = yes
streaming = yes
timeout = 30s
[route whole]
path = /whole
pool = stitchroom
idempotent = yes
timeout = 30s
`

// startDownloadBackend runs a backend server that answers every request with body, and registers it with a node. It has
// enough slots for all downloads of a test.
func startDownloadBackend(t testing.TB, register string, body []byte) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(body) }))
	ctx, cancel := context.WithCancel(context.Background())
	beat := func() {
		text, _ := json.Marshal(backend.Registration{Service: "stitchroom", Address: server.Listener.Addr().String(), Slots: 80, State: backend.StateReady})
		response, err := http.Post("http://"+register+backend.RegisterPath+"i1", "application/json", bytes.NewReader(text))
		if err == nil {
			response.Body.Close()
		}
	}
	go func() {
		for ctx.Err() == nil {
			beat()
			time.Sleep(100 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		server.Close()
	})
}

// startDownloads runs two nodes, of which the second has the backend server, and returns the address of the first.
func startDownloads(t testing.TB, body []byte) string {
	t.Helper()
	kv := httptest.NewServer(standin.New())
	t.Cleanup(kv.Close)
	kvAddress := kv.Listener.Addr().String()
	writeTables(t, store.New(kvAddress), 1, downloadRoutes, testPools)
	first := startNode(t, "n1", "Larvik", kvAddress)
	second := startNode(t, "n2", "Larvik", kvAddress, first.Listen.Peers)
	startDownloadBackend(t, second.Listen.Register, body)
	callUntilServed(t, first.Listen.Callers, "/documents/first", "r0", "")
	return first.Listen.Callers
}

// download reads a response and returns the time to its first byte.
func download(address, path string, want []byte) (firstByte time.Duration, ok bool) {
	began := time.Now()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	firstByte = time.Since(began)
	part, offset := make([]byte, 32<<10), 0
	for {
		n, err := response.Body.Read(part)
		if offset+n > len(want) || !bytes.Equal(part[:n], want[offset:offset+n]) {
			return firstByte, false
		}
		if offset += n; err != nil {
			return firstByte, err == io.EOF && offset == len(want)
		}
	}
}

// Guards against a long download that is refused, cut or changed on its way through two nodes, and against a caller that
// reads slowly and holds up the others.
func TestLongDownloadCrossesTwoNodes(t *testing.T) {
	body := bytes.Repeat([]byte("care plan "), 2<<20) // more than a node keeps of any response
	address := startDownloads(t, body)
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	io.WriteString(slow, "GET /documents/slow HTTP/1.1\r\nHost: h\r\n\r\n") // and reads nothing
	for range 3 {
		if _, ok := download(address, "/documents/7", body); !ok {
			t.Error("a download is not complete")
		}
	}
}

// BenchmarkDownloads measures the memory of both nodes, the caller and the backend server, which are one process, and the
// times to the first byte, for 64 downloads of 4 MiB at once, without and with one more caller that reads 64 KB/s.
func BenchmarkDownloads(b *testing.B) {
	body := bytes.Repeat([]byte("care plan\n"), 4<<20/10)
	address := startDownloads(b, body)
	for _, path := range []string{"/whole/7", "/documents/7"} {
		for _, slow := range []int{0, 1} {
			b.Run(fmt.Sprintf("%s/slow=%d", path[1:len(path)-2], slow), func(b *testing.B) { benchmarkDownloads(b, address, path, body, slow) })
		}
	}
}

func benchmarkDownloads(b *testing.B, address, path string, body []byte, slow int) {
	const downloads = 64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runtime.GC()
	for range slow {
		go readSlowly(ctx, address, path)
	}
	var peak atomic.Uint64
	go func() {
		for ctx.Err() == nil {
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			peak.Store(max(peak.Load(), memory.HeapInuse))
			time.Sleep(2 * time.Millisecond)
		}
	}()
	var mu sync.Mutex
	var firstBytes, ends []time.Duration
	for b.Loop() {
		var group sync.WaitGroup
		for range downloads {
			group.Go(func() {
				began := time.Now()
				firstByte, ok := download(address, path, body)
				if !ok {
					b.Error("a download is not complete")
				}
				mu.Lock()
				defer mu.Unlock()
				firstBytes, ends = append(firstBytes, firstByte), append(ends, time.Since(began))
			})
		}
		group.Wait()
	}
	b.ReportMetric(float64(peak.Load())/(1<<20), "peak-MiB")
	for name, times := range map[string][]time.Duration{"first-byte": firstBytes, "last-byte": ends} {
		slices.Sort(times)
		b.ReportMetric(times[len(times)/2].Seconds()*1e3, name+"-p50-ms")
		b.ReportMetric(times[len(times)*95/100].Seconds()*1e3, name+"-p95-ms")
	}
}

// maxSlowShare bounds the memory that a slow download may hold at both nodes together: at the ingress node what is delivered as
// a whole, 768 KiB and two parts of 64 KiB, at the target a window of four parts and three parts on their way, and half as much
// again for buffers of connections.
const maxSlowShare = (768<<10 + 2*64<<10 + 7*64<<10) * 3 / 2

// Guards against a caller that reads slowly and makes the nodes keep its whole response, and against one that holds up others.
func TestSlowDownloadsHoldABoundedShare(t *testing.T) {
	const slow = 8
	body := bytes.Repeat([]byte("care plan "), 16<<20/10)
	address := startDownloads(t, body)
	complete := func() {
		for range 4 {
			if _, ok := download(address, "/documents/7", body); !ok {
				t.Error("a download is not complete")
			}
		}
	}
	complete() // what stays in use after the first downloads is no share of the slow ones
	before := heapInUse()
	for range slow {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "GET /documents/slow HTTP/1.1\r\nHost: h\r\n\r\n")
		if _, err := io.ReadFull(conn, make([]byte, 64<<10)); err != nil { // and no more
			t.Fatal(err)
		}
	}
	complete()
	share := (heapInUse() - before) / slow
	t.Logf("%d KiB are held for each of %d slow downloads", share>>10, slow)
	if share > maxSlowShare {
		t.Errorf("%d KiB are held for each slow download, expected at most %d", share>>10, maxSlowShare>>10)
	}
}

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // the first one may leave what finalizers and pools keep
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return int64(memory.HeapAlloc)
}

// readSlowly downloads at 64 KB/s until ctx ends.
func readSlowly(ctx context.Context, address, path string) {
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	for ctx.Err() == nil {
		if _, err := io.CopyN(io.Discard, response.Body, 6400); err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
