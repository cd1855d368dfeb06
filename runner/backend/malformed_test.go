package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/internal/httpresponse"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// oddFieldNames are field names that no HTTP/1.1 message may have, by what is wrong with them.
var oddFieldNames = map[string]string{
	"blank inside":           "X Odd",
	"blank at the end":       "X-Odd ",
	"blank at the beginning": " X-Odd",
	"tab at the beginning":   "\tX-Odd",
	"tab at the end":         "X-Odd\t",
	"NUL":                    "X\x00Odd",
	"control byte":           "X\x01Odd",
	"DEL":                    "X-Odd\x7f",
	"CR":                     "X\rOdd",
	"no name":                "",
}

// headWith returns the head of a response with the given status that names its request, and with further lines.
func headWith(status, id string, lines ...string) string {
	head := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: s\r\n", status, hosted.HeaderAttempt, id, hosted.HeaderSeal)
	return head + strings.Join(append(lines, ""), "\r\n") + "\r\n"
}

// sendTo sends two requests, one after the other, to a server that answers the first with write and the second properly. It
// returns the result of the first, which is aborted after testTimeout if the client waits for more. The second must get its own
// response, and on another connection.
func sendTo(t *testing.T, streaming, keepOpen bool, write func(conn net.Conn, id string)) (*traffic.Response, reducer.BackendRequestDone) {
	t.Helper()
	server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		for used := false; ; used = true {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if used {
				t.Error("the connection of the malformed response is used again")
			}
			id := request.Header.Get(hosted.HeaderAttempt)
			if id == "second" {
				io.WriteString(conn, headWith("200 OK", id, "Content-Length: 6")+"proper")
				return
			}
			if write(conn, id); !keepOpen {
				return
			}
		}
	})
	client := NewClient(server.listener.Addr().String(), 1, hosted.FrontEnd{})
	t.Cleanup(client.Close)
	send := func(id string) (*traffic.Response, reducer.BackendRequestDone) {
		start := reducer.StartBackendRequest{Call: 1, Timeout: testTimeout, TimeLeft: testTimeout, Streaming: streaming}
		return client.Do(context.Background(), start, &traffic.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{hosted.HeaderAttempt: {id}}})
	}
	response, done := send("first")
	if response != nil {
		if _, err := readAll(response); errors.Is(err, httpresponse.ErrMalformed) {
			response, done.Result, done.Problem = nil, reducer.BackendMalformed, err.Error() // its caller sees that it breaks off
		}
	}
	if second, done := send("second"); done.Result != reducer.BackendAnswered || string(second.Body) != "proper" {
		t.Errorf("the request after the malformed response ended as %v", done.Result)
	}
	return response, done
}

func expectMalformed(t *testing.T, response *traffic.Response, done reducer.BackendRequestDone) {
	t.Helper()
	if response != nil {
		t.Errorf("delivered with status %d, header %q, body %.40q", response.Status, response.Header, response.Body)
	} else if done.Result != reducer.BackendMalformed || done.Problem == "" {
		t.Errorf("ended as %v with problem %q, expected malformed", done.Result, done.Problem)
	}
}

// Guards against a response that reaches the caller although a field name in its head is not valid: as a field that the
// backend server did not mean, as part of another field's value, or with a body whose length the odd field named.
func TestOddFieldNames(t *testing.T) {
	const chunks = "5\r\nhello\r\n0\r\n\r\n"
	for name, odd := range oddFieldNames {
		for where, text := range map[string]string{
			"first":             strings.Replace(headWith("200 OK", "first", "Content-Length: 5"), "OK\r\n", "OK\r\n"+odd+": v\r\n", 1) + "hello",
			"last":              headWith("200 OK", "first", "Content-Length: 5", odd+": v") + "hello",
			"behind 8 KiB":      headWith("200 OK", "first", "X-Long: "+strings.Repeat("x", 8<<10), odd+": v", "Content-Length: 5") + "hello",
			"of the length":     headWith("200 OK", "first", strings.Replace(odd, "X", "Content-Length", 1)+": 5") + "hello",
			"of the chunks":     headWith("200 OK", "first", "X-Other: v", strings.ReplaceAll(odd, "X-Odd", "Transfer-Encoding")+": chunked") + chunks,
			"of a failure":      headWith("500 Failed", "first", "Content-Length: 5", odd+": v") + "hello",
			"of a refusal":      headWith("503 Full", "first", hosted.HeaderNotRun+": full", "Content-Length: 5", odd+": v") + "hello",
			"of an interim":     "HTTP/1.1 103 Early Hints\r\nX-Other: v\r\n" + odd + ": v\r\n\r\n" + headWith("200 OK", "first", "Content-Length: 5") + "hello",
			"of an earlier one": headWith("200 OK", "zero", "Content-Length: 5", odd+": v") + "other" + headWith("200 OK", "first", "Content-Length: 5") + "hello",
		} {
			for _, keepOpen := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", ", where, ", open ", keepOpen), func(t *testing.T) {
					t.Parallel()
					response, done := sendTo(t, false, keepOpen, func(conn net.Conn, _ string) { io.WriteString(conn, text) })
					expectMalformed(t, response, done)
				})
			}
		}
	}
}

