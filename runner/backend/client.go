package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	// maxResponseBytes is the largest accepted response body.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes limits the headers of a response, so that header and body fit into one frame between nodes.
	maxHeaderBytes = 32 << 10
	dialTimeout    = time.Second
	// idleTimeout is how long an idle connection may be reused if the backend server sends no Keep-Alive timeout.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of the backend server, so that the client does not send
	// on a connection that the server is closing.
	idleMargin = time.Second
	// maxInlineBodyBytes is the largest body that is written before the response is read. A larger one is written
	// concurrently, because a backend server may answer before it has read the body.
	maxInlineBodyBytes = 16 << 10
	// maxResponsesPerRequest limits the responses that are read from a connection for one request, including the
	// skipped ones: interim responses and responses to earlier requests.
	maxResponsesPerRequest = 4
)

// Client sends requests to one backend server over persistent connections. It never sends a request twice.
type Client struct {
	address string
	front   frontend.FrontEnd
	dialer  net.Dialer
	permits chan struct{} // semaphore with one element per connection in use
	// newGrowth returns what asks whether the response to a call may grow; cut ends its receipt. Nil if none is asked.
	newGrowth func(call reducer.Handle, cut func()) *growth

	mu     sync.Mutex
	idle   []*backendConn // most recently used last
	closed bool
}

// NewClient returns a client that opens at most maxConnections connections, and at least one.
func NewClient(address string, maxConnections int, front frontend.FrontEnd) *Client {
	return &Client{
		address: address, front: front, dialer: net.Dialer{Timeout: dialTimeout}, permits: make(chan struct{}, max(maxConnections, 1)),
	}
}

// Close closes the idle connections. Those in use are closed when their requests end.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}

// Do sends a request once and returns the response, nil unless the result is BackendAnswered.
func (c *Client) Do(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendRequestDone) {
	began := time.Now()
	response, result := c.send(ctx, start, request)
	done := reducer.BackendRequestDone{Call: start.Call, Result: result, Elapsed: time.Since(began)}
	if response != nil {
		done.Status = response.Status
		done.Bytes = int64(len(response.Body))
		done.Streaming = response.Rest != nil
	}
	return response, done
}

