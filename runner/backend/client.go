package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 8 << 20
	// maxHeaderBytes bounds the headers of a response; it leaves room in the frame between nodes.
	maxHeaderBytes = 32 << 10
	dialTimeout    = time.Second
	// idleTimeout is how long an idle connection is used when the backend server does not say how long it
	// keeps one, and idleMargin how much sooner than what it says.
	idleTimeout = 4 * time.Second
	idleMargin  = time.Second
	// inlineBodyBytes is the longest body that is written before the response is read. A longer one is written
	// beside it, because a backend server may answer before it has read the body.
	inlineBodyBytes = 16 << 10
	// maxForeign bounds the responses of earlier requests that are skipped on a connection.
	maxForeign = 4
)

// Client sends requests to one backend server over kept-alive connections. No request is ever sent twice.
type Client struct {
	address string
	front   frontend.FrontEnd
	dialer  net.Dialer
	places  chan struct{} // one for each open connection

	mu     sync.Mutex
	idle   []*backendConn // the one used last at the end
	closed bool
}

// NewClient returns a client that opens at most maxConnections connections.
func NewClient(address string, maxConnections int, front frontend.FrontEnd) *Client {
	return &Client{
		address: address, front: front, dialer: net.Dialer{Timeout: dialTimeout}, places: make(chan struct{}, max(maxConnections, 1)),
	}
}

// Close closes the idle connections; those in use end with their requests.
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
	}
	return response, done
}

