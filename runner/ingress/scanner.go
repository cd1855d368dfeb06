package ingress

import (
	"bufio"
	"bytes"
	"net/http"
)

// maxScannedHeadBytes is the longest head of a request that the scanner follows. net/http refuses longer ones.
const maxScannedHeadBytes = maxHeaderBytes + 4<<10

// requestScanner finds the heads of requests in the bytes that a caller sends on one connection. net/http parses the same
// bytes and alone decides what they mean: the scanner only shows early which requests follow the one being served. It
// stops for good at anything that it does not follow exactly, such as a chunked body.
type requestScanner struct {
	head      []byte // the part of the next head that has arrived
	bodyBytes int64  // bytes of the current request's body that have not arrived
	heads     int    // heads that have arrived completely
	stopped   bool
}

// scannedRequest is a request whose head has arrived.
type scannedRequest struct {
	number  int           // position on the connection, from 0
	request *http.Request // nil if the request has a body or the head was not parsed
}

// scan takes the next bytes of the connection. It returns the requests without a body whose heads end in them and whose
// number is at least parseFrom; the others are only counted.
func (s *requestScanner) scan(p []byte, parseFrom int) []scannedRequest {
	var found []scannedRequest
	for len(p) > 0 && !s.stopped {
		if s.bodyBytes > 0 {
			n := min(int64(len(p)), s.bodyBytes)
			s.bodyBytes -= n
			p = p[n:]
			continue
		}
		head, rest, complete := s.nextHead(p)
		p = rest
		if !complete {
			break
		}
		if scanned, ok := s.endOfHead(head, parseFrom); ok {
			found = append(found, scanned)
		}
	}
	return found
}

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// nextHead returns the next complete head and the bytes that follow it, or keeps the bytes of an incomplete one.
func (s *requestScanner) nextHead(p []byte) (head, rest []byte, complete bool) {
	if len(s.head) == 0 {
		if end := bytes.Index(p, headEnd); end >= 0 {
			end += len(headEnd)
			return p[:end], p[end:], true
		}
		s.keep(p)
		return nil, nil, false
	}
	searchFrom := max(len(s.head)-len(headEnd)+1, 0) // the end may have arrived in parts
	kept := len(s.head)
	if s.keep(p); s.stopped {
		return nil, nil, false
	}
	end := bytes.Index(s.head[searchFrom:], headEnd)
	if end < 0 {
		return nil, nil, false
	}
	end += searchFrom + len(headEnd)
	head = s.head[:end]
	s.head = nil
	return head, p[end-kept:], true
}

// keep adds bytes to the incomplete head.
func (s *requestScanner) keep(p []byte) {
	if len(s.head)+len(p) > maxScannedHeadBytes {
		s.stop()
		return
	}
	s.head = append(s.head, p...)
}

func (s *requestScanner) stop() { s.stopped, s.head = true, nil }

// endOfHead counts a complete head. The result is false unless the request is numbered parseFrom or later and has no body.
func (s *requestScanner) endOfHead(head []byte, parseFrom int) (scannedRequest, bool) {
	framing := inspectHead(head)
	if framing == framingUnclear {
		s.stop()
		return scannedRequest{}, false
	}
	number := s.heads
	if framing == framingNoBody && number < parseFrom {
		s.heads++
		return scannedRequest{}, false
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	if err != nil || request.ContentLength < 0 || !isUsualRequest(request) {
		s.stop()
		return scannedRequest{}, false
	}
	s.heads++
	s.bodyBytes = request.ContentLength
	return scannedRequest{number: number, request: request}, request.ContentLength == 0 && number >= parseFrom
}

// isUsualRequest reports whether net/http passes a request to its handler. It answers some requests itself.
func isUsualRequest(r *http.Request) bool {
	return r.ProtoMajor == 1 && r.ProtoMinor == 1 && r.Host != "" && r.Method != http.MethodOptions && r.Method != http.MethodConnect &&
		r.Header.Get("Expect") == "" && r.Header.Get("Upgrade") == "" && !r.Close
}

// framing says whether a body follows a head.
type framing uint8

const (
	framingNoBody  framing = iota + 1
	framingBody            // a Content-Length names a body, or none
	framingUnclear         // the scanner cannot tell where the request ends as net/http does
)

// inspectHead looks at the lines of a head without parsing it. A line that does not end with CR and LF, a line that
// continues another one and a Transfer-Encoding are unclear.
func inspectHead(head []byte) framing {
	result := framingNoBody
	lines := head[:len(head)-len("\r\n")]
	for first := true; len(lines) > 0; first = false {
		end := bytes.IndexByte(lines, '\n')
		if end < 2 || lines[end-1] != '\r' || lines[0] == ' ' || lines[0] == '\t' {
			return framingUnclear
		}
		line := lines[:end-1]
		lines = lines[end+1:]
		switch {
		case first:
		case hasName(line, "Transfer-Encoding"):
			return framingUnclear
		case hasName(line, "Content-Length"):
			result = framingBody
		}
	}
	return result
}

// hasName reports whether a header line begins with a name, in upper or lower case.
func hasName(line []byte, name string) bool {
	return len(line) >= len(name) && bytes.EqualFold(line[:len(name)], []byte(name))
}
