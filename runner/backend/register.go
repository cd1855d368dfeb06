package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// Paths of the registration, followed by the id of the backend server's life.
const (
	// RegisterPath is where a backend server registers, and repeats its registration as a heartbeat.
	RegisterPath = "/v1/register/"
	// DeregisterPath is where a backend server says that it leaves.
	DeregisterPath = "/v1/deregister/"
)

// Bounds of a registration.
const (
	maxRegistrationBytes = 4096
	maxSlots             = 1024
	maxNameBytes         = 128
)

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
	ColdLeftMs int64  `json:"cold_left_ms"` // how much longer the backend server is slow after its start
	// Sequence grows with each registration of one life, so that a late one can be told.
	Sequence uint64 `json:"sequence"`
	Born     int64  `json:"born"` // start of the life in Unix milliseconds; 0 when it is not known
}

// Poster takes events for the control thread.
type Poster interface {
	Post(input reducer.Input) bool
}

// Expected is the backend server that may register with a node. Empty fields allow any.
type Expected struct {
	Service string
	Address string // IP:port
}

// RegisterHandler returns the handler for RegisterPath and DeregisterPath. It answers when the control thread
// acknowledges what the backend server said.
func RegisterHandler(poster Poster, mailboxes *traffic.Mailboxes, expected Expected) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+RegisterPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		in, err := readRegistration(r)
		if err == nil {
			err = in.check(expected)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		box := mailboxes.Open()
		defer box.Close()
		event := in.event(r.PathValue("id"))
		event.Exchange = box.Handle
		poster.Post(event)
		acknowledge(w, r, box)
	})
	mux.HandleFunc("POST "+DeregisterPath+"{id}", func(w http.ResponseWriter, r *http.Request) {
		in, err := readRegistration(r)
		if err != nil && err != io.EOF { // the body may be empty
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		box := mailboxes.Open()
		defer box.Close()
		poster.Post(reducer.BackendDeregistered{Instance: r.PathValue("id"), Born: in.Born, Exchange: box.Handle})
		acknowledge(w, r, box)
	})
	return mux
}

// ackTimeout bounds the wait for the control thread.
const ackTimeout = 2 * time.Second

// acknowledge answers once the control thread has acknowledged.
func acknowledge(w http.ResponseWriter, r *http.Request, box *traffic.Mailbox) {
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-box.Effects: // the only effect for such an exchange
	case <-r.Context().Done():
		return
	case <-timer.C:
		http.Error(w, "the control thread does not answer", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // an error means that the backend server is gone
}

func readRegistration(r *http.Request) (Registration, error) {
	var in Registration
	err := json.NewDecoder(io.LimitReader(r.Body, maxRegistrationBytes)).Decode(&in)
	if err != nil && err != io.EOF {
		err = fmt.Errorf("registration cannot be read: %w", err)
	}
	return in, err
}

func (r Registration) check(expected Expected) error {
	host, _, err := net.SplitHostPort(r.Address)
	switch {
	case r.Service == "" || len(r.Service) > maxNameBytes:
		return fmt.Errorf("service is %q, expected a name of 1 to %d bytes", r.Service, maxNameBytes)
	case expected.Service != "" && r.Service != expected.Service:
		return fmt.Errorf("service is %q, expected %q", r.Service, expected.Service)
	case err != nil || net.ParseIP(host) == nil:
		return fmt.Errorf("address is %q, expected IP:port", r.Address)
	case expected.Address != "" && r.Address != expected.Address:
		return fmt.Errorf("address is %q, expected %q", r.Address, expected.Address)
	case r.Slots < 1 || r.Slots > maxSlots:
		return fmt.Errorf("slots is %d, expected 1 to %d", r.Slots, maxSlots)
	case r.State != StateReady && r.State != StateDraining:
		return fmt.Errorf("state is %q, expected %s or %s", r.State, StateReady, StateDraining)
	case r.ColdLeftMs < 0 || r.Born < 0:
		return fmt.Errorf("cold_left_ms is %d and born is %d, expected 0 or more", r.ColdLeftMs, r.Born)
	}
	return nil
}

func (r Registration) event(instance string) reducer.BackendRegistered {
	return reducer.BackendRegistered{
		Service: r.Service, Address: r.Address, Slots: r.Slots, Draining: r.State == StateDraining,
		Instance: instance, Born: r.Born, Sequence: r.Sequence,
	}
}
