package reducer

import (
	"math"
	"slices"
	"time"
)

// crossZones is the number of other zones that a node has a control link to.
const crossZones = 2

// overlayState holds this node's control links, in both directions.
type overlayState struct {
	stale bool // the members that take part have changed
	links map[NodeID]*link
	order []NodeID
}

// direction says which end of a link sends heartbeats. Floods use links in both directions; heartbeats
// go one way, because both ways cost more than the 16 KB/s of section 1.3.
type direction uint8

const (
	linkOut direction = 1 << iota // this node sends heartbeats
	linkIn                        // the peer sends heartbeats, and this node observes it
)

// link is what this node observed on a control link.
type link struct {
	direction direction
	heard     time.Duration // last message, or when the link was set up
	reported  bool          // suspected since the last message
	backoff   time.Duration // after a failed send
	retryAt   time.Duration
}

func (o *overlayState) init() {
	o.links = map[NodeID]*link{}
	o.stale = true
}

// linked returns the peers at the other end of this node's control links, by node. A link that is new is
// given the full time before its silence counts.
func (s *State) linked() []NodeID {
	o := &s.members.overlay
	if s.awaitsTable() {
		return nil
	}
	self := s.members.table[s.cfg.Self]
	if !o.stale || !self.linkable() {
		return o.order // a node that has left keeps its links, to say so
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
	s.linked()
	return s.members.overlay.links[node]
}

func (s *State) resetLink(node NodeID) {
	if l := s.members.overlay.links[node]; l != nil {
		*l = link{direction: l.direction, heard: s.now}
	}
}

// flood sends a message on all links.
func (s *State) flood(message Message) {
	for _, node := range s.linked() {
		s.sendOnLink(node, message)
	}
}

// zoneSizes counts the nodes of each zone that take part in the overlay.
func (m *memberState) zoneSizes() map[string]int {
	sizes := map[string]int{}
	for _, member := range m.sorted() {
		if member.linkable() {
			sizes[member.Zone]++
		}
	}
	return sizes
}

// spreadInterval is the shortest time between two updates that this node passes on. When many nodes
// return at once, the entries that arrive in between travel together.
const spreadInterval = 20 * time.Millisecond

// spreadState holds entries that wait to be passed on, the newest of each member.
type spreadState struct {
	pending map[NodeID]pendingEntry
	next    time.Duration // earliest time to pass on
}

type pendingEntry struct {
	member Member
	heldBy []NodeID // peers that sent this entry or a newer one
}

// spread passes entries on to all links except those whose peers have sent the same entry.
func (s *State) spread(news []Member, from NodeID) {
	sp := &s.members.spread
	if sp.pending == nil {
		sp.pending = map[NodeID]pendingEntry{}
	}
	for _, member := range news {
		sp.pending[member.Node] = pendingEntry{member, []NodeID{from}}
	}
	if sp.next <= s.now {
		s.spreadDue()
		return
	}
	s.timers.set(timerKey{kind: timerGossip}, sp.next)
}

// noteHeld notes that a peer holds an entry that waits to be passed on.
func (s *State) noteHeld(member Member, by NodeID) {
	entry, waits := s.members.spread.pending[member.Node]
	if waits && !entry.member.supersedes(member) {
		entry.heldBy = append(entry.heldBy, by)
		s.members.spread.pending[member.Node] = entry
	}
}

// relayZoneNodes is the number of nodes from which on a zone tells all other zones of its members itself. Smaller
// ones may have no links to some zones.
const relayZoneNodes = 12

// relays reports whether a zone's nodes pass news of a member on to a zone. They leave out the zones that have it from
// links to the member's own zone; where those are cut, the digests of heartbeats show what is missing.
func (s *State) relays(member Member, to string, sizes map[string]int) bool {
	return to == s.cfg.Zone || member.Zone == s.cfg.Zone || sizes[member.Zone] < relayZoneNodes
}

func (s *State) spreadDue() {
	sp := &s.members.spread
	waiting := sortedKeys(sp.pending)
	sizes := s.members.zoneSizes()
	for _, node := range s.linked() {
		zone := s.members.table[node].Zone
		var members []Member
		for _, id := range waiting {
			entry := sp.pending[id]
			if !slices.Contains(entry.heldBy, node) && s.relays(entry.member, zone, sizes) {
				members = append(members, entry.member)
			}
		}
		if len(members) > 0 {
			s.sendOnLink(node, MemberUpdate{Members: members})
		}
	}
	sp.pending = nil
	sp.next = s.now + spreadInterval
}

// sendOnLink sends a message unless the link waits after a failed send; heartbeats repair what is missed.
func (s *State) sendOnLink(node NodeID, message Message) {
	if l := s.members.overlay.links[node]; l.retryAt <= s.now {
		s.emit(Send{To: s.members.table[node].Ref(), Message: message})
	}
}

// ringNode is a member with its position in the order of links between zones. Positions do not depend
// on other members, so that a member that comes or goes moves few of these links.
type ringNode struct {
	id       NodeID
	position uint64
}

// zoneRing holds the members of a zone that take part in the overlay, by node.
type zoneRing struct {
	zone  string
	nodes []ringNode
}

// overlayPeers returns the nodes that self links to and those that link to self.
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
	gap := positionGap(own, at)
	for other, ring := range rings {
		if other == home {
			continue
		}
		if zonesLinked(len(rings), home, other, at, own[at].position) {
			peers[successor(ring.nodes, own[at].position)] |= linkOut
		}
		for i, n := range ring.nodes {
			if own[at].position-n.position < gap && zonesLinked(len(rings), other, home, i, n.position) {
				peers[n.id] |= linkIn
			}
		}
	}
	return peers
}

// zoneRings returns the rings of all zones, by zone.
func zoneRings(members []Member) []zoneRing {
	byZone := map[string][]ringNode{}
	for _, m := range members {
		if m.linkable() {
			byZone[m.Zone] = append(byZone[m.Zone], ringNode{m.Node, hashString(string(m.Node))})
		}
	}
	var rings []zoneRing
	for _, zone := range sortedKeys(byZone) {
		rings = append(rings, zoneRing{zone, byZone[zone]})
	}
	return rings
}

// zonesLinked reports whether a node of one zone links to another zone; with few zones it links to all.
// The first node of a zone links to the next zones in order, so that the zones are always connected.
func zonesLinked(zones, from, to, index int, position uint64) bool {
	others := zones - 1
	first := 0
	if index > 0 {
		first = int(position % uint64(others))
	}
	step := (to - from - 1 + zones) % zones
	return (step-first+others)%others < crossZones
}

// positionGap returns the distance from the position before a node's own: the node is the successor of
// the positions that are closer. A node alone is the successor of all.
func positionGap(ring []ringNode, at int) uint64 {
	gap := uint64(math.MaxUint64)
	for i, n := range ring {
		if i != at {
			gap = min(gap, ring[at].position-n.position)
		}
	}
	return gap
}

// successor returns the node whose position follows a given one.
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

// hashString is FNV-1a with a final mix, because positions need all bits to vary.
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
