package rollout

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// At returns the revision of the state.
func (u Update) At() storeera.Revision { return storeera.Revision{Era: u.Era, Number: u.Revision} }

// At returns the revision of the newest update that the sender had applied.
func (r Report) At() storeera.Revision { return storeera.Revision{Era: r.Era, Number: r.Revision} }

// continues reports whether u is of the same roll-out as held. Orders have other revisions in another era, and a state that was
// restored before its order was known has none.
func (u Update) continues(held Update) bool {
	return u.Version == held.Version && (u.Order == held.Order || u.Era != held.Era || held.Order == 0)
}

// KeepsHalt reports whether a roll-out that was halted in held stays halted in u.
func (u Update) KeepsHalt(held Update) bool {
	return held.Halted && u.State == Running && u.continues(held)
}

// CarriesOut reports whether a state of an earlier era is that of an order: the operator writes the order again when the store
// was restored from a copy that lacks it.
func (s Stored) CarriesOut(order Order) bool { return order.Version == s.Status.Version }

// With returns a state with an update that a decider has passed on and the store has lost. duration is that of the order, nowMs
// the time in Unix milliseconds; they stand for what only the lost state has told.
func (s Stored) With(u Update, duration time.Duration, nowMs int64) Stored {
	s.Update = u
	if s.Status.Version != u.Version || s.Status.State != u.State {
		s.Status = Status{State: u.State, Version: u.Version, Reason: "known from other nodes after the store had lost it"}
	}
	if s.StartedAt == 0 {
		s.StartedAt, s.Duration = nowMs, duration
	}
	return s
}

// Restore returns a state of an earlier era to be written in the current one, with its order if that is known.
func Restore(held Stored, order Order, ordered bool, self Node) Stored {
	held.Update.Decider, held.Update.Refresh, held.Update.Order = self, 0, 0
	if ordered && held.CarriesOut(order) {
		held.Update.Order = order.Revision
	}
	return held
}
