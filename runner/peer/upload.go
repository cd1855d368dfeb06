package peer

import (
	"context"
	"errors"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Bounds of request bodies that move between nodes in parts, ahead of their calls.
const (
	// maxUploadBytes bounds the bodies that a node holds for calls that have not arrived yet: 44 of 360 KB, a tenth of an
	// instance's 184 MB. Further ones are refused before they are sent.
	maxUploadBytes = 16 << 20
	// uploadPartTimeout bounds the wait for the answer to one part.
	uploadPartTimeout = 10 * time.Second
)

// UploadArgs announces the body of a call, which follows in parts.
type UploadArgs struct {
	ID                CallID
	Attempt           int
	Route             string
	Pool              string
	Priority          int
	Idempotent        bool
	Length            int64
	TimeLeft          int64 // ns
	TargetIncarnation uint64
}

func (a *UploadArgs) toInput(exchange reducer.Handle) reducer.UploadOffered {
	return reducer.UploadOffered{
		Exchange: exchange, ID: a.ID.toCallID(), Attempt: a.Attempt, Route: a.Route, Pool: a.Pool, Priority: min(max(a.Priority, 0), tables.Priorities-1),
		Idempotent: a.Idempotent, Bytes: a.Length, TimeLeft: time.Duration(a.TimeLeft), TargetIncarnation: reducer.Incarnation(a.TargetIncarnation),
	}
}

// UploadAnswer says whether the target takes the body of a call. If it does not, the call has not run and will not.
type UploadAnswer struct {
	Accepted bool
	Reason   uint8
	Load     Load
}

// UploadPart is a part of the body of a call.
type UploadPart struct {
	ID      CallID
	Attempt int
	Offset  int64
	Data    []byte
}

// errNoUpload is returned for a part of a body that the node does not take, or that does not follow the part before it.
var errNoUpload = errors.New("there is no such upload")

// uploads holds the bodies that have been accepted and whose calls have not arrived.
type uploads struct {
	mu       sync.Mutex
	byCall   map[streamKey]*upload
	reserved int64 // announced bytes
}

// upload is a body that is being received.
type upload struct {
	body   []byte
	length int64
	expiry *time.Timer
}

// begin reserves memory for a body until the time of its call is over. It returns false if there is too little.
func (u *uploads) begin(key streamKey, length int64, timeLeft time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byCall == nil {
		u.byCall = map[streamKey]*upload{}
	}
	if length < 0 || u.byCall[key] != nil || u.reserved+length > maxUploadBytes {
		return false
	}
	body := &upload{length: length}
	body.expiry = time.AfterFunc(timeLeft, func() { u.take(key) })
	u.byCall[key] = body
	u.reserved += length
	return true
}

// write appends a part. A part that has been received before is ignored, because its answer may have been lost.
func (u *uploads) write(key streamKey, offset int64, data []byte) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	body := u.byCall[key]
	if body == nil {
		return errNoUpload
	}
	received := int64(len(body.body))
	switch {
	case offset+int64(len(data)) == received:
		return nil
	case offset != received || received+int64(len(data)) > body.length:
		return errNoUpload
	}
	if body.body == nil {
		body.body = make([]byte, 0, body.length)
	}
	body.body = append(body.body, data...)
	return nil
}

// take removes a body and returns it, or false if it is not complete.
func (u *uploads) take(key streamKey) ([]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	body := u.byCall[key]
	if body == nil {
		return nil, false
	}
	body.expiry.Stop()
	delete(u.byCall, key)
	u.reserved -= body.length
	return body.body, int64(len(body.body)) == body.length
}

// clear removes all bodies.
func (u *uploads) clear() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, body := range u.byCall {
		body.expiry.Stop()
	}
	u.byCall, u.reserved = nil, 0
}

