package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// Limits and intervals of the calls to the platform's store. In steady state a reader sends one watch every 10 s, and
// one for each change.
const (
	// minStoreBackoff and maxStoreBackoff limit the wait after a failed call.
	minStoreBackoff = 250 * time.Millisecond
	maxStoreBackoff = time.Second // leases that expire in an outage must be restored within 2 s after it
	// watchInterval limits the mean rate of watches, because a platform may answer a watch without waiting. At the first
	// reader of a zone up to watchBurst watches that return a new revision may follow each other at once, so that changes
	// in quick succession are not delayed. The other readers get these changes from the first one; if that fails they
	// see a change after at most watchInterval.
	watchInterval = time.Second
	watchBurst    = 10
	// readersPerZone limits the nodes of a zone that watch the store. One working reader in any zone is enough for a
	// version to become active in time, because peers relay it; three tolerate that one is cut off and another is paused.
	// With manyZones or more in reach the other zones have readers too, and a second one in each zone is for a partition.
	readersPerZone    = 3
	readersAmongZones = 2
	manyZones         = 3
	// readerCheckInterval is how often a node checks whether it is a reader of its zone.
	readerCheckInterval = time.Second
	// startupReadJitter spreads the first reads of nodes that start together.
	startupReadJitter = 100 * time.Millisecond
)

// readerState tracks this node's reads and watches of the tables in the store.
type readerState struct {
	revision        storeera.Revision // latest store revision seen; watches continue from it
	loggedMalformed storeera.Revision // of the last malformed value that was logged
	read            platformCall
	watch           platformCall
	watchedAfter    storeera.Revision // of the watch in flight
	// watchTAT is the theoretical arrival time of the generic cell rate algorithm: when the next watch would be sent at
	// a steady rate of one per watchInterval.
	watchTAT    time.Duration
	nextWatchAt time.Duration // earliest time of the next watch
}

// platformCall is the state of one kind of call to the platform; at most one is in flight.
type platformCall struct {
	inFlight bool
	backoff  time.Duration // maximum wait after the last failure; 0 after a success
}

func (c *platformCall) recordSuccess() { c.backoff = 0 }

// recordFailure doubles the backoff of a call and returns the wait, a random time in the upper half of the backoff, so
// that nodes whose calls fail at the same time do not retry at the same time.
func (s *State) recordFailure(call *platformCall) time.Duration {
	call.backoff = min(max(2*call.backoff, minStoreBackoff), maxStoreBackoff)
	return call.backoff/2 + s.jitter(call.backoff/2)
}

// isReader reports whether this node watches the tables for its zone: one of its first live nodes, or one that reads in place of one of
// them. Nodes need not agree on them, because additional readers do no harm.
func (s *State) isReader() bool { return s.isOwnReader() || s.readsForOthers() }

// readersOfZone returns how many nodes of this zone watch the store. In a partition that leaves few zones it grows.
func (s *State) readersOfZone() int {
	reachable := 1
	for name, zone := range s.members.detector.zones {
		if name != s.cfg.Zone && !zone.lost {
			reachable++
		}
	}
	if reachable >= manyZones {
		return readersAmongZones
	}
	return readersPerZone
}

// readerRank returns the number of live nodes of this zone that come before this node, at most readersPerZone.
func (s *State) readerRank() int {
	before := 0
	for _, m := range s.members.sorted() {
		if m.Zone != s.cfg.Zone || m.State != MemberAlive {
			continue
		}
		if m.Node == s.cfg.Self || before == readersPerZone {
			return before
		}
		before++
	}
	return readersPerZone
}

// checkReader starts to read or watch if this node has become a reader.
func (s *State) checkReader() {
	s.timers.set(timerKey{kind: timerReaderCheck}, s.now+readerCheckInterval)
	reader := &s.config.reader
	switch {
	case !s.isReader():
	case reader.revision.Number == 0 && reader.read.backoff == 0:
		s.readStore()
	case reader.revision.Number > 0 && reader.watch.backoff == 0:
		s.watchStore()
	}
}

// readStore reads the tables from the store: after the start, and when a watch cannot report what has changed.
func (s *State) readStore() {
	reader := &s.config.reader
	if reader.read.inFlight || s.config.active != nil && !s.isReader() {
		return
	}
	reader.read.inFlight = true
	s.emit(ReadStore{})
}

