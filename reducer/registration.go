package reducer

import "time"

const (
	// registrationTTL is how long a registration of the backend server lasts without a heartbeat, unless the settings
	// say otherwise.
	registrationTTL = 3 * time.Second
	// leaveKeepTime is how long the platform's store keeps a leave: longer than a backend server serves after it.
	leaveKeepTime = time.Minute
	// leaveKeepWait bounds the wait for the store before a leave is acknowledged. Backend servers wait 1 s for the
	// acknowledgement, and without one they go on to serve unheard.
	leaveKeepWait = 400 * time.Millisecond
)

// life is one life of a backend server, as far as what it says can be ordered.
type life struct {
	instance string // names the life
	born     int64  // start in Unix milliseconds, 0 when it is not known
}

// registrationState orders what the backend server beside this node says.
//
// Invariants: nothing that it said before what is held here changes anything, a life that has left gets no new work
// again, and a life that is older than this process is ready only once it is known not to have left before.
type registrationState struct {
	life     life
	sequence uint64 // newest within the life
	// gone holds, by instance, when lives said that they leave, in Unix milliseconds by this node's clock. A life of the
	// same name that was born before is the one that left; a leave does not always say which life it is of.
	gone map[string]int64
	// unsure is a registration of a life that an earlier process here may have acknowledged to be leaving.
	unsure *BackendRegistered
	kept   string            // instance of the newest leave that the platform's store keeps
	acks   map[Handle]string // leaves that are acknowledged once the store keeps them
}

// ordersBefore reports whether a registration is older than what is held.
func (r *registrationState) ordersBefore(in BackendRegistered) bool {
	switch {
	case in.Born != r.life.born:
		return in.Born < r.life.born && in.Born != 0
	case in.Instance != r.life.instance:
		return false
	default:
		return in.Sequence != 0 && in.Sequence <= r.sequence
	}
}

// hasLeft reports whether the life of a registration has said that it leaves.
func (r *registrationState) hasLeft(in BackendRegistered) bool {
	at, ok := r.gone[in.Instance]
	return ok && in.Born <= at
}

// wallClock returns the time in Unix milliseconds, by the clock of this instance at the start of the process.
func (s *State) wallClock() int64 {
	return int64(time.Duration(s.cfg.Incarnation)/time.Millisecond) + s.now.Milliseconds()
}

func (s *State) backendRegistered(in BackendRegistered) {
	r := &s.registration
	switch {
	case r.hasLeft(in) || r.ordersBefore(in):
		s.log(LevelInfo, "registration is older than the one held", Field{"instance", in.Instance}, Field{"born", in.Born},
			Field{"sequence", in.Sequence}, Field{"held_instance", r.life.instance}, Field{"held_born", r.life.born}, Field{"held_sequence", r.sequence})
		s.acknowledge(in.Exchange)
	case !in.Draining && s.mayHaveLeft(in):
		s.askLeave(in)
		s.acknowledge(in.Exchange)
	default:
		s.register(in)
		s.acknowledgeRegistration(in)
	}
}

// mayHaveLeft reports whether a life began before this process and nothing is known of it yet. A registration from
// before a leave that an earlier process here acknowledged may arrive late.
func (s *State) mayHaveLeft(in BackendRegistered) bool {
	if !s.cfg.Discover || in.Born == 0 || s.registration.life == (life{in.Instance, in.Born}) {
		return false
	}
	return uint64(in.Born)*uint64(time.Millisecond) < uint64(s.cfg.Incarnation)
}

// askLeave asks the store whether a life has left. Without an answer a second, later registration decides: a life that
// has left sends none.
func (s *State) askLeave(in BackendRegistered) {
	r := &s.registration
	if r.unsure != nil && r.unsure.Instance == in.Instance && in.Sequence > r.unsure.Sequence {
		s.register(in)
		return
	}
	if r.unsure == nil || in.Born >= r.unsure.Born {
		r.unsure = &in
	}
	s.emit(ReadDeregistration{Instance: in.Instance})
}

func (s *State) leaveRead(in DeregistrationRead) {
	r := &s.registration
	if r.unsure == nil || r.unsure.Instance != in.Instance {
		return
	}
	unsure := *r.unsure
	switch in.Result {
	case StoreOK:
		s.leaves(unsure.Instance, in.At)
		if !r.hasLeft(unsure) { // it was born after the one that left
			s.register(unsure)
		}
	case StoreAbsent:
		s.register(unsure)
	}
}

