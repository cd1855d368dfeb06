package peer

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	dialTimeout = time.Second
	// controlTimeout bounds a control message and the question for an outcome.
	controlTimeout = time.Second
	// idleTimeout is how long a connection without calls is kept.
	idleTimeout = 5 * time.Minute
	// idleCheckInterval is the interval of looking for idle connections.
	idleCheckInterval = 30 * time.Second
)

// Client sends messages to peers. Connections are opened when they are first used.
type Client struct {
	self     Identity
	post     func(reducer.Input) bool
	observer Observer
	ctx      context.Context
	cancel   context.CancelFunc
	// senderIdleTimeout is how long a sender without messages is kept.
	senderIdleTimeout time.Duration
	packer            packer

	mu         sync.Mutex
	conns      map[connKey]*clientConn
	senders    map[string]*sender // by address
	closed     bool
	goroutines sync.WaitGroup
}

// NewClient returns a client that posts failures of control messages as events. The observer may be nil.
func NewClient(self Identity, post func(reducer.Input) bool, observer Observer) *Client {
	if observer == nil {
		observer = nopObserver{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		self: self, post: post, observer: observer, ctx: ctx, cancel: cancel, senderIdleTimeout: senderIdleTimeout,
		conns: map[connKey]*clientConn{}, senders: map[string]*sender{},
	}
	c.goroutines.Go(c.runIdleChecks)
	return c
}

// Close ends all connections and waits for the client's goroutines.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = map[connKey]*clientConn{}
	c.mu.Unlock()
	for _, conn := range conns {
		<-conn.ready
		conn.close()
	}
	c.goroutines.Wait()
}

// Forward sends a call and waits for its answer.
func (c *Client) Forward(ctx context.Context, f reducer.Forward, request *traffic.Request) (reducer.ForwardDone, *traffic.Response) {
	done := reducer.ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: reducer.ForwardNotSent}
	args := wireForward(f, request)
	if args.maxEncodedBytes() > ClassBulk.maxRequestBytes() {
		return done, nil
	}
	var answer Answer
	err := c.invoke(ctx, connKey{f.To.Address, classFor(args, request)}, "Peer.Forward", args, &answer)
	if err != nil {
		if args.maybeSent.Load() {
			done.Result = reducer.ForwardLost
		}
		return done, nil
	}
	done.Result = reducer.ForwardAnswered
	done.Outcome, done.Reason, done.Status = reducer.Outcome(answer.Outcome), reducer.Reason(answer.Reason), answer.Status
	done.Load, done.RetriesUsed = answer.Load.toLoadReport(), answer.RetriesUsed
	done.Took = time.Duration(answer.Took)
	return done, answer.toResponse()
}

// Probe pings the connection that carries a request. When there is no answer in time the connection is
// closed and Probe returns false.
func (c *Client) Probe(ctx context.Context, p reducer.Probe, request *traffic.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	class := classFor(wireForward(reducer.Forward{}, request), request)
	return c.invoke(ctx, connKey{p.To.Address, class}, "Peer.Ping", &Empty{}, &Empty{}) == nil
}

// Settle asks for the outcome of a call. It uses a new connection unless the present one has answered
// lately, because the connections to a peer that lost a call may all have gone silent.
func (c *Client) Settle(ctx context.Context, s reducer.Settle) (reducer.SettleDone, *traffic.Response) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var answer Answer
	key := connKey{s.To.Address, ClassControl}
	c.retireIfSilent(key, time.Now())
	err := c.invoke(ctx, key, "Peer.Settle", wireSettle(s), &answer)
	done := reducer.SettleDone{Call: s.Call, Attempt: s.Attempt, Answered: err == nil}
	if err != nil {
		return done, nil
	}
	done.Outcome, done.Reason, done.Status = reducer.Outcome(answer.Outcome), reducer.Reason(answer.Reason), answer.Status
	done.Load = answer.Load.toLoadReport()
	return done, answer.toResponse()
}

// invoke makes one RPC. A connection that had ended before anything was sent on it is replaced once.
func (c *Client) invoke(ctx context.Context, key connKey, method string, args, reply any) error {
	for attempt := 0; ; attempt++ {
		conn, err := c.acquire(ctx, key)
		if err != nil {
			return err
		}
		err = c.invokeOn(ctx, conn, method, args, reply)
		c.release(key, conn, err)
		if err != rpc.ErrShutdown || attempt > 0 || mayHaveBeenSent(args) || c.ctx.Err() != nil {
			return err
		}
	}
}

// mayHaveBeenSent reports whether a request may have been sent. Only a call remembers that; all other messages
// may be repeated.
func mayHaveBeenSent(args any) bool {
	call, ok := args.(*ForwardArgs)
	return ok && call.maybeSent.Load()
}

func (c *Client) invokeOn(ctx context.Context, conn *clientConn, method string, args, reply any) error {
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			conn.lastHeard.Store(time.Now().UnixNano())
		}
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}
