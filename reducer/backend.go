package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// rampStartPercent is the percentage of its slots that a backend server has at the start of its ramp.
const rampStartPercent = 10

// backendState is what this node knows about the backend server beside it.
type backendState struct {
	state         UpstreamState
	service       string
	address       string
	instance      string // identifies the incarnation that may run calls
	declaredSlots int    // slots that it registered with
	readySince    time.Duration
	version       string        // of its software; empty if it states none
	coldUntil     time.Duration // end of the time for which it is slow after its start
}

func (s *State) expireRegistration() {
	before := s.backend
	s.backend.state = UpstreamDown
	s.applyBackendChange(before)
}

// applyBackendChange tells the other nodes about a change of the backend server, and refuses the queued calls if it no
// longer serves them.
func (s *State) applyBackendChange(before backendState) {
	b := &s.backend
	if before.state == b.state && before.service == b.service && before.declaredSlots == b.declaredSlots && before.version == b.version {
		s.startQueuedCalls()
		return
	}
	s.log(LevelInfo, "backend server changed", Field{"service", b.service}, Field{"state", b.state.String()}, Field{"slots", b.declaredSlots}, Field{"software", b.version},
		Field{"instance", b.instance}, Field{"born", s.registration.incarnation.born}, Field{"sequence", s.registration.sequence})
	s.updateSelf()
	if b.state != UpstreamReady || before.service != b.service {
		s.refuseQueuedCalls()
	}
	s.startQueuedCalls()
}

// refuseQueuedCalls refuses all queued calls as not run; their senders try another upstream.
func (s *State) refuseQueuedCalls() {
	for _, call := range s.target.queue.queuedCalls() {
		s.dropQueued(call, ReasonDraining)
	}
}

// rampSlots returns how many calls the backend server may run by its registration. It grows from a tenth to all during the pool's
// ramp, because a backend server that has just started is slow.
func (s *State) rampSlots() int {
	b := &s.backend
	if b.state != UpstreamReady {
		return 0
	}
	ramp := s.rampDuration()
	age := s.now - b.readySince
	if age >= ramp {
		return b.declaredSlots
	}
	grown := int64(age) * int64(b.declaredSlots) * (100 - rampStartPercent) / int64(ramp)
	return max(1, (b.declaredSlots*rampStartPercent+int(grown))/100)
}

// rampDuration returns the time after which the backend server has all of its slots.
func (s *State) rampDuration() time.Duration {
	if pool, ok := s.config.active.PoolOfService(s.backend.service); ok {
		return pool.Ramp
	}
	return tables.DefaultRamp
}

// nextSlotAt returns when the ramp adds the next slot, or false when it adds none.
func (s *State) nextSlotAt() (time.Duration, bool) {
	b := &s.backend
	slots := s.rampSlots()
	if slots == 0 || slots >= b.declaredSlots {
		return 0, false
	}
	missing := int64((slots+1)*100 - b.declaredSlots*rampStartPercent) // hundredths of a slot to grow by
	perRamp := int64(b.declaredSlots) * (100 - rampStartPercent)
	age := (missing*int64(s.rampDuration()) + perRamp - 1) / perRamp
	return b.readySince + time.Duration(age), true
}
