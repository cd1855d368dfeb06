package processtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

// Guards against faults after a node was killed: calls that run twice or get a false not_run, an upstream that is used
// beyond the bound, and a node that cannot restart under its id.
func TestKilledNodes(t *testing.T) {
	c := startCluster(t, nil)
	n1, target, n3, ingress := c.Places[0], c.Places[1], c.Places[2], c.Places[3]
	awaitOthers := StartLoad(t.Context(), 11, undisturbedTime+keyBound+undisturbedTime, CallSpecs(callTimeout), n1, n3)
	awaitIngress := StartLoad(t.Context(), 12, 2*undisturbedTime, CallSpecs(callTimeout), ingress)
	sleep(t, undisturbedTime)
	target.Node.Signal(syscall.SIGKILL)
	ingress.Node.Signal(syscall.SIGKILL)
	killed := time.Now()
	report := awaitOthers()
	verifyReport(t, c, report, load.OutcomeNotRun, load.OutcomeUnknown)
	expectOutcomes(t, "after the bound", filterByKey(callsDueAfter(report, killed.Add(upstreamBound)), false), load.OutcomeDone)
	expectOutcomes(t, "keyed after the bound", filterByKey(callsDueAfter(report, killed.Add(keyBound)), true), load.OutcomeDone)
	verifyReport(t, c, awaitIngress(), load.OutcomeNotRun, load.OutcomeUnknown, load.OutcomeLost, load.OutcomeRefused)
	requireNoError(t, c.StartNode(t.Context(), target))
	requireNoError(t, c.StartNode(t.Context(), ingress))
	requireNoError(t, c.AwaitReady(t.Context(), 1, startTimeout))
	expectServing(t, c, 13)
}

// Guards against a paused node that, after it resumes, runs a call that was retried elsewhere meanwhile, and against two
// copies of a call with an idempotency key that run at two nodes.
func TestPausedNode(t *testing.T) {
	c := startCluster(t, nil)
	n1, target, n3, n4 := c.Places[0], c.Places[1], c.Places[2], c.Places[3]
	sleep(t, keyOwnersKnownAfter)
	const pauseDuration = 5 * time.Second
	const copyDelay = 100 * time.Millisecond // above the service time: a copy arrives after the first execution, or while the first call waits
	const duration = undisturbedTime + pauseDuration + 2*undisturbedTime
	copies := CallSpecs(callTimeout)[1:2]
	copies[0].OmitAttemptCount = true
	awaitReport := StartLoad(t.Context(), 21, duration, CallSpecs(callTimeout), n1, n3, n4)
	awaitFirst := StartLoad(t.Context(), 22, duration, copies, n1)
	sleep(t, copyDelay)
	awaitSecond := StartLoad(t.Context(), 22, duration, copies, n4) // the same ids and keys
	sleep(t, undisturbedTime)
	target.Node.Signal(syscall.SIGSTOP)
	sleep(t, pauseDuration)
	target.Node.Signal(syscall.SIGCONT)
	verifyReport(t, c, awaitReport(), load.OutcomeNotRun, load.OutcomeUnknown)
	expectCopiesOnce(t, c, awaitFirst(), awaitSecond())
	requireNoError(t, c.AwaitReady(t.Context(), 1, startTimeout))
	expectServing(t, c, 23)
}

// expectCopiesOnce compares the answers to two copies of the same calls with the executions. Each call may run at most once,
// and the answers must agree with whether it ran.
func expectCopiesOnce(t *testing.T, c *Cluster, reports ...load.Report) {
	t.Helper()
	executions, err := c.ReadExecutions(c.Places...)
	requireNoError(t, err)
	doneTwice := 0 // number of calls whose copies were both answered with done
	executionCounts, outcomes := map[string]int{}, map[string]map[string]bool{}
	for _, execution := range executions {
		executionCounts[execution.ID]++
	}
	for _, report := range reports {
		expectOutcomes(t, "copies", report.Calls, load.OutcomeDone, load.OutcomeNotRun, load.OutcomeUnknown)
		for _, call := range report.Calls {
			if outcomes[call.ID] == nil {
				outcomes[call.ID] = map[string]bool{}
			} else if call.Outcome == load.OutcomeDone && outcomes[call.ID][load.OutcomeDone] {
				doneTwice++
			}
			outcomes[call.ID][call.Outcome] = true
		}
	}
	if doneTwice == 0 {
		t.Error("no call was answered with done to both of its callers")
	}
	for id, seen := range outcomes {
		onlyNotRun := !seen[load.OutcomeDone] && !seen[load.OutcomeUnknown]
		if executionCounts[id] > 1 || executionCounts[id] == 0 && seen[load.OutcomeDone] || executionCounts[id] > 0 && onlyNotRun {
			t.Errorf("call %s ran %d times, its copies were answered %v", id, executionCounts[id], seen)
		}
	}
}

