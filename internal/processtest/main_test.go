package processtest

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

// Bounds from the design page, whose sections stand in parentheses.
const (
	// versionBound is the time until a new version is active on all nodes (section 1.3).
	versionBound = 7 * time.Second
	// keyBound is how long the loss of a key owner blocks first requests with the keys that it owned (section 6.3).
	keyBound = upstreamBound + 5*time.Second
	// settleBound is the time until a silent connection is detected (500 ms + 1 s, section 7) and its calls are settled,
	// for which a node asks the target and waits up to 1 s.
	settleBound = 500*time.Millisecond + time.Second + time.Second
	// leaseBound is the time until a lease expires (section 4.2).
	leaseBound = 6 * time.Second
	// callTimeout is above the bounds of all single faults, so that a waiting call gets an outcome before it times out.
	callTimeout = 10 * time.Second
	// keyOwnersKnownAfter is the key retention of the tables plus the margin for clock differences and dissemination.
	// Before that time a new node cannot know whether a copy of the call ran at an upstream that is gone, so it runs no
	// repeated request.
	keyOwnersKnownAfter = 10*time.Second + 31*time.Second
)

var programDirectory string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "rosemaryhatch-processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programDirectory = directory
	if err := Build(context.Background(), directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// logTailBytes is how many bytes of each node's log a failed test prints. With 1,500 bytes, a call in the middle of a run
// could not be traced.
const logTailBytes = 256 << 10

// startCluster starts a cluster and stops it at the end of the test. If change is not nil, it adjusts the cluster before the
// start.
func startCluster(t *testing.T, change func(*Cluster)) *Cluster {
	t.Helper()
	return startClusterOf(t, New, change)
}

// startClusterOf is startCluster for a cluster that newCluster returns.
func startClusterOf(t *testing.T, newCluster func(programs, directory string) (*Cluster, error), change func(*Cluster)) *Cluster {
	t.Helper()
	t.Parallel()
	c, err := newCluster(programDirectory, t.TempDir())
	requireNoError(t, err)
	t.Cleanup(func() {
		c.Stop()
		if !t.Failed() {
			return
		}
		logs, _ := filepath.Glob(filepath.Join(c.Directory, "*.log"))
		for _, path := range logs { // also those of the stand-ins
			text, _ := os.ReadFile(path)
			t.Logf("end of %s:\n%s", filepath.Base(path), text[max(0, len(text)-logTailBytes):])
		}
	})
	if change != nil {
		change(c)
	}
	requireNoError(t, c.Start(t.Context()))
	return c
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// verifyReport compares the answers with the executions of all backend servers. Calls may end only with done or a tolerated
// outcome. A not_run answer to a call that was executed is always an error.
func verifyReport(t *testing.T, c *Cluster, report load.Report, tolerated ...string) {
	t.Helper()
	executions, err := c.ReadExecutions(c.Places...)
	requireNoError(t, err)
	if verdict := load.Verify(report, executions); !verdict.OK() {
		t.Errorf("%s: run twice %v, done without execution %v, false not_run %v",
			report.Prefix, verdict.RunTwice, verdict.DoneNotExecuted, verdict.NotRunExecuted)
	}
	if report.Count(load.OutcomeDone) == 0 {
		t.Errorf("%s: no call was done", report.Prefix)
	}
	expectOutcomes(t, report.Prefix, report.Calls, append(tolerated, load.OutcomeDone)...)
}

// expectOutcomes reports each call whose outcome is not among the expected ones, the first 5 in detail.
func expectOutcomes(t *testing.T, name string, calls []load.Call, expected ...string) {
	t.Helper()
	counts, unexpected := map[string]int{}, 0 // by outcome, and by problem if there is one
	for _, call := range calls {
		problem, _, _ := strings.Cut(call.Problem, ",\"call_id\"")
		counts[strings.TrimSpace(call.Outcome+" "+problem)]++
		isExpected := false
		for _, outcome := range expected {
			isExpected = isExpected || call.Outcome == outcome
		}
		if !isExpected {
			if unexpected++; unexpected <= 5 {
				t.Errorf("%s: call %s due %s ended after %v with %s: %s", name, call.ID, call.Due.Format("05.000"), call.Took, call.Outcome, call.Problem)
			}
		}
	}
	t.Logf("%s: %v, %d of them not expected", name, counts, unexpected)
}

// callsDueAfter returns the calls that were scheduled to start after moment.
func callsDueAfter(report load.Report, moment time.Time) []load.Call {
	var out []load.Call
	for _, call := range report.Calls {
		if call.Due.After(moment) {
			out = append(out, call)
		}
	}
	return out
}

// filterByKey returns the calls with an idempotency key if hasKey is true, and those without one otherwise.
func filterByKey(calls []load.Call, hasKey bool) []load.Call {
	var out []load.Call
	for _, call := range calls {
		if (call.Route == keyedSpecName) == hasKey {
			out = append(out, call)
		}
	}
	return out
}

func sleep(t *testing.T, d time.Duration) {
	t.Helper()
	requireNoError(t, fleet.Sleep(t.Context(), d))
}

// expectServing sends calls to all nodes and expects each of them to be done.
func expectServing(t *testing.T, c *Cluster, seed uint64) {
	t.Helper()
	verifyReport(t, c, StartLoad(t.Context(), seed, undisturbedTime, CallSpecs(callTimeout), c.Places...)())
}
