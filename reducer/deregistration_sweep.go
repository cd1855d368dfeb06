package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

const (
	// sweepInterval is the mean time between two listings of the records in the store, by the first reader of a zone.
	sweepInterval = 10 * time.Minute
	// storedRetention is how long the store keeps a record: as long as other nodes, and a minute more for clocks that
	// differ.
	storedRetention = deregistration.Retention + time.Minute
	// removalsPerSweep bounds the records that are removed at a time. The rest follows with the next listings.
	removalsPerSweep = 32
)

// sweepDeregistrations lists the records in the store from time to time, if this node is the first reader of its zone.
func (s *State) sweepDeregistrations() {
	s.timers.set(timerKey{kind: timerDeregistrationSweep}, s.now+sweepInterval/2+s.jitter(sweepInterval))
	if s.now > 0 && s.shutdown.phase == phaseServing && s.readerRank() == 0 {
		s.emit(ListDeregistrations{})
	}
}

// handleDeregistrationsListed removes the records that no registration which is still on its way can concern.
func (s *State) handleDeregistrationsListed(in DeregistrationsListed) {
	s.noteStoreAnswer(in.Result != StoreUnknown)
	if in.Result != StoreOK {
		return
	}
	var old []StoredDeregistration
	for _, r := range in.Records {
		if s.wallClockMillis()-r.LeftAt > storedRetention.Milliseconds() && len(old) < removalsPerSweep {
			old = append(old, r)
		}
	}
	if len(old) > 0 {
		s.log(LevelInfo, "records of old leaves are removed", Field{"records", len(old)}, Field{"listed", len(in.Records)})
		s.emit(RemoveDeregistrations{Records: old})
	}
}
