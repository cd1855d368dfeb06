package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a request that a leaving node takes late on an open connection and passes on, although its process may be
// killed before the answer: its caller cannot tell then whether it ran. The route's time is longer than the shutdown.
func TestLateRequestOnOpenConnectionIsRefused(t *testing.T) {
	p := startNodePair(t)
	conn, err := net.Dial("tcp", p.callerNodeAddresses.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(path string) (*http.Response, string) {
		t.Helper()
		if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n\r\nx", path); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		body, _ := io.ReadAll(response.Body)
		return response, string(body)
	}
	if response, body := send("/dues/before"); response.StatusCode != http.StatusOK || response.Close {
		t.Fatalf("before the shutdown: status %d, %s", response.StatusCode, body)
	}
	held := make(chan error, 1)
	go func() { // keeps the node from leaving at once
		response, err := http.Post("http://"+p.callerNodeAddresses.Callers+"/dues/held", "text/plain", strings.NewReader("x"))
		if err == nil {
			response.Body.Close()
		}
		held <- err
	}()
	<-p.heldRequests
	p.callerNode.Shutdown()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		probe, err := net.Dial("tcp", p.callerNodeAddresses.Callers)
		if err != nil {
			break // the listener is closed, so that the node no longer expects new calls
		}
		probe.Close()
		if time.Now().After(deadline) {
			t.Fatal("the callers listener of a node that shuts down stays open")
		}
	}
	response, body := send("/dues/late")
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || !strings.Contains(body, `"outcome":"not_run","reason":"leaving"`) {
		t.Errorf("late request: status %d, closes %v, %s; expected a refusal that says that it did not run", response.StatusCode, response.Close, body)
	}
	close(p.release)
	if err := <-held; err != nil {
		t.Errorf("request in progress: %v", err)
	}
}
