package reducer

import "time"

const (
	// defaultRegistrationTTL is how long a registration of the backend server lasts without a heartbeat, unless the
	// settings give another time.
	defaultRegistrationTTL = 3 * time.Second
	// leaveTTL is how long the platform's store keeps a leave notice: longer than a backend server serves after it.
	leaveTTL = time.Minute
	// leaveStoreTimeout bounds the wait for the store before a leave notice is acknowledged. Backend servers wait 1 s
	// for the acknowledgement; without one they keep serving although no node knows that they are leaving.
	leaveStoreTimeout = 400 * time.Millisecond
)

// backendIncarnation identifies one run of a backend server process.
type backendIncarnation struct {
	instance string // name that the backend server gave
	born     int64  // start in Unix milliseconds, 0 when it is not known
}

// registrationState orders the registrations and leave notices of the backend server beside this node.
//
// Invariants: a message older than the newest one has no effect; an incarnation that has left gets no new calls again;
// an incarnation that started before this process becomes ready only once it is known not to have left.
type registrationState struct {
	incarnation backendIncarnation
	sequence    uint64 // newest of this incarnation
	// leftAt holds the time of each leave notice by instance, in Unix milliseconds by this node's clock. Not every leave
	// notice says which incarnation it is of: it applies to those of this instance that were born before it.
	leftAt map[string]int64
	// unconfirmed is a registration of an incarnation whose leave notice an earlier process of this node may have
	// acknowledged.
	unconfirmed   *BackendRegistered
	storedLeave   string            // instance of the newest leave notice in the platform's store
	pendingLeaves map[Handle]string // instances of leave notices that are not acknowledged until they are stored
}

// isOutdated reports whether a registration is older than the newest one.
func (r *registrationState) isOutdated(in BackendRegistered) bool {
	switch {
	case in.Born != r.incarnation.born:
		return in.Born < r.incarnation.born && in.Born != 0
	case in.Instance != r.incarnation.instance:
		return false
	default:
		return in.Sequence != 0 && in.Sequence <= r.sequence
	}
}

// hasLeft reports whether a leave notice applies to the incarnation of a registration.
func (r *registrationState) hasLeft(in BackendRegistered) bool {
	at, ok := r.leftAt[in.Instance]
	return ok && in.Born <= at
}

// wallClockMillis returns the time in Unix milliseconds. It does not follow adjustments of the instance's clock after the
// start of the process.
func (s *State) wallClockMillis() int64 {
	return int64(time.Duration(s.cfg.Incarnation)/time.Millisecond) + s.now.Milliseconds()
}

func (s *State) handleBackendRegistered(in BackendRegistered) {
	r := &s.registration
	switch {
	case r.hasLeft(in) || r.isOutdated(in):
		s.log(LevelInfo, "registration is older than the one held", Field{"instance", in.Instance}, Field{"born", in.Born},
			Field{"sequence", in.Sequence}, Field{"held_instance", r.incarnation.instance}, Field{"held_born", r.incarnation.born}, Field{"held_sequence", r.sequence})
		s.acknowledge(in.Exchange)
	case !in.Draining && s.mayHaveLeft(in):
		s.queryLeave(in)
		s.acknowledge(in.Exchange)
	default:
		s.applyRegistration(in)
		s.acknowledgeRegistration(in)
	}
}

// mayHaveLeft reports whether an incarnation started before this process and has not registered with it yet. Its
// registration may be a late one from before a leave notice that an earlier process of this node acknowledged.
func (s *State) mayHaveLeft(in BackendRegistered) bool {
	if !s.cfg.Discover || in.Born == 0 || s.registration.incarnation == (backendIncarnation{in.Instance, in.Born}) {
		return false
	}
	return uint64(in.Born)*uint64(time.Millisecond) < uint64(s.cfg.Incarnation)
}

// queryLeave asks the store whether an incarnation has left. Until the store answers, a registration with a higher
// sequence is taken as proof that it has not, because an incarnation that has left sends none.
func (s *State) queryLeave(in BackendRegistered) {
	r := &s.registration
	if r.unconfirmed != nil && r.unconfirmed.Instance == in.Instance && in.Sequence > r.unconfirmed.Sequence {
		s.applyRegistration(in)
		return
	}
	if r.unconfirmed == nil || in.Born >= r.unconfirmed.Born {
		r.unconfirmed = &in
	}
	s.emit(ReadDeregistration{Instance: in.Instance})
}

// handleDeregistrationRead handles the store's answer about the unconfirmed registration.
func (s *State) handleDeregistrationRead(in DeregistrationRead) {
	r := &s.registration
	if r.unconfirmed == nil || r.unconfirmed.Instance != in.Instance {
		return
	}
	registration := *r.unconfirmed
	switch in.Result {
	case StoreOK:
		s.markLeft(registration.Instance, in.At)
		if !r.hasLeft(registration) { // the leave notice is of an earlier incarnation
			s.applyRegistration(registration)
		}
	case StoreAbsent:
		s.applyRegistration(registration)
	}
}

