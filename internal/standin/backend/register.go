package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	protocol "github.com/rosemaryhatch/rosemaryhatch/runner/backend"
)

// registerInterval is the interval between registrations, and the timeout of one.
const registerInterval = time.Second

// Register sends a registration every registerInterval until the context ends.
func (s *Server) Register(ctx context.Context) {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		_ = s.RegisterOnce(ctx) // the node may not be up yet; the next registration is the retry
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// instanceID returns an id that is unique to this run of the stand-in: its address and start time in
// milliseconds.
func (s *Server) instanceID() string {
	return fmt.Sprintf("%s-%d", s.options.Address, s.born.UnixMilli())
}

// RegisterOnce sends one registration. It returns an error if the node cannot be reached or its status is
// not 200.
func (s *Server) RegisterOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerInterval)
	defer cancel()
	draining, _ := s.submit(readDraining{}).(bool)
	state := protocol.StateReady
	if draining {
		state = protocol.StateDraining
	}
	body, err := json.Marshal(protocol.Registration{
		Service: s.options.Service, Address: s.options.Address, Slots: s.options.Slots, State: state,
		Sequence: s.sequence.Add(1), Born: s.born.UnixMilli(), Version: s.options.Version,
	})
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.options.RegisterAddress+protocol.RegisterPath+s.instanceID(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("registration was answered with status %d", response.StatusCode)
	}
	return nil
}
