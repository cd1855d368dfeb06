package traffic

import (
	"sync"
	"testing"

	"go.uber.org/goleak"
)

// Guards against a function that waits for another one to return, against an unlimited number of idle goroutines, and
// against functions that do not run because the pool is closed.
func TestWorkersNeverMakeFunctionsWait(t *testing.T) {
	defer goleak.VerifyNone(t)
	const functions = 3 * maxIdleWorkers
	w := NewWorkers()
	for _, closed := range []bool{false, false, true} {
		if closed {
			w.Close()
		}
		var started, ended sync.WaitGroup
		release := make(chan struct{})
		started.Add(functions)
		for range functions {
			ended.Add(1)
			w.Go(func() {
				defer ended.Done()
				started.Done()
				<-release
			})
		}
		started.Wait() // blocks if a function waits for another one
		close(release)
		ended.Wait()
		if idle := w.idle.Load(); idle > maxIdleWorkers {
			t.Errorf("%d goroutines are idle, expected at most %d", idle, maxIdleWorkers)
		}
	}
}
