package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Message is a control message between nodes. The peer runner encodes it.
type Message interface{ message() }

// MemberState is the state of a node, as far as the holder of the entry knows.
type MemberState uint8

// The states of a member. Of two entries with the same sequence, the one with the later state in this order
// supersedes the other.
const (
	MemberAlive MemberState = iota + 1
	MemberLeaving
	MemberSuspect
	MemberLost // no node of its zone is heard; it may be alive behind a partition
	MemberDead
	MemberLeft
)

var memberStateNames = [...]string{"", "alive", "leaving", "suspect", "lost", "dead", "left"}

func (s MemberState) String() string {
	if int(s) < len(memberStateNames) {
		return memberStateNames[s]
	}
	return "invalid"
}

// UpstreamState is the state of a backend server, as the node beside it announces it.
type UpstreamState uint8

// The states of a backend server.
const (
	UpstreamNone UpstreamState = iota // no backend server has registered
	UpstreamReady
	UpstreamDraining
	UpstreamDown // its registration has expired
)

var upstreamStateNames = [...]string{"none", "ready", "draining", "down"}

func (s UpstreamState) String() string {
	if int(s) < len(upstreamStateNames) {
		return upstreamStateNames[s]
	}
	return "invalid"
}

// Upstream describes the backend server beside a node.
type Upstream struct {
	Service string
	Slots   int
	State   UpstreamState
	Version string // of its software; empty if it states none
}

// Member is one entry of the member table. Only the node that the entry describes increases Sequence.
type Member struct {
	Node        NodeID
	Zone        string
	Address     string // IP:port of the peer listener
	Operator    string // IP:port of the operator endpoints
	Incarnation Incarnation
	Sequence    uint64
	State       MemberState
	Upstream    Upstream
	// RecordsHandedOver is set for a member that has left if other nodes have accepted all its records of idempotency keys.
	RecordsHandedOver bool
	// Age is the time since the member died or left. It is set only in messages.
	Age time.Duration
}

// Ref returns the member's address and incarnation.
func (m Member) Ref() PeerRef {
	return PeerRef{Node: m.Node, Address: m.Address, Incarnation: m.Incarnation}
}

// Heartbeat is sent on control links at a fixed interval.
type Heartbeat struct {
	Version     tables.VersionID
	TableDigest uint64 // digest of the member table
	Zones       []ZoneHeard
	StoreEra    uint64 // of the platform's store, the latest that the sender has seen or heard of
	Reply       bool   // answers a heartbeat
}

// ZoneTag identifies a zone in heartbeats: the low bits of a hash of its name.
type ZoneTag uint32

const zoneTagMask = 1<<24 - 1

// ZoneHeard reports how long ago any node of a zone was last heard from, by the sender itself or by another
// node whose heartbeats it has received.
type ZoneHeard struct {
	Zone ZoneTag
	Age  time.Duration
}

// MemberDigest carries a hash of each bucket of the sender's member table. The receiver answers with the
// entries of the buckets that differ.
type MemberDigest struct {
	Buckets []uint64
	Reply   bool // answers a digest
}

// MemberUpdate carries member entries. The receiver relays those that change its table.
type MemberUpdate struct {
	Members []Member
	// Repair is set when the entries answer a digest. A node that is joining does not relay those.
	Repair bool
}

func (Heartbeat) message()    {}
func (MemberUpdate) message() {}
func (MemberDigest) message() {}