// Guards against nodes that serve an older version than before after all nodes were killed and restarted.
func TestAllNodesKilledAtOnce(t *testing.T) {
	c := startCluster(t, nil)
	for version := uint64(2); version <= 3; version++ {
		requireNoError(t, c.Apply(t.Context(), version))
		requireNoError(t, c.AwaitVersion(t.Context(), version, versionBound))
	}
	for _, p := range c.Places {
		p.Node.Signal(syscall.SIGKILL)
	}
	for _, p := range c.Places {
		_ = p.Node.Wait(t.Context(), startTimeout) // returns an error because the node was killed
	}
	stop := c.WatchVersions(t.Context())
	for _, p := range c.Places {
		requireNoError(t, c.StartNode(t.Context(), p))
	}
	requireNoError(t, c.AwaitVersion(t.Context(), 3, leaseBound+versionBound))
	requireNoError(t, c.AwaitReady(t.Context(), 3, startTimeout))
	expectServing(t, c, 51)
	for node, versions := range stop() {
		for _, version := range versions {
			if version != 0 && version != 3 {
				t.Errorf("%s showed versions %v, expected none or 3", node, versions)
			}
		}
	}
}

// Guards against a planned stop of a node that breaks off a call or leaves its outcome unknown.
func TestRollingRestart(t *testing.T) {
	c := startCluster(t, nil)
	const maxDuration = 60 * time.Second // the load is cancelled when the last node is back
	ctx, cancel := newCancellableContext(t)
	awaitReport := StartLoad(ctx, 61, maxDuration, CallSpecs(callTimeout), c.Places...)
	for _, p := range c.Places {
		sleep(t, undisturbedTime)
		p.Node.Signal(syscall.SIGTERM)
		requireNoError(t, p.Node.Wait(t.Context(), startTimeout))
		requireNoError(t, c.StartNode(t.Context(), p))
		requireNoError(t, c.AwaitReady(t.Context(), 1, startTimeout))
	}
	cancel()
	verifyReport(t, c, awaitReport(), load.OutcomeNotRun)
}

// Guards against calls that are lost or run twice when the connections to a node stay open but carry no more bytes.
func TestSilentConnection(t *testing.T) {
	var forwarder *Forwarder
	c := startCluster(t, func(c *Cluster) {
		target := c.Places[1]
		var err error
		forwarder, err = NewForwarder(target.Peers)
		requireNoError(t, err)
		target.AdvertisePeers = forwarder.Address()
		t.Cleanup(forwarder.Close)
	})
	awaitReport := StartLoad(t.Context(), 31, 2*undisturbedTime, CallSpecs(callTimeout), c.Places[0], c.Places[3])
	sleep(t, undisturbedTime)
	if silenced := forwarder.Silence(); silenced < 2 {
		t.Errorf("%d connections are open, expected at least one for control and one for calls", silenced)
	}
	report := awaitReport()
	verifyReport(t, c, report, load.OutcomeNotRun)
	slowest := time.Duration(0)
	for _, call := range report.Calls {
		slowest = max(slowest, call.Took)
	}
	if slowest > settleBound || slowest < time.Second {
		t.Errorf("slowest call took %v, expected at least 1s, because a call was in flight on the silent connection, and at most %v", slowest, settleBound)
	}
	expectServing(t, c, 32)
}
