package node

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// linkCalls counts the ends of calls and keeps the times of some.
type linkCalls struct {
	mu      sync.Mutex
	ends    map[string]int
	small   []time.Duration
	refused []time.Duration
}

// get makes a call and checks the length of its response.
func (c *linkCalls) get(url string, length int) {
	began := time.Now()
	response, err := http.Get(url)
	took := time.Since(began)
	end := "error"
	if err == nil {
		n, _ := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if end = response.Header.Get("Rosemaryhatch-Outcome"); end == "done" && length > 0 && int(n) != length {
			end = "short"
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case length == 0 && end != "done":
		c.small = append(c.small, time.Minute)
	case length == 0:
		c.small = append(c.small, took)
	case end == "not_run":
		c.refused = append(c.refused, took)
		fallthrough
	default:
		c.ends[end]++
	}
}

// BenchmarkLinkDownloads asks a service behind a link of 10 Mbit/s for 1.5 times what the link carries, for 15 s: downloads of
// 90 KB in the mean with 3 s each, and a small call each 33 ms. It reports how the downloads ended, and the times of the
// small calls and the refusals.
func BenchmarkLinkDownloads(b *testing.B) {
	for name, mbps := range map[string]float64{"without link_mbps": 0, "with link_mbps": uploadLinkMbps} {
		b.Run(name, func(b *testing.B) {
			address := "http://" + startUploads(b, mbps)
			for b.Loop() {
				calls := &linkCalls{ends: map[string]int{}}
				rng := rand.New(rand.NewPCG(1, 2))
				var group sync.WaitGroup
				end := time.Now().Add(15 * time.Second)
				group.Go(func() {
					for time.Now().Before(end) {
						group.Go(func() { calls.get(address+"/lookup", 0) })
						time.Sleep(33 * time.Millisecond)
					}
				})
				for time.Now().Before(end) {
					n := min(int(rng.ExpFloat64()*90_000)+1, 540_000)
					group.Go(func() { calls.get(fmt.Sprintf("%s/download/%d", address, n), n) })
					time.Sleep(time.Duration(rng.ExpFloat64() * float64(48*time.Millisecond)))
				}
				group.Wait()
				for _, end := range []string{"done", "not_run", "unknown", "short", "error"} {
					b.ReportMetric(float64(calls.ends[end]), end)
				}
				for name, times := range map[string][]time.Duration{"small": calls.small, "refused": calls.refused} {
					if slices.Sort(times); len(times) > 0 {
						b.ReportMetric(times[len(times)*95/100].Seconds()*1e3, name+"-p95-ms")
					}
				}
			}
		})
	}
}
