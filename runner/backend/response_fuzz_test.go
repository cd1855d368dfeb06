package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

// recordedConn is a connection on which given bytes arrive and then its end.
type recordedConn struct {
	net.Conn
	arrives *bytes.Reader
}

func (c recordedConn) Read(p []byte) (int, error)      { return c.arrives.Read(p) }
func (recordedConn) SetReadDeadline(_ time.Time) error { return nil }

// Guards against bytes of a backend server that make the client panic, or that it passes on as a response although they are
// none: with a status that no caller may get, or with a field that is no line of what arrived.
func FuzzResponse(f *testing.F) {
	hello := headWith("200 OK", "first", "Content-Length: 5") + "hello"
	for _, text := range []string{
		hello, headWith("200 OK", "first", "Transfer-Encoding: chunked") + "5\r\nhello\r\n0\r\nX-Other: v\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + hello, headWith("200 OK", "zero", "Content-Length: 5") + "hello" + hello,
		strings.Replace(hello, "200", "000", 1), strings.Replace(hello, "Content", " Content", 1), strings.Replace(hello, "Length:", "Length :", 1),
		strings.ReplaceAll(hello, "\r\n", "\n"), headWith("503 Full", "first", hosted.HeaderNotRun+": full", "Content-Length: 0"),
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	request := &requestHead{method: http.MethodGet, header: http.Header{hosted.HeaderAttempt: {"first"}}}
	f.Fuzz(func(t *testing.T, arrives []byte, streaming bool) {
		for name, front := range map[string]frontend.FrontEnd{"hosted": hosted.FrontEnd{}, "native": frontend.Native{}} {
			conn := newBackendConn(recordedConn{arrives: bytes.NewReader(arrives)})
			in, err := conn.readResponse(context.Background(), request, front, streaming)
			if err != nil {
				continue
			}
			if in.response.Status < 200 || in.response.Status > 599 {
				t.Errorf("%s: delivered with status %d", name, in.response.Status)
			}
			checkFieldsArrived(t, in.response.Header, arrives)
			if in.rest != nil {
				_, _ = io.Copy(io.Discard, in.rest) // an error tells the caller that the response breaks off
			}
		}
	})
}

// checkFieldsArrived checks that each field is a line of what arrived.
func checkFieldsArrived(t *testing.T, header http.Header, arrived []byte) {
	t.Helper()
	lines := strings.Split(string(arrived), "\n")
	for name, values := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			t.Errorf("the name of field %q is no token", name)
		}
		for _, value := range values {
			found := name == "Cache-Control" // net/http adds it to Pragma
			for _, line := range lines {
				key, text, _ := strings.Cut(line, ":")
				found = found || strings.EqualFold(key, name) && strings.Trim(text, " \t\r") == strings.Trim(value, " \t\r")
			}
			if !found {
				t.Errorf("the field %q: %q is no line of what arrived", name, value)
			}
		}
	}
}
