package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// registrationTTL is how long a registration of the backend server lasts without a heartbeat, unless the settings
// say otherwise.
const registrationTTL = 3 * time.Second

// rampFloor is the share of its slots that a backend server starts with, in percent.
const rampFloor = 10

// backendState is what is known of the backend server beside this node.
//
// Invariant: nothing that the backend server said before what is held here changes it, and a life that has left
// is never ready again.
type backendState struct {
	state      UpstreamState
	service    string
	address    string
	declared   int    // slots
	instance   string // names the life
	born       int64  // start of the life in Unix milliseconds, 0 when it is not known
	sequence   uint64 // newest within the life
	left       bool   // it has said that it leaves
	readySince time.Duration
}

// ordersBefore reports whether a registration is older than what is held.
func (b *backendState) ordersBefore(in BackendRegistered) bool {
	switch {
	case in.Born != b.born:
		return in.Born < b.born && in.Born != 0
	case in.Instance != b.instance:
		return false
	default:
		return in.Sequence != 0 && in.Sequence <= b.sequence || b.left
	}
}

func (s *State) backendRegistered(in BackendRegistered) {
	b := &s.backend
	before := *b
	if b.ordersBefore(in) {
		s.log(LevelInfo, "registration is older than the one held", Field{"instance", in.Instance}, Field{"born", in.Born},
			Field{"sequence", in.Sequence}, Field{"held_instance", b.instance}, Field{"held_born", b.born}, Field{"held_sequence", b.sequence})
		return
	}
	newLife := b.instance != in.Instance || b.born != in.Born || b.address != in.Address
	if newLife || b.state != UpstreamReady && b.state != UpstreamDraining {
		b.readySince = s.now
	}
	if newLife {
		b.left = false
	}
	b.service, b.address, b.declared = in.Service, in.Address, in.Slots
	b.instance, b.born, b.sequence = in.Instance, in.Born, in.Sequence
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

// backendLeaves handles the word of a backend server that it leaves. One that this node has not heard of is
// remembered, because a registration from before may still be on its way.
func (s *State) backendLeaves(in BackendLeaves) {
	b := &s.backend
	before := *b
	known := in.Instance == b.instance && (in.Born == 0 || in.Born == b.born)
	if !known && (in.Born == 0 || in.Born < b.born) && b.instance != "" {
		s.log(LevelInfo, "leave of another life of the backend server", Field{"instance", in.Instance}, Field{"held_instance", b.instance})
		return
	}
	if !known {
		b.instance, b.born, b.sequence = in.Instance, in.Born, 0
	}
	b.left = true
	if b.state == UpstreamReady {
		b.state = UpstreamDraining
	}
	s.backendChanged(before)
}

// backendMisdirected handles the answer that another backend server has the address: the one that registered is
// gone.
func (s *State) backendMisdirected() {
	if s.backend.state == UpstreamReady || s.backend.state == UpstreamDraining {
		s.registrationLapsed()
	}
}

func (s *State) registrationLapsed() {
	before := s.backend
	s.backend.state = UpstreamDown
	s.backendChanged(before)
}

// backendChanged tells the other nodes about a change of the backend server and refuses queued calls
// that it will not serve any more.
func (s *State) backendChanged(before backendState) {
	b := &s.backend
	if before.state == b.state && before.service == b.service && before.declared == b.declared {
		s.startCalls()
		return
	}
	s.log(LevelInfo, "backend server changed", Field{"service", b.service}, Field{"state", b.state.String()}, Field{"slots", b.declared},
		Field{"instance", b.instance}, Field{"born", b.born}, Field{"sequence", b.sequence})
	s.updateSelf()
	if b.state != UpstreamReady || before.service != b.service {
		s.refuseQueued()
	}
	s.startCalls()
}

// refuseQueued refuses all queued calls as not run; their senders try another upstream.
func (s *State) refuseQueued() {
	for _, call := range s.target.queue.all() {
		s.dropQueued(call, ReasonDraining)
	}
}

// slots returns the calls that the backend server may run now. It grows from a tenth to all during the
// pool's ramp, because a backend server that has just started is slow.
func (s *State) slots() int {
	b := &s.backend
	if b.state != UpstreamReady {
		return 0
	}
	ramp := s.ramp()
	age := s.now - b.readySince
	if age >= ramp {
		return b.declared
	}
	grown := int64(age) * int64(b.declared) * (100 - rampFloor) / int64(ramp)
	return max(1, (b.declared*rampFloor+int(grown))/100)
}

// ramp returns the time in which the backend server gets all of its slots.
func (s *State) ramp() time.Duration {
	if pool, ok := s.config.active.PoolOfService(s.backend.service); ok {
		return pool.Ramp
	}
	return tables.DefaultRamp
}

// nextSlotAt returns when slots grows next, or false when it does not.
func (s *State) nextSlotAt() (time.Duration, bool) {
	b := &s.backend
	slots := s.slots()
	if slots == 0 || slots >= b.declared {
		return 0, false
	}
	missing := int64((slots+1)*100 - b.declared*rampFloor) // hundredths of a slot to grow by
	perRamp := int64(b.declared) * (100 - rampFloor)
	age := (missing*int64(s.ramp()) + perRamp - 1) / perRamp
	return b.readySince + time.Duration(age), true
}
