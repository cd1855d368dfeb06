package main

import (
	"time"
)

func init() { cases["encoded-path"] = encodedPath }

// encodedPath: clients send paths in which a slash is percent-encoded. The route is the longest prefix that begins the
// path; the prefix "/a/b/" doesn't begin "/a%2Fb/c". For four seconds half of the upstreams lose three of ten answers. Without the
// trouble the paths are plain.
func encodedPath(trouble bool) {
	m := newMesh()
	services := []string{"huvo11a", "wuno96b"}
	for _, name := range []string{"larvik-1", "horten-1"} {
		m.addNode(name, name[:6], services[0], nil)
	}
	for _, name := range []string{"larvik-2", "horten-2"} {
		m.addNode(name, name[:6], services[1], nil)
	}
	m.configure(3, services, []route{
		{Name: "r-1", Prefix: "/", Kind: "non_idempotent", TimeoutMs: 1000, TargetLatency: 500, Priority: 1, Service: services[0], MaxAttempts: 2},
		{Name: "r-2", Prefix: "/a/b/", Kind: "idempotent", TimeoutMs: 1000, TargetLatency: 500, Priority: 1, Service: services[1], MaxAttempts: 2},
	})
	m.startAll("/lohu930/2f", "/a/b/c")
	time.Sleep(3 * time.Second)
	lose := func(loses bool) { // at half of the upstreams of each service
		for _, i := range []int{0, 2} {
			u := m.nodes[i].up
			u.mu.Lock()
			u.loses = loses
			u.mu.Unlock()
		}
	}
	lose(true)
	time.AfterFunc(4*time.Second, func() { lose(false) })
	targets := []string{"/a-b/c", "/a-b/d"}
	if trouble {
		targets = []string{"/a%2Fb/c", "/a%2Fb/d"}
	}
	other, twice := 0, 0
	for range 10 {
		for _, n := range m.nodes {
			for _, target := range targets {
				a := rawSend(n, target)
				time.Sleep(50 * time.Millisecond)
				runs := 0
				for _, r := range m.journal.all() {
					if r.id != a.id {
						continue
					}
					runs++
					if r.service != services[0] {
						other++
					}
				}
				if runs > 1 {
					twice++
				}
			}
		}
	}
	finish(other+twice > 0, "of %d requests on the route of %s, which isn't idempotent, %d runs were at %s, and %d ran more than once",
		10*len(m.nodes)*len(targets), services[0], other, services[1], twice)
}
