package faultmatrix

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// loadAt sends requests at a rate to some nodes in turn for a time, and runs it.
func (q *quotaWorld) loadAt(nodes []*pump.Node, rate float64, duration time.Duration) {
	interval := time.Duration(float64(time.Second) / rate)
	for at := time.Duration(0); at < duration; at += interval {
		q.After(at, func() {
			id := fmt.Sprintf("q%d", len(q.sentAt))
			q.sentAt[id] = q.Now
			q.Request(nodes[len(q.sentAt)%len(nodes)], invariant.Request{ID: id, Idempotent: true}, reducer.CallArrived{
				Host: "callers", Method: "POST", Path: "/lookup", Credential: reducer.Credential{Valid: true, Key: tables.FingerprintOf(quotaKey)},
			})
		})
	}
	q.Run(q.Now + duration)
}

// Guards against refusals within the quota for the ten minutes in which dead nodes are known: half of six nodes have ended, and the
// others must grant the whole rate, not half of it.
func TestQuotaAfterNodesHaveEnded(t *testing.T) {
	q := newQuotaWorld(64, 64)
	q.load(40, 2*time.Second)
	for _, n := range q.Nodes()[3:] {
		n.Kill()
	}
	q.Run(q.Now + 8*time.Second)
	calm := q.Now
	q.loadAt(q.Nodes()[:3], 40, 10*time.Second)
	q.Run(q.Now + 3*time.Second)
	if sent, refused, _ := q.counts(calm); sent < 390 || refused > 0 {
		t.Errorf("%d of %d requests refused after the end of three nodes of six", refused, sent)
	}
	surge := q.Now
	q.loadAt(q.Nodes()[:3], 300, 10*time.Second)
	q.Run(q.Now + 3*time.Second)
	sent, refused, _ := q.counts(surge)
	if passed := sent - refused; passed < 600 {
		t.Errorf("%d requests passed in 10 s, the quota allows 640", passed)
	}
	q.checkQuota(t, 64, 64, 0)
}

// Guards against two sides that grant more than the rate together because nodes that had ended are started again beyond a
// partition: their zone counts them, so that the others must count them too.
func TestQuotaWhenEndedNodesReturnBeyondAPartition(t *testing.T) {
	q := newQuotaWorld(64, 64)
	ended := q.Nodes()[2:4] // in Horten
	for _, n := range ended {
		n.Kill()
	}
	q.load(200, 8*time.Second)
	q.CutZone("Horten")
	q.load(200, 6*time.Second)
	for _, n := range ended {
		n.Start()
	}
	q.load(200, 8*time.Second)
	settled := q.Now
	q.load(200, 10*time.Second)
	sent, refused, _ := q.counts(settled)
	if passed := sent - refused; passed > 64*10*21/20 {
		t.Errorf("%d requests passed in 10 s at a rate of 64", passed)
	}
	q.Heal()
	q.load(200, 8*time.Second)
	q.Run(q.Now + 3*time.Second)
	q.checkQuota(t, 64, 64, 0)
}

// Guards against a hold of 3 s after the restart of all nodes: they know from the entries in the store how many they are, and begin
// when all have agreed.
func TestQuotaAfterRestartOfAllNodes(t *testing.T) {
	q := newQuotaWorld(64, 64)
	q.load(40, 2*time.Second)
	for _, n := range q.Nodes() {
		n.Kill()
	}
	for _, n := range q.Nodes() {
		n.Start()
	}
	q.Run(q.Now + 2*time.Second) // 1 s to find each other and 1 s of hold
	granting := q.Now
	q.load(40, 5*time.Second)
	q.Run(q.Now + 3*time.Second)
	if sent, refused, _ := q.counts(granting); sent < 190 || refused > 0 {
		t.Errorf("%d of %d requests refused from 2 s after the restart on", refused, sent)
	}
	q.checkQuota(t, 64, 64, 0)
}

// Guards against a side of a partition that grants the whole rate because all of its nodes have restarted and know none of the
// others. The store is reachable from both sides.
func TestQuotaAfterRestartOfOneSide(t *testing.T) {
	q := newQuotaWorld(64, 64)
	q.load(200, 2*time.Second)
	q.CutZone("Horten")
	q.load(200, 5*time.Second)
	for _, n := range q.Nodes()[2:5] { // in Horten
		n.Kill()
		n.Start()
	}
	q.load(200, 8*time.Second)
	settled := q.Now
	q.load(200, 10*time.Second)
	sent, refused, _ := q.counts(settled)
	if passed := sent - refused; passed > 64*10*21/20 {
		t.Errorf("%d requests passed in 10 s at a rate of 64", passed)
	}
	q.checkQuota(t, 64, 64, 0)
}
