package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// identified returns a response that names its request as backend servers do on the users' platform, and with the headers
// of this system.
func identified(id string) string {
	body := "answer to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		hosted.HeaderAttempt, id, hosted.HeaderSeal, frontend.HeaderCallID, id, len(body), body)
}

// Guards against a second copy of a response that arrives late on a kept connection and is taken for the response to the
// next request: at rest, as the next request arrives, before its response and within its head, once and several times.
func TestLateCopyNeverAnswersAnotherRequest(t *testing.T) {
	moments := map[string]func(conn net.Conn, copies, own string){
		"right behind the response": func(conn net.Conn, copies, own string) { io.WriteString(conn, own+copies) },
		"at rest": func(conn net.Conn, copies, own string) {
			io.WriteString(conn, own)
			later(conn, 5*time.Millisecond, copies)
		},
		"as the next request is due": func(conn net.Conn, copies, own string) {
			io.WriteString(conn, own)
			later(conn, 20*time.Millisecond, copies)
		},
		"ahead of the next response": func(conn net.Conn, copies, own string) { io.WriteString(conn, copies+own) },
		"within the next head": func(conn net.Conn, copies, own string) {
			io.WriteString(conn, own[:30]+copies+own[30:])
		},
	}
	copiesPrevious := map[string]bool{"ahead of the next response": true, "within the next head": true}
	for name, write := range moments {
		for _, count := range []int{1, 3} {
			for frontName, front := range map[string]frontend.FrontEnd{"hosted": hosted.FrontEnd{}, "native": frontend.Native{}} {
				t.Run(fmt.Sprint(name, count, frontName), func(t *testing.T) {
					server := startRawServer(t, func(s *rawServer, conn net.Conn, r *bufio.Reader) {
						previous := ""
						for {
							request, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							id := request.Header.Get(hosted.HeaderAttempt)
							if frontName == "native" {
								id = request.Header.Get(frontend.HeaderCallID)
							}
							copied := identified(id)
							if copiesPrevious[name] && previous != "" {
								copied = previous
							}
							previous = identified(id)
							write(conn, strings.Repeat(copied, count), identified(id))
						}
					})
					client := NewClient(server.listener.Addr().String(), 1, front)
					defer client.Close()
					answered := 0
					for i := range 12 {
						id := fmt.Sprint("n1-1-", i)
						callID, _ := reducer.ParseCallID(id)
						start := reducer.StartBackendRequest{Call: 1, ID: callID, Timeout: testTimeout, TimeLeft: testTimeout}
						response, _ := client.Do(context.Background(), start, &traffic.Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{hosted.HeaderAttempt: {id}}})
						if response == nil {
							continue // a failure that the caller sees as such
						}
						answered++
						if body := string(response.Body); body != "answer to "+id {
							t.Errorf("request %s got %q", id, body)
						}
						time.Sleep(time.Duration(i%3) * 10 * time.Millisecond)
					}
					if answered == 0 && !strings.HasPrefix(name, "within") {
						t.Error("no request was answered")
					}
				})
			}
		}
	}
}

// later writes text after a delay, as far as the connection is still open.
func later(conn net.Conn, delay time.Duration, text string) {
	time.Sleep(delay)
	io.WriteString(conn, text)
}
