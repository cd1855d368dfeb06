package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// orderSettleTime is how long an order that is missing or differs after a restore of the store is not acted on: the operator writes
// the orders again that the copy lacks.
const orderSettleTime = 3 * time.Second

// restartRollouts begins a new era: the orders are read anew, and this node decides nothing until it has a lease of the era. What
// its deciders have observed stays.
func (s *State) restartRollouts() {
	if !s.cfg.Rollouts.Enabled {
		return
	}
	r := &s.rollouts
	r.revision, r.hasRead, r.watch.inFlight = storeera.Revision{}, false, false
	r.orders, r.settledAt = map[string]rollout.Order{}, s.now+orderSettleTime
	for _, lead := range r.leads {
		decider := lead.decider
		s.loseLead(lead)
		lead.decider, lead.holdAt = decider, s.now
	}
	s.readRolloutsNow()
}

// newestRollout returns the newest state of a roll-out that this node knows. In a new era it may be one of before that a decider
// has passed on and the store has lost.
func (s *State) newestRollout(service string) rollout.Stored {
	stored, passed := s.rollouts.stored[service], s.rollouts.view.Update(service)
	if passed.Era >= s.storeEra.Current() || !passed.At().IsAfter(stored.Update.At()) {
		return stored
	}
	return stored.With(passed, s.rollouts.orders[service].Duration, s.wallClockMillis())
}

// isOfEarlierEra reports whether a state has to be written again, so that its revisions can be compared with those of the era.
func (s *State) isOfEarlierEra(stored rollout.Stored) bool {
	return stored.Update.Revision > 0 && stored.Update.Era < s.storeEra.Current()
}

// hasRolloutWork reports whether a decider has something to do for a service.
func (s *State) hasRolloutWork(service string) bool {
	newest := s.newestRollout(service)
	return newest.Update.State == rollout.Running || s.isOfEarlierEra(newest) || s.rollouts.orders[service].Revision > newest.Update.Order
}

// awaitsOrder reports whether the order of a state may still be written again after a restore.
func (s *State) awaitsOrder(service string, newest rollout.Stored) bool {
	order, ordered := s.rollouts.orders[service]
	return s.now < s.rollouts.settledAt && newest.Update.Revision > 0 && !(ordered && newest.CarriesOut(order))
}

// restoreRollout writes the newest state of a roll-out again that is of an earlier era, and reports whether it is one. A roll-out
// that runs does not wait for its order.
func (s *State) restoreRollout(service string, lead *rolloutLead) bool {
	newest := s.newestRollout(service)
	if !s.isOfEarlierEra(newest) {
		return false
	}
	if newest.Update.State == rollout.Running || !s.awaitsOrder(service, newest) {
		order, ordered := s.rollouts.orders[service]
		s.log(LevelInfo, "roll-out state of an earlier era is written again", Field{"service", service}, Field{"software", newest.Update.Version},
			Field{"state", newest.Update.State.String()}, Field{"era", newest.Update.Era}, Field{"revision", newest.Update.Revision}, Field{"order", order.Revision})
		s.writeRollout(lead, rollout.Restore(newest, order, ordered, s.rolloutSelf()))
	}
	return true
}

// noteLostStates notes which states of an earlier era the store does not hold any more. A write expects no such key then.
func (s *State) noteLostStates(read []rollout.Stored) {
	present := map[string]bool{}
	for _, stored := range read {
		present[stored.Update.Service] = true
	}
	for service, held := range s.rollouts.stored {
		if !present[service] && s.isOfEarlierEra(held) {
			held.Revision = 0
			s.rollouts.stored[service] = held
		}
	}
}
