package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// fetchInterval is the time in which one peer is asked for a version whose delta arrives from several. It
// is longer than a heartbeat interval, after which the heartbeats repair a lost answer anyway.
const fetchInterval = time.Second

// pushLimit is the size in bytes up to which a delta is sent to peers that did not ask for it. A node gets it from
// about ten peers; for a change of many routes that would be megabytes, seconds on a link of 7 Mbit/s.
const pushLimit = 4 << 10

// rememberedVersions bounds the versions that are remembered as refused. Each is some 50 bytes; more than
// a few at a time only occur when a store or a peer makes them up.
const rememberedVersions = 32

// configState is the configuration of this node.
//
// Invariants: the number of the active version only grows, and a version is active only when it came
// from a peer that had it active or from the store. A node is therefore ready once it has an active
// version.
type configState struct {
	active      *tables.Snapshot
	activeSince time.Duration
	firstActive time.Duration // when this node got its first version
	lastDelta   tables.Delta  // from the version before to the active one; zero when there is none
	checking    *candidate    // what CheckTables works on
	waiting     *candidate    // newest version that arrived meanwhile
	invalid     versionList   // versions that failed their check
	logged      versionList   // versions whose refusal was logged
	refusals    ConfigRefusals
	fetched     tables.VersionID // version last asked for because its delta could not be used
	fetchedAt   time.Duration

	start  startState
	reader readerState
}

// candidate is a version newer than the active one that is not active yet.
type candidate struct {
	id       tables.VersionID
	document tables.Document // unless delta is set
	delta    *tables.Delta
	from     PeerRef          // zero when it came from the store
	stored   bool             // the store was read and held it, so that no newer version was accepted before
	snapshot *tables.Snapshot // once checked
}

// ConfigRefusals counts the versions that were not taken over, by reason.
type ConfigRefusals struct {
	Older       uint64
	Conflicting uint64
	Invalid     uint64
	Damaged     uint64 // content does not have the hash that goes with it
	Malformed   uint64 // value in the store that is not a document
}

// versionList remembers a bounded number of versions; the oldest is forgotten first.
type versionList []tables.VersionID

func (l versionList) has(id tables.VersionID) bool {
	for _, held := range l {
		if held == id {
			return true
		}
	}
	return false
}

func (l *versionList) add(id tables.VersionID) {
	if len(*l) >= rememberedVersions {
		*l = append((*l)[:0:0], (*l)[1:]...)
	}
	*l = append(*l, id)
}

// ready reports whether the node knows enough to serve calls.
func (s *State) ready() bool {
	return s.config.active != nil && s.joined()
}

// joined reports whether the node knows a peer, or has had the time to find one. A node that took its
// version from the store before it knew any member would refuse calls that others can serve.
func (s *State) joined() bool {
	return s.members.live > 0 || !s.expectsOthers() || s.now >= joinGrace
}

// expectsOthers reports whether there may be other nodes: seeds are given, the store names some, or it has not
// said yet that it names none.
func (s *State) expectsOthers() bool {
	return len(s.cfg.Seeds) > 0 || len(s.members.join.addresses) > 0 || s.cfg.Discover && !s.platform.listed
}

// offer considers a version from the store or a peer. Only one that is newer than the active one is
// checked, and each only once.
func (s *State) offer(c *candidate) {
	switch {
	case c.id.Number == 0 || c.id == s.config.active.ID():
		return
	case s.config.invalid.has(c.id):
		s.config.refusals.Invalid++ // logged when it failed its check
		return
	}
	for _, known := range []*candidate{s.config.checking, s.config.waiting, s.config.start.pending} {
		if known != nil && known.id == c.id {
			known.stored = known.stored || c.stored
			s.startProgress()
			return
		}
	}
	if s.newerThan(c.id, s.config.active.ID()) {
		s.check(c)
	}
}

// newerThan reports whether an offered version is newer than the one held, and records a refusal when it
// is not.
func (s *State) newerThan(id, held tables.VersionID) bool {
	switch {
	case id.IsNewerThan(held):
		return true
	case id.ConflictsWith(held):
		s.config.refusals.Conflicting++
		s.logRefusal("configuration refused: same version with other content", id, held)
	default:
		s.config.refusals.Older++
		s.logRefusal("configuration refused: older than the version held", id, held)
	}
	return false
}

// logRefusal logs the first refusal of a version; the counts include the others.
func (s *State) logRefusal(message string, id, held tables.VersionID) {
	if s.config.logged.has(id) {
		return
	}
	s.config.logged.add(id)
	s.log(LevelWarn, message, Field{"offered", id.Number}, Field{"offered_hash", id.Hash},
		Field{"held", held.Number}, Field{"held_hash", held.Hash})
}

// check starts the check of a version, or keeps it until the check under way has ended.
func (s *State) check(c *candidate) {
	if s.config.checking != nil {
		if s.config.waiting == nil || s.newerThan(c.id, s.config.waiting.id) {
			s.config.waiting = c
		}
		return
	}
	s.config.checking = c
	s.emit(CheckTables{Document: c.document, Delta: c.delta, Base: s.config.active.Document()})
}

