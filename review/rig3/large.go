package main

import (
	"fmt"
	"time"
)

func init() { cases["large-config"] = largeConfig }

// largeConfig: the operator adds 390 routes every four seconds, as long as the value of op/config has at most value-bytes.
func largeConfig(trouble bool) {
	const valueBytes = 1048576
	m := newMesh()
	for i, name := range []string{"larvik-1", "horten-1"} {
		m.addNode(name, name[:6], []string{"huvo11a", "wuno96b"}[i], nil)
	}
	services := []string{"huvo11a", "wuno96b"}
	add := func(routes []route, count int) []route {
		for range count {
			i := len(routes)
			routes = append(routes, route{
				Name: fmt.Sprintf("r-%07d", i), Prefix: fmt.Sprintf("/pufi%05d/", i), Kind: "idempotent", TimeoutMs: 1000, TargetLatency: 300,
				Priority: 1, Service: services[i%2], MaxAttempts: 2,
			})
		}
		return routes
	}
	routes := add(nil, 10)
	m.configure(3, services, routes)
	m.startAll("/pufi00000/2f")
	count := 390
	if !trouble {
		count = 1
	}
	for version := 4; version < 24; version++ {
		routes = add(routes, count)
		if size := len(configValue(version, services, routes, nil)); size > valueBytes {
			record("version %08x would have %d bytes", version, size)
			break
		}
		m.configure(version, services, routes)
		time.Sleep(3 * time.Second)
		missing := 0
		for _, n := range m.nodes {
			if get(n, routes[len(routes)-1].Prefix+"2f", 1000).status == 404 {
				missing++
			}
		}
		if missing > 0 {
			time.Sleep(15 * time.Second)
			still := 0
			for _, n := range m.nodes {
				if get(n, routes[len(routes)-1].Prefix+"2f", 1000).status == 404 {
					still++
				}
			}
			finish(true, "version %08x with %d routes: %d nodes answer 404 for its last route 3 s after it was confirmed, and %d nodes 18 s after", version, len(routes), missing, still)
		}
		time.Sleep(time.Second)
	}
	finish(false, "each version was in force 3 s after it was confirmed, the last with %d routes", len(routes))
}
