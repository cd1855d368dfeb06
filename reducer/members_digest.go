package reducer

import "time"

const (
	bucketCount = 32
	// exchangeInterval is the shortest time between two anti-entropy exchanges that this node starts. It doubles up to
	// exchangeIntervalMax while exchanges change nothing, as with peers whose tables are full.
	exchangeInterval    = heartbeatInterval
	exchangeIntervalMax = 8 * time.Second
	// exchangeQuiet is how long the table has to be unchanged before a digest mismatch counts, because tables also
	// differ while an update floods. exchangeMaxWait after the last exchange a mismatch counts anyway.
	exchangeQuiet   = 300 * time.Millisecond
	exchangeMaxWait = 2 * time.Second
)

// exchangeState limits the rate of the anti-entropy exchanges that this node starts.
type exchangeState struct {
	started  bool
	last     time.Duration
	interval time.Duration // 0 after the table has changed
}

func bucketOf(node NodeID) int { return int(hashString(string(node)) % bucketCount) }

// hash returns a hash of the fields that identify the version of an entry.
func (m Member) hash() uint64 {
	h := hashString(string(m.Node))
	h = mixBits(h ^ uint64(m.Incarnation))
	h = mixBits(h ^ m.Sequence)
	return mixBits(h ^ uint64(m.State.advertised()))
}

// digest returns a hash of the member table, equal on nodes that hold the same entries.
func (m *memberState) digest() uint64 {
	h := uint64(fnvOffset)
	for _, bucket := range m.buckets {
		h = mixBits(h ^ bucket)
	}
	return h
}

// compareDigest starts an anti-entropy exchange with a peer whose digest differs.
func (s *State) compareDigest(from PeerRef, digest uint64) {
	x := &s.members.exchange
	if digest == s.members.digest() || x.started && s.now-x.last < max(x.interval, exchangeInterval) {
		return
	}
	if s.now-s.members.changedAt < exchangeQuiet && s.now-x.last < exchangeMaxWait {
		return
	}
	x.started, x.last = true, s.now
	x.interval = min(max(2*x.interval, exchangeInterval), exchangeIntervalMax)
	s.emit(Send{To: from, Message: s.digestMessage(false)})
}

// handleMemberDigest sends this node's entries of the buckets that differ, and then, unless the message is a reply,
// this node's digest, so that the peer sends what this node lacks.
func (s *State) handleMemberDigest(from PeerRef, in MemberDigest) {
	if len(in.Buckets) != bucketCount {
		return
	}
	var differs [bucketCount]bool
	for i, bucket := range in.Buckets {
		differs[i] = bucket != s.members.buckets[i]
	}
	if entries := s.bucketEntries(differs); len(entries) > 0 {
		s.emit(Send{To: from, Message: MemberUpdate{Members: entries, Repair: true}})
	}
	if !in.Reply {
		s.emit(Send{To: from, Message: s.digestMessage(true)})
	}
}

func (s *State) digestMessage(reply bool) MemberDigest {
	buckets := s.members.buckets
	return MemberDigest{Buckets: buckets[:], Reply: reply}
}

// bucketEntries returns the members of the marked buckets as they are sent, with their lost earlier incarnations.
func (s *State) bucketEntries(buckets [bucketCount]bool) []Member {
	var entries []Member
	for _, m := range s.members.sorted() {
		if !buckets[bucketOf(m.Node)] {
			continue
		}
		entries = append(entries, s.advertisedEntry(m))
		if past, ok := s.members.past[m.Node]; ok {
			lost := past.member
			lost.Age = s.now - past.at
			entries = append(entries, lost)
		}
	}
	return entries
}

// advertisedEntry returns an entry as it is sent.
func (s *State) advertisedEntry(m Member) Member {
	m.State = m.State.advertised()
	if since, ok := s.members.endedAt[m.Node]; ok {
		m.Age = s.now - since
	}
	return m
}
