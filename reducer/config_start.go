package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// startAskInterval is the time between questions to peers while the node holds no version.
	startAskInterval = 250 * time.Millisecond
	startAskFirst    = 3 // peers that are asked at a time before any version was seen
	// startWindow bounds the wait for peers that do not answer. It is two heartbeat intervals: a peer that
	// is reachable has answered by then.
	startWindow = 2 * heartbeatInterval
	// joinGrace is how long a node with seeds that do not answer waits before it serves alone.
	joinGrace = 3 * heartbeatInterval
	// startBound is in what time a node has a version when it reaches a peer that holds one.
	startBound = joinGrace + startWindow
)

// startState is how a node that holds no version finds the newest one. It asks its peers and takes the
// highest version of those that answer, so that a restarted node does not show an older version than
// before when one of them is behind. The store's document counts at once, because its reads are
// linearizable.
type startState struct {
	begun    bool
	since    time.Duration // start of the wait for peers
	asked    map[NodeID]time.Duration
	answered map[NodeID]bool
	peerSeen bool       // a peer has sent its version
	pending  *candidate // newest checked version
}

func (s *State) startAskDue() {
	if s.config.active != nil {
		return
	}
	if !s.config.start.begun {
		s.config.start.begun = true
		s.config.start.since = s.now
		s.timers.set(timerKey{kind: timerStoreRead}, s.now+s.jitter(startSpread))
		s.timers.set(timerKey{kind: timerReader}, s.now+readerInterval)
	}
	s.askPeers(s.newestOffered())
	s.timers.set(timerKey{kind: timerConfigStart}, s.now+startAskInterval)
	s.startProgress()
}

// askPeers asks the linked peers that have not answered for a version newer than the one seen. As long as
// none was seen, a few are asked at a time: each answer is the whole text, and a zone that starts together
// would send it on every link. A peer is asked again once its answer counts as lost: while connections are
// set up questions wait, and each would be answered. A peer that holds none announces its first version later.
func (s *State) askPeers(seen tables.VersionID) {
	start := &s.config.start
	var peers, again []NodeID
	waiting := 0
	for _, peer := range s.linked() {
		at, asked := start.asked[peer]
		switch {
		case start.answered[peer]:
		case asked && s.now-at < startWindow:
			waiting++
		case asked:
			again = append(again, peer)
		default:
			peers = append(peers, peer)
		}
	}
	peers = append(peers, again...)
	if seen.Number == 0 {
		peers = peers[:min(len(peers), max(0, startAskFirst-waiting))]
	}
	for _, peer := range peers {
		if start.asked == nil {
			start.asked = map[NodeID]time.Duration{}
		}
		start.asked[peer] = s.now
		s.emit(Send{To: s.members.table[peer].Ref(), Message: ConfigFetch{Have: seen}})
	}
}

// newestOffered returns the newest version that a peer has sent, or the store holds, of those that are not active
// yet.
func (s *State) newestOffered() (newest tables.VersionID) {
	for _, c := range []*candidate{s.config.checking, s.config.waiting, s.config.start.pending} {
		if c != nil && c.id.IsNewerThan(newest) {
			newest = c.id
		}
	}
	return newest
}

// startAnswered notes what a peer says about its version.
func (s *State) startAnswered(from PeerRef, in ConfigUpdate) {
	start := &s.config.start
	if start.answered == nil {
		start.answered = map[NodeID]bool{}
	}
	start.answered[from.Node] = true
	if !in.None && !start.peerSeen {
		start.peerSeen = true
		start.since = s.now
		s.askPeers(in.Document.ID())
	}
}

// peersAnswered reports whether all peers have answered or the wait for them is over.
func (s *State) peersAnswered() bool {
	start := &s.config.start
	if s.now-start.since >= startWindow {
		return true
	}
	peers := s.linked()
	for _, peer := range peers {
		if !start.answered[peer] {
			return false
		}
	}
	return len(peers) > 0
}

// startProgress activates the first version: the store's at once, that of peers when all have answered.
func (s *State) startProgress() {
	c := s.config.start.pending
	if s.config.active != nil || c == nil || s.config.checking != nil || !c.stored && !s.peersAnswered() {
		return
	}
	s.config.start.pending = nil
	s.activate(c, tables.Delta{})
}
