// Package faultmatrix injects each fault at each step of a set of scenarios and checks the invariants after each run.
// A step is one event that the reducer handles, so the matrix grows with the reducer.
package faultmatrix

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Fault is a fault that can be injected at a step.
type Fault struct {
	Name string
	// Inject causes the fault. The given node is about to handle the event of the step.
	Inject func(w *pump.World, node *pump.Node)
}

const (
	// restartAfter is the time from the end of a process to its restart.
	restartAfter = 500 * time.Millisecond
	// resumeAfter is the length of a pause. It exceeds the lease in the store and the timeout of the failure detector.
	resumeAfter = 7 * time.Second
	// copyAge is the age of a copy of the store when the store goes away to come back from it.
	copyAge = 1500 * time.Millisecond
	// healDelay is the time from the end of a scenario to the end of the faults.
	healDelay = 5 * time.Second
	// lateDeliveryDelay is longer than the probe of a silent connection together with the settle request that sets a
	// fence, and shorter than the timeout of the call, so that a late copy reaches the fence while the call is open.
	lateDeliveryDelay = 1600 * time.Millisecond
)

// Faults returns all faults of the matrix.
func Faults() []Fault {
	return []Fault{
		{"node killed", func(_ *pump.World, n *pump.Node) { n.Kill() }},
		{"node killed and restarted", func(w *pump.World, n *pump.Node) {
			n.Kill()
			w.After(restartAfter, n.Start)
		}},
		{"all nodes killed and restarted", func(w *pump.World, _ *pump.Node) {
			for _, n := range w.Nodes() {
				n.Kill()
				w.After(restartAfter, n.Start)
			}
		}},
		{"node paused", func(w *pump.World, n *pump.Node) {
			n.Pause()
			w.After(resumeAfter, n.Resume)
		}},
		{"target paused", func(w *pump.World, _ *pump.Node) {
			n := w.Node(Target)
			n.Pause()
			w.After(resumeAfter, n.Resume)
		}},
		{"target killed", func(w *pump.World, _ *pump.Node) { w.Node(Target).Kill() }},
		{"connections silent", func(w *pump.World, n *pump.Node) {
			for _, other := range w.Nodes() {
				w.Silence(n.ID, other.ID)
				w.Silence(other.ID, n.ID)
			}
		}},
		{"connections silent, copies arrive late", func(w *pump.World, n *pump.Node) {
			for _, other := range w.Nodes() {
				w.Silence(n.ID, other.ID)
			}
			w.After(lateDeliveryDelay, w.DeliverStalled)
		}},
		{"callers leave", func(w *pump.World, _ *pump.Node) { w.DisconnectCallers() }},
		{"calls slow, callers leave", func(w *pump.World, n *pump.Node) {
			w.SlowCalls(n.ID, slowCallDelay)
			w.After(slowCallDelay/10, w.DisconnectCallers)
		}},
		{"zone cut off", func(w *pump.World, n *pump.Node) { w.CutZone(n.Zone) }},
		{"node cut off", func(w *pump.World, n *pump.Node) {
			for _, other := range w.Nodes() {
				w.Cut(n.ID, other.ID)
			}
		}},
		{"backend server killed", func(_ *pump.World, n *pump.Node) { n.KillBackend() }},
		{"backend server drains", func(_ *pump.World, n *pump.Node) { n.DrainBackend() }},
		{"backend server leaves", func(_ *pump.World, n *pump.Node) { n.DeregisterBackend() }},
		{"backend server sheds", func(_ *pump.World, n *pump.Node) { n.Backend.Shedding = true }},
		{"backend server answers without end", func(_ *pump.World, n *pump.Node) { n.Backend.Endless = true }},
		{"backend server answers malformed", func(_ *pump.World, n *pump.Node) { n.Backend.Malformed = true }},
		{"node stopped", func(_ *pump.World, n *pump.Node) { n.Stop() }},
		{"store down", func(w *pump.World, _ *pump.Node) { w.Store.Down = true }},
		{"store turns readers away", func(w *pump.World, _ *pump.Node) { w.Store.TurnAway(pump.Refused, w.Store.FirstReaders()...) }},
		{"store slow", func(w *pump.World, _ *pump.Node) { w.Store.ExtraDelay = 900 * time.Millisecond }},
		{"store stale", func(w *pump.World, _ *pump.Node) { w.Store.Stale = true }},
		{"store loses answers", func(w *pump.World, _ *pump.Node) { w.Store.LoseAnswers = true }},
		{"store restored from an older copy", func(w *pump.World, _ *pump.Node) {
			older := w.Store.Copy()
			w.After(copyAge, func() { w.Store.FailAndRestore(older) })
		}},
		{"leases lapse", func(w *pump.World, _ *pump.Node) { w.Store.ExpireLeases() }},
		{"new version", func(w *pump.World, _ *pump.Node) { w.Store.Apply(Routes, NextPools) }},
		{"invalid version", func(w *pump.World, _ *pump.Node) { w.Store.Apply(Routes, "") }},
		{"flood of the least urgent work", func(w *pump.World, _ *pump.Node) { flood(w, "/bulk") }},
		{"flood of the most urgent work", func(w *pump.World, _ *pump.Node) { flood(w, "/urgent") }},
	}
}

// slowCallDelay is longer than a request may start after its caller has left.
const slowCallDelay = 700 * time.Millisecond

// Nodes of all scenarios. Callers send their requests to Ingress, which has no backend server.
const (
	Ingress = reducer.NodeID("n1")
	Target  = reducer.NodeID("n2")
	Remote  = reducer.NodeID("n3")
)

// Tables of all scenarios. The versions of the pools differ in min_share.1.
const (
	Routes = `
[route lookup]
path = /lookup
pool = stitchroom
priority = 1
idempotent = yes
timeout = 2s
[route dues]
path = /dues
pool = stitchroom
priority = 1
timeout = 2s
key_retention = 10s
[route report]
path = /report
pool = stitchroom
priority = 1
timeout = 4s
[route download]
path = /download
pool = stitchroom
priority = 1
idempotent = yes
streaming = yes
timeout = 2s
[route urgent]
path = /urgent
pool = stitchroom
priority = 0
idempotent = yes
timeout = 200ms
[route bulk]
path = /bulk
pool = stitchroom
priority = 7
idempotent = yes
timeout = 500ms
`
	Pools = `
[pool stitchroom]
service = stitchroom
min_share.1 = 20
min_share.7 = 5
ramp = 0s
`
	NextPools = `
[pool stitchroom]
service = stitchroom
min_share.1 = 25
min_share.7 = 5
ramp = 0s
`
	OtherPools = `
[pool stitchroom]
service = stitchroom
min_share.1 = 30
min_share.7 = 5
ramp = 0s
`
)
