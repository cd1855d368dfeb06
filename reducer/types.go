package reducer

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// NodeID names a node; it is unique in the system.
type NodeID string

// Incarnation tells the lives of a node apart: the start of its process in ns since 1970. Higher is
// later.
type Incarnation uint64

// Handle names a traffic goroutine that waits for effects: a call at this node, or an exchange with
// a peer or an operator. The runner that starts the goroutine chooses it; it is unique in the process.
type Handle uint64

// CallID identifies a call across nodes. Every call that enters a node gets a new one.
type CallID struct {
	Origin      NodeID
	Incarnation Incarnation
	Seq         uint64
}

func (id CallID) String() string {
	return fmt.Sprintf("%s-%x-%d", id.Origin, uint64(id.Incarnation), id.Seq)
}

// ParseCallID reads the text form of a call id.
func ParseCallID(text string) (CallID, bool) {
	head, seqText, ok1 := cutLast(text)
	origin, lifeText, ok2 := cutLast(head)
	seq, err1 := strconv.ParseUint(seqText, 10, 64)
	life, err2 := strconv.ParseUint(lifeText, 16, 64)
	if !ok1 || !ok2 || origin == "" || err1 != nil || err2 != nil {
		return CallID{}, false
	}
	return CallID{Origin: NodeID(origin), Incarnation: Incarnation(life), Seq: seq}, true
}

// cutLast splits a text at its last hyphen.
func cutLast(text string) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, '-')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}

// Outcome says what is known about the execution of a call.
type Outcome uint8

// The outcomes of a call. NotRun is only ever used when the request has not run and will not run.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeNotRun
	OutcomeUnknown
	// OutcomePending answers a question about a call that is still queued or running.
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

// The reasons of refusals and unknown outcomes.
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
	ReasonOtherBackend // another backend server has the address
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "not_ready", "no_route", "no_upstream", "overloaded", "deadline", "queue_full",
	"body_too_large", "body_incomplete", "too_deep", "leaving", "draining", "wrong_incarnation",
	"fenced", "records_full", "shed", "backend_unreachable", "backend_failed", "peer_unreachable",
	"caller_gone", "key_owner_lost", "key_moved", "forgotten", "other_backend",
}

func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// LoadReport is what a target node says about its queue with each response.
type LoadReport struct {
	Waits       [tables.Priorities]time.Duration // expected time in the queue, by priority
	LateWaits   [tables.Priorities]time.Duration // the same for calls that are late already
	ServiceTime time.Duration                    // observed time of one execution
	// Services is the shortest expected service time among the recent calls of each priority, 0 when
	// there were none.
	Services [tables.Priorities]time.Duration
	Slots    int
	Running  int
	Queued   int
}

// PeerRef is how a node is reached, and the incarnation that is meant.
type PeerRef struct {
	Node        NodeID
	Address     string // IP:port of the node's peer listener
	Incarnation Incarnation
}

// CallLimits are what a call hands down to the calls made on its behalf.
type CallLimits struct {
	Depth       int
	RetriesLeft int
}
