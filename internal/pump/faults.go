package pump

import (
	"time"

	"slices"
	"sort"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Kill ends a node's process at once. Its callers and peers lose their connections to it; its backend server
// continues the requests that it runs.
func (n *Node) Kill() {
	if !n.Up {
		return
	}
	w := n.world
	w.History.Disrupted = true
	n.Up = false
	n.processSeq++
	for _, id := range w.callIDs() {
		if w.calls[id].node == n {
			w.History.Disconnected[id] = true
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

// dropConnections closes all connections to and from a node.
func (w *World) dropConnections(id reducer.NodeID) {
	for _, key := range w.linkKeys() {
		if key.from == id || key.to == id {
			w.closeConnections(key)
		}
	}
}

// closeConnections closes the connections of a link. Both ends notice after LinkDelay. While the link is cut, nobody
// notices; Heal then closes the connections again.
func (w *World) closeConnections(key linkKey) {
	l := w.links[key]
	if l.closeOnHeal = l.cut; l.closeOnHeal {
		return
	}
	w.scheduleAt(w.Now+LinkDelay, l.failConnection)
	w.nodes[key.to].postForwarderGone(key.from)
}

// postForwarderGone posts a ForwarderGone for each call that the peer has forwarded to this node.
func (n *Node) postForwarderGone(peer reducer.NodeID) {
	for _, handle := range n.trafficHandles() {
		if n.traffic[handle].forwarder == peer {
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

// Pause suspends a node's process. Its events are deferred until Resume.
func (n *Node) Pause() {
	if n.Up {
		n.Paused = true
		n.world.History.Disrupted = true
	}
}

// Resume continues a paused process and runs its deferred events at the current time.
func (n *Node) Resume() {
	if !n.Paused {
		return
	}
	n.Paused = false
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		n.world.scheduleAt(n.world.Now, run)
	}
}

// Times of a graceful shutdown. The platform kills a process that has not ended after StopGrace. A request that arrives by
// lateRequestAfter may be cut then: its caller could not know that the node leaves.
const (
	ShutdownTimeout  = 5 * time.Second
	StopGrace        = 6 * time.Second
	lateRequestAfter = 3 * time.Second
)

// Stop starts a graceful shutdown. The process is killed after StopGrace.
func (n *Node) Stop() {
	if !n.Up {
		return
	}
	stoppedAt, processSeq := n.world.Now, n.processSeq
	n.world.After(StopGrace, func() {
		if n.processSeq == processSeq {
			n.killAfterGrace(stoppedAt)
		}
	})
	for _, id := range n.world.callIDs() {
		if n.world.calls[id].node == n {
			n.world.History.InProgressAtStop[n.ID] = append(n.world.History.InProgressAtStop[n.ID], id)
		}
	}
	n.post(0, reducer.ShutdownRequested{})
}

// killAfterGrace kills a process whose graceful shutdown began at stoppedAt and has not ended. Requests that arrived late are
// recorded unless the run was disrupted: a process that was paused may not even have read them.
func (n *Node) killAfterGrace(stoppedAt time.Duration) {
	for _, id := range n.world.callIDs() {
		if call := n.world.calls[id]; call.node == n && call.sentAt > stoppedAt+lateRequestAfter && !n.world.History.Disrupted {
			n.world.History.CutByKill = append(n.world.History.CutByKill, id)
		}
	}
	n.Kill()
}

// DrainBackend makes the backend server register as draining.
func (n *Node) DrainBackend() {
	if !n.Up || n.Backend.Draining || !n.Backend.Up {
		return
	}
	n.Backend.Draining = true
	n.world.History.DrainingSince[n.ID] = n.world.Now
	n.post(0, n.registration())
}

// lateRegistrationDelay is the time from a deregistration to the arrival of a registration that was sent before it.
const lateRegistrationDelay = 500 * time.Millisecond

// leaveRetryInterval is how long a backend server waits for the acknowledgement of its deregistration before it sends it
// again.
const leaveRetryInterval = time.Second

// DeregisterBackend makes the backend server deregister without draining first, until that is acknowledged. A registration
// that it sent before arrives after the deregistration.
func (n *Node) DeregisterBackend() {
	if !n.Up || n.Backend.Draining || !n.Backend.Up {
		return
	}
	late := n.registration()
	n.Backend.Draining, n.Backend.deregistered = true, true
	n.sendDeregistration(late.Instance, late.Born, 0)
	n.after(lateRegistrationDelay, func() { n.reduce(late) })
}

// sendDeregistration sends a deregistration until it is acknowledged. The time in which calls may still arrive begins when a
// process of the node is first told, and again if another one has to be told.
func (n *Node) sendDeregistration(instance string, born int64, told int) {
	if n.Backend.born != born || !n.Backend.Up {
		return
	}
	if told != n.processSeq {
		n.world.History.DrainingSince[n.ID] = n.world.Now
	}
	told, acknowledged := n.processSeq, false
	exchange := n.addGoroutine(&goroutine{onAcknowledged: func(kept bool) { acknowledged = kept }})
	n.post(0, reducer.BackendDeregistered{Instance: instance, Born: born, Exchange: exchange})
	n.world.After(leaveRetryInterval, func() {
		if !acknowledged {
			n.sendDeregistration(instance, born, told)
		}
	})
}

// RestartBackend ends the backend server, unless it runs requests, and starts it again under its instance.
func (n *Node) RestartBackend() {
	if n.Up && n.Backend.Up && n.Backend.Running == 0 {
		n.beginBackendLife()
	}
}

// RestartProcess kills the process of a node and starts it again at once, beside a backend server that continues to run.
func (n *Node) RestartProcess() {
	if !n.Up {
		return
	}
	n.Kill()
	n.startProcess()
}

// DelayRegistration sends a registration that arrives after the given time, whatever process of the node runs then.
func (n *Node) DelayRegistration(delay time.Duration) {
	late := n.registration()
	n.world.After(delay, func() {
		if n.Up && !n.Paused {
			n.reduce(late)
		}
	})
}

// KillBackend ends the backend server. The requests that it runs fail with an unknown outcome.
func (n *Node) KillBackend() {
	n.Backend.Up = false
	n.world.History.Disrupted = true
	for _, handle := range n.trafficHandles() {
		g := n.traffic[handle]
		n.endBackendRequest(handle, g, reducer.BackendFailed, 0)
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

// Cut drops all messages between two nodes. Open connections stay open and carry nothing.
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

// Silence makes the open connection from one node to another drop all messages from now on. New connections work.
func (w *World) Silence(from, to reducer.NodeID) {
	w.History.Disrupted = true
	l := w.link(from, to)
	l.silentUpTo = l.epoch
}

// Heal ends all cuts, pauses and faults of the store, and delivers the stalled calls.
func (w *World) Heal() {
	w.History.Rollouts.UnstableUntil = w.Now
	for _, key := range w.linkKeys() {
		l := w.links[key]
		l.extraDelay = 0
		if l.cut = false; l.closeOnHeal {
			w.closeConnections(key)
		}
	}
	w.Store.Heal()
	w.DeliverStalled()
	for _, n := range w.Nodes() {
		n.Resume()
	}
}

// DeliverStalled delivers the forwarded calls that were held up by cut links and silent connections.
func (w *World) DeliverStalled() {
	stalled := w.stalled
	w.stalled = nil
	for _, s := range stalled {
		w.scheduleAt(w.Now+LinkDelay, s.deliver)
	}
}

// SlowCalls makes forwarded calls between a node and all others take longer, as behind a peer that reads slowly. Control
// messages and cancellations travel on other connections and are as fast as before.
func (w *World) SlowCalls(n reducer.NodeID, delay time.Duration) {
	for _, other := range w.Nodes() {
		w.link(n, other.ID).extraDelay, w.link(other.ID, n).extraDelay = delay, delay
	}
}

// DisconnectCallers closes the connections of all callers that wait for a response.
func (w *World) DisconnectCallers() {
	for _, id := range w.callIDs() {
		w.DisconnectCaller(id)
	}
}
