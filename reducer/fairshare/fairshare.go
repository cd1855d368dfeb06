// Package fairshare shares the slot time of a backend server among the workspaces of one priority: start-time fair queueing
// by expected slot time, with weights. It keeps the tags of the workspaces; the reducer owns it and holds the calls.
package fairshare

import (
	"math"
	"time"
)

const (
	// idleCredit is the slot time, in calls of mean length, that a workspace may take at once after it has taken less than
	// its share. A workspace with a few calls a second has less than one call at a node at a time: without it, two calls that
	// arrive at one node by chance would count as more than its share.
	idleCredit = 3
	// maxWorkspaces bounds the workspaces that are kept. Further ones share one entry.
	maxWorkspaces = 1024
	// arrivalDecay is the time in which an arrival loses 63% of its weight in the observed demand of a workspace.
	arrivalDecay = time.Second
	// evictInterval is the least time between two searches for idle workspaces.
	evictInterval = time.Second
)

// Queue holds the workspaces of one priority. Virtual time is slot time divided by weight.
type Queue struct {
	virtual   float64 // start tag of the latest call that was started
	byName    map[string]*Flow
	flows     []*Flow // in the order in which they were added
	meanCost  float64 // seconds of slot time of a call
	evictedAt time.Duration
}

// Flow is one workspace in a Queue.
type Flow struct {
	name      string
	weight    float64
	finish    float64 // finish tag of its latest call
	queued    float64 // expected slot time of its queued calls, in seconds
	calls     int     // queued or running
	demand    float64 // exponentially decayed slot time of its arrivals, in seconds
	arrivedAt time.Duration
}

// Demand returns the slot time per second of the recent arrivals of the workspace.
func (f *Flow) Demand() float64 { return f.demand / arrivalDecay.Seconds() }

// Flow returns the entry of a workspace and adds it if there is none. It stays valid while a call of it is queued or
// running: each Queued is followed by Removed, and each Started by Ended.
func (q *Queue) Flow(now time.Duration, name string, weight float64) *Flow {
	if f := q.byName[name]; f != nil {
		f.weight = weight
		return f
	}
	if len(q.flows) >= maxWorkspaces {
		q.evictIdle(now)
	}
	if len(q.flows) >= maxWorkspaces {
		return q.flows[len(q.flows)-1]
	}
	if q.byName == nil {
		q.byName = map[string]*Flow{}
	}
	f := &Flow{name: name, weight: weight, finish: math.Inf(-1), arrivedAt: now}
	q.byName[name] = f
	q.flows = append(q.flows, f)
	return f
}

// evictIdle removes the workspaces without calls that have regained all of their credit: an entry added later is the same.
func (q *Queue) evictIdle(now time.Duration) {
	if q.evictedAt > 0 && now-q.evictedAt < evictInterval {
		return
	}
	q.evictedAt = now
	kept := q.flows[:0]
	for _, f := range q.flows {
		if f.calls == 0 && f.finish <= q.earliest(f) {
			delete(q.byName, f.name)
			continue
		}
		kept = append(kept, f)
	}
	clear(q.flows[len(kept):])
	q.flows = kept
}

// Queued adds a call with an expected slot time in seconds to a workspace.
func (q *Queue) Queued(now time.Duration, f *Flow, cost float64) {
	f.decay(now)
	f.queued += cost
	f.calls++
	f.demand += cost
	if q.meanCost == 0 {
		q.meanCost = cost
	}
	q.meanCost += 0.05 * (cost - q.meanCost)
}

func (f *Flow) decay(now time.Duration) {
	if elapsed := now - f.arrivedAt; elapsed > 0 {
		f.demand *= math.Exp(-elapsed.Seconds() / arrivalDecay.Seconds())
		f.arrivedAt = now
	}
}

// Removed takes a call that leaves the queue from its workspace.
func (q *Queue) Removed(f *Flow, cost float64) {
	f.queued = max(f.queued-cost, 0)
	f.calls--
	if f.calls == 0 {
		f.queued = 0 // without the rounding of the sums
	}
}

// Started charges a call that starts with its expected slot time in seconds.
func (q *Queue) Started(f *Flow, cost float64) {
	f.calls++
	start := q.Tag(f)
	q.virtual = max(q.virtual, start)
	f.finish = start + cost/f.weight
}

// Ended corrects the charge of a call to the slot time that it took.
func (q *Queue) Ended(f *Flow, cost, took float64) {
	f.finish += (took - cost) / f.weight
	f.calls--
}

// Tag returns the start tag of the next call of a workspace. The call with the lowest tag is next.
func (q *Queue) Tag(f *Flow) float64 { return max(f.finish, q.earliest(f)) }

// earliest returns the start tag of a workspace that has all of its credit.
func (q *Queue) earliest(f *Flow) float64 { return q.virtual - idleCredit*q.meanCost/f.weight }

// Ahead returns the slot time in seconds that is served before a new call of a workspace, of which own is that of its own
// calls ahead, when rate slots serve the priority: the queued calls of the others that have lower tags, and those that
// arrive meanwhile within their shares.
func (q *Queue) Ahead(now time.Duration, f *Flow, own, rate float64) float64 {
	tag := q.Tag(f) + own/f.weight
	ahead, weights, demand := own, f.weight, 0.0
	for _, other := range q.flows {
		if other == f {
			continue
		}
		other.decay(now)
		if other.queued > 0 {
			ahead += min(other.queued, max(tag-q.Tag(other), 0)*other.weight)
			weights += other.weight
		}
		demand += other.Demand()
	}
	if rate <= 0 {
		return ahead
	}
	return max(ahead, own/max(f.weight/weights, 1-demand/rate))
}

// Excess returns the queued slot time in seconds of a workspace beyond its share of all, by weight.
func (q *Queue) Excess(f *Flow) float64 {
	total, weights := 0.0, 0.0
	for _, other := range q.flows {
		if other.queued > 0 || other == f {
			total += other.queued
			weights += other.weight
		}
	}
	return f.queued - total*f.weight/weights
}

// MostExcess returns the workspace with the most queued slot time beyond its share, or nil when nothing is queued.
func (q *Queue) MostExcess() *Flow {
	total, weights := 0.0, 0.0
	for _, f := range q.flows {
		if f.queued > 0 {
			total, weights = total+f.queued, weights+f.weight
		}
	}
	var most *Flow
	highest := 0.0
	for _, f := range q.flows {
		if f.queued <= 0 {
			continue
		}
		if excess := f.queued - total*f.weight/weights; most == nil || excess > highest {
			most, highest = f, excess
		}
	}
	return most
}
