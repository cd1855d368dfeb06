package reducer

import (
	"slices"
	"time"
)

// Bounds of the backoff between join requests, and of sends on a link after a failure.
const (
	reconnectFirst = 200 * time.Millisecond
	reconnectMax   = 5 * time.Second
)

// joiningPeriod is how long after its start a node counts as joining even if it knows members: links of its earlier
// incarnation may bring updates before it has the member table.
const joiningPeriod = reconnectMax

// firstTableWait is how long a starting node waits for the member table before it sets up links, because links derived
// from a partial table would change again. It is shorter than silenceLimit, after which peers would suspect it.
const firstTableWait = 700 * time.Millisecond

func (s *State) awaitsFirstTable() bool {
	return !s.members.join.tableReceived && s.now < firstTableWait && s.expectsPeers()
}

// joinState is the state of the search for a first peer.
type joinState struct {
	tableReceived bool     // a peer has answered a digest with entries
	addresses     []string // learned after the start, in addition to the seeds
	firstIndex    int      // random, so that nodes spread over the seeds
	attempts      int      // since the start
	backoff       time.Duration
}

// maxJoinAddresses limits the learned addresses; the newest are kept.
const maxJoinAddresses = 4

// joinThrough sends a join request to an address, such as one listed in the platform's store, and remembers the
// address. It does nothing if a live member has the address. A node that has peers sends the request too, because the
// address may belong to a group of nodes that does not know of this one.
func (s *State) joinThrough(address string) {
	j := &s.members.join
	if address == "" || s.hasLiveMemberAt(address) {
		return
	}
	if !slices.Contains(j.addresses, address) {
		j.addresses = append(j.addresses, address)
	}
	if len(j.addresses) > maxJoinAddresses {
		j.addresses = j.addresses[1:]
	}
	s.sendJoinRequest(address)
}

func (s *State) hasLiveMemberAt(address string) bool {
	return slices.ContainsFunc(s.members.sorted(), func(m Member) bool {
		return m.Address == address && m.isInOverlay() && m.State != MemberLost
	})
}

// joinAddresses returns the seeds without this node's own address, and the learned addresses.
func (s *State) joinAddresses() []string {
	var addresses []string
	for _, seed := range s.cfg.Seeds {
		if seed != s.cfg.Address {
			addresses = append(addresses, seed)
		}
	}
	return append(addresses, s.members.join.addresses...)
}

// tryNextJoinAddress asks one address after the other, with backoff, while no live peer is known. After its start a
// node asks each address at least once even if it has peers: seeds that do not know each other would never merge
// otherwise.
func (s *State) tryNextJoinAddress() {
	j := &s.members.join
	addresses := s.joinAddresses()
	if s.shutdown.phase == phaseStopped || s.members.livePeers > 0 && j.attempts >= len(addresses) {
		j.backoff = 0
		return
	}
	if len(addresses) > 0 {
		s.sendJoinRequest(addresses[(j.firstIndex+j.attempts)%len(addresses)])
	}
	j.attempts++
	j.backoff = nextBackoff(j.backoff)
	s.timers.set(timerKey{kind: timerJoin}, s.now+j.backoff/2+s.jitter(j.backoff/2))
}

// startJoining starts the search for a peer when no live one is known, after a random delay, so that nodes that start
// together do not ask at the same time.
func (s *State) startJoining() {
	if s.members.livePeers > 0 || s.members.join.backoff > 0 {
		return
	}
	s.members.join.backoff = reconnectFirst
	s.members.join.firstIndex = s.random(1 << 16)
	s.timers.set(timerKey{kind: timerJoin}, s.now+s.jitter(reconnectFirst))
}

// probeUnknownSeed sends a join request to a random seed that belongs to no known member: groups of nodes that started
// on two sides of a partition do not know of each other. On average one node of a group does so per heartbeat interval.
func (s *State) probeUnknownSeed() {
	if s.members.livePeers == 0 {
		return // tryNextJoinAddress asks all seeds
	}
	var unknown []string
	for _, seed := range s.cfg.Seeds {
		known := slices.ContainsFunc(s.members.sorted(), func(m Member) bool { return m.Address == seed && m.isInOverlay() })
		if seed != s.cfg.Address && !known {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) > 0 && s.random(s.members.livePeers+1) == 0 {
		s.sendJoinRequest(unknown[s.random(len(unknown))])
	}
}

// sendJoinRequest sends this node's entry and its digest, which the receiver answers with the entries that differ.
func (s *State) sendJoinRequest(address string) {
	to := PeerRef{Address: address}
	s.emit(Send{To: to, Message: MemberUpdate{Members: []Member{s.members.table[s.cfg.Self]}}})
	s.emit(Send{To: to, Message: s.digestMessage(false)})
}

func nextBackoff(backoff time.Duration) time.Duration {
	return min(max(2*backoff, reconnectFirst), reconnectMax)
}
