package pump

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// rollouts holds the orders, states and deciders of roll-outs in the fake store, by service.
type rollouts struct {
	orders   map[string]rollout.Order
	states   map[string]rollout.Stored
	deciders map[string]decider
	ended    map[string]time.Duration // when the state became other than running
}

type decider struct {
	node  reducer.NodeID
	lease uint64
	fence uint64
}

// Order writes the order of a roll-out, as the operator does. Its revision is set.
func (s *Store) Order(order rollout.Order) {
	s.notifyWatches()
	order.Revision = s.revision
	if s.rollouts.orders == nil {
		s.rollouts = rollouts{map[string]rollout.Order{}, map[string]rollout.Stored{}, map[string]decider{}, map[string]time.Duration{}}
	}
	s.rollouts.orders[order.Service] = order
	history := &s.world.History.Rollouts
	history.Orders = append(history.Orders, invariant.RolloutOrder{
		Service: order.Service, Version: order.Version, Revision: order.Revision, At: s.world.Now, Duration: order.Duration,
	})
}

// Withdraw removes an order.
func (s *Store) Withdraw(service string) {
	delete(s.rollouts.orders, service)
	s.notifyWatches()
}

// Rollout returns the stored state of a roll-out, and when it ended.
func (s *Store) Rollout(service string) (rollout.Stored, time.Duration) {
	return s.rollouts.states[service], s.rollouts.ended[service]
}

// Decider returns the node that holds the lease of a roll-out, or nil.
func (s *Store) Decider(service string) *Node {
	if d, ok := s.rollouts.deciders[service]; ok && s.unexpiredLease(d.lease) != nil {
		return s.world.nodes[d.node]
	}
	return nil
}

// performRollout carries out an effect that concerns roll-outs and reports whether it is one.
func (s *Store) performRollout(n *Node, effect reducer.Effect) bool {
	switch e := effect.(type) {
	case reducer.ReadRollouts:
		s.call(n, reducer.RolloutsRead{Result: reducer.StoreUnknown}, s.readRollouts)
	case reducer.WatchRollouts:
		s.watchRollouts(n, e, n.world.Now+watchTimeout)
	case reducer.HoldRolloutLease:
		s.call(n, reducer.RolloutLeaseHeld{Service: e.Service, Result: reducer.StoreUnknown, Lease: e.Lease}, func() reducer.StoreAnswer { return s.holdRolloutLease(e) })
	case reducer.WriteRollout:
		s.call(n, reducer.RolloutWritten{Service: e.Rollout.Update.Service, Result: reducer.StoreUnknown}, func() reducer.StoreAnswer { return s.writeRollout(e) })
	default:
		return false
	}
	return true
}

func (s *Store) readRollouts() reducer.StoreAnswer {
	read := reducer.RolloutsRead{Result: reducer.StoreOK, Revision: s.revision}
	for _, service := range slices.Sorted(maps.Keys(s.rollouts.orders)) {
		read.Orders = append(read.Orders, s.rollouts.orders[service])
	}
	for _, service := range slices.Sorted(maps.Keys(s.rollouts.states)) {
		read.States = append(read.States, s.rollouts.states[service])
	}
	return read
}

func (s *Store) watchRollouts(n *Node, e reducer.WatchRollouts, until time.Duration) {
	n.after(StoreDelay+s.ExtraDelay, func() {
		switch {
		case s.isDownFor(n) || s.LoseAnswers:
			n.post(callTimeout, reducer.RolloutsChanged{Result: reducer.StoreUnknown, After: e.After})
		case s.revision < e.After.Number:
			s.answer(n, reducer.RolloutsChanged{Result: reducer.StoreHistoryGone, After: e.After})
		case s.revision > e.After.Number || n.world.Now >= until:
			s.answer(n, reducer.RolloutsChanged{Result: reducer.StoreOK, After: e.After, Revision: s.revision})
		default:
			s.awaitWrite(n, func() { s.watchRollouts(n, e, until) }, reducer.RolloutsChanged{Result: reducer.StoreUnknown, After: e.After})
		}
	})
}

func (s *Store) holdRolloutLease(e reducer.HoldRolloutLease) reducer.StoreAnswer {
	held := reducer.RolloutLeaseHeld{Service: e.Service, Result: reducer.StoreOK, Lease: e.Lease}
	if e.Lease != 0 {
		if l := s.unexpiredLease(e.Lease); l != nil {
			l.expiresAt = s.world.Now + l.ttl
			return held
		}
		held.Result = reducer.StoreNoLease
		return held
	}
	if s.Decider(e.Service) != nil {
		held.Result = reducer.StoreConflict
		return held
	}
	granted := s.grant(reducer.GrantLease{TTL: e.TTL}).(reducer.LeaseGranted)
	s.revision++
	held.Lease, held.Fence = granted.Lease, s.revision
	s.rollouts.deciders[e.Service] = decider{e.Node, granted.Lease, s.revision}
	return held
}

func (s *Store) writeRollout(e reducer.WriteRollout) reducer.StoreAnswer {
	service := e.Rollout.Update.Service
	written := reducer.RolloutWritten{Service: service, Result: reducer.StoreConflict}
	d := s.rollouts.deciders[service]
	if s.unexpiredLease(d.lease) == nil || d.fence != e.Fence || s.rollouts.states[service].Revision != e.Rollout.Revision {
		return written
	}
	s.revision++
	state := e.Rollout
	state.Revision, state.Update.Revision = s.revision, s.revision
	if state.Update.State != rollout.Running {
		s.rollouts.ended[service] = s.world.Now
	}
	if s.rollouts.states[service].Update.State == rollout.Running && state.Update.State != rollout.Running {
		history := &s.world.History.Rollouts
		history.Ends = append(history.Ends, invariant.RolloutEnd{
			Service: service, Order: state.Update.Order, Version: state.Update.Version, From: state.Update.From, Succeeded: state.Update.State == rollout.Succeeded, At: s.world.Now,
		})
	}
	s.rollouts.states[service] = state
	written.Result, written.Revision = reducer.StoreOK, s.revision
	return written
}
