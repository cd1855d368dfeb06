package reducer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Bounds of the users' rules on the share of a split's pool: in steady state over 300 requests or more, and over 200 or more
// while a pool is short.
const (
	maxShareError      = 0.1
	maxShareErrorShort = 0.2
)

const splitPools = "[pool p]\nservice = s\nramp = 0s\n[pool q]\nservice = t\nramp = 0s\n"

// splitNodes returns nodes that know an upstream of each service, with a route that is split by the weights of p and q.
func splitNodes(t *testing.T, n, weightP, weightQ int) []*State {
	t.Helper()
	random := rand.New(rand.NewPCG(testSeed, uint64(n)))
	nodes := make([]*State, n)
	for i := range nodes {
		nodes[i] = New(Config{
			Self: NodeID(fmt.Sprint("ingress-", i)), Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
			Tables: testSnapshot(t, splitRoute(weightP, weightQ), splitPools),
		})
		for _, service := range []string{"s", "t"} {
			m := Member{Node: NodeID("up-" + service), Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 1, State: MemberAlive}
			m.Upstream = Upstream{Service: service, Slots: 100, State: UpstreamReady}
			Reduce(nodes[i], Event{Now: time.Hour, Rand: random.Uint64(), Input: PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}}})
		}
	}
	return nodes
}

func splitRoute(weightP, weightQ int) string {
	return fmt.Sprintf("[route r]\nidempotent = yes\nsplit = p:%d, q:%d\n", weightP, weightQ)
}

// sendSplit sends calls to nodes chosen at random and returns how many were forwarded to each pool and how many refused.
func sendSplit(nodes []*State, calls int, seed uint64) (forwarded map[string]int, refused int) {
	random := rand.New(rand.NewPCG(testSeed, seed))
	forwarded = map[string]int{}
	for i := range calls {
		node := nodes[random.IntN(len(nodes))]
		call := CallArrived{Call: Handle(seed)<<32 + Handle(i) + 1, Method: "GET", Path: "/", RetriesLeft: -1}
		for _, effect := range Reduce(node, Event{Now: time.Hour, Rand: random.Uint64(), Input: call}) {
			switch e := effect.(type) {
			case Forward:
				forwarded[e.Pool]++
			case FailCall:
				refused++
			}
		}
	}
	return forwarded, refused
}

// Guards against shares of a split that are off in the first few hundred requests, with few nodes and with many that choose
// on their own, and after the weights have changed.
func TestSharesOfASplitAreExact(t *testing.T) {
	const calls = 300
	for _, n := range []int{1, 4, 63} {
		for _, weights := range [][2]int{{90, 10}, {50, 50}, {1, 99}} {
			nodes := splitNodes(t, n, weights[0], weights[1])
			for round, changed := range [][2]int{weights, {weights[1], weights[0]}} {
				if round > 0 {
					document := tables.Document{Version: 2, Routes: splitRoute(changed[0], changed[1]), Pools: splitPools}
					document.Hash = tables.ContentHash(document.Routes, document.Pools)
					for _, node := range nodes {
						node.startCheck(&candidate{id: document.ID(), document: document, fromStore: true})
						Reduce(node, Event{Now: time.Hour, Input: CheckTables{Document: document}.Run()})
					}
				}
				forwarded, refused := sendSplit(nodes, calls, uint64(round+1))
				share, want := float64(forwarded["p"])/calls, float64(changed[0])/100
				if math.Abs(share-want) > maxShareError || refused > 0 {
					t.Errorf("%d nodes, weights %v: share %.3f, expected %.2f; %d refused", n, changed, share, want, refused)
				}
			}
		}
	}
}

// Guards against calls that are moved to another pool of a split because theirs has no room: they are refused.
func TestSplitMovesNothingToAnotherPool(t *testing.T) {
	const calls = 400
	nodes := splitNodes(t, 4, 70, 30)
	for _, node := range nodes {
		m := Member{Node: "up-t", Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Sequence: 2, State: MemberAlive}
		m.Upstream = Upstream{Service: "t", Slots: 100, State: UpstreamDraining}
		Reduce(node, Event{Now: time.Hour, Input: PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}}})
	}
	forwarded, refused := sendSplit(nodes, calls, 1)
	share := float64(forwarded["p"]) / calls
	if math.Abs(share-0.7) > maxShareErrorShort || forwarded["q"] != 0 || refused != calls-forwarded["p"] {
		t.Errorf("forwarded %v, refused %d: the share of p is %.3f, expected 0.7", forwarded, refused, share)
	}
}

// Guards against a split whose shares are off by more than 2 in 100 over 10,000 requests, also while an upstream of one branch
// drains: the other upstreams of that branch take its calls, and the other branch takes none of them.
func TestSharesOfASplitHoldWhileAnUpstreamDrains(t *testing.T) {
	const (
		calls    = 10_000
		maxError = 0.02
	)
	for _, n := range []int{4, 63} {
		for _, weights := range [][2]int{{90, 10}, {50, 50}, {99, 1}} {
			for _, draining := range []bool{false, true} {
				nodes := splitNodes(t, n, weights[0], weights[1])
				setUpstream(nodes, "up-t-2", 1, UpstreamReady)
				before, _ := sendSplit(nodes, calls/4, 1)
				if draining {
					setUpstream(nodes, "up-t-2", 2, UpstreamDraining)
				}
				during, refused := sendSplit(nodes, calls/2, 2)
				if draining {
					setUpstream(nodes, "up-t-2", 3, UpstreamDown)
				}
				after, refusedAfter := sendSplit(nodes, calls/4, 3)
				for name, forwarded := range map[string]map[string]int{"while it drains": during, "in all": {
					"p": before["p"] + during["p"] + after["p"], "q": before["q"] + during["q"] + after["q"],
				}} {
					share, want := float64(forwarded["p"])/float64(forwarded["p"]+forwarded["q"]), float64(weights[0])/100
					if math.Abs(share-want) > maxError {
						t.Errorf("%d nodes, weights %v, draining %v: share of p %.4f %s, expected %.2f", n, weights, draining, share, name, want)
					}
				}
				if refused+refusedAfter > 0 {
					t.Errorf("%d nodes, weights %v, draining %v: %d refused", n, weights, draining, refused+refusedAfter)
				}
			}
		}
	}
}

// setUpstream tells all nodes the state of an upstream of the service t.
func setUpstream(nodes []*State, node NodeID, sequence uint64, state UpstreamState) {
	m := Member{Node: node, Zone: "z", Address: "127.0.0.1:1", Incarnation: 1, Sequence: sequence, State: MemberAlive}
	m.Upstream = Upstream{Service: "t", Slots: 100, State: state}
	for _, n := range nodes {
		Reduce(n, Event{Now: time.Hour, Input: PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}}})
	}
}
