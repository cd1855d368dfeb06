package reducer

import "github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"

// StoreAnswer is implemented by the inputs that report the result of a call to the platform's store.
type StoreAnswer interface {
	Input
	withResult(result StoreResult) StoreAnswer
}

func (in StoreRead) withResult(r StoreResult) StoreAnswer             { in.Result = r; return in }
func (in LeaseGranted) withResult(r StoreResult) StoreAnswer          { in.Result = r; return in }
func (in LeaseRenewed) withResult(r StoreResult) StoreAnswer          { in.Result = r; return in }
func (in NodeAnnounced) withResult(r StoreResult) StoreAnswer         { in.Result = r; return in }
func (in NodesListed) withResult(r StoreResult) StoreAnswer           { in.Result = r; return in }
func (in DeregistrationStored) withResult(r StoreResult) StoreAnswer  { in.Result = r; return in }
func (in DeregistrationRead) withResult(r StoreResult) StoreAnswer    { in.Result = r; return in }
func (in DeregistrationsListed) withResult(r StoreResult) StoreAnswer { in.Result = r; return in }
func (in RolloutsRead) withResult(r StoreResult) StoreAnswer          { in.Result = r; return in }
func (in RolloutsChanged) withResult(r StoreResult) StoreAnswer       { in.Result = r; return in }
func (in RolloutLeaseHeld) withResult(r StoreResult) StoreAnswer      { in.Result = r; return in }
func (in RolloutWritten) withResult(r StoreResult) StoreAnswer        { in.Result = r; return in }

// handleStoreAnswered applies an answer of the store. One of an earlier era, or of several, counts as a failed call: it reports
// what the store may have lost since.
func (s *State) handleStoreAnswered(in StoreAnswered) {
	before := s.storeEra.Current()
	finding := s.storeEra.Observe(in.Era)
	if finding == storeera.Begun {
		s.beginStoreEra(before)
	}
	if finding == storeera.Outdated || in.Mixed {
		s.log(LevelInfo, "answer of an earlier era of the store is dropped", Field{"era", in.Era}, Field{"current_era", s.storeEra.Current()}, Field{"mixed", in.Mixed})
		in.Answer = in.Answer.withResult(StoreOutdated)
	}
	s.apply(in.Answer)
}

// beginStoreEra forgets what this node knows by a revision, a lease or an acknowledgement of the era before: the store was
// restored from a copy that may lack it, and gives the same numbers out again.
func (s *State) beginStoreEra(before uint64) {
	s.log(LevelWarn, "platform store was restored from an older copy", Field{"era", s.storeEra.Current()}, Field{"era_before", before},
		Field{"active", s.config.active.ID().Number}, Field{"watched_after", s.config.reader.revision.Number})
	s.restartReader()
	s.forgetNodeLease()
	s.restoreDeregistrations()
	s.restartRollouts()
}

// hearStoreEra notes the era that another node states. Most nodes do not call the store, and learn of a new era only so. What
// this node has stored is then written again; the answers of the store confirm the era.
func (s *State) hearStoreEra(from PeerRef, era uint64) {
	if s.storeEra.Hear(era) {
		s.log(LevelInfo, "peer reports that the platform store was restored", Field{"era", era}, Field{"era_before", s.storeEra.Current()}, Field{"from", from.Node})
		s.restoreDeregistrations()
	}
}