// BeginUpload replies whether this node takes the body of a call.
func (s *service) BeginUpload(args *UploadArgs, reply *UploadAnswer) error {
	answer := s.handler.OfferUpload(args.toInput)
	reply.Accepted, reply.Reason, reply.Load = answer.Accepted, uint8(answer.Reason), wireLoad(answer.Load)
	key := streamKey{args.ID.toCallID(), args.Attempt}
	if reply.Accepted && !s.uploads.begin(key, args.Length, time.Duration(args.TimeLeft)) {
		reply.Accepted, reply.Reason = false, uint8(reducer.ReasonQueueFull)
	}
	return nil
}

// WriteUpload takes a part of a body.
func (s *service) WriteUpload(args *UploadPart, _ *Empty) error {
	return s.uploads.write(streamKey{args.ID.toCallID(), args.Attempt}, args.Offset, args.Data)
}

// EndUpload drops a body whose call is not sent.
func (s *service) EndUpload(args *CancelArgs, _ *Empty) error {
	s.uploads.take(streamKey{args.ID.toCallID(), args.Attempt})
	return nil
}

// takeUpload puts the body that came ahead of a call into it. It returns false if the body is not there: the call must not
// run without it.
func (s *service) takeUpload(args *ForwardArgs) bool {
	if !args.Uploaded {
		return true
	}
	body, ok := s.uploads.take(streamKey{args.ID.toCallID(), args.Attempt})
	args.Body = body
	return ok
}

// errNoUploads is returned for a peer of an earlier version, which takes the body with the call.
var errNoUploads = errors.New("the peer takes no body ahead of its call")

// sendBody sends the body of a call ahead of it, in paced parts, once the target has accepted it. The call has not been
// sent then: an error, or a refusal in the answer, means that it does not run.
func (c *Client) sendBody(ctx context.Context, key connKey, f reducer.Forward, body []byte) (UploadAnswer, error) {
	deadline := time.Now().Add(f.TimeLeft)
	var answer UploadAnswer
	id := wireCallID(f.ID)
	begin := &UploadArgs{
		ID: id, Attempt: f.Attempt, Route: f.Route, Pool: f.Pool, Priority: f.Priority, Idempotent: f.Idempotent, Length: int64(len(body)),
		TimeLeft: int64(f.TimeLeft), TargetIncarnation: uint64(f.To.Incarnation),
	}
	err := c.invokeWithin(ctx, key, "Peer.BeginUpload", begin, &answer)
	var serverErr rpc.ServerError
	if errors.As(err, &serverErr) && strings.Contains(err.Error(), "can't find method") {
		return answer, errNoUploads
	}
	if err != nil || !answer.Accepted {
		return answer, err
	}
	for offset := 0; offset < len(body); offset += link.ChunkBytes {
		part := &UploadPart{ID: id, Attempt: f.Attempt, Offset: int64(offset), Data: body[offset:min(offset+link.ChunkBytes, len(body))]}
		if err := c.sendPart(ctx, key, deadline, part); err != nil {
			c.endUpload(f)
			return answer, err
		}
	}
	return answer, nil
}

// endUpload tells the target that the call of a body does not come.
func (c *Client) endUpload(f reducer.Forward) {
	c.enqueue(outgoingMessage{f.To, "Peer.EndUpload", &CancelArgs{ID: wireCallID(f.ID), Attempt: f.Attempt}})
}

// sendPart sends a part in its turn. The deadline bounds only the wait for that: an RPC that ends with it would count as a
// failure of the connection, which others use.
func (c *Client) sendPart(ctx context.Context, key connKey, deadline time.Time, part *UploadPart) error {
	paceCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := c.pacer.WaitOut(paceCtx, len(part.Data)); err != nil {
		return err
	}
	return c.invokeWithin(ctx, key, "Peer.WriteUpload", part, &Empty{})
}

func (c *Client) invokeWithin(ctx context.Context, key connKey, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, uploadPartTimeout)
	defer cancel()
	return c.invoke(ctx, key, method, args, reply)
}
