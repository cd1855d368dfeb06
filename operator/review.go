package operator

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Warning is an entry of the tables that is valid but probably not intended.
type Warning struct {
	Table   string `json:"table"` // "routes" or "pools"
	Section string `json:"section"`
	Problem string `json:"problem"`
}

// String returns the warning as one line.
func (w Warning) String() string {
	return fmt.Sprintf("%s [%s]: %s", w.Table, w.Section, w.Problem)
}

// Review returns warnings about entries that no request can use and about limits that contradict each other: routes before
// workspaces before pools, each by name or precedence. ShutdownTimeout is that of the nodes, 0 if it is not known.
func Review(snapshot *tables.Snapshot, shutdownTimeout time.Duration) []Warning {
	r := &review{snapshot: snapshot, shutdownTimeout: shutdownTimeout, usedPools: map[string]bool{}, priorities: map[string]map[int]bool{}}
	for _, route := range snapshot.Routes() {
		r.reviewRoute(route)
	}
	for _, workspace := range snapshot.Workspaces() {
		r.reviewWorkspace(workspace)
	}
	for _, pool := range snapshot.Pools() {
		r.reviewPool(pool)
	}
	return r.warnings
}

type review struct {
	snapshot        *tables.Snapshot
	shutdownTimeout time.Duration
	usedPools       map[string]bool
	priorities      map[string]map[int]bool // of the routes, by pool
	warnings        []Warning
}

func (r *review) warn(table, section, format string, args ...any) {
	r.warnings = append(r.warnings, Warning{table, section, fmt.Sprintf(format, args...)})
}

func (r *review) reviewRoute(route tables.Route) {
	section := "route " + route.Name
	r.notePools(section, route)
	limits := r.snapshot.Limits()
	switch {
	case route.TargetLatency > route.Timeout:
		r.warn("routes", section, "target_latency %v is longer than timeout %v, so no response is late", route.TargetLatency, route.Timeout)
	case route.KeyRetention < route.Timeout:
		r.warn("routes", section, "key_retention %v is shorter than timeout %v, so a key may be forgotten while its request runs", route.KeyRetention, route.Timeout)
	}
	if r.shutdownTimeout > 0 && route.Timeout > r.shutdownTimeout {
		r.warn("routes", section, "timeout %v is longer than the shutdown timeout %v, so a planned stop may cut its requests", route.Timeout, r.shutdownTimeout)
	}
	if limits.BodyBytes > 0 && route.MaxBodyBytes > limits.BodyBytes {
		r.warn("routes", section, "max_body_bytes %d is above that of [limits], %d", route.MaxBodyBytes, limits.BodyBytes)
	}
	if route.Public && !r.snapshot.HasWorkspaces() {
		r.warn("routes", section, "public has no effect without workspaces")
	}
	for _, method := range route.Methods {
		if other, ok := r.snapshot.Match(route.Host, method, route.Path); !ok || other.Name != route.Name {
			r.warn("routes", section, "can never match %s requests", method)
		}
	}
}

// notePools records which priorities reach which pools, and warns of parts of a split that get nothing.
func (r *review) notePools(section string, route tables.Route) {
	pools := route.Split
	if len(pools) == 0 {
		pools = []tables.WeightedPool{{Pool: route.Pool, Weight: 1}}
	}
	for _, part := range pools {
		if part.Weight == 0 {
			r.warn("routes", section, "split gives pool %q a weight of 0, so it can never be chosen", part.Pool)
			continue
		}
		r.usedPools[part.Pool] = true
		if r.priorities[part.Pool] == nil {
			r.priorities[part.Pool] = map[int]bool{}
		}
		for _, priority := range r.prioritiesOf(route) {
			r.priorities[part.Pool][priority] = true
		}
	}
}

// prioritiesOf returns the priorities that requests on a route may have.
func (r *review) prioritiesOf(route tables.Route) []int {
	workspaces := r.snapshot.Workspaces()
	if route.Public || len(workspaces) == 0 {
		return []int{route.Priority}
	}
	var priorities []int
	for _, w := range workspaces {
		if w.HasPriority {
			priorities = append(priorities, w.Priority)
		} else {
			priorities = append(priorities, route.Priority)
		}
	}
	return priorities
}

func (r *review) reviewWorkspace(w tables.Workspace) {
	section := "workspace " + w.Name
	switch {
	case len(w.Keys) == 0:
		r.warn("routes", section, "has no key, so no request can belong to it")
	case w.Rate == 0 && w.Burst > 0:
		r.warn("routes", section, "burst %g has no effect without a rate", w.Burst)
	case w.Rate > 0 && w.Rate+w.Burst < 1:
		r.warn("routes", section, "rate %g and burst %g together allow no request in a second", w.Rate, w.Burst)
	}
}

func (r *review) reviewPool(pool tables.Pool) {
	section := "pool " + pool.Name
	if !r.usedPools[pool.Name] {
		r.warn("pools", section, "is used by no route, so its backend servers get no requests")
		return
	}
	for priority, percent := range pool.MinShares {
		if percent > 0 && !r.priorities[pool.Name][priority] {
			r.warn("pools", section, "min_share.%d is %d%%, but no request of this priority reaches the pool", priority, percent)
		}
	}
}
