package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

const maxURIBytes = 8 << 10

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings",
	"Expect", // handled by this node, which reads the whole body before it forwards a call
}

// parseCall returns the event for a new request. The error for an invalid request names the header and the
// expected value.
func (s *Server) parseCall(handle reducer.Handle, r *http.Request) (reducer.CallArrived, error) {
	call := reducer.CallArrived{
		Call: handle, Host: hostname(r.Host), Method: r.Method, Path: r.URL.Path, BodyBytes: r.ContentLength, RetriesLeft: -1,
	}
	if requestsUpgrade(r.Header) {
		return call, fmt.Errorf("header Upgrade is %q, expected a plain HTTP/1.1 request", r.Header.Get("Upgrade"))
	}
	if len(r.URL.RequestURI()) > maxURIBytes {
		return call, fmt.Errorf("the URI is longer than %d bytes", maxURIBytes)
	}
	return call, s.Front.ParseCall(r.Header, &call)
}

// hostname returns a Host header without its port and without the brackets of an IPv6 address.
func hostname(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return strings.TrimSuffix(strings.TrimPrefix(host, "["), "]")
}

// requestsUpgrade reports whether a request needs another protocol than HTTP/1.1. An offer of HTTP/2 over cleartext
// (h2c) does not count: some clients send it with every first request, and a server may ignore it.
func requestsUpgrade(header http.Header) bool {
	protocol := header.Get("Upgrade")
	return protocol != "" && !strings.EqualFold(protocol, "h2c")
}

// newRequest returns a copy of a request without its hop-by-hop headers. The body is added once it has been read.
func (s *Server) newRequest(r *http.Request) *traffic.Request {
	header := r.Header.Clone()
	for _, listed := range header.Values("Connection") {
		for _, name := range strings.Split(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	header.Del("Content-Length") // set again when the request is sent
	s.Front.RewriteCallerHeaders(header)
	return &traffic.Request{Method: r.Method, URI: r.URL.RequestURI(), Host: r.Host, Header: header}
}

// failureBody is the JSON body of the response to a call that failed.
type failureBody struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	CallID  string `json:"call_id,omitempty"`
	Detail  string `json:"detail,omitempty"`
}

// reasonBadRequest is the reason for refusing a request that is invalid. The reducer does not see such a request.
const reasonBadRequest = "bad_request"

// writeAnswer writes the response to a request and releases the answer.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, a answer) {
	if a.release != nil {
		defer a.release()
	}
	switch {
	case a.badRequest != nil:
		s.writeBadRequest(w, a.failure.Outcome, a.badRequest)
	case a.delivered:
		s.writeResponse(w, r, a.id, a.response)
	default:
		s.writeFailure(w, a.failure)
	}
}

// reasonBrokenOff is the reason for closing a connection in the middle of a response.
const reasonBrokenOff = "response_broke_off"

func (s *Server) writeBadRequest(w http.ResponseWriter, outcome reducer.Outcome, err error) {
	s.Front.SetFailureHeaders(w.Header(), reducer.FailCall{Outcome: outcome})
	writeJSON(w, http.StatusBadRequest, failureBody{
		Outcome: outcome.String(), Reason: reasonBadRequest, Detail: err.Error(),
	})
}

func writeJSON(w http.ResponseWriter, status int, body failureBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has disconnected; there is nothing left to report it to.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) writeFailure(w http.ResponseWriter, failure reducer.FailCall) {
	body := failureBody{Outcome: failure.Outcome.String(), Reason: failure.Reason.String()}
	if failure.ID != (reducer.CallID{}) {
		body.CallID = failure.ID.String()
	}
	writeJSON(w, s.Front.SetFailureHeaders(w.Header(), failure), body)
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, id reducer.CallID, response *traffic.Response) {
	header := w.Header()
	if response == nil || response.Truncated {
		s.Front.SetResponseHeaders(header, id)
		w.WriteHeader(http.StatusConflict)
		return
	}
	for name, values := range response.Header {
		if !isHopByHop(name) {
			header[name] = values
		}
	}
	s.Front.SetResponseHeaders(header, id)
	switch {
	case response.Status == http.StatusNoContent:
		header.Del("Content-Length")
	case r.Method == http.MethodHead, response.Status == http.StatusNotModified:
		// Content-Length stays as the backend server set it: the length of the response to a GET.
	case response.Rest == nil:
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	case response.Length >= 0:
		header.Set("Content-Length", strconv.FormatInt(response.Length, 10))
	default:
		header.Del("Content-Length") // the response is chunked
	}
	w.WriteHeader(response.Status)
	if len(response.Body) > 0 {
		// An error means that the caller has disconnected, which is not a failure of the call.
		_ = s.pacerFor(r).Write(r.Context(), w, response.Body)
	}
	if response.Rest != nil {
		s.writeRest(w, r, response.Rest)
	}
}

// writeRest passes on the rest of a body. If the body breaks off, the connection ends before the response looks complete: its
// length, or the end of its last chunk, is missing, or the connection is reset.
func (s *Server) writeRest(w http.ResponseWriter, r *http.Request, rest traffic.BodyStream) {
	defer rest.Close()
	for {
		part, err := rest.Next(r.Context())
		if err == nil {
			err = s.pacerFor(r).Write(r.Context(), w, part)
		}
		switch {
		case err == io.EOF:
			return
		case r.Context().Err() != nil:
			panic(http.ErrAbortHandler) // the caller has disconnected
		case err != nil:
			s.OnRefused(reasonBrokenOff)
			breakOff(r)
		}
	}
}

// breakOff ends the connection of a response that broke off, and does not return. To a caller that takes no chunks, an orderly
// close would be the end of the body: its connection is reset.
func breakOff(r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok && !r.ProtoAtLeast(1, 1) {
		if socket, ok := conn.Conn.(*net.TCPConn); ok {
			_ = socket.SetLinger(0) // fails only if the connection has ended
		}
	}
	panic(http.ErrAbortHandler)
}

func isHopByHop(name string) bool { return slices.Contains(hopByHopHeaders, name) }
