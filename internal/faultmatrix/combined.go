package faultmatrix

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// combinedScenarios returns the scenarios that contain a fault of their own or have more than three nodes.
func combinedScenarios() []Scenario {
	return []Scenario{
		{Name: "non-idempotent call among six nodes", Begin: func(w *pump.World) {
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			sendRequest(w, Remote, "r2", "/dues", "", false)
		}, Length: 60 * time.Millisecond, SixNodes: true, Sampled: true},
		{Name: "idempotency key among six nodes", Begin: repeatKeyAmongSixNodes, Length: 80 * time.Millisecond, WarmUp: keyWarmUp, SixNodes: true, Sampled: true},
		{Name: "idempotency key in a partition", Begin: repeatKeyInPartition, Length: 4200 * time.Millisecond, WarmUp: keyWarmUp, Sampled: true},
		{Name: "operators race", Begin: func(w *pump.World) {
			w.Store.Apply(Routes, NextPools)
			w.After(2*time.Millisecond, func() { w.Store.Apply(Routes, OtherPools) })
		}, Length: 2 * time.Second, Sampled: true},
		{Name: "operators write one number twice", Begin: writeNumberTwice, Length: 3 * time.Second, Sampled: true},
		{Name: "store is stale after all nodes restart", Begin: restartWithStaleStore, Length: 3 * time.Second, Sampled: true},
		{Name: "lease lapses while its holder is paused", Begin: expireLeaseOfPausedNode, Length: 9 * time.Second, Sampled: true},
		{Name: "planned stop with a long call", Begin: func(w *pump.World) {
			w.Node(Target).Backend.ServiceTime = 3 * time.Second
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			w.After(10*time.Millisecond, w.Node(Target).Stop)
		}, Length: 3200 * time.Millisecond, Sampled: true},
		{Name: "planned stop, requests on open connections", Begin: stopUnderOpenConnections, Length: 6500 * time.Millisecond, Sampled: true},
		{Name: "zone stops node by node under load", Begin: stopZoneUnderLoad, Length: 4 * time.Second, SixNodes: true, Sampled: true},
		{Name: "target drains in a flood", Begin: func(w *pump.World) {
			sendFlood(w, "/urgent", 30)
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			w.After(15*time.Millisecond, w.Node(Target).DrainBackend)
			w.After(25*time.Millisecond, func() { sendFlood(w, "/bulk", 30) })
		}, Length: 300 * time.Millisecond, Sampled: true},
		{Name: "target leaves in a flood", Begin: func(w *pump.World) {
			sendFlood(w, "/urgent", 30)
			sendRequest(w, Ingress, "r1", "/dues", "", false)
			w.After(15*time.Millisecond, w.Node(Target).DeregisterBackend)
			w.After(25*time.Millisecond, func() { sendFlood(w, "/bulk", 30) })
		}, Length: 700 * time.Millisecond, Sampled: true},
		{Name: "backend server leaves twice under one name", Begin: leaveTwice, Length: 9 * time.Second, Sampled: true},
		{Name: "backend server leaves while the store is down", Begin: leaveInOutage, Length: 8 * time.Second, Sampled: true},
		{Name: "backend server leaves, two registrations are late", Begin: leaveBeforeTwoLateRegistrations, Length: 8 * time.Second, Sampled: true},
		{Name: "leases lapse after a backend server has left", Begin: leaveBeforeLeasesLapse, Length: 8 * time.Second, Sampled: true},
		{Name: "backend server leaves before the store is restored", Begin: leaveBeforeRestore, Length: 9 * time.Second, Sampled: true},
		regionsScenario,
	}
}

// leaveBeforeLeasesLapse lets a backend server leave. Then the store is down and all leases end, the process of its node is killed, and a
// registration from before the leave arrives.
func leaveBeforeLeasesLapse(w *pump.World) {
	target := w.Node(Target)
	target.DelayRegistration(2300 * time.Millisecond)
	target.DeregisterBackend()
	w.After(200*time.Millisecond, func() {
		w.Store.Down = true
		w.Store.ExpireLeases()
	})
	w.After(1200*time.Millisecond, w.Store.Heal)
	w.After(1400*time.Millisecond, target.RestartProcess)
	sendAfterLeave(w, 4*time.Second)
}

// leaveBeforeRestore lets a backend server leave. Then the store is restored from a copy that lacks the leave, the process of its node
// is killed, and a registration from before the leave arrives.
func leaveBeforeRestore(w *pump.World) {
	target, older := w.Node(Target), w.Store.Copy()
	target.DelayRegistration(4 * time.Second)
	w.After(time.Second, target.DeregisterBackend)
	w.After(1500*time.Millisecond, func() { w.Store.FailAndRestore(older) })
	w.After(2300*time.Millisecond, target.RestartProcess)
	sendAfterLeave(w, 5*time.Second)
}

// leaveBeforeTwoLateRegistrations lets a backend server leave. Then the process of its node is killed, and two registrations from before the
// leave arrive, one right after the other.
func leaveBeforeTwoLateRegistrations(w *pump.World) {
	target := w.Node(Target)
	target.DelayRegistration(1500 * time.Millisecond)
	target.DelayRegistration(1501 * time.Millisecond)
	w.After(10*time.Millisecond, target.DeregisterBackend)
	w.After(800*time.Millisecond, target.RestartProcess)
	sendAfterLeave(w, 4*time.Second)
}

