package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// longBody is a body that is longer than what is delivered as a whole.
func longBody() []byte {
	return bytes.Repeat([]byte("0123456789abcdef"), (traffic.MaxWholeBodyBytes+6*traffic.PartBytes)/16)
}

func chunked(body []byte) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
}

func sized(length int, body []byte) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// stream sends a request on a streaming route and returns its response.
func stream(t *testing.T, c *Client) (*traffic.Response, reducer.BackendRequestDone) {
	t.Helper()
	start := reducer.StartBackendRequest{Call: 1, Timeout: testTimeout, TimeLeft: testTimeout, Streaming: true}
	return c.Do(context.Background(), start, &traffic.Request{Method: "GET", URI: "/", Host: "h"})
}

// readAll reads a response to its end.
func readAll(response *traffic.Response) ([]byte, error) {
	body := bytes.Clone(response.Body)
	for response.Rest != nil {
		part, err := response.Rest.Next(context.Background())
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		body = append(body, part...)
	}
	return body, nil
}

// Guards against a long response that breaks off and looks complete: within a part, at its end, one byte short, without
// the end of its chunks, by a reset, or behind a response without a length.
func TestStreamThatBreaksOffIsNotComplete(t *testing.T) {
	body := longBody()
	for name, c := range map[string]struct {
		text     string
		reset    bool
		complete bool
	}{
		"whole":                  {sized(len(body), body), false, true},
		"whole chunks":           {chunked(body) + "0\r\n\r\n", false, true},
		"ended by close":         {"HTTP/1.1 200 OK\r\n\r\n" + string(body), false, true},
		"one byte short":         {sized(len(body)+1, body), false, false},
		"a part short":           {sized(len(body)+traffic.PartBytes, body), false, false},
		"within a chunk":         {chunked(body)[:len(body)], false, false},
		"without the last chunk": {chunked(body), false, false},
		"within the last chunk":  {chunked(body) + "0\r\n", false, false},
		"reset without a length": {"HTTP/1.1 200 OK\r\n\r\n" + string(body), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			taken := make(chan struct{})
			server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
				if !s.readRequest(r) {
					return
				}
				io.WriteString(conn, c.text)
				if c.reset {
					<-taken // what was received before a reset may be lost with it
					conn.(*net.TCPConn).SetLinger(0)
				}
			})
			response, done := stream(t, newClient(t, server.listener.Addr().String(), 1))
			if response == nil || !done.Streaming {
				t.Fatalf("response %v, %+v, expected a streaming one", response, done)
			}
			time.AfterFunc(50*time.Millisecond, func() { close(taken) })
			got, err := readAll(response)
			if (err == nil) != c.complete || c.complete && !bytes.Equal(got, body) || !bytes.HasPrefix(body, got) {
				t.Errorf("%d bytes, error %v, expected complete: %v", len(got), err, c.complete)
			}
			<-response.Rest.Ended()
		})
	}
}

// Guards against connections that are lost to the pool after a stream, or that are used again after one that was not read
// to its end, and against a backend server that works on for a caller that has left.
func TestStreamReleasesItsConnection(t *testing.T) {
	body := longBody()
	connections, closed := make(chan struct{}, 8), make(chan struct{}, 8)
	server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for s.readRequest(r) {
			if _, err := io.WriteString(conn, sized(len(body), body)); err != nil {
				break
			}
		}
		closed <- struct{}{}
	})
	client := newClient(t, server.listener.Addr().String(), 1)
	for range 3 {
		response, _ := stream(t, client)
		if _, err := readAll(response); err != nil {
			t.Fatal(err)
		}
		<-response.Rest.Ended()
	}
	if len(connections) != 1 {
		t.Errorf("%d connections for three complete responses, expected one", len(connections))
	}
	endless := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for { // bytes without end, until the caller closes
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", 1024, strings.Repeat("x", 1024)); err != nil {
				break
			}
		}
		closed <- struct{}{}
	})
	client = newClient(t, endless.listener.Addr().String(), 1)
	response, _ := stream(t, client)
	response.Rest.Close()
	<-response.Rest.Ended()
	<-closed
	if _, err := readAll(response); err == nil {
		t.Error("a stream that was closed looks complete")
	}
	if len(client.permits) != 0 {
		t.Error("a closed stream keeps the permit of its connection")
	}
}

// Guards against a body without end that takes any amount of memory: nobody reads it, and the backend server is held up
// within the window of the stream until the deadline.
func TestEndlessBodyIsHeldUpUntilTheDeadline(t *testing.T) {
	var sent int64
	ended := make(chan int64, 1)
	server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
		s.readRequest(r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for {
			n, err := conn.Write(make([]byte, 32<<10))
			if sent += int64(n); err != nil {
				ended <- sent
				return
			}
		}
	})
	client := newClient(t, server.listener.Addr().String(), 1)
	start := reducer.StartBackendRequest{Call: 1, Timeout: 500 * time.Millisecond, Streaming: true}
	response, _ := client.Do(context.Background(), start, &traffic.Request{Method: "GET", URI: "/", Host: "h"})
	if response == nil {
		t.Fatal("no response")
	}
	<-response.Rest.Ended()
	const socketBuffers = 32 << 20 // the kernel's buffers of both ends
	if total := <-ended; total > traffic.MaxWholeBodyBytes+(streamWindow+2)*traffic.PartBytes+socketBuffers {
		t.Errorf("the backend server sent %d bytes that nobody read", total)
	}
	if _, err := readAll(response); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a body that was cut at the deadline ended with %v", err)
	}
}
