// Package control runs the control thread, the only goroutine that accesses the reducer's state.
//
// Other goroutines send it events through two bounded queues. It blocks while there is no event and no timer is due.
package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const (
	// arrivalQueueSize limits the new calls that wait for the control thread. At a few microseconds per event, a full
	// queue delays a call by some milliseconds; beyond that, the call is refused at once.
	arrivalQueueSize = 1024
	// completionQueueSize limits all other events that wait for the control thread.
	completionQueueSize = 4096
)

// Performer carries out effects. Perform does not block. It returns nil, or, if the effect cannot be carried out, the
// event that reports the failure.
type Performer interface {
	Perform(effect reducer.Effect) reducer.Input
}

// Thread is the control thread and its queues.
type Thread struct {
	arrivals    chan reducer.Input
	completions chan reducer.Input
	started     time.Time
	done        chan struct{}
	wake        *time.Timer
	observe     func(input reducer.Input, took time.Duration)
}

// New returns a control thread that has not started. If observe is not nil, it is called on the control thread after
// each event, with the time that the event took to reduce.
func New(observe func(input reducer.Input, took time.Duration)) *Thread {
	return &Thread{
		arrivals:    make(chan reducer.Input, arrivalQueueSize),
		completions: make(chan reducer.Input, completionQueueSize),
		started:     time.Now(),
		done:        make(chan struct{}),
		observe:     observe,
	}
}

// PostArrival queues the event of a new call and never blocks. It returns false if the queue is full or the thread has
// ended. The call must then be refused with the outcome of CallArrived.RefusalOutcome, which is unknown for a call with
// an idempotency key that is not a first attempt; the reducer does not learn of it. Calls that peers forward are queued
// with Post instead, and runner/target answers them with an unknown outcome if the thread ends without deciding them.
func (t *Thread) PostArrival(input reducer.Input) bool {
	select {
	case <-t.done:
		return false
	default:
	}
	select {
	case t.arrivals <- input:
		return true
	default:
		return false
	}
}

// Post queues any other event. It blocks while the queue is full, because such an event must not be lost, and returns
// false if the thread has ended.
func (t *Thread) Post(input reducer.Input) bool {
	select {
	case <-t.done: // checked first: the second select picks at random if the queue has room
		return false
	default:
	}
	select {
	case t.completions <- input:
		return true
	case <-t.done:
		return false
	}
}

// QueuedArrivals returns the number of queued new calls.
func (t *Thread) QueuedArrivals() int { return len(t.arrivals) }

// QueuedCompletions returns the number of other queued events.
func (t *Thread) QueuedCompletions() int { return len(t.completions) }

// Done returns a channel that is closed when the control thread has ended.
func (t *Thread) Done() <-chan struct{} { return t.done }

// Run is the control thread: it processes events until ctx is done. It must be called only once.
func (t *Thread) Run(ctx context.Context, state *reducer.State, performer Performer) {
	defer close(t.done)
	t.wake = time.NewTimer(0)
	defer t.wake.Stop()
	for {
		input, ok := t.next(ctx)
		if !ok {
			return
		}
		t.process(state, input, performer)
	}
}

// next waits for an event. Completions take precedence over arrivals. It returns false when ctx is done.
func (t *Thread) next(ctx context.Context) (reducer.Input, bool) {
	select {
	case input := <-t.completions:
		return input, true
	default:
	}
	select {
	case <-ctx.Done():
		return nil, false
	case <-t.wake.C:
		return reducer.TimerDue{}, true
	case input := <-t.completions:
		return input, true
	case input := <-t.arrivals:
		return input, true
	}
}

// process reduces an input and carries out its effects. Inputs that report failed effects are processed in turn.
func (t *Thread) process(state *reducer.State, input reducer.Input, performer Performer) {
	pending := []reducer.Input{input}
	for len(pending) > 0 {
		input, pending = pending[0], pending[1:]
		begin := time.Now()
		effects := reducer.Reduce(state, reducer.Event{Now: begin.Sub(t.started), Rand: rand.Uint64(), Input: input})
		if t.observe != nil {
			t.observe(input, time.Since(begin))
		}
		for _, effect := range effects {
			if wake, ok := effect.(reducer.WakeAt); ok {
				t.wake.Reset(wake.At - time.Since(t.started))
				continue
			}
			if failed := performer.Perform(effect); failed != nil {
				pending = append(pending, failed)
			}
		}
	}
}
