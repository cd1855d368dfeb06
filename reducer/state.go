package reducer

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Limits bounds what a node holds at one time.
type Limits struct {
	MaxCalls       int   // calls that callers sent to this node
	MaxBodyBytes   int64 // bytes reserved for request bodies
	MaxQueuedBytes int64 // bytes of request bodies queued for the backend server
	MaxRecords     int   // execution records and fences
	// MaxResponseBytes bounds the responses of the backend server that are being received, beside FreeResponseBytes of each.
	MaxResponseBytes int64
	MaxKeptBytes     int64 // bytes of responses kept with execution records
	MaxMembers       int
}

// DefaultLimits returns the limits of a node with 256 MB of memory for control state and 256 MB for bodies.
func DefaultLimits() Limits {
	return Limits{
		MaxCalls:         4096,
		MaxBodyBytes:     128 << 20,
		MaxQueuedBytes:   64 << 20,
		MaxRecords:       100_000,
		MaxResponseBytes: 64 << 20,
		MaxKeptBytes:     64 << 20,
		MaxMembers:       4096,
	}
}

// Config is the configuration of a node. Only the Tunables may change while the process runs.
type Config struct {
	Self        NodeID
	Zone        string
	Address     string // IP:port of the peer listener
	Operator    string // IP:port of the operator endpoints
	Incarnation Incarnation
	Seeds       []string // peer addresses of nodes to join through
	Discover    bool     // find other nodes through the platform's store
	Limits      Limits
	LinkMbps    float64 // rate of the instance's network link in each direction; 0 if it is not known
	Tunables
	// Tables is the version that the node starts with, for a program that embeds the state and distributes the tables
	// itself; nil for a node that receives them from the store or from peers.
	Tables   *tables.Snapshot
	Quotas   quota.Limits // how exactly the quotas of workspaces are kept; a Window of 0 is 5 s
	Rollouts rollout.Settings
	// LearnCapacity limits the requests at the backend server beside this node to what it has borne, once it resets or leaves
	// without an answer those that are beyond it.
	LearnCapacity bool
	Discipline    Discipline // order of the queue; measurements and tests set other values than the default
	// DisableNested treats nested calls like any others, for comparison in measurements and tests.
	DisableNested bool
	// DisableFairness treats calls of all workspaces as those of one, for the same purpose.
	DisableFairness bool
}

// Tunables are the settings that may change while the process runs.
type Tunables struct {
	ShutdownTimeout time.Duration // longest duration of a graceful shutdown
	RegistrationTTL time.Duration // TTL of the backend server's registration at this node; 0 is the default
	// RetryRatio and RetrySlack bound the retries of all nodes together: at most RetryRatio times the calls, plus
	// RetrySlack in any 10 s.
	RetryRatio float64
	RetrySlack int
}

// DefaultTunables returns the settings of a node that does not set its own.
func DefaultTunables() Tunables {
	return Tunables{ShutdownTimeout: time.Minute, RegistrationTTL: defaultRegistrationTTL, RetryRatio: 0.2, RetrySlack: 200}
}

// State is the control state of a node. It is not safe for concurrent use: one goroutine owns it.
type State struct {
	cfg     Config
	now     time.Duration
	rand    uint64 // state of the random number generator
	effects []Effect
	timers  *timers
	wakeAt  time.Duration // time of the last WakeAt effect; 0 when there was none

	config   configState
	members  memberState
	backend  backendState
	ingress  ingressState
	target   targetState
	nested   nestedState
	links    linkState
	fair     fairState
	owners   ownerState
	shutdown shutdownState
	platform platformState
	storeEra storeera.Tracker

	registration registrationState
	quota        quotaState
	rollouts     rolloutState
}

