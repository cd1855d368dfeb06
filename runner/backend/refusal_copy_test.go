package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// refusalCopy is a refusal of which a copy arrives as the response to the next request is due.
type refusalCopy struct {
	front       frontend.FrontEnd
	status      string
	fields      string // that make it a refusal
	named       bool   // it names its request
	sameRequest bool   // the next request is the refused one, sent again
}

func refusalCopies() []refusalCopy {
	var cases []refusalCopy
	for _, named := range []bool{true, false} {
		for _, same := range []bool{true, false} {
			cases = append(cases,
				refusalCopy{hosted.FrontEnd{}, "503 Service Unavailable", hosted.HeaderNotRun + ": 1\r\n", named, same},
				refusalCopy{hosted.FrontEnd{}, "429 Too Many Requests", hosted.HeaderNotRun + ": 1\r\n", named, same},
				refusalCopy{hosted.FrontEnd{}, "421 Misdirected Request", hosted.HeaderInstance + ": i-1\r\n", named, same},
				refusalCopy{frontend.Native{}, "503 Service Unavailable", frontend.HeaderOutcome + ": not_run\r\n", named, same},
			)
		}
	}
	return cases
}

// response returns the refusal of a request.
func (c refusalCopy) response(id string) string {
	fields := c.fields
	if c.named {
		fields += fmt.Sprintf("%s: %s\r\n%s: %s\r\n", hosted.HeaderAttempt, id, frontend.HeaderCallID, id)
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: 0\r\n\r\n", c.status, fields)
}

// serve refuses the first request of all connections and answers any other, behind a copy of what it refused on its
// connection.
func (c refusalCopy) serve(s *rawServer, conn net.Conn, r *bufio.Reader) {
	copies := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := request.Header.Get(hosted.HeaderAttempt) + request.Header.Get(frontend.HeaderCallID)
		if s.requests.Add(1) == 1 {
			copies = c.response(id)
			io.WriteString(conn, copies)
			continue
		}
		io.WriteString(conn, copies)
		time.Sleep(20 * time.Millisecond)
		io.WriteString(conn, identified(id))
	}
}

// Guards against a late second copy of a refusal that is taken for the response to another request, or to the same one when
// it is sent again: the caller would be told that a request has not run which runs.
func TestLateCopyOfARefusalRefusesNothingElse(t *testing.T) {
	for _, c := range refusalCopies() {
		t.Run(fmt.Sprintf("%T %s named=%v same=%v", c.front, c.status, c.named, c.sameRequest), func(t *testing.T) {
			server := startRawServer(t, c.serve)
			client := NewClient(server.listener.Addr().String(), 1, c.front)
			defer client.Close()
			send := func(seq uint64) reducer.BackendResult {
				request := &traffic.Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("x"), Header: http.Header{}}
				if _, native := c.front.(frontend.Native); !native {
					request.Header.Set(hosted.HeaderAttempt, fmt.Sprint("attempt-", seq))
				}
				start := reducer.StartBackendRequest{ID: reducer.CallID{Origin: "n", Incarnation: 1, Seq: seq}, Timeout: testTimeout, TimeLeft: testTimeout}
				_, done := client.Do(context.Background(), start, request)
				return done.Result
			}
			if got := send(1); got != reducer.BackendShed && got != reducer.BackendMisdirected {
				t.Fatalf("the first request ended as %v, expected a refusal", got)
			}
			next := uint64(2)
			if c.sameRequest {
				next = 1
			}
			if got := send(next); got != reducer.BackendAnswered {
				t.Errorf("the next request ended as %v although it ran", got)
			}
		})
	}
}
