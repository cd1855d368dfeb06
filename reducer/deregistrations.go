package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

const (
	// deregistrationOverdueAfter bounds the wait for both the store and another node to have a deregistration. Then one of
	// them will do.
	deregistrationOverdueAfter = 400 * time.Millisecond
	// deregistrationAckTimeout bounds the wait for the acknowledgement. Backend servers wait 1 s for it.
	deregistrationAckTimeout = 800 * time.Millisecond
	// deregistrationRetryInterval is the pause after which deregistrations that are not stored are written again. In a long
	// outage it grows to maxDeregistrationRetryInterval.
	deregistrationRetryInterval    = 500 * time.Millisecond
	maxDeregistrationRetryInterval = 5 * time.Second
)

// deregistrationOf returns the deregistration of an incarnation; born is 0 when its message does not name it. Then it
// applies to all that have started by now, and to the one held, whose clock may be ahead. A message that is repeated
// is the same deregistration.
func (s *State) deregistrationOf(instance string, born int64) deregistration.Record {
	r := &s.registration
	if born != 0 {
		return deregistration.Record{Instance: instance, At: born}
	}
	held := int64(0)
	if r.incarnation.instance == instance {
		held = r.incarnation.born
	}
	if known, ok := r.ledger.Find(instance); ok && known.At >= held {
		return known
	}
	return deregistration.Record{Instance: instance, At: max(s.wallClockMillis(), held)}
}

// handleBackendDeregistered applies a deregistration. One of an unknown backend server is remembered as well, because
// an earlier registration may still arrive.
func (s *State) handleBackendDeregistered(in BackendDeregistered) {
	r := &s.registration
	if in.Born != 0 && in.Instance == r.incarnation.instance && in.Born < r.incarnation.born {
		s.log(LevelInfo, "leave of another life of the backend server", Field{"instance", in.Instance}, Field{"held_born", r.incarnation.born})
		s.acknowledge(in.Exchange)
		return
	}
	d := s.deregistrationOf(in.Instance, in.Born)
	s.applyDeregistration(d)
	s.keepDeregistration(in.Exchange, d)
}

// applyDeregistration records a deregistration. Its backend server gets no new calls.
func (s *State) applyDeregistration(d deregistration.Record) {
	b, r := &s.backend, &s.registration
	before := *b
	r.ledger.Note(d, deregistration.Final, s.now)
	if r.unconfirmed != nil && r.ledger.Applies(r.unconfirmed.Instance, r.unconfirmed.Born) {
		r.unconfirmed = nil
	}
	if b.state == UpstreamReady && r.ledger.Applies(r.incarnation.instance, r.incarnation.born) {
		b.state = UpstreamDraining
	}
	s.applyBackendChange(before)
}

// keepDeregistration acknowledges a deregistration once it is kept outside this process, which may end before the
// backend server does: by the platform's store and by another node, which holds it for as long as a registration of before
// may be on its way, or by one of them if the other does not answer in time.
func (s *State) keepDeregistration(exchange Handle, d deregistration.Record) {
	r := &s.registration
	if !s.cfg.Discover || r.ledger.IsKept(d, s.possibleHolders()) {
		s.acknowledge(exchange)
		return
	}
	r.ledger.Note(d, deregistration.Draining, s.now)
	if exchange != 0 {
		r.ledger.Await(deregistration.Exchange(exchange), d)
		s.timers.set(timerKey{kind: timerDeregistrationOverdue, call: exchange}, s.now+deregistrationOverdueAfter)
		s.timers.set(timerKey{kind: timerDeregistrationAck, call: exchange}, s.now+deregistrationAckTimeout)
	}
	s.emit(StoreDeregistration{Exchange: exchange, Instance: d.Instance, At: d.At, LeftAt: s.wallClockMillis()})
	s.renewCopies()
}

// handleDeregistrationStored acknowledges a deregistration that is stored. One that is not is written again, and
// other nodes hold it meanwhile.
func (s *State) handleDeregistrationStored(in DeregistrationStored) {
	r, d := &s.registration, deregistration.Record{Instance: in.Instance, At: in.At}
	if in.Result == StoreOK {
		r.ledger.Stored(d)
		s.acknowledgeKept()
		return
	}
	s.log(LevelWarn, "leave of the backend server is not stored", Field{"instance", in.Instance}, Field{"born", in.At}, Field{"result", in.Result.String()})
	s.timers.set(timerKey{kind: timerDeregistrationRetry}, s.now+deregistrationRetryPause(r.ledger.UnstoredFor(s.now)))
	s.noteOverdue(in.Exchange)
}

// deregistrationRetryPause returns the pause before the next attempt to store a deregistration that has not been stored
// for a time.
func deregistrationRetryPause(unstored time.Duration) time.Duration {
	return min(max(unstored/8, deregistrationRetryInterval), maxDeregistrationRetryInterval)
}

// retryDeregistrations writes the deregistrations that are not stored again. Nodes that have taken the place of
// holders that have gone or started again hold them meanwhile.
func (s *State) retryDeregistrations() {
	ledger := &s.registration.ledger
	for _, d := range ledger.Unstored(s.now) {
		s.emit(StoreDeregistration{Instance: d.Instance, At: d.At, LeftAt: s.wallClockMillis()})
		if ledger.IsHeld(d) {
			s.sendToHolders(d)
		}
	}
}

// restoreDeregistrations writes deregistrations again that the store may have lost.
func (s *State) restoreDeregistrations() {
	if s.registration.ledger.ForgetStored() {
		s.timers.set(timerKey{kind: timerDeregistrationRetry}, s.now+s.jitter(deregistrationRetryInterval))
	}
}

// noteOverdue acknowledges a deregistration that an exchange waits for if the store has it or enough other nodes hold it, and
// asks other nodes again to hold it.
func (s *State) noteOverdue(exchange Handle) {
	if d, waiting := s.registration.ledger.Waiting(deregistration.Exchange(exchange)); waiting {
		s.registration.ledger.Overdue(d)
		s.sendToHolders(d)
		s.acknowledgeKept()
	}
}

// acknowledgeKept acknowledges the deregistrations that are kept by now.
func (s *State) acknowledgeKept() {
	r := &s.registration
	for _, kept := range r.ledger.TakeKept(s.possibleHolders()) {
		s.cancelDeregistrationTimers(Handle(kept.Exchange))
		s.log(LevelInfo, "leave of the backend server is confirmed", Field{"instance", kept.Record.Instance}, Field{"born", kept.Record.At}, Field{"stored", r.ledger.IsStored(kept.Record)})
		s.acknowledge(Handle(kept.Exchange))
	}
}

// refuseDeregistration tells the backend server that its deregistration is not kept. It gets no new calls all the same, and
// repeats the deregistration.
func (s *State) refuseDeregistration(exchange Handle) {
	r := &s.registration
	d, waiting := r.ledger.Waiting(deregistration.Exchange(exchange))
	if !waiting {
		return
	}
	r.ledger.End(deregistration.Exchange(exchange))
	s.cancelDeregistrationTimers(exchange)
	s.log(LevelWarn, "leave of the backend server is not confirmed", Field{"instance", d.Instance}, Field{"born", d.At}, Field{"peers", s.members.livePeers})
	s.emit(AcknowledgeBackend{Exchange: exchange, Refused: true})
}

func (s *State) cancelDeregistrationTimers(exchange Handle) {
	s.timers.cancel(timerKey{kind: timerDeregistrationOverdue, call: exchange})
	s.timers.cancel(timerKey{kind: timerDeregistrationAck, call: exchange})
}