// send sends the request within start.Timeout. The response is nil unless the result is BackendAnswered. The connection
// of a streaming response is released when the response ends.
func (c *Client) send(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendResult) {
	ctx, cancel := context.WithTimeout(ctx, start.Timeout)
	head, err := c.encodeHead(start, request)
	if err != nil {
		cancel()
		return nil, reducer.BackendNotSent
	}
	select {
	case c.permits <- struct{}{}:
	case <-ctx.Done():
		cancel()
		return nil, reducer.BackendNotSent
	}
	conn, err := c.getConn(ctx, c.front.RequestID(head.header))
	if err != nil {
		<-c.permits
		cancel()
		return nil, reducer.BackendNotSent
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	release := func(reuse bool) {
		if !stop() || !reuse {
			conn.Close()
		} else {
			c.putIdle(conn)
		}
		<-c.permits
		cancel()
	}
	conn.end = responseEnd{after: time.Now().Add(start.TimeLeft), tail: start.ResponseTail}
	if c.newGrowth != nil {
		conn.growth = c.newGrowth(start.Call, func() { conn.Close() })
	}
	in, err := conn.roundTrip(ctx, head, request, c.front, start.Streaming)
	conn.growth.end() // before another request can use the connection
	if err != nil {
		result := classifyFailure(ctx, conn)
		release(false)
		return nil, result
	}
	if result := c.front.ClassifyResponse(in.response.Status, in.response.Header); result != reducer.BackendAnswered {
		release(in.reuse && in.rest == nil && conn.noteRefusal(c.front.RequestID(in.response.Header)))
		return nil, result
	}
	if in.rest != nil {
		in.response.Rest = newBodyStream(ctx, in.rest, cancel, func(complete bool) { release(complete && conn.prepareReuse(in.head)) })
		return in.response, reducer.BackendAnswered
	}
	release(in.reuse)
	return in.response, reducer.BackendAnswered
}

// classifyFailure returns BackendNotSent if no byte of the request was written. Otherwise the request may have run.
func classifyFailure(ctx context.Context, conn *backendConn) reducer.BackendResult {
	switch {
	case conn.written == 0:
		return reducer.BackendNotSent
	case conn.growth.wasCut():
		return reducer.BackendOversized
	case ctx.Err() != nil:
		return reducer.BackendAborted
	default:
		return reducer.BackendFailed
	}
}

// getConn returns a reusable idle connection, or dials a new one. The connection has had no refusal of the request, which may
// have been refused before: a late copy of that refusal would be taken for the response.
func (c *Client) getConn(ctx context.Context, requestID string) (*backendConn, error) {
	for {
		conn := c.popIdle()
		if conn == nil {
			break
		}
		if !conn.hasRefused(requestID) && time.Now().Before(conn.reusableUntil) && conn.isReusable() {
			conn.written = 0
			return conn, nil
		}
		conn.Close()
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(raw), nil
}

func (c *Client) popIdle() *backendConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := len(c.idle) - 1
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

// putIdle keeps a connection for later requests, or closes it if the client is closed.
func (c *Client) putIdle(conn *backendConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

type requestHead struct {
	method string
	header http.Header
	bytes  []byte
}

var errNoPath = errors.New("request URI has no path")

// isExcludedHeader reports whether a header of the caller is not copied, because encodeHead writes it itself or it
// applies only to the caller's connection.
func isExcludedHeader(name string) bool {
	switch name {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection":
		return true
	}
	return false
}

// encodeHead encodes the request line and the headers. The URI is passed on unchanged.
func (c *Client) encodeHead(start reducer.StartBackendRequest, request *traffic.Request) (*requestHead, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	if target.Opaque != "" || !strings.HasPrefix(request.URI, "/") {
		return nil, errNoPath
	}
	header := make(http.Header, len(request.Header)+addedHeaders)
	for name, values := range request.Header {
		if !isExcludedHeader(name) {
			header[name] = values // shared with the request; values are never modified
		}
	}
	c.front.SetRequestHeaders(header, start)
	var out bytes.Buffer
	out.Grow(typicalHeadBytes)
	writeLine(&out, request.Method, " ", request.URI, " HTTP/1.1")
	writeLine(&out, "Host: ", request.Host)
	for name, values := range header {
		for _, value := range values {
			writeLine(&out, name, ": ", value)
		}
	}
	if len(request.Body) > 0 || !canOmitContentLength(request.Method) {
		writeLine(&out, "Content-Length: ", strconv.Itoa(len(request.Body)))
	}
	writeLine(&out)
	return &requestHead{method: request.Method, header: header, bytes: out.Bytes()}, nil
}

const (
	// addedHeaders is the number of headers that the front end adds to a request.
	addedHeaders = 4
	// typicalHeadBytes is the initial buffer size for the request line and the headers.
	typicalHeadBytes = 512
)

func writeLine(out *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		out.WriteString(part)
	}
	out.WriteString("\r\n")
}

// canOmitContentLength reports whether a request with this method and without a body needs no Content-Length,
// because servers expect no body.
func canOmitContentLength(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// backendConn is a connection to the backend server. It serves one request at a time.
type backendConn struct {
	net.Conn
	reader        *bufio.Reader
	limit         io.LimitedReader // limits the bytes read for one response
	written       int              // bytes of the current request
	streaming     bool             // the rest of the current response may be read later
	reusableUntil time.Time        // end of the idle timeout
	end           responseEnd      // of the current response
	refused       []string         // ids of the requests that were refused on the connection
	growth        *growth          // of the current response; nil if none is asked
}

// responseEnd bounds the time of a response that has begun: its head, and then its body, may take until after, and tail
// beyond the later of that and their begin.
type responseEnd struct {
	after time.Time
	tail  time.Duration // 0 for no bound
}

// set sets the read deadline of a connection on which a head or a body begins.
func (e responseEnd) set(conn net.Conn) error {
	if e.tail == 0 {
		return nil
	}
	end := time.Now()
	if e.after.After(end) {
		end = e.after
	}
	return conn.SetReadDeadline(end.Add(e.tail))
}

func newBackendConn(raw net.Conn) *backendConn {
	c := &backendConn{Conn: raw}
	c.limit.R = raw
	c.reader = bufio.NewReader(&c.limit)
	return c
}

// Write implements io.Writer and counts the bytes written.
func (c *backendConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// isReusable reports whether an idle connection is open and has no unread data.
func (c *backendConn) isReusable() bool {
	unread, ended := traffic.Peek(c.Conn)
	return c.reader.Buffered() == 0 && !unread && !ended
}

// maxRefusalsPerConn bounds the refusals on one connection, whose ids are remembered.
const maxRefusalsPerConn = 64

// noteRefusal records that a request was refused on the connection, and reports whether the connection may be used again. The
// backend server may send a second copy of the refusal late, as the next response is due. A copy that names no request would
// say of any that it has not run.
func (c *backendConn) noteRefusal(requestID string) bool {
	if requestID == "" || len(c.refused) >= maxRefusalsPerConn {
		return false
	}
	c.refused = append(c.refused, requestID)
	return true
}

// hasRefused reports whether a request was refused on the connection.
func (c *backendConn) hasRefused(requestID string) bool { return slices.Contains(c.refused, requestID) }

// received is a response that answers a request.
type received struct {
	response *traffic.Response
	reuse    bool           // the connection may be reused
	rest     io.Reader      // the part of the body that has not been read; nil if the response is complete
	head     *http.Response // with rest
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

var (
	errProtocolSwitched = errors.New("the backend server switched the connection to another protocol")
	errStaleResponses   = errors.New("the connection carries responses to other requests")
	errResponseTooLarge = errors.New("the response body exceeds the limit")
)

// readNextResponse reads the next response on the connection. With streaming, c.streaming tells whether a body that is
// longer than traffic.MaxWholeBodyBytes was read only in part. The body of a response to another request is skipped.
func (c *backendConn) readNextResponse(ctx context.Context, h *requestHead, front frontend.FrontEnd, streaming bool) (*http.Response, []byte, error) {
	c.limit.N = maxHeaderBytes
	if _, err := c.reader.Peek(1); err != nil {
		return nil, nil, err
	}
	if err := c.end.set(c.Conn); err != nil {
		return nil, nil, err
	}
	in, err := http.ReadResponse(c.reader, &http.Request{Method: h.method})
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

// connectionHeaders are the response headers that apply only to the connection with the backend server.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding"}

// prepareReuse reports whether the connection may be reused after a response, and sets reusableUntil.
func (c *backendConn) prepareReuse(in *http.Response) bool {
	if in.Close || c.reader.Buffered() > 0 || c.SetReadDeadline(time.Time{}) != nil {
		return false
	}
	idle := idleTimeout
	if advertised, ok := parseKeepAliveTimeout(in.Header.Get("Keep-Alive")); ok {
		idle = advertised - idleMargin
	}
	c.reusableUntil = time.Now().Add(idle)
	return idle > 0
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header, and whether there is one.
func parseKeepAliveTimeout(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