// New returns the state of a node that has just started. Its first timers fire with the first event.
func New(cfg Config) *State {
	if cfg.Tunables == (Tunables{}) {
		cfg.Tunables = DefaultTunables()
	}
	s := &State{cfg: cfg, timers: newTimers()}
	s.config.active = cfg.Tables
	s.links = newLinkState(cfg.LinkMbps)
	s.members.init(cfg)
	s.ingress.init()
	s.target.init()
	s.owners.init()
	s.quota.init(cfg.Quotas)
	s.target.queue.discipline = cfg.Discipline
	s.timers.set(timerKey{kind: timerHeartbeat}, 0)
	s.timers.set(timerKey{kind: timerStartupFetch}, 0)
	if cfg.Tables != nil {
		s.applyQuotas()
		s.effects = nil // logs of a version that the program gave
	}
	s.initRollouts()
	if cfg.Discover {
		s.timers.set(timerKey{kind: timerAnnounceNode}, 0)
		s.timers.set(timerKey{kind: timerListNodes}, 0)
		s.timers.set(timerKey{kind: timerDeregistrationSweep}, 0)
		s.timers.set(timerKey{kind: timerDeregistrationInquiry}, 0)
	}
	return s
}

// Reduce applies one event to the state and returns the effects to carry out, in order. It panics
// only when an invariant of the state is broken.
func Reduce(s *State, event Event) []Effect {
	s.now = event.Now
	s.rand = event.Rand
	s.effects = nil
	s.detectPause()
	// Due timers fire first, so that an event after a pause of this process finds a state that is up to date: a call
	// must not be started at a backend server whose registration has expired meanwhile.
	s.fireTimers()
	s.apply(event.Input)
	s.fireTimers()
	s.flushQuotas()
	s.updateWakeUp()
	return s.effects
}

func (s *State) apply(input Input) {
	switch in := input.(type) {
	case CallArrived:
		s.handleCallArrived(in)
	case BodyRead:
		s.handleBodyRead(in)
	case CallerGone:
		s.handleCallerGone(in)
	case ForwardDone:
		s.handleForwardDone(in)
	case ProbeDone:
		s.handleProbeDone(in)
	case SettleDone:
		s.handleSettleDone(in)
	case ForwardArrived:
		s.handleForwardArrived(in)
	case UploadOffered:
		s.handleUploadOffered(in)
	case ForwarderGone:
		s.handleForwarderGone(in)
	case SettleArrived:
		s.handleSettleArrived(in)
	case CancelArrived:
		s.handleCancelArrived(in)
	case BackendRequestDone:
		s.handleBackendRequestDone(in)
	case BackendStreamEnded:
		s.handleBackendStreamEnded(in)
	case ResponseGrows:
		s.handleResponseGrows(in)
	case BackendRegistered:
		s.handleBackendRegistered(in)
	case BackendDeregistered:
		s.handleBackendDeregistered(in)
	case TimerDue:
		// Reduce fires due timers with every event.
	case ShutdownRequested:
		s.handleShutdownRequested()
	case StatusRequested:
		s.emit(AnswerStatus{Exchange: in.Exchange, Status: s.status()})
	case StoreAnswered:
		s.handleStoreAnswered(in)
	case StoreRead:
		s.handleStoreRead(in)
	case LeaseGranted:
		s.handleLeaseGranted(in)
	case LeaseRenewed:
		s.handleLeaseRenewed(in)
	case NodeAnnounced:
		s.handleNodeAnnounced(in)
	case DeregistrationStored:
		s.handleDeregistrationStored(in)
	case DeregistrationRead:
		s.handleDeregistrationRead(in)
	case DeregistrationsListed:
		s.handleDeregistrationsListed(in)
	case SettingsChanged:
		s.cfg.Tunables = in.Tunables
	case NodesListed:
		s.handleNodesListed(in)
	case RolloutsRead:
		s.handleRolloutsRead(in)
	case RolloutsChanged:
		s.handleRolloutsChanged(in)
	case RolloutLeaseHeld:
		s.handleRolloutLeaseHeld(in)
	case RolloutWritten:
		s.handleRolloutWritten(in)
	case TablesChecked:
		s.handleTablesChecked(in)
	case HandOverDone:
		s.handleHandOverDone(in)
	case RecordsArrived:
		s.handleRecordsArrived(in)
	case PeerMessage:
		s.handlePeerMessage(in)
	case PeerSendFailed:
		s.handlePeerSendFailed(in)
	default:
		panic(fmt.Sprintf("reducer: no handler for input %T", input))
	}
}

