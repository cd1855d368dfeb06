package tables

import "strings"

// routePlace is a host in lower case, empty for every host, and a path prefix.
type routePlace struct{ host, path string }

// routeIndex finds the routes of a place, so that a match takes a few look-ups however many routes there are.
type routeIndex map[routePlace][]*Route

func newRouteIndex(routes []Route) routeIndex {
	index := make(routeIndex, len(routes))
	for i := range routes {
		route := &routes[i]
		place := routePlace{strings.ToLower(route.Host), route.Path}
		index[place] = append(index[place], route)
	}
	return index
}

// match returns the route with the longest path that ends at a segment boundary of the request's path; for equal
// paths one with a host before one without.
func (x routeIndex) match(host, method, path string) (*Route, bool) {
	if route, ok := x.at(host, method, path); ok {
		return route, true
	}
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] != '/' {
			continue
		}
		for _, prefix := range [...]string{path[:i+1], path[:i]} {
			if route, ok := x.at(host, method, prefix); ok {
				return route, true
			}
		}
	}
	return nil, false
}

// at returns the route of a prefix that allows a method.
func (x routeIndex) at(host, method, prefix string) (*Route, bool) {
	for _, place := range [...]routePlace{{host, prefix}, {"", prefix}} {
		for _, route := range x[place] {
			if route.allows(method) {
				return route, true
			}
		}
	}
	return nil, false
}
