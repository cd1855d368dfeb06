package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const (
	// idleTimeout is how long an idle connection may be reused if the backend server sends no Keep-Alive timeout.
	idleTimeout = 4 * time.Second
	// idleMargin is subtracted from the Keep-Alive timeout of the backend server, so that the client does not send
	// on a connection that the server is closing.
	idleMargin = time.Second
)

// backendConn is a connection to the backend server. It serves one request at a time.
type backendConn struct {
	net.Conn
	reader        *bufio.Reader
	limit         io.LimitedReader // limits the bytes read for one response
	lines         headLines        // of the current head
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
	c.lines.from = raw
	c.limit.R = &c.lines
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
