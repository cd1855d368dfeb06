package invariant

import (
	"slices"
	"time"
)

// Names of the invariants of roll-outs of versions.
const (
	Exposure         = "I11 a bad version gets its share at most"
	NoReplacedCalls  = "I12 no call to a replaced version"
	NoUnorderedCalls = "I13 no call to a version that no order allows"
)

// rollBackNotice is the time from the write of a roll-back to the last call at the rolled back version. A node that was
// paused or cut off meanwhile has Bounds.Rollback more.
const rollBackNotice = 500 * time.Millisecond

// Rollouts records the roll-outs of versions in a run. The zero value stands for a run without any.
type Rollouts struct {
	InUse  map[string]string // version in use at the beginning, by service
	Bounds RolloutBounds
	Orders []RolloutOrder
	Ends   []RolloutEnd
	// UnstableUntil is when the last fault of the store or of the network ended. The time in which a bad version is stopped
	// starts again then.
	UnstableUntil time.Duration
}

// RolloutBounds limits what a bad version may get. The zero value stands for no bounds.
type RolloutBounds struct {
	Share    float64 // of the requests between the order and its end
	Slack    int     // further requests
	BadCalls int     // bad responses from which Rollback counts
	Rollback time.Duration
}

// RolloutOrder records an order of the operator.
type RolloutOrder struct {
	Service, Version string
	Revision         uint64 // a later order has a higher one
	At, Duration     time.Duration
}

// RolloutEnd records that the end of a roll-out was stored.
type RolloutEnd struct {
	Service, Version, From string
	Order                  uint64 // revision of the order that was carried out
	Succeeded              bool
	At                     time.Duration
}

// checkRollouts checks the calls that versions got. It checks nothing in a run without orders.
func (c *checker) checkRollouts(h *History) {
	if len(h.Rollouts.Orders) == 0 {
		return
	}
	c.checkVersions(h)
	if h.Rollouts.Bounds.BadCalls == 0 {
		return
	}
	for _, order := range h.Rollouts.Orders {
		c.checkExposure(h, order)
		c.checkStopped(h, order)
	}
}

// checkVersions checks that each request ran on a version that was in use, or that an order allowed at the time. It reports
// the first request of each kind, with their number.
func (c *checker) checkVersions(h *History) {
	found := map[string][]Execution{}
	for _, e := range h.Executions {
		inUse, before := h.versionInUse(e.Service, e.At)
		switch {
		case e.Version == inUse || e.Version == "" || h.isOrdered(e):
		case slices.Contains(before, e.Version):
			found[NoReplacedCalls] = append(found[NoReplacedCalls], e)
		default:
			found[NoUnorderedCalls] = append(found[NoUnorderedCalls], e)
		}
	}
	for _, name := range []string{NoReplacedCalls, NoUnorderedCalls} {
		if all := found[name]; len(all) > 0 {
			e := all[0]
			c.report(name, "%d requests, the first %s from %s on %s at %s at %v", len(all), e.Request.ID, e.From, e.Version, e.Node, e.At)
		}
	}
}

// versionInUse returns the version in use at a time, and those in use before it.
func (h *History) versionInUse(service string, at time.Duration) (inUse string, before []string) {
	inUse = h.Rollouts.InUse[service]
	for _, end := range h.Rollouts.Ends {
		if end.Service == service && end.Succeeded && end.At < at && end.Version != inUse {
			before = append(before, inUse)
			inUse = end.Version
		}
	}
	return inUse, before
}

// isOrdered reports whether an order allowed the version of an execution: it was given, and its roll-out has not ended as
// rolled back for longer than nodes need to hear of that. The end of an earlier order for the same version is not its end.
func (h *History) isOrdered(e Execution) bool {
	notice := rollBackNotice
	if h.Disrupted {
		notice += h.Rollouts.Bounds.Rollback
	}
	allowed := false
	for _, order := range h.Rollouts.Orders {
		if order.Service != e.Service || order.Version != e.Version || order.At > e.At {
			continue
		}
		allowed = true
		for _, end := range h.Rollouts.Ends {
			if end.Service == e.Service && end.Version == e.Version && end.Order >= order.Revision && end.At+notice < e.At {
				allowed = false
			}
		}
	}
	return allowed
}

// checkExposure checks the share of a bad version between an order and its end.
func (c *checker) checkExposure(h *History, order RolloutOrder) {
	all, exposed, bad := 0, 0, 0
	for _, e := range h.Executions {
		if e.Service != order.Service || e.At < order.At || e.At >= order.At+order.Duration {
			continue
		}
		all++
		if e.Version == order.Version {
			exposed++
			if e.BadAt > 0 {
				bad++
			}
		}
	}
	bounds := h.Rollouts.Bounds
	if h.isBad(order.Version) && float64(exposed) > bounds.Share*float64(all)+float64(bounds.Slack) {
		c.report(Exposure, "version %s got %d of %d requests in the time of its order, %d of them were bad", order.Version, exposed, all, bad)
	}
}

// isBad reports whether a version has had as many bad responses as Rollback counts from.
func (h *History) isBad(version string) bool {
	return len(h.badTimes(version, 0)) >= h.Rollouts.Bounds.BadCalls
}

// badTimes returns the times of the bad responses of a version from a time on, in order.
func (h *History) badTimes(version string, from time.Duration) []time.Duration {
	var times []time.Duration
	for _, e := range h.Executions {
		if e.Version == version && e.BadAt > from {
			times = append(times, e.BadAt)
		}
	}
	slices.Sort(times)
	return times
}

// checkStopped checks that a bad version gets no request later than Rollback after so many bad responses that it counts as
// bad, or after the last fault of the store or the network.
func (c *checker) checkStopped(h *History, order RolloutOrder) {
	bounds := h.Rollouts.Bounds
	times := h.badTimes(order.Version, order.At)
	if len(times) < bounds.BadCalls {
		return
	}
	until := max(times[bounds.BadCalls-1], h.Rollouts.UnstableUntil) + bounds.Rollback
	for _, e := range h.Executions {
		if e.Version == order.Version && e.Service == order.Service && e.At > until && !h.isOrderedAgain(order, e.At) {
			c.report(Exposure, "request %s from %s ran on %s at %s at %v, expected none after %v", e.Request.ID, e.From, e.Version, e.Node, e.At, until)
			return
		}
	}
}

// isOrderedAgain reports whether the version of an order was ordered another time by then: its bad responses count anew.
func (h *History) isOrderedAgain(order RolloutOrder, at time.Duration) bool {
	return slices.ContainsFunc(h.Rollouts.Orders, func(o RolloutOrder) bool {
		return o.Version == order.Version && o.At > order.At && o.At <= at
	})
}
