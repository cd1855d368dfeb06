package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
)

const (
	restCalls      = 1000        // on each path, one at a time
	sliceDuration  = time.Second // time for which calls are sent on one path
	sliceRounds    = 4           // slices on each path
	callSettleTime = 2 * time.Second
	maxInFlight    = 256
	callTimeout    = 2 * time.Second
)

// callPath is a path by which calls reach the backend server, and the times of calls on it.
type callPath struct {
	name, url string
	times     latencies
	failed    int
}

// reportCalls measures the time that nodes add to a call. Node 0 has a backend server, node 1 has none.
func reportCalls(rates []int) {
	f := startPlatform()
	defer f.stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	b := backend.New(backend.Options{})
	defer b.Close()
	server := &http.Server{Handler: b}
	defer server.Close()
	go server.Serve(listener)
	f.start(hostOptions{zone: 0, first: 0, count: 1, register: true, backend: listener.Addr().String()})
	f.start(hostOptions{zone: 0, first: 1, count: 1})
	f.size = 2
	if _, ok := f.awaitMembers([]nodeRef{{0, 0}, {0, 1}}); !ok {
		fmt.Println("the nodes did not find each other")
		return
	}
	time.Sleep(callSettleTime)
	targets := []string{listener.Addr().String(), address(0, 0, portCallers), address(0, 1, portCallers)}
	t := newTable("load", "path", "calls", "failed", "p50 ms", "p99 ms", "added p50", "added p99")
	printHeading("added time, one call at a time")
	measureAtRest(targets).addRows(t, "rest")
	for _, rate := range rates {
		printHeading(fmt.Sprintf("added time, %d calls a second", rate))
		measureUnderLoad(targets, rate).addRows(t, fmt.Sprintf("%d/s", rate))
	}
	t.print()
}

// callPaths holds the direct path first, then those through one and through two nodes.
type callPaths []*callPath

func newCallPaths(targets []string) callPaths {
	var all callPaths
	for i, name := range []string{"direct", "one node", "two nodes"} {
		all = append(all, &callPath{name: name, url: "http://" + targets[i] + path(0), times: newLatencies()})
	}
	return all
}

// addRows adds a row for each path, with the time added to the direct one.
func (all callPaths) addRows(t table, load string) {
	direct := all[0].times
	for _, p := range all {
		p50, p99 := p.times.percentile(50), p.times.percentile(99)
		t.row(load, p.name, fmt.Sprint(p.times.TotalCount()), fmt.Sprint(p.failed), millis(p50), millis(p99),
			millis(p50-direct.percentile(50)), millis(p99-direct.percentile(99)))
	}
}

// measureAtRest sends one call at a time and alternates between the paths, so that load on the machine affects all
// paths alike.
func measureAtRest(targets []string) callPaths {
	all := newCallPaths(targets)
	client := newClient()
	for range restCalls {
		for _, p := range all {
			begin := time.Now()
			p.record(get(client, p.url), time.Since(begin))
		}
	}
	return all
}

func (p *callPath) record(ok bool, took time.Duration) {
	if !ok {
		p.failed++
		return
	}
	p.times.add(took)
}

// measureUnderLoad sends calls at a rate, in slices that alternate between the paths. The time of a call counts from
// when it was due, so that time spent waiting for the sender is included.
func measureUnderLoad(targets []string, rate int) callPaths {
	all := newCallPaths(targets)
	client := newClient()
	for range sliceRounds {
		for _, p := range all {
			p.sendSlice(client, rate)
		}
	}
	return all
}

func (p *callPath) sendSlice(client *http.Client, rate int) {
	count := int(sliceDuration.Seconds() * float64(rate))
	gap := sliceDuration / time.Duration(count)
	results := make(chan time.Duration, count)
	inFlight := make(chan struct{}, maxInFlight)
	begin := time.Now()
	var calls sync.WaitGroup
	for i := range count {
		due := begin.Add(time.Duration(i) * gap)
		time.Sleep(time.Until(due))
		inFlight <- struct{}{}
		calls.Go(func() {
			defer func() { <-inFlight }()
			if get(client, p.url) {
				results <- time.Since(due)
			} else {
				results <- -1
			}
		})
	}
	calls.Wait()
	close(results)
	for took := range results {
		p.record(took >= 0, took)
	}
}

func newClient() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}}
}

// get sends one call and reports whether it was answered with status 200.
func get(client *http.Client, url string) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
