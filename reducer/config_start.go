package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// startupFetchInterval is the time between rounds of requests to peers while the node has no version.
	startupFetchInterval = 250 * time.Millisecond
	maxStartupFetches    = 3 // maximum number of peers with an open request before any version was seen
	// startupFetchTimeout is the maximum wait for peers that do not answer. It is two heartbeat intervals: a reachable
	// peer has answered by then.
	startupFetchTimeout = 2 * heartbeatInterval
	// joinTimeout is how long a node that expects other nodes but reaches none waits before it serves alone.
	joinTimeout = 3 * heartbeatInterval
	// maxStartupTime is the time within which a node that reaches a peer with a version has one itself.
	maxStartupTime = joinTimeout + startupFetchTimeout
)

// startupState tracks how a node without a version finds the newest one. The node activates the highest version among
// the answers of its peers, so that a restarted node does not return to an older version if one peer is behind. A
// document from the store is activated at once, because reads of the store are linearizable.
type startupState struct {
	started         bool
	waitingSince    time.Duration // when the wait for peers began
	askedAt         map[NodeID]time.Duration
	answered        map[NodeID]bool
	peerVersionSeen bool       // a peer has sent a version
	pending         *candidate // newest version that passed the check
}

// fetchFirstVersion asks peers for their version while this node has none.
func (s *State) fetchFirstVersion() {
	if s.config.active != nil {
		return
	}
	if !s.config.startup.started {
		s.config.startup.started = true
		s.config.startup.waitingSince = s.now
		s.timers.set(timerKey{kind: timerStoreRead}, s.now+s.jitter(startupReadJitter))
		s.timers.set(timerKey{kind: timerReaderCheck}, s.now+readerCheckInterval)
	}
	s.fetchFromPeers(s.newestCandidate())
	s.timers.set(timerKey{kind: timerStartupFetch}, s.now+startupFetchInterval)
	s.activatePending()
}

// fetchFromPeers asks the linked peers that have not answered for a version newer than seen. While seen is zero, at
// most maxStartupFetches requests are open: each answer is a complete document, and a zone that starts together would
// send it over every link. A peer is asked again only after startupFetchTimeout: requests queue up while a connection
// is being set up, and each would be answered. A peer without a version announces its first version later.
func (s *State) fetchFromPeers(seen tables.VersionID) {
	startup := &s.config.startup
	var peers, askAgain []NodeID
	waiting := 0
	for _, peer := range s.linkedPeers() {
		lastAsked, asked := startup.askedAt[peer]
		switch {
		case startup.answered[peer]:
		case asked && s.now-lastAsked < startupFetchTimeout:
			waiting++
		case asked:
			askAgain = append(askAgain, peer)
		default:
			peers = append(peers, peer)
		}
	}
	peers = append(peers, askAgain...)
	if seen.Number == 0 {
		peers = peers[:min(len(peers), max(0, maxStartupFetches-waiting))]
	}
	for _, peer := range peers {
		if startup.askedAt == nil {
			startup.askedAt = map[NodeID]time.Duration{}
		}
		startup.askedAt[peer] = s.now
		s.emit(Send{To: s.members.table[peer].Ref(), Message: ConfigFetch{Have: seen}})
	}
}

// newestCandidate returns the newest version among the candidates, or zero.
func (s *State) newestCandidate() (newest tables.VersionID) {
	for _, c := range []*candidate{s.config.checking, s.config.waiting, s.config.startup.pending} {
		if c != nil && c.id.IsNewerThan(newest) {
			newest = c.id
		}
	}
	return newest
}

// recordStartupAnswer records the answer of a peer. The first version restarts the wait, and the other peers are asked
// only for a newer one.
func (s *State) recordStartupAnswer(from PeerRef, in ConfigUpdate) {
	startup := &s.config.startup
	if startup.answered == nil {
		startup.answered = map[NodeID]bool{}
	}
	startup.answered[from.Node] = true
	if !in.None && !startup.peerVersionSeen {
		startup.peerVersionSeen = true
		startup.waitingSince = s.now
		s.fetchFromPeers(in.Document.ID())
	}
}

// isPeerWaitOver reports whether all linked peers have answered or startupFetchTimeout has passed.
func (s *State) isPeerWaitOver() bool {
	startup := &s.config.startup
	if s.now-startup.waitingSince >= startupFetchTimeout {
		return true
	}
	peers := s.linkedPeers()
	for _, peer := range peers {
		if !startup.answered[peer] {
			return false
		}
	}
	return len(peers) > 0
}

// activatePending activates the pending version of a node that has none active: one from the store at once, one from a
// peer when the other peers have answered.
func (s *State) activatePending() {
	c := s.config.startup.pending
	if s.config.active != nil || c == nil || s.config.checking != nil || !c.fromStore && !s.isPeerWaitOver() {
		return
	}
	s.config.startup.pending = nil
	s.activate(c, tables.Delta{})
}
