package tables

import "slices"

// defaultMinSharePercent is the percentage of slot time that is split evenly among the priorities of a pool's routes,
// except the most urgent one, if the operator sets no minimum shares. It keeps them from starving.
const defaultMinSharePercent = 30

// MinShare is the percentage of slot time that a priority is guaranteed at each upstream of a pool.
type MinShare struct {
	Priority int
	Percent  int
}

// DefaultMinShares returns the minimum shares of a pool for which the operator sets none: one for each priority of its
// routes but the most urgent one, ordered by urgency.
func DefaultMinShares(priorities []int) []MinShare {
	used := slices.Compact(slices.Sorted(slices.Values(priorities)))
	if len(used) < 2 {
		return nil
	}
	var shares []MinShare
	for _, priority := range used[1:] {
		shares = append(shares, MinShare{Priority: priority, Percent: defaultMinSharePercent / len(used[1:])})
	}
	return shares
}
