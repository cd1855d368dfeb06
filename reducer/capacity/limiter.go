// Package capacity learns how many requests the backend server beside a node takes at one time, from those that it reset or
// left without an answer. Until it has done so, nothing is limited. The reducer owns its values and uses its results.
package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// resetsToFull is the number of resets among the last window ended requests that lowers the limit. A backend server that
	// fails 2 in 100 requests at random reaches it once in 2,000 requests.
	window       = 8
	resetsToFull = 3
	// lostToFull is the number of requests without an answer in lostFactor times their expected time that lowers the limit, if
	// they are lostWithin apart. The longest executions take 7 times as long as usual, and 2.5 times more beside a noisy neighbour.
	lostToFull = 2
	lostFactor = 20
	lostWithin = 10 * time.Second
	// overdueToFull and overduePercent are the number and the part of the running requests that must be overdue at once, each
	// for hungFactor times its expected time. About one in ten is while 3 in 100 executions take 7 times as long as usual,
	// and 6 of 13 are at one moment in 1,000.
	overdueToFull  = 4
	overduePercent = 40
	// keepPercent is the part of the requests at which the backend server was full that remains allowed.
	keepPercent = 70
	// lowerInterval is the least time between two reductions. Requests that failed together are one case.
	lowerInterval = 200 * time.Millisecond
	// raiseInterval is the time after which one more request is allowed, and slowRaiseInterval that at and above the number
	// at which the backend server was full: each try there may cost a request.
	raiseInterval     = time.Second
	slowRaiseInterval = 10 * time.Second
	// hungFactor is how many times its expected time a request without an answer must have taken to count as hung, and
	// minHungTime the least such time, which is beyond the pauses of a busy instance.
	hungFactor  = 3
	minHungTime = 100 * time.Millisecond
	// maxHeld bounds the abandoned requests that are remembered.
	maxHeld = 256
)

// Result says how a request to the backend server ended.
type Result uint8

// The ways in which a request ends.
const (
	Answered Result = iota
	Reset           // the connection failed at once
	Hung            // there was no answer in hungFactor times the expected time, as in long executions
	Lost            // there was none in lostFactor times the expected time
	Other           // says nothing about the capacity
)

// Limiter is what is known of the capacity of one run of the backend server. Its zero value limits nothing.
type Limiter struct {
	Resets, Hangs uint64 // since the start of the node

	limit     int // at limitedAt; 0 for none
	limitedAt time.Duration
	fullAt    int // requests at which the backend server was full
	hanging   bool
	ends      [window]end
	count     int // of ends since the last reduction
	lost      int // requests that were lost since the last reduction, each within lostWithin of the one before
	lostAt    time.Duration
	held      []time.Duration // when abandoned requests no longer count
}

// Forget drops what was learned, because another run of the backend server begins. The counters stay.
func (l *Limiter) Forget() { *l = Limiter{Resets: l.Resets, Hangs: l.Hangs, held: l.held[:0]} }

// HungAfter returns the time after which a request with the given expected time counts as hung.
func HungAfter(expected time.Duration) time.Duration { return max(hungFactor*expected, minHungTime) }

// LostAfter returns the time after which a request with the given expected time counts as lost.
func LostAfter(expected time.Duration) time.Duration { return max(lostFactor*expected, minHungTime) }

// WithoutAnswer returns the result of a request that took so long without an answer.
func WithoutAnswer(took, expected time.Duration) Result {
	switch {
	case took >= LostAfter(expected):
		return Lost
	case took >= HungAfter(expected):
		return Hung
	default:
		return Other
	}
}

// Ended notes the end of a request that was one of so many at its start, while so many others were overdue, and reports
// whether the limit was lowered.
func (l *Limiter) Ended(now time.Duration, result Result, occupancy, overdue, slots int) (lowered bool) {
	switch result {
	case Reset:
		l.Resets++
	case Hung, Lost:
		l.Hangs++
	case Other:
		return false
	}
	if result == Lost {
		if now-l.lostAt > lostWithin {
			l.lost = 0
		}
		l.lost, l.lostAt = l.lost+1, now
	}
	l.ends[l.count%window] = end{result, occupancy}
	l.count++
	if result == Answered || l.limit > 0 && now-l.limitedAt < lowerInterval {
		return false
	}
	hangs := l.lost >= lostToFull || result == Hung && overdue >= overdueToFull && overdue*100 >= occupancy*overduePercent
	if !l.resetsAtTheTop() && !hangs {
		return false
	}
	before := l.limitNow(now, slots)
	l.fullAt = min(occupancy, before)
	l.limit, l.limitedAt, l.hanging = max(l.fullAt*keepPercent/100, 1), now, hangs
	l.count, l.lost = 0, 0
	return l.limit < before
}

// end is how a request ended, and how many ran as it started.
type end struct {
	result    Result
	occupancy int
}

// resetsAtTheTop reports whether enough of the newest requests were reset, and all of these started while more were running
// than when any of the answered ones did. Requests that fail for another reason also fail while few are running.
func (l *Limiter) resetsAtTheTop() bool {
	resets, lowestReset, highestAnswered := 0, math.MaxInt, 0
	for _, e := range l.ends[:min(l.count, window)] {
		switch e.result {
		case Reset:
			resets++
			lowestReset = min(lowestReset, e.occupancy)
		case Answered:
			highestAnswered = max(highestAnswered, e.occupancy)
		}
	}
	return resets >= resetsToFull && highestAnswered > 0 && lowestReset > highestAnswered
}

// limitNow returns the limit with what was added to it since the last reduction, at most slots.
func (l *Limiter) limitNow(now time.Duration, slots int) int {
	if l.limit == 0 {
		return slots
	}
	passed := now - l.limitedAt
	fast := max(l.fullAt-1-l.limit, 0)
	raised := min(int(passed/raiseInterval), fast)
	raised += int(max(passed-time.Duration(fast)*raiseInterval, 0) / slowRaiseInterval)
	return min(l.limit+raised, slots)
}

// Limit returns the learned limit, 0 for none.
func (l *Limiter) Limit(now time.Duration, slots int) int {
	if limit := l.limitNow(now, slots); l.limit > 0 && limit < slots {
		return limit
	}
	return 0
}

// Slots returns how many of the slots may be used: those within the limit that no abandoned request holds, at least one.
func (l *Limiter) Slots(now time.Duration, slots int) int {
	limit := l.Limit(now, slots)
	if limit == 0 {
		return slots
	}
	return max(limit-l.Held(now), 1)
}

// Hanging reports whether the backend server leaves requests without an answer when it is full.
func (l *Limiter) Hanging(now time.Duration, slots int) bool {
	return l.hanging && l.Limit(now, slots) > 0
}

// Abandon notes a request that nobody waits for any more and that may hold a slot of the backend server for some time.
func (l *Limiter) Abandon(now, expected time.Duration) {
	l.dropExpired(now)
	if len(l.held) < maxHeld {
		l.held = append(l.held, now+expected)
	}
}

// Held returns the number of abandoned requests that may still hold slots.
func (l *Limiter) Held(now time.Duration) int {
	l.dropExpired(now)
	return len(l.held)
}

func (l *Limiter) dropExpired(now time.Duration) {
	l.held = slices.DeleteFunc(l.held, func(until time.Duration) bool { return until <= now })
}
