package processtest

import (
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

// Guards against zones that stop serving while they are partitioned, that run a call or a key on both
// sides, also when what was sent meanwhile arrives at the end, and that do not come together again.
func TestZonesPartitioned(t *testing.T) {
	t.Parallel() // else the parallel tests of the package would wait for it
	for name, refuses := range map[string]bool{"silent": false, "refused": true} {
		t.Run(name, func(t *testing.T) { partitionZones(t, &Partition{Refuses: refuses}) })
	}
}

// zoneKeyBound is keyBound for a lost zone: its silence of 3 s is looked at every 500 ms (5).
const zoneKeyBound = keyBound + 500*time.Millisecond

func partitionZones(t *testing.T, partition *Partition) {
	c := start(t, func(c *Cluster) {
		t.Cleanup(partition.Close)
		ok(t, partition.Between(c, "Horten"))
	})
	larvik, horten := c.Places[:2], c.Places[2:]
	pause(t, ownersKnown)
	// The partition outlasts zoneKeyBound, so that first requests run with keys that the other side owns.
	const lasts = keyBound + 2*undisturbed
	const copyDelay = 100 * time.Millisecond
	const duration = undisturbed + lasts + 2*undisturbed
	stop := c.WatchVersions(t.Context())
	run := Load(t.Context(), 91, duration, Calls(callTimeout), c.Places...)
	copies := Calls(callTimeout)[1:2]
	first := Load(t.Context(), 92, duration, copies, larvik[0])
	pause(t, copyDelay)
	repeats := Calls(callTimeout)[1:2]
	repeats[0].OmitAttemptCount = true
	second := Load(t.Context(), 92, duration, repeats, horten[1]) // the same ids and keys
	pause(t, undisturbed)
	partition.Begin()
	began := time.Now()
	ok(t, c.Apply(t.Context(), 2))
	ok(t, c.AwaitVersionAt(t.Context(), 2, versionBound, larvik...))
	pause(t, time.Until(began.Add(lasts)))
	ok(t, c.AwaitVersionAt(t.Context(), 1, startTimeout, horten...)) // else the zones were not partitioned
	ended := time.Now()
	partition.End()
	ok(t, c.AwaitVersion(t.Context(), 2, versionBound))
	ok(t, c.AwaitReady(t.Context(), 2, time.Until(ended.Add(versionBound))))
	report, firsts := run(), first()
	judge(t, c, report, load.OutcomeNotRun, load.OutcomeUnknown)
	judge(t, c, firsts, load.OutcomeNotRun, load.OutcomeUnknown) // a not_run is false also when the copy ran
	expectCopiesOnce(t, c, firsts, second())
	expectOutcomes(t, "partitioned", withKey(dueBetween(report, began.Add(upstreamBound), ended), false), load.OutcomeDone)
	expectOutcomes(t, "keyed, partitioned", withKey(dueBetween(report, began.Add(zoneKeyBound), ended), true), load.OutcomeDone)
	expectOutcomes(t, "first copies, partitioned", dueBetween(firsts, began.Add(zoneKeyBound), ended), load.OutcomeDone)
	expectServing(t, c, 93)
	expectKeysRunAt(t, c, 94, larvik, horten)
	expectKeysRunAt(t, c, 95, horten, larvik)
	for node, versions := range stop() {
		if versions[0] != 1 || len(versions) > 2 || versions[len(versions)-1] != 2 {
			t.Errorf("%s showed versions %v, expected 1 and then 2", node, versions)
		}
	}
}

// dueBetween returns the calls that were due between two moments.
func dueBetween(report load.Report, from, to time.Time) []load.Call {
	var out []load.Call
	for _, call := range dueAfter(report, from) {
		if call.Due.Before(to) {
			out = append(out, call)
		}
	}
	return out
}

// expectKeysRunAt sends calls with idempotency keys to the nodes of a zone and expects that upstreams of
// another zone own some of the keys.
func expectKeysRunAt(t *testing.T, c *Cluster, seed uint64, senders, owners []*fleet.Place) {
	t.Helper()
	report := Load(t.Context(), seed, undisturbed, Calls(callTimeout)[1:2], senders...)()
	judge(t, c, report)
	executions, err := c.Executions(owners...)
	ok(t, err)
	for _, execution := range executions {
		if strings.HasPrefix(execution.ID, report.Prefix+"-") {
			return
		}
	}
	t.Errorf("none of %d calls ran in zone %s, whose upstreams are in use again", len(report.Calls), owners[0].Zone)
}