// register takes over a registration that is the newest.
func (s *State) register(in BackendRegistered) {
	b, r := &s.backend, &s.registration
	before := *b
	now := life{in.Instance, in.Born}
	newLife := r.life != now || b.address != in.Address
	if newLife || b.state != UpstreamReady && b.state != UpstreamDraining {
		b.readySince = s.now
	}
	r.life, r.sequence, r.unsure = now, in.Sequence, nil
	b.service, b.address, b.declared, b.instance = in.Service, in.Address, in.Slots, in.Instance
	b.state = UpstreamReady
	if in.Draining {
		b.state = UpstreamDraining
	}
	s.timers.set(timerKey{kind: timerRegistration}, s.now+s.registrationTTL())
	if before.address != b.address || before.declared != b.declared {
		s.emit(ConfigureBackend{Address: b.address, MaxConnections: b.declared})
	}
	s.backendChanged(before)
}

func (s *State) registrationTTL() time.Duration {
	if s.cfg.RegistrationTTL > 0 {
		return s.cfg.RegistrationTTL
	}
	return registrationTTL
}

// acknowledgeRegistration answers a registration at once, unless it says that the backend server drains.
func (s *State) acknowledgeRegistration(in BackendRegistered) {
	if in.Draining {
		s.keepLeave(in.Exchange, in.Instance)
		return
	}
	s.acknowledge(in.Exchange)
}

// backendLeaves handles the word of a backend server that it leaves. One that this node has not heard of is
// remembered, because a registration from before may still be on its way.
func (s *State) backendLeaves(in BackendDeregistered) {
	r := &s.registration
	if in.Born != 0 && in.Instance == r.life.instance && in.Born < r.life.born {
		s.log(LevelInfo, "leave of another life of the backend server", Field{"instance", in.Instance}, Field{"held_born", r.life.born})
		s.acknowledge(in.Exchange)
		return
	}
	s.leaves(in.Instance, s.wallClock())
	s.keepLeave(in.Exchange, in.Instance)
}

// maxGone bounds the lives that are remembered as having left. One instance has few in a minute, the longest time for
// which a registration may be late.
const maxGone = 32

// leaves gives a life of the backend server that said at a time that it leaves no new calls any more.
func (s *State) leaves(instance string, at int64) {
	b, r := &s.backend, &s.registration
	before := *b
	if r.gone == nil || len(r.gone) >= maxGone {
		r.gone = map[string]int64{}
	}
	r.gone[instance] = at
	if r.unsure != nil && r.unsure.Instance == instance {
		r.unsure = nil
	}
	if r.life.instance == instance && b.state == UpstreamReady {
		b.state = UpstreamDraining
	}
	s.backendChanged(before)
}

// keepLeave writes a leave to the platform's store, because this process may end before the backend server does, and
// acknowledges it once it is kept or the wait is over.
func (s *State) keepLeave(exchange Handle, instance string) {
	r := &s.registration
	if !s.cfg.Discover || r.kept == instance {
		s.acknowledge(exchange)
		return
	}
	if r.acks == nil {
		r.acks = map[Handle]string{}
	}
	r.acks[exchange] = instance
	s.timers.set(timerKey{kind: timerLeaveKept, call: exchange}, s.now+leaveKeepWait)
	s.emit(StoreDeregistration{Exchange: exchange, Instance: instance, At: s.wallClock(), TTL: leaveKeepTime})
}

func (s *State) leaveKept(in DeregistrationStored) {
	if in.Result != StoreOK {
		s.log(LevelWarn, "leave of the backend server is not kept", Field{"instance", s.registration.acks[in.Exchange]})
		return // acknowledged when the wait is over
	}
	s.registration.kept = s.registration.acks[in.Exchange]
	s.leaveAcknowledged(in.Exchange)
}

// leaveAcknowledged answers a leave, once.
func (s *State) leaveAcknowledged(exchange Handle) {
	if _, waiting := s.registration.acks[exchange]; !waiting {
		return
	}
	delete(s.registration.acks, exchange)
	s.timers.cancel(timerKey{kind: timerLeaveKept, call: exchange})
	s.acknowledge(exchange)
}

// acknowledge answers what the backend server said.
func (s *State) acknowledge(exchange Handle) {
	if exchange != 0 {
		s.emit(AcknowledgeBackend{Exchange: exchange})
	}
}

// backendMisdirected handles the answer that another backend server has the address: the one that registered is
// gone.
func (s *State) backendMisdirected() {
	if s.backend.state == UpstreamReady || s.backend.state == UpstreamDraining {
		s.registrationLapsed()
	}
}
