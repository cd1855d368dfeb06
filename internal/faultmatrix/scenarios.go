package faultmatrix

import (
	"fmt"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Scenario is a course of events in a world, in which faults are injected.
type Scenario struct {
	Name string
	// Begin starts the scenario. Everything that it schedules ends within Length.
	Begin  func(w *pump.World)
	Length time.Duration
	// WarmUp is the time that the nodes run before Begin, at least MinWarmUp.
	WarmUp time.Duration
	// ColdStart omits the warm-up: the scenario begins with the start of the nodes.
	ColdStart bool
	// LosesRequests is set when the scenario kills a node, so that requests can be lost without any further fault.
	LosesRequests bool
	// SixNodes sets up three nodes in each of two zones.
	SixNodes bool
	// TwoRegions sets up two regions of two zones with two nodes each.
	TwoRegions bool
	// Sampled marks a scenario with many steps. Single faults are injected at about sampledSteps of them, evenly spread,
	// or with -every-step at all of them.
	Sampled bool
}

// Scenarios returns all scenarios of the matrix.
func Scenarios() []Scenario { return append(basicScenarios(), combinedScenarios()...) }

// basicScenarios returns the scenarios of a single operation each, with three nodes.
func basicScenarios() []Scenario {
	return []Scenario{
		{Name: "idempotent call", Begin: func(w *pump.World) { sendRequest(w, Ingress, "r1", "/lookup", "", true) }, Length: 60 * time.Millisecond},
		{Name: "non-idempotent call", Begin: func(w *pump.World) { sendRequest(w, Ingress, "r1", "/dues", "", false) }, Length: 60 * time.Millisecond},
		{Name: "download", Begin: func(w *pump.World) { sendRequest(w, Ingress, "r1", "/download", "", true) }, Length: 80 * time.Millisecond},
		{Name: "upload", Begin: func(w *pump.World) { sendUpload(w, "r1") }, Length: 80 * time.Millisecond},
		{Name: "pipelined calls on one connection", Begin: func(w *pump.World) {
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			sendPipelined(w, Ingress, "r2", "/lookup", true)
			sendPipelined(w, Ingress, "r3", "/dues", false)
		}, Length: 80 * time.Millisecond},
		{Name: "call with an idempotency key, repeated at another node", Begin: func(w *pump.World) {
			sendFirstRequest(w, Ingress, "r1", "/dues", "k1")
			w.After(30*time.Millisecond, func() { sendRequest(w, Remote, "r2", "/dues", "k1", false) })
			w.After(3*time.Second, func() { sendRequest(w, Target, "r3", "/dues", "k1", false) })
		}, Length: 80 * time.Millisecond, WarmUp: keyWarmUp},
		{Name: "change of configuration", Begin: func(w *pump.World) { w.Store.Apply(Routes, NextPools) }, Length: 4 * time.Second},
		{Name: "start without tables", Begin: func(w *pump.World) {
			w.After(1500*time.Millisecond, func() { sendRequest(w, Ingress, "r1", "/dues", "", false) })
		}, Length: 3 * time.Second, ColdStart: true},
		{Name: "node joins", Begin: func(w *pump.World) {
			w.AddNode("n4", "Horten", "stitchroom")
			sendRequest(w, Ingress, "r1", "/dues", "", false)
		}, Length: 1200 * time.Millisecond},
		{Name: "caller's node dies", Begin: func(w *pump.World) {
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			w.After(10*time.Millisecond, w.Node(Ingress).Kill)
		}, Length: 60 * time.Millisecond, LosesRequests: true},
		{Name: "node dies", Begin: func(w *pump.World) {
			w.Node(Target).Kill()
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			w.After(time.Second, func() { sendRequest(w, Ingress, "r2", "/lookup", "", true) })
		}, Length: 1500 * time.Millisecond, LosesRequests: true},
		{Name: "planned stop of a key's owner", Begin: func(w *pump.World) {
			sendFirstRequest(w, Ingress, "r1", "/dues", "k1")
			w.After(30*time.Millisecond, w.Node(Target).Stop)
			w.After(3*time.Second, func() { sendRequest(w, Ingress, "r2", "/dues", "k1", false) })
		}, Length: 3100 * time.Millisecond, WarmUp: keyWarmUp},
		{Name: "responses without end", Begin: func(w *pump.World) {
			w.Node(Target).Backend.Endless = true
			for i, path := range []string{"/dues", "/lookup", "/dues", "/lookup"} {
				sendRequest(w, Ingress, fmt.Sprint("r", i), path, "", path == "/lookup")
			}
		}, Length: 200 * time.Millisecond, LosesRequests: true, Sampled: true},
		{Name: "planned stop", Begin: func(w *pump.World) {
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			w.After(10*time.Millisecond, w.Node(Target).Stop)
			w.After(50*time.Millisecond, func() { sendRequest(w, Ingress, "r2", "/dues", "", false) })
		}, Length: 2200 * time.Millisecond},
	}
}

const (
	// MinWarmUp is long enough for the nodes to fetch the tables and discover each other.
	MinWarmUp = 4 * time.Second
	// keyWarmUp is longer than the key retention in Routes plus the margin that the reducer adds.
	keyWarmUp = 45 * time.Second
)

// Recovery is the time after the end of the faults after which the invariants are checked. It covers a pause, the
// failure detector, the backoff of calls to the store and the target of 7 s for a version to become active.
const Recovery = 40 * time.Second

// Injection is a fault and the step at which it is injected, counted from the start of the scenario.
type Injection struct {
	Fault Fault
	Step  int
}

// Run runs a scenario with faults, ends the faults, waits for Recovery and returns the world.
func Run(seed uint64, scenario Scenario, injections ...Injection) *pump.World {
	return runWithFaults(newWorld(seed, scenario), scenario, injections)
}

// runWithFaults is like Run, in a world that newWorld returned.
func runWithFaults(w *pump.World, scenario Scenario, injections []Injection) *pump.World {
	begin := w.Steps
	w.OnStep = func(step int, node *pump.Node, _ reducer.Input) {
		for _, injection := range injections {
			if step-begin == injection.Step {
				injection.Fault.Inject(w, node)
			}
		}
	}
	scenario.Begin(w)
	w.Run(w.Now + scenario.Length)
	w.OnStep = nil
	w.Run(w.Now + healDelay)
	w.Heal()
	w.Run(w.Now + Recovery)
	return w
}

// Steps returns the number of steps that a scenario takes without faults.
func Steps(seed uint64, scenario Scenario) int {
	w := newWorld(seed, scenario)
	begin := w.Steps
	scenario.Begin(w)
	w.Run(w.Now + scenario.Length)
	return w.Steps - begin
}

// newWorld returns a world with the nodes of a scenario after its warm-up.
func newWorld(seed uint64, scenario Scenario) *pump.World {
	w := pump.New(seed)
	w.Store.Apply(Routes, Pools)
	w.AddNode(Ingress, "Larvik", "")
	w.AddNode(Target, "Larvik", "stitchroom")
	w.AddNode(Remote, "Horten", "stitchroom")
	if scenario.SixNodes {
		w.AddNode("n4", "Larvik", "stitchroom")
		w.AddNode("n5", "Horten", "stitchroom")
		w.AddNode("n6", "Horten", "stitchroom")
	}
	if scenario.TwoRegions {
		addRegions(w)
	}
	if !scenario.ColdStart {
		w.Run(max(scenario.WarmUp, MinWarmUp))
	}
	return w
}

// sendRequest sends a POST request to a node.
func sendRequest(w *pump.World, node reducer.NodeID, id, path, key string, idempotent bool) {
	r := invariant.Request{ID: id, Key: key, Idempotent: idempotent}
	w.Request(w.Node(node), r, reducer.CallArrived{Host: "callers", Method: "POST", Path: path})
}

// sendOnOpenConnection sends a request that is not idempotent on a connection that was opened before.
func sendOnOpenConnection(w *pump.World, node reducer.NodeID, id, path string) {
	w.RequestOnOpenConnection(w.Node(node), invariant.Request{ID: id}, reducer.CallArrived{Host: "callers", Method: "POST", Path: path})
}

// sendPipelined sends a request behind another one on its connection.
func sendPipelined(w *pump.World, node reducer.NodeID, id, path string, idempotent bool) {
	r := invariant.Request{ID: id, Idempotent: idempotent}
	w.Request(w.Node(node), r, reducer.CallArrived{Host: "callers", Method: "POST", Path: path, Pipelined: true})
}

// sendFirstRequest sends a request whose caller declares it the first attempt with its key.
func sendFirstRequest(w *pump.World, node reducer.NodeID, id, path, key string) {
	r := invariant.Request{ID: id, Key: key}
	w.Request(w.Node(node), r, reducer.CallArrived{Host: "callers", Method: "POST", Path: path, FirstAttempt: true})
}

// flood sends many more calls than the backend servers can run before the deadline of the calls.
func flood(w *pump.World, path string) { sendFlood(w, path, 120) }

// sendUpload sends a call whose body is sent to the target ahead of it.
func sendUpload(w *pump.World, id string) {
	w.Request(w.Node(Ingress), invariant.Request{ID: id}, reducer.CallArrived{Host: "callers", Method: "POST", Path: "/dues", BodyBytes: 100_000})
}

func sendFlood(w *pump.World, path string, calls int) {
	for range calls {
		sendRequest(w, Ingress, fmt.Sprintf("flood%s-%d", path, len(w.History.Requests)), path, "", true)
	}
}

// allScenariosLength is the length of beginAllScenarios.
const allScenariosLength = 10 * time.Second

// beginAllScenarios starts most basic scenarios at once, and adds faults that lead to rare events.
func beginAllScenarios(w *pump.World) {
	for _, scenario := range basicScenarios() {
		if !scenario.ColdStart && !strings.Contains(scenario.Name, "dies") && scenario.Name != "planned stop" {
			scenario.Begin(w)
		}
	}
	w.Request(w.Node(Ingress), invariant.Request{ID: "body", Idempotent: true},
		reducer.CallArrived{Host: "callers", Method: "POST", Path: "/lookup", BodyBytes: 10})
	// Slow backend servers, a caller that disconnects and silent connections lead to probes, settle requests and
	// cancellations.
	w.After(3*time.Second, func() {
		for _, n := range w.Nodes() {
			n.Backend.ServiceTime = time.Second
		}
		sendRequest(w, Ingress, "slow", "/dues", "", false)
		sendRequest(w, Ingress, "leaves", "/lookup", "", true)
	})
	w.After(3*time.Second+5*time.Millisecond, func() { w.DisconnectCaller("leaves") })
	w.After(6*time.Second, func() { sendRequest(w, Ingress, "lost", "/dues", "", false) })
	w.After(6*time.Second+20*time.Millisecond, func() {
		for _, n := range w.Nodes() {
			w.Silence(Ingress, n.ID)
		}
	})
}
