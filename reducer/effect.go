package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Effect is implemented by the effect types of this package. Effects are carried out in the order in which
// Reduce returns them.
type Effect interface{ effect() }

// CallEffect is an effect that the traffic goroutine of one call or exchange carries out.
type CallEffect interface {
	Effect
	CallHandle() Handle
}

// ReadBody tells the goroutine of an arrived call to read the request body.
type ReadBody struct {
	Call  Handle
	Limit int64 // bytes
}

// FailCall ends a call of a caller without a response of the backend server. The outcome says whether the call
// did not run or may have run.
type FailCall struct {
	Call       Handle
	ID         CallID
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration // value of the Retry-After header; 0 for none
}

// PostponeCall ends the exchange of a pipelined call that was not begun. The call arrives again when the requests ahead of
// it on its connection have been answered.
type PostponeCall struct{ Call Handle }

// Deliver ends a call of a caller with a response: the one that is kept for the call ResponseOf, or, when
// ResponseOf is 0, the one that the given attempt received.
type Deliver struct {
	Call       Handle
	ID         CallID
	Attempt    int
	ResponseOf Handle
}

// Forward sends a call of a caller to the target node. ForwardDone reports the end of the attempt.
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
	DueIn        time.Duration // as in ForwardArrived
	Limits       CallLimits
	RequestID    string
	Streaming    bool // the response may be passed on while it is received
	Workspace    string
	Nested       bool // as in ForwardArrived
	BodyAhead    bool // the body is offered to the target and sent before the call
}

// Probe checks whether the connection of a forwarded attempt answers within Timeout. A connection that does
// not is closed, which ends all attempts on it with ForwardLost.
type Probe struct {
	Call    Handle
	Attempt int
	To      PeerRef
	Timeout time.Duration
}

// Settle asks a node for the outcome of an attempt and fences the attempt there, so that an attempt that has
// not started will not. With TakeKey it asks for the outcome of any call with the idempotency key, and fences
// the key. SettleDone reports the answer.
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

// Cancel tells a target node that no response to an attempt of a call, or to an earlier one, is needed any more.
type Cancel struct {
	To      PeerRef
	ID      CallID
	Attempt int
}

// StartBackendRequest sends a call to the backend server beside this node. BackendRequestDone reports its end.
type StartBackendRequest struct {
	Call     Handle
	ID       CallID
	Address  string
	Instance string        // incarnation of the backend server that may run the call; empty allows any
	TimeLeft time.Duration // remaining time that the backend server is told
	Timeout  time.Duration // timeout of the request; longer than TimeLeft for a call that is not idempotent
	// ResponseTail is how long the head and the body of the response may each take beyond TimeLeft or, when they begin later,
	// beyond their begin; 0 for no bound but Timeout.
	ResponseTail time.Duration
	Limits       CallLimits
	Streaming    bool   // a long response is passed on while it is received
	Workspace    string // that the backend server is told; empty for none
	// KeepResponse keeps the response until DropResponse, so that copies of the call can be answered with it.
	KeepResponse bool
}

// AnswerResponseGrowth answers ResponseGrows. Allowed is false for a response that must be cut, which may also follow an
// earlier answer: then the request ends with BackendOversized.
type AnswerResponseGrowth struct {
	Exchange Handle
	Allowed  bool
}

// AbortBackendRequest ends a request to the backend server whose response is not needed any more.
type AbortBackendRequest struct{ Call Handle }

// AnswerForward answers a call that a peer forwarded. For OutcomeDone the response is that of the call
// ResponseOf, which is the call itself unless another copy of it ran.
type AnswerForward struct {
	Call        Handle
	ID          CallID
	Outcome     Outcome
	Reason      Reason
	Status      int
	ResponseOf  Handle
	Load        LoadReport
	Took        time.Duration // time since the call arrived; 0 when it is not known
	RetriesUsed int           // retries of calls that were made on behalf of this one
}

// AnswerSettle answers SettleArrived.
type AnswerSettle struct {
	Exchange   Handle
	Outcome    Outcome
	Reason     Reason
	Status     int
	ResponseOf Handle
	Load       LoadReport
}