// applyRegistration makes a registration, which must be the newest, the current one.
func (s *State) applyRegistration(in BackendRegistered) {
	b, r := &s.backend, &s.registration
	before := *b
	incarnation := backendIncarnation{in.Instance, in.Born}
	isNew := r.incarnation != incarnation || b.address != in.Address
	if isNew || b.state != UpstreamReady && b.state != UpstreamDraining {
		b.readySince = s.now
	}
	r.incarnation, r.sequence, r.unconfirmed = incarnation, in.Sequence, nil
	b.service, b.address, b.declaredSlots, b.instance = in.Service, in.Address, in.Slots, in.Instance
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

// acknowledgeRegistration acknowledges a registration at once, except that of a backend server that drains. That one is
// stored and acknowledged like a leave notice.
func (s *State) acknowledgeRegistration(in BackendRegistered) {
	if in.Draining {
		s.storeLeave(in.Exchange, in.Instance)
		return
	}
	s.acknowledge(in.Exchange)
}

// handleBackendDeregistered handles a leave notice. That of a backend server unknown to this node is remembered as well, because an
// earlier registration may still arrive.
func (s *State) handleBackendDeregistered(in BackendDeregistered) {
	r := &s.registration
	if in.Born != 0 && in.Instance == r.incarnation.instance && in.Born < r.incarnation.born {
		s.log(LevelInfo, "leave of another life of the backend server", Field{"instance", in.Instance}, Field{"held_born", r.incarnation.born})
		s.acknowledge(in.Exchange)
		return
	}
	s.markLeft(in.Instance, s.wallClockMillis())
	s.storeLeave(in.Exchange, in.Instance)
}

// maxRememberedLeaves bounds the leave notices that are remembered. One instance has few of them in a minute, the longest
// time by which a registration may be late.
const maxRememberedLeaves = 32

// markLeft records a leave notice of the given time, in Unix milliseconds. Its backend server gets no new calls.
func (s *State) markLeft(instance string, at int64) {
	b, r := &s.backend, &s.registration
	before := *b
	if r.leftAt == nil || len(r.leftAt) >= maxRememberedLeaves {
		r.leftAt = map[string]int64{}
	}
	r.leftAt[instance] = at
	if r.unconfirmed != nil && r.unconfirmed.Instance == instance {
		r.unconfirmed = nil
	}
	if r.incarnation.instance == instance && b.state == UpstreamReady {
		b.state = UpstreamDraining
	}
	s.applyBackendChange(before)
}

// storeLeave writes a leave notice to the platform's store, because this process may end before the backend server does.
// The notice is acknowledged once it is stored or leaveStoreTimeout has passed.
func (s *State) storeLeave(exchange Handle, instance string) {
	r := &s.registration
	if !s.cfg.Discover || r.storedLeave == instance {
		s.acknowledge(exchange)
		return
	}
	if r.pendingLeaves == nil {
		r.pendingLeaves = map[Handle]string{}
	}
	r.pendingLeaves[exchange] = instance
	s.timers.set(timerKey{kind: timerLeaveAcknowledgement, call: exchange}, s.now+leaveStoreTimeout)
	s.emit(StoreDeregistration{Exchange: exchange, Instance: instance, At: s.wallClockMillis(), TTL: leaveTTL})
}

func (s *State) handleDeregistrationStored(in DeregistrationStored) {
	if in.Result != StoreOK {
		s.log(LevelWarn, "leave of the backend server is not kept", Field{"instance", s.registration.pendingLeaves[in.Exchange]})
		return // acknowledged after leaveStoreTimeout
	}
	s.registration.storedLeave = s.registration.pendingLeaves[in.Exchange]
	s.acknowledgeLeave(in.Exchange)
}

// acknowledgeLeave acknowledges a leave notice, unless that has been done.
func (s *State) acknowledgeLeave(exchange Handle) {
	if _, waiting := s.registration.pendingLeaves[exchange]; !waiting {
		return
	}
	delete(s.registration.pendingLeaves, exchange)
	s.timers.cancel(timerKey{kind: timerLeaveAcknowledgement, call: exchange})
	s.acknowledge(exchange)
}

// acknowledge answers a registration or a leave notice. Exchange is 0 when nobody waits for the answer.
func (s *State) acknowledge(exchange Handle) {
	if exchange != 0 {
		s.emit(AcknowledgeBackend{Exchange: exchange})
	}
}

// handleMisdirected handles a response that says that another backend server has the address, so that the registered one
// no longer exists.
func (s *State) handleMisdirected() {
	if s.backend.state == UpstreamReady || s.backend.state == UpstreamDraining {
		s.expireRegistration()
	}
}
