package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/capacity"
)

const (
	// serviceWeight is the weight of the newest execution in the mean and the deviation.
	serviceWeight = 0.1
	// serviceStaleWeight is its weight when the statistics are stale and may no longer describe the state of the
	// backend server.
	serviceStaleWeight = 0.5
	// serviceStaleAfter is the time without an execution after which no call is refused because of the statistics of
	// its route. Without this bound a mean beyond the timeout would cause all calls to be refused and could never be
	// corrected.
	serviceStaleAfter = time.Second
	// defaultServiceTime is assumed until the first execution has ended.
	defaultServiceTime = time.Millisecond
	// maxServiceRoutes limits the routes with statistics of their own.
	maxServiceRoutes = 1024
)

// serviceStats holds moving averages of the service times of one route, or of all.
type serviceStats struct {
	mean      time.Duration
	deviation time.Duration // mean absolute deviation
	updatedAt time.Duration // end of the newest execution
	samples   int
	answered  capacity.Expected // of answered executions alone
}

func (s *serviceStats) add(took, now time.Duration) {
	if s.samples == 0 {
		s.mean, s.deviation = took, took/2
	} else {
		weight := serviceWeight
		if s.isStale(now) {
			weight = serviceStaleWeight
		}
		diff := took - s.mean
		s.mean += time.Duration(weight * float64(diff))
		s.deviation += time.Duration(weight * float64(max(diff, -diff)-s.deviation))
	}
	s.samples++
	s.updatedAt = now
}

// isStale reports whether no execution has ended within serviceStaleAfter.
func (s *serviceStats) isStale(now time.Duration) bool {
	return s.samples == 0 || now-s.updatedAt > serviceStaleAfter
}

// serviceTimes holds the service times by route and of all calls together.
type serviceTimes struct {
	all    serviceStats
	routes map[string]*serviceStats
}

func (t *serviceTimes) init() {
	t.all = serviceStats{mean: defaultServiceTime}
	t.routes = map[string]*serviceStats{}
}

// statsOf returns the statistics of a route, or those of all calls for a route without any.
func (t *serviceTimes) statsOf(route string) *serviceStats {
	if stats := t.routes[route]; stats != nil {
		return stats
	}
	return &t.all
}

func (t *serviceTimes) add(route string, took, now time.Duration) {
	t.all.add(took, now)
	stats := t.routes[route]
	if stats == nil {
		t.evictOldest()
		stats = &serviceStats{}
		t.routes[route] = stats
	}
	stats.add(took, now)
}

// addAborted adds an execution that was aborted. Its duration is only a lower bound, so it counts if it exceeds the
// mean.
func (t *serviceTimes) addAborted(route string, ran, now time.Duration) {
	if ran > t.statsOf(route).mean {
		t.add(route, ran, now)
	}
}

// evictOldest removes the route that has not run for the longest time if the table is full.
func (t *serviceTimes) evictOldest() {
	if len(t.routes) < maxServiceRoutes {
		return
	}
	oldest := ""
	for name, stats := range t.routes {
		if oldest == "" || stats.updatedAt < t.routes[oldest].updatedAt || stats.updatedAt == t.routes[oldest].updatedAt && name < oldest {
			oldest = name
		}
	}
	delete(t.routes, oldest)
}
