// Package load is a stand-in for callers, an open-loop load generator: it sends calls at given rates,
// checks that each response is complete and belongs to its request, and compares the outcomes with the
// logs of the backend servers.
//
// One goroutine owns the schedule and the counters; one goroutine per call does its I/O.
package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds of a run.
const (
	MaxCalls        = 1_000_000
	MaxDuration     = 10 * time.Minute
	DefaultTimeout  = 2 * time.Second
	defaultInFlight = 2048 // concurrent calls, which bounds the goroutines and sockets
)

// Spec describes the calls to one route.
type Spec struct {
	Name       string
	Method     string
	Path       string
	Host       string
	Priority   int     // of the route in the table of routes; only for the report
	Rate       float64 // mean number of calls per second
	BodyBytes  int
	Idempotent bool
	Timeout    time.Duration
	// OmitIdempotencyKey omits the idempotency key from non-idempotent calls. OmitAttemptCount omits the
	// X-Envoy-Attempt-Count header, which declares a non-idempotent call to be its caller's first attempt.
	OmitIdempotencyKey, OmitAttemptCount bool
}

// Options configure a run.
type Options struct {
	Targets     []string // addresses at which nodes serve callers, IP:port
	Specs       []Spec
	Count       int           // total number of calls, at most MaxCalls
	Duration    time.Duration // calls due later are not sent; at most MaxDuration
	Seed        uint64
	Prefix      string // of request ids; must be unique among runs against the same backend servers
	InFlight    int    // maximum number of concurrent calls; a call due beyond it is skipped and counted
	NoKeepAlive bool   // opens a new connection for each call
}

// ParseSpec parses a Spec of the form NAME,path=/p,priority=0,rate=100,idempotent=no,body=64,timeout=2s,method=POST,host=H.
// All fields but the name are optional.
func ParseSpec(text string) (Spec, error) {
	parts := strings.Split(text, ",")
	spec := Spec{Name: parts[0], Method: "POST", Path: "/" + parts[0], Rate: 1, BodyBytes: 64, Timeout: DefaultTimeout}
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(part, "=")
		if err := spec.set(key, value); err != nil {
			return Spec{}, fmt.Errorf("call %q: %s is %q, expected %w", spec.Name, key, value, err)
		}
	}
	if spec.Name == "" {
		return Spec{}, fmt.Errorf("call %q has no name, expected NAME,path=/p", text)
	}
	return spec, nil
}

// set parses a value into the field for the key. The error text describes the expected value.
func (s *Spec) set(key, value string) error {
	var err error
	switch key {
	case "method":
		s.Method = value
	case "path":
		s.Path = value
	case "host":
		s.Host = value
	case "priority":
		if s.Priority, err = strconv.Atoi(value); err != nil {
			return fmt.Errorf("a whole number")
		}
	case "body":
		if s.BodyBytes, err = strconv.Atoi(value); err != nil || s.BodyBytes < 0 {
			return fmt.Errorf("a number of bytes")
		}
	case "rate":
		if s.Rate, err = strconv.ParseFloat(value, 64); err != nil || !(s.Rate > 0) {
			return fmt.Errorf("calls a second above 0")
		}
	case "timeout":
		if s.Timeout, err = time.ParseDuration(value); err != nil || s.Timeout < time.Millisecond {
			return fmt.Errorf("a duration of 1ms or more")
		}
	case "idempotent", "no_key", "repeat":
		if value != "yes" && value != "no" {
			return fmt.Errorf("yes or no")
		}
		*map[string]*bool{"idempotent": &s.Idempotent, "no_key": &s.OmitIdempotencyKey, "repeat": &s.OmitAttemptCount}[key] = value == "yes"
	default:
		return fmt.Errorf("one of method, path, host, priority, body, rate, timeout, idempotent, no_key, repeat")
	}
	return nil
}

// Check returns an error if an option is missing or out of bounds.
func (o Options) Check() error {
	switch {
	case len(o.Targets) == 0:
		return fmt.Errorf("no --node is given, expected the callers' address of at least one node, IP:port")
	case len(o.Specs) == 0:
		return fmt.Errorf("no --call is given, expected at least one")
	case o.Count < 1 || o.Count > MaxCalls:
		return fmt.Errorf("count is %d, expected 1 to %d", o.Count, MaxCalls)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return fmt.Errorf("duration is %v, expected up to %v", o.Duration, MaxDuration)
	}
	return nil
}
