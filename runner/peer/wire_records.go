package peer

import (
	"context"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// KeyRecord is reducer.KeyRecord on the wire, with the response that is kept for it.
type KeyRecord struct {
	Route     string
	Key       string
	ID        CallID
	Remaining int64 // ns until the record expires
	Answer    Answer
}

// HandOverArgs carries the records of idempotency keys of a node that leaves.
type HandOverArgs struct{ Records []KeyRecord }

// HandOverReply says whether the receiver accepted all records.
type HandOverReply struct{ Accepted bool }

// HandOver sends records to another node and reports whether the node accepted them. keptResponse returns the response
// that is kept for a call, or nil when there is none.
func (c *Client) HandOver(ctx context.Context, h reducer.HandOver, keptResponse func(reducer.Handle) *traffic.Response) bool {
	args := &HandOverArgs{}
	for _, r := range h.Records {
		record := KeyRecord{Route: r.Route, Key: r.Key, ID: wireCallID(r.ID), Remaining: int64(r.Remaining)}
		record.Answer = Answer{Outcome: uint8(r.Outcome), Reason: uint8(r.Reason), Status: r.Status}
		record.Answer.setResponse(keptResponse(r.Call))
		args.Records = append(args.Records, record)
	}
	var reply HandOverReply
	err := c.invoke(ctx, connKey{h.To.Address, ClassBulk}, "Peer.HandOver", args, &reply)
	return err == nil && reply.Accepted
}

// HandOver takes over the records of idempotency keys of a peer that leaves.
func (s *service) HandOver(args *HandOverArgs, reply *HandOverReply) error {
	records := make([]reducer.KeyRecord, len(args.Records))
	responses := make([]*traffic.Response, len(args.Records))
	for i := range args.Records {
		r := &args.Records[i]
		problem := r.Answer.removeMalformed()
		responses[i] = r.Answer.toResponse()
		records[i] = reducer.KeyRecord{
			Route: r.Route, Key: r.Key, ID: r.ID.toCallID(), Remaining: time.Duration(r.Remaining),
			Outcome: reducer.Outcome(r.Answer.Outcome), Reason: reducer.Reason(r.Answer.Reason), Status: r.Answer.Status,
			KeptBytes: int64(len(r.Answer.Body)), Problem: problem,
		}
	}
	reply.Accepted = s.handler.HandOver(records, responses)
	return nil
}
