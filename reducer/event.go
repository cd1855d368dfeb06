package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Event is one input with the time and the random number that decisions on it may use.
type Event struct {
	Now   time.Duration // monotonic time since the process started
	Rand  uint64        // uniform random number
	Input Input
}

// Input is one of the input types in this package.
type Input interface{ input() }

// RefusalOutcome returns the outcome of a refusal without asking the key's owner. A call with an
// idempotency key may be the repeat of one that ran, unless its caller states otherwise.
func (in CallArrived) RefusalOutcome() Outcome {
	if in.IdempotencyKey != "" && !in.FirstAttempt {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// CallArrived reports a caller's request whose headers were read.
type CallArrived struct {
	Call           Handle
	Host           string
	Method         string
	Path           string
	BodyBytes      int64 // declared length; 0 when there is no body, -1 when it is not known
	IdempotencyKey string
	FirstAttempt   bool          // the caller states that it has not sent this request before
	Timeout        time.Duration // 0 when the caller named none
	Depth          int           // calls that this one is nested in
	RetriesLeft    int           // retries left of the outer call; -1 when there is none
	Parent         CallID        // the outer call; zero when it is not known
	RequestID      string        // by which the caller knows the request; for logs only
}

// BodyRead reports that the request body has been read, or why not.
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

// CallerGone reports that the caller closed its connection before it got a response.
type CallerGone struct{ Call Handle }

// ForwardResult says how an attempt to forward a call ended.
type ForwardResult uint8

// The ways in which a forwarded attempt ends.
const (
	ForwardAnswered ForwardResult = iota + 1 // the target answered
	ForwardNotSent                           // no byte of the call left this node
	ForwardLost                              // the connection failed after the call may have been sent
)

// ForwardDone reports the end of an attempt that the Forward effect began.
type ForwardDone struct {
	Call    Handle
	Attempt int
	Result  ForwardResult
	Outcome Outcome // when answered
	Reason  Reason
	Status  int // of the backend server's response when the outcome is done
	Load    LoadReport
	Took    time.Duration // that the target had the call; 0 when it did not say
	// RetriesUsed counts the retries of calls made on behalf of this one.
	RetriesUsed int
}

// ProbeDone reports that the connection of a forwarded attempt answered a Probe. When it does not, the
// runner closes it and the attempt ends as lost.
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
	DueIn             time.Duration // until the response loses worth, negative when it has; 0 when that is not known
	TargetIncarnation Incarnation
	BodyBytes         int64
	Limits            CallLimits
	RequestID         string // by which the caller knows the request; for logs only
}

// ForwarderGone reports that the connection on which a forwarded call arrived was closed.
type ForwarderGone struct{ Call Handle }

// SettleArrived asks for the outcome of a call and fences it when it is not known here.
//
// With TakeKey the whole key is fenced, because the asking node is about to send it to another owner.
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

// CancelArrived reports that nobody waits for a call any more.
type CancelArrived struct{ ID CallID }

// BackendResult says how a request to the backend server ended.
type BackendResult uint8

// The ways in which a request to the backend server ends.
const (
	BackendAnswered    BackendResult = iota + 1 // a whole response arrived
	BackendShed                                 // the backend server says that it did not run the request
	BackendNotSent                              // no byte of the request was sent
	BackendFailed                               // the connection failed after the request may have been sent
	BackendAborted                              // ended by AbortBackend or the deadline
	BackendMisdirected                          // another backend server has the address; it did not run the request
)

// BackendDone reports the end of a request that StartBackend began.
type BackendDone struct {
	Call    Handle
	Result  BackendResult
	Status  int
	Bytes   int64 // size of the response body
	Kept    int64 // bytes of the response kept for later copies
	Elapsed time.Duration
}

// BackendRegistered is the registration, and each second the heartbeat, of the backend server beside
// this node.
//
// Registrations are ordered by Born and then by Sequence; one that is older than the newest seen changes
// nothing. Without both they count in the order of their arrival.
type BackendRegistered struct {
	Service  string
	Address  string // IP:port
	Slots    int
	Draining bool
	Instance string // names the life of the backend server
	Born     int64  // start of the life in Unix milliseconds, 0 when it is not known
	Sequence uint64 // grows within one life, 0 when it is not known
	Exchange Handle // answered by AcknowledgeBackend; 0 when nobody waits
}

// BackendLeaves reports that the backend server has said that it leaves. It gets no new calls.
type BackendLeaves struct {
	Instance string
	Born     int64  // 0 when it is not known
	Exchange Handle // answered by AcknowledgeBackend; 0 when nobody waits
}

// LeaveKept reports the result of a KeepLeave effect.
type LeaveKept struct {
	Exchange Handle
	Result   StoreResult
}

// LeaveRead reports the result of a ReadLeave effect: StoreOK when a life of that name has left, StoreAbsent when none has.
type LeaveRead struct {
	Instance string
	At       int64 // when it said so, in Unix milliseconds
	Result   StoreResult
}

// SettingsChanged brings settings that were changed while the process lives.
type SettingsChanged struct{ Tunables Tunables }

// TimerDue reports that the time named by the last WakeAt effect has come.
type TimerDue struct{}

// ShutdownRequested starts a graceful shutdown.
type ShutdownRequested struct{}

// StatusRequested asks for a Status.
type StatusRequested struct{ Exchange Handle }

// StoreRead reports the result of a ReadStore or WatchStore effect.
type StoreRead struct {
	Result   StoreResult
	Watch    bool
	Document tables.Document // when found
	Revision uint64          // of the store, from which a watch continues
	Problem  string          // when malformed
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
	Result StoreResult
	Nodes  []NodeEntry
}

// NodeEntry is how a node can be reached, as the platform's store holds it.
type NodeEntry struct {
	Node    NodeID `json:"node"`
	Zone    string `json:"zone"`
	Address string `json:"address"` // IP:port of the peer listener
}

// StoreResult says how a call to the platform's store ended.
type StoreResult uint8

// The ways in which a call to the platform's store ends.
const (
	StoreOK StoreResult = iota + 1
	StoreAbsent
	StoreUnchanged   // a watch saw no change
	StoreHistoryGone // the store cannot tell what has changed
	StoreNoLease     // the lease has ended
	StoreUnknown     // no answer in time, or a broken one
	StoreMalformed   // the value is not a document
)

// TablesChecked reports the result of a CheckTables effect.
type TablesChecked struct {
	Document tables.Document
	Snapshot *tables.Snapshot // nil when the document was rejected
	Problem  string
	Damaged  bool         // the content does not have the hash that goes with it
	Delta    tables.Delta // from the base of the effect; zero when it had none
}

// HandOverDone reports whether a node took over the records of a HandOver effect.
type HandOverDone struct {
	To       PeerRef
	Accepted bool
}

// RecordsArrived reports records that a leaving node hands over. The response of a record is kept for
// its Call already.
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
	// Refused is true when the peer's address actively refused the connection, which a process that
	// has ended does and a paused or cut off one does not.
	Refused bool
}

func (CallArrived) input()       {}
func (BodyRead) input()          {}
func (CallerGone) input()        {}
func (ForwardDone) input()       {}
func (ProbeDone) input()         {}
func (SettleDone) input()        {}
func (ForwardArrived) input()    {}
func (ForwarderGone) input()     {}
func (SettleArrived) input()     {}
func (CancelArrived) input()     {}
func (BackendDone) input()       {}
func (BackendRegistered) input() {}
func (BackendLeaves) input()     {}
func (LeaveKept) input()         {}
func (LeaveRead) input()         {}
func (SettingsChanged) input()   {}
func (TimerDue) input()          {}
func (ShutdownRequested) input() {}
func (StatusRequested) input()   {}
func (StoreRead) input()         {}
func (LeaseGranted) input()      {}
func (LeaseRenewed) input()      {}
func (NodeAnnounced) input()     {}
func (NodesListed) input()       {}
func (TablesChecked) input()     {}
func (HandOverDone) input()      {}
func (RecordsArrived) input()    {}
func (PeerMessage) input()       {}
func (PeerSendFailed) input()    {}
