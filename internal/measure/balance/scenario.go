package main

import "time"

// tollLedger is the service toll-ledger of the deployment of 86 nodes that docs/design/load-balancing.md describes.
func tollLedger() scenario {
	return scenario{
		nodes: 86, zones: 4, upstreams: 40, slots: 13, speeds: []float64{0.6, 1.0, 1.4}, wave: 0.55, load: 1, slowShare: 0.15,
		routes: []route{
			{"tariff", 1230, 57 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 0},
			{"invoice-settle", 362, 260 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 1},
			{"statement-fetch", 431, 480 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 2},
		},
		duration: 56 * time.Second, warmUp: 5 * time.Second,
	}
}

// equalSpeeds is the same service with upstreams of one speed, at which the choice by speed can gain nothing.
func equalSpeeds() scenario {
	s := tollLedger()
	s.speeds, s.slowShare = []float64{1}, 0
	return s
}

// largeSite has the size and the speeds of the largest deployment: 294 nodes in 6 zones, 222 upstreams with 5 slots.
func largeSite() scenario {
	s := tollLedger()
	s.nodes, s.zones, s.upstreams, s.slots, s.speeds, s.wave, s.slowShare = 294, 6, 222, 5, []float64{0.7, 1.0, 1.6}, 0.15, 0
	for i := range s.routes {
		s.routes[i].rate *= 2.2 // as many slots are asked for as at toll-ledger
	}
	return s
}
