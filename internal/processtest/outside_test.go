package processtest

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	protocol "github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

// newCancellableContext returns a context that ends with the test or when it is cancelled.
func newCancellableContext(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithCancel(t.Context())
}

// Guards against nodes that return to an older version while the platform is down or has lost its data, and against an edit
// that takes longer than the bound once the platform is back.
func TestPlatformRestartedEmpty(t *testing.T) {
	c := startCluster(t, nil)
	const downtime = 10 * time.Second
	stop := c.WatchVersions(t.Context())
	ctx, cancel := newCancellableContext(t)
	awaitReport := StartLoad(ctx, 41, time.Minute, CallSpecs(callTimeout), c.Places...)
	c.Platform.Signal(syscall.SIGKILL)
	if err := c.Apply(t.Context(), 2); err == nil {
		t.Error("an edit reports success while the platform is down")
	}
	sleep(t, downtime)
	requireNoError(t, c.StartPlatform(t.Context()))
	requireNoError(t, c.Apply(t.Context(), 2))
	requireNoError(t, c.AwaitVersion(t.Context(), 2, versionBound))
	cancel()
	verifyReport(t, c, awaitReport())
	for node, versions := range stop() {
		if len(versions) > 2 || versions[0] != 1 || versions[len(versions)-1] > 2 {
			t.Errorf("%s showed versions %v, expected 1 and then 2 at most", node, versions)
		}
	}
}

// Guards against a version that does not come into force after the store was restored from an older copy (review/12), and
// against nodes that call the store without a pause from then on: 430 calls a second of four nodes.
func TestPlatformRestoredFromACopy(t *testing.T) {
	c := startCluster(t, nil)
	stop := c.WatchVersions(t.Context())
	inject := func(kind platform.FaultKind, off bool) {
		requireNoError(t, c.inject(t.Context(), platform.Fault{Kind: kind, Off: off}))
	}
	inject(platform.FaultCopy, false)
	for version := uint64(2); version <= 3; version++ {
		requireNoError(t, c.Apply(t.Context(), version))
		requireNoError(t, c.AwaitVersion(t.Context(), version, versionBound))
	}
	inject(platform.FaultDown, false)
	sleep(t, 500*time.Millisecond)
	inject(platform.FaultRestore, false)
	inject(platform.FaultDown, true)
	var before, after platform.Calls
	const calm, most = 4 * time.Second, 160 // ten calls a second of each node
	requireNoError(t, c.callPlatform(t.Context(), http.MethodGet, platform.CallsPath, "", &before))
	sleep(t, calm)
	requireNoError(t, c.callPlatform(t.Context(), http.MethodGet, platform.CallsPath, "", &after))
	if calls := after.Reads + after.Writes + after.Watches + after.Leases - before.Reads - before.Writes - before.Watches - before.Leases; calls > most {
		t.Errorf("%d calls in %v after the restore, expected at most %d", calls, calm, most)
	}
	for version := uint64(4); version <= 6; version++ {
		requireNoError(t, c.Apply(t.Context(), version))
		requireNoError(t, c.AwaitVersion(t.Context(), version, versionBound))
	}
	for node, versions := range stop() {
		if !slices.IsSorted(versions) {
			t.Errorf("%s showed versions %v", node, versions)
		}
	}
}

// Guards against calls that a draining backend server still gets after the bound, and against calls that are lost or run
// twice when another backend server is killed.
func TestBackendServerDrainsAndAnotherIsKilled(t *testing.T) {
	c := startCluster(t, nil)
	draining, killed := c.Places[1], c.Places[3]
	awaitReport := StartLoad(t.Context(), 71, undisturbedTime+2*upstreamBound, CallSpecs(callTimeout), c.Places...)
	sleep(t, undisturbedTime)
	began := time.Now()
	response, err := http.Post("http://"+draining.BackendAddress+backend.PathDrain, "", nil)
	requireNoError(t, err)
	response.Body.Close()
	killed.Backend.Signal(syscall.SIGKILL)
	report := awaitReport()
	verifyReport(t, c, report, load.OutcomeNotRun, load.OutcomeUnknown)
	expectOutcomes(t, "after the bound", callsDueAfter(report, began.Add(upstreamBound)), load.OutcomeDone)
	executions, err := c.ReadExecutions(draining)
	requireNoError(t, err)
	executedBefore := 0
	for _, execution := range executions {
		if execution.Started.Before(began) {
			executedBefore++
		}
		if execution.Started.After(began.Add(upstreamBound)) {
			t.Errorf("%s started %v after the drain began, at most %v is allowed", execution.ID, execution.Started.Sub(began), upstreamBound)
		}
	}
	if executedBefore == 0 {
		t.Error("the backend server executed nothing before the drain")
	}
}

