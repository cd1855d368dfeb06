package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Paths of the stand-in's own endpoints, which are not part of the store's protocol.
const (
	FaultPath   = "/v1/fault"
	CallsPath   = "/v1/calls"
	ChangesPath = "/v1/changes" // ?prefix=P lists the changes of the keys with a prefix
)

// FaultKind is a kind of fault that can be injected into the stand-in.
type FaultKind string

// The kinds of faults.
const (
	FaultNone        FaultKind = "none"         // ends all faults
	FaultDown        FaultKind = "down"         // closes the connection; a call has neither a response nor an effect
	FaultSilent      FaultKind = "silent"       // holds each call without an effect until the client gives up
	FaultBusy        FaultKind = "busy"         // responds with 503; a call has no effect
	FaultSlow        FaultKind = "slow"         // delays each call by DelayMs before it takes effect
	FaultAnswerLost  FaultKind = "answer_lost"  // closes the connection after a write or a lease grant has taken effect
	FaultLateWrite   FaultKind = "late_write"   // closes the connection; the write takes effect DelayMs later
	FaultLeaseLapsed FaultKind = "lease_lapsed" // ends all leases immediately
	FaultStaleRead   FaultKind = "stale_read"   // responds to serializable ranges with the items before the last write of each key
	FaultRateLimit   FaultKind = "rate_limit"   // responds with 429 to calls that exceed Limit per second
	FaultSilentWatch FaultKind = "silent_watch" // holds each watch without a response until the client gives up
	FaultCutWatch    FaultKind = "cut_watch"    // closes the connections of all waiting watches immediately
	FaultCopy        FaultKind = "copy"         // makes a copy of the store; nothing else happens
	FaultRestore     FaultKind = "restore"      // puts the last copy in place of the store, cuts watches and begins a new era
	FaultHistory     FaultKind = "history"      // drops all past events immediately; a watch from an earlier revision gets 410
)

// Fault is a request to begin or end a fault.
type Fault struct {
	Kind    FaultKind `json:"kind"`
	DelayMs int64     `json:"delay_ms"` // for slow and late_write
	Limit   int       `json:"limit"`    // for rate_limit
	Count   int       `json:"count"`    // number of calls that it applies to; 0 means until it is ended
	From    string    `json:"from"`     // IP address of the only client that busy, silent and down apply to; empty for all
	Off     bool      `json:"off"`      // ends the fault
}

// faultState holds the active faults and the state that they need.
type faultState struct {
	active        map[FaultKind]Fault
	currentSecond int64 // Unix time in seconds that callsInSecond refers to
	callsInSecond int
	cutWatches    chan struct{} // closed to disconnect all waiting watches
}

// Inject begins or ends a fault. It returns an error if the kind is unknown.
func (s *Server) Inject(fault Fault) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch fault.Kind {
	case FaultNone:
		clear(s.faults.active)
	case FaultLeaseLapsed:
		for id := range s.leases {
			s.endLease(id)
		}
	case FaultCutWatch:
		s.cutWatches()
	case FaultCopy:
		s.copied = s.copyContents()
	case FaultRestore:
		return s.restore()
	case FaultHistory:
		s.events, s.compactedRevision = nil, s.revision
	case FaultDown, FaultSilent, FaultBusy, FaultSlow, FaultAnswerLost, FaultLateWrite, FaultStaleRead, FaultRateLimit, FaultSilentWatch:
		if fault.Off {
			delete(s.faults.active, fault.Kind)
		} else {
			s.faults.active[fault.Kind] = fault
		}
	default:
		return fmt.Errorf("fault kind %q is not known", fault.Kind)
	}
	return nil
}

// consumeFault reports whether a fault applies to the current call and, if its count is limited, reduces the
// count by one. The caller holds the lock.
func (s *Server) consumeFault(kind FaultKind) (Fault, bool) {
	fault, ok := s.faults.active[kind]
	if !ok {
		return Fault{}, false
	}
	if fault.Count == 1 {
		delete(s.faults.active, kind)
	} else if fault.Count > 1 {
		fault.Count--
		s.faults.active[kind] = fault
	}
	return fault, true
}

// consumeFaultFrom is like consumeFault, but respects Fault.From. The caller holds the lock.
func (s *Server) consumeFaultFrom(kind FaultKind, r *http.Request) bool {
	if from := s.faults.active[kind].From; from != "" {
		if host, _, _ := net.SplitHostPort(r.RemoteAddr); host != from {
			return false
		}
	}
	_, ok := s.consumeFault(kind)
	return ok
}

// applyFaults applies the faults that act before a call is handled. It returns false if the call must not be
// handled, and panics with http.ErrAbortHandler to close the connection.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	down, silent, busy := s.consumeFaultFrom(FaultDown, r), s.consumeFaultFrom(FaultSilent, r), s.consumeFaultFrom(FaultBusy, r)
	slow, _ := s.consumeFault(FaultSlow)
	limited := s.exceedsRateLimit(time.Now())
	s.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler) // net/http closes the connection
	case silent:
		<-r.Context().Done()
		return false
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	case limited:
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	if slow.DelayMs > 0 {
		sleep(r.Context(), time.Duration(slow.DelayMs)*time.Millisecond)
	}
	return true
}

// exceedsRateLimit counts a call and reports whether it exceeds the rate limit. The caller holds the lock.
func (s *Server) exceedsRateLimit(now time.Time) bool {
	if now.Unix() != s.faults.currentSecond {
		s.faults.currentSecond, s.faults.callsInSecond = now.Unix(), 0
	}
	s.faults.callsInSecond++
	fault, ok := s.faults.active[FaultRateLimit]
	return ok && s.faults.callsInSecond > fault.Limit
}

// abortIfAnswerLost panics to close the connection without a response if FaultAnswerLost applies. The caller
// holds the lock and must release it by defer.
func (s *Server) abortIfAnswerLost() {
	if _, lost := s.consumeFault(FaultAnswerLost); lost {
		panic(http.ErrAbortHandler)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if r.Method != http.MethodPost || !decodeJSON(r.Body, &fault) {
		http.Error(w, "expected POST with a fault in JSON", http.StatusBadRequest)
		return
	}
	if err := s.Inject(fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, fault)
}
