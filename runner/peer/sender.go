package peer

import (
	"errors"
	"syscall"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

const (
	// maxQueuedMessages bounds the control messages that wait for one peer.
	maxQueuedMessages = 64
	// maxCancels bounds the cancellations that are under way to all peers.
	maxCancels = 256
	// cancelTries is how often a cancellation is sent. Connections that are reset together take it with them once.
	cancelTries = 2
	// senderIdleTimeout is how long the sender of a peer is kept without messages. It is longer than the interval of
	// heartbeats, which is one second.
	senderIdleTimeout = 30 * time.Second
)

// sender queues the control messages for one peer. runSender delivers them in order.
type sender struct {
	address string
	queue   chan outgoingMessage
}

// outgoingMessage is an RPC to a peer whose reply is empty or a NotifyReply.
type outgoingMessage struct {
	to     reducer.PeerRef
	method string
	args   any
}

// Send queues a control message without blocking. It returns a PeerSendFailed event when the queue is full, and nil
// otherwise.
func (c *Client) Send(s reducer.Send) reducer.Input {
	args := wireControl(s.Message)
	if args == nil {
		panic("peer: control message has no wire form")
	}
	return c.enqueue(outgoingMessage{s.To, "Peer.Notify", args})
}

// Cancel sends the cancellation of a call without blocking. It does not wait for the control messages to the peer, each of
// which waits for the reply to the one before: the sooner it arrives, the less is done for a caller that has left. Beyond
// maxCancels it is queued behind them, and dropped when the queue is full.
func (c *Client) Cancel(cancel reducer.Cancel) {
	out := outgoingMessage{cancel.To, "Peer.Cancel", &CancelArgs{ID: wireCallID(cancel.ID), Attempt: cancel.Attempt}}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	if c.cancels < maxCancels {
		c.cancels++
		c.goroutines.Go(func() { c.deliverCancel(out) })
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	c.enqueue(out)
}

// deliverCancel sends a cancellation, and again when its connection ends before the reply: a cancellation may arrive twice.
func (c *Client) deliverCancel(out outgoingMessage) {
	for range cancelTries {
		if c.deliver(out) == nil || c.ctx.Err() != nil {
			break
		}
	}
	c.mu.Lock()
	c.cancels--
	c.mu.Unlock()
}

// enqueue queues a message, and returns a PeerSendFailed event when the queue is full.
func (c *Client) enqueue(out outgoingMessage) reducer.Input {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	s, ok := c.senders[out.to.Address]
	if !ok {
		s = &sender{address: out.to.Address, queue: make(chan outgoingMessage, maxQueuedMessages)}
		c.senders[out.to.Address] = s
		c.goroutines.Go(func() { c.runSender(s) })
	}
	select {
	case s.queue <- out:
		return nil
	default:
		return reducer.PeerSendFailed{To: out.to}
	}
}

// runSender delivers the messages of a sender's queue. It ends when none has come for senderIdleTimeout, so that no
// goroutine or queue remains for a peer that has ended.
func (c *Client) runSender(s *sender) {
	idle := time.NewTimer(c.senderIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case out := <-s.queue:
			_ = c.deliver(out) // the reducer is told of a failure
			idle.Reset(c.senderIdleTimeout)
		case <-idle.C:
			if c.removeSender(s) {
				return
			}
			idle.Reset(c.senderIdleTimeout)
		case <-c.ctx.Done():
			return
		}
	}
}

// removeSender removes a sender and reports true, unless a message has been queued meanwhile.
func (c *Client) removeSender(s *sender) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(s.queue) > 0 {
		return false
	}
	delete(c.senders, s.address)
	return true
}

// deliver makes the RPC for one message. When it fails, deliver posts a PeerSendFailed event and returns the error.
func (c *Client) deliver(out outgoingMessage) error {
	ctx := c.timeouts.begin()
	defer ctx.end()
	if control, ok := out.args.(*ControlArgs); ok && control.ConfigUpdate != nil {
		out.args = &ControlArgs{ConfigUpdate: c.packer.pack(control.ConfigUpdate)}
	}
	var reply NotifyReply
	from, err := c.invokeFrom(ctx, connKey{out.to.Address, ClassControl}, out.method, out.args, &reply)
	if err == nil && reply.QuotaGrant != nil {
		c.post(reducer.PeerMessage{From: from, Message: reply.QuotaGrant.toMessage()})
	}
	if err != nil && c.ctx.Err() == nil {
		c.post(reducer.PeerSendFailed{To: out.to, Refused: errors.Is(err, syscall.ECONNREFUSED)})
	}
	return err
}
