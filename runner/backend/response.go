package backend

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"

	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	// maxResponseBytes is the largest accepted response body.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes limits the headers of a response, so that header and body fit into one frame between nodes.
	maxHeaderBytes = 32 << 10
	// maxInlineBodyBytes is the largest body that is written before the response is read. A larger one is written
	// concurrently, because a backend server may answer before it has read the body.
	maxInlineBodyBytes = 16 << 10
	// maxResponsesPerRequest limits the responses that are read from a connection for one request, including the
	// skipped ones: interim responses and responses to earlier requests.
	maxResponsesPerRequest = 4
)

// received is a response that answers a request.
type received struct {
	response *traffic.Response
	reuse    bool // the connection may be reused
	// endsWithConn is set for a body without a length: the end of the connection ends it.
	endsWithConn bool
	rest         io.Reader      // the part of the body that has not been read; nil if the response is complete
	head         *http.Response // with rest
}

// roundTrip sends a request and reads the response: completely, or with streaming up to traffic.MaxWholeBodyBytes.
func (c *backendConn) roundTrip(ctx context.Context, h *requestHead, request *traffic.Request, front frontend.FrontEnd, streaming bool) (received, error) {
	body := request.Body
	if len(body) <= maxInlineBodyBytes {
		if _, err := c.Write(append(h.bytes, body...)); err != nil {
			return received{}, err
		}
		return c.readResponse(ctx, h, front, streaming)
	}
	if _, err := c.Write(h.bytes); err != nil {
		return received{}, err
	}
	bodyWritten := make(chan error, 1)
	go func() {
		_, err := c.Conn.Write(body)
		bodyWritten <- err
	}()
	in, err := c.readResponse(ctx, h, front, false)
	return c.endOfBody(in, err, bodyWritten)
}

// readResponse skips responses until it has read the one that answers the request.
func (c *backendConn) readResponse(ctx context.Context, h *requestHead, front frontend.FrontEnd, streaming bool) (received, error) {
	for range maxResponsesPerRequest {
		in, body, err := c.readNextResponse(ctx, h, front, streaming)
		if err != nil {
			return received{}, err
		}
		if in.StatusCode < http.StatusOK && in.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if in.StatusCode == http.StatusSwitchingProtocols {
			return received{}, errProtocolSwitched
		}
		if front.ResponseMatches(h.header, in.Header, in.StatusCode) {
			return c.received(in, body), nil
		}
		if in.Close {
			break
		}
	}
	return received{}, errStaleResponses
}

// received returns a response with the part of its body that was read. A longer body is streaming.
func (c *backendConn) received(in *http.Response, body []byte) received {
	out := received{response: &traffic.Response{Status: in.StatusCode, Header: in.Header, Body: body}}
	out.endsWithConn = in.ContentLength < 0 && len(in.TransferEncoding) == 0
	if len(body) > traffic.MaxWholeBodyBytes && in.Body != http.NoBody && c.streaming {
		out.rest, out.head = in.Body, &http.Response{Close: in.Close, Header: http.Header{"Keep-Alive": in.Header["Keep-Alive"]}}
		out.response.Length = in.ContentLength
	} else {
		out.reuse = c.prepareReuse(in)
	}
	for _, name := range connectionHeaders {
		delete(in.Header, name) // not forwarded to the ingress node
	}
	return out
}

// connectionHeaders are the response headers that apply only to the connection with the backend server.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding"}

var (
	errProtocolSwitched = errors.New("the backend server switched the connection to another protocol")
	errStaleResponses   = errors.New("the connection carries responses to other requests")
	errResponseTooLarge = errors.New("the response body exceeds the limit")
)

// readNextResponse reads the next response on the connection. With streaming, c.streaming tells whether a body that is
// longer than traffic.MaxWholeBodyBytes was read only in part. The body of a response to another request is skipped.
func (c *backendConn) readNextResponse(ctx context.Context, h *requestHead, front frontend.FrontEnd, streaming bool) (*http.Response, []byte, error) {
	in, err := c.readHead(h.method)
	if err != nil {
		return nil, nil, err
	}
	ask := func(bytes int64) error { return c.growth.ask(ctx, bytes) }
	if err := c.end.set(c.Conn); err != nil {
		return nil, nil, err
	}
	matches := front.ResponseMatches(h.header, in.Header, in.StatusCode)
	c.streaming = streaming && matches
	if c.streaming {
		c.limit.N = math.MaxInt64 // the deadline bounds the response, and the stream its memory
		body, err := readBody(in.Body, in.ContentLength, traffic.MaxWholeBodyBytes+1, ask)
		return in, body, err
	}
	c.limit.N = maxResponseBytes + maxHeaderBytes
	if !matches {
		skipped, err := io.Copy(io.Discard, io.LimitReader(in.Body, maxResponseBytes+1))
		return in, nil, checkBodySize(skipped, err)
	}
	body, err := readBody(in.Body, in.ContentLength, maxResponseBytes+1, ask)
	return in, body, checkBodySize(int64(len(body)), err)
}

// checkBodySize returns errResponseTooLarge for a body that was read to the limit and has not ended.
func checkBodySize(size int64, err error) error {
	if err == nil && size > maxResponseBytes {
		return errResponseTooLarge
	}
	return err
}
