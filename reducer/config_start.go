package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// startAskInterval is the time between rounds of requests to peers while the node has no version.
	startAskInterval = 250 * time.Millisecond
	startAskFirst    = 3 // maximum number of peers with an open request before any version was seen
	// startWindow is the maximum wait for an answer of a peer. It is two heartbeat intervals: a reachable peer has
	// answered by then.
	startWindow = 2 * heartbeatInterval
	// joinGrace is how long a node that expects other nodes but reaches none waits before it serves alone.
	joinGrace = 3 * heartbeatInterval
	// startBound is the time within which a node that reaches a peer with a version has a version itself.
	startBound = joinGrace + startWindow
)

// startState tracks how a node without a version finds the newest one. The node asks its peers and activates the
// highest version among their answers, so that a restarted node does not return to an older version if one peer is
// behind. A document from the store is activated at once, because reads of the store are linearizable.
type startState struct {
	begun    bool
	since    time.Duration // when the wait for peers began
	asked    map[NodeID]time.Duration
	answered map[NodeID]bool
	peerSeen bool       // a peer has sent a version
	pending  *candidate // newest version that passed the check
}

// startAskDue asks peers for their version while this node has none. The first call also schedules the first read of
// the store.
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

// askPeers asks the linked peers that have not answered for a version newer than seen. While seen is zero, at most
// startAskFirst requests are open: each answer is the whole text, and when all nodes of a zone start together it would
// be sent over every link. A peer is asked again only after startWindow: requests queue up while a connection is being
// set up, and each of them would be answered. A peer without a version announces its first version later.
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

// newestOffered returns the newest version among the candidates, or zero if there is none.
func (s *State) newestOffered() (newest tables.VersionID) {
	for _, c := range []*candidate{s.config.checking, s.config.waiting, s.config.start.pending} {
		if c != nil && c.id.Newer(newest) {
			newest = c.id
		}
	}
	return newest
}

// startAnswered records the answer of a peer. When the first version arrives, the wait for peers begins anew, and the
// peers that have not answered are asked only for a newer version.
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

// peersAnswered reports whether all linked peers have answered, or startWindow has passed.
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

// startProgress activates the pending version of a node that has none active: one from the store at once, one from a
// peer when the other peers have answered.
func (s *State) startProgress() {
	c := s.config.start.pending
	if s.config.active != nil || c == nil || s.config.checking != nil || !c.stored && !s.peersAnswered() {
		return
	}
	s.config.start.pending = nil
	s.activate(c, tables.Delta{})
}
