// Package backend is a small stand-in for a backend server. It registers with the node beside it, executes
// requests, counts those that begin while all slots are in use, and logs each execution by its request id.
//
// One goroutine owns the state and makes the decisions; request goroutines do I/O and wait.
package backend

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	protocol "github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

// Options configure a stand-in.
type Options struct {
	Service         string
	Address         string        // registered address of the stand-in, IP:port
	RegisterAddress string        // register address of the node, IP:port
	Slots           int           // requests that may run concurrently; 0 disables counting of overruns
	ServiceTime     time.Duration // mean, before cold start and slowdown
	Distribution    Distribution
	Seed            uint64
	ColdFor         time.Duration // duration of the cold start, counted from the first request
	ColdFactor      float64       // factor of service times at the first request; falls linearly to 1 over ColdFor
	ShedAbove       int           // number of running requests at which new requests are shed; 0 disables shedding
	Lag             time.Duration // delay with which the health and load endpoints report the state
	Journal         io.Writer     // receives one line of JSON when an execution begins; nil disables the journal
	NestedCallURL   string        // URL called after the service time of each request; empty disables nested calls
	Version         string        // version of the software, as registered; may be empty
	Defect          Defect        // of that version
}

// Headers of requests and responses.
const (
	// HeaderRequestID carries the id under which a request is logged.
	HeaderRequestID = "X-Request-Id"
	// HeaderLength and HeaderChecksum carry the length and the CRC-32 of the request body in the response.
	HeaderLength   = "X-Body-Length"
	HeaderChecksum = "X-Body-Checksum"
)

// Paths of the stand-in's own endpoints.
const (
	PathDrain      = "/standin/drain"
	PathSlow       = "/standin/slow" // ?factor=10 multiplies the service times of requests that arrive from now on
	PathExecutions = "/standin/executions"
	PathHealth     = "/standin/health"
	PathLoad       = "/standin/load"
	PathCounts     = "/standin/counts"
)

// Server is a stand-in for a backend server.
type Server struct {
	options Options
	client  http.Client // sends the registrations
	born    time.Time   // when New created the stand-in
	// sequence is the sequence number of the newest registration.
	sequence  atomic.Uint64
	mux       *http.ServeMux
	inputs    chan envelope
	done      chan struct{}
	closeOnce sync.Once
}

// envelope carries an input to the goroutine that owns the state, and the channel for its reply.
type envelope struct {
	input input
	reply chan any
}

// New returns a stand-in that has not yet registered and starts the goroutine that owns its state; Close
// ends it.
func New(options Options) *Server {
	s := &Server{options: options, born: time.Now(), inputs: make(chan envelope), done: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST "+PathDrain, func(w http.ResponseWriter, r *http.Request) {
		s.Drain()
		w.WriteHeader(http.StatusNoContent)
	})
	s.mux.HandleFunc("POST "+PathSlow, func(w http.ResponseWriter, r *http.Request) {
		factor, err := strconv.ParseFloat(r.FormValue("factor"), 64)
		if err != nil || !(factor > 0) {
			http.Error(w, fmt.Sprintf("factor is %q, expected a number above 0", r.FormValue("factor")), http.StatusBadRequest)
			return
		}
		s.submit(setSlowdown{factor})
		w.WriteHeader(http.StatusNoContent)
	})
	s.mux.HandleFunc("GET "+PathExecutions, s.newQueryHandler(readLog{}))
	s.mux.HandleFunc("GET "+PathHealth, s.newQueryHandler(readHealth{}))
	s.mux.HandleFunc("GET "+PathLoad, s.newQueryHandler(readLoad{}))
	s.mux.HandleFunc("GET "+PathCounts, s.newQueryHandler(readCounts{}))
	s.mux.HandleFunc("/", s.serveRequest)
	go s.run()
	return s
}

// Close ends the goroutine that owns the state. Requests are no longer executed afterwards.
func (s *Server) Close() { s.closeOnce.Do(func() { close(s.done) }) }

