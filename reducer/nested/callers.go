package nested

import (
	"math"
	"slices"
	"time"
)

const (
	// rateDecay is the time in which an observation loses 63% of its weight in the rates of nested calls.
	rateDecay = 5 * time.Second
	// decayStep is the interval at which the weights are reduced.
	decayStep = 250 * time.Millisecond
	// priorCalls and priorTime are the weight of the assumption that every route makes nested calls. They keep a new route
	// in question until it has run for some tenths of a second.
	priorCalls = 0.5
	priorTime  = 0.1 // seconds
	// minIdleCalls is the number of calls of a route after which those that arrive while nothing runs are judged.
	minIdleCalls = 16
	// maxIdleShare is the share of them up to which the route can be nested: the backend server may still work on requests
	// that were cut and no longer count as running.
	maxIdleShare = 0.25
	// maxRunningRoutes bounds the routes that are considered as the caller of a nested one.
	maxRunningRoutes = 64
	// certainShare is the probability from which a statement about the request that made a nested call is acted on.
	certainShare = 0.95
	// minCallWeight and minRunTime are the weights below which an observation is forgotten.
	minCallWeight = 0.01
	minRunTime    = 0.01 // seconds
)

// Callers learns at the node beside a backend server which running requests make the calls of a nested route. A request
// of route A makes calls of route B at a constant rate while it runs, so that the calls of B are a sum of Poisson
// processes; the rates are estimated by expectation maximization.
type Callers struct {
	now     time.Duration
	decayed time.Duration
	routes  []*runningRoute // in the order of their first request, so that sums do not depend on the order of a map
	arrived map[string]*arrivals
	total   int
	shares  []Share // reused
}

// runningRoute holds what is known of the requests of one route at the backend server.
type runningRoute struct {
	name    string
	running int
	// priority is that of the least urgent request since the last time at which none ran: workspaces may have their own.
	priority int
	ran      float64            // seconds for which its requests ran
	calls    map[string]float64 // nested calls that they are taken to have made, by route
}

// arrivals counts the calls of a route that enter at this node.
type arrivals struct{ calls, idle float64 }

func (c *Callers) find(route string) *runningRoute {
	for _, r := range c.routes {
		if r.name == route {
			return r
		}
	}
	return nil
}

// Started notes that a request of a route and a priority was started at the backend server.
func (c *Callers) Started(now time.Duration, route string, priority int) {
	c.advance(now)
	c.total++
	r := c.find(route)
	if r == nil {
		if len(c.routes) >= maxRunningRoutes {
			return
		}
		r = &runningRoute{name: route, calls: map[string]float64{}}
		c.routes = append(c.routes, r)
	}
	if r.running == 0 || priority > r.priority {
		r.priority = priority
	}
	r.running++
}

// Ended notes the end of a request that Started reported.
func (c *Callers) Ended(now time.Duration, route string) {
	c.advance(now)
	c.total--
	if r := c.find(route); r != nil && r.running > 0 {
		r.running--
	}
}

func (c *Callers) advance(now time.Duration) {
	elapsed := (now - c.now).Seconds()
	c.now = now
	if elapsed <= 0 {
		return
	}
	for _, r := range c.routes {
		r.ran += float64(r.running) * elapsed
	}
	if now-c.decayed >= decayStep {
		c.decay(math.Exp(-(now - c.decayed).Seconds() / rateDecay.Seconds()))
		c.decayed = now
	}
}

// decay reduces the weight of past observations and removes routes that have not run for long.
func (c *Callers) decay(factor float64) {
	c.routes = slices.DeleteFunc(c.routes, func(r *runningRoute) bool {
		r.ran *= factor
		for nested := range r.calls {
			if r.calls[nested] *= factor; r.calls[nested] < minCallWeight {
				delete(r.calls, nested)
			}
		}
		return r.running == 0 && r.ran < minRunTime
	})
}

// Entered counts a call of any route that entered at this node.
func (c *Callers) Entered(route string) {
	entry := c.arrived[route]
	if entry == nil {
		if len(c.arrived) >= maxRoutes {
			return
		}
		if c.arrived == nil {
			c.arrived = map[string]*arrivals{}
		}
		entry = &arrivals{}
		c.arrived[route] = entry
	}
	entry.calls++
	if c.total == 0 {
		entry.idle++
	}
	if entry.calls >= maxOriginCalls {
		entry.calls, entry.idle = entry.calls/2, entry.idle/2
	}
}

// ArrivesIdle reports whether too many calls of a route arrive while no request runs for the route to be nested.
func (c *Callers) ArrivesIdle(route string) bool {
	entry := c.arrived[route]
	return entry != nil && entry.calls >= minIdleCalls && entry.idle > maxIdleShare*entry.calls
}

// Called returns the probabilities that a nested call was made by a running request of each route, and learns from it.
// The next call overwrites the slice.
func (c *Callers) Called(now time.Duration, nested string) []Share {
	c.advance(now)
	c.shares = c.shares[:0]
	sum := 0.0
	for _, r := range c.routes {
		if r.running > 0 {
			share := float64(r.running) * (r.calls[nested] + priorCalls) / (r.ran + priorTime)
			c.shares = append(c.shares, Share{r.name, r.priority, share})
			sum += share
		}
	}
	for i := range c.shares {
		share := &c.shares[i]
		share.Value /= sum
		if r := c.find(share.Name); len(r.calls) < maxRoutes {
			r.calls[nested] += share.Value
		}
	}
	return c.shares
}

// Priority returns the priority of a nested call: that of its route, or a more urgent one if the request that made it almost
// certainly has that or a more urgent one, by the probabilities that Called returned.
func Priority(ofRoute int, madeBy []Share) int {
	for priority := range ofRoute {
		sum := 0.0
		for _, share := range madeBy {
			if share.Priority <= priority {
				sum += share.Value
			}
		}
		if sum >= certainShare {
			return priority
		}
	}
	return ofRoute
}
