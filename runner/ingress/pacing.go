package ingress

import (
	"net"
	"net/http"

	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
)

// pacerFor returns the pacer of responses to a request. Responses to a caller on the same instance, such as the backend
// server beside the node, do not use the link and are not paced.
func (s *Server) pacerFor(r *http.Request) *link.Pacer {
	if s.Pacer == nil {
		return nil
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return s.Pacer
	}
	localHost, _, err := net.SplitHostPort(local.String())
	remoteHost, _, remoteErr := net.SplitHostPort(r.RemoteAddr)
	if err == nil && remoteErr == nil && localHost == remoteHost {
		return nil
	}
	return s.Pacer
}