// DropResponse releases the response that is kept for a call.
type DropResponse struct{ Call Handle }

// HandOver sends the execution records of idempotency keys to another node, with the responses that are kept
// for them. HandOverDone reports the result.
type HandOver struct {
	To      PeerRef
	Records []KeyRecord
	bytes   int64 // of the response bodies
}

// AcceptRecords answers RecordsArrived.
type AcceptRecords struct {
	Exchange Handle
	Accepted bool
}

// ConfigureBackend sets the address of the backend server and the largest number of connections to it.
type ConfigureBackend struct {
	Address        string
	MaxConnections int
}

// ReadStore reads the document with both tables from the platform's store.
type ReadStore struct{}

// WatchStore waits for a change of the document in the platform's store after a revision. It ends a watch that is still
// waiting, whose result is then not reported.
type WatchStore struct{ After storeera.Revision }

// EndWatch ends the watch that WatchStore began, if it is still waiting. Its result is not reported.
type EndWatch struct{}

// GrantLease requests a lease from the platform's store.
type GrantLease struct{ TTL time.Duration }

// RenewLease restarts the TTL of a lease.
type RenewLease struct{ Lease uint64 }

// EndLease ends a lease, which removes the entry that is bound to it. Its result is not reported.
type EndLease struct{ Lease uint64 }

// AnnounceNode writes the entry of this node into the platform's store, bound to the lease.
type AnnounceNode struct {
	Lease uint64
	Entry NodeEntry
}

// StoreDeregistration stores that the incarnations of the backend server that started up to a time have deregistered, unless the
// store has a record that covers it. The record has no lease, because leases may end while the store is away.
// DeregistrationStored reports the result.
type StoreDeregistration struct {
	Exchange Handle // that waits for it; 0 when none does
	Instance string
	At       int64 // latest start of such an incarnation in Unix milliseconds
	LeftAt   int64 // now, in Unix milliseconds
}

// ListDeregistrations lists the records of deregistrations in the platform's store. They may be seconds out of date.
type ListDeregistrations struct{}

// RemoveDeregistrations removes records of deregistrations that have not been written since they were listed. Its result is not reported.
type RemoveDeregistrations struct{ Records []StoredDeregistration }

// ReadDeregistration asks the platform's store whether an incarnation of the backend server has deregistered.
type ReadDeregistration struct{ Instance string }

// AcknowledgeBackend answers BackendRegistered or BackendDeregistered.
type AcknowledgeBackend struct {
	Exchange Handle
	// Refused is set if a deregistration is not kept outside this process. The backend server has to repeat it.
	Refused bool
}

// ListNodes reads the entries of all nodes from the platform's store. They may be seconds out of date.
type ListNodes struct{}

// ReadRollouts reads the orders and the stored states of all roll-outs from the platform's store.
type ReadRollouts struct{}

// WatchRollouts waits for a change of an order in the platform's store after a revision.
type WatchRollouts struct{ After storeera.Revision }

// HoldRolloutLease renews the lease by which this node decides the roll-out of a service, or acquires one if Lease is 0.
type HoldRolloutLease struct {
	Service string
	Node    NodeID
	Lease   uint64
	TTL     time.Duration
}

// WriteRollout writes the state of a roll-out and its status in one transaction, if the decider's key still has the
// revision Fence and the state the one it was read with.
type WriteRollout struct {
	Rollout rollout.Stored
	Fence   uint64
}

// RolloutObserved reports, for metrics, what a decider counts of a roll-out.
type RolloutObserved struct {
	Service, Version string
	State            rollout.State
	Step             int
	Share            float64
	Finding          rollout.Finding
}

// CheckTables parses and checks a version outside the control thread. The version is given as a document,
// or as a delta to Base.
type CheckTables struct {
	Document tables.Document // unless Delta is set
	Delta    *tables.Delta
	Base     *tables.Snapshot // the active version; nil when there is none
}

// Publish passes a newly active snapshot to the operator endpoints.
type Publish struct{ Snapshot *tables.Snapshot }

// Send sends a control message to a peer.
type Send struct {
	To      PeerRef
	Message Message
}

