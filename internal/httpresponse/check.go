// Package httpresponse checks the HTTP/1.x responses that the system receives. net/http accepts some that are not valid
// messages, such as one with a blank in a field name.
package httpresponse

import (
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is wrapped by the errors for bytes that are not a valid response. Their sender may have run the request, and
// nothing that they say can be relied on.
var ErrMalformed = errors.New("malformed HTTP response")

// CheckFields returns an error unless the names of all header or trailer fields are tokens (RFC 9110, section 5.1).
func CheckFields(fields map[string][]string) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %.64q, expected a token", ErrMalformed, name)
		}
	}
	return nil
}
