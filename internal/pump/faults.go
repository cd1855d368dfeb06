package pump

import (
	"time"

	"slices"
	"sort"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Kill ends a node's process at once. Its callers lose their connection, its backend server goes on
// with what it runs, and peers lose their connections to it.
func (n *Node) Kill() {
	if !n.Up {
		return
	}
	w := n.world
	w.History.Disrupted = true
	n.Up = false
	n.life++
	for _, id := range w.callIDs() {
		if w.calls[id].node == n {
			w.History.Cut[id] = true
			delete(w.calls, id)
		}
	}
	w.dropConnections(n.ID)
}

func (w *World) callIDs() []string {
	ids := make([]string, 0, len(w.calls))
	for id := range w.calls {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

// dropConnections breaks every connection to and from a node, which its peers notice after a moment, or
// once the link is no longer cut.
func (w *World) dropConnections(id reducer.NodeID) {
	for _, key := range w.linkKeys() {
		if key.from == id || key.to == id {
			w.breakLink(key)
		}
	}
}

func (w *World) breakLink(key linkKey) {
	l := w.links[key]
	if l.broken = l.cut; l.broken {
		return
	}
	w.at(w.Now+LinkDelay, l.fail)
	w.nodes[key.to].forwarderGone(key.from)
}

// forwarderGone tells a node that the connections from a peer have ended.
func (n *Node) forwarderGone(peer reducer.NodeID) {
	for _, handle := range n.trafficHandles() {
		if n.traffic[handle].from == peer {
			n.post(LinkDelay, reducer.ForwarderGone{Call: handle})
		}
	}
}

func (w *World) linkKeys() []linkKey {
	keys := make([]linkKey, 0, len(w.links))
	for key := range w.links {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].from != keys[j].from {
			return keys[i].from < keys[j].from
		}
		return keys[i].to < keys[j].to
	})
	return keys
}

// Pause stops a node's process without ending it.
func (n *Node) Pause() {
	if n.Up {
		n.Paused = true
		n.world.History.Disrupted = true
	}
}

// Resume continues a paused process; everything that waited happens at once.
func (n *Node) Resume() {
	if !n.Paused {
		return
	}
	n.Paused = false
	held := n.held
	n.held = nil
	for _, run := range held {
		n.world.at(n.world.Now, run)
	}
}

// Stop starts a graceful shutdown.
func (n *Node) Stop() {
	if !n.Up {
		return
	}
	for _, id := range n.world.callIDs() {
		if n.world.calls[id].node == n {
			n.world.History.Stopping[n.ID] = append(n.world.History.Stopping[n.ID], id)
		}
	}
	n.post(0, reducer.ShutdownRequested{})
}

// DrainBackend makes the backend server say that it drains.
func (n *Node) DrainBackend() {
	if !n.Up || n.Backend.Draining || !n.Backend.Up {
		return
	}
	n.Backend.Draining = true
	n.world.History.Drained[n.ID] = n.world.Now
	n.post(0, n.registration())
}

// lateReport is how long a registration from before a leave may be on its way.
const lateReport = 500 * time.Millisecond

// DeregisterBackend makes the backend server say that it leaves, without having drained. A registration that it sent
// before arrives later.
func (n *Node) DeregisterBackend() {
	if !n.Up || n.Backend.Draining || !n.Backend.Up {
		return
	}
	late := n.registration()
	n.Backend.Draining, n.Backend.silent = true, true
	n.world.History.Drained[n.ID] = n.world.Now
	n.post(0, reducer.BackendDeregistered{Instance: late.Instance, Born: late.Born})
	n.after(lateReport, func() { n.reduce(late) })
}

// KillBackend ends the backend server: what it runs has no known outcome.
func (n *Node) KillBackend() {
	n.Backend.Up = false
	n.world.History.Disrupted = true
	for _, handle := range n.trafficHandles() {
		g := n.traffic[handle]
		n.endBackend(handle, g, reducer.BackendFailed, 0)
	}
}

func (n *Node) trafficHandles() []reducer.Handle {
	handles := make([]reducer.Handle, 0, len(n.traffic))
	for handle := range n.traffic {
		handles = append(handles, handle)
	}
	sort.Slice(handles, func(i, j int) bool { return handles[i] < handles[j] })
	return handles
}

// Cut drops all messages between two nodes; open connections stay open and say nothing.
func (w *World) Cut(a, b reducer.NodeID) {
	w.History.Disrupted = true
	w.link(a, b).cut = true
	w.link(b, a).cut = true
}

// CutZone cuts a zone off from all other zones.
func (w *World) CutZone(zone string) { w.CutZones(zone) }

// CutZones cuts a set of zones, such as a region, off from all other zones.
func (w *World) CutZones(zones ...string) {
	for _, a := range w.Nodes() {
		for _, b := range w.Nodes() {
			if slices.Contains(zones, a.Zone) && !slices.Contains(zones, b.Zone) {
				w.Cut(a.ID, b.ID)
			}
		}
	}
}

// Silence makes the open connection from one node to another silent for good; a new one works.
func (w *World) Silence(from, to reducer.NodeID) {
	w.History.Disrupted = true
	l := w.link(from, to)
	l.silent = l.epoch
}

// Heal ends every cut. Calls that were under way on connections given up arrive now, late.
func (w *World) Heal() {
	for _, key := range w.linkKeys() {
		l := w.links[key]
		if l.cut = false; l.broken {
			w.breakLink(key)
		}
	}
	w.Store.Heal()
	w.DeliverStalled()
	for _, n := range w.Nodes() {
		n.Resume()
	}
}

// DeliverStalled delivers the calls that were sent on connections given up since.
func (w *World) DeliverStalled() {
	stalled := w.stalled
	w.stalled = nil
	for _, s := range stalled {
		w.at(w.Now+LinkDelay, s.deliver)
	}
}

// CallersLeave closes the connections of all callers that wait for a response.
func (w *World) CallersLeave() {
	for _, id := range w.callIDs() {
		w.CallerLeaves(id)
	}
}
