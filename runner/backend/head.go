package backend

import (
	"bufio"
	"fmt"
	"io"
	"net/http"

	"github.com/rosemaryhatch/rosemaryhatch/internal/httpresponse"
)

// readHead reads the head of the next response on the connection, interim or final. The error wraps httpresponse.ErrMalformed
// if the bytes that arrived are no such head; where the response ends is not known then.
func (c *backendConn) readHead(method string) (*http.Response, error) {
	c.limit.N = maxHeaderBytes
	c.lines.start(c.reader)
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.end.set(c.Conn); err != nil {
		return nil, err
	}
	in, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, httpresponse.ParseError(err)
	}
	if c.lines.folded {
		return nil, errFoldedLine
	}
	httpresponse.CheckTrailer(in)
	return in, httpresponse.CheckHead(in)
}

// errFoldedLine is returned for a head with a line that begins with a blank. net/http takes it for more of the line before,
// so that a field whose name begins with a blank changes the value of another one.
var errFoldedLine = fmt.Errorf("%w: a line begins with a blank", httpresponse.ErrMalformed)

// headLines passes reads on to a connection and looks for lines of a head that begin with a blank. It sees the bytes before the
// parser, which joins such lines with the ones before them.
type headLines struct {
	from      io.Reader
	inHead    bool
	lineBytes int // of the current line, without CR
	folded    bool
}

// Read implements io.Reader.
func (l *headLines) Read(p []byte) (int, error) {
	n, err := l.from.Read(p)
	l.scan(p[:n])
	return n, err
}

// start begins a head with the bytes that a reader of l has buffered.
func (l *headLines) start(reader *bufio.Reader) {
	*l = headLines{from: l.from, inHead: true}
	buffered, _ := reader.Peek(reader.Buffered()) // cannot fail
	l.scan(buffered)
}

// scan takes the next bytes of the connection, up to the empty line that ends the head.
func (l *headLines) scan(p []byte) {
	for i := 0; i < len(p) && l.inHead; i++ {
		switch p[i] {
		case '\n':
			l.inHead = l.lineBytes > 0
			l.lineBytes = 0
			continue
		case '\r':
			continue
		case ' ', '\t':
			l.folded = l.folded || l.lineBytes == 0
		}
		l.lineBytes++
	}
}
