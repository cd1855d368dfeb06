package faultmatrix

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Times and numbers of the scenario in which two regions, each a set of zones, are partitioned. The near region keeps
// its connection to the store, the far region loses it. Points in time count from the start of the partition.
const (
	partitionLength = 2 * time.Minute
	roundInterval   = 5 * time.Second  // time between rounds of requests
	nearKilledAt    = 40 * time.Second // when an upstream in the near region is killed
	farRestartedAt  = 70 * time.Second // when an upstream in the far region is killed and restarted
	// farKilledAt is when an upstream in the far region is killed. It is shortly before the end of the partition, so
	// that repeats of the requests that it ran arrive after it.
	farKilledAt       = 117 * time.Second
	keysPerDirection  = 4               // keys in each round that are used first in one region and repeated in the other
	convergenceTarget = 7 * time.Second // time in which the regions must agree again after the partition
)

// farRegion has the zones of the region that loses the store along with the other region.
var farRegion = []string{"Selfoss", "Hella"}

// addRegions adds nodes to a world with the three nodes of all scenarios, so that each of the two regions has two zones
// of two nodes.
func addRegions(w *pump.World) {
	w.AddNode("n4", "Horten", "stitchroom")
	for i, zone := range []string{"Selfoss", "Selfoss", "Hella", "Hella"} {
		w.AddNode(reducer.NodeID(fmt.Sprint("n", 5+i)), zone, "stitchroom")
	}
}

var regionsScenario = Scenario{
	Name: "regions lose each other", Begin: partitionRegions, Length: partitionLength + convergenceTarget, WarmUp: keyWarmUp,
	TwoRegions: true, Sampled: true,
}

// partitionRegions cuts the regions off from each other. Meanwhile both get requests, the configuration changes, an
// upstream is killed in each region and one is restarted in the far region.
func partitionRegions(w *pump.World) {
	w.CutZones(farRegion...)
	w.Store.CutOff(farRegion...)
	for at := time.Duration(0); at < partitionLength+convergenceTarget; at += roundInterval {
		w.After(at, func() { sendRound(w, at) })
	}
	w.After(10*time.Second, func() { w.Store.Apply(Routes, NextPools) })
	w.After(nearKilledAt, w.Node("n4").Kill)
	w.After(farKilledAt, w.Node("n6").Kill)
	w.After(50*time.Second, func() { w.Store.Apply(Routes, "") }) // invalid version
	w.After(farRestartedAt, func() {
		w.Node("n8").Kill()
		w.After(restartAfter, w.Node("n8").Start)
	})
	w.After(90*time.Second, func() { w.Store.Apply(Routes, OtherPools) })
	w.After(partitionLength, w.Heal)
}

// repeatAfter is the delay of late repeats. It is shorter than the key retention of the tables, and long enough that
// the late repeats of the last round in the partition arrive after its end.
const repeatAfter = 6 * time.Second

// sendRound sends requests in both regions. Each key is used first in one region and repeated in the other after 30 ms
// and after repeatAfter.
func sendRound(w *pump.World, at time.Duration) {
	sendRequest(w, Ingress, fmt.Sprint("near-", at), "/dues", "", false)
	sendRequest(w, "n7", fmt.Sprint("far-", at), "/dues", "", false)
	for i := range 2 * keysPerDirection {
		nodes := [][2]reducer.NodeID{{Ingress, "n7"}, {"n5", Remote}}[i%2]
		key := fmt.Sprint("key", i, "-", at)
		sendFirstRequest(w, nodes[0], key+"-first", "/dues", key)
		for _, later := range []time.Duration{30 * time.Millisecond, repeatAfter} {
			w.After(later, func() { sendRequest(w, nodes[1], fmt.Sprint(key, "-repeat-", later), "/dues", key, false) })
		}
	}
}