// watchStore watches the store if this node is a reader, as soon as the rate limit allows.
func (s *State) watchStore() {
	reader := &s.config.reader
	if reader.watch.inFlight || !s.isReader() {
		return
	}
	if s.members.livePeers == 0 && s.now < joinTimeout { // the node will probably find others and then not be a reader
		reader.nextWatchAt = max(reader.nextWatchAt, joinTimeout)
	}
	if reader.nextWatchAt > s.now {
		s.timers.set(timerKey{kind: timerStoreWatch}, reader.nextWatchAt)
		return
	}
	reader.watch.inFlight, reader.watchedAfter = true, reader.revision
	reader.watchTAT = max(reader.watchTAT, s.now) + watchInterval
	s.emit(WatchStore{After: reader.revision})
}

// renewWatch gives up a watch that began before an outage of the store, once that answers again: its connection may have
// failed silently. A read comes first, and the watch that follows it takes the place of the one before.
func (s *State) renewWatch(outage time.Duration) {
	if s.config.reader.watch.inFlight && outage >= substituteAfter {
		s.config.reader.watch.inFlight = false
		s.timers.set(timerKey{kind: timerStoreRead}, s.now)
	}
}

// restartReader forgets the revision from which this node watches, which is one of an earlier era, and reads the store. The
// answer of the watch that may still be waiting would continue from that revision.
func (s *State) restartReader() {
	reader := &s.config.reader
	reader.revision = storeera.Revision{}
	if reader.watch.inFlight {
		reader.watch.inFlight = false
		s.emit(EndWatch{})
	}
	if s.isReader() {
		s.timers.set(timerKey{kind: timerStoreRead}, s.now)
	}
}

// nextWatchTime returns the earliest time of the next watch, which may be part of a burst if the last one brought a new
// revision.
func (s *State) nextWatchTime(newRevision bool) time.Duration {
	at := s.config.reader.watchTAT
	if newRevision && (s.readerRank() == 0 || s.readsForOthers()) {
		at -= (watchBurst - 1) * watchInterval
	}
	return max(s.now, at)
}

// handleStoreRead handles the result of a read or watch and schedules the next call to the store.
func (s *State) handleStoreRead(in StoreRead) {
	reader := &s.config.reader
	call, timer := &reader.read, timerKey{kind: timerStoreRead}
	if in.Watch {
		if !reader.watch.inFlight || in.After != reader.watchedAfter {
			return // it was given up, and a read covers what it reports
		}
		call, timer = &reader.watch, timerKey{kind: timerStoreWatch}
	}
	call.inFlight = false
	s.noteStoreAnswer(in.Result != StoreUnknown)
	s.answerAskers(in.Result != StoreUnknown)
	switch in.Result {
	case StoreOK, StoreAbsent, StoreMalformed, StoreUnchanged:
		call.recordSuccess()
		if !in.Watch {
			s.timers.cancel(timerKey{kind: timerStoreRead})
		}
		if in.Watch {
			reader.nextWatchAt = s.nextWatchTime(s.storeEra.At(in.Revision).IsAfter(reader.revision))
		}
		s.considerStoreContent(in)
		s.timers.set(timerKey{kind: timerStoreWatch}, max(s.now, reader.nextWatchAt))
		if s.config.active == nil && in.Result == StoreAbsent {
			s.timers.set(timerKey{kind: timerStoreRead}, s.now+maxStoreBackoff)
		}
	case StoreHistoryGone: // the store may not have the revision any more, and state no eras: a read gives the one to continue from
		reader.revision = storeera.Revision{}
		s.timers.set(timerKey{kind: timerStoreRead}, s.now+s.recordFailure(call))
	default:
		wait := s.recordFailure(call)
		if in.Watch { // a change may have been missed while the watch failed; a successful read starts the next watch
			timer, wait = timerKey{kind: timerStoreRead}, 0
		}
		s.timers.set(timer, s.now+wait)
	}
}

// considerStoreContent considers the document that the store holds, or reports a value that is not one.
func (s *State) considerStoreContent(in StoreRead) {
	reader, revision := &s.config.reader, s.storeEra.At(in.Revision)
	if revision.IsAfter(reader.revision) {
		reader.revision = revision
	}
	switch in.Result {
	case StoreOK:
		s.considerCandidate(&candidate{id: in.Document.ID(), document: in.Document, fromStore: true})
	case StoreMalformed:
		s.config.refusals.Malformed++
		if reader.loggedMalformed != revision {
			reader.loggedMalformed = revision
			s.log(LevelError, "configuration refused: the value in the store is not a document",
				Field{"revision", in.Revision}, Field{"problem", in.Problem}, Field{"active", s.config.active.ID().Number})
		}
	}
}
