// Command review2-rig plays the scripted cases of review/6 and later ones. It starts nodes as separate processes and
// stands in for the platform's store, the upstreams and the clients. Usage: review2-rig CASE DIR, in the repository.
// With TROUBLE=0 in the environment it leaves the disruption out. Exit codes: 1 the rule was broken, 0 it held, 2 the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
	// longest is the time after which a case is given up.
	longest = 110 * time.Second
)

// rig is what the cases share.
type rig struct {
	record    *record
	temp      string
	store     *store
	nodes     []*node
	upstreams []*upstream
	site      site
	trouble   bool
}

var cases = map[string]func(*rig) (broken bool, err error){
	"late-reports": lateReports,
	"lost-answers": lostAnswers,
	"turned-away":  turnedAway,
	"unkept":       unkept,
	"lapsed":       lapsed,
}

func main() { os.Exit(run2(os.Args[1:])) }

func run2(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2-rig CASE DIR")
		return exitNoRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	r := &rig{record: rec, temp: temp, store: newStore(), site: ljosaskodunHQ, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[args[0]](r)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case out := <-done:
		switch {
		case out.err != nil:
			rec.line("the case could not run: %v", out.err)
			fmt.Println("could not run:", out.err)
			return exitNoRun
		case out.broken:
			rec.line("the rule was broken")
			fmt.Println("the rule was broken")
			return exitBroken
		}
		rec.line("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	case <-time.After(longest):
		rec.line("the case could not run: it took too long")
		return exitNoRun
	case <-signals:
		return exitNoRun
	}
}

// close ends all processes and stand-ins that the rig started.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	for _, u := range r.upstreams {
		u.close()
	}
	r.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.temp)
	} else {
		fmt.Println("logs in", r.temp)
	}
}

// addNode adds a machine with an upstream and starts its node.
func (r *rig) addNode(name, zone, service string, work time.Duration) error {
	n, err := newNode(r.temp, name, zone, service, r.site, r.store)
	if err != nil {
		return err
	}
	u, err := newUpstream(r.record, n, r.site.slots, work)
	if err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	r.nodes, r.upstreams = append(r.nodes, n), append(r.upstreams, u)
	return nil
}

// report starts the status reports of all upstreams.
func (r *rig) report() {
	for _, u := range r.upstreams {
		go u.report()
	}
}
