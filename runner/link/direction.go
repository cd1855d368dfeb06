package link

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// direction is one direction of a link. Chunks that wait are let through by deadline: the admission of calls counts on a body
// that was promised earlier not being slowed by later ones, and large bodies would otherwise wait behind all small ones.
type direction struct {
	rate func() float64 // bytes a second

	mu      sync.Mutex
	free    time.Time // when the next chunk may be sent
	waiting chunks
	seq     uint64
	armed   bool // a timer will let the next chunk through
}

// chunk is a piece of a body that waits.
type chunk struct {
	bytes    int
	deadline time.Time
	seq      uint64 // order of arrival
	index    int    // in the heap; -1 once it may be sent
	ready    chan struct{}
}

// wait waits until n bytes may be sent. The deadline is that of the context.
func (d *direction) wait(ctx context.Context, n int) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(defaultDeadline)
	}
	d.mu.Lock()
	if len(d.waiting) == 0 && !now.Before(d.free) {
		d.charge(n, now)
		d.mu.Unlock()
		return nil
	}
	d.seq++
	c := &chunk{bytes: n, deadline: deadline, seq: d.seq, ready: make(chan struct{})}
	heap.Push(&d.waiting, c)
	d.arm(now)
	d.mu.Unlock()
	select {
	case <-c.ready:
		return nil
	case <-ctx.Done():
		return d.abandon(c, ctx.Err())
	}
}

// abandon removes a chunk that nobody waits for, and returns err, or nil if it was let through meanwhile.
func (d *direction) abandon(c *chunk, err error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.index < 0 {
		return nil
	}
	heap.Remove(&d.waiting, c.index)
	return err
}

// charge uses the link for n bytes.
func (d *direction) charge(n int, now time.Time) {
	if earliest := now.Add(-maxCredit); d.free.Before(earliest) {
		d.free = earliest
	}
	d.free = d.free.Add(time.Duration(float64(n) / d.rate() * float64(time.Second)))
}

// arm sets the timer for the next chunk, unless it is set. The lock must be held.
func (d *direction) arm(now time.Time) {
	if d.armed || len(d.waiting) == 0 {
		return
	}
	d.armed = true
	time.AfterFunc(d.free.Sub(now), d.letThrough)
}

// letThrough lets the chunk that is due first be sent.
func (d *direction) letThrough() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.armed = false
	now := time.Now()
	if len(d.waiting) > 0 && !now.Before(d.free) {
		c := heap.Pop(&d.waiting).(*chunk)
		d.charge(c.bytes, now)
		close(c.ready)
	}
	d.arm(now)
}

// chunks is a heap by deadline.
type chunks []*chunk

func (c chunks) Len() int { return len(c) }

func (c chunks) Less(i, j int) bool {
	if !c[i].deadline.Equal(c[j].deadline) {
		return c[i].deadline.Before(c[j].deadline)
	}
	return c[i].seq < c[j].seq
}

func (c chunks) Swap(i, j int) {
	c[i], c[j] = c[j], c[i]
	c[i].index, c[j].index = i, j
}

// Push implements heap.Interface.
func (c *chunks) Push(x any) {
	added := x.(*chunk)
	added.index = len(*c)
	*c = append(*c, added)
}

// Pop implements heap.Interface.
func (c *chunks) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	last.index = -1
	return last
}
