package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Guards against a connection that is used again after the backend server has left a request on it without an answer, and
// against one that stays open: a full backend server answers nothing more there. The requests count as possibly run.
func TestHungConnectionIsAbandoned(t *testing.T) {
	var connections, closed atomic.Int32
	server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		number := connections.Add(1)
		for s.readRequest(r) {
			if number > 1 {
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				continue
			}
			io.Copy(io.Discard, r) // until the client closes the connection
			closed.Add(1)
		}
	})
	client := newClient(t, server.listener.Addr().String(), 1)
	start := reducer.StartBackendRequest{TimeLeft: testTimeout, Timeout: 50 * time.Millisecond}
	if _, done := client.Do(context.Background(), start, &traffic.Request{Method: http.MethodGet, URI: "/"}); done.Result != reducer.BackendAborted {
		t.Errorf("the request that hung ended as %v, expected %v", done.Result, reducer.BackendAborted)
	}
	for range 2 {
		if _, result := doRequest(client, http.MethodGet, nil); result != reducer.BackendAnswered {
			t.Errorf("a request after the hung one ended as %v", result)
		}
	}
	client.Close()
	server.listener.Close()
	server.work.Wait()
	if connections.Load() != 2 || closed.Load() != 1 {
		t.Errorf("%d connections, of which %d hung ones were closed, expected 2 and 1", connections.Load(), closed.Load())
	}
}
