package reducer

import (
	"math"
	"slices"
	"time"
)

// crossZoneLinks is the number of other zones to which a node has a control link.
const crossZoneLinks = 2

// overlayState holds this node's control links, in both directions.
type overlayState struct {
	stale bool // the members of the overlay have changed
	links map[NodeID]*link
	order []NodeID // keys of links, sorted
}

// direction says which ends of a link send heartbeats. Floods use links in both directions; heartbeats go one way,
// because both ways would exceed the limit of 16 KB/s (docs/design.md, section 1.3).
type direction uint8

const (
	linkOut direction = 1 << iota // this node sends heartbeats
	linkIn                        // the peer sends heartbeats, and this node watches for them
)

// link is the state of a control link.
type link struct {
	direction direction
	heard     time.Duration // last message, or when the link was set up or reset
	reported  bool          // the peer has been suspected since its last message
	backoff   time.Duration // after a failed send
	retryAt   time.Duration // earliest next send after a failed one
}

func (o *overlayState) init() {
	o.links = map[NodeID]*link{}
	o.stale = true
}

// linkedPeers returns the peers of this node's control links, sorted by node. The silence of a link that is new, or on
// which the peer now sends heartbeats, counts from now.
func (s *State) linkedPeers() []NodeID {
	o := &s.members.overlay
	if s.awaitsFirstTable() {
		return nil
	}
	self := s.members.table[s.cfg.Self]
	if !o.stale || !self.isInOverlay() {
		return o.order // a node that has left keeps its links, to announce that it left
	}
	o.stale = false
	peers := overlayPeers(self, s.members.sorted())
	o.order = sortedKeys(peers)
	links := make(map[NodeID]*link, len(peers))
	for node, direction := range peers {
		l := o.links[node]
		if l == nil || l.direction&linkIn < direction&linkIn {
			l = &link{heard: s.now}
		}
		l.direction = direction
		links[node] = l
	}
	o.links = links
	return o.order
}

func (s *State) linkTo(node NodeID) *link {
	s.linkedPeers()
	return s.members.overlay.links[node]
}

// resetLink clears what was observed on a link; its silence counts from now.
func (s *State) resetLink(node NodeID) {
	if l := s.members.overlay.links[node]; l != nil {
		*l = link{direction: l.direction, heard: s.now}
	}
}

// flood sends a message on all links.
func (s *State) flood(message Message) {
	for _, node := range s.linkedPeers() {
		s.sendOnLink(node, message)
	}
}

// zoneSizes returns the number of nodes per zone that take part in the overlay.
func (m *memberState) zoneSizes() map[string]int {
	sizes := map[string]int{}
	for _, member := range m.sorted() {
		if member.isInOverlay() {
			sizes[member.Zone]++
		}
	}
	return sizes
}

// relayInterval is the shortest time between two relayed batches of entries. When many nodes return at once, the
// entries that arrive in between are sent together.
const relayInterval = 20 * time.Millisecond

// relayState holds the entries that wait to be relayed, the newest of each member.
type relayState struct {
	pending map[NodeID]pendingEntry
	next    time.Duration // earliest time of the next batch
}

type pendingEntry struct {
	member  Member
	holders []NodeID // peers that sent this entry or a newer one
}

// relayEntries relays entries to all linked peers except those that have sent the same entry: at once, or with the next
// batch when the last one is less than relayInterval ago.
func (s *State) relayEntries(changed []Member, from NodeID) {
	r := &s.members.relay
	if r.pending == nil {
		r.pending = map[NodeID]pendingEntry{}
	}
	for _, member := range changed {
		r.pending[member.Node] = pendingEntry{member, []NodeID{from}}
	}
	if r.next <= s.now {
		s.relayPending()
		return
	}
	s.timers.set(timerKey{kind: timerRelay}, r.next)
}

// noteHolder notes that a peer holds a waiting entry or a newer one, so that it is sent no copy.
func (s *State) noteHolder(member Member, by NodeID) {
	entry, waits := s.members.relay.pending[member.Node]
	if waits && !entry.member.supersedes(member) {
		entry.holders = append(entry.holders, by)
		s.members.relay.pending[member.Node] = entry
	}
}

// fullyLinkedZoneNodes is the size from which on a zone has links to all other zones, so that those need not relay the
// entries of its members. Smaller zones may lack links to some zones.
const fullyLinkedZoneNodes = 12

// shouldRelay reports whether this node relays an entry to peers in the zone to. It does not if that zone gets the
// entry over its own links to the member's zone. Where those are cut, the digests of heartbeats show what is missing.
func (s *State) shouldRelay(member Member, to string, sizes map[string]int) bool {
	return to == s.cfg.Zone || member.Zone == s.cfg.Zone || sizes[member.Zone] < fullyLinkedZoneNodes
}

