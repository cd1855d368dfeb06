package backend

import (
	"math/rand/v2"
	"time"
)

// Distribution is the probability distribution of service times.
type Distribution string

// The distributions. The empty string means Fixed.
const (
	Fixed       Distribution = "fixed"
	Uniform     Distribution = "uniform"     // from 0 to twice the mean
	Exponential Distribution = "exponential" // capped at maxExponentialFactor times the mean
)

const (
	// maxExponentialFactor caps an exponentially distributed service time, in multiples of the mean.
	maxExponentialFactor = 10
	// maxExecutions bounds the log of executions; further executions are only counted.
	maxExecutions = 1 << 20
	// samplesPerLag is the number of samples kept per Options.Lag, the resolution of the lagging endpoints.
	samplesPerLag = 8
)

// Execution is an entry in the log of executions.
type Execution struct {
	ID        string     `json:"id"`
	Started   time.Time  `json:"started"`
	Finished  *time.Time `json:"finished,omitempty"` // nil while the request runs
	Cancelled bool       `json:"cancelled,omitempty"`
	Overrun   bool       `json:"overrun,omitempty"` // began while all slots were in use
	Path      string     `json:"path,omitempty"`
	Bad       bool       `json:"bad,omitempty"` // failed or slowed down by Options.Defect
}

// Counts holds the counters of a stand-in since its start.
type Counts struct {
	Executions int `json:"executions"`
	Overruns   int `json:"overruns"`
	Shed       int `json:"shed"`
	Cancelled  int `json:"cancelled"`
	AfterDrain int `json:"after_drain"`  // executions that began after Drain
	MostAtOnce int `json:"most_at_once"` // highest number of concurrent executions
	Unlogged   int `json:"unlogged"`     // executions that did not fit into the log, see maxExecutions
}

// Health is the response of the health endpoint, as of Options.Lag ago.
type Health struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// Load is the response of the load endpoint, as of Options.Lag ago.
type Load struct {
	Slots   int `json:"slots"`
	Running int `json:"running"`
}

// input is an event or a query that the state processes.
type input interface{ isInput() }

type arrived struct{ id, path string }

// finished reports the end of an execution. The index is that of its log entry, -1 if it has none.
type finished struct {
	index     int
	cancelled bool
}

// setSlowdown sets the factor by which the service times of later requests are multiplied.
type setSlowdown struct{ factor float64 }

type (
	drain        struct{}
	readLog      struct{}
	readHealth   struct{}
	readLoad     struct{}
	readCounts   struct{}
	readDraining struct{}
)

func (arrived) isInput()      {}
func (finished) isInput()     {}
func (setSlowdown) isInput()  {}
func (drain) isInput()        {}
func (readLog) isInput()      {}
func (readHealth) isInput()   {}
func (readLoad) isInput()     {}
func (readCounts) isInput()   {}
func (readDraining) isInput() {}

// accepted and shed are the possible decisions about a request. The index is that of the log entry, -1 if
// the log is full.
type (
	accepted struct {
		index       int
		serviceTime time.Duration
		fails       bool // responds with a failure after the service time
	}
	shed struct{}
)

// sample is a snapshot of the values that the lagging endpoints report.
type sample struct {
	at       time.Time
	running  int
	draining bool
}

// state is owned by the goroutine that Server.run runs in. It does no I/O and reads no clock.
type state struct {
	options        Options
	random         *rand.Rand
	firstRequestAt time.Time // start of the cold phase; zero before the first request
	running        int
	draining       bool
	slowdown       float64 // factor that all service times are multiplied by
	counts         Counts
	log            []Execution
	samples        []sample
}

func newState(options Options) *state {
	return &state{options: options, slowdown: 1, random: rand.New(rand.NewPCG(options.Seed, 0))}
}

