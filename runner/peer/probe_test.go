package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// startSlowLink forwards connections to an address. Bytes from there arrive in chunks, one in each interval. It ends with
// the test.
func startSlowLink(t *testing.T, address string, chunk int, interval time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			t.Cleanup(func() { near.Close(); far.Close() })
			go io.Copy(far, near)
			go func() {
				for {
					if _, err := io.CopyN(near, far, int64(chunk)); err != nil {
						near.Close()
						return
					}
					time.Sleep(interval)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against a probe that gives up a connection on which a long response is arriving: that would end every call on it.
func TestProbeOfABusyConnection(t *testing.T) {
	response := bytes.Repeat([]byte("x"), 512<<10)
	f := startPair(t, identity("ingress"), identity("target"), &echoHandler{response: response})
	// 512 KiB take about 1.3 s, more than twice the timeout of the probe.
	f.to.Address = startSlowLink(t, f.to.Address, 8<<10, 20*time.Millisecond)
	request := &traffic.Request{Method: "POST", URI: "/", Body: bytes.Repeat([]byte("y"), maxCallBodyBytes+1)} // takes the bulk connection
	forward := reducer.Forward{Call: 1, Attempt: 1, To: f.to, TimeLeft: 10 * time.Second}
	type result struct {
		done     reducer.ForwardDone
		response *traffic.Response
	}
	ended := make(chan result, 1)
	go func() {
		done, response := f.client.Forward(context.Background(), forward, request)
		ended <- result{done, response}
	}()
	time.Sleep(300 * time.Millisecond)
	if !f.client.Probe(context.Background(), reducer.Probe{Call: 1, Attempt: 1, To: f.to, Timeout: 500 * time.Millisecond}, request) {
		t.Error("the connection counts as dead although a response is arriving on it")
	}
	if r := <-ended; r.done.Result != reducer.ForwardAnswered || r.response == nil || len(r.response.Body) != len(response) {
		t.Errorf("the call ended with %v", r.done.Result)
	}
}
