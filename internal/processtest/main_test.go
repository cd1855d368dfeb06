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

// Bounds from the design page: a failed or leaving upstream is out (I7, 5), a version is active (1.3), a
// silent connection is known (500 ms + 1 s, 7) and its calls are settled (a question takes up to 1 s),
// a lease lapses (4.2).
const (
	upstreamBound = 3 * time.Second
	versionBound  = 7 * time.Second
	// keyBound is how long an owner that was lost keeps first requests with its keys from running (6.3).
	keyBound    = upstreamBound + 5*time.Second
	settleBound = 500*time.Millisecond + time.Second + time.Second
	leaseBound  = 6 * time.Second
	// callTimeout is above all bounds of a single fault, so that a call that waits is told its outcome.
	callTimeout = 10 * time.Second
	// ownersKnown is the key retention of the tables and the margin for clocks and news. Before that time a
	// new node cannot know whether a copy ran at an upstream that is gone, and runs no repeat.
	ownersKnown = 10*time.Second + 31*time.Second
	// undisturbed is a stretch of load before a fault.
	undisturbed = time.Second
)

var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "rosemaryhatch-processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	programs = directory
	if err := Build(context.Background(), directory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// logTail is how many bytes of each node's log a failed test prints. A call in the middle of a run could not be traced from
// 1,500.
const logTail = 256 << 10

// start starts a cluster after a change of its places. It ends with the test.
func start(t *testing.T, change func(*Cluster)) *Cluster {
	t.Helper()
	t.Parallel()
	c, err := New(programs, t.TempDir())
	ok(t, err)
	t.Cleanup(func() {
		c.Stop()
		if !t.Failed() {
			return
		}
		for _, p := range c.Places {
			text, _ := os.ReadFile(filepath.Join(c.Directory, p.ID+".log"))
			t.Logf("log of %s, last part:\n%s", p.ID, text[max(0, len(text)-logTail):])
		}
	})
	if change != nil {
		change(c)
	}
	ok(t, c.Start(t.Context()))
	return c
}

func ok(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// judge compares the answers with all executions. Only done and the outcomes named are tolerated for
// calls; a not_run is true in any case.
func judge(t *testing.T, c *Cluster, report load.Report, tolerated ...string) {
	t.Helper()
	executions, err := c.Executions(c.Places...)
	ok(t, err)
	if verdict := load.Verify(report, executions); !verdict.OK() {
		t.Errorf("%s: run twice %v, done without execution %v, false not_run %v",
			report.Prefix, verdict.RunTwice, verdict.DoneNotExecuted, verdict.NotRunExecuted)
	}
	if report.Count(load.OutcomeDone) == 0 {
		t.Errorf("%s: no call was done", report.Prefix)
	}
	expectOutcomes(t, report.Prefix, report.Calls, append(tolerated, load.OutcomeDone)...)
}

func expectOutcomes(t *testing.T, name string, calls []load.Call, expected ...string) {
	t.Helper()
	counts, bad := map[string]int{}, 0 // the counts are by outcome, and by problem when there is one
	for _, call := range calls {
		problem, _, _ := strings.Cut(call.Problem, ",\"call_id\"")
		counts[strings.TrimSpace(call.Outcome+" "+problem)]++
		known := false
		for _, outcome := range expected {
			known = known || call.Outcome == outcome
		}
		if !known {
			if bad++; bad <= 5 {
				t.Errorf("%s: call %s due %s ended after %v with %s: %s", name, call.ID, call.Due.Format("05.000"), call.Took, call.Outcome, call.Problem)
			}
		}
	}
	t.Logf("%s: %v, %d of them not expected", name, counts, bad)
}

// dueAfter returns the calls that were due after a moment.
func dueAfter(report load.Report, moment time.Time) []load.Call {
	var out []load.Call
	for _, call := range report.Calls {
		if call.Due.After(moment) {
			out = append(out, call)
		}
	}
	return out
}

// withKey returns the calls with an idempotency key, or those without.
func withKey(calls []load.Call, key bool) []load.Call {
	var out []load.Call
	for _, call := range calls {
		if (call.Route == keyedCalls) == key {
			out = append(out, call)
		}
	}
	return out
}

func pause(t *testing.T, d time.Duration) {
	t.Helper()
	ok(t, fleet.Pause(t.Context(), d))
}

// expectServing expects that calls to all nodes are done.
func expectServing(t *testing.T, c *Cluster, seed uint64) {
	t.Helper()
	judge(t, c, Load(t.Context(), seed, undisturbed, Calls(callTimeout), c.Places...)())
}
