package httpresponse

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// NewTransport returns a transport whose responses are checked: their heads with CheckHead, those of interim ones too, and
// their trailers with CheckTrailer. A request whose response is malformed ends with an error that wraps ErrMalformed.
//
// A line that begins with a blank is more of the value of the field before it, as RFC 9112, section 5.2, asks of a client.
func NewTransport(base http.RoundTripper) http.RoundTripper { return checkingTransport{base} }

type checkingTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t checkingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error { return CheckFields(fields) }}
	in, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(in); err != nil {
		in.Body.Close()
		return nil, err
	}
	CheckTrailer(in)
	return in, nil
}
