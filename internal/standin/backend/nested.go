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

// propagated are the headers that a call on behalf of a request carries on; the time left is counted
// down.
var propagated = []string{protocol.HeaderDepth, protocol.HeaderRetriesLeft, protocol.HeaderCallID, "Traceparent"}

// nestedSuffix is added to the request id of a call on behalf of a request.
const nestedSuffix = ".nested"

// maxNestedBytes bounds the response to a nested call.
const maxNestedBytes = 8 << 20

// callNested calls another service through the node beside this server. The call is sent once.
func (s *Server) callNested(ctx context.Context, r *http.Request, id string) error {
	// A body without GetBody keeps Go's transport from sending the request again.
	body := io.NopCloser(strings.NewReader("nested"))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.options.Call, body)
	if err != nil {
		return err
	}
	for _, name := range propagated {
		if value := r.Header.Get(name); value != "" {
			request.Header.Set(name, value)
		}
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		request.Header.Set(protocol.HeaderTimeout, strconv.FormatInt(left, 10)+"m")
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

var timeoutUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// withDeadline returns the context of a request, which ends when its caller is gone or at the deadline
// that the Grpc-Timeout header gives.
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
