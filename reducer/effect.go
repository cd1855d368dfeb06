package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Effect is one of the effect types in this package. Effects are carried out in the order in which
// Reduce returns them.
type Effect interface{ effect() }

// CallEffect is an effect for the traffic goroutine of one call or exchange.
type CallEffect interface {
	Effect
	CallHandle() Handle
}

// ReadBody tells the goroutine of an arrived call to read the request body.
type ReadBody struct {
	Call  Handle
	Limit int64
}

// Respond ends an arrived call without a response of the backend server.
type Respond struct {
	Call       Handle
	ID         CallID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // 0 when the caller is given no hint
}

// Deliver ends an arrived call with a response: the one kept for the call AnswerOf when that is not 0,
// else the one that the named attempt brought.
type Deliver struct {
	Call     Handle
	ID       CallID
	Attempt  int
	AnswerOf Handle
}

// Forward sends an arrived call to the target node.
type Forward struct {
	Call         Handle
	Attempt      int
	To           PeerRef
	ID           CallID
	Route        string
	Pool         string
	Priority     int
	Idempotent   bool
	Key          string
	KeyRetention time.Duration
	TimeLeft     time.Duration
	DueIn        time.Duration // until the response loses worth, negative when it has; 0 when that is not known
	Limits       CallLimits
	RequestID    string
}

// Probe checks that the connection of a forwarded attempt still answers, within Timeout. A connection
// that does not is closed, which ends the attempts on it as lost.
type Probe struct {
	Call    Handle
	Attempt int
	To      PeerRef
	Timeout time.Duration
}

// Settle asks a node for the outcome of an attempt, and fences it there. With TakeKey it asks for the
// call's key instead, and fences the key.
type Settle struct {
	Call         Handle
	Attempt      int
	TakeKey      bool
	To           PeerRef
	ID           CallID
	Route        string
	Key          string
	KeyRetention time.Duration
	TimeLeft     time.Duration
}

// Cancel tells a target node that nobody waits for a call any more.
type Cancel struct {
	To PeerRef
	ID CallID
}

// StartBackend sends a call to the backend server beside this node.
type StartBackend struct {
	Call     Handle
	ID       CallID
	Address  string
	Instance string        // the life of the backend server that may run it; empty allows any
	TimeLeft time.Duration // what the backend server is told
	Bound    time.Duration // when the request is given up; longer than TimeLeft for a call that runs on
	Limits   CallLimits
	// KeepAnswer keeps the response until DropAnswer, so that others can be given it.
	KeepAnswer bool
}

// AbortBackend ends a request to the backend server whose response nobody needs.
type AbortBackend struct{ Call Handle }

// AnswerForward ends a forwarded call. When the outcome is done the response is that of the call
// AnswerOf, which is the call itself unless another copy of it ran.
type AnswerForward struct {
	Call        Handle
	ID          CallID
	Outcome     Outcome
	Reason      Reason
	Status      int
	AnswerOf    Handle
	Load        LoadReport
	Took        time.Duration // since the call arrived; 0 when it is not known
	RetriesUsed int           // by calls made on behalf of this one
}

// AnswerSettle ends an exchange that SettleArrived began.
type AnswerSettle struct {
	Exchange Handle
	Outcome  Outcome
	Reason   Reason
	Status   int
	AnswerOf Handle
	Load     LoadReport
}

// DropAnswer releases a response that StartBackend kept.
type DropAnswer struct{ Call Handle }

// HandOver gives records of keys to another node, with the responses that are kept for them.
type HandOver struct {
	To      PeerRef
	Records []KeyRecord
	bytes   int64
}

// AcceptRecords ends an exchange that RecordsArrived began.
type AcceptRecords struct {
	Exchange Handle
	Accepted bool
}

// ConfigureBackend sets the address of the backend server and the bound of connections to it.
type ConfigureBackend struct {
	Address        string
	MaxConnections int
}

// ReadStore reads the document of both tables from the platform.
type ReadStore struct{}

// WatchStore waits at the platform for a document after a revision.
type WatchStore struct{ After uint64 }

// GrantLease asks the platform for a lease.
type GrantLease struct{ TTL time.Duration }

// RenewLease starts the TTL of a lease anew.
type RenewLease struct{ Lease uint64 }

// EndLease ends a lease and removes the entry that it holds. Its result is not reported.
type EndLease struct{ Lease uint64 }

// AnnounceNode writes the entry of this node, which lasts as long as the lease.
type AnnounceNode struct {
	Lease uint64
	Entry NodeEntry
}

// KeepLeave writes that a life of the backend server leaves, for as long as the TTL.
type KeepLeave struct {
	Exchange Handle
	Instance string
	At       int64 // when it said so, in Unix milliseconds
	TTL      time.Duration
}

