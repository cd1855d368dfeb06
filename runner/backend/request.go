package backend

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

type requestHead struct {
	method string
	header http.Header
	bytes  []byte
}

var errNoPath = errors.New("request URI has no path")

// isExcludedHeader reports whether a header of the caller is not copied, because encodeHead writes it itself or it
// applies only to the caller's connection.
func isExcludedHeader(name string) bool {
	switch name {
	case "Host", "Content-Length", "Transfer-Encoding", "Trailer", "Connection":
		return true
	}
	return false
}

// encodeHead encodes the request line and the headers. The URI is passed on unchanged.
func (c *Client) encodeHead(start reducer.StartBackendRequest, request *traffic.Request) (*requestHead, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	if target.Opaque != "" || !strings.HasPrefix(request.URI, "/") {
		return nil, errNoPath
	}
	header := make(http.Header, len(request.Header)+addedHeaders)
	for name, values := range request.Header {
		if !isExcludedHeader(name) {
			header[name] = values // shared with the request; values are never modified
		}
	}
	c.front.SetRequestHeaders(header, start)
	var out bytes.Buffer
	out.Grow(typicalHeadBytes)
	writeLine(&out, request.Method, " ", request.URI, " HTTP/1.1")
	writeLine(&out, "Host: ", request.Host)
	for name, values := range header {
		for _, value := range values {
			writeLine(&out, name, ": ", value)
		}
	}
	if len(request.Body) > 0 || !canOmitContentLength(request.Method) {
		writeLine(&out, "Content-Length: ", strconv.Itoa(len(request.Body)))
	}
	writeLine(&out)
	return &requestHead{method: request.Method, header: header, bytes: out.Bytes()}, nil
}

const (
	// addedHeaders is the number of headers that the front end adds to a request.
	addedHeaders = 4
	// typicalHeadBytes is the initial buffer size for the request line and the headers.
	typicalHeadBytes = 512
)

func writeLine(out *bytes.Buffer, parts ...string) {
	for _, part := range parts {
		out.WriteString(part)
	}
	out.WriteString("\r\n")
}

// canOmitContentLength reports whether a request with this method and without a body needs no Content-Length,
// because servers expect no body.
func canOmitContentLength(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}
