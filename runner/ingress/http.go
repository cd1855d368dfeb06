package ingress

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const maxURIBytes = 8 << 10

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
	"Expect", // answered by this node, which reads the whole body before it forwards a call
}

// arrival reads what the reducer needs from a request's headers. An error names the header and what
// was expected.
func (s *Server) arrival(handle reducer.Handle, r *http.Request) (reducer.CallArrived, error) {
	in := reducer.CallArrived{
		Call: handle, Host: hostname(r.Host), Method: r.Method, Path: r.URL.Path, BodyBytes: r.ContentLength, RetriesLeft: -1,
	}
	if asksForUpgrade(r.Header) {
		return in, fmt.Errorf("header Upgrade is %q, expected a plain HTTP/1.1 request", r.Header.Get("Upgrade"))
	}
	if len(r.URL.RequestURI()) > maxURIBytes {
		return in, fmt.Errorf("the URI is longer than %d bytes", maxURIBytes)
	}
	return in, s.Front.Arrival(r.Header, &in)
}

// hostname returns a Host header without port and without the brackets of an IPv6 address.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
}

// asksForUpgrade reports whether a request cannot be served as plain HTTP. An offer of HTTP/2 over
// cleartext, which some clients make with every first request, may be ignored.
func asksForUpgrade(header http.Header) bool {
	protocol := header.Get("Upgrade")
	return protocol != "" && !strings.EqualFold(protocol, "h2c")
}

// newRequest copies a request without the headers of its connection. The body is added when it is read.
func (s *Server) newRequest(r *http.Request) *traffic.Request {
	header := r.Header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	header.Del("Content-Length") // of the body that is passed on
	s.Front.Entered(header)
	return &traffic.Request{Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host, Header: header}
}

// refusal is the JSON body of a refusal.
type refusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	CallID  string `json:"call_id,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// reasonBadRequest is the reason of requests whose headers cannot be understood. They never become a call.
const reasonBadRequest = "bad_request"

func (s *Server) writeBadRequest(w http.ResponseWriter, outcome reducer.Outcome, problem error) {
	s.Front.Refusal(w.Header(), reducer.FailCall{Outcome: outcome})
	writeJSON(w, http.StatusBadRequest, refusal{
		Outcome: outcome.String(), Reason: reasonBadRequest, Detail: problem.Error(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller is gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) writeRefusal(w http.ResponseWriter, effect reducer.FailCall) {
	body := refusal{Outcome: effect.Outcome.String(), Reason: effect.Reason.String()}
	if effect.ID != (reducer.CallID{}) {
		body.CallID = effect.ID.String()
	}
	writeJSON(w, s.Front.Refusal(w.Header(), effect), body)
}

func (s *Server) writeResponse(w http.ResponseWriter, method string, id reducer.CallID, response *traffic.Response) {
	header := w.Header()
	if response == nil || response.Truncated {
		s.Front.Delivered(header, id)
		w.WriteHeader(http.StatusConflict)
		return
	}
	for name, values := range response.Header {
		if !isHopHeader(name) {
			header[name] = values
		}
	}
	s.Front.Delivered(header, id)
	switch {
	case response.Status == http.StatusNoContent:
		header.Del("Content-Length")
	case method == http.MethodHead, response.Status == http.StatusNotModified:
		// The length is that of the response to a GET, as the backend server gave it.
	default:
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	if len(response.Body) > 0 {
		// An error means that the caller is gone, which is no failure of the call.
		_, _ = w.Write(response.Body)
	}
}

func isHopHeader(name string) bool { return slices.Contains(hopHeaders, name) }
