package peer

import (
	"context"
	"sync"
)

// inflight counts the requests whose response has not been written yet.
type inflight struct {
	mu    sync.Mutex
	count int
	idle  chan struct{} // closed when count falls to 0; nil when no caller of wait needs it
}

// add adds n to the count, and wakes the callers of wait when the count is 0.
func (f *inflight) add(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count += n
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// wait returns nil when no request is in flight, or the context's error when the context ends first.
func (f *inflight) wait(ctx context.Context) error {
	f.mu.Lock()
	if f.count == 0 {
		f.mu.Unlock()
		return nil
	}
	if f.idle == nil {
		f.idle = make(chan struct{})
	}
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
