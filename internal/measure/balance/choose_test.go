package main

import (
	"testing"
	"time"
)

// Guards against a choice that gives up the gain of knowing the speeds: it must serve more calls in time than today's choice
// and round robin, with reports of each age and with both waves.
// It fails with the rule of package balance replaced by the wait alone.
func TestChoiceBySpeedServesMoreInTime(t *testing.T) {
	for _, wave := range []float64{0.15, 0.55} {
		for _, delay := range []time.Duration{50 * time.Millisecond, time.Second} {
			s := tollLedger()
			s.nodes, s.speeds, s.wave, s.reportDelay, s.duration = 90, []float64{0.5, 0.9, 1.3, 1.7}, wave, delay, 25*time.Second
			s.load = 1.05 // the slots asked for by these speeds are those of toll-ledger
			chosen := newWorld(s, variant{samples: 2, speed: true, chosen: true}.choose, 1).run()
			today := newWorld(s, variant{samples: 2}.choose, 1).run()
			turns := newWorld(s, chooseRoundRobin, 1).run()
			t.Logf("wave %.2f, reports %v: chosen %.3f, today %.3f, round robin %.3f, between zones %d and %d", wave, delay, chosen.share(),
				today.share(), turns.share(), chosen.otherZone, today.otherZone)
			if chosen.share() < today.share()+0.02 || chosen.share() < turns.share()+0.02 {
				t.Errorf("wave %.2f, reports %v: %.3f of the calls in time, with today's choice %.3f and in turns %.3f", wave, delay,
					chosen.share(), today.share(), turns.share())
			}
		}
	}
}

// Guards against a choice that serves fewer calls in time where all upstreams are equally fast.
func TestChoiceBySpeedDoesNoHarmAmongEqualUpstreams(t *testing.T) {
	s := equalSpeeds()
	s.load, s.reportDelay, s.duration = 0.8, 100*time.Millisecond, 25*time.Second
	chosen := newWorld(s, variant{samples: 2, speed: true, chosen: true}.choose, 1).run()
	if today := newWorld(s, variant{samples: 2}.choose, 1).run(); chosen.share() < today.share()-0.005 {
		t.Errorf("%.3f of the calls in time, with today's choice %.3f", chosen.share(), today.share())
	}
}
