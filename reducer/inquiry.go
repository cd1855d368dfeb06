package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

const (
	// inquiryInterval is how often a node that has started, or holds a registration back, looks for more nodes to ask.
	inquiryInterval = 100 * time.Millisecond
	// askedForHeld is how many nodes a process that has started asks for what they hold. Some of those that were
	// asked to hold it may have gone.
	askedForHeld = 5
	// clockMargin bounds by how much the clock of the instance is set back between the start of a backend server and
	// that of a process.
	clockMargin = 10 * time.Second
)

// isOlderThanProcess reports whether an incarnation started before this process, and has not registered with it yet. Its
// registration may date from before a deregistration that an earlier process of this node acknowledged.
func (s *State) isOlderThanProcess(in BackendRegistered) bool {
	return s.mayBeOlderThanProcess(in) && in.Born < s.startMillis()
}

// mayBeOlderThanProcess is isOlderThanProcess if the clock of the instance was set back meanwhile.
func (s *State) mayBeOlderThanProcess(in BackendRegistered) bool {
	if !s.cfg.Discover || in.Born == 0 || s.registration.incarnation == (backendIncarnation{in.Instance, in.Born}) {
		return false
	}
	return in.Born < s.startMillis()+clockMargin.Milliseconds()
}

// startMillis returns the start of this process in Unix milliseconds.
func (s *State) startMillis() int64 {
	return int64(time.Duration(s.cfg.Incarnation) / time.Millisecond)
}

// inquire asks the store, and the nodes that hold deregistrations for this one, whether an incarnation has
// deregistered. Further registrations prove nothing: they may have been sent before it, too.
func (s *State) inquire(in BackendRegistered) {
	r := &s.registration
	switch held := r.unconfirmed; {
	case held == nil || in.Born > held.Born || in.Born == held.Born && in.Instance != held.Instance:
		r.unconfirmed, r.unconfirmedAt = &in, s.now
		r.inquiry.Begin()
	case in.Born == held.Born && in.Sequence > held.Sequence:
		r.unconfirmed, r.unconfirmedAt = &in, s.now
	}
	if r.storeLost {
		r.inquiry.StoreLost()
	}
	r.inquiry.Registered(s.now)
	s.emit(ReadDeregistration{Instance: in.Instance})
	s.advanceInquiry()
}

// advanceInquiry asks nodes, after the start, for the deregistrations that they hold, and decides about a
// registration that was held back until it is taken or lapses.
func (s *State) advanceInquiry() {
	r := &s.registration
	if r.unconfirmed != nil && s.now-r.unconfirmedAt > s.registrationTTL() {
		r.unconfirmed = nil
	}
	if !r.inquiry.PeersDone(s.now) {
		for _, node := range r.inquiry.Ask(s.holders(askedForHeld), s.now) {
			s.emit(Send{To: s.members.table[NodeID(node)].Ref(), Message: HoldDeregistrations{}})
		}
	} else if r.unconfirmed == nil {
		return
	}
	s.timers.set(timerKey{kind: timerDeregistrationInquiry}, s.now+inquiryInterval)
	s.concludeInquiry()
}

// handleDeregistrationRead applies the record of a deregistration, whether or not its incarnation is in use by now.
func (s *State) handleDeregistrationRead(in DeregistrationRead) {
	r := &s.registration
	awaited := r.unconfirmed != nil && r.unconfirmed.Instance == in.Instance
	s.log(LevelInfo, "record of a leave was read", Field{"instance", in.Instance}, Field{"result", in.Result.String()}, Field{"left_born", in.At}, Field{"awaited", awaited})
	s.noteStoreAnswer(in.Result != StoreUnknown)
	switch in.Result {
	case StoreOK:
		d := deregistration.Record{Instance: in.Instance, At: in.At}
		s.applyDeregistration(d)
		r.ledger.Stored(d)
		s.renewCopies()
	case StoreAbsent:
	default:
		if awaited {
			r.inquiry.StoreLost()
		}
		return
	}
	if r.unverified.instance == in.Instance {
		r.unverified = backendIncarnation{}
	}
	if r.unconfirmed != nil && awaited { // the record, if there is one, is of another incarnation
		r.inquiry.Absent()
		s.concludeInquiry()
	}
}

// concludeInquiry makes the registration that was held back the current one once its incarnation is known not to have
// deregistered.
func (s *State) concludeInquiry() {
	r := &s.registration
	if r.unconfirmed == nil || !r.inquiry.Cleared(s.now) {
		return
	}
	in := *r.unconfirmed
	if !r.inquiry.IsAbsent() {
		s.log(LevelInfo, "registration is taken without an answer of the store", Field{"instance", in.Instance}, Field{"born", in.Born}, Field{"sequence", in.Sequence})
		r.unverified = backendIncarnation{in.Instance, in.Born}
	}
	s.applyRegistration(in)
}

// verify asks the store about an incarnation that is in use before the store has said whether it has deregistered:
// one that the process did not wait for, or that is younger than the process only by a clock that may have been set
// back.
func (s *State) verify(in BackendRegistered) {
	r := &s.registration
	if s.mayBeOlderThanProcess(in) {
		r.unverified = backendIncarnation{in.Instance, in.Born}
	}
	if r.unverified == (backendIncarnation{in.Instance, in.Born}) {
		s.emit(ReadDeregistration{Instance: in.Instance})
	}
}
