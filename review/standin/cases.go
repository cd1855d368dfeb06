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

// Bounds of the users' pages (the sheets of SYSTEM.md).
const (
	stableWindow = 3000 * time.Millisecond
	drain        = 2000 * time.Millisecond
	grace        = 6 * time.Second
)

// begin starts the store, the nodes and an upstream beside each, and waits until requests are served everywhere.
func begin(ctx context.Context, services, zones []string, memoryMB, slots int, cfg map[string]any, work func(*http.Request) time.Duration) (*run, error) {
	r, err := newRun(services, zones, memoryMB)
	if err != nil {
		return nil, err
	}
	current = r
	r.store.putConfig(cfg)
	if err := r.startAll(); err != nil {
		return r, err
	}
	for i, n := range r.nodes {
		u, err := startUpstream(r, n, fmt.Sprintf("i-%d%08x", i+1, rand.Uint32()), slots, work)
		if err != nil {
			return r, err
		}
		r.ups = append(r.ups, u)
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return r, err
	}
	for _, n := range r.nodes {
		go r.askReady(ctx, n)
	}
	sleep(ctx, stableWindow+time.Second)
	return r, nil
}

func constant(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

// stopTwice: a node that is stopped gets a second SIGTERM one second after the first.
func stopTwice() (*run, bool, []string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service := "huvo11a"
	cfg := config("00000007", []string{service}, route("r-1", "/pufi791/", "non_idempotent", service, 1000, 800, 1))
	r, err := begin(ctx, []string{service, service, service, service}, []string{"larvik", "larvik", "horten", "horten"}, 284, 6, cfg, constant(300*time.Millisecond))
	if err != nil {
		return r, false, nil, err
	}
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		r.load(ctx, &wg, n, 6, 300*time.Millisecond, func() (string, string, string, string, time.Duration) {
			return http.MethodPost, host, "/pufi791/2f", "amount=5", time.Second
		})
	}
	sleep(ctx, 5*time.Second)
	type stop struct {
		n  *node
		at time.Time
	}
	var stops []stop
	for _, n := range r.nodes[:3] { // one after the other, each back in touch before the next
		stops = append(stops, stop{n, time.Now()})
		n.signal(r, syscall.SIGTERM)
		if r.trouble {
			sleep(ctx, time.Second)
			n.signal(r, syscall.SIGTERM)
		}
		select {
		case <-n.exited:
			r.note("process of %s has ended", n.name)
		case <-time.After(grace):
			n.signal(r, syscall.SIGKILL)
			<-n.exited
		}
		sleep(ctx, 300*time.Millisecond)
		if err := n.start(r); err != nil {
			return r, false, nil, err
		}
		sleep(ctx, 8*time.Second)
	}
	cancel()
	wg.Wait()
	ran := map[string]arrival{}
	for _, u := range r.ups {
		for _, a := range u.all() {
			ran[a.id] = a
		}
	}
	var verdict []string
	lost := 0
	for _, a := range r.sent() {
		closed := a.end == "the connection was closed without an answer"
		replaced := a.status >= 500 && a.seal == ""
		got, passed := ran[a.id]
		if !a.written || !passed || !closed && !replaced || a.endedAt.Sub(a.sentAt) > 900*time.Millisecond {
			continue
		}
		if got.at.After(a.endedAt) || got.ended.Before(a.endedAt) {
			continue // the upstream was not at work on it as the client's request ended
		}
		for _, s := range stops {
			if a.node != s.n.name || a.endedAt.Before(s.at) || a.endedAt.After(s.at.Add(grace+time.Second)) {
				continue
			}
			lost++
			what := "the node answered it " + fmt.Sprint(a.status) + " of its own"
			if closed {
				what = "its connection was closed without an answer"
			}
			verdict = append(verdict, fmt.Sprintf("LOST: %s was sent to %s at %.3f and reached upstream %s at %.3f; at %.3f %s; the upstream worked on it until %.3f and answered %d; the first SIGTERM was at %.3f",
				a.id, a.node, r.at(a.sentAt), got.instance, r.at(got.at), r.at(a.endedAt), what, r.at(got.ended), got.status, r.at(s.at)))
		}
	}
	verdict = append(verdict, fmt.Sprintf("%d requests lost around planned stops of %d nodes; the rule allows none", lost, len(stops)))
	return r, lost > 0, verdict, nil
}

