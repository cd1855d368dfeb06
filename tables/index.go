package tables

import "strings"

// hostPath is a host in lower case (empty matches every host) and a path prefix.
type hostPath struct{ host, path string }

// routeIndex holds the routes by host and path prefix. The cost of a match depends on the segments of the path, not on
// the number of routes.
type routeIndex map[hostPath][]*Route

func newRouteIndex(routes []Route) routeIndex {
	index := make(routeIndex, len(routes))
	for i := range routes {
		route := &routes[i]
		key := hostPath{strings.ToLower(route.Host), route.Path}
		index[key] = append(index[key], route)
	}
	return index
}

// match implements Snapshot.Match for a host in lower case.
func (x routeIndex) match(host, method, path string) (*Route, bool) {
	if route, ok := x.lookup(host, method, path); ok {
		return route, true
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		for _, prefix := range [...]string{path[:i+1], path[:i]} {
			if route, ok := x.lookup(host, method, prefix); ok {
				return route, true
			}
		}
	}
	return nil, false
}

// lookup returns the route for exactly this path prefix that allows the method. One with a host wins over one without.
func (x routeIndex) lookup(host, method, prefix string) (*Route, bool) {
	for _, key := range [...]hostPath{{host, prefix}, {"", prefix}} {
		for _, route := range x[key] {
			if route.allowsMethod(method) {
				return route, true
			}
		}
	}
	return nil, false
}
