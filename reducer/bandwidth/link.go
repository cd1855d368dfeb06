// Package bandwidth decides which large bodies the network link of an instance can carry in time. A Link keeps, for one
// direction, the lengths that bodies of each route are expected to have, and the bytes that have been promised and have not
// left. It depends on nothing but the values that it is given.
package bandwidth

import (
	"math"
	"time"
)

const (
	// usablePercent is the part of the link that large bodies get while there are small messages, as in runner/link.
	usablePercent = 85
	// lengthWeight is the weight of the newest body in the mean length of a route, which then follows a change within some
	// 20 bodies.
	lengthWeight = 0.1
	// lengthDeviations is the safety margin of a body's length, in mean absolute deviations: of exponentially distributed
	// lengths 2 in 100 are longer. Bodies before it are not given one, because their differences cancel out.
	lengthDeviations = 4
	// soloShare is by how much longer a body takes than its bytes: its parts are asked for one after another, so that it
	// gets at most every second chunk of a busy link.
	soloShare = 2
	// maxRoutes bounds the routes with an expected length. A further route takes the place of the one that is stale longest.
	maxRoutes = 1024
	// staleAfter is the time without a body after which the length of a route is unknown again: a route that is refused
	// because of its length must be tried again.
	staleAfter = 10 * time.Second
)

// length is the expected length of the bodies of a route in bytes.
type length struct {
	mean      float64
	deviation float64 // mean absolute
	updatedAt time.Duration
}

// promise is the expected length of a body that has not begun to leave.
type promise struct {
	bytes   int64
	started bool // the request that the body belongs to has begun
}

// Link is one direction of the network link of an instance. The zero value is disabled: it admits everything and keeps
// nothing.
type Link struct {
	bytesPerSecond float64
	lengths        map[string]*length
	promises       map[uint64]promise
	queued         int64   // bytes promised to calls that have not begun
	started        int64   // bytes promised to calls that have begun
	leaving        float64 // bytes that leave at the rate of the link
	updatedAt      time.Duration
}

// New returns a link of a rate in Mbit/s. With 0 it is disabled.
func New(mbps float64) Link {
	return Link{bytesPerSecond: mbps * 1e6 / 8 * usablePercent / 100}
}

// Enabled reports whether the rate of the link is known.
func (l *Link) Enabled() bool { return l.bytesPerSecond > 0 }

// Observe records the length of a body of a route.
func (l *Link) Observe(route string, bytes int64, now time.Duration) {
	if !l.Enabled() {
		return
	}
	known := l.lengths[route]
	if known == nil {
		l.makeRoom()
		l.lengths[route] = &length{mean: float64(bytes), deviation: float64(bytes) / 2, updatedAt: now}
		return
	}
	diff := float64(bytes) - known.mean
	known.mean += lengthWeight * diff
	known.deviation += lengthWeight * (math.Abs(diff) - known.deviation)
	known.updatedAt = now
}

// makeRoom makes room for one more route.
func (l *Link) makeRoom() {
	if l.lengths == nil {
		l.lengths = map[string]*length{}
	}
	if len(l.lengths) < maxRoutes {
		return
	}
	oldest := ""
	for name, known := range l.lengths {
		if oldest == "" || known.updatedAt < l.lengths[oldest].updatedAt || known.updatedAt == l.lengths[oldest].updatedAt && name < oldest {
			oldest = name
		}
	}
	delete(l.lengths, oldest)
}

// Expected returns the expected length of a body of a route in bytes, 0 if it is not known.
func (l *Link) Expected(route string, now time.Duration) int64 {
	known := l.lengths[route]
	if known == nil || now-known.updatedAt > staleAfter {
		return 0
	}
	return int64(known.mean)
}

// margin returns the bytes by which a body of a route may be longer than expected.
func (l *Link) margin(route string) int64 {
	if known := l.lengths[route]; known != nil {
		return int64(lengthDeviations * known.deviation)
	}
	return 0
}

// Time returns how long the link takes for a number of bytes.
func (l *Link) Time(bytes int64) time.Duration {
	if !l.Enabled() {
		return 0
	}
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// advance lets the link carry what was leaving until now.
func (l *Link) advance(now time.Duration) {
	if now > l.updatedAt {
		l.leaving = max(l.leaving-l.bytesPerSecond*(now-l.updatedAt).Seconds(), 0)
		l.updatedAt = now
	}
}

// Backlog returns how long the link takes for all that is leaving or promised.
func (l *Link) Backlog(now time.Duration) time.Duration {
	l.advance(now)
	return l.Time(int64(l.leaving) + l.queued + l.started)
}

// startedBacklog is the backlog without the calls that have not begun.
func (l *Link) startedBacklog(now time.Duration) time.Duration {
	l.advance(now)
	return l.Time(int64(l.leaving) + l.started)
}

// Admits reports whether a body of a route that is there after a time can leave within left, behind all that is promised. A
// route whose length is not known is admitted.
func (l *Link) Admits(route string, after, left, now time.Duration) bool {
	bytes := l.Expected(route, now)
	return bytes == 0 || l.fits(route, bytes, max(l.Backlog(now), after), left)
}

// Carries reports whether the link carries a body of a known length within left, behind all that is promised.
func (l *Link) Carries(bytes int64, left, now time.Duration) bool {
	return !l.Enabled() || l.Backlog(now)+l.Time(soloShare*bytes) <= left
}

// fits reports whether a body can leave within left after a wait. The margin takes at most half of the time beyond the body's
// own, so that a route with widely varying lengths is served.
func (l *Link) fits(route string, bytes int64, wait, left time.Duration) bool {
	spare := left - l.Time(soloShare*bytes)
	return wait <= spare-min(l.Time(soloShare*l.margin(route)), spare/2)
}

// AdmitsStart is Admits for a call that was promised and is about to begin. Calls that have not begun leave after it, and it
// needs no margin, because the wait is over.
func (l *Link) AdmitsStart(call uint64, after, left, now time.Duration) bool {
	bytes := l.promises[call].bytes
	return bytes == 0 || max(l.startedBacklog(now), after)+l.Time(soloShare*bytes) <= left
}

// Promise keeps bytes for the body of a call until Start, Complete or Release.
func (l *Link) Promise(call uint64, bytes int64) {
	if !l.Enabled() || bytes <= 0 {
		return
	}
	l.Release(call)
	if l.promises == nil {
		l.promises = map[uint64]promise{}
	}
	l.promises[call] = promise{bytes: bytes}
	l.queued += bytes
}

// Start records that the request of a call has begun.
func (l *Link) Start(call uint64) {
	kept, ok := l.promises[call]
	if !ok || kept.started {
		return
	}
	l.queued -= kept.bytes
	l.started += kept.bytes
	l.promises[call] = promise{bytes: kept.bytes, started: true}
}

// Release forgets the promise of a call that sends nothing.
func (l *Link) Release(call uint64) {
	kept, ok := l.promises[call]
	if !ok {
		return
	}
	delete(l.promises, call)
	if kept.started {
		l.started -= kept.bytes
	} else {
		l.queued -= kept.bytes
	}
}

// Complete replaces the promise of a call by the body that leaves now.
func (l *Link) Complete(call uint64, bytes int64, now time.Duration) {
	l.Release(call)
	l.Leave(bytes, now)
}

// Leave records that a body leaves, whether it was promised or not.
func (l *Link) Leave(bytes int64, now time.Duration) {
	if l.Enabled() {
		l.advance(now)
		l.leaving += float64(bytes)
	}
}
