package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Ends of a response body on the connection of the backend server.
const (
	endWhole   = "whole"      // the body is sent to its end, and the connection closed in order
	endClosed  = "closed"     // the connection is closed in order after a part of the body
	endReset   = "reset"      // the connection is reset after a part
	endStalled = "stalled"    // nothing follows a part
	sizedBody  = "sized"      // with Content-Length
	chunkBody  = "chunked"    // with the transfer coding chunked
	bareBody   = "unframed"   // the end of the connection ends the body
	partOfBody = "first part" // that is sent before the end
)

// writeFirstPart writes the head of a response and a part of its body, or the whole of it.
func writeFirstPart(conn net.Conn, status int, framing string, whole bool) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	rest := ", and the rest"
	length := len(partOfBody) + len(rest)
	switch framing {
	case sizedBody:
		head += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, partOfBody)
	case chunkBody:
		head += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(partOfBody), partOfBody)
		rest = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
	default:
		head += "\r\n" + partOfBody
	}
	if whole {
		head += rest
	}
	io.WriteString(conn, head)
}

// Guards against a response that broke off and is taken for a whole one (MIXED), by every end of a body, while the body of the
// request is being sent and after it. A reset while the body is being sent is told to the write or to the read, not to both:
// the other one finds the connection closed as if in order. Which one it is depends on the scheduler, so that such cases are
// played several times.
func TestBodyThatBreaksOffIsNotComplete(t *testing.T) {
	for _, upload := range []bool{false, true} {
		for _, framing := range []string{sizedBody, chunkBody, bareBody} {
			for _, end := range []string{endWhole, endClosed, endReset, endStalled} {
				for _, status := range []int{http.StatusOK, http.StatusForbidden, http.StatusInternalServerError} {
					t.Run(fmt.Sprintf("upload %v/%s/%s/%d", upload, framing, end, status), func(t *testing.T) {
						t.Parallel()
						rounds := 1
						if upload && end == endReset {
							rounds = 30
						}
						for range rounds {
							checkBodyEnd(t, upload, framing, end, status)
						}
					})
				}
			}
		}
	}
}

// checkBodyEnd plays one response and checks whether it counts as complete.
func checkBodyEnd(t *testing.T, upload bool, framing, end string, status int) {
	done := make(chan struct{})
	s := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		serveBodyEnd(s, conn, r, upload, framing, end, status, done)
	})
	defer close(done)
	request := &traffic.Request{Method: http.MethodPost, URI: "/dues", Body: make([]byte, 1)}
	if upload {
		request.Body = make([]byte, 32<<20) // longer than what the buffers of a connection hold
	}
	timeout := testTimeout
	if end == endStalled {
		timeout = 200 * time.Millisecond
	}
	response, result := newClient(t, s.listener.Addr().String(), 1).Do(context.Background(),
		reducer.StartBackendRequest{TimeLeft: timeout, Timeout: timeout}, request)
	complete := end == endWhole || end == endClosed && framing == bareBody // an orderly close ends an unframed body
	if upload && status < http.StatusBadRequest {
		complete = false // a success of a request that was not sent as a whole
	}
	if (response != nil) != complete || (result.Result == reducer.BackendAnswered) != complete {
		t.Errorf("result %v, response %v, expected complete: %v", result.Result, response, complete)
	}
	if response != nil && (response.Status != status || !strings.HasPrefix(string(response.Body), partOfBody)) {
		t.Errorf("status %d, body %q", response.Status, response.Body)
	}
}

// serveBodyEnd reads a request, or only its head during an upload, and sends a response that ends as asked.
func serveBodyEnd(s *rawServer, conn net.Conn, r *bufio.Reader, upload bool, framing, end string, status int, done chan struct{}) {
	if upload {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
	} else if !s.readRequest(r) {
		return
	}
	writeFirstPart(conn, status, framing, end == endWhole)
	socket := conn.(*net.TCPConn)
	switch end {
	case endReset:
		time.Sleep(2 * time.Millisecond) // the client has read the part
		socket.SetLinger(0)
	case endStalled:
		<-done
	default:
		socket.CloseWrite()
		<-done // an open connection with unread bytes would be reset
	}
}
