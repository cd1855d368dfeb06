package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
)

// brokenAnswerTime is the time of the requests of these tests. One whose answer is waited for instead ends with 504.
const brokenAnswerTime = 20 * time.Second

// brokenAnswer is what a backend server in trouble sends in place of an answer.
type brokenAnswer struct {
	text     func(id string) string
	keepOpen bool // the backend server leaves the connection open
}

// withStatus returns a whole answer to a request with a status line of its own.
func withStatus(line, id string) string {
	return strings.Replace(okHead(id, "Content-Length: 5\r\n"), "HTTP/1.1 200 OK", line, 1) + "hello"
}

// brokenAnswers are answers that are not valid HTTP, by name.
var brokenAnswers = map[string]brokenAnswer{
	"blank-in-name": {func(id string) string { return okHead(id, "X Odd: v\r\nContent-Length: 5\r\n") + "hello" }, true},
	"blank-at-end":  {func(id string) string { return okHead(id, "Content-Length : 5\r\n") + "hello" }, false},
	"blank-ahead":   {func(id string) string { return okHead(id, " Content-Length: 5\r\n") + "hello" }, false},
	"chunks": {func(id string) string {
		return okHead(id, "Transfer-Encoding : chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n"
	}, false},
	"control-byte": {func(id string) string { return okHead(id, "X\x01Odd: v\r\nContent-Length: 5\r\n") + "hello" }, true},
	"tab-in-name":  {func(id string) string { return okHead(id, "X\tOdd: v\r\nContent-Length: 5\r\n") + "hello" }, true},
	"interim": {func(id string) string {
		return "HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + okHead(id, "Content-Length: 5\r\n") + "hello"
	}, true},
	"status-000":      {func(id string) string { return withStatus("HTTP/1.1 000 OK", id) }, false},
	"status-000-open": {func(id string) string { return withStatus("HTTP/1.1 000 OK", id) }, true},
	"status-000-before-another": {func(id string) string {
		return withStatus("HTTP/1.1 000 OK", id) + okHead(id, "Content-Length: 5\r\n") + "hello"
	}, true},
	"status-099":      {func(id string) string { return withStatus("HTTP/1.1 099 OK", id) }, true},
	"status-999":      {func(id string) string { return withStatus("HTTP/1.1 999 OK", id) }, true},
	"stops-in-status": {func(string) string { return "HTTP/1.1 200" }, false},
	"stops-in-name":   {func(id string) string { return strings.TrimSuffix(okHead(id, "Content-Le"), "\r\n") }, false},
	"stops-in-value":  {func(id string) string { return strings.TrimSuffix(okHead(id, "Content-Length: 1"), "\r\n") }, false},
	"stops-at-line":   {func(id string) string { return strings.TrimSuffix(okHead(id, ""), "\r\n") }, false},
	"stops-at-end":    {func(id string) string { return strings.TrimSuffix(okHead(id, ""), "\n") }, false},
	"version-2.0":     {func(id string) string { return withStatus("HTTP/2.0 200 OK", id) }, true},
}

// serveBroken answers the requests for a path of brokenAnswers with that answer, and all others properly. It counts the
// requests by id in arrived.
func serveBroken(conn net.Conn, arrived *sync.Map) {
	defer conn.Close()
	for reader := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get(hosted.HeaderAttempt)
		arrived.Store(id, true)
		answer, ok := brokenAnswers[strings.TrimPrefix(request.URL.Path, "/v1/")]
		if !ok {
			_ = writeResponse(conn, id, "ran "+id) // if this fails, the next read fails as well
			continue
		}
		if _, err := conn.Write([]byte(answer.text(id))); err != nil || !answer.keepOpen {
			return
		}
	}
}

// Guards against an answer of a backend server that is not valid HTTP and reaches the client as an answer: beside the
// client's node and another one, for requests that may be repeated and others. The client gets a failure of the system at
// once, which promises nothing, and the next request is served.
func TestBrokenAnswersAreNotDelivered(t *testing.T) {
	for _, kind := range []string{"idempotent", "non_idempotent"} {
		var arrived sync.Map
		h := startHostedNodes(t, func(conn net.Conn) { serveBroken(conn, &arrived) })
		h.putTimedRoute(1, kind, brokenAnswerTime)
		for node := range h.callerAddresses {
			h.waitForVersion(t, node, 1)
			for name := range brokenAnswers {
				t.Run(fmt.Sprint(kind, " ", name, " ", node), func(t *testing.T) {
					status, body := h.sendUntilArrived(t, node, "/v1/"+name, &arrived)
					if status != http.StatusBadGateway || !strings.Contains(body, `"reason":"backend_failed"`) {
						t.Errorf("the client got status %d, body %q", status, body)
					}
					if _, body := h.sendUntilArrived(t, node, "/v1/proper", &arrived); !strings.HasPrefix(body, "ran ") {
						t.Errorf("the request after the broken answer got %q", body)
					}
				})
			}
		}
	}
}

// sendUntilArrived sends requests until one arrives at the backend server, which may count as failed for a while, and returns
// the status and the body of the response to it.
func (h *hostedNodes) sendUntilArrived(t *testing.T, node int, path string, arrived *sync.Map) (int, string) {
	t.Helper()
	start := time.Now()
	for i := 0; time.Since(start) < waitTimeout; i++ {
		id := fmt.Sprint(t.Name(), path, i)
		status, body, err := h.send(node, path, id, brokenAnswerTime)
		if _, ok := arrived.Load(id); ok && err == nil {
			return status, body
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no request for %s arrived", path)
	return 0, ""
}
