package peer

import "github.com/rosemaryhatch/rosemaryhatch/runner/traffic"

// Upper bounds of what gob adds. A message is measured before it is encoded, because an encoder that has
// written type information into a frame that is not sent is of no use afterwards.
const (
	// maxFixedBytes covers the type information of a message, the RPC header and all fields of fixed size.
	maxFixedBytes = 4 << 10
	// maxIntegerBytes is the longest encoding of a length, an integer or a field number.
	maxIntegerBytes = 10
)

func maxStringBytes(texts ...string) int {
	n := 0
	for _, text := range texts {
		n += len(text) + maxIntegerBytes
	}
	return n
}

func maxHeaderBytes(header map[string][]string) int {
	n := 0
	for name, values := range header {
		n += maxStringBytes(name) + maxIntegerBytes + maxStringBytes(values...)
	}
	return n
}

// maxEncodedBytes returns an upper bound of the encoded size.
func (a *ForwardArgs) maxEncodedBytes() int {
	return maxFixedBytes + maxStringBytes(a.ID.Origin, a.Route, a.Pool, a.Key, a.Method, a.URI, a.Host) +
		maxHeaderBytes(a.Header) + len(a.Body)
}

// maxEncodedBytes returns an upper bound of the encoded size.
func (a *Answer) maxEncodedBytes() int { return maxFixedBytes + maxHeaderBytes(a.Header) + len(a.Body) }

// truncateTo reduces an answer whose response is too large for its connection to one that says that the
// request executed.
func (a *Answer) truncateTo(maxFrame int) {
	if a.maxEncodedBytes() > maxFrame {
		a.Header, a.Body, a.Truncated = nil, nil, true
	}
}

// classFor returns the class of the connection that carries a request.
func classFor(args *ForwardArgs, request *traffic.Request) Class {
	if len(request.Body) > maxCallBodyBytes || args.maxEncodedBytes() > ClassCall.maxRequestBytes() {
		return ClassBulk
	}
	return ClassCall
}
