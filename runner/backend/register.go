package backend

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Paths for backend servers. The instance ID, which names an incarnation of the backend server, is appended.
const (
	// RegisterPath takes registrations. A backend server repeats its registration as a heartbeat.
	RegisterPath = "/v1/register/"
	// DeregisterPath takes deregistrations.
	DeregisterPath = "/v1/deregister/"
)

// Limits of a registration.
const (
	maxRegistrationBytes = 4096
	maxSlots             = 1024
	maxServiceNameBytes  = 128
	maxVersionBytes      = 128
)

// maxColdLeftMs bounds the time for which a backend server counts as slow after its start.
const maxColdLeftMs = 10 * 60 * 1000

// States of a backend server in a registration.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Registration is the JSON body of a registration.
type Registration struct {
	Service    string `json:"service"`
	Address    string `json:"address"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int64  `json:"cold_left_ms"` // remaining time in ms for which the backend server is slow after its start
	// Sequence increases with each registration of an incarnation, so that a delayed one can be recognised.
	Sequence uint64 `json:"sequence"`
	Born     int64  `json:"born"`              // start of the incarnation in Unix milliseconds; 0 when unknown
	Version  string `json:"version,omitempty"` // of the backend server's software

	hasSequence bool
}

// ControlThread accepts events. Post returns false if the control thread has ended.
type ControlThread interface {
	Post(input reducer.Input) bool
}

// Expected describes the backend server that may register with a node. An empty field allows any value.
type Expected struct {
	Service string
	Address string // IP:port
	// Ordered requires each registration to have a sequence, without which a late one cannot be told from a new one.
	Ordered bool
}

// RegisterHandler returns the handler for RegisterPath and DeregisterPath. It responds when the control thread has
// acknowledged the registration or deregistration, and rejects invalid ones with status 400.
func RegisterHandler(control ControlThread, mailboxes *traffic.Mailboxes, expected Expected) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+RegisterPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		in, err := readRegistration(r)
		if err == nil {
			err = in.validate(expected)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mailbox := mailboxes.Open()
		defer mailbox.Close()
		event := in.toInput(r.PathValue("id"))
		event.Exchange = mailbox.Handle
		control.Post(event)
		replyWhenAcknowledged(w, r, mailbox)
	})
	mux.HandleFunc("POST "+DeregisterPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		in, err := readRegistration(r)
		if err != nil && err != io.EOF { // the body may be empty
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		mailbox := mailboxes.Open()
		defer mailbox.Close()
		control.Post(reducer.BackendDeregistered{Instance: r.PathValue("id"), Born: in.Born, Exchange: mailbox.Handle})
		replyWhenAcknowledged(w, r, mailbox)
	})
	return mux
}

// ackTimeout limits the wait for the acknowledgement of the control thread.
const ackTimeout = 2 * time.Second

// replyWhenAcknowledged responds when the control thread has acknowledged, or with status 503 after ackTimeout.
func replyWhenAcknowledged(w http.ResponseWriter, r *http.Request, mailbox *traffic.Mailbox) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case effect := <-mailbox.Effects:
		if answer, ok := effect.(reducer.AcknowledgeBackend); ok && answer.Refused {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "neither the platform's store nor other nodes have taken the deregistration", http.StatusServiceUnavailable)
			return
		}
	case <-r.Context().Done():
		return
	case <-timer.C:
		http.Error(w, "the control thread does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // fails only if the backend server has disconnected
}

// readRegistration decodes the request body. It returns io.EOF, not wrapped, for an empty body.
func readRegistration(r *http.Request) (Registration, error) {
	in := struct {
		Registration
		Sequence *uint64 `json:"sequence"` // nil when there is none, which 0 does not tell
	}{}
	err := json.NewDecoder(io.LimitReader(r.Body, maxRegistrationBytes)).Decode(&in)
	if err != nil && err != io.EOF {
		err = fmt.Errorf("registration cannot be read: %w", err)
	}
	if in.Sequence != nil {
		in.Registration.Sequence, in.hasSequence = *in.Sequence, true
	}
	return in.Registration, err
}

// validate returns an error that names the first invalid field.
func (r Registration) validate(expected Expected) error {
	address, err := netip.ParseAddrPort(r.Address)
	switch {
	case r.Service == "" || len(r.Service) > maxServiceNameBytes:
		return fmt.Errorf("service is %q, expected a name of 1 to %d bytes", r.Service, maxServiceNameBytes)
	case expected.Service != "" && r.Service != expected.Service:
		return fmt.Errorf("service is %q, expected %q", r.Service, expected.Service)
	case err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return fmt.Errorf("address is %q, expected IP:port", r.Address)
	case expected.Address != "" && r.Address != expected.Address:
		return fmt.Errorf("address is %q, expected %q", r.Address, expected.Address)
	case len(r.Version) > maxVersionBytes:
		return fmt.Errorf("version is %.*q..., expected at most %d bytes", maxVersionBytes, r.Version, maxVersionBytes)
	case r.Slots < 1 || r.Slots > maxSlots:
		return fmt.Errorf("slots is %d, expected 1 to %d", r.Slots, maxSlots)
	case r.State != StateReady && r.State != StateDraining:
		return fmt.Errorf("state is %q, expected %s or %s", r.State, StateReady, StateDraining)
	case expected.Ordered && !r.hasSequence:
		return errors.New("sequence is missing, expected a whole number of 0 or more")
	case r.ColdLeftMs < 0 || r.Born < 0:
		return fmt.Errorf("cold_left_ms is %d and born is %d, expected 0 or more", r.ColdLeftMs, r.Born)
	}
	return nil
}

func (r Registration) toInput(instance string) reducer.BackendRegistered {
	return reducer.BackendRegistered{
		Service: r.Service, Address: r.Address, Slots: r.Slots, Draining: r.State == StateDraining,
		Instance: instance, Born: r.Born, Sequence: r.Sequence,
		Version: r.Version, ColdLeft: time.Duration(min(r.ColdLeftMs, maxColdLeftMs)) * time.Millisecond,
	}
}
