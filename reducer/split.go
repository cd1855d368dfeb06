package reducer

import (
	"math/bits"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// goldenRatioStep is 2^64 divided by the golden ratio. Multiples of it, modulo 2^64, spread more evenly than random
// numbers: after n draws the share of a pool is off by a few calls, not by the square root of n.
const goldenRatioStep = 0x9e3779b97f4a7c15

// splitState holds the position in the sequence of draws for each split route of the active version.
//
// Each node starts its sequences at random places, so that nodes that start together do not send their first calls to the
// same pool.
type splitState struct {
	positions map[string]uint64 // by route
}

// pickPool selects a pool of a split route by weight. The choice does not depend on the load of the pools: what does not
// fit into a pool is refused, not moved to another.
func (s *State) pickPool(route *tables.Route) string {
	position, known := s.ingress.splits.positions[route.Name]
	if !known {
		position = s.rand
	}
	position += goldenRatioStep
	if s.ingress.splits.positions == nil {
		s.ingress.splits.positions = map[string]uint64{}
	}
	s.ingress.splits.positions[route.Name] = position
	sum := 0
	for _, share := range route.Split {
		sum += share.Weight
	}
	high, _ := bits.Mul64(position, uint64(sum))
	draw := int(high)
	for _, share := range route.Split {
		if draw -= share.Weight; draw < 0 {
			return share.Pool
		}
	}
	panic("reducer: traffic split has no weights")
}

// resetSplits forgets the positions when another version becomes active: its routes may have other weights.
func (s *State) resetSplits() { s.ingress.splits.positions = nil }
