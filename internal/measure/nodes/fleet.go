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
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// formTimeout bounds the wait until all nodes know each other.
	formTimeout = 60 * time.Second
	// settleTime is the time that a fleet gets to become quiet before a measurement. It is longer than a node takes to
	// ask the seeds of all zones one after another with backoff.
	settleTime = 25 * time.Second
	// activationTimeout bounds the wait until a version is active on all nodes; the target is 7 s.
	activationTimeout = 20 * time.Second
	// maxWriteAttempts bounds the writes of a version. Conflicts with another writer are rare.
	maxWriteAttempts = 10
)

// fleet is a platform and the child processes that run nodes.
type fleet struct {
	size        int // number of nodes that awaitMembers expects
	kv          *standin.Server
	address     string
	store       *kv.Client
	server      *http.Server
	children    []*child
	activations chan activation
	version     uint64 // last version published
	document    func(version uint64) tables.Document
}

// startPlatform starts a platform that holds the first version of the tables. It starts no nodes.
func startPlatform() *fleet { return startPlatformWith(document) }

// startPlatformWith starts a platform like startPlatform, with tables of another content.
func startPlatformWith(document func(version uint64) tables.Document) *fleet {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	f := &fleet{kv: standin.New(), address: listener.Addr().String(), activations: make(chan activation, 1<<16), document: document}
	f.server = &http.Server{Handler: f.kv}
	go f.server.Serve(listener)
	f.store = kv.New(f.address)
	f.publish()
	return f
}

// startFleet starts nodes in all zones. It leaves out the first skip nodes of zone 0, which the caller starts in
// processes of their own.
func startFleet(size int, skip int) *fleet {
	f := startPlatform()
	f.size = size
	for zone := range zones {
		first := 0
		if zone == 0 {
			first = skip
		}
		f.start(hostOptions{zone: zone, first: first, count: nodesInZone(size, zone) - first, register: true, startInterval: startInterval})
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

// publish writes the next version of the tables and returns when the successful write began.
func (f *fleet) publish() time.Time {
	f.version++
	value, err := json.Marshal(f.document(f.version))
	must(err)
	// The write can conflict: a node that starts confirms the document by writing it unchanged, which raises the
	// revision.
	for range maxWriteAttempts {
		entry, err := f.store.Get(context.Background(), platform.KeyConfig)
		must(err)
		begin := time.Now()
		outcome, _, err := f.store.CompareAndSwap(context.Background(), platform.KeyConfig, entry.Revision, value)
		must(err)
		if outcome == platform.Applied {
			return begin
		}
	}
	must(fmt.Errorf("version %d was not written in %d attempts", f.version, maxWriteAttempts))
	return time.Time{}
}

// awaitActive waits until the last published version is active on n nodes and passes the time that each node took
// to each. It returns false if not all of them activated it within activationTimeout.
func (f *fleet) awaitActive(n int, since time.Time, each func(time.Duration)) bool {
	limit := time.After(activationTimeout)
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

// nodes returns up to count nodes of each zone.
func (f *fleet) nodes(count int) []nodeRef {
	var all []nodeRef
	for zone := range zones {
		for index := range min(nodesInZone(f.size, zone), count) {
			all = append(all, nodeRef{zone, index})
		}
	}
	return all
}

// awaitMembers waits until the given nodes see all nodes alive and have the last published version. It returns the
// time this took, and false if it took longer than formTimeout.
func (f *fleet) awaitMembers(nodes []nodeRef) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) < formTimeout {
		complete := true
		for _, r := range scrape(nodes) {
			complete = complete && r.ok && r.alive == f.size && r.version == float64(f.version)
		}
		if complete {
			return time.Since(begin), true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begin), false
}

// usage returns the processor time and resident memory, in bytes, of all children together.
func (f *fleet) usage() (total time.Duration, resident int64) {
	for _, c := range f.children {
		u := c.usage()
		total += u.processor
		resident += u.resident
	}
	return total, resident
}

// platformCalls returns the number of calls that the platform has received.
func (f *fleet) platformCalls() int {
	c := f.kv.Calls()
	return c.Reads + c.Writes + c.Watches + c.Leases
}
