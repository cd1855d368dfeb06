package reducer

import (
	"container/heap"
	"time"
)

// timerKind says what a timer is for.
type timerKind uint8

const (
	timerIngressDeadline timerKind = iota + 1
	timerIngressRetry
	timerIngressSettle
	timerIngressCheck
	timerTargetDeadline
	timerRamp
	timerRecordExpiry
	timerHeartbeat
	timerRegistrationExpiry
	timerStoreRead
	timerStoreWatch
	timerReaderCheck
	timerSubstitute
	timerSubstituteRole
	timerDeregistrationOverdue
	timerDeregistrationAck
	timerDeregistrationRetry
	timerDeregistrationCopies
	timerDeregistrationInquiry
	timerDeregistrationSweep
	timerAnnounceNode
	timerListNodes
	timerStartupFetch
	timerSuspicion
	timerShutdown
	timerJoin
	timerRelay
	timerQuota
	timerRollouts
)

// timerKey identifies a timer. Setting a timer again under the same key moves it.
type timerKey struct {
	kind timerKind
	call Handle
	node NodeID
}

// timer is an entry of the heap of timers.
type timer struct {
	key   timerKey
	at    time.Duration
	seq   uint64 // order of setting, so that equal times fire in a fixed order
	index int
}

func (t *timer) before(other *timer) bool {
	if t.at != other.at {
		return t.at < other.at
	}
	return t.seq < other.seq
}

func (t *timer) position() *int { return &t.index }

// timers is a heap of timers by time, with an index by key.
type timers struct {
	queue indexedHeap[*timer]
	byKey map[timerKey]*timer
	seq   uint64
}

func newTimers() *timers {
	return &timers{byKey: map[timerKey]*timer{}}
}

func (t *timers) set(key timerKey, at time.Duration) {
	t.seq++
	if old, ok := t.byKey[key]; ok {
		old.at = at
		old.seq = t.seq
		heap.Fix(&t.queue, old.index)
		return
	}
	entry := &timer{key: key, at: at, seq: t.seq}
	t.byKey[key] = entry
	heap.Push(&t.queue, entry)
}

func (t *timers) cancel(key timerKey) {
	if entry, ok := t.byKey[key]; ok {
		heap.Remove(&t.queue, entry.index)
		delete(t.byKey, key)
	}
}

// pop removes the earliest timer that is due and returns its key, or returns false.
func (t *timers) pop(now time.Duration) (timerKey, bool) {
	if len(t.queue) == 0 || t.queue[0].at > now {
		return timerKey{}, false
	}
	entry := heap.Pop(&t.queue).(*timer)
	delete(t.byKey, entry.key)
	return entry.key, true
}

// next returns the time of the earliest timer, or false when none is set.
func (t *timers) next() (time.Duration, bool) {
	if len(t.queue) == 0 {
		return 0, false
	}
	return t.queue[0].at, true
}
