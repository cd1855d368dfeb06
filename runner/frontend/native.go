package frontend

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Headers that callers may send, besides those below.
const (
	headerIdempotencyKey    = "Idempotency-Key"
	headerAttemptCount      = "X-Envoy-Attempt-Count"
	headerExpectedTimeoutMs = "X-Envoy-Expected-Rq-Timeout-Ms"
	HeaderKey               = "Rosemaryhatch-Key" // the caller's key; never forwarded
)

// Headers that a backend server receives with a call and must copy to the calls that it makes on behalf of that call.
const (
	HeaderTimeout     = "Grpc-Timeout"
	HeaderDepth       = "Rosemaryhatch-Depth"
	HeaderRetriesLeft = "Rosemaryhatch-Retries-Left"
	HeaderCallID      = "Rosemaryhatch-Call-Id"
	// HeaderOutcome is set in responses and says whether the request ran. A backend server that sheds a call sets it
	// to "not_run" in a 503.
	HeaderOutcome = "Rosemaryhatch-Outcome"
	// HeaderWorkspace names the workspace that holds the caller's key. Only nodes set it.
	HeaderWorkspace = "Rosemaryhatch-Workspace"
)

const (
	maxIdempotencyKeyBytes = 256
	maxTimeout             = time.Hour
)

// Native is the FrontEnd for Rosemaryhatch's own headers.
type Native struct{}

var _ FrontEnd = Native{}

// ParseCall implements FrontEnd.
func (Native) ParseCall(header http.Header, call *reducer.CallArrived) error {
	call.IdempotencyKey = header.Get(headerIdempotencyKey)
	call.FirstAttempt = header.Get(headerAttemptCount) == "1"
	call.RequestID = header.Get("X-Request-Id")
	call.Credential = ParseKey(header.Values(HeaderKey))
	if len(call.IdempotencyKey) > maxIdempotencyKeyBytes {
		call.IdempotencyKey = "" // makes the outcome not_run: no request with such a key was ever accepted
		return fmt.Errorf("%s is longer than %d bytes", headerIdempotencyKey, maxIdempotencyKeyBytes)
	}
	var err error
	if call.Timeout, err = parseTimeout(header); err != nil {
		return err
	}
	if call.Depth, err = parseCount(header, HeaderDepth, 0); err != nil {
		return err
	}
	call.Parent, _ = reducer.ParseCallID(header.Get(HeaderCallID))
	call.RetriesLeft, err = parseCount(header, HeaderRetriesLeft, -1)
	return err
}

// RewriteCallerHeaders implements FrontEnd.
func (Native) RewriteCallerHeaders(header http.Header) {
	header.Del(HeaderKey)
	header.Del(HeaderWorkspace)
}

// SetFailureHeaders implements FrontEnd.
func (Native) SetFailureHeaders(header http.Header, failure reducer.FailCall) int {
	header.Set(HeaderOutcome, failure.Outcome.String())
	if failure.ID != (reducer.CallID{}) {
		header.Set(HeaderCallID, failure.ID.String())
	}
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	return FailureStatus(failure)
}

// SetResponseHeaders implements FrontEnd.
func (Native) SetResponseHeaders(header http.Header, id reducer.CallID) {
	header.Set(HeaderCallID, id.String())
	header.Set(HeaderOutcome, reducer.OutcomeDone.String())
}

// SetRequestHeaders implements FrontEnd.
func (Native) SetRequestHeaders(header http.Header, start reducer.StartBackendRequest) {
	header[HeaderTimeout] = []string{formatGrpcTimeout(start.TimeLeft)}
	header[HeaderDepth] = []string{strconv.Itoa(start.Limits.Depth)}
	header[HeaderRetriesLeft] = []string{strconv.Itoa(start.Limits.RetriesLeft)}
	header[HeaderCallID] = []string{start.ID.String()}
	if start.Workspace != "" {
		header[HeaderWorkspace] = []string{start.Workspace}
	}
}

// ResponseMatches implements FrontEnd. A backend server that copies HeaderCallID into its response protects callers from a
// late copy of a response to another request. A response without it is accepted.
func (n Native) ResponseMatches(request, response http.Header, _ int) bool {
	id := n.RequestID(response)
	return id == "" || id == n.RequestID(request)
}

// RequestID implements FrontEnd.
func (Native) RequestID(header http.Header) string { return header.Get(HeaderCallID) }

// ClassifyResponse implements FrontEnd.
func (Native) ClassifyResponse(status int, response http.Header) reducer.BackendResult {
	if status == http.StatusServiceUnavailable && response.Get(HeaderOutcome) == reducer.OutcomeNotRun.String() {
		return reducer.BackendShed
	}
	return reducer.BackendAnswered
}

// parseCount returns the value of a header that is a whole number of 0 or more, or defaultValue if it is not set.
func parseCount(header http.Header, name string, defaultValue int) (int, error) {
	text := header.Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		return 0, fmt.Errorf("%s is %q, expected a whole number of 0 or more", name, text)
	}
	return value, nil
}

// parseTimeout returns the timeout that the caller sets, or 0 if it sets none.
func parseTimeout(header http.Header) (time.Duration, error) {
	if text := header.Get(HeaderTimeout); text != "" {
		return parseGrpcTimeout(text)
	}
	milliseconds, err := parseCount(header, headerExpectedTimeoutMs, 0)
	return min(time.Duration(milliseconds)*time.Millisecond, maxTimeout), err
}

var grpcTimeoutUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// maxTimeoutDigits is the maximum number of digits that the gRPC protocol allows in a timeout.
const maxTimeoutDigits = 8

// parseGrpcTimeout parses a timeout in the format of the gRPC protocol over HTTP/2: digits and a unit. A timeout above
// maxTimeout is reduced to it.
func parseGrpcTimeout(text string) (time.Duration, error) {
	errFormat := fmt.Errorf("%s is %q, expected up to 8 digits and one of H M S m u n", HeaderTimeout, text)
	if len(text) < 2 || len(text) > maxTimeoutDigits+1 {
		return 0, errFormat
	}
	unit, ok := grpcTimeoutUnits[text[len(text)-1]]
	value, err := strconv.ParseUint(text[:len(text)-1], 10, 32)
	if !ok || err != nil || value == 0 {
		return 0, errFormat
	}
	if value > uint64(maxTimeout/unit) {
		return maxTimeout, nil
	}
	return time.Duration(value) * unit, nil
}

func formatGrpcTimeout(timeLeft time.Duration) string {
	return strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10) + "m"
}
