package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// serveRaw serves the connections of an upstream one request at a time. The upstream refuses the share shed() of its
// requests (503 with Not-Executed, as in the printed messages). It sends a second copy of the share extra() of its answers,
// late: at the point where the next response on the connection is expected.
func (u *upstream) serveRaw(listener net.Listener, shed, extra func() float64) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn, shed, extra)
	}
}

func (u *upstream) serveConn(conn net.Conn, shed, extra func() float64) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var late string // second copy of an answer, not yet sent
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		if late != "" {
			u.r.note("upstream %s sends a second copy of an earlier answer (%.21q) as %s is under way", u.id, late, id)
			if _, err := io.WriteString(conn, late); err != nil {
				return
			}
			late = ""
		}
		answer := ""
		switch expected := r.Header.Get("Expect-Instance"); {
		case expected != "" && expected != u.id:
			answer = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		case rand.Float64() < shed():
			answer = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			a := &arrival{at: time.Now(), id: id, instance: u.id, service: u.node.service, path: r.RequestURI}
			u.mu.Lock()
			u.arrivals = append(u.arrivals, a)
			u.mu.Unlock()
			u.sem <- struct{}{}
			time.Sleep(u.work(r))
			<-u.sem
			u.end(a, http.StatusOK)
			text := fmt.Sprintf("answer of %s of %s to %s\n", u.id, u.node.service, id)
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.0\r\nContent-Length: %d\r\n\r\n%s", id, id, len(text), text)
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if rand.Float64() < extra() {
			late = strings.Clone(answer)
		}
	}
}