func (s *State) fireTimers() {
	for {
		key, ok := s.timers.pop(s.now)
		if !ok {
			return
		}
		s.fireTimer(key)
	}
}

func (s *State) fireTimer(key timerKey) {
	switch key.kind {
	case timerIngressDeadline:
		s.expireIngressCall(key.call)
	case timerIngressRetry:
		s.retryIngressCall(key.call)
	case timerIngressSettle:
		s.requestOutcome(key.call)
	case timerIngressCheck:
		s.checkAttempt(key.call)
	case timerTargetDeadline:
		s.expireTargetCall(key.call)
	case timerRamp:
		s.startQueuedCalls()
	case timerRecordExpiry:
		s.expireRecords()
	case timerHeartbeat:
		s.runHeartbeatRound()
	case timerRegistrationExpiry:
		s.expireRegistration()
	case timerStoreRead:
		s.readStore()
	case timerStoreWatch:
		s.watchStore()
	case timerDeregistrationOverdue:
		s.noteOverdue(key.call)
	case timerDeregistrationAck:
		s.refuseDeregistration(key.call)
	case timerDeregistrationRetry:
		s.retryDeregistrations()
	case timerDeregistrationCopies:
		s.renewCopies()
	case timerDeregistrationInquiry:
		s.advanceInquiry()
	case timerDeregistrationSweep:
		s.sweepDeregistrations()
	case timerReaderCheck:
		s.checkReader()
	case timerSubstitute:
		s.watchSubstitute()
	case timerSubstituteRole:
		s.endSubstituteRole()
	case timerAnnounceNode:
		s.advanceAnnouncement()
	case timerListNodes:
		s.listNodes()
	case timerStartupFetch:
		s.fetchFirstVersion()
	case timerSuspicion:
		s.confirmSuspicion(key.node)
	case timerShutdown:
		s.advanceShutdown()
	case timerJoin:
		s.tryNextJoinAddress()
	case timerRelay:
		s.relayPending()
	case timerQuota:
		s.runQuotaTimer()
	case timerRollouts:
		s.advanceRollouts()
	default:
		panic(fmt.Sprintf("reducer: no handler for timer kind %d", key.kind))
	}
}

func (s *State) updateWakeUp() {
	at, ok := s.timers.next()
	if !ok || at == s.wakeAt {
		return
	}
	s.wakeAt = at
	s.emit(WakeAt{At: at})
}

// initialEffectCap is the initial capacity of the list of effects; most events need no more.
const initialEffectCap = 4

func (s *State) emit(effect Effect) {
	if s.effects == nil {
		s.effects = make([]Effect, 0, initialEffectCap)
	}
	s.effects = append(s.effects, effect)
}

func (s *State) log(level LogLevel, message string, fields ...Field) {
	s.emit(Log{Level: level, Message: message, Fields: fields})
}

// logCall logs a decision about one call.
func (s *State) logCall(call *ingressCall, message string, fields ...Field) {
	fields = append([]Field{{"request", call.requestID}, {"call", call.id}, {"route", call.route.Name}, {"version", call.version}}, fields...)
	s.emit(Log{Level: LevelInfo, Message: message, Fields: fields, PerCall: true})
}

// random returns a pseudorandom number from 0 to n-1. The random number of the event seeds the generator.
func (s *State) random(n int) int {
	s.rand = s.rand*6364136223846793005 + 1442695040888963407 // linear congruential generator with the constants of Knuth's MMIX
	return int((s.rand >> 33) % uint64(n))
}

// jitter returns a random duration from 0 to d.
func (s *State) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(s.random(int(d/time.Microsecond)+1)) * time.Microsecond
}

// Snapshot returns the active version of the tables, or nil when there is none.
func (s *State) Snapshot() *tables.Snapshot {
	return s.config.active
}
