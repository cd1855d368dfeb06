package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// lateRequest: a node is stopped once. Its zone has no other node, so that its clients go on using the connections that
// they have open.
func lateRequest() (*run, bool, []string, error) {
	const budget = 4 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service := "huvo11a"
	cfg := config("00000007", []string{service}, route("r-1", "/pufi791/", "non_idempotent", service, 4000, 3500, 1))
	r, err := begin(ctx, []string{service, service, service}, []string{"larvik", "tonsberg", "horten"}, 284, 6, cfg, func(*http.Request) time.Duration {
		return time.Duration(300+rand.IntN(2700)) * time.Millisecond
	})
	if err != nil {
		return r, false, nil, err
	}
	r.alwaysIn = true
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		clients := 1
		if n == r.nodes[0] {
			clients = 30
		}
		for range clients {
			wg.Go(func() {
				c := &client{r: r, node: n}
				defer c.close()
				for ctx.Err() == nil {
					if a := c.do(http.MethodPost, host, "/pufi791/2f", "amount=5", budget); a.end == "no connection" {
						sleep(ctx, 200*time.Millisecond)
					}
					sleep(ctx, time.Duration(rand.Int64N(int64(11*time.Second)))) // less than four fifths of idle-timeout-ms
				}
			})
		}
	}
	type stop struct{ at, killed time.Time }
	var stops []stop
	n := r.nodes[0]
	for range 4 {
		sleep(ctx, 15*time.Second)
		if !r.trouble {
			continue
		}
		s := stop{at: time.Now()}
		n.signal(r, syscall.SIGTERM)
		select {
		case <-n.exited:
			r.note("process of %s has ended by itself", n.name)
		case <-time.After(grace):
			s.killed = time.Now()
			n.signal(r, syscall.SIGKILL)
			<-n.exited
		}
		stops = append(stops, s)
		sleep(ctx, 300*time.Millisecond)
		if err := n.start(r); err != nil {
			return r, false, nil, err
		}
	}
	sleep(ctx, 3*time.Second)
	cancel()
	wg.Wait()
	ran := map[string]arrival{}
	for _, u := range r.ups {
		for _, a := range u.all() {
			ran[a.id] = a
		}
	}
	var lost []string
	excused := 0
	for _, a := range r.sent() {
		closed := a.end == "the connection was closed without an answer"
		replaced := a.status >= 500 && a.seal == ""
		got, passed := ran[a.id]
		if a.node != n.name || !a.written || !passed || !closed && !replaced || got.at.After(a.endedAt) || a.endedAt.Sub(a.sentAt) > budget*9/10 {
			continue
		}
		for _, s := range stops {
			if a.endedAt.Before(s.at) || a.endedAt.After(s.at.Add(grace+time.Second)) {
				continue
			}
			if !a.sentAt.After(s.at.Add(3*time.Second)) && !a.endedAt.Before(s.at.Add(grace*5/6)) {
				excused++
				continue
			}
			what := fmt.Sprint("answered ", a.status)
			if closed {
				what = "closed without an answer"
			}
			lost = append(lost, fmt.Sprintf("LOST: %s was sent to %s at %.3f, %.3f s after SIGTERM, reached upstream %s at %.3f, and was %s at %.3f", a.id, a.node, r.at(a.sentAt), a.sentAt.Sub(s.at).Seconds(), got.instance, r.at(got.at), what, r.at(a.endedAt)))
		}
	}
	verdict := append(lost, fmt.Sprintf("%d requests lost around %d planned stops; the rule allows none (%d more are excused: sent no later than 3 s after SIGTERM, and at work in the last sixth of grace-s)", len(lost), len(stops), excused))
	return r, len(lost) > 0, verdict, nil
}
