package balance

import "time"

// otherZoneDivisor is the part of the typical service time that a call must save in another zone: half. In the simulation of
// docs/design/load-balancing.md it saves a third of the bytes between zones at no cost to callers.
const otherZoneDivisor = 2

// Cost returns the time in which an upstream is expected to complete a call, for comparison with others: the wait for a slot
// and the service time, which counts up to twice by the part of the slots that is in use. A slot that is free now may be
// taken by the calls of other nodes before this one arrives, and reports do not show those calls.
func Cost(wait, service time.Duration, busy, slots int) time.Duration {
	return wait + service + service*time.Duration(min(busy, slots))/time.Duration(max(slots, 1))
}

// OtherZoneMargin returns by how much the cost in another zone must be lower, beyond the margin for waits.
func OtherZoneMargin(typical time.Duration) time.Duration { return typical / otherZoneDivisor }
