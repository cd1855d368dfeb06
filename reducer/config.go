package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// minFetchInterval is the minimum time between two requests for one version, because several peers may send its delta
// at about the same time. It is longer than the heartbeat interval: if the answer is lost, a later heartbeat causes
// another request.
const minFetchInterval = time.Second

// maxPushedDeltaBytes is the maximum size of a delta that is sent to peers without a request. A node receives it from
// about ten peers; for a change of many routes that would be megabytes, which take seconds on a 7 Mbit/s link.
const maxPushedDeltaBytes = 4 << 10

// maxRememberedVersions is the maximum length of each list of refused versions. An entry takes about 50 bytes; more
// than a few at a time occur only if the store or a peer sends versions that were never accepted.
const maxRememberedVersions = 32

// configState holds the active configuration and the progress of updates to it.
//
// Invariants: the number of the active version only increases, and a version becomes active only if it came from the
// store or from a peer that had it active. A node can therefore serve calls as soon as it has an active version.
type configState struct {
	active          *tables.Snapshot
	activeSince     time.Duration // activation of the active version
	firstActiveAt   time.Duration // activation of the first version
	lastDelta       tables.Delta  // from the previous version to the active one; zero if there is none
	checking        *candidate    // version that CheckTables checks
	waiting         *candidate    // newest version that arrived during this check
	invalidVersions versionList   // versions that failed the check
	loggedRefusals  versionList   // versions whose refusal was logged
	refusals        ConfigRefusals
	lastFetched     tables.VersionID // version that was last requested with fetchVersion
	lastFetchedAt   time.Duration

	startup    startupState
	reader     readerState
	substitute substituteState
}

// candidate is a version newer than the active one that is not active yet.
type candidate struct {
	id        tables.VersionID
	document  tables.Document // unless delta is set
	delta     *tables.Delta
	from      PeerRef          // zero if it came from the store
	fromStore bool             // read from the store, which held no newer version at that time
	snapshot  *tables.Snapshot // set by a successful check
}

// ConfigRefusals counts the refused versions by reason.
type ConfigRefusals struct {
	Older       uint64
	Conflicting uint64
	Invalid     uint64
	Damaged     uint64 // content does not match its hash
	Malformed   uint64 // the value in the store is not a document
}

// versionList is a list of at most maxRememberedVersions versions; the oldest is dropped first.
type versionList []tables.VersionID

func (l versionList) contains(id tables.VersionID) bool {
	for _, held := range l {
		if held == id {
			return true
		}
	}
	return false
}

func (l *versionList) add(id tables.VersionID) {
	if len(*l) >= maxRememberedVersions {
		*l = append((*l)[:0:0], (*l)[1:]...)
	}
	*l = append(*l, id)
}

// isReady reports whether the node can serve calls.
func (s *State) isReady() bool {
	return s.config.active != nil && s.hasJoined()
}

// hasJoined reports whether the node knows a live peer, expects no other node, or has waited joinTimeout for one. A
// node that got a version from the store before it knew any member would refuse calls that other nodes can serve.
func (s *State) hasJoined() bool {
	return s.members.livePeers > 0 || !s.expectsPeers() || s.now >= joinTimeout
}

// expectsPeers reports whether there may be other nodes: there are seeds or learned addresses, or the list of nodes in
// the store has not been read yet.
func (s *State) expectsPeers() bool {
	return len(s.cfg.Seeds) > 0 || len(s.members.join.addresses) > 0 || s.cfg.Discover && !s.platform.listed
}

// considerCandidate starts the check of a version from the store or a peer if it is newer than the active one. A
// version that is a candidate already or has failed its check is not checked again.
func (s *State) considerCandidate(c *candidate) {
	switch {
	case c.id.Number == 0 || c.id == s.config.active.ID():
		return
	case s.config.invalidVersions.contains(c.id):
		s.config.refusals.Invalid++ // logged when the check failed
		return
	}
	for _, known := range []*candidate{s.config.checking, s.config.waiting, s.config.startup.pending} {
		if known != nil && known.id == c.id {
			known.fromStore = known.fromStore || c.fromStore
			s.activatePending()
			return
		}
	}
	if s.requireNewer(c.id, s.config.active.ID()) {
		s.startCheck(c)
	}
}