// reduce processes an input and returns the decision about a request or the result of a query, otherwise nil.
func (s *state) reduce(now time.Time, in input) any {
	switch in := in.(type) {
	case arrived:
		return s.handleArrival(now, in)
	case finished:
		s.handleFinished(now, in)
	case setSlowdown:
		s.slowdown = in.factor
	case drain:
		s.draining = true
		s.recordSample(now)
	case readLog:
		return append([]Execution{}, s.log...)
	case readHealth:
		return Health{Healthy: true, Draining: s.laggedSample(now).draining}
	case readLoad:
		return Load{Slots: s.options.Slots, Running: s.laggedSample(now).running}
	case readCounts:
		return s.counts
	case readDraining:
		return s.draining
	}
	return nil
}

func (s *state) handleArrival(now time.Time, in arrived) any {
	if s.options.ShedAbove > 0 && s.running >= s.options.ShedAbove {
		s.counts.Shed++
		return shed{}
	}
	if s.firstRequestAt.IsZero() {
		s.firstRequestAt = now
	}
	overrun := s.options.Slots > 0 && s.running >= s.options.Slots
	s.running++
	s.counts.Executions++
	s.counts.MostAtOnce = max(s.counts.MostAtOnce, s.running)
	if overrun {
		s.counts.Overruns++
	}
	if s.draining {
		s.counts.AfterDrain++
	}
	s.recordSample(now)
	bad := s.options.Defect.applies(now.Sub(s.firstRequestAt), s.running, in.path) && s.random.Float64() < s.options.Defect.Share
	decision := accepted{serviceTime: s.serviceTime(now), fails: bad && s.options.Defect.Slowdown == 0}
	if bad && !decision.fails {
		decision.serviceTime = time.Duration(s.options.Defect.Slowdown * float64(decision.serviceTime))
	}
	decision.index = s.appendExecution(Execution{ID: in.id, Started: now, Overrun: overrun, Path: in.path, Bad: bad})
	return decision
}

// appendExecution adds an execution to the log and returns its index, or -1 if the log is full.
func (s *state) appendExecution(execution Execution) int {
	if len(s.log) >= maxExecutions {
		s.counts.Unlogged++
		return -1
	}
	s.log = append(s.log, execution)
	return len(s.log) - 1
}

func (s *state) handleFinished(now time.Time, in finished) {
	s.running--
	if in.cancelled {
		s.counts.Cancelled++
	}
	if in.index >= 0 {
		s.log[in.index].Finished = &now
		s.log[in.index].Cancelled = in.cancelled
	}
	s.recordSample(now)
}

// serviceTime draws a service time and applies the cold start and the slowdown.
func (s *state) serviceTime(now time.Time) time.Duration {
	factor := 1.0
	switch s.options.Distribution {
	case Uniform:
		factor = 2 * s.random.Float64()
	case Exponential:
		factor = min(s.random.ExpFloat64(), maxExponentialFactor)
	}
	if sinceFirst := now.Sub(s.firstRequestAt); sinceFirst < s.options.ColdFor {
		remaining := 1 - float64(sinceFirst)/float64(s.options.ColdFor)
		factor *= 1 + max(s.options.ColdFactor-1, 0)*remaining
	}
	return time.Duration(factor * s.slowdown * float64(s.options.ServiceTime))
}

// recordSample stores a sample of the current state. While the newest sample is younger than
// Lag/samplesPerLag, it is updated in place and keeps its time.
func (s *state) recordSample(now time.Time) {
	current := sample{at: now, running: s.running, draining: s.draining}
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < s.options.Lag/samplesPerLag {
		s.samples[n-1].running, s.samples[n-1].draining = current.running, current.draining
		return
	}
	s.samples = append(s.samples, current)
	if len(s.samples) > 2*samplesPerLag {
		s.samples = s.samples[1:]
	}
}

// laggedSample returns the newest sample that is at least Options.Lag old, or a zero one if there is none.
func (s *state) laggedSample(now time.Time) sample {
	var latest sample
	for _, candidate := range s.samples {
		if now.Sub(candidate.at) < s.options.Lag {
			break
		}
		latest = candidate
	}
	return latest
}
