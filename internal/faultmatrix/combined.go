package faultmatrix

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// combinedScenarios contain a fault of their own, to which the matrix adds others, or a larger world.
func combinedScenarios() []Scenario {
	return []Scenario{
		{Name: "non-idempotent call among six nodes", Act: func(w *pump.World) {
			request(w, Ingress, "r1", "/dues", "", false)
			request(w, Remote, "r2", "/dues", "", false)
		}, Length: 60 * time.Millisecond, Wide: true, Sampled: true},
		{Name: "idempotency key among six nodes", Act: keyAmongSix, Length: 80 * time.Millisecond, Settled: keysSettled, Wide: true, Sampled: true},
		{Name: "idempotency key in a partition", Act: keyInPartition, Length: 4200 * time.Millisecond, Settled: keysSettled, Sampled: true},
		{Name: "operators race", Act: func(w *pump.World) {
			w.Store.Apply(Routes, NextPools)
			w.After(2*time.Millisecond, func() { w.Store.Apply(Routes, OtherPools) })
		}, Length: 2 * time.Second, Sampled: true},
		{Name: "operators write one number twice", Act: oneNumberTwice, Length: 3 * time.Second, Sampled: true},
		{Name: "store is stale after all nodes restart", Act: staleAfterRestart, Length: 3 * time.Second, Sampled: true},
		{Name: "lease lapses while its holder is paused", Act: leaseLapses, Length: 9 * time.Second, Sampled: true},
		{Name: "planned stop with a long call", Act: func(w *pump.World) {
			w.Node(Target).Backend.ServiceTime = 3 * time.Second
			request(w, Ingress, "r1", "/dues", "", false)
			w.After(10*time.Millisecond, w.Node(Target).Stop)
		}, Length: 3200 * time.Millisecond, Sampled: true},
		{Name: "zone stops node by node under load", Act: zoneStops, Length: 4 * time.Second, Wide: true, Sampled: true},
		{Name: "target drains in a flood", Act: func(w *pump.World) {
			floodOf(w, "/urgent", 30)
			request(w, Ingress, "r1", "/dues", "", false)
			w.After(15*time.Millisecond, w.Node(Target).DrainBackend)
			w.After(25*time.Millisecond, func() { floodOf(w, "/bulk", 30) })
		}, Length: 300 * time.Millisecond, Sampled: true},
		{Name: "target leaves in a flood", Act: func(w *pump.World) {
			floodOf(w, "/urgent", 30)
			request(w, Ingress, "r1", "/dues", "", false)
			w.After(15*time.Millisecond, w.Node(Target).DeregisterBackend)
			w.After(25*time.Millisecond, func() { floodOf(w, "/bulk", 30) })
		}, Length: 700 * time.Millisecond, Sampled: true},
		regionsScenario,
	}
}

func keyAmongSix(w *pump.World) {
	first(w, Ingress, "r1", "/dues", "k1")
	for i, at := range []reducer.NodeID{Remote, "n5", "n4"} {
		w.After(time.Duration(30+10*i)*time.Millisecond, func() { request(w, at, fmt.Sprint("r", 2+i), "/dues", "k1", false) })
	}
}

// keyInPartition repeats a key at three nodes during a partition and after its end.
func keyInPartition(w *pump.World) {
	repeat := func(name string) func() {
		return func() {
			for _, at := range []reducer.NodeID{Ingress, Target, Remote} {
				request(w, at, fmt.Sprint(name, at), "/dues", "k1", false)
			}
		}
	}
	first(w, Ingress, "first", "/dues", "k1")
	w.After(5*time.Millisecond, func() { w.CutZone("Horten") })
	w.After(40*time.Millisecond, repeat("early-"))
	w.After(3400*time.Millisecond, repeat("during-"))
	w.After(3500*time.Millisecond, w.Heal)
	w.After(4*time.Second, repeat("after-"))
}

// oneNumberTwice leaves nodes with either content of a version, as section 4.3 has it, until the next
// version replaces both.
func oneNumberTwice(w *pump.World) {
	w.Store.Apply(Routes, NextPools)
	w.After(2*time.Millisecond, func() { w.Store.ApplySame(Routes, OtherPools) })
	w.After(time.Second, func() { w.Store.Apply(Routes, Pools) })
}

func staleAfterRestart(w *pump.World) {
	w.Store.Apply(Routes, NextPools)
	w.After(time.Second, func() {
		w.Store.Stale = true
		for _, n := range w.Nodes() {
			n.Kill()
			w.After(restartAfter, n.Start)
		}
	})
}

func leaseLapses(w *pump.World) {
	holder := w.Store.Reader("Larvik")
	holder.Pause()
	w.Store.LapseLeases()
	w.After(time.Second, func() { w.Store.Apply(Routes, NextPools) })
	w.After(resumeAfter, holder.Resume)
	w.After(resumeAfter+time.Millisecond, func() { w.Store.Apply(Routes, OtherPools) })
}

func zoneStops(w *pump.World) {
	const calls = 40
	for i := range calls {
		at := []reducer.NodeID{Remote, "n5", "n6"}[i%3]
		w.After(time.Duration(i)*25*time.Millisecond, func() { request(w, at, fmt.Sprint("r", i), "/dues", "", false) })
	}
	for i, id := range []reducer.NodeID{Ingress, Target, "n4"} {
		w.After(time.Duration(100+300*i)*time.Millisecond, w.Node(id).Stop)
	}
}
