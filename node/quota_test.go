package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
)

const quotaConfig = `{"version":"00000001","services":[{"name":"desk"}],"tenants":[{"name":"red","api-keys":["red-1"],"priority":0,
"rate-per-s":20,"burst":20}],"virtual-hosts":[{"host":"desk.example","paths":[{"name":"all","prefix":"/v1/","kind":"idempotent","timeout-ms":2000,"service":"desk"}]}]}`

// Guards against messages about quotas that do not reach the other node, and against refusals without status 429 and
// Retry-After.
func TestQuotaOverTwoProcesses(t *testing.T) {
	var ran atomic.Int64
	h := startHostedNodes(t, func(conn net.Conn) {
		defer conn.Close()
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil || writeResponse(conn, request.Header.Get(hosted.HeaderAttempt), "ran") != nil {
				return
			}
			ran.Add(1)
		}
	})
	h.store.OperatorPut(hosted.KeyConfig, []byte(quotaConfig))
	var statuses [2]map[int]int
	for node := range statuses {
		statuses[node] = map[int]int{}
		waitFor(t, func() bool { return h.sendWithKey(t, node, "/v1/ready", []string{"red-1"}) == http.StatusOK })
	}
	begin := ran.Load()
	const duration = 5 * time.Second
	start := time.Now()
	// One caller after the other would be refused nothing: a call waits for a token for up to 100 ms, in which two are added.
	const callers = 4 // of each node
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 2 * callers {
		node := i % 2
		wg.Go(func() {
			for n := 0; time.Since(start) < duration; n++ {
				status := h.sendWithKey(t, node, fmt.Sprint("/v1/", i, "/", n), []string{"red-1"})
				mu.Lock()
				statuses[node][status]++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	passed := ran.Load() - begin
	t.Logf("%d requests ran in %v: %v", passed, elapsed, statuses)
	if most := 20*elapsed.Seconds() + 20; float64(passed) > most+1 {
		t.Errorf("%d requests ran in %v, the quota allows %.0f", passed, elapsed, most)
	}
	for node, byStatus := range statuses {
		if byStatus[http.StatusOK] == 0 || byStatus[http.StatusTooManyRequests] == 0 || len(byStatus) > 2 {
			t.Errorf("node %d: %v", node, byStatus)
		}
	}
}