// requireNewer reports whether id is newer than held. If it is not, requireNewer counts and logs a refusal.
func (s *State) requireNewer(id, held tables.VersionID) bool {
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

// logRefusal logs the first refusal of a version; later ones are only counted.
func (s *State) logRefusal(message string, id, held tables.VersionID) {
	if s.config.loggedRefusals.contains(id) {
		return
	}
	s.config.loggedRefusals.add(id)
	s.log(LevelWarn, message, Field{"offered", id.Number}, Field{"offered_hash", id.Hash},
		Field{"held", held.Number}, Field{"held_hash", held.Hash})
}

// startCheck starts the check of a version. If another check is in progress, the newest version that arrives meanwhile
// is kept until it has ended.
func (s *State) startCheck(c *candidate) {
	if s.config.checking != nil {
		if s.config.waiting == nil || s.requireNewer(c.id, s.config.waiting.id) {
			s.config.waiting = c
		}
		return
	}
	s.config.checking = c
	s.emit(CheckTables{Document: c.document, Delta: c.delta, Base: s.config.active})
}

// handleTablesChecked adopts a version that passed the check and records why another one is refused.
func (s *State) handleTablesChecked(in TablesChecked) {
	checked := s.config.checking
	if checked == nil || in.Document.ID() != checked.id {
		return
	}
	s.config.checking = nil
	switch {
	case in.Damaged:
		s.refuseDamaged(checked)
	case in.Snapshot == nil:
		s.config.refusals.Invalid++
		s.config.invalidVersions.add(checked.id)
		s.log(LevelError, "configuration refused: invalid", Field{"version", checked.id.Number},
			Field{"hash", checked.id.Hash}, Field{"active", s.config.active.ID().Number}, Field{"problem", in.Problem})
	case checked.id.IsNewerThan(s.config.active.ID()):
		checked.snapshot = in.Snapshot
		s.adopt(checked, in.Delta)
	}
	s.considerWaiting()
	s.activatePending()
}

// refuseDamaged refuses content that does not match its hash, and fetches the complete document if it came as a delta.
// The version is not remembered as invalid, because its true content may be valid.
func (s *State) refuseDamaged(c *candidate) {
	s.config.refusals.Damaged++
	s.logRefusal("configuration refused: content does not match its hash", c.id, s.config.active.ID())
	if c.delta != nil {
		s.emit(Send{To: c.from, Message: ConfigFetch{}})
	}
}

// considerWaiting considers the version that arrived during the last check.
func (s *State) considerWaiting() {
	next := s.config.waiting
	s.config.waiting = nil
	switch {
	case next == nil:
	case next.delta != nil:
		s.considerDelta(next.from, next.delta)
	default:
		s.considerCandidate(next)
	}
}

// adopt activates a valid version. A node without an active version keeps the newest one as pending instead, until the
// peers have answered; one from the store replaces one from a peer with the same number.
func (s *State) adopt(c *candidate, delta tables.Delta) {
	if s.config.active != nil {
		s.activate(c, delta)
		return
	}
	pending := s.config.startup.pending
	replaces := pending != nil && c.id.Number == pending.id.Number && c.fromStore && !pending.fromStore
	if pending == nil || replaces || s.requireNewer(c.id, pending.id) {
		s.config.startup.pending = c
	}
}

// activate makes a checked version the active one and announces it to peers. delta is the change from the active
// version, or zero.
func (s *State) activate(c *candidate, delta tables.Delta) {
	if delta.Base != s.config.active.ID() {
		delta = tables.Delta{}
	}
	if s.config.active == nil {
		s.config.firstActiveAt = s.now
	}
	s.config.active = c.snapshot
	s.config.activeSince = s.now
	s.resetSplits()
	s.applyQuotas()
	s.config.lastDelta = delta
	s.log(LevelInfo, "configuration active", Field{"version", c.id.Number}, Field{"hash", c.id.Hash})
	s.logUnsupportedRoutes()
	s.emit(Publish{Snapshot: c.snapshot})
	s.announceVersion(c)
	s.startQueuedCalls()
}

// maxLoggedUnsupportedRoutes is the maximum number of unsupported routes of one version that are logged one by one.
const maxLoggedUnsupportedRoutes = 8

// logUnsupportedRoutes logs the routes of the active version whose requests are refused.
func (s *State) logUnsupportedRoutes() {
	unsupported := s.config.active.UnsupportedRoutes()
	for i, route := range unsupported {
		if i == maxLoggedUnsupportedRoutes {
			s.log(LevelWarn, "more routes are not supported", Field{"version", s.config.active.ID().Number}, Field{"routes", len(unsupported) - i})
			return
		}
		s.log(LevelWarn, "route is not supported, its requests are refused", Field{"version", s.config.active.ID().Number},
			Field{"route", route.Name}, Field{"problem", route.Unsupported})
	}
}

// announceVersion tells the peers in this zone about the version that became active. Other zones have readers of their
// own and see the version number in the next heartbeat.
//
// A delta of up to maxPushedDeltaBytes is sent at once. Otherwise a heartbeat carries the version number, and the peers
// that lack the version fetch it: most have it already if there is no delta, because this node has just started or was
// behind, or if the version came from the store, which other readers watch as well; a longer delta is needed only once
// by each peer.
func (s *State) announceVersion(c *candidate) {
	var message Message = s.heartbeat(true)
	if delta := s.config.lastDelta; delta.Base.Number != 0 && !c.fromStore && delta.Size() <= maxPushedDeltaBytes {
		message = s.configUpdateFor(delta.Base)
	}
	for _, node := range s.linkedPeers() {
		if node != c.from.Node && s.members.table[node].Zone == s.cfg.Zone {
			s.sendOnLink(node, message)
		}
	}
}

// configUpdateFor returns the active version for a peer that holds the version have: as a delta if one from that
// version is known and smaller, else as a document.
func (s *State) configUpdateFor(have tables.VersionID) ConfigUpdate {
	document, delta := s.config.active.Document(), s.config.lastDelta
	if delta.Base == have && have.Number != 0 && delta.Size() < document.Size() {
		return ConfigUpdate{Delta: &delta}
	}
	return ConfigUpdate{Document: document}
}

// handleConfigUpdate handles a peer's version, or its answer that it has no newer one.
func (s *State) handleConfigUpdate(from PeerRef, in ConfigUpdate) {
	if s.config.active == nil {
		s.recordStartupAnswer(from, in)
	}
	switch {
	case in.None:
	case in.Delta != nil:
		s.considerDelta(from, in.Delta)
	default:
		s.considerCandidate(&candidate{id: in.Document.ID(), document: in.Document, from: from})
	}
	// Called last, so that the version in the last answer is considered before a pending one is activated.
	s.activatePending()
}

// considerDelta considers a delta from a peer. If it is newer but its base is not active here, the version is fetched
// instead.
func (s *State) considerDelta(from PeerRef, delta *tables.Delta) {
	active := s.config.active.ID()
	if delta.ID().IsNewerThan(active) && delta.Base != active {
		s.fetchVersion(from, delta.ID())
		return
	}
	s.considerCandidate(&candidate{id: delta.ID(), delta: delta, from: from})
}

// fetchIfNewer fetches the version in a peer's heartbeat if it is newer than the active one and all candidates.
func (s *State) fetchIfNewer(from PeerRef, id tables.VersionID) {
	if id.IsNewerThan(s.config.active.ID()) && id.IsNewerThan(s.newestCandidate()) {
		s.fetchVersion(from, id)
	}
}

// fetchVersion requests a version from a peer, at most once per minFetchInterval: several peers are likely to announce
// it at the same time.
func (s *State) fetchVersion(from PeerRef, id tables.VersionID) {
	if s.config.lastFetched == id && s.now-s.config.lastFetchedAt < minFetchInterval {
		return
	}
	s.config.lastFetched, s.config.lastFetchedAt = id, s.now
	s.emit(Send{To: from, Message: ConfigFetch{Have: s.config.active.ID()}})
}

// handleConfigFetch answers with the active version, or with None if the peer's version is not older.
func (s *State) handleConfigFetch(from PeerRef, in ConfigFetch) {
	switch {
	case s.config.active.ID().IsNewerThan(in.Have):
		s.emit(Send{To: from, Message: s.configUpdateFor(in.Have)})
	default:
		s.emit(Send{To: from, Message: ConfigUpdate{None: true}})
	}
}
