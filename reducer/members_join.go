package reducer

import (
	"slices"
	"time"
)

// Reconnects and joins wait a random part of a backoff between these bounds.
const (
	reconnectFirst = 200 * time.Millisecond
	reconnectMax   = 5 * time.Second
)

// joinTime is how long a node counts as one that joins: it may hear of a few members before it is given the
// table, because its earlier life had links.
const joinTime = reconnectMax

// tableWait is how long a node that starts has no links before it is given the table: links of a part of the
// table are not those that it will have. It is shorter than the silence after which peers suspect it.
const tableWait = 700 * time.Millisecond

// awaitsTable reports whether this node waits for its first table.
func (s *State) awaitsTable() bool {
	return !s.members.join.given && s.now < tableWait && s.expectsPeers()
}

// joinState is the search for a first peer.
type joinState struct {
	given     bool     // a peer has answered a digest with entries
	addresses []string // learned after the start, in addition to the seeds
	first     int      // random, so that nodes spread over the seeds
	asked     int      // attempts since the start
	backoff   time.Duration
}

// maxJoinAddresses bounds the learned addresses; the newest are kept.
const maxJoinAddresses = 4

// joinThrough adds an address to join through, such as one that the platform's store names. An address
// that belongs to no live member is asked at once, also by a node that has peers: it may be in another
// group of nodes that does not know of this one.
func (s *State) joinThrough(address string) {
	j := &s.members.join
	if address == "" || s.hasAddress(address) {
		return
	}
	if !slices.Contains(j.addresses, address) {
		j.addresses = append(j.addresses, address)
	}
	if len(j.addresses) > maxJoinAddresses {
		j.addresses = j.addresses[1:]
	}
	s.askToJoin(address)
}

func (s *State) hasAddress(address string) bool {
	return slices.ContainsFunc(s.members.sorted(), func(m Member) bool {
		return m.Address == address && m.linkable() && m.State != MemberLost
	})
}

func (s *State) joinAddresses() []string {
	var addresses []string
	for _, seed := range s.cfg.Seeds {
		if seed != s.cfg.Address {
			addresses = append(addresses, seed)
		}
	}
	return append(addresses, s.members.join.addresses...)
}

// joinDue asks one address after the other for the member table while no live peer is known. After its
// start a node asks each address once even so: seeds that do not know each other otherwise stay apart.
func (s *State) joinDue() {
	j := &s.members.join
	addresses := s.joinAddresses()
	if s.shutdown.phase == phaseStopped || s.members.live > 0 && j.asked >= len(addresses) {
		j.backoff = 0
		return
	}
	if len(addresses) > 0 {
		s.askToJoin(addresses[(j.first+j.asked)%len(addresses)])
	}
	j.asked++
	j.backoff = nextBackoff(j.backoff)
	s.timers.set(timerKey{kind: timerJoin}, s.now+j.backoff/2+s.jitter(j.backoff/2))
}

// startJoining begins to join, at a random time so that nodes that start together spread.
func (s *State) startJoining() {
	if s.members.live > 0 || s.members.join.backoff > 0 {
		return
	}
	s.members.join.backoff = reconnectFirst
	s.members.join.first = s.random(1 << 16)
	s.timers.set(timerKey{kind: timerJoin}, s.now+s.jitter(reconnectFirst))
}

// probeUnknownSeed asks a seed that belongs to no known member: groups of nodes that started on the two sides of a
// partition know nothing of each other. About one node of a group does so in each heartbeat interval.
func (s *State) probeUnknownSeed() {
	if s.members.live == 0 {
		return // joinDue asks all seeds
	}
	var unknown []string
	for _, seed := range s.cfg.Seeds {
		known := slices.ContainsFunc(s.members.sorted(), func(m Member) bool { return m.Address == seed && m.linkable() })
		if seed != s.cfg.Address && !known {
			unknown = append(unknown, seed)
		}
	}
	if len(unknown) > 0 && s.random(s.members.live+1) == 0 {
		s.askToJoin(unknown[s.random(len(unknown))])
	}
}

func (s *State) askToJoin(address string) {
	to := PeerRef{Address: address}
	s.emit(Send{To: to, Message: MemberUpdate{Members: []Member{s.members.table[s.cfg.Self]}}})
	s.emit(Send{To: to, Message: s.digestMessage(false)})
}

func nextBackoff(backoff time.Duration) time.Duration {
	return min(max(2*backoff, reconnectFirst), reconnectMax)
}
