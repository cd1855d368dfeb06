package peer

import (
	"context"
	"errors"
	"net/rpc"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	dialTimeout = time.Second
	// controlTimeout bounds the RPC of a control message, a cancellation or a Settle.
	controlTimeout = time.Second
	// idleTimeout is how long a connection without RPCs stays open.
	idleTimeout = 5 * time.Minute
	// idleCheckInterval is the interval between checks for idle connections.
	idleCheckInterval = 30 * time.Second
)

// Client sends calls and control messages to peers. It opens a connection when it is first needed.
type Client struct {
	self     Identity
	post     func(reducer.Input) bool
	observer Observer
	ctx      context.Context
	cancel   context.CancelFunc
	// senderIdleTimeout is the constant of the same name, unless a test shortens it.
	senderIdleTimeout time.Duration
	packer            packer
	timeouts          timeouts // of control messages and cancellations
	pacer             *link.Pacer

	mu         sync.Mutex
	conns      map[connKey]*clientConn
	senders    map[string]*sender // by address
	closed     bool
	cancels    int // cancellations under way
	goroutines sync.WaitGroup
}

// NewClient returns a client that posts a PeerSendFailed event when it could not deliver a control message or a
// cancellation. The observer may be nil.
func NewClient(self Identity, post func(reducer.Input) bool, observer Observer) *Client {
	if observer == nil {
		observer = nopObserver{}
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		self: self, post: post, observer: observer, ctx: ctx, cancel: cancel, senderIdleTimeout: senderIdleTimeout,
		conns: map[connKey]*clientConn{}, senders: map[string]*sender{}, timeouts: timeouts{timeout: controlTimeout},
	}
	c.goroutines.Go(c.runIdleChecks)
	return c
}

// SetPacer sets the pacer of large bodies. It must be called before the first call.
func (c *Client) SetPacer(pacer *link.Pacer) { c.pacer = pacer }

// Close closes all connections and waits for the client's goroutines.
func (c *Client) Close() {
	c.cancel()
	c.timeouts.close()
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

// Forward sends a call to its target and waits for the answer, and for a response that comes in parts until it is
// complete or longer than traffic.MaxWholeBodyBytes. Without an answer the result is ForwardNotSent when
// no byte of the request can have left the node, and ForwardLost otherwise.
func (c *Client) Forward(ctx context.Context, f reducer.Forward, request *traffic.Request) (reducer.ForwardDone, *traffic.Response) {
	done := reducer.ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: reducer.ForwardNotSent}
	args := wireForward(ctx, f, request)
	if args.maxSize() > ClassBulk.maxRequestBytes() {
		return done, nil
	}
	var answer Answer
	key := connKey{f.To.Address, c.classFor(args, request)}
	if f.BodyAhead {
		if refused := c.sendAhead(ctx, key, f, args); refused != nil {
			return *refused, nil
		}
	} else if !f.Streaming && !c.isLarge(request) {
		c.pacer.NoteSmall()
	}
	args.Parts = c.pacer != nil
	err := c.invoke(ctx, key, "Peer.Forward", args, &answer)
	if err != nil {
		if args.maybeSent.Load() {
			done.Result = reducer.ForwardLost
		} else if args.Uploaded {
			c.endUpload(f)
		}
		return done, nil
	}
	done.Problem = answer.removeMalformed()
	done.Result = reducer.ForwardAnswered
	done.Outcome, done.Reason, done.Status = reducer.Outcome(answer.Outcome), reducer.Reason(answer.Reason), answer.Status
	done.Load, done.RetriesUsed = answer.Load.toLoadReport(), answer.RetriesUsed
	done.Took = time.Duration(answer.Took)
	done.Bytes = max(int64(len(answer.Body)), answer.Length)
	response := answer.toResponse()
	if !answer.HasRest {
		return done, response
	}
	rest := c.newPeerStream(f, c.streamKey(key), len(answer.Body))
	if response == nil { // it was malformed
		rest.Close()
		return done, nil
	}
	response.Rest, response.Length = rest, answer.Length
	switch err := readRest(ctx, response, f.Streaming); {
	case errors.Is(err, errBrokenOff):
		done.Outcome, done.Reason, done.Status = reducer.OutcomeUnknown, reducer.ReasonBackendFailed, 0
		return done, nil
	case err != nil:
		done.Result = reducer.ForwardLost
		return done, nil
	}
	return done, response
}

// Probe pings the peer on the connection that carries a request, and reports whether the peer answered, or any bytes
// arrived, within probe.Timeout. A connection without either is closed, which ends all calls on it. The answer itself may
// wait behind a long response or, on a slow link, behind those of other connections.
func (c *Client) Probe(ctx context.Context, probe reducer.Probe, request *traffic.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, probe.Timeout)
	defer cancel()
	class := c.classFor(wireForward(ctx, reducer.Forward{}, request), request)
	key := connKey{probe.To.Address, class}
	conn, err := c.acquire(ctx, key)
	if err != nil {
		return false
	}
	began := time.Now()
	if class == ClassBulk { // a long body may take that long to write
		err = c.invokeOn(ctx, conn, "Peer.Ping", &Empty{}, &Empty{})
	} else {
		err = c.ping(ctx, conn)
	}
	if errors.Is(err, context.DeadlineExceeded) && conn.observed.lastRead.Load() > began.UnixNano() {
		err = nil
	}
	c.release(key, conn, err)
	return err == nil
}

// ping makes an RPC in another goroutine: net/rpc waits without bound for the writes ahead of it, which is what a probe of a
// peer that does not read has to find out.
func (c *Client) ping(ctx context.Context, conn *clientConn) error {
	result := make(chan error, 1)
	go func() { result <- c.invokeOn(ctx, conn, "Peer.Ping", &Empty{}, &Empty{}) }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Settle asks a peer for the outcome of a call. It opens a new connection unless the current one had a response
// recently, because all connections to a peer that lost a call may have gone silent.
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
	done.Problem = answer.removeMalformed()
	done.Outcome, done.Reason, done.Status = reducer.Outcome(answer.Outcome), reducer.Reason(answer.Reason), answer.Status
	done.Load = answer.Load.toLoadReport()
	return done, answer.toResponse()
}

// invoke makes one RPC. When the connection turns out to have ended before the request was sent, invoke tries once more
// on a new connection.
func (c *Client) invoke(ctx context.Context, key connKey, method string, args, reply any) error {
	_, err := c.invokeFrom(ctx, key, method, args, reply)
	return err
}

// invokeFrom makes an RPC like invoke, and returns the peer that replied unless there is an error.
func (c *Client) invokeFrom(ctx context.Context, key connKey, method string, args, reply any) (reducer.PeerRef, error) {
	for attempt := 0; ; attempt++ {
		conn, err := c.acquire(ctx, key)
		if err != nil {
			return reducer.PeerRef{}, err
		}
		err = c.invokeOn(ctx, conn, method, args, reply)
		c.release(key, conn, err)
		if err != rpc.ErrShutdown || attempt > 0 || mayHaveBeenSent(args) || c.ctx.Err() != nil {
			return conn.peer, err
		}
	}
}

// mayHaveBeenSent reports whether any byte of a request may have left the node. Only forwarded calls track that; all
// other requests are safe to repeat.
func mayHaveBeenSent(args any) bool {
	call, ok := args.(*ForwardArgs)
	return ok && call.maybeSent.Load()
}

// invokeOn makes one RPC on a connection. When the context ends, the RPC is left pending.
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
