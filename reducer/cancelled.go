package reducer

import "time"

const (
	// cancelMemory is how long a cancellation is remembered whose call has not arrived: longer than most calls wait on a
	// connection to a peer that reads slowly.
	cancelMemory = 5 * time.Second
	// maxCancelled bounds the remembered cancellations. Most of them are of calls that have ended.
	maxCancelled = 4096
)

// cancelledCalls remembers the cancellations that arrived before their calls. A cancellation travels on the control
// connection and overtakes a call that waits on another one; without it the call would run for a caller that has left.
type cancelledCalls struct {
	attempts map[CallID]int // latest cancelled attempt
	order    []cancelledCall
}

type cancelledCall struct {
	id        CallID
	expiresAt time.Duration
}

// add remembers a cancellation and forgets those that have expired, or the oldest if there are too many.
func (c *cancelledCalls) add(id CallID, attempt int, now time.Duration) {
	expired := 0
	for expired < len(c.order) && (c.order[expired].expiresAt <= now || len(c.order)-expired >= maxCancelled) {
		delete(c.attempts, c.order[expired].id)
		expired++
	}
	c.order = c.order[expired:]
	if c.attempts == nil {
		c.attempts = map[CallID]int{}
	}
	if _, known := c.attempts[id]; !known {
		c.order = append(c.order, cancelledCall{id, now + cancelMemory})
	}
	c.attempts[id] = max(c.attempts[id], attempt)
}

// covers reports whether an attempt of a call was cancelled before it arrived.
func (c *cancelledCalls) covers(id CallID, attempt int) bool { return attempt <= c.attempts[id] }

// handleCancelArrived cancels a call that nobody waits for. A later attempt of the same call goes on.
func (s *State) handleCancelArrived(in CancelArrived) {
	call := s.target.byID[in.ID]
	switch {
	case call == nil:
		s.target.cancelled.add(in.ID, in.Attempt, s.now)
	case in.Attempt == 0 || call.attempt <= in.Attempt:
		s.cancelTargetCall(call)
	}
}
