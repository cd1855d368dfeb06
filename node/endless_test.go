package node

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
)

const (
	// endlessCallTime is the time that the callers of these tests wait.
	endlessCallTime = 500 * time.Millisecond
	// endlessBound is by when a node must have closed the connection of an answer without end: the caller's time, the
	// second that a body may take beyond it, and room for a busy machine.
	endlessBound = 6 * time.Second
)

// endlessAnswer is how an answer begins, and the bytes that follow without end.
type endlessAnswer struct {
	begin  func(id string) string
	repeat []byte
	pause  time.Duration // between two repeats
}

func okHead(id, fields string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n", hosted.HeaderAttempt, id, hosted.HeaderSeal, fields)
}

// serveEndless answers each request on a connection with bytes that do not end, and reports the id of each when the node
// has closed the connection.
func serveEndless(conn net.Conn, answers map[string]endlessAnswer, closed chan<- string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(hosted.HeaderAttempt)
		answer, ok := answers[strings.TrimPrefix(request.URL.Path, "/v1/")]
		if !ok {
			_ = writeResponse(conn, id, "ran "+id) // if this fails, the next read fails as well
			continue
		}
		began := time.Now()
		_, err = conn.Write([]byte(answer.begin(id)))
		for err == nil && time.Since(began) < 2*endlessBound {
			time.Sleep(answer.pause)
			_, err = conn.Write(answer.repeat)
		}
		closed <- id
		return
	}
}

// Guards against a node that goes on receiving an answer that nobody waits for: bytes without end from a faulty backend
// server took its slots and its memory for a minute, until the process was killed.
func TestEndlessAnswerIsCutWhenNobodyWaits(t *testing.T) {
	block := bytes.Repeat([]byte("x"), 4<<10)
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(block), block)
	answers := map[string]endlessAnswer{
		"body":          {func(id string) string { return okHead(id, "") }, block, 20 * time.Millisecond},
		"slow-body":     {func(id string) string { return okHead(id, "") }, []byte("x"), 20 * time.Millisecond},
		"sized-body":    {func(id string) string { return okHead(id, "Content-Length: 8000000\r\n") }, block, 20 * time.Millisecond},
		"chunks":        {func(id string) string { return okHead(id, "Transfer-Encoding: chunked\r\n") }, chunk, 20 * time.Millisecond},
		"late-copy":     {func(string) string { return okHead("another", "") }, block, 20 * time.Millisecond},
		"failure":       {func(id string) string { return strings.Replace(okHead(id, ""), "200 OK", "500 Failed", 1) }, block, 20 * time.Millisecond},
		"trailer":       {func(id string) string { return okHead(id, "Transfer-Encoding: chunked\r\n") + "0\r\n" }, []byte("A: b\r\n"), time.Millisecond},
		"chunk-options": {func(id string) string { return okHead(id, "Transfer-Encoding: chunked\r\n") + "1;" }, block, 20 * time.Millisecond},
		"head":          {func(id string) string { return strings.TrimSuffix(okHead(id, ""), "\r\n") }, []byte("A: b\r\n"), time.Millisecond},
		"head-line":     {func(string) string { return "HTTP/1.1 200 OK\r\nA: " }, block, 20 * time.Millisecond},
		"interim":       {func(string) string { return "" }, []byte("HTTP/1.1 103 Early Hints\r\n\r\n"), 20 * time.Millisecond},
		"no-answer":     {func(string) string { return "" }, block, 20 * time.Millisecond},
	}
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		closed := make(chan string, 4*len(answers))
		h := startHostedNodes(t, func(conn net.Conn) { serveEndless(conn, answers, closed) })
		h.putRoute(1, kind)
		h.waitForVersion(t, 0, 1)
		for name := range answers {
			t.Run(kind+" "+name, func(t *testing.T) {
				began := time.Now()
				id := "endless-" + name
				status, _, err := h.send(0, "/v1/"+name, id, endlessCallTime)
				if err == nil && status == http.StatusOK {
					t.Errorf("an answer without end was delivered as complete")
				}
				if waited := time.Since(began); waited > endlessBound {
					t.Errorf("the caller waited %v", waited)
				}
				for timeout := time.After(endlessBound); ; {
					select {
					case got := <-closed:
						if got == id {
							return
						}
					case <-timeout:
						t.Fatalf("the node still receives the answer %v after the request", time.Since(began))
					}
				}
			})
		}
	}
}
