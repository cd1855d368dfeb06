// Package frontend translates between the headers of HTTP messages and calls. A FrontEnd serves the
// goroutines of callers' requests and of requests to the backend server; it takes no decision and keeps no
// state.
package frontend

import (
	"net/http"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// FrontEnd is one set of headers that callers and backend servers speak. Implementations may be used by
// several goroutines.
type FrontEnd interface {
	// Arrival reads what a caller's headers say about its call. The error names the header and what was
	// expected.
	Arrival(header http.Header, in *reducer.CallArrived) error
	// Entered changes the headers of a request that entered at this node, before it is passed on.
	Entered(header http.Header)
	// Refusal sets the headers of a refusal and returns its status.
	Refusal(header http.Header, refused reducer.FailCall) (status int)
	// Delivered sets the headers of a backend server's response to a caller.
	Delivered(header http.Header, id reducer.CallID)
	// Request sets the headers of a request to the backend server.
	Request(header http.Header, start reducer.StartBackendRequest)
	// Answers reports whether a whole response is the answer to a request. Another one belongs to an earlier
	// request on the connection.
	Answers(request, response http.Header, status int) bool
	// Result says what the answer to a request means for the call.
	Result(status int, response http.Header) reducer.BackendResult
}

// RefusalStatus returns the HTTP status of a refusal: 503 only where the request has not run and will not.
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
