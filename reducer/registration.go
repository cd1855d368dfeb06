package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

// defaultRegistrationTTL is how long a registration of the backend server lasts without a heartbeat, unless the
// settings give another time.
const defaultRegistrationTTL = 3 * time.Second

// backendIncarnation identifies one run of a backend server process.
type backendIncarnation struct {
	instance string // name that the backend server gave
	born     int64  // start in Unix milliseconds, 0 when it is not known
}

// registrationState orders the registrations and deregistrations of the backend server beside this node.
//
// Invariants: a message older than the newest one has no effect; an incarnation that has deregistered gets no new calls
// again; an incarnation that started before this process becomes ready only once it is known not to have deregistered; a
// deregistration is acknowledged only once it is kept.
type registrationState struct {
	incarnation backendIncarnation
	sequence    uint64 // newest of this incarnation
	ledger      deregistration.Ledger
	keeper      deregistration.Keeper // of other nodes
	// unconfirmed is a registration of an incarnation whose deregistration an earlier process of this node may have
	// acknowledged, and inquiry what is known of such deregistrations.
	unconfirmed   *BackendRegistered
	unconfirmedAt time.Duration // when it arrived
	inquiry       deregistration.Inquiry
	// unverified is an incarnation that is in use although the store has not said yet whether it has deregistered.
	unverified backendIncarnation
	storeLost  bool // the store has left a call without an answer since the start
}

// isOutdated reports whether a registration is older than the newest one. One without a start time or a sequence that the
// newest one has cannot be ordered, and counts as older: it comes from another writer.
func (r *registrationState) isOutdated(in BackendRegistered) bool {
	switch {
	case in.Born != r.incarnation.born:
		return in.Born < r.incarnation.born
	case in.Instance != r.incarnation.instance:
		return false
	default:
		return in.Sequence <= r.sequence && r.sequence != 0
	}
}

// wallClockMillis returns the time in Unix milliseconds. It does not follow adjustments of the instance's clock after the
// start of the process.
func (s *State) wallClockMillis() int64 {
	return s.startMillis() + s.now.Milliseconds()
}

// handleBackendRegistered applies a registration, unless it is outdated. One of an incarnation that may have
// deregistered is held back until the store has been asked.
func (s *State) handleBackendRegistered(in BackendRegistered) {
	r := &s.registration
	switch {
	case r.ledger.Applies(in.Instance, in.Born) || r.isOutdated(in):
		s.log(LevelInfo, "registration is older than the one held", Field{"instance", in.Instance}, Field{"born", in.Born},
			Field{"sequence", in.Sequence}, Field{"held_instance", r.incarnation.instance}, Field{"held_born", r.incarnation.born}, Field{"held_sequence", r.sequence})
		s.acknowledgeRegistration(in)
	case !in.Draining && s.isOlderThanProcess(in):
		s.inquire(in)
		s.acknowledge(in.Exchange)
	default:
		if !in.Draining {
			s.verify(in)
		}
		s.applyRegistration(in)
		s.acknowledgeRegistration(in)
	}
}

// applyRegistration makes the newest registration the current one.
func (s *State) applyRegistration(in BackendRegistered) {
	b, r := &s.backend, &s.registration
	before := *b
	incarnation := backendIncarnation{in.Instance, in.Born}
	isNew := r.incarnation != incarnation || b.address != in.Address
	if isNew || b.state != UpstreamReady && b.state != UpstreamDraining {
		b.readySince = s.now
		s.target.capacity.Forget()
	}
	r.incarnation, r.sequence, r.unconfirmed = incarnation, in.Sequence, nil
	b.service, b.address, b.declaredSlots, b.instance = in.Service, in.Address, in.Slots, in.Instance
	b.version, b.coldUntil = in.Version, s.now+in.ColdLeft
	b.state = UpstreamReady
	if in.Draining {
		b.state = UpstreamDraining
	}
	s.timers.set(timerKey{kind: timerRegistrationExpiry}, s.now+s.registrationTTL())
	if before.address != b.address || before.declaredSlots != b.declaredSlots {
		s.emit(ConfigureBackend{Address: b.address, MaxConnections: b.declaredSlots})
	}
	s.applyBackendChange(before)
}

func (s *State) registrationTTL() time.Duration {
	if s.cfg.RegistrationTTL > 0 {
		return s.cfg.RegistrationTTL
	}
	return defaultRegistrationTTL
}

// acknowledgeRegistration acknowledges a registration at once, except that of a draining backend server, which is
// kept and acknowledged like a deregistration.
func (s *State) acknowledgeRegistration(in BackendRegistered) {
	if in.Draining {
		s.keepDeregistration(in.Exchange, s.deregistrationOf(in.Instance, in.Born))
		return
	}
	s.acknowledge(in.Exchange)
}

// acknowledge answers a registration or a deregistration. exchange is 0 when nobody waits for the answer.
func (s *State) acknowledge(exchange Handle) {
	if exchange != 0 {
		s.emit(AcknowledgeBackend{Exchange: exchange})
	}
}

// handleMisdirected expires the registration, because another backend server now has the address and the registered one
// no longer exists.
func (s *State) handleMisdirected() {
	if s.backend.state == UpstreamReady || s.backend.state == UpstreamDraining {
		s.expireRegistration()
	}
}
