package operator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a response that is not valid HTTP and is shown to an operator as the status of a node.
func TestMalformedStatusIsAProblem(t *testing.T) {
	const body = `{"node":"n1","zone":"Larvik","ready":true,"members":[],"version":{"number":1,"hash":"h"}}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, c := range map[string]struct {
		text  string
		valid bool
	}{
		"valid":                     {whole, true},
		"status 000":                {strings.Replace(whole, "200", "000", 1), false},
		"blank in a field name":     {strings.Replace(whole, "Content", "X Odd: v\r\nContent", 1), false},
		"blank behind a field name": {strings.Replace(whole, "Length:", "Length :", 1), false},
		"blank in an interim name":  {"HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + whole, false},
		"head that stops":           {"HTTP/1.1 200 OK\r\nContent-Le", false},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, c.text)
			}
			conn.Close()
		}()
		answer := QueryStatus(context.Background(), listener.Addr().String())
		listener.Close()
		if (answer.Problem == "") != c.valid {
			t.Errorf("%s: problem %q, status of node %q", name, answer.Problem, answer.Status.Node)
		}
	}
}
