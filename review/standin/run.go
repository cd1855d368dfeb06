package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one play of a case.
type run struct {
	dir     string
	began   time.Time
	trouble bool
	store   *store
	nodes   []*node

	mu       sync.Mutex
	notes    []string
	attempts []*attempt
	out      map[*node]bool // two questions in a row without a 200
	alwaysIn bool           // fewer than half of the zone's nodes would be in
	ups      []*upstream
}

func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, line)
	fmt.Println(line)
}

func (r *run) record(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

func (r *run) sent() []attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]attempt, len(r.attempts))
	for i, a := range r.attempts {
		out[i] = *a
	}
	return out
}

func (r *run) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *run) isIn(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.alwaysIn || !r.out[n]
}

// askReady asks each node once a second whether it is ready. After two misses its clients get no new work.
func (r *run) askReady(ctx context.Context, n *node) {
	misses := 0
	for ctx.Err() == nil {
		if n.ready() {
			misses = 0
		} else {
			misses++
		}
		r.mu.Lock()
		r.out[n] = misses >= 2
		r.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

// spells is a trouble that comes again and again, each time for a while.
type spells struct {
	start       time.Time
	first       time.Duration // from start to the first spell
	length, gap time.Duration
}

// on reports whether a spell is under way.
func (s spells) on() bool {
	since := time.Since(s.start) - s.first
	return since >= 0 && since%(s.length+s.gap) < s.length
}

// newRun prepares nodes on loopback addresses of their own, and the store.
func newRun(services, zones []string, memoryMB int) (*run, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &run{dir: dir, began: time.Now(), out: map[*node]bool{}, trouble: os.Getenv("TROUBLE") != "0"}
	base := fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	if r.store, err = startStore(base + "100"); err != nil {
		return nil, err
	}
	for i, service := range services {
		r.nodes = append(r.nodes, &node{
			name: fmt.Sprintf("sidecar-%d", i+1), zone: zones[i], service: service, ip: base + fmt.Sprint(i+1), memoryMB: memoryMB,
		})
	}
	return r, nil
}

// startAll starts the nodes within 0.3 s, and waits until all are ready.
func (r *run) startAll() error {
	for _, n := range r.nodes {
		if err := n.start(r); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range r.nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", n.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	r.note("all nodes are ready")
	return nil
}

// stop ends all processes that the run started.
func (r *run) stop() {
	for _, n := range r.nodes {
		if n.cmd != nil && n.running() {
			n.cmd.Process.Signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	for _, u := range r.ups {
		u.exit()
	}
	r.store.server.Close()
}

// write writes what was sent, answered and run.
func (r *run) write(file string, verdict []string) {
	var out strings.Builder
	out.WriteString("WHAT HAPPENED\n" + strings.Join(r.notes, "\n") + "\n\nVERDICT\n" + strings.Join(verdict, "\n") + "\n\nREQUESTS (id, method, path, node, sent at, ended at, answer; then where it ran)\n")
	runs := map[string][]arrival{}
	for _, u := range r.ups {
		for _, a := range u.all() {
			runs[a.id] = append(runs[a.id], a)
		}
	}
	sent := r.sent()
	sort.Slice(sent, func(i, j int) bool { return sent[i].endedAt.Before(sent[j].endedAt) })
	for _, a := range sent {
		answer := fmt.Sprint(a.status)
		if a.status == 0 {
			answer = a.end
		}
		sentAt := 0.0
		if a.written {
			sentAt = r.at(a.sentAt)
		}
		fmt.Fprintf(&out, "%s %s %s %s %.3f %.3f %s", a.id, a.method, a.path, a.node, sentAt, r.at(a.endedAt), answer)
		for _, ran := range runs[a.id] {
			fmt.Fprintf(&out, "; %s %s at %.3f status %d", ran.instance, ran.service, r.at(ran.at), ran.status)
		}
		out.WriteString("\n")
	}
	if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// route returns a route of the operator's configuration.
func route(name, prefix, kind, service string, timeoutMs, aimMs, priority int) map[string]any {
	return map[string]any{
		"name": name, "prefix": prefix, "kind": kind, "service": service, "timeout-ms": timeoutMs, "target-latency-ms": aimMs,
		"priority": priority, "max-attempts": 2,
	}
}

// config returns the operator's configuration, with one host.
func config(version string, services []string, routes ...map[string]any) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "services": list,
		"limits":        map[string]any{"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"virtual-hosts": []any{map[string]any{"host": host, "paths": routes}},
	}
}

const host = "ficu95.example"
