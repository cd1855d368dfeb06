package main

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Parameters of the retry runs. Few calls on many slots keep queues empty, so that retries are due to failures
// alone.
const (
	treeUpstreams    = 6
	treeSlots        = 256
	treeDuration     = 60 * time.Second
	treeCallInterval = 20 * time.Millisecond // between two root calls
	treeTimeout      = 2 * time.Second
	// retryBudget is the retry budget of a node, as a share of its calls (design page, section 6.4).
	retryBudget = 0.10
	// retryBurst is the number of retries that the budget of a node holds at the start.
	retryBurst = 20
)

// failureMode selects which requests fail at the backend servers.
type failureMode string

const (
	failUpstreams failureMode = "a third of the upstreams fail"
	failCalls     failureMode = "a third of the executions fail"
	failBriefly   failureMode = "all executions fail for 20 ms of about each second"
)

// Period and length of the outages of failBriefly. An outage is about as long as a supervisor takes to restart a
// backend server, or as a new connection takes to be set up.
const (
	outagePeriod   = 1003 * time.Millisecond // not a multiple of treeCallInterval
	outageDuration = 20 * time.Millisecond
)

// treeRun is a run of call trees: each request at a backend server makes one further call, down to a depth.
type treeRun struct {
	cluster    *cluster
	depth      int
	mode       failureMode
	passLimits bool // inner calls carry the remaining retries and the id of the outer call
	calls      int  // root and inner calls
	succeeded  int  // root calls with a response
	roots      int
}

const treeRoutes = "[route tree]\npath = /tree\npool = main\nidempotent = yes\ntimeout = 2s\n"
const treePools = "[pool main]\nservice = " + service + "\nramp = 0s\n"

// runTree sends root calls for treeDuration and returns the run after the last one has ended.
func runTree(depth int, mode failureMode, passLimits bool, seed uint64) *treeRun {
	c := newCluster(clusterOptions{
		upstreams: treeUpstreams, slots: treeSlots, zones: 1, zoneHop: localHop, routes: treeRoutes, pools: treePools, seed: seed,
	})
	r := &treeRun{cluster: c, depth: depth, mode: mode, passLimits: passLimits}
	c.execute = r.execute
	c.run(time.Second)
	for at := time.Second; at < treeDuration; at += treeCallInterval {
		c.scheduleAt(at, r.sendRootCall)
	}
	c.run(treeDuration + 2*treeTimeout)
	return r
}

// sendRootCall sends a call of an outside caller to a random node.
func (r *treeRun) sendRootCall() {
	r.roots++
	n := r.cluster.nodes[r.cluster.rng.IntN(treeUpstreams)]
	r.calls++
	n.sendCall(reducer.CallArrived{Path: "/tree", RetriesLeft: -1}, func(ok bool) {
		if ok {
			r.succeeded++
		}
	})
}

func (r *treeRun) shouldFail(n *simNode) bool {
	switch r.mode {
	case failUpstreams:
		return n.index%3 == 0
	case failBriefly:
		return r.cluster.now%outagePeriod < outageDuration
	default:
		return r.cluster.rng.IntN(3) == 0
	}
}

// execute simulates a request: it fails, succeeds at the last depth, or has the result of the inner call that it
// makes through its own node.
func (r *treeRun) execute(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult)) {
	const took = time.Millisecond
	failed := r.shouldFail(n)
	r.cluster.scheduleAfter(took, func() {
		switch {
		case failed:
			done(reducer.BackendFailed)
		case start.Limits.Depth >= r.depth:
			done(reducer.BackendAnswered)
		default:
			r.sendInnerCall(n, start, done)
		}
	})
}

// sendInnerCall makes the next call of a tree; the request ends with its result.
func (r *treeRun) sendInnerCall(n *simNode, start reducer.StartBackendRequest, done func(reducer.BackendResult)) {
	r.calls++
	in := reducer.CallArrived{Path: "/tree", Timeout: start.TimeLeft, Depth: start.Limits.Depth, RetriesLeft: start.Limits.RetriesLeft, Parent: start.ID}
	if !r.passLimits {
		in.RetriesLeft, in.Parent = tables.DefaultRetries, reducer.CallID{}
	}
	n.sendCall(in, func(ok bool) {
		if ok {
			done(reducer.BackendAnswered)
		} else {
			done(reducer.BackendFailed)
		}
	})
}

// reportRetries prints the retries of each run and returns the number of runs that exceeded the retry budget.
func reportRetries(seed uint64) int {
	failed := 0
	for _, depth := range []int{1, 5, 30} {
		for _, mode := range []failureMode{failUpstreams, failCalls, failBriefly} {
			for _, passLimits := range []bool{true, false} {
				r := runTree(depth, mode, passLimits, seed)
				share := float64(r.cluster.retries) / float64(r.calls)
				fmt.Printf("retries depth %2d, %s, handed down %-5v: %d trees, %.3f succeed, %d calls, %d executions, %d retries: %.4f of calls, %.3f for each tree\n",
					depth, mode, passLimits, r.roots, float64(r.succeeded)/float64(r.roots), r.calls, r.cluster.starts, r.cluster.retries, share, float64(r.cluster.retries)/float64(r.roots))
				if passLimits {
					bound := retryBudget*float64(r.calls) + retryBurst*treeUpstreams
					failed += reportCheck(float64(r.cluster.retries) <= bound, "retries depth %d, %s: %d, budget %.0f", depth, mode, r.cluster.retries, bound)
				}
			}
		}
	}
	return failed
}
