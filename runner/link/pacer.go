// Package link paces the bytes of large bodies on the network link of the instance, so that small messages do not wait long
// behind them.
package link

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const (
	// ChunkBytes is the largest piece of a large body that is sent at a time. At 10 Mbit/s it takes 13 ms; a small message
	// may wait 20 ms.
	ChunkBytes = 16 << 10
	// LargeBytes is the longest body that is not paced.
	LargeBytes = reducer.LargeBodyBytes
	// sharedPercent is the part of the link that large bodies get while small messages are in flight. The rest is enough
	// for the small messages and for the headers of packets.
	sharedPercent = 85
	// alonePercent is the part that they get otherwise. Headers of packets take 3 to 5 of 100.
	alonePercent = 95
	// smallInFlight is how long after a small message others are expected. Calls of a backend server during a request are
	// some 100 ms apart.
	smallInFlight = 250 * time.Millisecond
	// defaultDeadline is when a body without a deadline is due. It is a usual time of a call.
	defaultDeadline = time.Second
	// maxCredit is how much of a pause that lasted too long is made up for: timers fire some ms late on a busy instance.
	maxCredit = 10 * time.Millisecond
)

// Pacer paces large bodies in both directions of a link. A nil Pacer does nothing. It is safe for concurrent use.
type Pacer struct {
	out, in        direction
	bytesPerSecond float64
	lastSmall      atomic.Int64 // ns since start of the last small message
	start          time.Time
	paced          atomic.Int64 // bytes sent
	waits          atomic.Int64 // ns that senders have waited
}

// New returns a pacer for a link of a rate in Mbit/s, or nil for 0.
func New(mbps float64) *Pacer {
	if mbps <= 0 {
		return nil
	}
	p := &Pacer{bytesPerSecond: mbps * 1e6 / 8, start: time.Now()}
	p.lastSmall.Store(-int64(smallInFlight))
	p.out.rate, p.in.rate = p.rate, p.rate
	return p
}

// NoteSmall records that a small message was sent or received.
func (p *Pacer) NoteSmall() {
	if p != nil {
		p.lastSmall.Store(int64(time.Since(p.start)))
	}
}

// rate returns the rate of large bodies at this moment in bytes a second.
func (p *Pacer) rate() float64 {
	if time.Since(p.start)-time.Duration(p.lastSmall.Load()) < smallInFlight {
		return p.bytesPerSecond * sharedPercent / 100
	}
	return p.bytesPerSecond * alonePercent / 100
}

// WaitOut waits until n bytes of a large body, at most ChunkBytes, may be sent. The one whose context ends first goes first.
// The error is that of the context.
func (p *Pacer) WaitOut(ctx context.Context, n int) error {
	if p == nil {
		return nil
	}
	began := time.Now()
	err := p.out.wait(ctx, n)
	p.waits.Add(int64(time.Since(began)))
	if err == nil {
		p.paced.Add(int64(n))
	}
	return err
}

// WaitIn waits until n bytes of a large body, at most ChunkBytes, may be asked for.
func (p *Pacer) WaitIn(ctx context.Context, n int) error {
	if p == nil {
		return nil
	}
	return p.in.wait(ctx, n)
}

// Write writes a body to w, in paced chunks if it is large.
func (p *Pacer) Write(ctx context.Context, w io.Writer, body []byte) error {
	if p == nil || len(body) <= LargeBytes {
		p.NoteSmall()
		_, err := w.Write(body)
		return err
	}
	for len(body) > 0 {
		n := min(len(body), ChunkBytes)
		if err := p.WaitOut(ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
	}
	return nil
}

// PacedBytes returns the bytes of large bodies that were sent so far.
func (p *Pacer) PacedBytes() int64 {
	if p == nil {
		return 0
	}
	return p.paced.Load()
}

// WaitTime returns how long senders of large bodies have waited so far, all together.
func (p *Pacer) WaitTime() time.Duration {
	if p == nil {
		return 0
	}
	return time.Duration(p.waits.Load())
}
