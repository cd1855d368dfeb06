package reducer

import "time"

const (
	// defaultRegistrationTTL is how long a registration of the backend server lasts without a heartbeat, unless the
	// settings give another time.
	defaultRegistrationTTL = 3 * time.Second
	// deregistrationTTL is how long the platform's store keeps a deregistration: longer than a backend server serves after
	// it.
	deregistrationTTL = time.Minute
	// deregistrationStoreTimeout bounds the wait for the store before a deregistration is acknowledged. Backend servers
	// wait 1 s for the acknowledgement; without one they keep serving although no node knows that they are stopping.
	deregistrationStoreTimeout = 400 * time.Millisecond
	// deregistrationRetryInterval is the pause after which a deregistration that was not stored is written again.
	deregistrationRetryInterval = 500 * time.Millisecond
)

// backendIncarnation identifies one run of a backend server process.
type backendIncarnation struct {
	instance string // name that the backend server gave
	born     int64  // start in Unix milliseconds, 0 when it is not known
}

// registrationState orders the registrations and deregistrations of the backend server beside this node.
//
// Invariants: a message older than the newest one has no effect; an incarnation that has deregistered gets no new calls
// again; an incarnation that started before this process becomes ready only once it is known not to have deregistered.
type registrationState struct {
	incarnation backendIncarnation
	sequence    uint64 // newest of this incarnation
	// deregisteredAt holds the newest deregistration by instance; see deregistration.
	deregisteredAt map[string]int64
	// unconfirmed is a registration of an incarnation whose deregistration an earlier process of this node may have
	// acknowledged.
	unconfirmed            *BackendRegistered
	stored                 deregistration            // the newest one that the platform's store keeps
	unstored               deregistration            // the newest one that the store has not confirmed; zero when there is none
	unstoredSince          time.Duration             // when it arrived
	pendingDeregistrations map[Handle]deregistration // not acknowledged until they are stored
}

// deregistration says that the incarnations of an instance that started up to a time have deregistered. A backend server may
// start again under its instance, so that the instance alone names no incarnation.
type deregistration struct {
	instance string
	at       int64 // in Unix milliseconds: the start of the incarnation or, when it is not named, the arrival
}

