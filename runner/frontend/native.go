package frontend

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Headers that callers may send to the project's own front end.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerAttemptCount   = "X-Envoy-Attempt-Count"
	headerExpectedMs     = "X-Envoy-Expected-Rq-Timeout-Ms"
)

// Headers that a backend server gets with a call and must copy onto calls that it makes on its behalf.
const (
	HeaderTimeout     = "Grpc-Timeout"
	HeaderDepth       = "Rosemaryhatch-Depth"
	HeaderRetriesLeft = "Rosemaryhatch-Retries-Left"
	HeaderCallID      = "Rosemaryhatch-Call-Id"
	// HeaderOutcome says in a response whether the request ran. A backend server that sheds a call sets
	// it to "not_run" on a 503.
	HeaderOutcome = "Rosemaryhatch-Outcome"
)

const (
	maxKeyBytes = 256
	maxTimeout  = time.Hour
)

// Native is the project's own front end.
type Native struct{}

var _ FrontEnd = Native{}

// Arrival implements FrontEnd.
func (Native) Arrival(header http.Header, in *reducer.CallArrived) error {
	in.IdempotencyKey = header.Get(headerIdempotencyKey)
	in.FirstAttempt = header.Get(headerAttemptCount) == "1"
	in.RequestID = header.Get("X-Request-Id")
	if len(in.IdempotencyKey) > maxKeyBytes {
		in.IdempotencyKey = "" // no request with it was ever accepted
		return fmt.Errorf("%s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	var err error
	if in.Timeout, err = timeout(header); err != nil {
		return err
	}
	if in.Depth, err = number(header, HeaderDepth, 0); err != nil {
		return err
	}
	in.Parent, _ = reducer.ParseCallID(header.Get(HeaderCallID))
	in.RetriesLeft, err = number(header, HeaderRetriesLeft, -1)
	return err
}

// Entered implements FrontEnd.
func (Native) Entered(http.Header) {}

// Refusal implements FrontEnd.
func (Native) Refusal(header http.Header, refused reducer.FailCall) int {
	header.Set(HeaderOutcome, refused.Outcome.String())
	if refused.ID != (reducer.CallID{}) {
		header.Set(HeaderCallID, refused.ID.String())
	}
	if refused.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(refused.RetryAfter.Seconds()))))
	}
	return RefusalStatus(refused)
}

// Delivered implements FrontEnd.
func (Native) Delivered(header http.Header, id reducer.CallID) {
	header.Set(HeaderCallID, id.String())
	header.Set(HeaderOutcome, reducer.OutcomeDone.String())
}

// Request implements FrontEnd.
func (Native) Request(header http.Header, start reducer.StartBackendRequest) {
	header[HeaderTimeout] = []string{formatTimeout(start.TimeLeft)}
	header[HeaderDepth] = []string{strconv.Itoa(start.Limits.Depth)}
	header[HeaderRetriesLeft] = []string{strconv.Itoa(start.Limits.RetriesLeft)}
	header[HeaderCallID] = []string{start.ID.String()}
}

// Answers implements FrontEnd. The project's own backend servers do not name the request that they answer.
func (Native) Answers(_, _ http.Header, _ int) bool { return true }

// Result implements FrontEnd.
func (Native) Result(status int, response http.Header) reducer.BackendResult {
	if status == http.StatusServiceUnavailable && response.Get(HeaderOutcome) == reducer.OutcomeNotRun.String() {
		return reducer.BackendShed
	}
	return reducer.BackendAnswered
}

func number(header http.Header, name string, absent int) (int, error) {
	text := header.Get(name)
	if text == "" {
		return absent, nil
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 0 {
		return 0, fmt.Errorf("%s is %q, expected a whole number of 0 or more", name, text)
	}
	return value, nil
}

// timeout returns the time that the caller allows, 0 when it names none.
func timeout(header http.Header) (time.Duration, error) {
	if text := header.Get(HeaderTimeout); text != "" {
		return parseGrpcTimeout(text)
	}
	milliseconds, err := number(header, headerExpectedMs, 0)
	return min(time.Duration(milliseconds)*time.Millisecond, maxTimeout), err
}

var grpcUnits = map[byte]time.Duration{
	'H': time.Hour, 'M': time.Minute, 'S': time.Second,
	'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond,
}

// maxTimeoutDigits is the length that the gRPC protocol allows for the number.
const maxTimeoutDigits = 8

// parseGrpcTimeout reads a timeout as the gRPC protocol over HTTP/2 defines it: digits and a unit.
func parseGrpcTimeout(text string) (time.Duration, error) {
	bad := fmt.Errorf("%s is %q, expected up to 8 digits and one of H M S m u n", HeaderTimeout, text)
	if len(text) < 2 || len(text) > maxTimeoutDigits+1 {
		return 0, bad
	}
	unit, ok := grpcUnits[text[len(text)-1]]
	value, err := strconv.ParseUint(text[:len(text)-1], 10, 32)
	if !ok || err != nil || value == 0 {
		return 0, bad
	}
	if value > uint64(maxTimeout/unit) {
		return maxTimeout, nil
	}
	return time.Duration(value) * unit, nil
}

func formatTimeout(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 1), 10) + "m"
}
