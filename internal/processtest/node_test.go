package processtest

import (
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

// Guards against a killed node whose calls run twice or are refused falsely, that stays in use beyond
// the bound, or that does not come back with its id.
func TestKilledNodes(t *testing.T) {
	c := start(t, nil)
	n1, target, n3, ingress := c.Places[0], c.Places[1], c.Places[2], c.Places[3]
	others := Load(t.Context(), 11, undisturbed+keyBound+undisturbed, Calls(callTimeout), n1, n3)
	own := Load(t.Context(), 12, 2*undisturbed, Calls(callTimeout), ingress)
	pause(t, undisturbed)
	target.Node.Signal(syscall.SIGKILL)
	ingress.Node.Signal(syscall.SIGKILL)
	killed := time.Now()
	report := others()
	judge(t, c, report, load.OutcomeNotRun, load.OutcomeUnknown)
	expectOutcomes(t, "after the bound", withKey(dueAfter(report, killed.Add(upstreamBound)), false), load.OutcomeDone)
	expectOutcomes(t, "keyed after the bound", withKey(dueAfter(report, killed.Add(keyBound)), true), load.OutcomeDone)
	judge(t, c, own(), load.OutcomeNotRun, load.OutcomeUnknown, load.OutcomeLost, load.OutcomeRefused)
	ok(t, c.StartNode(t.Context(), target))
	ok(t, c.StartNode(t.Context(), ingress))
	ok(t, c.AwaitReady(t.Context(), 1, startTimeout))
	expectServing(t, c, 13)
}

// Guards against a paused node that runs a call which was tried elsewhere meanwhile, and against copies
// of a call with an idempotency key that run at two nodes.
func TestPausedNode(t *testing.T) {
	c := start(t, nil)
	n1, target, n3, n4 := c.Places[0], c.Places[1], c.Places[2], c.Places[3]
	pause(t, ownersKnown)
	const paused = 5 * time.Second
	const copyDelay = 100 * time.Millisecond // above the service time: copies arrive after an execution, or in its wait
	const duration = undisturbed + paused + 2*undisturbed
	copies := Calls(callTimeout)[1:2]
	copies[0].OmitAttemptCount = true
	run := Load(t.Context(), 21, duration, Calls(callTimeout), n1, n3, n4)
	first := Load(t.Context(), 22, duration, copies, n1)
	pause(t, copyDelay)
	second := Load(t.Context(), 22, duration, copies, n4) // the same ids and keys
	pause(t, undisturbed)
	target.Node.Signal(syscall.SIGSTOP)
	pause(t, paused)
	target.Node.Signal(syscall.SIGCONT)
	judge(t, c, run(), load.OutcomeNotRun, load.OutcomeUnknown)
	expectCopiesOnce(t, c, first(), second())
	ok(t, c.AwaitReady(t.Context(), 1, startTimeout))
	expectServing(t, c, 23)
}

// expectCopiesOnce compares the answers to two copies of the same calls with the executions.
func expectCopiesOnce(t *testing.T, c *Cluster, reports ...load.Report) {
	t.Helper()
	executions, err := c.Executions(c.Places...)
	ok(t, err)
	both := 0 // ids whose copies were both answered as done
	runs, outcomes := map[string]int{}, map[string]map[string]bool{}
	for _, execution := range executions {
		runs[execution.ID]++
	}
	for _, report := range reports {
		expectOutcomes(t, "copies", report.Calls, load.OutcomeDone, load.OutcomeNotRun, load.OutcomeUnknown)
		for _, call := range report.Calls {
			if outcomes[call.ID] == nil {
				outcomes[call.ID] = map[string]bool{}
			} else if call.Outcome == load.OutcomeDone && outcomes[call.ID][load.OutcomeDone] {
				both++
			}
			outcomes[call.ID][call.Outcome] = true
		}
	}
	if both == 0 {
		t.Error("no call was answered as done to both of its callers")
	}
	for id, seen := range outcomes {
		onlyNotRun := !seen[load.OutcomeDone] && !seen[load.OutcomeUnknown]
		if runs[id] > 1 || runs[id] == 0 && seen[load.OutcomeDone] || runs[id] > 0 && onlyNotRun {
			t.Errorf("call %s ran %d times, its copies were answered %v", id, runs[id], seen)
		}
	}
}

// Guards against nodes that come back after a crash of all with an older version than they had.
func TestAllNodesKilledAtOnce(t *testing.T) {
	c := start(t, nil)
	for version := uint64(2); version <= 3; version++ {
		ok(t, c.Apply(t.Context(), version))
		ok(t, c.AwaitVersion(t.Context(), version, versionBound))
	}
	for _, p := range c.Places {
		p.Node.Signal(syscall.SIGKILL)
	}
	for _, p := range c.Places {
		_ = p.Node.Wait(t.Context(), startTimeout) // ends with the signal
	}
	stop := c.WatchVersions(t.Context())
	for _, p := range c.Places {
		ok(t, c.StartNode(t.Context(), p))
	}
	ok(t, c.AwaitVersion(t.Context(), 3, leaseBound+versionBound))
	ok(t, c.AwaitReady(t.Context(), 3, startTimeout))
	expectServing(t, c, 51)
	for node, versions := range stop() {
		for _, version := range versions {
			if version != 0 && version != 3 {
				t.Errorf("%s showed versions %v, expected none or 3", node, versions)
			}
		}
	}
}

// Guards against a planned stop that cuts a call or leaves its outcome unknown.
func TestRollingRestart(t *testing.T) {
	c := start(t, nil)
	const limit = 60 * time.Second // the run is interrupted when the last node is back
	ctx, cancel := contextOf(t)
	run := Load(ctx, 61, limit, Calls(callTimeout), c.Places...)
	for _, p := range c.Places {
		pause(t, undisturbed)
		p.Node.Signal(syscall.SIGTERM)
		ok(t, p.Node.Wait(t.Context(), startTimeout))
		ok(t, c.StartNode(t.Context(), p))
		ok(t, c.AwaitReady(t.Context(), 1, startTimeout))
	}
	cancel()
	judge(t, c, run(), load.OutcomeNotRun)
}

// Guards against calls that are lost or run twice when a connection between two nodes goes silent.
func TestSilentConnection(t *testing.T) {
	var forwarder *Forwarder
	c := start(t, func(c *Cluster) {
		target := c.Places[1]
		var err error
		forwarder, err = NewForwarder(target.Peers)
		ok(t, err)
		target.AdvertisePeers = forwarder.Address()
		t.Cleanup(forwarder.Close)
	})
	run := Load(t.Context(), 31, 2*undisturbed, Calls(callTimeout), c.Places[0], c.Places[3])
	pause(t, undisturbed)
	if open := forwarder.Silence(); open < 2 {
		t.Errorf("%d connections are open, expected one for control and one for calls at least", open)
	}
	report := run()
	judge(t, c, report, load.OutcomeNotRun)
	slowest := time.Duration(0)
	for _, call := range report.Calls {
		slowest = max(slowest, call.Took)
	}
	if slowest > settleBound || slowest < time.Second {
		t.Errorf("slowest call took %v, expected that one met the silence and at most %v", slowest, settleBound)
	}
	expectServing(t, c, 32)
}
