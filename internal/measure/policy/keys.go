package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const (
	keysSettleTime = time.Minute // before the node is killed; the owners of keys then accept first requests
	keysDuration   = 15 * time.Second
	keysInterval   = 10 * time.Millisecond // between two first requests
	keysZones      = 4
)

const keyRoutes = "[route book]\npath = /book\npool = main\ntimeout = 2s\n"

// reportKeys prints how many first requests with a key have an unknown outcome after the death of an upstream.
func reportKeys(seed uint64) {
	fmt.Println("unknown first requests with keys, one every 10 ms, by the time since the death of one upstream")
	for _, upstreams := range []int{4, 8, 28} {
		unknown, last := runOwnerLoss(upstreams, seed)
		fmt.Printf("%2d upstreams: %d unknown", upstreams, len(unknown))
		for second := range int(last/time.Second) + 1 {
			n := 0
			for _, at := range unknown {
				if int(at/time.Second) == second {
					n++
				}
			}
			fmt.Printf(", second %d: %d", second+1, n)
		}
		fmt.Printf(", last after %.1f s\n", last.Seconds())
	}
}

// runOwnerLoss kills a node and sends first requests with keys. For those with an unknown outcome it returns the
// times at which they were sent, counted from the death, and the latest of these.
func runOwnerLoss(upstreams int, seed uint64) (unknown []time.Duration, last time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := pump.New(seed)
	w.Store.Apply(keyRoutes, "[pool main]\nservice = "+service+"\nramp = 0s\n")
	for i := range upstreams {
		w.AddNode(reducer.NodeID(fmt.Sprintf("node-%02d", i)), fmt.Sprintf("zone-%d", i%keysZones), service)
	}
	w.Run(keysSettleTime)
	w.Node("node-01").Kill()
	sent := map[string]time.Duration{}
	for at := time.Duration(0); at < keysDuration; at += keysInterval {
		w.Run(keysSettleTime + at)
		id := fmt.Sprint("call-", at)
		sent[id] = at
		entry := 2 + rng.IntN(upstreams-2)
		w.Request(w.Node(reducer.NodeID(fmt.Sprintf("node-%02d", entry))), invariant.Request{ID: id, Key: id},
			reducer.CallArrived{Host: "callers", Method: "POST", Path: "/book", FirstAttempt: true})
	}
	w.Run(w.Now + keysDuration)
	for _, answer := range w.History.Answers {
		if answer.Outcome == reducer.OutcomeUnknown {
			unknown = append(unknown, sent[answer.Request.ID])
			last = max(last, sent[answer.Request.ID])
		}
	}
	return unknown, last
}
