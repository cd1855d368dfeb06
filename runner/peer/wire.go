package peer

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/httpresponse"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/nested"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// The types in the files wire*.go are the messages between nodes. gob writes types and exported fields under their
// names, which therefore must not change. Fields are added, and never reused or given another meaning; gob ignores
// fields that the receiver does not know.

// Empty is the argument or the reply of RPCs that carry no data.
type Empty struct{}

// CallID is reducer.CallID on the wire.
type CallID struct {
	Origin      string
	Incarnation uint64
	Seq         uint64
}

func wireCallID(id reducer.CallID) CallID {
	return CallID{Origin: string(id.Origin), Incarnation: uint64(id.Incarnation), Seq: id.Seq}
}

func (id CallID) toCallID() reducer.CallID {
	return reducer.CallID{Origin: reducer.NodeID(id.Origin), Incarnation: reducer.Incarnation(id.Incarnation), Seq: id.Seq}
}

// Load is reducer.LoadReport on the wire. Every Answer carries one, so its encoding is short: times are in units
// of 0.1 ms, and lists end with the last priority that has calls.
type Load struct {
	Service   uint32 // mean time of one execution
	Slots     int
	Running   int
	Queued    int
	Wait      []uint32 // expected time in the queue by priority
	LateWait  []uint32 // the same for late calls, which are not expected to end by their due time
	LeastTime []uint32 // shortest service time by priority

	NestedWait    uint32 // as Wait, for nested calls
	NestedTime    uint32 // as LeastTime, for nested calls
	RouteNested   uint8  // whether the route of the call is nested: 0 not known, 1 yes, 2 no
	Withheld      int    // percentage of new calls of the route to refuse
	Link          uint32 // backlog of the instance's link; 0 if it is not known
	LinkIn        uint32 // the same for bodies that it receives
	WorkspaceWait uint32 // as Wait, for calls of the workspace of the answered call
}

// loadTimeUnit is the unit of the times in a Load.
const loadTimeUnit = 100 * time.Microsecond

func wireLoad(l reducer.LoadReport) Load {
	return Load{
		Service: wireLoadTime(l.ServiceTime), Slots: l.Slots, Running: l.Running, Queued: l.Queued,
		Wait: wireLoadTimes(l.Waits[:]), LateWait: wireLoadTimes(l.LateWaits[:]), LeastTime: wireLoadTimes(l.ShortestServiceTimes[:]),
		NestedWait: wireLoadTime(l.NestedWait), NestedTime: wireLoadTime(l.NestedServiceTime), RouteNested: uint8(l.RouteNested), Withheld: l.Withheld,
		Link: wireLoadTime(l.LinkBacklog), LinkIn: wireLoadTime(l.LinkInBacklog),
		WorkspaceWait: wireLoadTime(l.WorkspaceWait),
	}
}

// wireLoadTime returns a time in units of loadTimeUnit, rounded up so that only 0 becomes 0.
func wireLoadTime(t time.Duration) uint32 { return uint32((t + loadTimeUnit - 1) / loadTimeUnit) }

// wireLoadTimes returns times in units of loadTimeUnit, without the zeros at the end.
func wireLoadTimes(times []time.Duration) []uint32 {
	used := len(times)
	for used > 0 && times[used-1] == 0 {
		used--
	}
	if used == 0 {
		return nil
	}
	out := make([]uint32, used)
	for i, t := range times[:used] {
		out[i] = wireLoadTime(t)
	}
	return out
}

// setLoadTimes sets times from the output of wireLoadTimes. It ignores priorities that this node does not know.
func setLoadTimes(times []time.Duration, from []uint32) {
	for i, t := range from[:min(len(from), len(times))] {
		times[i] = time.Duration(t) * loadTimeUnit
	}
}

func (l Load) toLoadReport() reducer.LoadReport {
	out := reducer.LoadReport{
		ServiceTime: time.Duration(l.Service) * loadTimeUnit, Slots: l.Slots, Running: l.Running, Queued: l.Queued,
		NestedWait: time.Duration(l.NestedWait) * loadTimeUnit, NestedServiceTime: time.Duration(l.NestedTime) * loadTimeUnit,
		RouteNested: nested.Verdict(l.RouteNested), Withheld: l.Withheld,
		LinkBacklog: time.Duration(l.Link) * loadTimeUnit, LinkInBacklog: time.Duration(l.LinkIn) * loadTimeUnit,
		WorkspaceWait: time.Duration(l.WorkspaceWait) * loadTimeUnit,
	}
	setLoadTimes(out.Waits[:], l.Wait)
	setLoadTimes(out.LateWaits[:], l.LateWait)
	setLoadTimes(out.ShortestServiceTimes[:], l.LeastTime)
	return out
}

// ForwardArgs is reducer.Forward on the wire, with the request of the call.
type ForwardArgs struct {
	ID                CallID
	Attempt           int
	Route             string
	Pool              string
	Priority          int
	Idempotent        bool
	Key               string // idempotency key; empty when there is none
	KeyRetention      int64  // ns
	TimeLeft          int64  // ns
	TargetIncarnation uint64
	Depth             int
	RetriesLeft       int
	RequestID         string
	DueIn             int64  // ns until the due time; negative when it has passed, 0 when there is none
	Streaming         bool   // the sender takes a long response in parts
	Workspace         string // whose key the caller sent; empty for none
	Parts             bool   // the sender takes any long response in parts
	Uploaded          bool   // the body came ahead of the call
	Nested            bool   // a backend server made the call for a request that it runs

	Method string
	URI    string
	Host   string
	Header map[string][]string
	Body   []byte

	// Not on the wire:
	maybeSent atomic.Bool     // whether any byte of the request may have left the node
	ctx       context.Context // ends when nobody waits for the answer any more
	timeAt    time.Time       // time to which TimeLeft and DueIn refer
}

