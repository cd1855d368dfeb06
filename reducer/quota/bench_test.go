package quota

import (
	"testing"
	"time"
)

// BenchmarkCall measures the work of a node and an owner for one call in the deployment: calls of 87 workspaces, each decided
// with its share of the requests for tokens.
func BenchmarkCall(b *testing.B) {
	workspaces := deploymentWorkspaces()
	view := View{Self: Peer{nodeName(0), 1}, Alive: 90}
	for i := range 90 {
		view.Live = append(view.Live, Peer{nodeName(i), 1})
		view.Known = append(view.Known, nodeName(i))
	}
	node := NewNode(deploymentLimits, 0)
	node.SetWorkspaces(0, 1, workspaces)
	node.SetView(view)
	owners := map[Peer]*Owner{}
	for _, peer := range view.Live {
		owner := NewOwner(deploymentLimits)
		owner.SetWorkspaces(0, 1, workspaces)
		own := view
		own.Self = peer
		owner.SetView(0, own)
		owners[peer] = owner
	}
	const interval = 40 * time.Millisecond // 25 calls a second
	now, requests := 10*time.Second, 0
	b.ReportAllocs()
	for i := range b.N {
		now += interval
		node.Advance(now)
		node.Arrive(now, workspaces[i*i%len(workspaces)].Name, uint64(i))
		for _, outgoing := node.Take(); len(outgoing) > 0; _, outgoing = node.Take() {
			for _, out := range outgoing {
				requests++
				node.HandleGrant(now, out.To, owners[out.To].Handle(now, view.Self, out.Request))
			}
		}
		node.NextWake(now)
	}
	b.ReportMetric(float64(requests)/float64(b.N), "requests/op")
}

// BenchmarkView measures a change of the members at a node and its owner.
func BenchmarkView(b *testing.B) {
	workspaces := deploymentWorkspaces()
	view := View{Self: Peer{nodeName(0), 1}, Alive: 90}
	for i := range 90 {
		view.Live = append(view.Live, Peer{nodeName(i), 1})
		view.Known = append(view.Known, nodeName(i))
	}
	node, owner := NewNode(deploymentLimits, 0), NewOwner(deploymentLimits)
	node.SetWorkspaces(0, 1, workspaces)
	owner.SetWorkspaces(0, 1, workspaces)
	b.ReportAllocs()
	for i := range b.N {
		view.Alive = 90 - i%2
		node.SetView(view)
		owner.SetView(time.Second, view)
	}
}
