// Package frontend translates between HTTP headers and the reducer's description of a call. A FrontEnd is used by the
// goroutines that serve callers and by those that send requests to the backend server. It makes no decisions and holds
// no state.
package frontend

import (
	"net/http"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// FrontEnd is a set of HTTP headers that callers and backend servers use. Implementations must be safe for concurrent
// use.
type FrontEnd interface {
	// ParseCall sets the fields of call that the headers of a caller's request determine. The error for an invalid
	// header names the header and the expected value.
	ParseCall(header http.Header, call *reducer.CallArrived) error
	// RewriteCallerHeaders changes the headers of a caller's request before the request is forwarded.
	RewriteCallerHeaders(header http.Header)
	// SetFailureHeaders sets the headers of the response to a call that failed and returns its HTTP status.
	SetFailureHeaders(header http.Header, failure reducer.FailCall) (status int)
	// SetResponseHeaders adds headers to a backend server's response before the response is sent to the caller.
	SetResponseHeaders(header http.Header, id reducer.CallID)
	// SetRequestHeaders sets the headers of a request to the backend server.
	SetRequestHeaders(header http.Header, start reducer.StartBackendRequest)
	// ResponseMatches reports whether a complete response belongs to the request. If not, it belongs to an earlier
	// request on the same connection.
	ResponseMatches(request, response http.Header, status int) bool
	// RequestID returns the identifier of a request from its headers or from those of the response to it, or "" if they have
	// none. A response that has none cannot be told from a late copy of one to an earlier request.
	RequestID(header http.Header) string
	// ClassifyResponse returns what the response to a request means for the call.
	ClassifyResponse(status int, response http.Header) reducer.BackendResult
}

// maxKeyBytes is the longest key of a caller. A longer one is in no configuration and is not hashed.
const maxKeyBytes = 256

// ParseKey returns the credential in the values of the header for keys. It is valid if there is exactly one key.
func ParseKey(values []string) reducer.Credential {
	if len(values) != 1 || values[0] == "" || len(values[0]) > maxKeyBytes {
		return reducer.Credential{}
	}
	return reducer.Credential{Valid: true, Key: tables.FingerprintOf(values[0])}
}

// FailureStatus returns the HTTP status of the response to a call that failed. The status is 503 only if the request
// has not run and will not run.
func FailureStatus(failure reducer.FailCall) int {
	if failure.Reason == reducer.ReasonUnknownKey {
		return http.StatusUnauthorized
	}
	if failure.Outcome == reducer.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	switch failure.Reason {
	case reducer.ReasonQuotaExceeded:
		return http.StatusTooManyRequests
	case reducer.ReasonNoRoute:
		return http.StatusNotFound
	case reducer.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case reducer.ReasonBodyIncomplete:
		return http.StatusBadRequest
	case reducer.ReasonTooDeep:
		return http.StatusLoopDetected
	default:
		return http.StatusServiceUnavailable
	}
}
