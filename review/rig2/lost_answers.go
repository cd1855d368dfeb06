package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds and the load of stitchroom in hml-mesh, and the dose of answer_lost in its site file.
const (
	recoveryTime = 15 * time.Second
	lostShare    = 0.6 // of the upstreams at a time
	lostPart     = 0.3 // of their answers
	wave         = time.Second
	waves        = 6 // in a spell, which is as long as the longest in the site file
	spells       = 2
	pause        = time.Second // after a spell
)

const postRoute = `{"name":"r-2","prefix":"/pufi791/","kind":"non_idempotent","timeout-ms":1000,"target-latency-ms":800,"priority":2,"service":"counter-desk","max-attempts":2}`

// lostAnswers: all processes are killed and start again; then, in two spells of 6 s, six in ten upstreams at a time lose three
// in ten of their answers. The rule is RECOVER.
func lostAnswers(r *rig) (bool, error) {
	r.site = hmlMesh
	r.store.operatorPut("op/config", configText(7, routeText("r-1", "/lohu930/", "counter-desk")+","+postRoute))
	losing := make([]atomic.Bool, 10)
	for i := range losing {
		if err := r.addNode(fmt.Sprintf("sidecar-selfoss-%d", i+1), "selfoss", "counter-desk", 100*time.Millisecond); err != nil {
			return false, err
		}
		r.upstreams[i].loses = func() bool { return losing[i].Load() && rand.Float64() < lostPart }
	}
	r.report()
	if err := awaitReady(r.nodes, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c, stop := newClient(r.record, host), make(chan struct{})
	var loads sync.WaitGroup
	loads.Go(func() {
		c.load(r.nodes, http.MethodGet, "/lohu930/2f", 6*time.Millisecond, 800*time.Millisecond, stop)
	})
	loads.Go(func() { c.load(r.nodes, http.MethodPost, "/pufi791/2f", 10*time.Millisecond, time.Second, stop) })
	began := time.Now()
	time.Sleep(5 * time.Second)
	fault := time.Now()
	for _, n := range r.nodes {
		n.kill()
	}
	r.record.line("all processes are killed")
	time.Sleep(800 * time.Millisecond)
	for _, n := range r.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	if err := awaitReady(r.nodes, 20*time.Second); err != nil {
		return false, err
	}
	back := time.Now()
	r.record.line("all processes are ready again")
	for range spells {
		for range waves {
			loseAt(r, losing)
			time.Sleep(wave)
		}
		for i := range losing {
			losing[i].Store(false)
		}
		r.record.line("no answer is lost")
		time.Sleep(pause)
	}
	time.Sleep(time.Until(back.Add(recoveryTime + 3*time.Second)))
	close(stop)
	loads.Wait()
	before, servedBefore := count(c.answers(), began, fault)
	after, servedAfter := count(c.answers(), back.Add(recoveryTime), time.Now())
	r.record.line("before the fault %d of %d requests were served; later than %.0f s after the machines were back %d of %d", servedBefore, before, recoveryTime.Seconds(), servedAfter, after)
	if 4*servedBefore < before {
		return false, fmt.Errorf("less than a quarter was served before the fault")
	}
	return 4*servedAfter < after, nil
}

// loseAt chooses the upstreams that lose answers from now on.
func loseAt(r *rig, losing []atomic.Bool) {
	chosen := rand.Perm(len(losing))[:int(lostShare*float64(len(losing)))]
	for i := range losing {
		losing[i].Store(false)
	}
	if !r.trouble {
		return
	}
	for _, i := range chosen {
		losing[i].Store(true)
	}
	r.record.line("of sidecar-selfoss-1 to -10, the upstreams %v (from 0) lose %.0f in 100 of their answers", chosen, 100*lostPart)
}

// count returns the number of requests that were sent in a span, and of those that were served.
func count(answers []sent, from, to time.Time) (all, served int) {
	for _, s := range answers {
		if s.at.Before(from) || s.at.After(to) {
			continue
		}
		all++
		if s.status == http.StatusOK {
			served++
		}
	}
	return all, served
}
