package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Bounds of responses that move between nodes in parts. The ingress node asks for each part, so that a caller that reads
// slowly holds up only its own response, and other responses on the connection have their turn between two parts.
const (
	// partTimeout bounds the wait of the ingress node for one part.
	partTimeout = 10 * time.Second
	// maxPartWait bounds the wait of a part for the link. It is less than partTimeout, at which the peer closes the connection.
	maxPartWait = 5 * time.Second
	// maxServedStreams bounds the responses that a node passes on at a time. Further ones are sent as a whole.
	maxServedStreams = 1024
)

// StreamArgs asks for the part of a response that starts at an offset.
type StreamArgs struct {
	ID      CallID
	Attempt int
	Offset  int64 // bytes that have been received
}

// StreamPart is a part of a response.
type StreamPart struct {
	Data   []byte
	End    bool // the body is complete with Data
	Broken bool // the body broke off
}

// streamKey identifies a response that is passed on.
type streamKey struct {
	id      reducer.CallID
	attempt int
}

// servedStreams holds the responses that this node passes on to peers.
type servedStreams struct {
	onChange func(n int) // called with 1 for each stream that begins and with -1 when it ends

	mu     sync.Mutex
	byCall map[streamKey]*servedStream
}

// servedStream is a response that a peer fetches in parts. A part can be fetched again until the next one is, because
// an answer may be lost with its connection.
type servedStream struct {
	fetching  sync.Mutex // held while a part is fetched
	partBytes int
	body      []byte // received, not sent yet
	rest      traffic.BodyStream
	sent      int64 // bytes of the parts before last
	last      StreamPart
	ctx       context.Context
	cancel    context.CancelFunc
}

// add registers the rest of a response until the deadline of its call. It returns false if there are too many.
func (s *servedStreams) add(key streamKey, partBytes int, first int64, body []byte, rest traffic.BodyStream, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byCall == nil {
		s.byCall = map[streamKey]*servedStream{}
	}
	if len(s.byCall) >= maxServedStreams || s.byCall[key] != nil {
		return false
	}
	stream := &servedStream{partBytes: partBytes, body: body, rest: rest, sent: first}
	stream.ctx, stream.cancel = context.WithDeadline(context.Background(), deadline)
	context.AfterFunc(stream.ctx, func() { s.remove(key, stream) })
	s.byCall[key] = stream
	s.onChange(1)
	return true
}

// remove releases a stream whose end was fetched, whose peer closed it, or whose time is up.
func (s *servedStreams) remove(key streamKey, stream *servedStream) {
	s.mu.Lock()
	known := s.byCall[key] == stream
	if known {
		delete(s.byCall, key)
	}
	s.mu.Unlock()
	if !known {
		return
	}
	stream.cancel()
	if stream.rest != nil {
		stream.rest.Close()
	}
	s.onChange(-1)
}

func (s *servedStreams) get(key streamKey) *servedStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byCall[key]
}

// closeAll releases all streams.
func (s *servedStreams) closeAll() {
	s.mu.Lock()
	streams := make([]*servedStream, 0, len(s.byCall))
	for _, stream := range s.byCall {
		streams = append(streams, stream)
	}
	s.mu.Unlock()
	for _, stream := range streams {
		stream.cancel()
	}
}

// errNoStream is returned for a response that this node does not pass on, or not from the given offset.
var errNoStream = errors.New("there is no such part of a response")

// part returns the part at an offset. It waits until the part has arrived.
func (t *servedStream) part(offset int64) (StreamPart, error) {
	t.fetching.Lock()
	defer t.fetching.Unlock()
	if offset == t.sent && (len(t.last.Data) > 0 || t.last.End) {
		return t.last, nil
	}
	if offset != t.sent+int64(len(t.last.Data)) || t.last.End || t.last.Broken {
		return StreamPart{}, errNoStream
	}
	t.sent = offset
	t.last = t.next()
	return t.last, nil
}

// next takes the next part from the received bytes or from the backend server.
func (t *servedStream) next() StreamPart {
	if len(t.body) > 0 {
		n := min(len(t.body), t.partBytes)
		part := StreamPart{Data: t.body[:n], End: n == len(t.body) && t.rest == nil}
		t.body = t.body[n:]
		return part
	}
	if t.rest == nil {
		return StreamPart{End: true}
	}
	data, err := t.rest.Next(t.ctx)
	if len(data) > t.partBytes {
		t.body = data[t.partBytes:]
		data = data[:t.partBytes]
	}
	switch {
	case err == io.EOF:
		return StreamPart{End: true}
	case err != nil:
		return StreamPart{Broken: true}
	default:
		return StreamPart{Data: data}
	}
}

