package reducer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// fairLoad describes a run of 30 nodes with 7 slots each and 87 workspaces, of which 4 are large. Each sends its usual demand,
// together 1.3 times what the backend servers bear; one sends 7.5 times as much.
type fairLoad struct {
	disabled  bool
	offender  int  // index of the workspace that sends 7.5 times its usual demand; -1 for none
	impatient bool // it repeats refused requests at once, and twice as often
	members   int  // that entries in the store name at the start, with the settings of quotas of a deployment; 0 for neither
	seed      uint64
}

// fairResult has the shares of the requests that were served.
type fairResult struct {
	all, others, offender, worstTenth, worst float64
	large                                    float64 // mean of the large workspaces but the offender
	slots                                    float64 // share of all slots that was in use
	heldBack                                 float64 // calls refused because of quotas before fairHeld
}

const (
	fairWorkspaces = 87
	fairLarge      = 4
	fairWork       = 363 * time.Millisecond
	fairEnd        = 9 * time.Second
	fairHeld       = 4800 * time.Millisecond // by when the buckets of owners that hold their grants for 3 s have filled
)

// fairRate returns the quota of a workspace in requests a second; its usual demand is 1/1.6 of it.
func fairRate(workspace int) float64 {
	if workspace < fairLarge {
		return 218
	}
	return 1 + 6*float64(workspace-fairLarge)/float64(fairWorkspaces-fairLarge-1)
}

func fairTables() (routes, pools string) {
	var text strings.Builder
	text.WriteString("[route r]\npath = /r\npool = p\npriority = 3\nidempotent = yes\ntimeout = 3s\ntarget_latency = 1500ms\n")
	for i := range fairWorkspaces {
		fmt.Fprintf(&text, "[workspace w%d]\nkeys = %s\nrate = %.3f\nburst = %.3f\n", i, tables.FingerprintOf(fmt.Sprint("key", i)), fairRate(i), fairRate(i))
	}
	return text.String(), "[pool p]\nservice = s\nramp = 0s\nqueue_limit = 28\n"
}

