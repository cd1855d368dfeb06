package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/substitute"
)

const (
	// substituteAfter is how long the store may leave a reader without an answer before it looks for a substitute.
	substituteAfter = time.Second
	// substituteInterval is how often a reader that the store does not answer looks after its substitute.
	substituteInterval = 250 * time.Millisecond
	// recentAnswer is the age up to which an answer of the store shows that it answers this node.
	recentAnswer = 500 * time.Millisecond
)

// substituteState is both sides of the reading of the store for others.
type substituteState struct {
	search substitute.Search
	until  time.Duration // this node reads the store for another one until then
	askers map[NodeID]PeerRef
}

// readsForOthers reports whether this node reads the store in place of one that the store does not answer.
func (s *State) readsForOthers() bool { return s.now < s.config.substitute.until }

// isOwnReader reports whether this node is one of the first live nodes of its zone, which read the store.
func (s *State) isOwnReader() bool { return s.readerRank() < s.readersOfZone() }

// watchSubstitute asks other nodes of the zone, one at a time, to read the store in place of this reader, for as long
// as the store does not answer this one.
func (s *State) watchSubstitute() {
	sub := &s.config.substitute
	if !s.platform.unanswered || !s.isOwnReader() || s.shutdown.phase != phaseServing {
		sub.search.End()
		return
	}
	s.timers.set(timerKey{kind: timerSubstitute}, s.now+substituteInterval)
	if s.now-s.platform.unansweredSince < substituteAfter {
		return
	}
	if node, ok := sub.search.Next(s.now, s.substitutes()); ok {
		s.emit(Send{To: s.members.table[NodeID(node)].Ref(), Message: ReadForPeer{}})
	}
}

// substitutes returns the other live nodes of the zone in the order of their names: first the other readers.
func (s *State) substitutes() []string {
	var nodes []string
	for _, m := range s.members.sorted() {
		if m.Zone == s.cfg.Zone && m.State == MemberAlive && m.Node != s.cfg.Self {
			nodes = append(nodes, string(m.Node))
		}
	}
	return nodes
}

// handleReadForPeer reads the store in place of a reader that the store does not answer, and answers whether the
// store answers this node. Only a recent answer shows that: a watch may wait for a long time on a connection that has
// failed.
func (s *State) handleReadForPeer(from PeerRef) {
	sub := &s.config.substitute
	if s.shutdown.phase != phaseServing {
		s.emit(Send{To: from, Message: ReadsForPeer{}})
		return
	}
	isNew := !s.isReader()
	sub.until = s.now + substitute.RoleTTL
	s.timers.set(timerKey{kind: timerSubstituteRole}, sub.until)
	if !s.platform.unanswered && s.platform.answeredAt > 0 && s.now-s.platform.answeredAt <= recentAnswer && !isNew {
		s.emit(Send{To: from, Message: ReadsForPeer{Served: true}})
		return
	}
	if isNew {
		s.log(LevelInfo, "node reads the store for another one", Field{"asked_by", from.Node})
	}
	if sub.askers == nil {
		sub.askers = map[NodeID]PeerRef{}
	}
	sub.askers[from.Node] = from
	s.readStore()
}

// answerAskers answers the nodes in whose place this one reads the store, after a call that shows whether the store
// answers it. One that it does not answer reads for nobody.
func (s *State) answerAskers(served bool) {
	sub := &s.config.substitute
	for _, node := range sortedKeys(sub.askers) {
		s.emit(Send{To: sub.askers[node], Message: ReadsForPeer{Served: served}})
	}
	clear(sub.askers)
	if !served {
		sub.until = 0
		s.endSubstituteRole()
	}
}

// endSubstituteRole ends the watch of a node that reads for others no more, which would keep a call of the store waiting.
func (s *State) endSubstituteRole() {
	if watch := &s.config.reader.watch; watch.inFlight && !s.isReader() {
		watch.inFlight = false
		s.emit(EndWatch{})
	}
}

// handleReadsForPeer notes whether a node that was asked reads the store in place of this one.
func (s *State) handleReadsForPeer(from PeerRef, in ReadsForPeer) {
	search := &s.config.substitute.search
	_, before := search.Substitute()
	search.Answered(string(from.Node), in.Served, s.now)
	if node, found := search.Substitute(); found && !before {
		s.log(LevelInfo, "another node reads the store for this one", Field{"substitute", node}, Field{"unanswered", s.now - s.platform.unansweredSince})
	}
}
