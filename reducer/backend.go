package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// rampFloor is the share of its slots that a backend server starts with, in percent.
const rampFloor = 10

// backendState is what is known of the backend server beside this node.
type backendState struct {
	state      UpstreamState
	service    string
	address    string
	instance   string // names the life that may run calls
	declared   int    // slots
	readySince time.Duration
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
		Field{"instance", b.instance}, Field{"born", s.registration.life.born}, Field{"sequence", s.registration.sequence})
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
