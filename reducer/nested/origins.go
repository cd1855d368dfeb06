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
	// callerShare is the share of the calls of a route that must come from nodes of a service for it to count as a caller,
	// and callerRatio what part of the calls for each node of the service with most of them. A route that is also used by
	// callers has fewer calls for each node of the other services, and stays ordinary.
	callerShare = 0.1
	callerRatio = 0.5
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
// callers enter at all nodes of a zone; nested calls enter only at nodes beside the service that makes them. This also
// holds while the backend servers are always busy.
type Origins struct {
	routes map[string]*origins
}

// Share is the share or the probability of a named service or route.
type Share struct {
	Name  string
	Value float64
}

// origins holds the weights of the calls of one route.
type origins struct {
	calls    float64
	services []serviceCalls // in the order in which they were seen, so that sums do not depend on the order of a map
	nodes    []string       // the first minOriginNodes that forwarded a call
	nested   bool
}

// serviceCalls holds the weight of the calls from the nodes beside one service, and what it would be if callers chose the
// nodes of a zone at random.
type serviceCalls struct {
	name           string
	from, expected float64
}

// Arrived counts a call of a route that was forwarded by a node beside a service; the service is empty for a node that
// cannot make nested calls. The shares are those of the services among the nodes of its zone. It reports whether the
// route has become nested or ordinary with this call.
func (o *Origins) Arrived(route, node, service string, shares []Share) bool {
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
	entry.add(node, service, shares)
	return entry.decide()
}

func (e *origins) add(node, service string, shares []Share) {
	e.calls++
	e.service(service).from++
	for _, share := range shares {
		e.service(share.Name).expected += share.Value
	}
	if len(e.nodes) < minOriginNodes && !slices.Contains(e.nodes, node) {
		e.nodes = append(e.nodes, node)
	}
	if e.calls < maxOriginCalls {
		return
	}
	e.calls /= 2
	for i := range e.services {
		e.services[i].from /= 2
		e.services[i].expected /= 2
	}
}

// service returns the entry of a service and adds it if there is none. The pointer is valid until the next call.
func (e *origins) service(name string) *serviceCalls {
	for i := range e.services {
		if e.services[i].name == name {
			return &e.services[i]
		}
	}
	e.services = append(e.services, serviceCalls{name: name})
	return &e.services[len(e.services)-1]
}

// decide updates whether the route is nested and reports whether that has changed.
func (e *origins) decide() bool {
	was := e.nested
	switch evidence := e.evidence(); {
	case evidence >= learnEvidence && len(e.nodes) >= minOriginNodes:
		e.nested = true
	case evidence <= ordinaryEvidence:
		e.nested = false
	}
	return e.nested != was
}

// evidence returns the logarithm of the likelihood ratio of the hypotheses that the calls come from nodes of the calling
// services only, and that they come from all nodes. It is not positive when these services are all that there are.
func (e *origins) evidence() float64 {
	share, inside, most := 0.0, 0.0, e.highestRatio()
	for i := range e.services {
		if s := &e.services[i]; e.isCaller(s, most) {
			share += s.expected / e.calls
			inside += s.from
		}
	}
	if share <= 0 || share >= 1-otherOrigins {
		return -e.calls
	}
	return inside*math.Log((1-otherOrigins)/share) + (e.calls-inside)*math.Log(otherOrigins/(1-share))
}

// isCaller reports whether nodes beside a service make enough of the calls, given the highest ratio. A node without a
// backend server makes no nested calls.
func (e *origins) isCaller(s *serviceCalls, most float64) bool {
	return s.name != "" && s.from >= callerShare*e.calls && s.from >= callerRatio*most*s.expected
}

// highestRatio returns the highest ratio of calls to expected calls of the services with enough calls.
func (e *origins) highestRatio() float64 {
	most := 0.0
	for i := range e.services {
		if s := &e.services[i]; s.expected > 0 && s.from >= callerShare*e.calls {
			most = max(most, s.from/s.expected)
		}
	}
	return most
}

// Verdict returns what is known of the calls of a route from the nodes beside a service.
func (o *Origins) Verdict(route, service string) Verdict {
	entry := o.routes[route]
	switch {
	case entry == nil:
		return Unknown
	case entry.nested && entry.isCaller(entry.service(service), entry.highestRatio()):
		return Nested
	case entry.evidence() <= ordinaryEvidence:
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
	return entry.calls, entry.evidence()
}
