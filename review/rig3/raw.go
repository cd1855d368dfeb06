package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// rawSend sends a GET with a target as it is written.
func rawSend(n *nodeProcess, target string) answer {
	a := answer{id: newID(), sent: time.Now()}
	c, err := net.Dial("tcp", n.outbound)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	record("send    %s to node %s: GET %s", a.id, n.name, target)
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\n\r\n", target, host, a.id)
	out, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		text, _ := io.ReadAll(out.Body)
		a.status, a.body = out.StatusCode, string(text)
	}
	a.err, a.took = err, time.Since(a.sent)
	record("answer  %s", a)
	return a
}
