package main

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of ljosaskodun-hq: how long a new version may take, and by how much more while the store is disturbed.
const (
	configApply = 2 * time.Second
	skewMax     = 5 * time.Second
)

const (
	// turnedAwayFor and turnedAwayShare are the largest dose of "platform_down, how nodes" in the site files.
	turnedAwayFor   = 9 * time.Second
	turnedAwayShare = 0.35
)

// turnedAway: the store turns away the machines that watch it, a third of all, and serves the others; the operator moves a
// route to another service. The rule is CONFIG.
func turnedAway(r *rig) (bool, error) {
	r.store.operatorPut("op/config", configText(7, routeText("r-1", "/lohu930/", "counter-desk")))
	for _, zone := range []string{"selfoss", "hveragerdi", "hella", "vik"} {
		for i := 1; i <= 6; i++ {
			service := "counter-desk"
			if i%3 == 0 {
				service = "approval-office"
			}
			if err := r.addNode(fmt.Sprintf("sidecar-%s-%d", zone, i), zone, service, 20*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	r.report()
	if err := awaitReady(r.nodes, 20*time.Second); err != nil {
		return false, err
	}
	// The nodes find each other and agree on who reads the store. The watches that the others began at the start end.
	time.Sleep(30 * time.Second)
	away, served := r.machinesThatWatch()
	r.record.line("%d of %d machines watch the store", len(away), len(r.nodes))
	if float64(len(away)) > turnedAwayShare*float64(len(r.nodes)) || len(away) == 0 {
		return false, fmt.Errorf("%d of %d machines watch the store, which is no share of at most %.2f", len(away), len(r.nodes), turnedAwayShare)
	}
	began := time.Now()
	if r.trouble {
		for _, n := range away {
			n.door.shut(true)
			r.record.line("the store turns %s away (503)", n.name)
		}
	}
	time.Sleep(500 * time.Millisecond)
	r.store.operatorPut("op/config", configText(8, routeText("r-1", "/lohu930/", "approval-office")))
	confirmed := time.Now()
	r.record.line("the store confirms version 00000008, which moves /lohu930/ from counter-desk to approval-office")
	c, stop, ended := newClient(r.record, host), make(chan struct{}), make(chan struct{})
	go func() {
		c.load(served, http.MethodGet, "/lohu930/2f", 50*time.Millisecond, 800*time.Millisecond, stop)
		close(ended)
	}()
	time.Sleep(time.Until(began.Add(turnedAwayFor - 200*time.Millisecond)))
	close(stop)
	<-ended
	for _, n := range away {
		n.door.shut(false)
	}
	r.record.line("the store serves all again, %.2f s after it began to turn some away", time.Since(began).Seconds())
	for _, n := range served {
		r.record.line("%s, which the store serves, made %d calls to it", n.name, n.door.takeCalls())
	}
	return r.countOld(c, confirmed.Add(configApply+skewMax)) > 0, nil
}

// machinesThatWatch divides the machines into those that have a watch open at the store now and the others.
func (r *rig) machinesThatWatch() (watching, others []*node) {
	for _, n := range r.nodes {
		_ = n.door.takeCalls() // those of the start do not count
		if n.door.isWatching() {
			watching = append(watching, n)
		} else {
			others = append(others, n)
		}
	}
	return watching, others
}

// countOld counts the requests that were sent after a time and run by an upstream of counter-desk.
func (r *rig) countOld(c *client, from time.Time) int {
	service := map[string]string{}
	for _, u := range r.upstreams {
		service[u.id] = u.service
	}
	old, all := 0, 0
	for _, s := range c.answers() {
		if s.at.Before(from) {
			continue
		}
		all++
		if service[s.upstream] == "counter-desk" {
			if old++; old <= 5 {
				r.record.line("%s, sent to %s at %.3f s, was run by %s of counter-desk", s.id, s.node, r.record.at(s.at), s.upstream)
			}
		}
	}
	r.record.line("of %d requests that were sent later than %.3f s to machines that the store serves, %d were handled as only the older version allows", all, r.record.at(from), old)
	return old
}
