package reducer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/nested"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// NodeID identifies a node; it is unique in the system.
type NodeID string

// Incarnation identifies one run of a node's process: its start time in ns since 1970. A higher value is
// a later run.
type Incarnation uint64

// Handle identifies a traffic goroutine that waits for effects: one for a call at this node, or for an
// exchange with a peer, the backend server or an operator. The runner that starts the goroutine assigns the
// handle; it is unique in the process and not 0.
type Handle uint64

// CallID identifies a call across nodes. The node that a caller sends the call to assigns it.
type CallID struct {
	Origin      NodeID
	Incarnation Incarnation
	Seq         uint64
}

func (id CallID) String() string {
	return fmt.Sprintf("%s-%x-%d", id.Origin, uint64(id.Incarnation), id.Seq)
}

// ParseCallID parses the text that CallID.String returns. It returns false when the text is malformed.
func ParseCallID(text string) (CallID, bool) {
	head, seqText, ok1 := cutLast(text)
	origin, incarnationText, ok2 := cutLast(head)
	seq, err1 := strconv.ParseUint(seqText, 10, 64)
	incarnation, err2 := strconv.ParseUint(incarnationText, 16, 64)
	if !ok1 || !ok2 || origin == "" || err1 != nil || err2 != nil {
		return CallID{}, false
	}
	return CallID{Origin: NodeID(origin), Incarnation: Incarnation(incarnation), Seq: seq}, true
}

// cutLast splits a text at its last hyphen; ok is false when there is none.
func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, '-')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}

// Outcome says what is known about the execution of a call.
type Outcome uint8

// The outcomes of a call. OutcomeNotRun is a guarantee: the request has not run and will not run.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
	// OutcomePending answers a Settle request for a call that is still queued or running.
	OutcomePending
)

func (o Outcome) String() string {
	switch o {
	case OutcomeDone:
		return "done"
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	case OutcomePending:
		return "pending"
	default:
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
}

// Reason says why a call was not answered by the backend server.
type Reason uint8

// The reasons for refusals and unknown outcomes.
const (
	ReasonNone Reason = iota
	ReasonNotReady
	ReasonNoRoute
	ReasonNoUpstream
	ReasonOverloaded
	ReasonDeadline
	ReasonQueueFull
	ReasonBodyTooLarge
	ReasonBodyIncomplete
	ReasonTooDeep
	ReasonLeaving
	ReasonDraining
	ReasonWrongIncarnation
	ReasonFenced
	ReasonRecordsFull
	ReasonShed
	ReasonBackendUnreachable
	ReasonBackendFailed
	ReasonPeerUnreachable
	ReasonCallerGone
	ReasonKeyOwnerLost
	ReasonKeyMoved
	ReasonForgotten
	ReasonOtherBackend     // another backend server now has the address
	ReasonUnsupportedRoute // this release cannot serve the route
	ReasonResponseTooLarge // the response was cut because it needed too much memory
	ReasonUnknownKey       // the route needs a key, and the request has none that a workspace holds
	ReasonQuotaExceeded    // the workspace has used its quota
	ReasonNestedFailing    // calls that the backend server would make for the request fail now
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "not_ready", "no_route", "no_upstream", "overloaded", "deadline", "queue_full",
	"body_too_large", "body_incomplete", "too_deep", "leaving", "draining", "wrong_incarnation",
	"fenced", "records_full", "shed", "backend_unreachable", "backend_failed", "peer_unreachable",
	"caller_gone", "key_owner_lost", "key_moved", "forgotten", "other_backend",
	"unsupported_route", "response_too_large", "unknown_key", "quota_exceeded", "nested_failing",
}

func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// LoadReport describes the queue of a target node. Each of its responses carries one.
type LoadReport struct {
	Waits       [tables.Priorities]time.Duration // expected time in the queue, by priority
	LateWaits   [tables.Priorities]time.Duration // the same for late calls, which are not expected to end by their due time
	ServiceTime time.Duration                    // mean time of one execution
	// ShortestServiceTimes is the shortest expected service time among the recent calls of each priority; 0 when
	// there were none.
	ShortestServiceTimes [tables.Priorities]time.Duration
	Slots                int
	Running              int
	Queued               int

	// NestedWait and NestedServiceTime are the figures of Waits and ShortestServiceTimes for nested calls.
	NestedWait        time.Duration
	NestedServiceTime time.Duration
	// RouteNested says whether the route of the answered call is nested when it is called from beside the ingress node.
	RouteNested nested.Verdict
	// WorkspaceWait is the expected time in the queue of calls of the same workspace and priority; 0 without workspaces.
	WorkspaceWait time.Duration
	// Withheld is the percentage of new calls of the same route to refuse, because the calls that they would make fail.
	Withheld      int
	LinkBacklog   time.Duration // how long the link of the instance takes for what it has to send; 0 if it is not known
	LinkInBacklog time.Duration // the same for the bodies that it has to receive
}

// PeerRef identifies one incarnation of a node and the address at which it is reached.
type PeerRef struct {
	Node        NodeID
	Address     string // IP:port of the node's peer listener
	Incarnation Incarnation
}

// CallLimits bounds the calls that a backend server makes on behalf of a call.
type CallLimits struct {
	Depth       int // nesting depth of such a call
	RetriesLeft int // retries left to all of them together
}