// leaveInOutage lets a backend server leave while the store is down. Then the process of its node is killed, the store comes back, and a
// registration from before the leave arrives.
func leaveInOutage(w *pump.World) {
	target := w.Node(Target)
	target.DelayRegistration(2700 * time.Millisecond)
	w.Store.Down = true
	w.After(200*time.Millisecond, target.DeregisterBackend)
	w.After(800*time.Millisecond, target.RestartProcess)
	w.After(1900*time.Millisecond, w.Store.Heal)
	sendAfterLeave(w, 4*time.Second)
}

// sendAfterLeave sends requests for 3 s, which no backend server may get that left 3 s before them.
func sendAfterLeave(w *pump.World, from time.Duration) {
	for i := range 30 {
		w.After(from+time.Duration(100*i)*time.Millisecond, func() { sendRequest(w, Ingress, fmt.Sprint("r", i), "/dues", "", false) })
	}
}

// leaveTwice lets a backend server leave, start again under its instance and leave again. Then the process of its node is
// killed, and a registration from before the second leave arrives.
func leaveTwice(w *pump.World) {
	target := w.Node(Target)
	target.DeregisterBackend()
	w.After(time.Second, target.RestartBackend)
	w.After(3*time.Second, func() {
		target.DelayRegistration(2500 * time.Millisecond)
		target.DeregisterBackend()
	})
	w.After(4*time.Second, target.RestartProcess)
	sendAfterLeave(w, 5500*time.Millisecond)
}

// stopUnderOpenConnections stops a node whose callers go on using their connections, with requests that take long.
func stopUnderOpenConnections(w *pump.World) {
	for _, n := range w.Nodes() {
		n.Backend.ServiceTime = 2500 * time.Millisecond
	}
	sendRequest(w, Ingress, "r0", "/report", "", false)
	w.After(10*time.Millisecond, w.Node(Ingress).Stop)
	for i := range 14 {
		w.After(time.Duration(i+1)*400*time.Millisecond, func() { sendOnOpenConnection(w, Ingress, fmt.Sprint("late", i), "/report") })
	}
}

// repeatKeyAmongSixNodes sends a key at four of six nodes within 50 ms.
func repeatKeyAmongSixNodes(w *pump.World) {
	sendFirstRequest(w, Ingress, "r1", "/dues", "k1")
	for i, node := range []reducer.NodeID{Remote, "n5", "n4"} {
		w.After(time.Duration(30+10*i)*time.Millisecond, func() { sendRequest(w, node, fmt.Sprint("r", 2+i), "/dues", "k1", false) })
	}
}

// repeatKeyInPartition repeats a key at three nodes during a partition and after its end.
func repeatKeyInPartition(w *pump.World) {
	repeat := func(name string) func() {
		return func() {
			for _, node := range []reducer.NodeID{Ingress, Target, Remote} {
				sendRequest(w, node, fmt.Sprint(name, node), "/dues", "k1", false)
			}
		}
	}
	sendFirstRequest(w, Ingress, "first", "/dues", "k1")
	w.After(5*time.Millisecond, func() { w.CutZone("Horten") })
	w.After(40*time.Millisecond, repeat("early-"))
	w.After(3400*time.Millisecond, repeat("during-"))
	w.After(3500*time.Millisecond, w.Heal)
	w.After(4*time.Second, repeat("after-"))
}

// writeNumberTwice writes two contents under the same version number, so that nodes differ in the content
// (docs/design.md, section 4.3) until the next version replaces both.
func writeNumberTwice(w *pump.World) {
	w.Store.Apply(Routes, NextPools)
	w.After(2*time.Millisecond, func() { w.Store.ApplySameNumber(Routes, OtherPools) })
	w.After(time.Second, func() { w.Store.Apply(Routes, Pools) })
}

func restartWithStaleStore(w *pump.World) {
	w.Store.Apply(Routes, NextPools)
	w.After(time.Second, func() {
		w.Store.Stale = true
		for _, n := range w.Nodes() {
			n.Kill()
			w.After(restartAfter, n.Start)
		}
	})
}

// expireLeaseOfPausedNode pauses a reader of the store, expires its lease and writes a version before and one after it
// resumes.
func expireLeaseOfPausedNode(w *pump.World) {
	holder := w.Store.FirstReader("Larvik")
	holder.Pause()
	w.Store.ExpireLeases()
	w.After(time.Second, func() { w.Store.Apply(Routes, NextPools) })
	w.After(resumeAfter, holder.Resume)
	w.After(resumeAfter+time.Millisecond, func() { w.Store.Apply(Routes, OtherPools) })
}

// stopZoneUnderLoad stops the nodes of one zone one after another while the other zone sends requests.
func stopZoneUnderLoad(w *pump.World) {
	const calls = 40
	for i := range calls {
		node := []reducer.NodeID{Remote, "n5", "n6"}[i%3]
		w.After(time.Duration(i)*25*time.Millisecond, func() { sendRequest(w, node, fmt.Sprint("r", i), "/dues", "", false) })
	}
	for i, id := range []reducer.NodeID{Ingress, Target, "n4"} {
		w.After(time.Duration(100+300*i)*time.Millisecond, w.Node(id).Stop)
	}
}
