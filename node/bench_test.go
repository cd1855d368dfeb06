package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"syscall"
	"testing"
	"time"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	store "github.com/rosemaryhatch/rosemaryhatch/platform/kv"
)

// BenchmarkCall measures sequential calls over loopback on three paths: directly to the backend server, through one
// node and through two. One process runs the caller, the nodes and the backend server, so that the overhead of the
// nodes is the difference from the direct path.
func BenchmarkCall(b *testing.B) {
	kv := httptest.NewServer(standin.New())
	b.Cleanup(kv.Close) // runs after the nodes have stopped
	kvAddress := kv.Listener.Addr().String()
	writeTables(b, store.New(kvAddress), 1, testRoutes, testPools)
	remoteNode := startNode(b, "n1", "Larvik", kvAddress)
	localNode := startNode(b, "n2", "Larvik", kvAddress, remoteNode.Listen.Peers)
	_, backendAddress := startBackend(b, localNode.Listen.Register, 0)
	for _, node := range []string{remoteNode.Listen.Callers, localNode.Listen.Callers} {
		callUntilServed(b, node, "/catalogue/first", "r0", "")
	}
	b.Run("direct", func(b *testing.B) { benchmarkCalls(b, backendAddress) })
	b.Run("one node", func(b *testing.B) { benchmarkCalls(b, localNode.Listen.Callers) })
	b.Run("two nodes", func(b *testing.B) { benchmarkCalls(b, remoteNode.Listen.Callers) })
}

// benchmarkCalls sends sequential requests to an address and reports CPU time and latency percentiles.
func benchmarkCalls(b *testing.B, address string) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	var latencies []time.Duration
	b.ReportAllocs()
	before := processCPUTime(b)
	for b.Loop() {
		begin := time.Now()
		response, err := client.Get("http://" + address + "/catalogue/7")
		if err != nil {
			b.Fatal(err)
		}
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			b.Fatalf("status %d, %v", response.StatusCode, err)
		}
		latencies = append(latencies, time.Since(begin))
	}
	b.ReportMetric(float64(processCPUTime(b)-before)/float64(b.N)/1e3, "cpu-us/op")
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2])/1e3, "p50-us")
	b.ReportMetric(float64(latencies[len(latencies)*99/100])/1e3, "p99-us")
}

func processCPUTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}
