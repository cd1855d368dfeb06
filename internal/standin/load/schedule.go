package load

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// input is an event that the schedule processes.
type input interface{ isInput() }

type (
	// callDue reports that the next call is due.
	callDue struct{}
	// answered reports that a call has ended.
	answered struct{ call Call }
	// interrupted stops the issuing of calls.
	interrupted struct{}
)

func (callDue) isInput()     {}
func (answered) isInput()    {}
func (interrupted) isInput() {}

// send is the effect that starts a call.
type send struct {
	id     string
	spec   int           // index in Options.Specs
	target int           // index of the first target to try
	due    time.Duration // since the start of the run
	seed   uint64        // of the body
}

// schedule holds the arrival times and the counters of a run. It does no I/O and reads no clock.
type schedule struct {
	options      Options
	random       *rand.Rand
	nextArrivals []time.Duration // due time of the next call of each spec, since the start of the run
	issued       int
	skipped      int
	inFlight     int
	stopped      bool
	calls        []Call
}

func newSchedule(options Options) *schedule {
	s := &schedule{options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
	for _, spec := range options.Specs {
		s.nextArrivals = append(s.nextArrivals, s.drawInterarrival(spec))
	}
	return s
}

// drawInterarrival draws the time until the next call of a spec. Callers are independent, so arrivals form a
// Poisson process and the times between them are exponentially distributed.
func (s *schedule) drawInterarrival(spec Spec) time.Duration {
	return time.Duration(s.random.ExpFloat64() / spec.Rate * float64(time.Second))
}

// nextDue returns the index of the spec whose call is due next, and its due time since the start of the
// run. It returns false if no more calls are to be issued.
func (s *schedule) nextDue() (int, time.Duration, bool) {
	first := 0
	for i := range s.nextArrivals {
		if s.nextArrivals[i] < s.nextArrivals[first] {
			first = i
		}
	}
	more := !s.stopped && s.issued+s.skipped < s.options.Count && s.nextArrivals[first] <= s.options.Duration
	return first, s.nextArrivals[first], more
}

// isFinished reports whether all calls have been issued and have ended.
func (s *schedule) isFinished() bool {
	_, _, more := s.nextDue()
	return !more && s.inFlight == 0
}

func (s *schedule) reduce(in input) []send {
	switch in := in.(type) {
	case callDue:
		return s.issueNext()
	case answered:
		s.inFlight--
		s.calls = append(s.calls, in.call)
	case interrupted:
		s.stopped = true
	}
	return nil
}

// issueNext returns the next call, or nil if none is left or too many are in flight.
func (s *schedule) issueNext() []send {
	i, at, more := s.nextDue()
	if !more {
		return nil
	}
	s.nextArrivals[i] = at + s.drawInterarrival(s.options.Specs[i])
	seed := s.random.Uint64()
	if s.inFlight >= s.options.InFlight {
		s.skipped++
		return nil
	}
	number := s.issued
	s.issued++
	s.inFlight++
	return []send{{
		id: s.options.Prefix + "-" + strconv.Itoa(number), spec: i, target: number % len(s.options.Targets),
		due: at, seed: seed,
	}}
}
