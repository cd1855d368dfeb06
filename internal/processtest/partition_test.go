package processtest

import (
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

// Guards against zones that stop serving during a partition, that run a call, or two calls with one idempotency key, on
// both sides, even if delayed messages arrive when the partition ends, and that do not use each other again afterwards.
func TestZonesPartitioned(t *testing.T) {
	t.Parallel() // the parallel tests of the package would wait for it otherwise
	for name, refuseConnections := range map[string]bool{"silent": false, "refused": true} {
		t.Run(name, func(t *testing.T) { testPartition(t, &Partition{RefuseConnections: refuseConnections}) })
	}
}

// zoneKeyBound is keyBound for the loss of a zone, which counts as lost after 3 s of silence, checked every 500 ms
// (section 5 of the design page).
const zoneKeyBound = keyBound + 500*time.Millisecond

// testPartition cuts Horten off from Larvik and the platform under load, and checks answers, versions and key owners
// during and after the partition.
func testPartition(t *testing.T, partition *Partition) {
	c := startCluster(t, func(c *Cluster) {
		t.Cleanup(partition.Close)
		requireNoError(t, partition.Install(c, "Horten"))
	})
	larvik, horten := c.Places[:2], c.Places[2:]
	sleep(t, keyOwnersKnownAfter)
	// The partition lasts longer than zoneKeyBound, so that first requests with keys that the other side owns run meanwhile.
	const partitionDuration = keyBound + 2*undisturbedTime
	const copyDelay = 100 * time.Millisecond
	const duration = undisturbedTime + partitionDuration + 2*undisturbedTime
	stop := c.WatchVersions(t.Context())
	awaitReport := StartLoad(t.Context(), 91, duration, CallSpecs(callTimeout), c.Places...)
	copies := CallSpecs(callTimeout)[1:2]
	awaitFirst := StartLoad(t.Context(), 92, duration, copies, larvik[0])
	sleep(t, copyDelay)
	repeats := CallSpecs(callTimeout)[1:2]
	repeats[0].OmitAttemptCount = true
	awaitSecond := StartLoad(t.Context(), 92, duration, repeats, horten[1]) // the same ids and keys
	sleep(t, undisturbedTime)
	partition.Begin()
	began := time.Now()
	requireNoError(t, c.Apply(t.Context(), 2))
	requireNoError(t, c.AwaitVersionAt(t.Context(), 2, versionBound, larvik...))
	sleep(t, time.Until(began.Add(partitionDuration)))
	requireNoError(t, c.AwaitVersionAt(t.Context(), 1, startTimeout, horten...)) // otherwise the zones were not partitioned
	ended := time.Now()
	partition.End()
	requireNoError(t, c.AwaitVersion(t.Context(), 2, versionBound))
	requireNoError(t, c.AwaitReady(t.Context(), 2, time.Until(ended.Add(versionBound))))
	report, firstReport := awaitReport(), awaitFirst()
	verifyReport(t, c, report, load.OutcomeNotRun, load.OutcomeUnknown)
	verifyReport(t, c, firstReport, load.OutcomeNotRun, load.OutcomeUnknown) // a not_run answer is false also if the copy of the call ran
	expectCopiesOnce(t, c, firstReport, awaitSecond())
	expectOutcomes(t, "partitioned", filterByKey(callsDueBetween(report, began.Add(upstreamBound), ended), false), load.OutcomeDone)
	expectOutcomes(t, "keyed, partitioned", filterByKey(callsDueBetween(report, began.Add(zoneKeyBound), ended), true), load.OutcomeDone)
	expectOutcomes(t, "first copies, partitioned", callsDueBetween(firstReport, began.Add(zoneKeyBound), ended), load.OutcomeDone)
	expectServing(t, c, 93)
	expectKeysRunAt(t, c, 94, larvik, horten)
	expectKeysRunAt(t, c, 95, horten, larvik)
	for node, versions := range stop() {
		if versions[0] != 1 || len(versions) > 2 || versions[len(versions)-1] != 2 {
			t.Errorf("%s showed versions %v, expected 1 and then 2", node, versions)
		}
	}
}

// callsDueBetween returns the calls that were scheduled to start between two moments.
func callsDueBetween(report load.Report, from, to time.Time) []load.Call {
	var out []load.Call
	for _, call := range callsDueAfter(report, from) {
		if call.Due.Before(to) {
			out = append(out, call)
		}
	}
	return out
}

// expectKeysRunAt sends calls with idempotency keys to the nodes of one zone and expects that upstreams of the other zone
// own some of the keys and so run the calls.
func expectKeysRunAt(t *testing.T, c *Cluster, seed uint64, senders, owners []*fleet.Place) {
	t.Helper()
	report := StartLoad(t.Context(), seed, undisturbedTime, CallSpecs(callTimeout)[1:2], senders...)()
	verifyReport(t, c, report)
	executions, err := c.ReadExecutions(owners...)
	requireNoError(t, err)
	for _, execution := range executions {
		if strings.HasPrefix(execution.ID, report.Prefix+"-") {
			return
		}
	}
	t.Errorf("none of %d calls ran in zone %s, expected its upstreams to be in use again", len(report.Calls), owners[0].Zone)
}
