package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
)

const (
	// formLimit bounds the wait until all nodes know each other, settle what they get to become quiet.
	formLimit = 60 * time.Second
	// settle is longer than a node takes to ask the seeds of all zones, one after another with a growing pause.
	settle = 25 * time.Second
	// activeLimit bounds the wait for a version; the target is 7 s.
	activeLimit = 20 * time.Second
	// writeTries bounds the writes of a version; a writer in between is rare.
	writeTries = 10
)

// fleet is a platform and the processes that run nodes.
type fleet struct {
	size        int
	kv          *standin.Server
	address     string
	store       *kv.Client
	server      *http.Server
	children    []*child
	activations chan activation
	version     uint64
}

// startPlatform starts a platform with the first version of the tables and no node.
func startPlatform() *fleet {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	f := &fleet{kv: standin.New(), address: listener.Addr().String(), activations: make(chan activation, 1<<16)}
	f.server = &http.Server{Handler: f.kv}
	go f.server.Serve(listener)
	f.store = kv.New(f.address)
	f.publish()
	return f
}

// startFleet starts nodes in all zones, the first one elsewhere when skip is set.
func startFleet(size int, skip int) *fleet {
	f := startPlatform()
	f.size = size
	for zone := range zones {
		first := 0
		if zone == 0 {
			first = skip
		}
		f.start(hostOptions{zone: zone, first: first, count: share(size, zone) - first, register: true, gap: startGap})
	}
	return f
}

func (f *fleet) start(o hostOptions) *child {
	o.platform = f.address
	c := startChild(o, f.activations)
	f.children = append(f.children, c)
	return c
}

func (f *fleet) stop() {
	for _, c := range f.children {
		c.kill()
	}
	f.server.Close()
}

// publish writes the next version and returns when the write began.
func (f *fleet) publish() time.Time {
	f.version++
	value, err := json.Marshal(document(f.version))
	must(err)
	// A reader that starts confirms the document by writing it unchanged, which raises the revision.
	for range writeTries {
		entry, err := f.store.Get(context.Background(), platform.KeyConfig)
		must(err)
		begin := time.Now()
		outcome, _, err := f.store.CompareAndSwap(context.Background(), platform.KeyConfig, entry.Revision, value)
		must(err)
		if outcome == platform.Applied {
			return begin
		}
	}
	must(fmt.Errorf("version %d was not written in %d tries", f.version, writeTries))
	return time.Time{}
}

// awaitActive returns how long the version took to become active on each of n nodes, and false when it did not
// in time.
func (f *fleet) awaitActive(n int, since time.Time, each func(time.Duration)) bool {
	limit := time.After(activeLimit)
	seen := map[string]bool{}
	for len(seen) < n {
		select {
		case a := <-f.activations:
			if a.version == f.version && !seen[a.node] {
				seen[a.node] = true
				each(a.at.Sub(since))
			}
		case <-limit:
			return false
		}
	}
	return true
}

// places returns all nodes, or the first count of each zone.
func (f *fleet) places(count int) []place {
	var all []place
	for zone := range zones {
		for index := range min(share(f.size, zone), count) {
			all = append(all, place{zone, index})
		}
	}
	return all
}

// awaitMembers waits until the nodes see all others alive and returns how long that took.
func (f *fleet) awaitMembers(places []place) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) < formLimit {
		complete := true
		for _, r := range scrape(places) {
			complete = complete && r.ok && r.alive == f.size && r.version == float64(f.version)
		}
		if complete {
			return time.Since(begin), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin), false
}

// processor returns the processor time of all children.
func (f *fleet) processor() (total time.Duration, resident int64) {
	for _, c := range f.children {
		u := c.usage()
		total += u.processor
		resident += u.resident
	}
	return total, resident
}

// platformCalls returns the calls to the platform so far.
func (f *fleet) platformCalls() int {
	c := f.kv.Calls()
	return c.Reads + c.Writes + c.Watches + c.Leases
}