func (c *Client) send(ctx context.Context, start reducer.StartBackendRequest, request *traffic.Request) (*traffic.Response, reducer.BackendResult) {
	ctx, cancel := context.WithTimeout(ctx, start.Timeout)
	defer cancel()
	head, err := c.head(start, request)
	if err != nil {
		return nil, reducer.BackendNotSent
	}
	select {
	case c.places <- struct{}{}:
		defer func() { <-c.places }()
	case <-ctx.Done():
		return nil, reducer.BackendNotSent
	}
	conn, err := c.take(ctx)
	if err != nil {
		return nil, reducer.BackendNotSent
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	response, reuse, err := conn.exchange(head, request, c.front)
	if !stop() || err != nil || !reuse {
		conn.Close()
	} else {
		c.put(conn)
	}
	if err != nil {
		return nil, failure(ctx, conn)
	}
	result := c.front.ClassifyResponse(response.Status, response.Header)
	if result != reducer.BackendAnswered {
		return nil, result
	}
	return response, result
}

// failure tells a request that was never sent from one that may have run.
func failure(ctx context.Context, conn *backendConn) reducer.BackendResult {
	switch {
	case conn.written == 0:
		return reducer.BackendNotSent
	case ctx.Err() != nil:
		return reducer.BackendAborted
	default:
		return reducer.BackendFailed
	}
}

// take returns an idle connection that still works, or a new one.
func (c *Client) take(ctx context.Context) (*backendConn, error) {
	for {
		conn := c.pop()
		if conn == nil {
			break
		}
		if time.Now().Before(conn.until) && conn.quiet() {
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

func (c *Client) pop() *backendConn {
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

func (c *Client) put(conn *backendConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// head is a request's line and headers.
type head struct {
	method string
	header http.Header
	bytes  []byte
}

var errNoPath = errors.New("request URI has no path")

// excluded headers are written by head itself or belong to the caller's connection.
func excluded(name string) bool {
	switch name {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection":
		return true
	}
	return false
}

// head returns a request's line and headers. The URI is passed on as it came.
func (c *Client) head(start reducer.StartBackendRequest, request *traffic.Request) (*head, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	if target.Opaque != "" || !strings.HasPrefix(request.URI, "/") {
		return nil, errNoPath
	}
	header := make(http.Header, len(request.Header)+ownHeaders)
	for name, values := range request.Header {
		if !excluded(name) {
			header[name] = values // never changed in place
		}
	}
	c.front.SetRequestHeaders(header, start)
	var out bytes.Buffer
	out.Grow(usualHeadBytes)
	line(&out, request.Method, " ", request.URI, " HTTP/1.1")
	line(&out, "Host: ", request.Host)
	for name, values := range header {
		for _, value := range values {
			line(&out, name, ": ", value)
		}
	}
	if len(request.Body) > 0 || !bodiless(request.Method) {
		line(&out, "Content-Length: ", strconv.Itoa(len(request.Body)))
	}
	line(&out)
	return &head{method: request.Method, header: header, bytes: out.Bytes()}, nil
}

const (
	// ownHeaders is the number of headers that are added to a request.
	ownHeaders = 4
	// usualHeadBytes is room for the line and the headers of most requests.
	usualHeadBytes = 512
)

func line(out *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		out.WriteString(part)
	}
	out.WriteString("\r\n")
}

// bodiless reports whether a request without a body needs no length: a server does not expect a body.
func bodiless(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// backendConn is a connection to the backend server, which one request uses at a time.
type backendConn struct {
	net.Conn
	reader  *bufio.Reader
	limit   io.LimitedReader // what may still be read of a response
	written int              // bytes of the present request
	until   time.Time        // when an idle connection is not used any more
}

func newBackendConn(raw net.Conn) *backendConn {
	c := &backendConn{Conn: raw}
	c.limit.R = raw
	c.reader = bufio.NewReader(&c.limit)
	return c
}

// Write counts the bytes written.
func (c *backendConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// quiet reports whether an idle connection is open and nothing has arrived on it.
func (c *backendConn) quiet() bool {
	arrived, ended := traffic.Peek(c.Conn)
	return c.reader.Buffered() == 0 && !arrived && !ended
}

// exchange sends a request and reads its whole response. It reports whether the connection may be used again.
func (c *backendConn) exchange(h *head, request *traffic.Request, front frontend.FrontEnd) (_ *traffic.Response, reuse bool, _ error) {
	body := request.Body
	if len(body) <= inlineBodyBytes {
		if _, err := c.Write(append(h.bytes, body...)); err != nil {
			return nil, false, err
		}
		return c.read(h, front)
	}
	if _, err := c.Write(h.bytes); err != nil {
		return nil, false, err
	}
	wrote := make(chan error, 1)
	go func() {
		_, err := c.Conn.Write(body)
		wrote <- err
	}()
	response, reuse, err := c.read(h, front)
	select {
	case problem := <-wrote:
		return response, reuse && problem == nil, err
	default: // the rest of the body must not be taken for another request
		c.Close()
		<-wrote
		return response, false, err
	}
}

// read reads responses up to the one that answers the request.
func (c *backendConn) read(h *head, front frontend.FrontEnd) (*traffic.Response, bool, error) {
	for range maxForeign {
		in, body, err := c.readOne(h.method)
		if err != nil {
			return nil, false, err
		}
		if in.StatusCode < http.StatusOK && in.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if in.StatusCode == http.StatusSwitchingProtocols {
			return nil, false, errNotHTTP
		}
		if front.ResponseMatches(h.header, in.Header, in.StatusCode) {
			reuse := c.keep(in)
			for _, name := range connectionHeaders {
				delete(in.Header, name) // not carried to the ingress node
			}
			return &traffic.Response{Status: in.StatusCode, Header: in.Header, Body: body}, reuse, nil
		}
		if in.Close {
			break
		}
	}
	return nil, false, errForeign
}

var (
	errNotHTTP  = errors.New("the connection no longer speaks HTTP")
	errForeign  = errors.New("the responses on the connection belong to other requests")
	errTooLarge = errors.New("the response is too large")
)

func (c *backendConn) readOne(method string) (*http.Response, []byte, error) {
	c.limit.N = maxHeaderBytes
	in, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, nil, err
	}
	c.limit.N = maxResponseBytes + maxHeaderBytes
	body, err := io.ReadAll(io.LimitReader(in.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errTooLarge
	}
	return in, body, err
}

// connectionHeaders belong to the connection with the backend server.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Transfer-Encoding"}

// keep reports whether the connection may be used after a response, and notes for how long.
func (c *backendConn) keep(in *http.Response) bool {
	if in.Close || c.reader.Buffered() > 0 {
		return false
	}
	idle := idleTimeout
	if told, ok := keepAlive(in.Header.Get("Keep-Alive")); ok {
		idle = told - idleMargin
	}
	c.until = time.Now().Add(idle)
	return idle > 0
}

// keepAlive returns the timeout that a Keep-Alive header names.
func keepAlive(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}