func runFair(t *testing.T, load fairLoad) fairResult {
	t.Helper()
	cfg := testTables(t, "", "")
	routes, pools := fairTables()
	cfg.Tables, cfg.DisableFairness = testSnapshot(t, routes, pools), load.disabled
	if load.members > 0 {
		cfg.Quotas = quota.Limits{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	}
	m := newMesh(t, load.seed, cfg, map[string]int{"s": 30}, []string{"s"}, 7)
	used := time.Duration(0)
	m.execute = func(_ *meshNode, _ string, _ *meshRequest, done func(int)) {
		work := fairWork/2 + time.Duration(m.rng.ExpFloat64()*float64(fairWork/2))
		m.after(work, func() {
			if m.now > 3*time.Second && m.now <= fairEnd {
				used += work
			}
			done(200)
		})
	}
	sent, served := make([]float64, fairWorkspaces), make([]float64, fairWorkspaces)
	for i := range fairWorkspaces {
		rate := fairRate(i) / 1.6
		repeats, pause := 2, 30*time.Millisecond
		if i == load.offender {
			rate *= 7.5
			if load.impatient {
				repeats, pause = 4, 0
			}
		}
		credential := keyed(fmt.Sprint("key", i))
		m.arrivals(func(time.Duration) float64 { return rate }, fairEnd, func() {
			began := m.now
			counts := began >= 3*time.Second
			if counts {
				sent[i]++
			}
			var attempt func(left int)
			attempt = func(left int) {
				m.nodes[m.rng.IntN(len(m.nodes))].send("/r", credential, &meshRequest{}, func(status int, retryAfter time.Duration) {
					switch wait := max(retryAfter, pause); {
					case status == 200 && m.now-began <= 3*time.Second:
						if counts {
							served[i]++
						}
					case left > 0 && pause == 0:
						m.after(time.Millisecond, func() { attempt(left - 1) })
					case left > 0 && m.now-began+wait < 3*time.Second:
						m.after(wait, func() { attempt(left - 1) })
					}
				})
			}
			attempt(repeats)
		})
	}
	heldBack := 0.0
	m.after(fairHeld, func() {
		for _, n := range m.nodes {
			heldBack += n.state.quota.node.Stats.Refused
		}
	})
	if load.members > 0 {
		for _, n := range m.nodes {
			n.reduce(NodesListed{Result: StoreOK, Nodes: []NodeEntry{{Node: "node-00", Zone: "z", Members: load.members}}})
		}
	}
	m.run(fairEnd + 3*time.Second)
	r := fairResult{heldBack: heldBack, slots: used.Seconds() / (30 * 7 * (fairEnd - 3*time.Second).Seconds())}
	var shares []float64
	for i := range sent {
		switch {
		case i == load.offender:
			r.offender = served[i] / sent[i]
		case sent[i] > 0:
			shares = append(shares, served[i]/sent[i])
		}
	}
	large := shares[:fairLarge]
	if load.offender >= 0 && load.offender < fairLarge {
		large = shares[:fairLarge-1]
	}
	r.large = sumOf(large) / float64(len(large))
	slices.Sort(shares)
	r.all = sumOf(served) / sumOf(sent)
	r.others = sumOf(shares) / float64(len(shares))
	r.worst, r.worstTenth = shares[0], sumOf(shares[:len(shares)/10])/float64(len(shares)/10)
	return r
}

// Guards against a workspace that takes the slots of others by sending more than its usual demand, by repeating refused
// requests at once, or because it is large. Without the part this test fails.
func TestWorkspacesKeepTheirShares(t *testing.T) {
	for _, load := range []fairLoad{{offender: -1}, {offender: 0}, {offender: 40}, {offender: 0, impatient: true}} {
		load.seed = 11
		var off fairResult
		for _, load.disabled = range []bool{true, false} {
			r := runFair(t, load)
			t.Logf("offender %d impatient %v off %-5v: served of all %.2f, of the offender %.2f, mean of the others %.2f, of the large ones %.2f, worst tenth %.2f, worst %.2f, slots in use %.2f",
				load.offender, load.impatient, load.disabled, r.all, r.offender, r.others, r.large, r.worstTenth, r.worst, r.slots)
			if load.disabled {
				off = r
				continue
			}
			if r.worst < 0.25*r.all {
				t.Errorf("offender %d: a workspace has %.2f served, all %.2f", load.offender, r.worst, r.all)
			}
			if load.offender >= 0 && r.offender > r.others {
				t.Errorf("the offender has %.2f served, the others %.2f", r.offender, r.others)
			}
			if load.offender == 0 && r.others < off.others+0.1 {
				t.Errorf("the others have %.2f served, %.2f without the part", r.others, off.others)
			}
		}
	}
}

// Guards against quotas that hold back requests in the first 4.8 s after a start of all nodes, so that slots stay free.
func TestQuotasHoldBackLittleAtTheStart(t *testing.T) {
	var before fairResult
	for _, members := range []int{0, 30} {
		r := runFair(t, fairLoad{offender: -1, seed: 11, members: members})
		t.Logf("%d members expected: %.0f calls refused because of quotas in %v, served of all %.2f, mean of the workspaces %.2f, of the large ones %.2f, worst tenth %.2f, worst %.2f, slots in use %.2f",
			members, r.heldBack, fairHeld, r.all, r.others, r.large, r.worstTenth, r.worst, r.slots)
		if members == 0 {
			before = r
			continue
		}
		// Buckets begin empty, and callers that repeat what was refused for other reasons ask for more than the quota.
		if r.heldBack > before.heldBack/5 {
			t.Errorf("%.0f calls refused because of quotas, %.0f with a hold of 3 s", r.heldBack, before.heldBack)
		}
		if r.slots < before.slots {
			t.Errorf("%.2f of the slots in use, %.2f with a hold of 3 s", r.slots, before.slots)
		}
	}
}
