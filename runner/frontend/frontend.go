// Package frontend translates between HTTP headers and the reducer's description of a call. A FrontEnd is used by the
// goroutines that serve callers and by those that send requests to the backend server. It makes no decisions and holds
// no state.
package frontend

import (
	"net/http"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// FrontEnd is a set of HTTP headers that callers and backend servers use. Implementations must be safe for concurrent
// use.
type FrontEnd interface {
	// ParseCall sets the fields of call that the headers of a caller's request determine. The error for an invalid
	// header names the header and the expected value.
	ParseCall(header http.Header, call *reducer.CallArrived) error
	// RewriteCallerHeaders changes the headers of a caller's request before the request is forwarded.
	RewriteCallerHeaders(header http.Header)
	// SetRefusalHeaders sets the headers of a refusal and returns its HTTP status.
	SetRefusalHeaders(header http.Header, refused reducer.FailCall) (status int)
	// SetResponseHeaders adds headers to a backend server's response before the response is sent to the caller.
	SetResponseHeaders(header http.Header, id reducer.CallID)
	// SetRequestHeaders sets the headers of a request to the backend server.
	SetRequestHeaders(header http.Header, start reducer.StartBackendRequest)
	// ResponseMatches reports whether a complete response belongs to the request. If not, it belongs to an earlier
	// request on the same connection.
	ResponseMatches(request, response http.Header, status int) bool
	// ClassifyResponse returns what the response to a request means for the call.
	ClassifyResponse(status int, response http.Header) reducer.BackendResult
}

// RefusalStatus returns the HTTP status of a refusal. The status is 503 only if the request has not run and will not.
func RefusalStatus(refused reducer.FailCall) int {
	if refused.Outcome == reducer.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	switch refused.Reason {
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