// WakeAt requests a TimerDue input at the given time. It replaces the request before it.
type WakeAt struct{ At time.Duration }

// AnswerStatus answers StatusRequested.
type AnswerStatus struct {
	Exchange Handle
	Status   Status
}

// CallFinished reports the end of a call of a caller for metrics, logs and traces.
type CallFinished struct {
	Call      Handle
	ID        CallID
	RequestID string
	Target    NodeID // target of the last attempt; empty when there was none
	Version   uint64 // version of the tables that applied to the call
	Route     string
	Workspace string // whose key the caller sent; empty for none
	Priority  int
	Outcome   Outcome
	Reason    Reason
	Attempts  int
	Elapsed   time.Duration
	TimeLeft  time.Duration // until the deadline of the call
	Nested    bool          // a backend server made the call for a request that it runs
}

// CallQueued reports how long a call waited at this node for a slot of the backend server.
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
	PerCall bool // the line is about one call, so the number of such lines grows with the load
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

// CloseListener stops accepting connections from callers. Open connections are closed after their current call.
type CloseListener struct{}

// StopProcess ends the process after a graceful shutdown.
type StopProcess struct{}

func (ReadBody) effect()              {}
func (FailCall) effect()              {}
func (PostponeCall) effect()          {}
func (Deliver) effect()               {}
func (Forward) effect()               {}
func (Probe) effect()                 {}
func (Settle) effect()                {}
func (Cancel) effect()                {}
func (StartBackendRequest) effect()   {}
func (AnswerResponseGrowth) effect()  {}
func (AbortBackendRequest) effect()   {}
func (AnswerForward) effect()         {}
func (AnswerSettle) effect()          {}
func (DropResponse) effect()          {}
func (HandOver) effect()              {}
func (AcceptRecords) effect()         {}
func (ConfigureBackend) effect()      {}
func (ReadStore) effect()             {}
func (WatchStore) effect()            {}
func (EndWatch) effect()              {}
func (GrantLease) effect()            {}
func (RenewLease) effect()            {}
func (EndLease) effect()              {}
func (AnnounceNode) effect()          {}
func (ListNodes) effect()             {}
func (StoreDeregistration) effect()   {}
func (ReadDeregistration) effect()    {}
func (ListDeregistrations) effect()   {}
func (RemoveDeregistrations) effect() {}
func (AcknowledgeBackend) effect()    {}
func (ReadRollouts) effect()          {}
func (WatchRollouts) effect()         {}
func (HoldRolloutLease) effect()      {}
func (WriteRollout) effect()          {}
func (RolloutObserved) effect()       {}
func (CheckTables) effect()           {}
func (Publish) effect()               {}
func (Send) effect()                  {}
func (WakeAt) effect()                {}
func (AnswerStatus) effect()          {}
func (CallFinished) effect()          {}
func (CallQueued) effect()            {}
func (Log) effect()                   {}
func (CloseListener) effect()         {}
func (StopProcess) effect()           {}

// CallHandle returns the handle of the goroutine that carries out the effect.
func (e ReadBody) CallHandle() Handle             { return e.Call }
func (e FailCall) CallHandle() Handle             { return e.Call }
func (e PostponeCall) CallHandle() Handle         { return e.Call }
func (e Deliver) CallHandle() Handle              { return e.Call }
func (e Forward) CallHandle() Handle              { return e.Call }
func (e Probe) CallHandle() Handle                { return e.Call }
func (e Settle) CallHandle() Handle               { return e.Call }
func (e StartBackendRequest) CallHandle() Handle  { return e.Call }
func (e AnswerResponseGrowth) CallHandle() Handle { return e.Exchange }
func (e AbortBackendRequest) CallHandle() Handle  { return e.Call }
func (e AnswerForward) CallHandle() Handle        { return e.Call }
func (e AnswerSettle) CallHandle() Handle         { return e.Exchange }
func (e AcceptRecords) CallHandle() Handle        { return e.Exchange }
func (e AcknowledgeBackend) CallHandle() Handle   { return e.Exchange }
func (e AnswerStatus) CallHandle() Handle         { return e.Exchange }