// errNotSent is returned for a call that is not sent any more.
var errNotSent = fmt.Errorf("the call has lost its caller or its time before it was sent: %w", context.Canceled)

// beforeWrite implements perishable. A call is not sent once its caller has left or its time is over, and its target gets the
// time that is left.
func (a *ForwardArgs) beforeWrite(now time.Time) error {
	waited := int64(now.Sub(a.timeAt))
	a.timeAt = now
	hadTime := a.TimeLeft > 0
	a.TimeLeft -= waited
	if a.DueIn != 0 {
		if a.DueIn -= waited; a.DueIn == 0 {
			a.DueIn = -1 // 0 would mean that there is none
		}
	}
	if a.ctx.Err() != nil || hadTime && a.TimeLeft <= 0 {
		return errNotSent
	}
	return nil
}

func (a *ForwardArgs) markMaybeSent() { a.maybeSent.Store(true) }

// Answer carries the outcome of a call, and its response when the outcome is done.
type Answer struct {
	Outcome uint8
	Reason  uint8
	Status  int
	Load    Load
	// RetriesUsed is the number of retries of calls that were made on behalf of this one.
	RetriesUsed int
	Took        int64 // ns that the call spent at the target; 0 from older nodes

	HasResponse bool
	Header      map[string][]string
	Body        []byte
	Truncated   bool
	// HasRest is set when Body is only the first part of the body. ReadStream returns the others.
	HasRest bool
	Length  int64 // of the whole body, or -1 when it is not known; only with HasRest
}

// SettleArgs is reducer.Settle on the wire: it asks for the outcome of a call.
type SettleArgs struct {
	ID                CallID
	Attempt           int
	TakeKey           bool // asks for the outcome of any call with the idempotency key
	Route             string
	Key               string
	KeyRetention      int64 // ns
	TimeLeft          int64 // ns
	TargetIncarnation uint64
}

// CancelArgs names a call whose response is not needed any more.
type CancelArgs struct {
	ID      CallID
	Attempt int // the latest that is cancelled; 0 from older nodes
}

func wireForward(ctx context.Context, f reducer.Forward, request *traffic.Request) *ForwardArgs {
	return &ForwardArgs{
		ctx: ctx, timeAt: time.Now(),
		ID: wireCallID(f.ID), Attempt: f.Attempt, Route: f.Route, Pool: f.Pool, Priority: f.Priority,
		Idempotent: f.Idempotent, Key: f.Key, KeyRetention: int64(f.KeyRetention), TimeLeft: int64(f.TimeLeft),
		TargetIncarnation: uint64(f.To.Incarnation), Depth: f.Limits.Depth, RetriesLeft: f.Limits.RetriesLeft,
		RequestID: f.RequestID, DueIn: int64(f.DueIn), Streaming: f.Streaming, Workspace: f.Workspace, Nested: f.Nested,
		Method: request.Method, URI: request.URI, Host: request.Host, Header: request.Header, Body: request.Body,
	}
}

func (a *ForwardArgs) toInput(call reducer.Handle) reducer.ForwardArrived {
	return reducer.ForwardArrived{
		Call: call, ID: a.ID.toCallID(), Attempt: a.Attempt, Route: a.Route, Pool: a.Pool, Priority: a.Priority,
		Idempotent: a.Idempotent, Key: a.Key, KeyRetention: time.Duration(a.KeyRetention),
		TimeLeft: time.Duration(a.TimeLeft), TargetIncarnation: reducer.Incarnation(a.TargetIncarnation),
		RequestID: a.RequestID, DueIn: time.Duration(a.DueIn), Streaming: a.Streaming, Workspace: a.Workspace, Nested: a.Nested, BodyBytes: int64(len(a.Body)), Limits: reducer.CallLimits{Depth: a.Depth, RetriesLeft: a.RetriesLeft},
	}
}

func (a *ForwardArgs) toRequest() *traffic.Request {
	return &traffic.Request{Method: a.Method, URI: a.URI, Host: a.Host, Header: a.Header, Body: a.Body}
}

func wireSettle(s reducer.Settle) *SettleArgs {
	return &SettleArgs{
		ID: wireCallID(s.ID), Attempt: s.Attempt, TakeKey: s.TakeKey,
		Route: s.Route, Key: s.Key, KeyRetention: int64(s.KeyRetention), TimeLeft: int64(s.TimeLeft), TargetIncarnation: uint64(s.To.Incarnation),
	}
}

func (a *SettleArgs) toInput(exchange reducer.Handle) reducer.SettleArrived {
	return reducer.SettleArrived{
		Exchange: exchange, ID: a.ID.toCallID(), Attempt: a.Attempt, TakeKey: a.TakeKey, Route: a.Route, Key: a.Key, KeyRetention: time.Duration(a.KeyRetention),
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

// removeMalformed removes a response that is not valid HTTP: nodes of earlier versions pass on what their backend servers send.
// The call may have run, so that its outcome becomes unknown. removeMalformed returns the problem, or an empty text.
func (a *Answer) removeMalformed() (problem string) {
	if !a.HasResponse {
		return ""
	}
	err := httpresponse.CheckFinal(a.Status, a.Header)
	if err == nil {
		return ""
	}
	a.Outcome, a.Reason, a.Status = uint8(reducer.OutcomeUnknown), uint8(reducer.ReasonBackendFailed), 0
	a.HasResponse, a.Header, a.Body = false, nil, nil
	return err.Error()
}

func (a *Answer) toResponse() *traffic.Response {
	if !a.HasResponse {
		return nil
	}
	return &traffic.Response{Status: a.Status, Header: http.Header(a.Header), Body: a.Body, Truncated: a.Truncated}
}
