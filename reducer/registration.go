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
// Invariants: nothing that it said before what is held here changes anything, a life that has left is never ready
// again, and a life that is older than this process is ready only once it is known not to have left before.
type registrationState struct {
	life     life
	sequence uint64 // newest within the life
	left     bool   // it has said that it leaves
	// unsure is a registration of a life that an earlier process here may have acknowledged to be leaving.
	unsure *BackendRegistered
	kept   life            // newest leave that the platform's store keeps
	acks   map[Handle]life // leaves that are acknowledged once the store keeps them
}

// ordersBefore reports whether a registration is older than what is held.
func (r *registrationState) ordersBefore(in BackendRegistered) bool {
	switch {
	case in.Born != r.life.born:
		return in.Born < r.life.born && in.Born != 0
	case in.Instance != r.life.instance:
		return false
	default:
		return in.Sequence != 0 && in.Sequence <= r.sequence || r.left
	}
}

func (s *State) backendRegistered(in BackendRegistered) {
	r := &s.registration
	switch {
	case r.ordersBefore(in):
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
	s.emit(ReadLeave{Instance: in.Instance})
}

func (s *State) leaveRead(in LeaveRead) {
	r := &s.registration
	if r.unsure == nil || r.unsure.Instance != in.Instance {
		return
	}
	unsure := *r.unsure
	switch in.Result {
	case StoreOK:
		r.unsure = nil
		s.leaves(life{unsure.Instance, unsure.Born})
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
	if newLife {
		r.left = false
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
		s.keepLeave(in.Exchange, life{in.Instance, in.Born})
		return
	}
	s.acknowledge(in.Exchange)
}

// backendLeaves handles the word of a backend server that it leaves. One that this node has not heard of is
// remembered, because a registration from before may still be on its way.
func (s *State) backendLeaves(in BackendLeaves) {
	r := &s.registration
	leaving := life{in.Instance, in.Born}
	if in.Born == 0 && in.Instance == r.life.instance {
		leaving.born = r.life.born
	}
	if leaving != r.life && leaving.born < r.life.born {
		s.log(LevelInfo, "leave of another life of the backend server", Field{"instance", in.Instance}, Field{"held_instance", r.life.instance})
		s.acknowledge(in.Exchange)
		return
	}
	s.leaves(leaving)
	s.keepLeave(in.Exchange, leaving)
}

// leaves gives a life of the backend server no new calls any more.
func (s *State) leaves(leaving life) {
	b, r := &s.backend, &s.registration
	before := *b
	if leaving != r.life {
		r.life, r.sequence = leaving, 0
		b.instance = leaving.instance
	}
	r.left, r.unsure = true, nil
	if b.state == UpstreamReady {
		b.state = UpstreamDraining
	}
	s.backendChanged(before)
}

// keepLeave writes a leave to the platform's store, because this process may end before the backend server does, and
// acknowledges it once it is kept or the wait is over.
func (s *State) keepLeave(exchange Handle, leaving life) {
	r := &s.registration
	if !s.cfg.Discover || r.kept == leaving {
		s.acknowledge(exchange)
		return
	}
	if r.acks == nil {
		r.acks = map[Handle]life{}
	}
	r.acks[exchange] = leaving
	s.timers.set(timerKey{kind: timerLeaveKept, call: exchange}, s.now+leaveKeepWait)
	s.emit(KeepLeave{Exchange: exchange, Instance: leaving.instance, TTL: leaveKeepTime})
}

func (s *State) leaveKept(in LeaveKept) {
	if in.Result != StoreOK {
		s.log(LevelWarn, "leave of the backend server is not kept", Field{"instance", s.registration.acks[in.Exchange].instance})
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
