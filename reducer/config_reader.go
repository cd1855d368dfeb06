package reducer

import "time"

// Figures of the calls to the platform. In steady state a reader makes one watch in 10 s, and one for each
// change.
const (
	storeBackoffFirst = 250 * time.Millisecond
	storeBackoffMax   = time.Second // what lapsed during an outage must be back 2 s after its end
	// watchInterval bounds the mean rate of watches, because a platform may answer them without waiting. Up to
	// watchBurst watches that brought news follow each other at once, so that changes in quick succession do
	// not wait.
	watchInterval = time.Second
	watchBurst    = 10
	// readersPerZone bounds the clients of the platform. A version is active in time when one reader of any
	// zone works, because peers pass it on; three survive one that is cut off and one that is paused.
	readersPerZone = 3
	// readerInterval is how often a node looks whether it is a reader of its zone.
	readerInterval = time.Second
	// startSpread spreads the first reads of nodes that start together.
	startSpread = 100 * time.Millisecond
)

// readerState is the part of a zone's reader that this node has.
type readerState struct {
	revision  uint64 // highest revision of the store seen; watches continue from it
	malformed uint64 // store revision whose malformed value was logged
	read      platformCall
	watch     platformCall
	// watchesPaid is the time at which the watches so far would have been sent at one per watchInterval, as in
	// the generic cell rate algorithm.
	watchesPaid time.Duration
	watchAt     time.Duration // when the next watch may be sent
}

// platformCall is a kind of call of which one at a time is under way.
type platformCall struct {
	busy    bool
	backoff time.Duration // bound of the wait after the last failure; 0 after a success
}

func (c *platformCall) succeeded() { c.backoff = 0 }

// failed doubles the backoff of a call and returns the wait, drawn from the upper half of it so that nodes
// that failed together do not return together.
func (s *State) failed(c *platformCall) time.Duration {
	c.backoff = min(max(2*c.backoff, storeBackoffFirst), storeBackoffMax)
	return c.backoff/2 + s.jitter(c.backoff/2)
}

// isReader reports whether this node watches the tables for its zone: one of its first live nodes. The nodes do
// not have to agree on them, because further readers do no harm.
func (s *State) isReader() bool {
	before := 0
	for _, m := range s.members.sorted() {
		if m.Zone != s.cfg.Zone || m.State != MemberAlive {
			continue
		}
		if m.Node == s.cfg.Self {
			return before < readersPerZone
		}
		before++
	}
	return false
}

// readerDue starts to watch when this node has become a reader.
func (s *State) readerDue() {
	s.timers.set(timerKey{kind: timerReader}, s.now+readerInterval)
	reader := &s.config.reader
	switch {
	case !s.isReader():
	case reader.revision == 0 && reader.read.backoff == 0:
		s.storeReadDue()
	case reader.revision > 0 && reader.watch.backoff == 0:
		s.storeWatchDue()
	}
}

// storeReadDue reads the tables: at the start, and when a watch cannot tell what has changed.
func (s *State) storeReadDue() {
	reader := &s.config.reader
	if reader.read.busy || s.config.active != nil && !s.isReader() {
		return
	}
	reader.read.busy = true
	s.emit(ReadStore{})
}

func (s *State) storeWatchDue() {
	reader := &s.config.reader
	if reader.watch.busy || !s.isReader() {
		return
	}
	if s.members.livePeers == 0 && s.now < joinGrace { // it is likely to find others, and not to be a reader then
		reader.watchAt = max(reader.watchAt, joinGrace)
	}
	if reader.watchAt > s.now {
		s.timers.set(timerKey{kind: timerStoreWatch}, reader.watchAt)
		return
	}
	reader.watch.busy = true
	reader.watchesPaid = max(reader.watchesPaid, s.now) + watchInterval
	s.emit(WatchStore{After: reader.revision})
}

// nextWatch returns when the next watch may be sent after an answer that brought news or did not.
func (s *State) nextWatch(news bool) time.Duration {
	at := s.config.reader.watchesPaid
	if news {
		at -= (watchBurst - 1) * watchInterval
	}
	return max(s.now, at)
}

func (s *State) storeRead(in StoreRead) {
	reader := &s.config.reader
	call, timer := &reader.read, timerKey{kind: timerStoreRead}
	if in.Watch {
		call, timer = &reader.watch, timerKey{kind: timerStoreWatch}
	}
	call.busy = false
	s.noteStoreAnswer(in.Result != StoreUnknown)
	switch in.Result {
	case StoreOK, StoreAbsent, StoreMalformed, StoreUnchanged:
		call.succeeded()
		if in.Watch {
			reader.watchAt = s.nextWatch(in.Revision > reader.revision)
		}
		s.storeHolds(in)
		s.timers.set(timerKey{kind: timerStoreWatch}, max(s.now, reader.watchAt))
		if s.config.active == nil && in.Result == StoreAbsent {
			s.timers.set(timerKey{kind: timerStoreRead}, s.now+storeBackoffMax)
		}
	case StoreHistoryGone:
		call.succeeded()
		s.timers.set(timerKey{kind: timerStoreRead}, s.now)
	default:
		s.timers.set(timer, s.now+s.failed(call))
		if in.Watch { // the change that the watch was to report may have come meanwhile
			s.timers.set(timerKey{kind: timerStoreRead}, s.now)
		}
	}
}

// storeHolds considers what the store was found to hold.
func (s *State) storeHolds(in StoreRead) {
	reader := &s.config.reader
	reader.revision = max(reader.revision, in.Revision)
	switch in.Result {
	case StoreOK:
		s.offer(&candidate{id: in.Document.ID(), document: in.Document, stored: true})
	case StoreMalformed:
		s.config.refusals.Malformed++
		if reader.malformed != in.Revision {
			reader.malformed = in.Revision
			s.log(LevelError, "configuration refused: the value in the store is not a document",
				Field{"revision", in.Revision}, Field{"problem", in.Problem}, Field{"active", s.config.active.ID().Number})
		}
	}
}
