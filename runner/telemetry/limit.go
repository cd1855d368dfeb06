package telemetry

import (
	"sync"
	"time"
)

const (
	// callLineRate is the long-term limit of log lines about calls, in lines per second, and callLineBurst is the burst
	// size in lines. A line takes about 2% of the processor time of a call.
	callLineRate  = 100
	callLineBurst = 500
	// unservedReserve is the number of tokens that are reserved for lines about calls that were not served.
	unservedReserve = callLineBurst / 2
)

// LogLimiter is a token bucket that limits the log lines about calls. A nil LogLimiter allows none.
type LogLimiter struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// NewLogLimiter returns a LogLimiter with a full bucket.
func NewLogLimiter() *LogLimiter { return &LogLimiter{tokens: callLineBurst} }

// Allow takes a token if one is available, and reports whether the line may be written. Lines about served calls can
// use only half of the bucket, so that lines about the other calls are still written under load.
func (l *LogLimiter) Allow(now time.Time, served bool) bool {
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