// covers reports whether d applies to all incarnations that other applies to.
func (d deregistration) covers(other deregistration) bool {
	return d.instance == other.instance && d.at >= other.at
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

// hasDeregistered reports whether a deregistration applies to the incarnation of a registration.
func (r *registrationState) hasDeregistered(in BackendRegistered) bool {
	at, ok := r.deregisteredAt[in.Instance]
	return ok && in.Born <= at
}

// wallClockMillis returns the time in Unix milliseconds. It does not follow adjustments of the instance's clock after the
// start of the process.
func (s *State) wallClockMillis() int64 {
	return int64(time.Duration(s.cfg.Incarnation)/time.Millisecond) + s.now.Milliseconds()
}

// handleBackendRegistered applies a registration, unless it is outdated. One of an incarnation that may have
// deregistered is held back until the store has been asked.
func (s *State) handleBackendRegistered(in BackendRegistered) {
	r := &s.registration
	switch {
	case r.hasDeregistered(in) || r.isOutdated(in):
		s.log(LevelInfo, "registration is older than the one held", Field{"instance", in.Instance}, Field{"born", in.Born},
			Field{"sequence", in.Sequence}, Field{"held_instance", r.incarnation.instance}, Field{"held_born", r.incarnation.born}, Field{"held_sequence", r.sequence})
		s.acknowledge(in.Exchange)
	case !in.Draining && s.mayHaveDeregistered(in):
		s.readDeregistration(in)
		s.acknowledge(in.Exchange)
	default:
		s.applyRegistration(in)
		s.acknowledgeRegistration(in)
	}
}

// mayHaveDeregistered reports whether an incarnation started before this process and has not registered with it yet.
// Its registration may date from before a deregistration that an earlier process of this node acknowledged.
func (s *State) mayHaveDeregistered(in BackendRegistered) bool {
	if !s.cfg.Discover || in.Born == 0 || s.registration.incarnation == (backendIncarnation{in.Instance, in.Born}) {
		return false
	}
	return uint64(in.Born)*uint64(time.Millisecond) < uint64(s.cfg.Incarnation)
}

// readDeregistration asks the store whether an incarnation has deregistered. Without an answer a registration with a
// higher sequence proves that it has not: an incarnation that has deregistered sends none.
func (s *State) readDeregistration(in BackendRegistered) {
	r := &s.registration
	if r.unconfirmed != nil && r.unconfirmed.Instance == in.Instance && in.Sequence > r.unconfirmed.Sequence {
		s.log(LevelInfo, "registration is taken without an answer of the store", Field{"instance", in.Instance}, Field{"born", in.Born},
			Field{"sequence", in.Sequence}, Field{"earlier_sequence", r.unconfirmed.Sequence})
		s.applyRegistration(in)
		return
	}
	if r.unconfirmed == nil || in.Born >= r.unconfirmed.Born {
		r.unconfirmed = &in
	}
	s.emit(ReadDeregistration{Instance: in.Instance})
}

func (s *State) handleDeregistrationRead(in DeregistrationRead) {
	r := &s.registration
	s.log(LevelInfo, "record of a leave was read", Field{"instance", in.Instance}, Field{"result", in.Result.String()}, Field{"left_born", in.At},
		Field{"awaited", r.unconfirmed != nil && r.unconfirmed.Instance == in.Instance})
	if r.unconfirmed == nil || r.unconfirmed.Instance != in.Instance {
		return
	}
	registration := *r.unconfirmed
	switch in.Result {
	case StoreOK:
		s.markDeregistered(registration.Instance, in.At)
		if !r.hasDeregistered(registration) { // the deregistration is of an earlier incarnation
			s.applyRegistration(registration)
		}
	case StoreAbsent:
		s.applyRegistration(registration)
	}
}

// applyRegistration makes the newest registration the current one.
func (s *State) applyRegistration(in BackendRegistered) {
	b, r := &s.backend, &s.registration
	before := *b
	incarnation := backendIncarnation{in.Instance, in.Born}
	isNew := r.incarnation != incarnation || b.address != in.Address
	if r.incarnation != incarnation {
		r.stored = deregistration{} // it does not apply to a new incarnation
	}
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
// stored and acknowledged like a deregistration.
func (s *State) acknowledgeRegistration(in BackendRegistered) {
	if in.Draining {
		s.storeDeregistration(in.Exchange, s.deregistrationOf(in.Instance, in.Born))
		return
	}
	s.acknowledge(in.Exchange)
}

// deregistrationOf returns the deregistration of an incarnation; born is 0 when its message does not name it. Then it applies
// to all that have started by now, and to the one held, whose clock may be ahead. A message that is repeated is the same
// deregistration.
func (s *State) deregistrationOf(instance string, born int64) deregistration {
	r := &s.registration
	switch {
	case born != 0:
		return deregistration{instance, born}
	case r.stored.instance == instance:
		return r.stored
	case r.incarnation.instance == instance:
		return deregistration{instance, max(s.wallClockMillis(), r.incarnation.born)}
	default:
		return deregistration{instance, s.wallClockMillis()}
	}
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
	s.markDeregistered(d.instance, d.at)
	s.storeDeregistration(in.Exchange, d)
}

// maxRememberedDeregistrations bounds the remembered deregistrations. One instance has few of them in a minute, the
// longest time by which a registration may be late.
const maxRememberedDeregistrations = 32

// markDeregistered records a deregistration. Its backend server gets no new calls.
func (s *State) markDeregistered(instance string, at int64) {
	b, r := &s.backend, &s.registration
	before := *b
	if r.deregisteredAt == nil || len(r.deregisteredAt) >= maxRememberedDeregistrations {
		r.deregisteredAt = map[string]int64{}
	}
	r.deregisteredAt[instance] = max(r.deregisteredAt[instance], at)
	if r.unconfirmed != nil && r.unconfirmed.Instance == instance {
		r.unconfirmed = nil
	}
	if r.incarnation.instance == instance && b.state == UpstreamReady {
		b.state = UpstreamDraining
	}
	s.applyBackendChange(before)
}

// storeDeregistration writes a deregistration to the platform's store, because this process may end before the backend
// server does, and acknowledges it once it is stored or deregistrationStoreTimeout has passed.
func (s *State) storeDeregistration(exchange Handle, d deregistration) {
	r := &s.registration
	if !s.cfg.Discover || r.stored.covers(d) {
		s.acknowledge(exchange)
		return
	}
	if r.pendingDeregistrations == nil {
		r.pendingDeregistrations = map[Handle]deregistration{}
	}
	r.pendingDeregistrations[exchange] = d
	s.timers.set(timerKey{kind: timerDeregistrationAck, call: exchange}, s.now+deregistrationStoreTimeout)
	s.emit(StoreDeregistration{Exchange: exchange, Instance: d.instance, At: d.at, TTL: deregistrationTTL})
}

// handleDeregistrationStored acknowledges a deregistration that is stored. One that is not is acknowledged after
// deregistrationStoreTimeout and written again, since this process may end before the backend server does.
func (s *State) handleDeregistrationStored(in DeregistrationStored) {
	r, d := &s.registration, deregistration{in.Instance, in.At}
	if in.Result != StoreOK {
		s.log(LevelWarn, "leave of the backend server is not kept", Field{"instance", in.Instance}, Field{"born", in.At})
		if r.unstored != d {
			r.unstored, r.unstoredSince = d, s.now
		}
		s.timers.set(timerKey{kind: timerDeregistrationRetry}, s.now+deregistrationRetryInterval)
		return
	}
	if !r.stored.covers(d) {
		r.stored = d
	}
	if d.covers(r.unstored) {
		r.unstored = deregistration{}
	}
	s.acknowledgeDeregistration(in.Exchange)
}

// retryDeregistration writes the deregistration that is not stored again, for as long as the store would keep it.
func (s *State) retryDeregistration() {
	r := &s.registration
	if r.unstored.instance == "" || s.now-r.unstoredSince > deregistrationTTL {
		return
	}
	s.emit(StoreDeregistration{Instance: r.unstored.instance, At: r.unstored.at, TTL: deregistrationTTL})
}

// acknowledgeDeregistration acknowledges a deregistration, unless that has been done.
func (s *State) acknowledgeDeregistration(exchange Handle) {
	d, waiting := s.registration.pendingDeregistrations[exchange]
	if !waiting {
		return
	}
	s.log(LevelInfo, "leave of the backend server is confirmed", Field{"instance", d.instance}, Field{"born", d.at}, Field{"stored", s.registration.stored.covers(d)})
	delete(s.registration.pendingDeregistrations, exchange)
	s.timers.cancel(timerKey{kind: timerDeregistrationAck, call: exchange})
	s.acknowledge(exchange)
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
