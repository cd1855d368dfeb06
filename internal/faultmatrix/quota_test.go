package faultmatrix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const quotaKey = "red-key"

// quotaRoutes returns tables with one workspace. A rate of 0 is no quota.
func quotaRoutes(rate, burst float64) string {
	return Routes + fmt.Sprintf("[workspace red]\nkeys = %s\nrate = %g\nburst = %g\n", tables.FingerprintOf(quotaKey), rate, burst)
}

// quotaWorld is a world of six nodes whose callers send requests of one workspace.
type quotaWorld struct {
	*pump.World
	sentAt   map[string]time.Duration
	messages int // about quotas
}

func newQuotaWorld(rate, burst float64) *quotaWorld {
	q := &quotaWorld{World: pump.New(matrixSeed), sentAt: map[string]time.Duration{}}
	q.Store.Apply(quotaRoutes(rate, burst), Pools)
	for i, zone := range []string{"Larvik", "Larvik", "Horten", "Horten", "Horten", "Larvik"} {
		q.AddNode(reducer.NodeID(fmt.Sprintf("n%d", i+1)), zone, "stitchroom")
	}
	q.Trace = func(_ *pump.Node, _ reducer.Input, effects []reducer.Effect) {
		for _, effect := range effects {
			send, ok := effect.(reducer.Send)
			if !ok {
				continue
			}
			switch send.Message.(type) {
			case reducer.QuotaRequest, reducer.QuotaGrant:
				q.messages++
			}
		}
	}
	q.Run(10 * time.Second)
	return q
}

// load sends requests at a rate to all nodes in turn for a time, and runs it.
func (q *quotaWorld) load(rate float64, duration time.Duration) {
	interval := time.Duration(float64(time.Second) / rate)
	nodes := q.Nodes()
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

// counts returns the requests sent since a time, those that were refused because of the quota, and those served.
func (q *quotaWorld) counts(since time.Duration) (sent, refused, served int) {
	for _, answer := range q.History.Answers {
		if q.sentAt[answer.Request.ID] < since {
			continue
		}
		sent++
		if answer.Reason == reducer.ReasonQuotaExceeded {
			refused++
		}
		if answer.Outcome == reducer.OutcomeDone {
			served++
		}
	}
	return sent, refused, served
}

// checkQuota reports the windows from a time on in which more requests reached backend servers than a quota allows.
func (q *quotaWorld) checkQuota(t *testing.T, rate, burst float64, since time.Duration) {
	t.Helper()
	var sent []time.Duration
	seen := map[string]bool{}
	for _, e := range q.History.Executions {
		if at := q.sentAt[e.Request.ID]; !seen[e.Request.ID] && at >= since {
			seen[e.Request.ID] = true
			sent = append(sent, at)
		}
	}
	slices.Sort(sent)
	l := pump.QuotaLimits
	most := int((rate*l.Window.Seconds()+burst)*(1+l.Overage) + l.Slack)
	for i := range sent {
		end, _ := slices.BinarySearch(sent, sent[i]+l.Window)
		if end-i > most {
			t.Fatalf("%d requests in the window from %v, at most %d allowed", end-i, sent[i], most)
		}
	}
}

// Guards against a quota that is not kept over all nodes together, and against refusals within it.
func TestQuotaOverAllNodes(t *testing.T) {
	q := newQuotaWorld(64, 64)
	q.load(40, 10*time.Second)
	if sent, refused, _ := q.counts(0); sent < 390 || refused > 0 {
		t.Errorf("%d of %d requests within the quota refused", refused, sent)
	}
	surge := q.Now
	q.load(300, 10*time.Second)
	q.Run(q.Now + 3*time.Second)
	sent, refused, _ := q.counts(surge)
	t.Logf("surge: %d sent, %d refused, %d messages", sent, refused, q.messages)
	if passed := sent - refused; passed < 600 {
		t.Errorf("%d requests passed in 10 s, the quota allows 640", passed)
	}
	q.checkQuota(t, 64, 64, 0)
}

// Guards against messages or refusals without a workspace that has a rate.
func TestNoQuotaNoMessages(t *testing.T) {
	q := newQuotaWorld(0, 0)
	q.load(300, 5*time.Second)
	q.Run(q.Now + 3*time.Second)
	if sent, refused, served := q.counts(0); q.messages > 0 || refused > 0 || served < sent*9/10 {
		t.Errorf("%d messages about quotas, %d refused, %d of %d served", q.messages, refused, served, sent)
	}
}

// Guards against quotas that are exceeded when an owner is frozen, a zone is cut off or all nodes restart, and that are
// not served again afterwards.
func TestQuotaInFailures(t *testing.T) {
	for name, fail := range map[string]func(q *quotaWorld){
		"owner frozen": func(q *quotaWorld) {
			for _, n := range q.Nodes() { // each node in turn, one of which is the owner
				n.Pause()
				q.load(200, 6*time.Second)
				n.Resume()
				q.load(200, time.Second)
			}
		},
		"zone cut off": func(q *quotaWorld) {
			q.CutZone("Horten")
			q.load(200, 12*time.Second)
			q.Heal()
			q.load(200, 5*time.Second)
		},
		"nodes killed": func(q *quotaWorld) {
			for _, n := range q.Nodes()[1:] {
				n.Kill()
				q.load(200, 2*time.Second)
				n.Start()
				q.load(200, time.Second)
			}
		},
		"planned stops": func(q *quotaWorld) {
			for _, n := range q.Nodes()[1:] {
				n.Stop()
				q.load(200, 7*time.Second)
				n.Start()
				q.load(200, time.Second)
			}
		},
		"all nodes restart": func(q *quotaWorld) {
			for _, n := range q.Nodes() {
				n.Kill()
			}
			for _, n := range q.Nodes() {
				n.Start()
			}
			q.load(200, 6*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := newQuotaWorld(64, 64)
			q.load(200, 2*time.Second)
			begin := q.Now
			fail(q)
			sent, refused, _ := q.counts(begin)
			t.Logf("%.1f requests a second passed of %d, the rate is 64", float64(sent-refused)/(q.Now-begin).Seconds(), sent)
			q.load(40, 5*time.Second)
			calm := q.Now
			q.load(40, 5*time.Second)
			q.Run(q.Now + 3*time.Second)
			if sent, refused, _ := q.counts(calm); sent < 190 || refused > 0 {
				t.Errorf("%d of %d requests refused 5 s after the failure", refused, sent)
			}
			q.checkQuota(t, 64, 64, 0)
		})
	}
}

// Guards against a lowered quota that does not bind one window after all nodes must have the version.
func TestLoweredQuota(t *testing.T) {
	q := newQuotaWorld(100, 100)
	q.load(200, 4*time.Second)
	q.Store.Apply(quotaRoutes(10, 10), Pools)
	lowered := q.Now
	q.load(200, 10*time.Second)
	q.Run(q.Now + 3*time.Second)
	q.checkQuota(t, 100, 100, 0)
	q.checkQuota(t, 10, 10, lowered+2500*time.Millisecond)
}
