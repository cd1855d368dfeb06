package tables

import (
	"sort"
	"strings"
	"time"
)

// Priorities is the number of priority levels, which are numbered from 0, the most urgent.
const Priorities = 8

// MaxMinShareSum is the highest sum of a pool's minimum shares, in percent of slot time. It leaves at least half of
// the capacity to the most urgent calls.
const MaxMinShareSum = 50

// Route maps requests to a pool, or splits them among several, and holds the policy for handling them.
type Route struct {
	Name       string
	Host       string         // empty matches every host
	Path       string         // prefix that ends at a segment boundary of the request's path
	Methods    []string       // empty matches every method
	Pool       string         // empty when Split is given
	Split      []WeightedPool // pools among which the route's requests are split by weight
	Priority   int
	Idempotent bool
	Timeout    time.Duration
	// TargetLatency is the time within which a response has its full value for the caller; the call is due at its end.
	// If it is 0, only the timeout applies.
	TargetLatency time.Duration
	Retries       int
	KeyRetention  time.Duration // how long the outcome of a call with an idempotency key is kept
	MaxBodyBytes  int64
	// Streaming is set for a route with large responses, which nodes pass on while they receive them. Only an
	// idempotent route can be streaming, because the response of any other call is kept for copies of the call.
	Streaming bool
	// Upload is set for a route with large request bodies. Its requests are not idempotent.
	Upload bool
	// Public is set for a route whose callers need no key although the tables define workspaces.
	Public bool
	// Unsupported says why this release cannot serve the route; empty if it can. The route still takes the requests
	// that match it, so that they do not fall to a route with a shorter path, and they are refused.
	Unsupported string
}

// WeightedPool is one of the pools among which a route's requests are split, with its weight.
type WeightedPool struct {
	Pool   string
	Weight int // the pool gets this part of the sum of all weights
}

// Pool names the service whose upstreams serve a route, and says how each upstream queues calls and shares its slots
// among priorities.
type Pool struct {
	Name       string
	Service    string
	MinShares  [Priorities]int // percent of slot time that each priority is guaranteed under overload
	QueueLimit int             // maximum number of calls that wait at one upstream
	Ramp       time.Duration   // duration of the slow start of a newly registered upstream
	Balance    Balance
	// NestedOvertake is the percentage of slot time that calls which backend servers make for requests in progress may take
	// from requests of higher priority; 0 if they never go before these.
	NestedOvertake int
	// MaxConnections is the number of connections that an upstream accepts from all callers together; 0 if unknown.
	MaxConnections int
}

// Balance says how the upstreams of a pool are compared when a call is sent.
type Balance uint8

// The ways to compare upstreams. Each corrects for failures and for the distance between zones.
const (
	BalanceAuto  Balance = iota // by wait until their learned speeds differ clearly, then by completion
	BalanceSlots                // by the expected wait for a slot
	BalanceSpeed                // by the expected completion: the wait and the service time
)

// Limits holds limits on what callers may send. A field that is 0 leaves the node's own limit in place.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Snapshot is a checked, immutable version of both tables.
type Snapshot struct {
	document  Document
	routes    []Route // sorted by path, longest first, then routes with a host before those without, then by name
	index     routeIndex
	limits    Limits
	pools     map[string]Pool
	byService map[string]Pool

	workspaces map[string]*Workspace
	byKey      map[KeyFingerprint]*Workspace
	sections   sectionsByText
}

// UnsupportedRoutes returns the routes whose requests are refused because this release cannot serve them.
func (s *Snapshot) UnsupportedRoutes() []Route {
	var unsupported []Route
	for _, route := range s.Routes() {
		if route.Unsupported != "" {
			unsupported = append(unsupported, route)
		}
	}
	return unsupported
}

// ID returns the version number and hash of the snapshot; for a nil snapshot, the zero VersionID.
func (s *Snapshot) ID() VersionID {
	if s == nil {
		return VersionID{}
	}
	return s.document.ID()
}

// Document returns the document that the snapshot was made from.
func (s *Snapshot) Document() Document {
	if s == nil {
		return Document{}
	}
	return s.document
}

// Routes returns the routes by precedence, highest first. The caller must not modify them.
func (s *Snapshot) Routes() []Route {
	if s == nil {
		return nil
	}
	return s.routes
}

// Pools returns the pools, sorted by name.
func (s *Snapshot) Pools() []Pool {
	if s == nil {
		return nil
	}
	pools := make([]Pool, 0, len(s.pools))
	for _, pool := range s.pools {
		pools = append(pools, pool)
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Name < pools[j].Name })
	return pools
}

// Pool returns the pool with the given name, or false.
func (s *Snapshot) Pool(name string) (Pool, bool) {
	if s == nil {
		return Pool{}, false
	}
	pool, ok := s.pools[name]
	return pool, ok
}

// PoolOfService returns the pool that uses a service, or false. At most one pool uses a service.
func (s *Snapshot) PoolOfService(service string) (Pool, bool) {
	if s == nil {
		return Pool{}, false
	}
	pool, ok := s.byService[service]
	return pool, ok
}

// Match returns the route for a request, or false. The route whose path is the longest prefix of the request's path at
// a segment boundary wins; among routes with the same path, one with a host wins over one without.
func (s *Snapshot) Match(host, method, path string) (*Route, bool) {
	if s == nil {
		return nil, false
	}
	return s.index.match(strings.ToLower(host), method, path)
}

// Limits returns the limits for callers' requests.
func (s *Snapshot) Limits() Limits {
	if s == nil {
		return Limits{}
	}
	return s.limits
}

func (r *Route) allowsMethod(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, allowed := range r.Methods {
		if allowed == method {
			return true
		}
	}
	return false
}

func sortRoutes(routes []Route) {
	sort.Slice(routes, func(i, j int) bool {
		a, b := &routes[i], &routes[j]
		if len(a.Path) != len(b.Path) {
			return len(a.Path) > len(b.Path)
		}
		if (a.Host == "") != (b.Host == "") {
			return a.Host != ""
		}
		return a.Name < b.Name
	})
}
