package peer

import "github.com/rosemaryhatch/rosemaryhatch/runner/traffic"

// Upper bounds of what gob adds. The size of a message is checked before it is encoded, because an encoder that has
// written type information into a frame that is not sent cannot be used any more.
const (
	// maxFixedBytes covers the type information of a message, the RPC header and all fields of fixed size.
	maxFixedBytes = 4 << 10
	// maxIntegerBytes is the longest encoding of a length, an integer or a field number.
	maxIntegerBytes = 10
)

// maxStringBytes returns an upper bound of the encoded size of strings in bytes.
func maxStringBytes(texts ...string) int {
	n := 0
	for _, text := range texts {
		n += len(text) + maxIntegerBytes
	}
	return n
}

// maxHTTPHeaderBytes returns an upper bound of the encoded size of an HTTP header in bytes.
func maxHTTPHeaderBytes(header map[string][]string) int {
	n := 0
	for name, values := range header {
		n += maxStringBytes(name) + maxIntegerBytes + maxStringBytes(values...)
	}
	return n
}

// maxSize returns an upper bound of the encoded size in bytes.
func (a *ForwardArgs) maxSize() int {
	return maxFixedBytes + maxStringBytes(a.ID.Origin, a.Route, a.Pool, a.Key, a.Method, a.URI, a.Host) +
		maxHTTPHeaderBytes(a.Header) + len(a.Body)
}

// maxSize returns an upper bound of the encoded size in bytes.
func (a *Answer) maxSize() int { return maxFixedBytes + maxHTTPHeaderBytes(a.Header) + len(a.Body) }

// truncateTo drops the header and the body of the response when the answer does not fit into a frame of maxFrame bytes.
// The answer still says that the request was executed.
func (a *Answer) truncateTo(maxFrame int) {
	if a.maxSize() > maxFrame {
		a.Header, a.Body, a.Truncated = nil, nil, true
	}
}

// classFor returns the class of the connection that carries a request.
func (c *Client) classFor(args *ForwardArgs, request *traffic.Request) Class {
	if c.isLarge(request) || len(request.Body) > maxCallBodyBytes || args.maxSize() > ClassCall.maxRequestBytes() {
		return ClassBulk
	}
	return ClassCall
}
