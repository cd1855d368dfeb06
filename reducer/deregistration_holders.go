package reducer

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/deregistration"
)

const (
	// askedHolders is how many nodes are asked to hold a deregistration: one more than have to.
	askedHolders = 3
	// copyRenewalInterval is how often a node looks whether other nodes hold its recent deregistrations. A process that has just
	// started does not know the others yet.
	copyRenewalInterval = 100 * time.Millisecond
)

// holderKey names the process of a node, which holds records in its memory.
func holderKey(node PeerRef) string { return fmt.Sprintf("%s-%x", node.Node, uint64(node.Incarnation)) }

// renewCopies asks other nodes to hold recent deregistrations, also those that have taken the place of holders that have gone
// or started again.
func (s *State) renewCopies() {
	recent := s.registration.ledger.Recent(s.now)
	for _, d := range recent {
		s.sendToHolders(d)
	}
	if len(recent) > 0 {
		s.timers.set(timerKey{kind: timerDeregistrationCopies}, s.now+copyRenewalInterval)
	}
}

// sendToHolders asks other nodes to hold a deregistration, except those that have said that they do.
func (s *State) sendToHolders(d deregistration.Record) {
	for _, node := range s.holders(askedHolders) {
		if to := s.members.table[NodeID(node)].Ref(); !s.registration.ledger.IsHeldBy(holderKey(to), d) {
			s.emit(Send{To: to, Message: HoldDeregistrations{Records: []deregistration.Record{d}}})
		}
	}
}

// possibleHolders returns the number of other nodes that could hold a deregistration. A process that has just started does not
// know them yet.
func (s *State) possibleHolders() int {
	if !s.hasJoined() {
		return 1
	}
	return s.members.livePeers
}

// holders returns n nodes that hold the deregistrations of this one.
func (s *State) holders(n int) []string {
	var peers []deregistration.Peer
	for _, m := range s.members.sorted() {
		if m.Node != s.cfg.Self && m.State == MemberAlive {
			peers = append(peers, deregistration.Peer{Node: string(m.Node), Zone: m.Zone, Weight: hashString(string(s.cfg.Self), "\x00", string(m.Node))})
		}
	}
	return deregistration.Holders(peers, n)
}

// handleHoldDeregistrations holds deregistrations for another node.
func (s *State) handleHoldDeregistrations(from PeerRef, in HoldDeregistrations) {
	held := s.registration.keeper.Keep(string(from.Node), in.Records, s.now)
	s.emit(Send{To: from, Message: DeregistrationsHeld{Records: held}})
}

// handleDeregistrationsHeld acknowledges deregistrations that other nodes hold, and applies those that an earlier
// process of this node asked them to hold.
func (s *State) handleDeregistrationsHeld(from PeerRef, in DeregistrationsHeld) {
	r := &s.registration
	for _, d := range in.Records {
		if known, ok := r.ledger.Find(d.Instance); !ok || known.At < d.At {
			s.log(LevelInfo, "leave of the backend server is known to another node", Field{"instance", d.Instance}, Field{"born", d.At}, Field{"from", from.Node})
			s.applyDeregistration(d)
			s.timers.set(timerKey{kind: timerDeregistrationRetry}, s.now)
		}
		r.ledger.HeldBy(holderKey(from), d)
	}
	s.acknowledgeKept()
	r.inquiry.Answered(string(from.Node), from.Incarnation < s.cfg.Incarnation)
	s.concludeInquiry()
}
