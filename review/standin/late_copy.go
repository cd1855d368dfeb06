package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// clientsStart is the time that the nodes have until the clients come.
const clientsStart = 8 * time.Second

// lateCopy: upstreams send a second copy of a few of their answers, refusals among them, late.
func lateCopy() (*run, bool, []string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service := "huvo11a"
	cfg := config("00000007", []string{service}, route("r-1", "/pufi791/", "non_idempotent", service, 1000, 800, 1))
	zones := []string{"larvik", "larvik", "horten", "horten"}
	r, err := newRun([]string{service, service, service, service}, zones, 284)
	if err != nil {
		return r, false, nil, err
	}
	current = r
	r.store.putConfig(cfg)
	if err := r.startAll(); err != nil {
		return r, false, nil, err
	}
	// From the start of the clients on, every 12 s: refusals for 6.5 s and, from 0.5 s on, second copies for 5 s.
	from := time.Now().Add(clientsStart)
	refusals := spells{start: from, length: 6500 * time.Millisecond, gap: 5500 * time.Millisecond}
	copies := spells{start: from, first: 500 * time.Millisecond, length: 5 * time.Second, gap: 7 * time.Second}
	share := func(of float64, when spells) func() float64 {
		return func() float64 {
			if when.on() {
				return of
			}
			return 0
		}
	}
	for i, n := range r.nodes {
		u := &upstream{r: r, node: n, id: fmt.Sprintf("i-%d%08x", i+1, rand.Uint32()), born: time.Now().UnixMilli(), slots: 6,
			address: n.ip + ":8145", state: "ready", sem: make(chan struct{}, 6), work: constant(80 * time.Millisecond), server: &http.Server{}}
		listener, err := net.Listen("tcp", u.address)
		if err != nil {
			return r, false, nil, err
		}
		extra := 0.0
		if r.trouble && i < 2 { // share 0.5 of the upstreams
			extra = 0.03
		}
		go u.serveRaw(listener, share(0.45, refusals), share(extra, copies))
		beats, stop := context.WithCancel(context.Background())
		u.stopBeat = stop
		go u.beatForever(beats)
		r.ups = append(r.ups, u)
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return r, false, nil, err
	}
	for _, n := range r.nodes {
		go r.askReady(ctx, n)
	}
	sleep(ctx, time.Until(from))
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		r.load(ctx, &wg, n, 10, 150*time.Millisecond, func() (string, string, string, string, time.Duration) {
			return http.MethodPost, host, "/pufi791/2f", "amount=5", time.Second
		})
	}
	sleep(ctx, 60*time.Second)
	cancel()
	wg.Wait()
	time.Sleep(200 * time.Millisecond)
	runs := map[string][]arrival{}
	for _, u := range r.ups {
		for _, a := range u.all() {
			runs[a.id] = append(runs[a.id], a)
		}
	}
	var twice, refused []string
	for _, a := range r.sent() {
		ran := runs[a.id]
		if len(ran) > 1 {
			twice = append(twice, fmt.Sprintf("TWICE: %s, sent to %s at %.3f, ran at %s at %.3f and at %s at %.3f", a.id, a.node, r.at(a.sentAt), ran[0].instance, r.at(ran[0].at), ran[1].instance, r.at(ran[1].at)))
		}
		if len(ran) > 0 && a.status == http.StatusServiceUnavailable {
			refused = append(refused, fmt.Sprintf("REFUSED: %s, sent to %s at %.3f, was answered 503 at %.3f and ran at %s at %.3f", a.id, a.node, r.at(a.sentAt), r.at(a.endedAt), ran[0].instance, r.at(ran[0].at)))
		}
	}
	verdict := append(summary(twice, 5), summary(refused, 5)...)
	verdict = append(verdict, fmt.Sprintf("%d requests that are not idempotent ran twice, %d were answered 503 and ran; the rules allow none", len(twice), len(refused)))
	return r, len(refused) > 0, verdict, nil
}
