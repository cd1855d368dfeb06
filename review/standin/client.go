package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client and what the client saw of it.
type attempt struct {
	id, method, host, path string
	node                   string
	sentAt                 time.Time // its last byte was written
	written                bool
	kept                   bool // sent on a connection that was open before
	endedAt                time.Time
	status                 int    // 0 without a complete answer
	seal                   string // the upstream's Server-Seal
	end                    string // how it ended, when there was no answer
	answer                 string
}

// client keeps one connection to a node, as the platform's clients do, and sends one request at a time on it.
type client struct {
	r    *run
	node *node
	conn net.Conn
	in   *bufio.Reader
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one request and waits for the answer until its time budget is over.
func (c *client) do(method, host, path, body string, budget time.Duration) *attempt {
	a := &attempt{id: newID(), method: method, host: host, path: path, node: c.node.name, kept: c.conn != nil}
	defer func() {
		a.endedAt = time.Now()
		c.r.record(a)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.ip+":8147", time.Second)
		if err != nil {
			a.end = "no connection"
			return a
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	c.conn.SetDeadline(time.Now().Add(budget))
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, a.id, budget.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		a.end = "the connection was closed as it was sent"
		c.close()
		return a
	}
	a.written, a.sentAt = true, time.Now()
	response, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		if err == nil {
			a.status, a.seal, a.answer = response.StatusCode, response.Header.Get("Server-Seal"), string(answer)
			if response.Close {
				c.close()
			}
			return a
		}
	}
	a.end = "the connection was closed without an answer"
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		a.end = "the time budget was over"
	}
	c.close()
	return a
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// load has a number of clients send requests to a node until ctx ends: each sends the next one a pause after the answer.
// While the node isn't in, the clients send nothing new.
func (r *run) load(ctx context.Context, wg *sync.WaitGroup, n *node, clients int, pause time.Duration, next func() (method, host, path, body string, budget time.Duration)) {
	for range clients {
		wg.Go(func() {
			c := &client{r: r, node: n}
			defer c.close()
			for ctx.Err() == nil {
				if r.isIn(n) {
					method, host, path, body, budget := next()
					if a := c.do(method, host, path, body, budget); a.end == "no connection" {
						sleep(ctx, 200*time.Millisecond)
					}
				}
				sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
			}
		})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// isProof reports whether an answer is a success of the upstream to this attempt.
func (a *attempt) isProof() bool {
	return a.status/100 == 2 && strings.HasPrefix(a.seal, a.id) && strings.HasSuffix(a.answer, " to "+a.id+"\n")
}
