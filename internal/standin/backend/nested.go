package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	protocol "github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

// propagatedHeaders are copied from a request to its nested call. The timeout header is not copied: it is set
// to the time left until the deadline.
var propagatedHeaders = []string{protocol.HeaderDepth, protocol.HeaderRetriesLeft, protocol.HeaderCallID, "Traceparent"}

// nestedSuffix is appended to a request's id to form the id of its nested call.
const nestedSuffix = ".nested"

// maxNestedBytes bounds how much of the response to a nested call is read.
const maxNestedBytes = 8 << 20

// callNested calls another service through the node beside this server, without retries. It returns an error
// if the call fails or its status is not 200.
func (s *Server) callNested(ctx context.Context, r *http.Request, id string) error {
	// http.Transport does not retry a request whose body has no GetBody.
	body := io.NopCloser(strings.NewReader("nested"))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.options.NestedCallURL, body)
	if err != nil {
		return err
	}
	for _, name := range propagatedHeaders {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(protocol.HeaderTimeout, strconv.FormatInt(remaining, 10)+"m")
	}
	request.Header.Set(HeaderRequestID, id+nestedSuffix)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxNestedBytes)); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("nested call was answered with status %d, outcome %q", response.StatusCode, response.Header.Get(protocol.HeaderOutcome))
	}
	return nil
}

// timeoutUnits maps the unit suffixes of the Grpc-Timeout header to durations.
var timeoutUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// withDeadline returns the context of a request, which ends when the caller disconnects or when the timeout
// in the Grpc-Timeout header has passed. A missing or malformed header sets no deadline.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	text := r.Header.Get(protocol.HeaderTimeout)
	if len(text) >= 2 {
		unit := timeoutUnits[text[len(text)-1]]
		value, err := strconv.ParseUint(text[:len(text)-1], 10, 32)
		if err == nil && unit > 0 {
			return context.WithTimeout(r.Context(), time.Duration(value)*unit)
		}
	}
	return context.WithCancel(r.Context())
}