// run owns the state and processes inputs until Close.
func (s *Server) run() {
	state := newState(s.options)
	for {
		select {
		case e := <-s.inputs:
			e.reply <- state.reduce(time.Now(), e.input)
		case <-s.done:
			return
		}
	}
}

// submit passes an input to the goroutine that owns the state and returns the reply, or nil after Close.
func (s *Server) submit(in input) any {
	e := envelope{input: in, reply: make(chan any, 1)}
	select {
	case s.inputs <- e:
		return <-e.reply
	case <-s.done:
		return nil
	}
}

// Executions returns the number of logged executions of each request id.
func (s *Server) Executions() map[string]int {
	counts := map[string]int{}
	log, _ := s.submit(readLog{}).([]Execution)
	for _, execution := range log {
		counts[execution.ID]++
	}
	return counts
}

// Counts returns the current counts, or zeros after Close.
func (s *Server) Counts() Counts {
	counts, _ := s.submit(readCounts{}).(Counts)
	return counts
}

// MostAtOnce returns the highest number of requests that ran concurrently.
func (s *Server) MostAtOnce() int { return s.Counts().MostAtOnce }

// Drain marks the stand-in as draining, which the next registration reports. Requests are still executed.
func (s *Server) Drain() { s.submit(drain{}) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// newQueryHandler returns a handler that responds with the reply to an input, as JSON.
func (s *Server) newQueryHandler(in input) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.submit(in)) // fails only if the client disconnected
	}
}

// serveRequest executes a request for its service time and responds with the request's id, path and body.
// It responds with 503 and outcome not_run if the request is shed.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	id := r.Header.Get(HeaderRequestID)
	decision, ok := s.submit(arrived{id: id, path: r.URL.Path}).(accepted)
	if !ok {
		w.Header().Set(protocol.HeaderOutcome, "not_run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.writeJournal(id)
	err = s.execute(ctx, max(decision.serviceTime, requestedTime(r)), r, id)
	s.submit(finished{index: decision.index, cancelled: err != nil})
	w.Header().Set(HeaderService, s.options.Service)
	if err == nil && decision.fails {
		w.Header().Set(HeaderRequestID, id)
		w.Header().Set(protocol.HeaderCallID, r.Header.Get(protocol.HeaderCallID))
		http.Error(w, "this version is configured to fail", http.StatusInternalServerError)
		return
	}
	if length := requestedBytes(r); length > 0 && err == nil {
		w.Header().Set(protocol.HeaderCallID, r.Header.Get(protocol.HeaderCallID))
		writeDownload(ctx, w, r, DownloadContent(length))
		return
	}
	writeResponse(w, r, id, body, err)
}

// writeJournal records an execution in the journal. It is called before the execution begins, so that the
// record remains if the process is killed.
func (s *Server) writeJournal(id string) {
	if s.options.Journal != nil {
		_ = json.NewEncoder(s.options.Journal).Encode(Execution{ID: id, Started: time.Now()}) // a test that reads the journal finds the record missing
	}
}

// execute waits for the service time and then makes the nested call, if one is configured. It returns an
// error if the context ends first or the nested call fails.
func (s *Server) execute(ctx context.Context, serviceTime time.Duration, r *http.Request, id string) error {
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	if s.options.NestedCallURL == "" {
		return nil
	}
	return s.callNested(ctx, r, id)
}

// writeResponse echoes the request, or responds with 504 if its execution failed.
func writeResponse(w http.ResponseWriter, r *http.Request, id string, body []byte, err error) {
	w.Header().Set(HeaderRequestID, id)
	w.Header().Set(protocol.HeaderCallID, r.Header.Get(protocol.HeaderCallID)) // lets the node recognise a late copy
	if err != nil {
		http.Error(w, "request was not completed: "+err.Error(), http.StatusGatewayTimeout)
		return
	}
	w.Header().Set(HeaderLength, strconv.Itoa(len(body)))
	w.Header().Set(HeaderChecksum, Checksum(body))
	fmt.Fprintf(w, "%s %s %s", id, r.URL.Path, body)
}

// Checksum returns the CRC-32 of a body in the format of HeaderChecksum, hexadecimal.
func Checksum(body []byte) string {
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(body)), 16)
}
