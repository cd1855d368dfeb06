package capacity

import "time"

const (
	// expectedWeight is the weight of the newest answered request in the mean.
	expectedWeight = 0.1
	// minAnswered is the number of answered requests after which their time is known well enough to tell one that hangs.
	minAnswered = 5
	// maxDoublings bounds the growth of the expected time.
	maxDoublings = 6
)

// Expected is the expected time of the requests of one route, from those that were answered. It doubles with each request
// without an answer during which no other was answered either, until one is: a backend server that has become slow must get the
// time to answer.
type Expected struct {
	mean      time.Duration
	answered  int
	doublings int
	lastAt    time.Duration // of the newest answer
}

// Answered notes a request that was answered.
func (e *Expected) Answered(now, took time.Duration) {
	e.answered, e.doublings, e.lastAt = min(e.answered+1, minAnswered), 0, now
	if e.mean == 0 {
		e.mean = took
	}
	e.mean += time.Duration(expectedWeight * float64(took-e.mean))
}

// Missed notes a request that had its time and was not answered.
func (e *Expected) Missed(startedAt time.Duration) {
	if e.lastAt < startedAt {
		e.doublings = min(e.doublings+1, maxDoublings)
	}
}

// Time returns the expected time, 0 while it is not known.
func (e *Expected) Time() time.Duration {
	if e.answered < minAnswered {
		return 0
	}
	return e.mean << e.doublings
}