// arrivedAfterLeave lists the requests that reached an upstream later than drain after the confirmation that it leaves,
// taken and sent on by machines in touch.
func arrivedAfterLeave(r *run, u *upstream, confirmed time.Time, inTouch func(*node, time.Time) bool) []string {
	byID := map[string]attempt{}
	for _, a := range r.sent() {
		byID[a.id] = a
	}
	nodes := map[string]*node{}
	for _, n := range r.nodes {
		nodes[n.name] = n
	}
	var late []string
	for _, a := range u.all() {
		sent := byID[a.id]
		if a.at.After(confirmed.Add(drain)) && nodes[sent.node] != nil && inTouch(nodes[sent.node], a.at) && inTouch(u.node, a.at) {
			late = append(late, fmt.Sprintf("DRAIN: %s, sent to %s at %.3f, reached upstream %s at %.3f, %.3f s after the confirmation at %.3f", a.id, sent.node, r.at(sent.sentAt), u.id, r.at(a.at), a.at.Sub(confirmed).Seconds(), r.at(confirmed)))
		}
	}
	return late
}

// brokenOff lists the requests that ran at an upstream as it exited, and had no success.
func brokenOff(r *run, u *upstream, exit time.Time) int {
	ended := map[string]attempt{}
	for _, a := range r.sent() {
		ended[a.id] = a
	}
	n := 0
	for _, a := range u.all() {
		if a.status == 0 && !a.at.After(exit) && ended[a.id].status != 200 {
			n++
		}
	}
	return n
}

// secondLeave: an upstream that has started again under its id leaves, its node is stopped and started again, and a status
// report of before arrives late.
func secondLeave() (*run, bool, []string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service := "huvo11a"
	cfg := config("00000007", []string{service}, route("r-1", "/pufi791/", "non_idempotent", service, 1000, 800, 1))
	r, err := begin(ctx, []string{service, service, service}, []string{"larvik", "tonsberg", "horten"}, 284, 6, cfg, constant(100*time.Millisecond))
	if err != nil {
		return r, false, nil, err
	}
	var wg sync.WaitGroup
	for _, n := range r.nodes {
		r.load(ctx, &wg, n, 6, 200*time.Millisecond, func() (string, string, string, string, time.Duration) {
			return http.MethodPost, host, "/pufi791/2f", "amount=5", time.Second
		})
	}
	sleep(ctx, 2*time.Second)
	n, first := r.nodes[0], r.ups[0]
	first.stopBeat()
	if !first.leave() {
		return r, false, nil, fmt.Errorf("the first leave was not confirmed")
	}
	r.note("upstream %s says that it leaves, which is confirmed", first.id)
	sleep(ctx, 3*time.Second)
	first.exit()
	sleep(ctx, time.Second)
	u, err := startUpstream(r, n, first.id, 6, constant(100*time.Millisecond))
	if err != nil {
		return r, false, nil, err
	}
	r.ups = append(r.ups, u)
	r.note("it has exited, and starts again under its id")
	sleep(ctx, 6*time.Second)
	u.stopBeat()
	delayed := u.report() // sent now, and arrives late
	r.note("%d requests have reached it; it sends a status report with sequence %v, which is delayed, and then says that it leaves", len(u.all()), delayed["sequence"])
	if !u.leave() {
		return r, false, nil, fmt.Errorf("the second leave was not confirmed")
	}
	confirmed := time.Now()
	r.note("the leave is confirmed")
	sleep(ctx, 500*time.Millisecond)
	if r.trouble {
		n.signal(r, syscall.SIGTERM)
		select {
		case <-n.exited:
		case <-time.After(grace):
			n.signal(r, syscall.SIGKILL)
			<-n.exited
		}
		sleep(ctx, 300*time.Millisecond)
		if err := n.start(r); err != nil {
			return r, false, nil, err
		}
		if err := r.awaitReady(10 * time.Second); err != nil {
			return r, false, nil, err
		}
	} else {
		sleep(ctx, 3*time.Second)
	}
	sleep(ctx, time.Second)
	r.note("the delayed report arrives, confirmed: %v", u.send("/v1/register/"+u.id, delayed))
	sleep(ctx, 4*time.Second)
	exit := time.Now()
	r.note("upstream %s exits", u.id)
	u.exit()
	sleep(ctx, 2*time.Second)
	cancel()
	wg.Wait()
	late := arrivedAfterLeave(r, u, confirmed, func(m *node, at time.Time) bool { return at.After(m.startedAt.Add(stableWindow)) })
	verdict := summary(late, 5)
	verdict = append(verdict, fmt.Sprintf("%d requests reached the upstream later than drain-ms after its leave was confirmed; the rule allows none", len(late)))
	verdict = append(verdict, fmt.Sprintf("%d requests were at work there as it exited and had no success", brokenOff(r, u, exit)))
	return r, len(late) > 0, verdict, nil
}

