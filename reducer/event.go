package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Event is one input, with the time and the random number on which decisions about it are based.
type Event struct {
	Now   time.Duration // monotonic time since the process started
	Rand  uint64        // uniformly distributed
	Input Input
}

// Input is implemented by the input types of this package.
type Input interface{ input() }

// RefusalOutcome returns the outcome of a call that is refused without asking the owner of its idempotency
// key. A call with a key may repeat a request that has run, unless the caller states that it is the first
// attempt.
func (in CallArrived) RefusalOutcome() Outcome {
	if in.IdempotencyKey != "" && !in.FirstAttempt {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// CallArrived reports a request of a caller whose headers have been read.
type CallArrived struct {
	Call           Handle
	Host           string
	Method         string
	Path           string
	BodyBytes      int64 // declared length; 0 when there is no body, -1 when the length is not known
	IdempotencyKey string
	FirstAttempt   bool          // the caller states that it has not sent this request before
	Timeout        time.Duration // 0 when the caller set none
	Depth          int           // number of calls that this one is nested in
	RetriesLeft    int           // retries that the outer call has left; -1 when the caller did not send this number
	Parent         CallID        // the outer call; zero when it is not known
	RequestID      string        // the caller's identifier of the request; for logs only
	Credential     Credential
	// Pipelined is set for a request without a body that arrived while a request ahead of it on its connection is still
	// being served. PostponeCall answers one that must not be begun yet.
	Pipelined bool
}

// Credential is the key that a request carries.
type Credential struct {
	Valid bool                  // there is exactly one key, of an allowed length
	Key   tables.KeyFingerprint // zero unless Valid is set
}

// BodyRead reports that the request body has been read, or why reading it failed.
type BodyRead struct {
	Call   Handle
	Bytes  int64
	Result BodyResult
}

// BodyResult says how reading a body ended.
type BodyResult uint8

// The ways in which reading a request body ends.
const (
	BodyComplete BodyResult = iota + 1
	BodyTooLarge
	BodyIncomplete
)

// CallerGone reports that the caller closed its connection before it received a response.
type CallerGone struct{ Call Handle }

// ForwardResult says how an attempt to forward a call ended.
type ForwardResult uint8

// The ways in which a forwarded attempt ends.
const (
	ForwardAnswered ForwardResult = iota + 1 // the target answered
	ForwardNotSent                           // no byte of the call left this node
	ForwardLost                              // the connection failed after the call may have been sent
)

// ForwardDone reports the end of an attempt that a Forward effect started.
type ForwardDone struct {
	Call    Handle
	Attempt int
	Result  ForwardResult
	Outcome Outcome // for ForwardAnswered
	Reason  Reason
	Status  int // HTTP status of the backend server's response, for OutcomeDone
	Load    LoadReport
	Took    time.Duration // time that the call spent at the target; 0 when the target did not report it
	// RetriesUsed is the number of retries of calls that were made on behalf of this one.
	RetriesUsed int
	Bytes       int64  // of the response body
	Problem     string // what is wrong with a response that is not delivered because of it; empty for any other
}

// ProbeDone reports that the connection of a forwarded attempt answered a Probe. When it does not answer,
// the runner closes it and the attempt ends with ForwardLost.
type ProbeDone struct {
	Call    Handle
	Attempt int
}

// SettleDone reports the answer to a Settle effect.
type SettleDone struct {
	Call     Handle
	Attempt  int
	Answered bool // false when the target could not be reached
	Outcome  Outcome
	Reason   Reason
	Status   int
	Load     LoadReport
	Problem  string // as in ForwardDone
}

// ForwardArrived reports a call that a peer forwarded to this node.
type ForwardArrived struct {
	Call              Handle
	ID                CallID
	Attempt           int
	Route             string
	Pool              string
	Priority          int
	Idempotent        bool
	Key               string // idempotency key; empty when there is none
	KeyRetention      time.Duration
	TimeLeft          time.Duration
	DueIn             time.Duration // until the due time, the end of the route's target latency; negative once it has passed, 0 for none
	TargetIncarnation Incarnation
	BodyBytes         int64
	Limits            CallLimits
	RequestID         string // the caller's identifier of the request; for logs only
	Streaming         bool   // the peer can take the response while it is received
	Workspace         string // whose key the caller sent; empty for none
	Nested            bool   // a backend server made the call for a request that it runs
}

// ForwarderGone reports that the peer connection on which a forwarded call arrived was closed.
type ForwarderGone struct{ Call Handle }

// SettleArrived reports a peer's Settle request: it asks for the outcome of an attempt. An attempt that this
// node does not know is fenced, so that it will not run here when it arrives later.
//
// With TakeKey every call with the idempotency key is fenced, because the peer is about to send its call to
// another owner of the key.
type SettleArrived struct {
	Exchange          Handle
	ID                CallID
	Attempt           int
	TakeKey           bool
	Route             string
	Key               string
	KeyRetention      time.Duration
	TargetIncarnation Incarnation
	TimeLeft          time.Duration
}

// CancelArrived reports that no response to an attempt of a call, or to an earlier one, is needed any more. It may overtake
// the attempt, which travels on another connection.
type CancelArrived struct {
	ID      CallID
	Attempt int // 0 when it is not known
}

// BackendResult says how a request to the backend server ended.
type BackendResult uint8

// The ways in which a request to the backend server ends.
const (
	BackendAnswered    BackendResult = iota + 1 // a complete response arrived
	BackendShed                                 // the backend server stated that it did not run the request
	BackendNotSent                              // no byte of the request was sent
	BackendFailed                               // the connection failed after the request may have been sent
	BackendAborted                              // ended by AbortBackendRequest or by the deadline
	BackendMisdirected                          // another backend server now has the address; it did not run the request
	BackendOversized                            // the response was cut because it was too large; the request has run
	BackendMalformed                            // what arrived is no valid response; the request may have run
)

// BackendRequestDone reports the end of a request that a StartBackendRequest effect sent, or, with Streaming, that the
// first part of its response has arrived.
type BackendRequestDone struct {
	Call      Handle
	Result    BackendResult
	Status    int
	Bytes     int64 // size of the response body
	KeptBytes int64 // bytes of the response that are kept for later copies of the call
	Elapsed   time.Duration
	Streaming bool   // the backend server still sends the response; BackendStreamEnded reports its end
	Problem   string // what is wrong with the response, for BackendMalformed
}

// BackendStreamEnded reports that the backend server no longer works on a request whose BackendRequestDone was
// Streaming: the response is complete, broke off, or nobody takes it any more.
type BackendStreamEnded struct{ Call Handle }

// ResponseGrows asks to hold up to Bytes bytes of the response to a request that StartBackendRequest sent, which is being
// received. A runner asks before it holds more than FreeResponseBytes, and again each time it needs more.
// AnswerResponseGrowth answers.
type ResponseGrows struct {
	Call     Handle
	Exchange Handle
	Bytes    int64
}

// BackendRegistered reports a registration of the backend server beside this node. The backend server
// repeats it each second as its heartbeat.
//
// Registrations are ordered by Born and then by Sequence; one that is older than the newest seen changes
// nothing. Registrations without these two fields are ordered by arrival.
type BackendRegistered struct {
	Service  string
	Address  string // IP:port
	Slots    int
	Draining bool
	Instance string        // identifies the incarnation of the backend server
	Born     int64         // start of the incarnation in Unix milliseconds, 0 when it is not known
	Sequence uint64        // increases within an incarnation, 0 when it is not known
	Version  string        // of the backend server's software; empty if it states none
	ColdLeft time.Duration // for which the backend server is slow after its start
	Exchange Handle        // answered by AcknowledgeBackend; 0 when no answer is needed
}

// BackendDeregistered reports that the backend server has deregistered. It gets no new calls.
type BackendDeregistered struct {
	Instance string
	Born     int64  // 0 when it is not known
	Exchange Handle // answered by AcknowledgeBackend; 0 when no answer is needed
}

// DeregistrationStored reports the result of a StoreDeregistration effect.
type DeregistrationStored struct {
	Exchange Handle
	Instance string
	At       int64
	Result   StoreResult
}

// DeregistrationRead reports the result of a ReadDeregistration effect: StoreOK when that incarnation of the
// backend server has deregistered, StoreAbsent when it has not.
type DeregistrationRead struct {
	Instance string
	At       int64 // latest start of an incarnation that has deregistered, in Unix milliseconds
	Result   StoreResult
}

// DeregistrationsListed reports the result of a ListDeregistrations effect.
type DeregistrationsListed struct {
	Result  StoreResult
	Records []StoredDeregistration
}

// StoredDeregistration is the record of a deregistration in the platform's store.
type StoredDeregistration struct {
	Instance string
	LeftAt   int64  // in Unix milliseconds
	Revision uint64 // of the last write of the record
}

// SettingsChanged carries settings that were changed while the process runs.
type SettingsChanged struct{ Tunables Tunables }

// TimerDue reports that the time of the last WakeAt effect has been reached.
type TimerDue struct{}

// ShutdownRequested starts a graceful shutdown.
type ShutdownRequested struct{}

// StatusRequested asks for a Status.
type StatusRequested struct{ Exchange Handle }

// StoreAnswered carries the result of a call to the platform's store that was answered.
type StoreAnswered struct {
	Era    uint64 // latest era that the answers of the call state; 0 if they state none
	Mixed  bool   // the call took several steps, and their answers are of several eras
	Answer StoreAnswer
}

// StoreRead reports the result of a ReadStore or WatchStore effect.
type StoreRead struct {
	Result   StoreResult
	Watch    bool
	After    storeera.Revision // of the WatchStore effect
	Document tables.Document   // for StoreOK
	Revision uint64            // revision of the store after which the next watch starts
	Problem  string            // for StoreMalformed
}

// LeaseGranted reports the result of a GrantLease effect.
type LeaseGranted struct {
	Result StoreResult
	Lease  uint64
}

// LeaseRenewed reports the result of a RenewLease effect.
type LeaseRenewed struct {
	Result StoreResult
	Lease  uint64
}

// NodeAnnounced reports the result of an AnnounceNode effect.
type NodeAnnounced struct {
	Result StoreResult
	Lease  uint64
}

// NodesListed reports the result of a ListNodes effect.
type NodesListed struct {
	Result  StoreResult
	Nodes   []NodeEntry
	Invalid []InvalidEntry // entries that are left out
}

// InvalidEntry is an entry in the store that cannot be used, such as one of another writer.
type InvalidEntry struct {
	Key     string
	Problem string
}

// NodeEntry is the entry that a node writes into the platform's store so that other nodes can reach it.
type NodeEntry struct {
	Node    NodeID `json:"node"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // IP:port of the peer listener
	// Members is the number of members that the node knew when it wrote the entry, or 0 if it limits no workspace.
	Members int `json:"members,omitempty"`
}

// RolloutsRead reports the result of a ReadRollouts effect: the orders and the stored states of all roll-outs.
type RolloutsRead struct {
	Result   StoreResult
	Revision uint64 // of the store, after which the next watch starts
	Orders   []rollout.Order
	States   []rollout.Stored
}

// RolloutsChanged reports the end of a WatchRollouts effect: StoreOK if an order may have changed.
type RolloutsChanged struct {
	Result   StoreResult
	After    storeera.Revision // of the effect
	Revision uint64
}

// RolloutLeaseHeld reports the result of a HoldRolloutLease effect: StoreConflict if another node decides.
type RolloutLeaseHeld struct {
	Service string
	Result  StoreResult
	Lease   uint64
	Fence   uint64 // revision of the decider's key, which a write expects
}

// RolloutWritten reports the result of a WriteRollout effect.
type RolloutWritten struct {
	Service  string
	Result   StoreResult
	Revision uint64 // of the state, after StoreOK
}

// StoreResult says how a call to the platform's store ended.
type StoreResult uint8

// The ways in which a call to the platform's store ends.
const (
	StoreOK StoreResult = iota + 1
	StoreAbsent
	StoreUnchanged   // a watch ended without a change
	StoreHistoryGone // the store no longer has the history since the revision of the watch
	StoreNoLease     // the lease has expired or was ended
	StoreUnknown     // no answer in time, or an unreadable one
	StoreMalformed   // the stored value is not a document
	StoreConflict    // nothing was written: another writer was first
	StoreOutdated    // the answer is of an earlier era of the store
)

var storeResultNames = [...]string{"", "ok", "absent", "unchanged", "history_gone", "no_lease", "unknown", "malformed", "conflict", "outdated"}

func (r StoreResult) String() string {
	if int(r) < len(storeResultNames) {
		return storeResultNames[r]
	}
	return "invalid"
}

// TablesChecked reports the result of a CheckTables effect.
type TablesChecked struct {
	Document tables.Document
	Snapshot *tables.Snapshot // nil when the document was rejected
	Problem  string
	Damaged  bool         // the content does not match its hash
	Delta    tables.Delta // from the effect's Base to Document; zero when the effect had no Base
}

// HandOverDone reports the result of a HandOver effect: whether the node accepted the records.
type HandOverDone struct {
	To       PeerRef
	Accepted bool
}

// RecordsArrived reports records that a leaving node hands over. The runner has already stored the response
// of each record under the handle in its Call field.
type RecordsArrived struct {
	Exchange Handle
	Records  []KeyRecord
}

// PeerMessage reports a control message from a peer.
type PeerMessage struct {
	From    PeerRef
	Message Message
}

// PeerSendFailed reports that a control message could not be delivered.
type PeerSendFailed struct {
	To PeerRef
	// Refused is true when the connection to the peer's address was refused. This happens when the
	// process has ended, and not when it is paused or behind a partition.
	Refused bool
}

func (CallArrived) input()           {}
func (BodyRead) input()              {}
func (CallerGone) input()            {}
func (ForwardDone) input()           {}
func (ProbeDone) input()             {}
func (SettleDone) input()            {}
func (ForwardArrived) input()        {}
func (ForwarderGone) input()         {}
func (SettleArrived) input()         {}
func (CancelArrived) input()         {}
func (BackendRequestDone) input()    {}
func (BackendStreamEnded) input()    {}
func (ResponseGrows) input()         {}
func (BackendRegistered) input()     {}
func (BackendDeregistered) input()   {}
func (DeregistrationStored) input()  {}
func (DeregistrationRead) input()    {}
func (DeregistrationsListed) input() {}
func (SettingsChanged) input()       {}
func (TimerDue) input()              {}
func (ShutdownRequested) input()     {}
func (StatusRequested) input()       {}
func (StoreAnswered) input()         {}
func (StoreRead) input()             {}
func (LeaseGranted) input()          {}
func (LeaseRenewed) input()          {}
func (NodeAnnounced) input()         {}
func (NodesListed) input()           {}
func (TablesChecked) input()         {}
func (HandOverDone) input()          {}
func (RecordsArrived) input()        {}
func (RolloutsRead) input()          {}
func (RolloutsChanged) input()       {}
func (RolloutLeaseHeld) input()      {}
func (RolloutWritten) input()        {}
func (PeerMessage) input()           {}
func (PeerSendFailed) input()        {}
