package tables

import "slices"

// lessUrgentPercent is the slot time that the priorities of a pool keep together, but for the most urgent one, where the
// operator names no shares: no kind of call may starve.
const lessUrgentPercent = 30

// MinShare is the slot time that a priority keeps at each upstream of a pool.
type MinShare struct {
	Priority int
	Percent  int
}

// DefaultMinShares returns the minimum shares of a pool whose operator names none, for the priorities that its routes
// use, the most urgent first.
func DefaultMinShares(priorities []int) []MinShare {
	used := slices.Compact(slices.Sorted(slices.Values(priorities)))
	if len(used) < 2 {
		return nil
	}
	var shares []MinShare
	for _, priority := range used[1:] {
		shares = append(shares, MinShare{Priority: priority, Percent: lessUrgentPercent / len(used[1:])})
	}
	return shares
}
