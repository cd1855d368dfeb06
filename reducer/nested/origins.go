// Package nested learns which routes backend servers call while they run requests, and limits the requests whose nested
// calls fail. It holds state and decides; the reducer owns the state and acts on the decisions.
package nested

import (
	"math"
	"slices"
)

// Parameters of the test by which a target learns that a route is nested.
const (
	// otherOrigins is the share of calls from other nodes that a nested route may have.
	otherOrigins = 0.02
	// learnEvidence is the logarithm of the likelihood ratio at which a route counts as nested: an ordinary route reaches
	// it with a probability of 6 in a million. With half of the nodes beside the calling service that takes 18 calls.
	learnEvidence = 12.0
	// ordinaryEvidence is the one at which a route counts as ordinary again.
	ordinaryEvidence = -4.0
	// maxOriginCalls is the number of calls at which their weights are halved, so that a change shows within as many calls.
	maxOriginCalls = 256
	// callerShare is the share of the calls of a route that must come from nodes of a service for it to count as a caller.
	callerShare = 0.1
	// minCompared is the number of calls of another route from which it is compared with, and minComparedShare the share of
	// them that must come from the callers of the route: two nested routes of different callers say nothing of each other.
	minCompared      = 16
	minComparedShare = 0.05
	// minOriginNodes is the number of nodes that calls must come from: a caller may keep one connection to one node.
	minOriginNodes = 2
	// maxRoutes bounds the routes in each table of this package.
	maxRoutes = 1024
)

// Verdict says whether the calls of a route from the nodes of one service are nested.
type Verdict uint8

// The verdicts on a route.
const (
	Unknown Verdict = iota
	Nested
	Ordinary
)

// Origins learns at a target which routes are nested, from the services beside the nodes that forward the calls. Calls of
// callers enter at all nodes; nested calls enter only at nodes beside the service that makes them. This also holds while
// the backend servers are always busy. A route is compared with other routes at the same target and not with the nodes of
// the zone: a node forwards to some targets more than to others, and calls that it serves itself are not forwarded.
type Origins struct {
	// Own is the service beside this node. Its calls to itself are not learned, because callers may choose nodes beside the
	// service that they call.
	Own    string
	routes map[string]*origins
}

// Share is the probability that a request of a named route and a priority has made a call.
type Share struct {
	Name     string
	Priority int
	Value    float64
}

// origins holds the weights of the calls of one route.
type origins struct {
	calls    float64
	services []serviceCalls // in the order in which they were seen, so that sums do not depend on the order of a map
	nodes    []string       // the first minOriginNodes that forwarded a call
	nested   bool
}

// serviceCalls holds the weight of the calls from the nodes beside one service.
type serviceCalls struct {
	name string
	from float64
}

// Arrived counts a call of a route that was forwarded by a node beside a service. It reports whether the route has become
// nested or ordinary with this call.
func (o *Origins) Arrived(route, node, service string) bool {
	entry := o.routes[route]
	if entry == nil {
		if len(o.routes) >= maxRoutes {
			return false
		}
		if o.routes == nil {
			o.routes = map[string]*origins{}
		}
		entry = &origins{}
		o.routes[route] = entry
	}
	entry.add(node, service)
	return entry.decide(o.evidence(entry))
}

func (e *origins) add(node, service string) {
	e.calls++
	e.service(service).from++
	if len(e.nodes) < minOriginNodes && !slices.Contains(e.nodes, node) {
		e.nodes = append(e.nodes, node)
	}
	if e.calls < maxOriginCalls {
		return
	}
	e.calls /= 2
	for i := range e.services {
		e.services[i].from /= 2
	}
}

// service returns the entry of a service and adds it if there is none. The pointer is valid until the next call.
func (e *origins) service(name string) *serviceCalls {
	if s := e.find(name); s != nil {
		return s
	}
	e.services = append(e.services, serviceCalls{name: name})
	return &e.services[len(e.services)-1]
}

// decide updates whether the route is nested and reports whether that has changed.
func (e *origins) decide(evidence float64) bool {
	was := e.nested
	switch {
	case evidence >= learnEvidence && len(e.nodes) >= minOriginNodes:
		e.nested = true
	case evidence <= ordinaryEvidence:
		e.nested = false
	}
	return e.nested != was
}

// evidence returns the logarithm of the likelihood ratio of the hypotheses that the calls of a route come from nodes of the
// calling services only, and that they come from the same nodes as those of the other route with the fewest calls from
// these; 0 when no other route can be compared with.
func (o *Origins) evidence(e *origins) float64 {
	inside, share := 0.0, 1.0
	for i := range e.services {
		if s := &e.services[i]; o.isCaller(e, s) {
			inside += s.from
		}
	}
	for _, other := range o.routes { // the lowest share does not depend on the order
		if other == e || other.calls < minCompared {
			continue
		}
		from := 0.0
		for i := range other.services {
			if s := &other.services[i]; o.isCaller(e, e.find(s.name)) {
				from += s.from
			}
		}
		if part := from / other.calls; part >= minComparedShare {
			share = min(share, part+math.Sqrt(part*(1-part)/other.calls)) // a standard error more
		}
	}
	outside := e.calls - inside
	if share >= 1-otherOrigins {
		return min(0, outside*math.Log(otherOrigins))
	}
	return inside*math.Log((1-otherOrigins)/share) + outside*math.Log(otherOrigins/(1-share))
}

// find returns the entry of a service, or nil.
func (e *origins) find(name string) *serviceCalls {
	for i := range e.services {
		if e.services[i].name == name {
			return &e.services[i]
		}
	}
	return nil
}

// isCaller reports whether nodes beside a service make a named part of the calls of a route.
func (o *Origins) isCaller(e *origins, s *serviceCalls) bool {
	return s != nil && s.name != o.Own && s.from >= callerShare*e.calls
}

// Verdict returns what is known of the calls of a route from the nodes beside a service.
func (o *Origins) Verdict(route, service string) Verdict {
	entry := o.routes[route]
	switch {
	case entry == nil:
		return Unknown
	case entry.nested && o.isCaller(entry, entry.find(service)):
		return Nested
	case o.evidence(entry) <= ordinaryEvidence:
		return Ordinary
	default:
		return Unknown
	}
}

// Evidence returns the figures behind the verdict on a route: the weight of its calls and the likelihood ratio.
func (o *Origins) Evidence(route string) (calls, evidence float64) {
	entry := o.routes[route]
	if entry == nil {
		return 0, 0
	}
	return entry.calls, o.evidence(entry)
}