// relayPending relays the waiting entries as one message per link.
func (s *State) relayPending() {
	r := &s.members.relay
	waiting := sortedKeys(r.pending)
	sizes := s.members.zoneSizes()
	for _, node := range s.linkedPeers() {
		zone := s.members.table[node].Zone
		var members []Member
		for _, id := range waiting {
			entry := r.pending[id]
			if !slices.Contains(entry.holders, node) && s.shouldRelay(entry.member, zone, sizes) {
				members = append(members, entry.member)
			}
		}
		if len(members) > 0 {
			s.sendOnLink(node, MemberUpdate{Members: members})
		}
	}
	r.pending = nil
	r.next = s.now + relayInterval
}

// sendOnLink sends a message unless the link backs off after a failed send: the digests of later heartbeats repair what
// is missed.
func (s *State) sendOnLink(node NodeID, message Message) {
	if l := s.members.overlay.links[node]; l.retryAt <= s.now {
		s.emit(Send{To: s.members.table[node].Ref(), Message: message})
	}
}

// ringNode is a member with its position on the hash ring that determines the links between zones. The position depends
// only on the node's name, so that a member that joins or leaves moves few links.
type ringNode struct {
	id       NodeID
	position uint64
}

// zoneRing holds the members of a zone that take part in the overlay, sorted by node.
type zoneRing struct {
	zone  string
	nodes []ringNode
}

// overlayPeers returns the peers of self with the directions of the links. All nodes that hold the same members compute
// the same overlay. Within a zone a node links to those 1, 2, 4, ... places after it in the order of names, and to
// another zone it links to its successor on that zone's ring.
func overlayPeers(self Member, members []Member) map[NodeID]direction {
	rings := zoneRings(members)
	home := slices.IndexFunc(rings, func(r zoneRing) bool { return r.zone == self.Zone })
	own := rings[home].nodes
	at := slices.IndexFunc(own, func(n ringNode) bool { return n.id == self.Node })
	peers := map[NodeID]direction{}
	for distance := 1; 2*distance <= len(own); distance *= 2 {
		peers[own[(at+distance)%len(own)].id] |= linkOut
		peers[own[(at+len(own)-distance)%len(own)].id] |= linkIn
	}
	gap := predecessorGap(own, at)
	for other, ring := range rings {
		if other == home {
			continue
		}
		if linksToZone(len(rings), home, other, at, own[at].position) {
			peers[successor(ring.nodes, own[at].position)] |= linkOut
		}
		for i, n := range ring.nodes {
			if own[at].position-n.position < gap && linksToZone(len(rings), other, home, i, n.position) {
				peers[n.id] |= linkIn
			}
		}
	}
	return peers
}

// zoneRings returns the rings of all zones, sorted by zone.
func zoneRings(members []Member) []zoneRing {
	byZone := map[string][]ringNode{}
	for _, m := range members {
		if m.isInOverlay() {
			byZone[m.Zone] = append(byZone[m.Zone], ringNode{m.Node, hashString(string(m.Node))})
		}
	}
	var rings []zoneRing
	for _, zone := range sortedKeys(byZone) {
		rings = append(rings, zoneRing{zone, byZone[zone]})
	}
	return rings
}

// linksToZone reports whether a node of the zone with index from links to the zone with index to. A node links to
// crossZoneLinks other zones, or to all if there are no more. The first node of a zone links to the zones that follow
// its own, so that the zones are always connected; for the others position selects the zones.
func linksToZone(zones, from, to, index int, position uint64) bool {
	others := zones - 1
	first := 0
	if index > 0 {
		first = int(position % uint64(others))
	}
	step := (to - from - 1 + zones) % zones
	return (step-first+others)%others < crossZoneLinks
}

// predecessorGap returns the distance on the ring from a node's predecessor. The node is the successor of all positions
// that are closer than that; a node alone on its ring is the successor of all.
func predecessorGap(ring []ringNode, at int) uint64 {
	gap := uint64(math.MaxUint64)
	for i, n := range ring {
		if i != at {
			gap = min(gap, ring[at].position-n.position)
		}
	}
	return gap
}

// successor returns the first node on the ring at or after a position.
func successor(ring []ringNode, position uint64) NodeID {
	best := ring[0]
	for _, n := range ring[1:] {
		if n.position-position < best.position-position {
			best = n
		}
	}
	return best.id
}

func sortedKeys[K ~string, V any](set map[K]V) []K {
	keys := make([]K, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// hashString returns the FNV-1a hash of the parts, finalized with mixBits because ring positions need all bits to vary.
func hashString(parts ...string) uint64 {
	h := uint64(fnvOffset)
	for _, text := range parts {
		for i := 0; i < len(text); i++ {
			h = (h ^ uint64(text[i])) * fnvPrime
		}
	}
	return mixBits(h)
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// mixBits is the finalizer of MurmurHash3.
func mixBits(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
