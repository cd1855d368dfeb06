package telemetry

import (
	"sync"
	"time"
)

const (
	// callLineRate is how many lines about calls are written a second in the long run, and callLineBurst how many at
	// once. A line costs about as much processor time as 2% of a call.
	callLineRate  = 100
	callLineBurst = 500
	// unservedReserve is the part of the burst that calls that were served leave to the others.
	unservedReserve = callLineBurst / 2
)

// LineLimit is a token bucket that bounds the log lines about calls. A nil limit allows none.
type LineLimit struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewLineLimit returns a full bucket.
func NewLineLimit() *LineLimit { return &LineLimit{tokens: callLineBurst} }

// Allow takes a token and reports whether there was one. Lines about calls that were served get none once half of the
// bucket is used, so that the others are still written under load.
func (l *LineLimit) Allow(now time.Time, served bool) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.last.IsZero() {
		l.tokens = min(l.tokens+callLineRate*now.Sub(l.last).Seconds(), callLineBurst)
	}
	l.last = now
	if l.tokens < 1 || served && l.tokens < unservedReserve {
		return false
	}
	l.tokens--
	return true
}
