package reducer

import (
	"slices"
	"time"
)

// Intervals and limits of the node entries in the platform's store, by which nodes find each other.
const (
	// nodeLeaseTTL is how long the entry of a node outlives the node. It is longer than most pauses, and short enough
	// that nodes do not search among many old entries when much of a fleet is replaced.
	nodeLeaseTTL = 10 * time.Second
	// leaseRenewInterval is how often a lease is renewed while the store answers. After a failed call the next step
	// follows the backoff, so that an expired entry is back within 2 s of the store's return.
	leaseRenewInterval = 4 * time.Second
	// announceInterval is how often a node without an entry checks whether it needs one.
	announceInterval = time.Second
	// announceJitter bounds the random delay of the first announcement. Most nodes of a group that starts together then
	// find one that has announced itself, join it, and never need an entry.
	announceJitter = 500 * time.Millisecond
	// listAloneInterval is how often a node that knows no other node lists the entries.
	listAloneInterval = 500 * time.Millisecond
	// listInterval is how often a reader of a zone lists the entries, so that groups of nodes that do not know of each
	// other merge.
	listInterval = 5 * time.Second
	// joinsPerList is the largest number of unknown nodes that are sent a join request after one listing.
	joinsPerList = 3
)

// platformState is the state of this node's entry in the platform's store and of the listing of other entries.
type platformState struct {
	lease             uint64       // 0 when there is none
	members           int          // that the entry names
	announced         bool         // the entry of this node is written under the lease
	announceCall      platformCall // for the lease and the entry
	listCall          platformCall // for the listing
	listed            bool         // the entries have been listed at least once
	announceScheduled bool         // the first announcement has been scheduled
	listRequested     bool         // the entries were listed ahead of the first announcement
	awaitsList        bool         // the first announcement waits for that listing
	unanswered        bool         // the last call was not answered
	unansweredSince   time.Duration
	answeredAt        time.Duration // when the last call that was answered ended

	invalidEntries []InvalidEntry // left out of the last listing, at most maxInvalidEntries
}

// maxInvalidEntries is the maximum number of invalid entries that are logged and shown.
const maxInvalidEntries = 32

// noteInvalidEntries logs entries that were left out of a listing and were not in the one before.
func (s *State) noteInvalidEntries(invalid []InvalidEntry) {
	invalid = invalid[:min(len(invalid), maxInvalidEntries)]
	for _, entry := range invalid {
		if !slices.Contains(s.platform.invalidEntries, entry) {
			s.log(LevelWarn, "entry in the store is left out", Field{"key", entry.Key}, Field{"problem", entry.Problem})
		}
	}
	s.platform.invalidEntries = invalid
}

// noteStoreAnswer notes whether a call to the store was answered, and logs when the store is lost or regained. It then
// schedules the next renewal of the lease at once, because the lease may have expired.
func (s *State) noteStoreAnswer(answered bool) {
	if answered {
		s.platform.answeredAt = s.now
	}
	if s.platform.unanswered != answered {
		return
	}
	s.platform.unanswered = !answered
	if answered {
		s.config.substitute.search.End()
		s.renewWatch(s.now - s.platform.unansweredSince)
		s.log(LevelInfo, "platform store regained", Field{"active", s.config.active.ID().Number})
	} else {
		s.registration.storeLost = true
		s.platform.unansweredSince = s.now
		s.timers.set(timerKey{kind: timerSubstitute}, s.now+substituteAfter)
		s.log(LevelWarn, "platform store lost", Field{"active", s.config.active.ID().Number})
	}
	if s.platform.lease != 0 {
		s.timers.set(timerKey{kind: timerAnnounceNode}, s.now)
	}
}

// advanceAnnouncement takes the next step to have an entry in the store: it requests a lease, writes the entry, or
// renews the lease. Only the readers of a zone have entries, so that the number of calls does not grow with that of the
// nodes. A node that knows no others is a reader.
func (s *State) advanceAnnouncement() {
	p := &s.platform
	if p.announceCall.inFlight || s.shutdown.phase >= phaseLeft {
		return
	}
	if !s.isReader() { // an existing entry expires with its lease
		p.lease, p.announced = 0, false
		s.timers.set(timerKey{kind: timerAnnounceNode}, s.now+announceInterval)
		return
	}
	if !p.announceScheduled {
		p.announceScheduled = true
		s.timers.set(timerKey{kind: timerAnnounceNode}, s.now+s.jitter(announceJitter))
		return
	}
	if p.lease == 0 && s.members.livePeers == 0 && !p.listRequested { // other nodes may have announced themselves by now
		p.listRequested, p.awaitsList = true, true
		s.listNodes()
		return
	}
	p.announceCall.inFlight = true
	switch {
	case p.lease == 0:
		s.emit(GrantLease{TTL: nodeLeaseTTL})
	case !p.announced:
		p.members = s.announcedMembers()
		s.emit(AnnounceNode{Lease: p.lease, Entry: NodeEntry{Node: s.cfg.Self, Zone: s.cfg.Zone, Address: s.cfg.Address, Members: p.members}})
	default:
		s.emit(RenewLease{Lease: p.lease})
	}
}