// splitResponse keeps the first part of a long response in the answer and registers the rest, if the peer takes parts.
func (s *service) splitResponse(args *ForwardArgs, reply *Answer, response *traffic.Response, deadline time.Time) {
	partBytes := s.partBytes()
	if !s.takesParts(args) || response == nil || len(reply.Body) <= partBytes && response.Rest == nil {
		return
	}
	first := min(len(reply.Body), partBytes)
	key := streamKey{args.ID.toCallID(), args.Attempt}
	if !s.streams.add(key, partBytes, int64(first), reply.Body[first:], response.Rest, deadline) {
		if response.Rest != nil { // too long to be sent as a whole
			response.Rest.Close()
			reply.HasResponse, reply.Body = false, nil
			reply.Outcome, reply.Reason = uint8(reducer.OutcomeUnknown), uint8(reducer.ReasonOverloaded)
		}
		return
	}
	reply.HasRest, reply.Length = true, int64(len(reply.Body))
	if response.Rest != nil {
		reply.Length = response.Length
	}
	reply.Body = reply.Body[:first]
	_ = s.pacedOut(context.Background(), deadline, first) // an error means that the call's time is over
}

// ReadStream replies with a part of the response to a call.
func (s *service) ReadStream(args *StreamArgs, reply *StreamPart) error {
	key := streamKey{args.ID.toCallID(), args.Attempt}
	stream := s.streams.get(key)
	if stream == nil {
		return errNoStream
	}
	part, err := stream.part(args.Offset)
	if err != nil {
		return err
	}
	if err := s.pacedOut(stream.ctx, time.Now().Add(maxPartWait), len(part.Data)); err != nil && stream.ctx.Err() != nil {
		return err
	}
	*reply = part
	return nil
}

// CloseStream releases a response whose rest the peer no longer takes, or has taken.
func (s *service) CloseStream(args *StreamArgs, _ *Empty) error {
	key := streamKey{args.ID.toCallID(), args.Attempt}
	if stream := s.streams.get(key); stream != nil {
		s.streams.remove(key, stream)
	}
	return nil
}

// errBrokenOff is returned for a response that broke off between the backend server and its node.
var errBrokenOff = errors.New("the response broke off")

// peerStream implements traffic.BodyStream for a response that another node passes on.
type peerStream struct {
	client *Client
	key    connKey
	to     reducer.PeerRef
	args   StreamArgs // of the next part
	ended  chan struct{}
	close  sync.Once

	complete bool // the last part has arrived
}

func (c *Client) newPeerStream(f reducer.Forward, key connKey, first int) *peerStream {
	return &peerStream{
		client: c, key: key, to: f.To, ended: make(chan struct{}),
		args: StreamArgs{ID: wireCallID(f.ID), Attempt: f.Attempt, Offset: int64(first)},
	}
}

// Next implements traffic.BodyStream.
func (s *peerStream) Next(ctx context.Context) ([]byte, error) {
	if s.complete {
		return nil, io.EOF
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	var part StreamPart
	args := s.args // the codec may still read it after an RPC that was given up
	if err := s.client.pacer.WaitIn(ctx, link.ChunkBytes); err != nil {
		return nil, err
	}
	if err := s.client.invoke(ctx, s.key, "Peer.ReadStream", &args, &part); err != nil {
		return nil, err
	}
	switch {
	case part.Broken:
		return nil, errBrokenOff
	case len(part.Data) == 0 && part.End:
		return nil, io.EOF
	case len(part.Data) == 0:
		return nil, errNoStream
	}
	s.complete = part.End
	s.args.Offset += int64(len(part.Data))
	return part.Data, nil
}

// Close implements traffic.BodyStream. It may be called while Next changes the offset.
func (s *peerStream) Close() {
	s.close.Do(func() {
		close(s.ended)
		s.client.enqueue(outgoingMessage{s.to, "Peer.CloseStream", &StreamArgs{ID: s.args.ID, Attempt: s.args.Attempt}})
	})
}

// Ended implements traffic.BodyStream. The backend server is beside another node, which notices its end itself.
func (s *peerStream) Ended() <-chan struct{} { return s.ended }
