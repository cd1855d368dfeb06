package peer

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// isLarge reports whether the body of a request is sent ahead of its call in paced parts.
func (c *Client) isLarge(request *traffic.Request) bool {
	return c.pacer != nil && len(request.Body) > link.LargeBytes
}

// sendAhead sends the body of a call ahead of it. It returns the end of the attempt if the call is not to be sent. A peer of
// an earlier version gets the body with the call.
func (c *Client) sendAhead(ctx context.Context, key connKey, f reducer.Forward, args *ForwardArgs) *reducer.ForwardDone {
	done := reducer.ForwardDone{Call: f.Call, Attempt: f.Attempt, Result: reducer.ForwardNotSent}
	answer, err := c.sendBody(ctx, key, f, args.Body)
	switch {
	case errors.Is(err, errNoUploads):
		return nil
	case err != nil:
		return &done
	case !answer.Accepted:
		done.Result, done.Outcome, done.Reason = reducer.ForwardAnswered, reducer.OutcomeNotRun, reducer.Reason(answer.Reason)
		done.Load = answer.Load.toLoadReport()
		return &done
	}
	args.Body, args.Uploaded = nil, true
	return nil
}

// streamKey returns the connection on which the parts of a response are asked for. With a known link they use the bulk
// connection, so that no call waits behind a part in the same TCP stream.
func (c *Client) streamKey(key connKey) connKey {
	if c.pacer != nil {
		key.class = ClassBulk
	}
	return key
}

// readRest reads the rest of a response: all of it, or for a streaming route up to traffic.MaxWholeBodyBytes.
func readRest(ctx context.Context, response *traffic.Response, streaming bool) error {
	if streaming {
		return response.ReadWhole(ctx)
	}
	defer response.Discard()
	if response.Length > int64(len(response.Body)) {
		response.Body = slices.Grow(response.Body, int(min(response.Length, traffic.MaxWholeBodyBytes))-len(response.Body))
	}
	for {
		part, err := response.Rest.Next(ctx)
		if err == io.EOF {
			response.Rest.Close()
			response.Rest = nil
			return nil
		}
		if err != nil {
			return err
		}
		response.Body = append(response.Body, part...)
	}
}

// partBytes returns the size of the parts of a response.
func (s *service) partBytes() int {
	if s.pacer != nil {
		return link.ChunkBytes
	}
	return traffic.PartBytes
}

// takesParts reports whether the response to a call may be sent in parts. Without a known link only those of streaming
// routes are.
func (s *service) takesParts(args *ForwardArgs) bool {
	return args.Streaming || args.Parts && s.pacer != nil
}

// pacedOut waits for the link before a part of a response is sent, until the deadline at most.
func (s *service) pacedOut(ctx context.Context, deadline time.Time, n int) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return s.pacer.WaitOut(ctx, n)
}