// endAnnounceStep handles the result of a step and schedules the next one: after next if it succeeded, at once if the
// lease is gone, else after a backoff.
func (s *State) endAnnounceStep(result StoreResult, next time.Duration) {
	p := &s.platform
	p.announceCall.inFlight = false
	s.noteStoreAnswer(result != StoreUnknown)
	switch result {
	case StoreOK:
		p.announceCall.recordSuccess()
	case StoreNoLease:
		p.announceCall.recordSuccess()
		p.lease, p.announced, next = 0, false, 0
	default:
		next = s.recordFailure(&p.announceCall)
	}
	s.timers.set(timerKey{kind: timerAnnounceNode}, s.now+next)
}

func (s *State) handleLeaseGranted(in LeaseGranted) {
	if in.Result == StoreOK {
		s.platform.lease = in.Lease
	}
	s.endAnnounceStep(in.Result, 0)
}

func (s *State) handleNodeAnnounced(in NodeAnnounced) {
	result := s.resultFor(in.Lease, in.Result)
	s.platform.announced = result == StoreOK
	s.endAnnounceStep(result, leaseRenewInterval)
}

// resultFor returns the result of a step under a lease. The lease that it succeeded with may be one of an earlier era, whose
// number the store has given to another holder since.
func (s *State) resultFor(lease uint64, result StoreResult) StoreResult {
	if result == StoreOK && lease != s.platform.lease {
		return StoreNoLease
	}
	return result
}

// forgetNodeLease gives up a lease of an earlier era, whose number may belong to another holder now. The next step takes a new
// one, under which the entry is written again.
func (s *State) forgetNodeLease() {
	if s.platform.lease != 0 {
		s.platform.lease, s.platform.announced = 0, false
		s.timers.set(timerKey{kind: timerAnnounceNode}, s.now)
	}
}

// handleLeaseRenewed also writes the entry again if it names another number of members.
func (s *State) handleLeaseRenewed(in LeaseRenewed) {
	in.Result = s.resultFor(in.Lease, in.Result)
	next := leaseRenewInterval
	if in.Result == StoreOK && s.platform.members != s.announcedMembers() {
		s.platform.announced, next = false, 0
	}
	s.endAnnounceStep(in.Result, next)
}

// listNodes lists the entries of the other nodes: at the start, and then if this node knows no others or is a reader of
// its zone.
func (s *State) listNodes() {
	if s.platform.listCall.inFlight || s.shutdown.phase != phaseServing {
		return
	}
	if s.platform.listed && s.members.livePeers > 0 && !s.isReader() {
		s.timers.set(timerKey{kind: timerListNodes}, s.now+listInterval)
		return
	}
	s.platform.listCall.inFlight = true
	s.emit(ListNodes{})
}

// handleNodesListed joins nodes that are not known here and schedules the next listing.
func (s *State) handleNodesListed(in NodesListed) {
	p := &s.platform
	p.listCall.inFlight = false
	s.noteStoreAnswer(in.Result != StoreUnknown)
	if p.awaitsList {
		p.awaitsList = false
		s.scheduleAnnouncement(in.Nodes)
	}
	if in.Result != StoreOK {
		s.timers.set(timerKey{kind: timerListNodes}, s.now+s.recordFailure(&p.listCall))
		s.probeGoneMember()
		return
	}
	p.listCall.recordSuccess()
	p.listed = true
	s.noteInvalidEntries(in.Invalid)
	s.noteExpectedMembers(in.Nodes)
	s.joinListedNodes(in.Nodes)
	next := listInterval
	if s.members.livePeers == 0 {
		next = listAloneInterval
	}
	s.timers.set(timerKey{kind: timerListNodes}, s.now+next/2+s.jitter(next/2))
}

// scheduleAnnouncement schedules the first announcement after the listing ahead of it: at once if no entries were
// found, else after announceInterval, so that the node can join the others first.
func (s *State) scheduleAnnouncement(found []NodeEntry) {
	wait := time.Duration(0)
	if len(found) > 0 {
		wait = announceInterval
	}
	s.timers.set(timerKey{kind: timerAnnounceNode}, s.now+wait)
}

// probeGoneMember sends a join request to the address of a random member that is dead, left or lost. While the store is
// unavailable, a node that restarts at its old address cannot find the others, but they know the address.
func (s *State) probeGoneMember() {
	var gone []string
	for _, m := range s.members.sorted() {
		if m.Node != s.cfg.Self && m.isGone() && m.Address != "" {
			gone = append(gone, m.Address)
		}
	}
	if len(gone) > 0 {
		s.sendJoinRequest(gone[s.random(len(gone))])
	}
}

// joinListedNodes sends join requests to up to joinsPerList unknown nodes, from a random place in the list on.
func (s *State) joinListedNodes(nodes []NodeEntry) {
	if len(nodes) == 0 {
		return
	}
	first := s.random(len(nodes))
	for i, asked := 0, 0; i < len(nodes) && asked < joinsPerList; i++ {
		entry := nodes[(first+i)%len(nodes)]
		if entry.Node == s.cfg.Self || entry.Address == s.cfg.Address || s.hasLiveMemberAt(entry.Address) {
			continue
		}
		s.joinThrough(entry.Address)
		asked++
	}
}

// withdrawNodeEntry removes this node's entry from the store by ending its lease.
func (s *State) withdrawNodeEntry() {
	if s.platform.lease != 0 {
		s.emit(EndLease{Lease: s.platform.lease})
		s.platform.lease, s.platform.announced = 0, false
	}
}
