package fairshare

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// serve starts a call with an expected slot time of 100 ms of the workspace with the lowest tag, and ends it with that of the
// workspace. It returns the workspace.
func serve(q *Queue, flows []*Flow, took map[*Flow]float64) *Flow {
	next := flows[0]
	for _, f := range flows[1:] {
		if q.Tag(f) < q.Tag(next) {
			next = f
		}
	}
	q.Started(next, 0.1)
	q.Ended(next, 0.1, took[next])
	return next
}

// Guards against slot time that is not in proportion to the weights while all workspaces have calls waiting, also when the
// calls of one take longer than expected.
func TestSlotTimeFollowsTheWeights(t *testing.T) {
	var q Queue
	a, b, c := q.Flow(0, "a", 1), q.Flow(0, "b", 2), q.Flow(0, "c", 1)
	took := map[*Flow]float64{a: 0.1, b: 0.1, c: 0.4}
	got := map[*Flow]float64{}
	for range 10_000 {
		f := serve(&q, []*Flow{a, b, c}, took)
		got[f] += took[f]
	}
	sum := got[a] + got[b] + got[c]
	for f, want := range map[*Flow]float64{a: 0.25, b: 0.5, c: 0.25} {
		if share := got[f] / sum; math.Abs(share-want) > 0.01 {
			t.Errorf("%s has %.3f of the slot time, expected %.2f", f.name, share, want)
		}
	}
}

// Guards against credit that a workspace gathers without bound while it is idle, and then uses to shut out the others.
func TestIdleWorkspaceGathersLittleCredit(t *testing.T) {
	var q Queue
	busy, idle := q.Flow(0, "busy", 1), q.Flow(0, "idle", 1)
	took := map[*Flow]float64{busy: 0.1, idle: 0.1}
	q.Queued(0, busy, 0.1)
	for range 1000 {
		serve(&q, []*Flow{busy}, took)
	}
	first := 0
	for serve(&q, []*Flow{busy, idle}, took) == idle {
		first++
	}
	if first < 2 || first > idleCredit+2 {
		t.Errorf("a workspace that was idle gets %d calls at once, expected about %d", first, idleCredit)
	}
}

// Guards against a table of workspaces that grows without bound, and against the eviction of one that has calls or has had
// more than its share.
func TestIdleWorkspacesAreEvicted(t *testing.T) {
	var q Queue
	heavy := q.Flow(0, "heavy", 1)
	q.Queued(0, heavy, 0.1)
	q.Removed(heavy, 0.1)
	for range 100 {
		q.Started(heavy, 0.1)
		q.Ended(heavy, 0.1, 0.1)
	}
	waiting := q.Flow(0, "waiting", 1)
	q.Queued(0, waiting, 0.1)
	for i := range 3 * maxWorkspaces {
		now := time.Duration(i) * 10 * time.Millisecond
		q.Flow(now, fmt.Sprint("w", i), 1)
		if len(q.flows) > maxWorkspaces || len(q.byName) > maxWorkspaces {
			t.Fatalf("%d workspaces are kept", len(q.flows))
		}
	}
	if q.byName["heavy"] != heavy || q.byName["waiting"] != waiting {
		t.Error("a workspace with calls or beyond its share was evicted")
	}
}

// Guards against the eviction of a queued call of a workspace that keeps within its share.
func TestMostExcessIsBeyondItsShare(t *testing.T) {
	var q Queue
	small, large := q.Flow(0, "small", 1), q.Flow(0, "large", 10)
	for range 3 {
		q.Queued(0, small, 0.1)
	}
	for range 10 {
		q.Queued(0, large, 0.1)
	}
	if most := q.MostExcess(); most != small {
		t.Errorf("the workspace with the most beyond its share is %s", most.name)
	}
	if excess := q.Excess(large); excess >= 0 {
		t.Errorf("a workspace below its share has an excess of %.2f s", excess)
	}
}
