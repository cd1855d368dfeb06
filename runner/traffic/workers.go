package traffic

import "sync/atomic"

// maxIdleWorkers is the maximum number of idle goroutines. With their stacks they use about 1 MB.
const maxIdleWorkers = 64

// Workers is a pool of goroutines that run functions. It reuses goroutines because a new one starts with a stack of
// 2 KB, and growing the stack for net/http and gob took 9% of the processor time of a call.
type Workers struct {
	jobs chan func() // unbuffered, so that a send succeeds only if a goroutine is idle
	idle atomic.Int64
	done chan struct{}
}

// NewWorkers returns a pool that has not started any goroutine.
func NewWorkers() *Workers {
	return &Workers{jobs: make(chan func()), done: make(chan struct{})}
}

// Go runs a function in an idle goroutine, or in a new one if none is idle. It does not block. On a nil pool and after
// Close, a goroutine ends with its function.
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

// run runs a function and then further ones, until the pool is closed or has enough other idle goroutines.
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

// becomeIdle counts the goroutine as idle, or returns false if maxIdleWorkers others are. The count must not exceed
// maxIdleWorkers even briefly: goroutines that finish at the same time would count each other and all end.
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

// Close ends the idle goroutines now and the others when their functions return. It must be called only once.
func (w *Workers) Close() { close(w.done) }