func (s *State) tablesChecked(in TablesChecked) {
	checked := s.config.checking
	if checked == nil || in.Document.ID() != checked.id {
		return
	}
	s.config.checking = nil
	switch {
	case in.Damaged:
		s.damaged(checked)
	case in.Snapshot == nil:
		s.config.refusals.Invalid++
		s.config.invalid.add(checked.id)
		s.log(LevelError, "configuration refused: invalid", Field{"version", checked.id.Number},
			Field{"hash", checked.id.Hash}, Field{"active", s.config.active.ID().Number}, Field{"problem", in.Problem})
	case checked.id.IsNewerThan(s.config.active.ID()):
		checked.snapshot = in.Snapshot
		s.accept(checked, in.Delta)
	}
	s.checkWaiting()
	s.startProgress()
}

// damaged asks for the whole text when content does not have the hash that goes with it. The version is
// not remembered as invalid, because the content that belongs to it may be valid.
func (s *State) damaged(c *candidate) {
	s.config.refusals.Damaged++
	s.logRefusal("configuration refused: content does not match its hash", c.id, s.config.active.ID())
	if c.delta != nil {
		s.emit(Send{To: c.from, Message: ConfigFetch{}})
	}
}

func (s *State) checkWaiting() {
	next := s.config.waiting
	s.config.waiting = nil
	switch {
	case next == nil:
	case next.delta != nil:
		s.offerDelta(next.from, next.delta)
	default:
		s.offer(next)
	}
}

// accept takes over a valid version. A node that has none active waits for what its peers hold.
func (s *State) accept(c *candidate, delta tables.Delta) {
	if s.config.active != nil {
		s.activate(c, delta)
		return
	}
	pending := s.config.start.pending
	replaces := pending != nil && c.id.Number == pending.id.Number && c.stored && !pending.stored
	if pending == nil || replaces || s.newerThan(c.id, pending.id) {
		s.config.start.pending = c
	}
}

// activate makes a checked version the active one and passes it on. The delta is from the active version; it
// is zero when there was none.
func (s *State) activate(c *candidate, delta tables.Delta) {
	if delta.Base != s.config.active.ID() {
		delta = tables.Delta{}
	}
	if s.config.active == nil {
		s.config.firstActive = s.now
	}
	s.config.active = c.snapshot
	s.config.activeSince = s.now
	s.config.lastDelta = delta
	s.log(LevelInfo, "configuration active", Field{"version", c.id.Number}, Field{"hash", c.id.Hash})
	s.emit(Publish{Snapshot: c.snapshot})
	s.announce(c)
	s.startCalls()
}

// announce tells the peers of this zone about the version that became active; other zones have readers of their
// own, and hear its number with the next heartbeat. Only its number is sent without a delta, because the node has
// started or was behind, and by a reader, because other readers have it from the store as well: most peers hold the
// version, and the others ask for it. So do those of a long delta, which each of them needs once.
func (s *State) announce(c *candidate) {
	var message Message = s.heartbeat(true)
	if delta := s.config.lastDelta; delta.Base.Number != 0 && !c.stored && delta.Size() <= pushLimit {
		message = s.configAnswer(delta.Base)
	}
	for _, node := range s.linked() {
		if node != c.from.Node && s.members.table[node].Zone == s.cfg.Zone {
			s.sendOnLink(node, message)
		}
	}
}

// configAnswer returns the active version for a peer that holds another one: as a delta when it is known
// from that version and is smaller.
func (s *State) configAnswer(have tables.VersionID) ConfigUpdate {
	document, delta := s.config.active.Document(), s.config.lastDelta
	if delta.Base == have && have.Number != 0 && delta.Size() < document.Size() {
		return ConfigUpdate{Delta: &delta}
	}
	return ConfigUpdate{Document: document}
}

func (s *State) configUpdate(from PeerRef, in ConfigUpdate) {
	if s.config.active == nil {
		s.startAnswered(from, in)
	}
	switch {
	case in.None:
	case in.Delta != nil:
		s.offerDelta(from, in.Delta)
	default:
		s.offer(&candidate{id: in.Document.ID(), document: in.Document, from: from})
	}
	// The version of the last peer to answer is considered before one of those that answered earlier is taken.
	s.startProgress()
}

// offerDelta considers a delta. When its base is not the active version the peer is asked for the rest.
func (s *State) offerDelta(from PeerRef, delta *tables.Delta) {
	active := s.config.active.ID()
	if delta.ID().IsNewerThan(active) && delta.Base != active {
		s.fetch(from, delta.ID())
		return
	}
	s.offer(&candidate{id: delta.ID(), delta: delta, from: from})
}

// heardVersion asks a peer for the version in its heartbeat when it is newer than what this node holds or is
// about to take over.
func (s *State) heardVersion(from PeerRef, id tables.VersionID) {
	if id.IsNewerThan(s.config.active.ID()) && id.IsNewerThan(s.newestOffered()) {
		s.fetch(from, id)
	}
}

// fetch asks a peer for a version that others are likely to offer at the same time.
func (s *State) fetch(from PeerRef, id tables.VersionID) {
	if s.config.fetched == id && s.now-s.config.fetchedAt < fetchInterval {
		return
	}
	s.config.fetched, s.config.fetchedAt = id, s.now
	s.emit(Send{To: from, Message: ConfigFetch{Have: s.config.active.ID()}})
}

func (s *State) configFetch(from PeerRef, in ConfigFetch) {
	switch {
	case s.config.active.ID().IsNewerThan(in.Have):
		s.emit(Send{To: from, Message: s.configAnswer(in.Have)})
	default:
		s.emit(Send{To: from, Message: ConfigUpdate{None: true}})
	}
}