// ReadLeave asks whether a life of the backend server has left.
type ReadLeave struct{ Instance string }

// AcknowledgeBackend answers what the backend server beside this node has said.
type AcknowledgeBackend struct{ Exchange Handle }

// ListNodes reads the entries of all nodes, which may be seconds old.
type ListNodes struct{}

// CheckTables parses and checks a version outside the control thread: a document, or a delta to the base.
type CheckTables struct {
	Document tables.Document // unless Delta is set
	Delta    *tables.Delta
	Base     tables.Document // the active version; zero when there is none
}

// Publish makes a snapshot known to the operator endpoints.
type Publish struct{ Snapshot *tables.Snapshot }

// Send sends a control message to a peer.
type Send struct {
	To      PeerRef
	Message Message
}

// WakeAt asks for a TimerDue event at the given time; it replaces the time asked for before.
type WakeAt struct{ At time.Duration }

// AnswerStatus answers StatusRequested.
type AnswerStatus struct {
	Exchange Handle
	Status   Status
}

// CallFinished reports an arrived call for metrics, logs and traces.
type CallFinished struct {
	Call      Handle
	ID        CallID
	RequestID string
	Target    NodeID // of the last attempt; empty when there was none
	Version   uint64 // of the tables that the call was handled by
	Route     string
	Priority  int
	Outcome   Outcome
	Reason    Reason
	Attempts  int
	Elapsed   time.Duration
	TimeLeft  time.Duration // of what the caller allowed
}

// CallQueued reports how long a call waited at this node for a slot.
type CallQueued struct {
	Call     Handle
	Priority int
	Wait     time.Duration
}

// Log writes a log line.
type Log struct {
	Level   LogLevel
	Message string
	Fields  []Field
	Call    bool // about one call, so that its volume grows with the load
}

// LogLevel is the level of a log line.
type LogLevel uint8

// The levels of log lines.
const (
	LevelDebug LogLevel = iota
	LevelInfo
	LevelWarn
	LevelError
)

// Field is a key and a value of a log line.
type Field struct {
	Key   string
	Value any
}

// CloseListener stops taking new connections of callers; open ones end after their call.
type CloseListener struct{}

// StopProcess ends the process after a graceful shutdown.
type StopProcess struct{}

func (ReadBody) effect()           {}
func (Respond) effect()            {}
func (Deliver) effect()            {}
func (Forward) effect()            {}
func (Probe) effect()              {}
func (Settle) effect()             {}
func (Cancel) effect()             {}
func (StartBackend) effect()       {}
func (AbortBackend) effect()       {}
func (AnswerForward) effect()      {}
func (AnswerSettle) effect()       {}
func (DropAnswer) effect()         {}
func (HandOver) effect()           {}
func (AcceptRecords) effect()      {}
func (ConfigureBackend) effect()   {}
func (ReadStore) effect()          {}
func (WatchStore) effect()         {}
func (GrantLease) effect()         {}
func (RenewLease) effect()         {}
func (EndLease) effect()           {}
func (AnnounceNode) effect()       {}
func (ListNodes) effect()          {}
func (KeepLeave) effect()          {}
func (ReadLeave) effect()          {}
func (AcknowledgeBackend) effect() {}
func (CheckTables) effect()        {}
func (Publish) effect()            {}
func (Send) effect()               {}
func (WakeAt) effect()             {}
func (AnswerStatus) effect()       {}
func (CallFinished) effect()       {}
func (CallQueued) effect()         {}
func (Log) effect()                {}
func (CloseListener) effect()      {}
func (StopProcess) effect()        {}

// CallHandle returns the handle of the goroutine that the effect is for.
func (e ReadBody) CallHandle() Handle           { return e.Call }
func (e Respond) CallHandle() Handle            { return e.Call }
func (e Deliver) CallHandle() Handle            { return e.Call }
func (e Forward) CallHandle() Handle            { return e.Call }
func (e Probe) CallHandle() Handle              { return e.Call }
func (e Settle) CallHandle() Handle             { return e.Call }
func (e StartBackend) CallHandle() Handle       { return e.Call }
func (e AbortBackend) CallHandle() Handle       { return e.Call }
func (e AnswerForward) CallHandle() Handle      { return e.Call }
func (e AnswerSettle) CallHandle() Handle       { return e.Exchange }
func (e AcceptRecords) CallHandle() Handle      { return e.Exchange }
func (e AcknowledgeBackend) CallHandle() Handle { return e.Exchange }
func (e AnswerStatus) CallHandle() Handle       { return e.Exchange }