// Guards against a response whose status line is not one of HTTP/1.x that reaches the caller, that is skipped like an interim
// one, so that its request waits for another, or whose body is taken for the next response.
func TestOddStatusLines(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/11 200 OK", "ICY 200 OK",
	} {
		odd := strings.Replace(headWith("200 OK", "first", "Content-Length: 5"), "HTTP/1.1 200 OK", line, 1) + "hello"
		refusal := strings.Replace(odd, "\r\n", "\r\n"+hosted.HeaderNotRun+": full\r\n", 1)
		proper := headWith("200 OK", "first", "Content-Length: 5") + "hello"
		for where, text := range map[string]string{
			"alone": odd, "as a refusal": refusal, "ahead of the response": odd + proper, "behind an interim": "HTTP/1.1 103 Early Hints\r\n\r\n" + odd,
			"of an earlier one": strings.Replace(odd, "first", "zero", 1) + proper,
		} {
			for _, streaming := range []bool{false, true} {
				for _, keepOpen := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, streaming %v, open %v", line, where, streaming, keepOpen), func(t *testing.T) {
						t.Parallel()
						response, done := sendTo(t, streaming, keepOpen, func(conn net.Conn, _ string) { io.WriteString(conn, text) })
						expectMalformed(t, response, done)
					})
				}
			}
		}
	}
}

// Guards against a 200 with an empty or short body, framed as whole, behind a head that stops: at each of its bytes, by the end
// of the connection or by a reset.
func TestHeadThatStops(t *testing.T) {
	for name, c := range map[string]struct{ before, head string }{
		"sized":            {"", headWith("200 OK", "first", "Content-Length: 5")},
		"chunked":          {"", headWith("200 OK", "first", "Transfer-Encoding: chunked")},
		"ended by close":   {"", headWith("200 OK", "first")},
		"no content":       {"", headWith("204 No Content", "first")},
		"failure":          {"", headWith("500 Failed", "first", "Content-Length: 0")},
		"refusal":          {"", headWith("503 Full", "first", hosted.HeaderNotRun+": full", "Content-Length: 0")},
		"interim":          {"", "HTTP/1.1 103 Early Hints\r\nX-Other: v\r\n\r\n"},
		"behind interim":   {"HTTP/1.1 103 Early Hints\r\n\r\n", headWith("200 OK", "first", "Content-Length: 5")},
		"behind late copy": {headWith("200 OK", "zero", "Content-Length: 5") + "other", headWith("200 OK", "first", "Content-Length: 5")},
	} {
		for length := range len(c.head) {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d bytes, reset %v", name, length, reset), func(t *testing.T) {
					t.Parallel()
					response, done := sendTo(t, length%2 == 0, false, func(conn net.Conn, _ string) {
						io.WriteString(conn, c.before+c.head[:length])
						if reset {
							conn.(*net.TCPConn).SetLinger(0)
						}
					})
					if response != nil {
						t.Errorf("delivered with status %d, header %q, body %.40q", response.Status, response.Header, response.Body)
					} else if done.Result != reducer.BackendFailed && done.Result != reducer.BackendMalformed { // malformed within a line
						t.Errorf("ended as %v, expected failed", done.Result)
					}
				})
			}
		}
	}
}

// Guards against a response that looks complete although its trailer is not valid, of a body that is delivered as a whole, of one
// that is passed on while it is received, and of one that is skipped.
func TestOddTrailers(t *testing.T) {
	bodies := map[string]string{"short": "5\r\nhello\r\n", "long": strings.SplitN(chunked(longBody()), "\r\n\r\n", 2)[1]}
	for name, odd := range oddFieldNames {
		for size, body := range bodies {
			for where, text := range map[string]string{
				"alone":             headWith("200 OK", "first", "Transfer-Encoding: chunked") + body + "0\r\n" + odd + ": v\r\n\r\n",
				"behind another":    headWith("200 OK", "first", "Transfer-Encoding: chunked", "Trailer: X-Other") + body + "0\r\nX-Other: v\r\n" + odd + ": v\r\n\r\n",
				"of an earlier one": headWith("200 OK", "zero", "Transfer-Encoding: chunked") + body + "0\r\n" + odd + ": v\r\n\r\n" + headWith("200 OK", "first", "Content-Length: 5") + "hello",
			} {
				if where == "behind another" && strings.TrimLeft(odd, " \t") != odd {
					continue // more of the value of X-Other, which may be on two lines (RFC 9112, section 5.2) and is not passed on
				}
				for _, streaming := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, %s, streaming %v", name, size, where, streaming), func(t *testing.T) {
						t.Parallel()
						response, done := sendTo(t, streaming, true, func(conn net.Conn, _ string) { io.WriteString(conn, text) })
						expectMalformed(t, response, done)
					})
				}
			}
		}
	}
}
