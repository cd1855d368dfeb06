package peer

import (
	"context"
	"sync"
	"time"
)

// timeouts ends the contexts of RPCs that have the same timeout. One timer serves all: a timer for each RPC is stopped when
// the reply arrives, but the Go runtime still wakes a thread at the time for which it was set.
type timeouts struct {
	timeout time.Duration

	mu      sync.Mutex
	pending []*timeoutContext // in the order of their deadlines; those at the head have not ended
	timer   *time.Timer       // nil before the first RPC
	armed   bool
	closed  bool
}

// timeoutContext is a context that ends with its deadline, or when its owner is closed. It must be released with end.
type timeoutContext struct {
	context.Context
	owner    *timeouts
	deadline time.Time
	done     chan struct{} // closed when the context ends
	err      error         // set before done is closed
	ended    bool          // end was called; under the owner's lock
}

// begin returns a context that ends after the timeout.
func (t *timeouts) begin() *timeoutContext {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &timeoutContext{Context: context.Background(), owner: t, deadline: time.Now().Add(t.timeout), done: make(chan struct{})}
	if t.closed {
		c.finish(context.Canceled)
		return c
	}
	t.pending = append(t.pending, c)
	if !t.armed {
		t.arm(t.timeout)
	}
	return c
}

// arm sets the timer. The lock must be held.
func (t *timeouts) arm(after time.Duration) {
	t.armed = true
	if t.timer == nil {
		t.timer = time.AfterFunc(after, t.expire)
		return
	}
	t.timer.Reset(after)
}

// expire ends the contexts whose deadline has come, and sets the timer for the next one.
func (t *timeouts) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = false
	for now := time.Now(); len(t.pending) > 0; t.removeFirst() {
		first := t.pending[0]
		if left := first.deadline.Sub(now); left > 0 {
			t.arm(left)
			return
		}
		first.finish(context.DeadlineExceeded)
	}
}

// removeFirst removes the first pending context and those that follow it and have ended. The lock must be held.
func (t *timeouts) removeFirst() {
	for {
		t.pending[0] = nil
		t.pending = t.pending[1:]
		if len(t.pending) == 0 || !t.pending[0].ended {
			return
		}
	}
}

// close ends all contexts and stops the timer.
func (t *timeouts) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.timer != nil {
		t.timer.Stop()
	}
	for _, c := range t.pending {
		if !c.ended {
			c.finish(context.Canceled)
		}
	}
	t.pending = nil
}

// finish ends the context. The owner's lock must be held.
func (c *timeoutContext) finish(err error) {
	c.err = err
	close(c.done)
}

// end releases the context.
func (c *timeoutContext) end() {
	t := c.owner
	t.mu.Lock()
	defer t.mu.Unlock()
	c.ended = true
	if len(t.pending) > 0 && t.pending[0] == c {
		t.removeFirst()
	}
}

// Deadline implements context.Context.
func (c *timeoutContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Done implements context.Context.
func (c *timeoutContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *timeoutContext) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}
