package pump

import (
	"maps"
	"slices"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// leaveRecord is the record of a deregistration. It has no lease.
type leaveRecord struct {
	at, leftAt int64  // as in reducer.StoreDeregistration
	revision   uint64 // counts the writes of records
}

// performDeregistration carries out an effect that concerns records of deregistrations and reports whether it is one.
func (s *Store) performDeregistration(n *Node, effect reducer.Effect) bool {
	switch e := effect.(type) {
	case reducer.StoreDeregistration:
		stored := reducer.DeregistrationStored{Exchange: e.Exchange, Instance: e.Instance, At: e.At, Result: reducer.StoreUnknown}
		s.call(n, stored, func() reducer.StoreAnswer {
			s.storeDeregistration(e)
			stored.Result = reducer.StoreOK
			return stored
		})
	case reducer.ReadDeregistration:
		s.call(n, reducer.DeregistrationRead{Instance: e.Instance, Result: reducer.StoreUnknown}, func() reducer.StoreAnswer {
			record, ok := s.left[e.Instance]
			if !ok {
				return reducer.DeregistrationRead{Instance: e.Instance, Result: reducer.StoreAbsent}
			}
			return reducer.DeregistrationRead{Instance: e.Instance, At: record.at, Result: reducer.StoreOK}
		})
	case reducer.ListDeregistrations:
		s.call(n, reducer.DeregistrationsListed{Result: reducer.StoreUnknown}, s.listDeregistrations)
	case reducer.RemoveDeregistrations:
		for _, r := range e.Records {
			if s.left[r.Instance].revision == r.Revision {
				delete(s.left, r.Instance)
			}
		}
	default:
		return false
	}
	return true
}

// storeDeregistration writes a record unless there is one that covers it.
func (s *Store) storeDeregistration(e reducer.StoreDeregistration) {
	if s.left[e.Instance].at < e.At {
		s.leaveWrites++
		s.left[e.Instance] = leaveRecord{e.At, e.LeftAt, s.leaveWrites}
	}
}

func (s *Store) listDeregistrations() reducer.StoreAnswer {
	listed := reducer.DeregistrationsListed{Result: reducer.StoreOK}
	for _, instance := range slices.Sorted(maps.Keys(s.left)) {
		r := s.left[instance]
		listed.Records = append(listed.Records, reducer.StoredDeregistration{Instance: instance, LeftAt: r.leftAt, Revision: r.revision})
	}
	return listed
}
