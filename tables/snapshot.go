package tables

import (
	"sort"
	"strings"
	"time"
)

// Priorities is the number of priorities; priority 0 is the most urgent.
const Priorities = 8

// MaxMinShareSum bounds the sum of a pool's minimum shares, in percent of slot time, so that urgent work keeps at
// least half of the capacity.
const MaxMinShareSum = 50

// Route maps requests to a pool and gives the policy for them.
type Route struct {
	Name       string
	Host       string   // empty matches every host
	Path       string   // prefix that ends at a segment boundary
	Methods    []string // empty matches every method
	Pool       string   // empty when Split is given
	Split      []Share  // pools that share the route's requests
	Priority   int
	Idempotent bool
	Timeout    time.Duration
	// TargetLatency is the time within which a response has its full worth; 0 is the timeout.
	TargetLatency time.Duration
	Retries       int
	KeyRetention  time.Duration // how long an idempotency key is remembered
	MaxBodyBytes  int64
}

// Share is a pool's part of the requests of a route.
type Share struct {
	Pool   string
	Weight int // relative to the sum of the weights
}

// Pool names the service whose upstreams serve a route, and how they share their slots.
type Pool struct {
	Name       string
	Service    string
	MinShares  [Priorities]int // percent of slot time that each priority keeps in a flood
	QueueLimit int             // calls waiting at one upstream
	Ramp       time.Duration
	// MaxConnections is how many connections an upstream accepts from all callers together; 0 when it is not known.
	MaxConnections int
}

// Limits bound what a caller may send; 0 is the node's own bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Snapshot is a checked, immutable version of both tables.
type Snapshot struct {
	document  Document
	routes    []Route // longest path first, then host before no host, then name
	index     routeIndex
	limits    Limits
	pools     map[string]Pool
	byService map[string]Pool
}

// ID returns the identity of the snapshot's version. A nil snapshot has the zero identity.
func (s *Snapshot) ID() VersionID {
	if s == nil {
		return VersionID{}
	}
	return s.document.ID()
}

// Document returns the text that the snapshot was made from.
func (s *Snapshot) Document() Document {
	if s == nil {
		return Document{}
	}
	return s.document
}

// Routes returns the routes in matching order. The caller must not change them.
func (s *Snapshot) Routes() []Route {
	if s == nil {
		return nil
	}
	return s.routes
}

// Pools returns the pools by name order.
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

// Pool returns the pool of that name.
func (s *Snapshot) Pool(name string) (Pool, bool) {
	if s == nil {
		return Pool{}, false
	}
	pool, ok := s.pools[name]
	return pool, ok
}

// PoolOfService returns the pool that uses a service; at most one does.
func (s *Snapshot) PoolOfService(service string) (Pool, bool) {
	if s == nil {
		return Pool{}, false
	}
	pool, ok := s.byService[service]
	return pool, ok
}

// Match returns the route for a request, or false. The longest path wins; for equal paths a route
// with a host wins over one without.
func (s *Snapshot) Match(host, method, path string) (*Route, bool) {
	if s == nil {
		return nil, false
	}
	return s.index.match(strings.ToLower(host), method, path)
}

// Limits returns what callers may send.
func (s *Snapshot) Limits() Limits {
	if s == nil {
		return Limits{}
	}
	return s.limits
}

func (r *Route) allows(method string) bool {
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