func summary(lines []string, most int) []string {
	if len(lines) > most {
		return append(append([]string{}, lines[:most]...), fmt.Sprintf("and %d more like these", len(lines)-most))
	}
	return lines
}

// endlessBody: two of four upstreams answer a small share of their requests with a body that doesn't end.
func endlessBody() (*run, bool, []string, error) {
	const memoryMB = 134
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	service := "huvo11a"
	cfg := config("00000007", []string{service}, route("r-1", "/pufi791/", "non_idempotent", service, 1000, 800, 1))
	r, err := begin(ctx, []string{service, service, service, service}, []string{"selfoss", "selfoss", "vik", "vik"}, memoryMB, 12, cfg, constant(90*time.Millisecond))
	if err != nil {
		return r, false, nil, err
	}
	spoilt := map[string]bool{}
	var mu sync.Mutex
	if r.trouble {
		trouble := spells{start: time.Now(), length: 5 * time.Second, gap: 5 * time.Second}
		for _, u := range r.ups[:2] {
			u.spoil = func(a *arrival, _ *http.Request, w http.ResponseWriter) bool {
				if !trouble.on() || rand.Float64() >= 0.05 {
					return false
				}
				mu.Lock()
				spoilt[a.id] = true
				mu.Unlock()
				endless(a, w, endlessRate)
				return true
			}
		}
	}
	var wg sync.WaitGroup
	var peak = map[string]int64{}
	kills := map[string]int{}
	var deaths []time.Time
	for _, n := range r.nodes {
		r.load(ctx, &wg, n, 24, 200*time.Millisecond, func() (string, string, string, string, time.Duration) {
			return http.MethodPost, host, "/pufi791/2f", "amount=5", time.Second
		})
		wg.Go(func() { // the platform kills a process that exceeds its memory, and starts it again
			for ctx.Err() == nil {
				used := n.memory()
				mu.Lock()
				peak[n.name] = max(peak[n.name], used)
				mu.Unlock()
				if used > memoryMB<<20 {
					r.note("%s uses %d MB, more than its %d MB", n.name, used>>20, memoryMB)
					n.signal(r, syscall.SIGKILL)
					<-n.exited
					mu.Lock()
					kills[n.name]++
					deaths = append(deaths, time.Now())
					mu.Unlock()
					sleep(ctx, 500*time.Millisecond)
					n.start(r)
				}
				sleep(ctx, 50*time.Millisecond)
			}
		})
	}
	sleep(ctx, endlessPlay)
	cancel()
	wg.Wait()
	ran := map[string]arrival{}
	for _, u := range r.ups {
		for _, a := range u.all() {
			ran[a.id] = a
		}
	}
	var lost []string
	for _, a := range r.sent() {
		got, passed := ran[a.id]
		if a.end == "the connection was closed without an answer" && a.kept && passed && !spoilt[a.id] && (got.instance == r.ups[2].id || got.instance == r.ups[3].id) {
			lost = append(lost, fmt.Sprintf("LOST: %s was sent to %s on a kept connection at %.3f, reached the sound upstream %s, and its connection was closed at %.3f without an answer", a.id, a.node, r.at(a.sentAt), got.instance, r.at(a.endedAt)))
		}
	}
	verdict := summary(lost, 8)
	verdict = append(verdict, fmt.Sprintf("%d requests lost; the rule allows three", len(lost)))
	for _, n := range r.nodes {
		verdict = append(verdict, fmt.Sprintf("%s: peak %d MB, killed %d times over its memory", n.name, peak[n.name]>>20, kills[n.name]))
	}
	return r, len(lost) > 3, verdict, nil
}

const (
	endlessRate = 300 << 10 // bytes a second
	endlessPlay = 90 * time.Second
)
