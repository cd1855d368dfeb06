package pump

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// StoreCopy is a copy of what the store holds.
type StoreCopy struct {
	documents   []tables.Document
	revision    uint64
	leases      map[uint64]lease
	left        map[string]leaveRecord
	leaveWrites uint64
	lastLease   uint64
	rollouts    rollouts
}

// Copy returns a copy of the store.
func (s *Store) Copy() StoreCopy {
	c := StoreCopy{
		documents: slices.Clone(s.documents), revision: s.revision, leases: map[uint64]lease{}, left: maps.Clone(s.left),
		leaveWrites: s.leaveWrites, lastLease: s.lastLease, rollouts: s.rollouts.clone(),
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

func (r rollouts) clone() rollouts {
	return rollouts{maps.Clone(r.orders), maps.Clone(r.states), maps.Clone(r.deciders), maps.Clone(r.ended)}
}

// Restore puts a copy in place of what the store holds and begins a new era. What was written since is gone, and its numbers are
// given out again. The leases of the copy run from now on.
func (s *Store) Restore(c StoreCopy) {
	s.documents, s.revision, s.left = slices.Clone(c.documents), c.revision, maps.Clone(c.left)
	s.leaveWrites, s.lastLease, s.rollouts = c.leaveWrites, c.lastLease, c.rollouts.clone()
	s.leases, s.listedNodes = map[uint64]*lease{}, nil
	for id, l := range c.leases {
		l.expiresAt = s.world.Now + l.ttl
		s.leases[id] = &l
	}
	s.era++
	s.resumeWatches() // which end, because they began in another era
}

// restoreOutage is how long the store is away before it is restored from a copy.
const restoreOutage = 500 * time.Millisecond

// FailAndRestore takes the store away for a moment and brings it back from a copy. The operator then writes the newest document and the
// newest orders again, unless the copy has them.
func (s *Store) FailAndRestore(c StoreCopy) {
	s.Down = true
	s.world.After(restoreOutage, func() {
		s.Down = false
		documents, orders := s.documents[max(len(c.documents), len(s.documents)-1):], maps.Clone(s.rollouts.orders)
		s.Restore(c)
		for _, d := range documents {
			s.documents = append(s.documents, d)
			s.notifyWatches()
		}
		for _, service := range slices.Sorted(maps.Keys(orders)) {
			s.writeOrderAgain(orders[service])
		}
	})
}

// writeOrderAgain writes an order of before the restore, unless the copy has it.
func (s *Store) writeOrderAgain(order rollout.Order) {
	if s.rollouts.orders[order.Service] == order {
		return
	}
	s.notifyWatches()
	order.Revision = s.revision
	s.rollouts.orders[order.Service] = order
}
