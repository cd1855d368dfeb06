package main

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Figures of the runs that measure retries: few calls on many slots, so that only failures matter.
const (
	treeUpstreams = 6
	treeSlots     = 256
	treeTime      = 60 * time.Second
	treePause     = 20 * time.Millisecond // between two calls from outside
	treeTimeout   = 2 * time.Second
	// aimRetries is the node-wide retry budget, from section 6.4 of the design page.
	aimRetries = 0.10
	// retryBurst is the size of the budget that each node starts with.
	retryBurst = 20
)

// failureMode says how a third of the work fails.
type failureMode string

const (
	failUpstreams failureMode = "a third of the upstreams fail"
	failCalls     failureMode = "a third of the executions fail"
	failMoments   failureMode = "all executions fail for 20 ms of about each second"
)

// Figures of failMoments: about the time in which a backend server is started again by its supervisor or a
// connection is set up anew.
const (
	momentPeriod = 1003 * time.Millisecond // not a multiple of treePause
	momentLength = 20 * time.Millisecond
)

// treeRun is a run of call trees: each call makes one call on its behalf, down to the depth.
type treeRun struct {
	cluster  *cluster
	depth    int
	mode     failureMode
	handDown bool // of the retries left and the id of the outer call
	calls    int
	good     int
	roots    int
}

const treeRoutes = "[route tree]\npath = /tree\npool = main\nidempotent = yes\ntimeout = 2s\n"
const treePools = "[pool main]\nservice = " + service + "\nramp = 0s\n"

func runTree(depth int, mode failureMode, handDown bool, seed uint64) *treeRun {
	c := newCluster(clusterOptions{
		upstreams: treeUpstreams, slots: treeSlots, zones: 1, zoneHop: localHop, routes: treeRoutes, pools: treePools, seed: seed,
	})
	r := &treeRun{cluster: c, depth: depth, mode: mode, handDown: handDown}
	c.execute = r.execute
	c.run(time.Second)
	for at := time.Second; at < treeTime; at += treePause {
		c.at(at, r.root)
	}
	c.run(treeTime + 2*treeTimeout)
	return r
}

// root sends a call from outside to a random node.
func (r *treeRun) root() {
	r.roots++
	n := r.cluster.nodes[r.cluster.rng.IntN(treeUpstreams)]
	r.calls++
	n.call(reducer.CallArrived{Path: "/tree", RetriesLeft: -1}, func(ok bool) {
		if ok {
			r.good++
		}
	})
}

func (r *treeRun) fails(n *simNode) bool {
	switch r.mode {
	case failUpstreams:
		return n.index%3 == 0
	case failMoments:
		return r.cluster.now%momentPeriod < momentLength
	default:
		return r.cluster.rng.IntN(3) == 0
	}
}

// execute runs a request: it fails at once, or makes the next call of the tree at its own node and fails
// when that call does.
func (r *treeRun) execute(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult)) {
	const took = time.Millisecond
	failed := r.fails(n)
	r.cluster.after(took, func() {
		switch {
		case failed:
			done(reducer.BackendFailed)
		case start.Limits.Depth >= r.depth:
			done(reducer.BackendAnswered)
		default:
			r.inner(n, start, done)
		}
	})
}

func (r *treeRun) inner(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult)) {
	r.calls++
	in := reducer.CallArrived{Path: "/tree", Timeout: start.TimeLeft, Depth: start.Limits.Depth, RetriesLeft: start.Limits.RetriesLeft, Parent: start.ID}
	if !r.handDown {
		in.RetriesLeft, in.Parent = tables.DefaultRetries, reducer.CallID{}
	}
	n.call(in, func(ok bool) {
		if ok {
			done(reducer.BackendAnswered)
		} else {
			done(reducer.BackendFailed)
		}
	})
}

func reportRetries(seed uint64) int {
	failed := 0
	for _, depth := range []int{1, 5, 30} {
		for _, mode := range []failureMode{failUpstreams, failCalls, failMoments} {
			for _, handDown := range []bool{true, false} {
				r := runTree(depth, mode, handDown, seed)
				share := float64(r.cluster.retries) / float64(r.calls)
				fmt.Printf("retries depth %2d, %s, handed down %-5v: %d trees, %.3f succeed, %d calls, %d executions, %d retries: %.4f of calls, %.3f for each tree\n",
					depth, mode, handDown, r.roots, float64(r.good)/float64(r.roots), r.calls, r.cluster.starts, r.cluster.retries, share, float64(r.cluster.retries)/float64(r.roots))
				if handDown {
					bound := aimRetries*float64(r.calls) + retryBurst*treeUpstreams
					failed += check(float64(r.cluster.retries) <= bound, "retries depth %d, %s: %d, budget %.0f", depth, mode, r.cluster.retries, bound)
				}
			}
		}
	}
	return failed
}
