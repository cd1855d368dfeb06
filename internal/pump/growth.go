package pump

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const (
	// growthInterval is how often a response without end asks for more memory.
	growthInterval = 10 * time.Millisecond
	// maxResponseBytes is the size at which the runner cuts any response.
	maxResponseBytes = 8 << 20
)

// growResponse lets the response to a running call ask for more memory until it is cut. A response without end has a head,
// so that its request has run.
func (n *Node) growResponse(call reducer.Handle, g *goroutine, bytes int64) {
	if !g.running {
		return
	}
	n.world.History.Disrupted = true // the backend server breaks the response off, not the node
	if bytes > maxResponseBytes {
		n.endBackendRequest(call, g, reducer.BackendFailed, 0)
		return
	}
	exchange := n.addGoroutine(&goroutine{onGrowth: func(allowed bool) {
		if !allowed {
			n.endBackendRequest(call, g, reducer.BackendOversized, 0)
			return
		}
		n.after(growthInterval, func() { n.growResponse(call, g, 2*bytes) })
	}})
	n.post(0, reducer.ResponseGrows{Call: call, Exchange: exchange, Bytes: bytes})
}

// answerGrowth passes on whether a response may grow. A denial may follow an answer that allowed it, so that the exchange
// stays until its process ends.
func (n *Node) answerGrowth(e reducer.AnswerResponseGrowth) {
	if g := n.traffic[e.Exchange]; g != nil {
		g.onGrowth(e.Allowed)
	}
}
