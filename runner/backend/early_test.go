package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Guards against a response to a part of a body that is taken for the success of the whole request, and against a refusal
// that is lost because the backend server did not read the body.
func TestAnswerBeforeTheBodyIsIn(t *testing.T) {
	for status, want := range map[int]reducer.BackendResult{
		http.StatusOK: reducer.BackendFailed, http.StatusRequestEntityTooLarge: reducer.BackendAnswered,
	} {
		ended := make(chan struct{})
		s := startRawServer(t, func(_ *rawServer, conn net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil { // the body is not read
				fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nok", status)
				<-ended
			}
		})
		// The body is longer than what the buffers of a connection hold.
		request := &traffic.Request{Method: http.MethodPost, URI: "/dues", Body: make([]byte, 32<<20)}
		response, done := newClient(t, s.listener.Addr().String(), 1).Do(context.Background(),
			reducer.StartBackendRequest{TimeLeft: testTimeout, Timeout: testTimeout}, request)
		close(ended)
		if done.Result != want || (response != nil) != (want == reducer.BackendAnswered) {
			t.Errorf("status %d before the body was read: result %v, response %v", status, done.Result, response)
		}
	}
}
