// Package httpresponse checks the HTTP/1.x responses that the system receives. net/http accepts some that are not valid
// messages, such as one with a status code of 000 or with a blank in a field name.
package httpresponse

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by the errors for bytes that are not a valid response. Their sender may have run the request, and
// nothing that they say can be relied on.
var ErrMalformed = errors.New("malformed HTTP response")

// maxProblemBytes bounds the text of an error of net/http, which may quote what has arrived.
const maxProblemBytes = 200

// ParseError returns the error for a response that net/http cannot read: one that wraps ErrMalformed, unless the connection
// ended or failed, or the request was cancelled.
func ParseError(err error) error {
	var network net.Error
	switch {
	case errors.As(err, &network), errors.Is(err, net.ErrClosed), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, context.Canceled):
		return err
	}
	return fmt.Errorf("%w: %.*s", ErrMalformed, maxProblemBytes, err.Error())
}

// Status codes of HTTP (RFC 9110, section 15).
const (
	minStatus      = 100
	minFinalStatus = 200 // lower ones are those of interim responses
	maxStatus      = 599
)

// CheckHead returns an error unless a head that net/http has read is that of an HTTP/1.x response, interim or final.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %.16q, expected HTTP/1.1 or HTTP/1.0", ErrMalformed, r.Proto)
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("%w: status code %.3q, expected %d to %d", ErrMalformed, r.Status, minStatus, maxStatus)
	}
	return CheckFields(r.Header)
}

// CheckFinal returns an error unless a final response may have the status code and the header fields.
func CheckFinal(status int, header map[string][]string) error {
	if status < minFinalStatus || status > maxStatus {
		return fmt.Errorf("%w: status code %d, expected %d to %d", ErrMalformed, status, minFinalStatus, maxStatus)
	}
	return CheckFields(header)
}

// CheckFields returns an error unless the names of all header or trailer fields are tokens (RFC 9110, section 5.1).
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.64q, expected a token", ErrMalformed, name)
		}
	}
	return nil
}