// Guards against a node that fails because a client that is not a peer sends arbitrary bytes to its peer listener.
func TestStrangersOnThePeerListener(t *testing.T) {
	c := startCluster(t, nil)
	awaitReport := StartLoad(t.Context(), 81, 3*undisturbedTime, CallSpecs(callTimeout), c.Places...)
	target := c.Places[1]
	garbage := bytes.Repeat([]byte{0xA5}, 1<<16)
	preface := []byte("RMH1")
	for name, sent := range map[string][]byte{
		"garbage":         garbage,
		"HTTP":            []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"oversized hello": append(append([]byte{}, preface...), 0xFF, 0xFF, 0xFF, 0xFF),
		"garbage hello":   append(append(append([]byte{}, preface...), 0, 0, 1, 0), garbage...),
		"other system":    encodeHandshake(t, "other"),
		"oversized frame": append(encodeHandshake(t, "fleet"), 0x7F, 0xFF, 0xFF, 0xFF),
		"garbage frame":   append(append(encodeHandshake(t, "fleet"), 0, 0, 1, 0), garbage...),
	} {
		conn, err := net.Dial("tcp", target.Peers)
		requireNoError(t, err)
		_, _ = conn.Write(sent) // the node may close the connection before it has read all bytes
		requireNoError(t, conn.SetReadDeadline(time.Now().Add(startTimeout)))
		if _, err = io.Copy(io.Discard, conn); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("%s: the connection is still open after %v", name, startTimeout)
		}
		conn.Close()
	}
	verifyReport(t, c, awaitReport())
	if target.Node.HasEnded() {
		t.Error("the node has ended")
	}
}

// encodeHandshake returns the preface and a hello frame that names the system.
func encodeHandshake(t *testing.T, system string) []byte {
	var body bytes.Buffer
	requireNoError(t, gob.NewEncoder(&body).Encode(struct {
		Lowest, Highest uint32
		System, Node    string
		Incarnation     uint64
		Address         string
		Class           uint8
	}{1, 1, system, "stranger", 1, "127.0.0.1:1", 2}))
	return append(append([]byte("RMH1"), 0, 0, byte(body.Len()>>8), byte(body.Len())), body.Bytes()...)
}

// Guards against a call that is sent to a backend server again, or answered with not_run, after the connection to the
// backend server broke while the call ran.
func TestBrokenConnectionToBackendServer(t *testing.T) {
	var forwarder *Forwarder
	c := startCluster(t, func(c *Cluster) {
		for _, p := range c.Places[1:3] { // no backend server of cuttable answers before the connection is cut
			c.BackendArgs[p] = []string{"--service-time", "1m"}
		}
		target := c.Places[1]
		var err error
		forwarder, err = NewForwarder(target.BackendAddress)
		requireNoError(t, err)
		c.BackendArgs[target] = append(c.BackendArgs[target], "--advertise", forwarder.Address())
		t.Cleanup(forwarder.Close)
	})
	target := c.Places[1]
	type result struct {
		outcome string
		err     error
	}
	results := make(chan result, 1)
	go func() {
		request, _ := http.NewRequest(http.MethodPost, "http://"+target.Callers+"/orders", strings.NewReader("x"))
		request.Header.Set(backend.HeaderRequestID, "cut")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			results <- result{err: err}
			return
		}
		response.Body.Close()
		results <- result{outcome: response.Header.Get(protocol.HeaderOutcome)}
	}()
	countExecutions := func() int {
		executions, err := c.ReadExecutions(c.Places...)
		requireNoError(t, err)
		return len(executions)
	}
	for countExecutions() == 0 {
		sleep(t, pollInterval)
	}
	forwarder.Cut()
	if got := <-results; got.err != nil || got.outcome != load.OutcomeUnknown {
		t.Errorf("outcome %q, error %v, expected unknown", got.outcome, got.err)
	}
	sleep(t, undisturbedTime)
	if got := countExecutions(); got != 1 {
		t.Errorf("%d executions, expected 1", got)
	}
}
