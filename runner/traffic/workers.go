package traffic

import "sync/atomic"

// maxIdleWorkers bounds the goroutines that wait for work. With their stacks they take about 1 MB.
const maxIdleWorkers = 64

// Workers run functions in goroutines that are used again. A new goroutine starts with a stack of 2 KB, and
// growing it for net/http and gob took 9% of the processor time of a call.
type Workers struct {
	jobs chan func() // not buffered: only an idle goroutine takes a function
	idle atomic.Int64
	done chan struct{}
}

// NewWorkers returns workers without a goroutine.
func NewWorkers() *Workers {
	return &Workers{jobs: make(chan func()), done: make(chan struct{})}
}

// Go runs a function in another goroutine. It never waits for one. Without workers (nil), and after Close, the
// goroutine ends with its function.
func (w *Workers) Go(f func()) {
	if w == nil {
		go f()
		return
	}
	select {
	case w.jobs <- f:
	default:
		go w.run(f)
	}
}

// run runs a function and those that come later, until enough goroutines are idle.
func (w *Workers) run(f func()) {
	for {
		f()
		if !w.becomeIdle() {
			return
		}
		select {
		case f = <-w.jobs:
			w.idle.Add(-1)
		case <-w.done:
			w.idle.Add(-1)
			return
		}
	}
}

// becomeIdle counts one more idle goroutine, or reports that there are enough. The count never passes its bound, not
// even for a moment: goroutines that ended at once would otherwise each see the others and all give up.
func (w *Workers) becomeIdle() bool {
	for {
		idle := w.idle.Load()
		if idle >= maxIdleWorkers {
			return false
		}
		if w.idle.CompareAndSwap(idle, idle+1) {
			return true
		}
	}
}

// Close ends the goroutines that are idle, and the others with their functions. It must be called once.
func (w *Workers) Close() { close(w.done) }
