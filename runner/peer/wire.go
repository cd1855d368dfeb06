package peer

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// The types in this file are the messages between nodes. Fields are added and never reused or given
// another meaning; gob leaves out what the other side does not know.

// Empty is the reply of calls that answer nothing.
type Empty struct{}

// CallID is reducer.CallID on the wire.
type CallID struct {
	Origin      string
	Incarnation uint64
	Seq         uint64
}

func wireID(id reducer.CallID) CallID {
	return CallID{Origin: string(id.Origin), Incarnation: uint64(id.Incarnation), Seq: id.Seq}
}

func (id CallID) value() reducer.CallID {
	return reducer.CallID{Origin: reducer.NodeID(id.Origin), Incarnation: reducer.Incarnation(id.Incarnation), Seq: id.Seq}
}

// Load is reducer.LoadReport on the wire.
type Load struct {
	Waits       []int64 // ns by priority
	ServiceTime int64   // ns
	Slots       int
	Running     int
	Queued      int
	Services    []int64 // ns by priority
}

func wireLoad(l reducer.LoadReport) Load {
	out := Load{ServiceTime: int64(l.ServiceTime), Slots: l.Slots, Running: l.Running, Queued: l.Queued}
	for _, wait := range l.Waits {
		out.Waits = append(out.Waits, int64(wait))
	}
	for _, service := range l.Services {
		out.Services = append(out.Services, int64(service))
	}
	return out
}

func (l Load) value() reducer.LoadReport {
	out := reducer.LoadReport{ServiceTime: time.Duration(l.ServiceTime), Slots: l.Slots, Running: l.Running, Queued: l.Queued}
	for priority, wait := range l.Waits {
		if priority < len(out.Waits) {
			out.Waits[priority] = time.Duration(wait)
		}
	}
	for priority, service := range l.Services {
		if priority < len(out.Services) {
			out.Services[priority] = time.Duration(service)
		}
	}
	return out
}

// ForwardArgs carries a call with its request.
type ForwardArgs struct {
	ID                CallID
	Attempt           int
	Route             string
	Pool              string
	Priority          int
	Idempotent        bool
	Key               string
	KeyRetention      int64 // ns
	TimeLeft          int64 // ns
	TargetIncarnation uint64
	Depth             int
	RetriesLeft       int
	RequestID         string

	Method string
	URI    string
	Host   string
	Header map[string][]string
	Body   []byte

	sent atomic.Bool // not on the wire
}

func (a *ForwardArgs) markSent() { a.sent.Store(true) }

// Answer carries an outcome, and the response when the outcome is done.
type Answer struct {
	Outcome uint8
	Reason  uint8
	Status  int
	Load    Load
	// RetriesUsed counts the retries of calls made on behalf of this one.
	RetriesUsed int
	Took        int64 // ns that the target had the call; 0 from older nodes

	HasResponse bool
	Header      map[string][]string
	Body        []byte
	Truncated   bool
}

// SettleArgs asks for the outcome of a call.
type SettleArgs struct {
	ID                CallID
	Attempt           int
	TakeKey           bool
	Route             string
	Key               string
	KeyRetention      int64 // ns
	TimeLeft          int64 // ns
	TargetIncarnation uint64
}

// CancelArgs gives up a call.
type CancelArgs struct{ ID CallID }

func wireForward(f reducer.Forward, request *traffic.Request) *ForwardArgs {
	return &ForwardArgs{
		ID: wireID(f.ID), Attempt: f.Attempt, Route: f.Route, Pool: f.Pool, Priority: f.Priority,
		Idempotent: f.Idempotent, Key: f.Key, KeyRetention: int64(f.KeyRetention), TimeLeft: int64(f.TimeLeft),
		TargetIncarnation: uint64(f.To.Incarnation), Depth: f.Limits.Depth, RetriesLeft: f.Limits.RetriesLeft,
		RequestID: f.RequestID,
		Method:    request.Method, URI: request.URI, Host: request.Host, Header: request.Header, Body: request.Body,
	}
}

func (a *ForwardArgs) input(call reducer.Handle) reducer.ForwardArrived {
	return reducer.ForwardArrived{
		Call: call, ID: a.ID.value(), Attempt: a.Attempt, Route: a.Route, Pool: a.Pool, Priority: a.Priority,
		Idempotent: a.Idempotent, Key: a.Key, KeyRetention: time.Duration(a.KeyRetention),
		TimeLeft: time.Duration(a.TimeLeft), TargetIncarnation: reducer.Incarnation(a.TargetIncarnation),
		RequestID: a.RequestID, BodyBytes: int64(len(a.Body)), Limits: reducer.CallLimits{Depth: a.Depth, RetriesLeft: a.RetriesLeft},
	}
}

func (a *ForwardArgs) request() *traffic.Request {
	return &traffic.Request{Method: a.Method, URI: a.URI, Host: a.Host, Header: a.Header, Body: a.Body}
}

func wireSettle(s reducer.Settle) *SettleArgs {
	return &SettleArgs{
		ID: wireID(s.ID), Attempt: s.Attempt, TakeKey: s.TakeKey,
		Route: s.Route, Key: s.Key, KeyRetention: int64(s.KeyRetention), TimeLeft: int64(s.TimeLeft), TargetIncarnation: uint64(s.To.Incarnation),
	}
}

func (a *SettleArgs) input(exchange reducer.Handle) reducer.SettleArrived {
	return reducer.SettleArrived{
		Exchange: exchange, ID: a.ID.value(), Attempt: a.Attempt, TakeKey: a.TakeKey, Route: a.Route, Key: a.Key, KeyRetention: time.Duration(a.KeyRetention),
		TimeLeft: time.Duration(a.TimeLeft), TargetIncarnation: reducer.Incarnation(a.TargetIncarnation),
	}
}

func (a *Answer) setResponse(response *traffic.Response) {
	if response == nil {
		return
	}
	a.HasResponse, a.Status, a.Header = true, response.Status, response.Header
	a.Body, a.Truncated = response.Body, response.Truncated
}

func (a *Answer) response() *traffic.Response {
	if !a.HasResponse {
		return nil
	}
	return &traffic.Response{Status: a.Status, Header: http.Header(a.Header), Body: a.Body, Truncated: a.Truncated}
}
