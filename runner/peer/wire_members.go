package peer

import (
	"net/netip"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// MemberTable is a list of reducer.Member on the wire, with one slice for each field; all slices have the length of
// Node. With a slice of structs, a frame of empty structs would take some 300 times its size in memory, because gob
// builds every struct before anything can be checked. A slice of strings takes at most 16 times its size.
type MemberTable struct {
	Node        []string
	Zone        []string
	Address     []string
	Operator    []string
	Incarnation []uint64
	Sequence    []uint64
	State       []byte   // reducer.MemberState
	Service     []string // Service of reducer.Upstream
	Slots       []int    // Slots of reducer.Upstream
	Upstream    []byte   // State of reducer.Upstream
	AgeMillis   []int64  // ms since the member died or left
	Handed      []bool   // reducer.Member.RecordsHandedOver
	Software    []string // Version of reducer.Upstream; absent from a node of an earlier release, or if no upstream states one
}

// MemberUpdate is reducer.MemberUpdate on the wire.
type MemberUpdate struct {
	Members MemberTable
	Repair  bool // the entries answer a digest
}

// MemberDigest is reducer.MemberDigest on the wire.
type MemberDigest struct {
	Buckets []uint64 // hash of each bucket of the sender's member table
	Reply   bool     // answers a digest
}

func (t *MemberTable) add(m reducer.Member) {
	t.Node = append(t.Node, string(m.Node))
	t.Zone = append(t.Zone, m.Zone)
	t.Address = append(t.Address, m.Address)
	t.Operator = append(t.Operator, m.Operator)
	t.Incarnation = append(t.Incarnation, uint64(m.Incarnation))
	t.Sequence = append(t.Sequence, m.Sequence)
	t.State = append(t.State, byte(m.State))
	t.Service = append(t.Service, m.Upstream.Service)
	t.Slots = append(t.Slots, m.Upstream.Slots)
	t.Upstream = append(t.Upstream, byte(m.Upstream.State))
	t.AgeMillis = append(t.AgeMillis, m.Age.Milliseconds())
	t.Handed = append(t.Handed, m.RecordsHandedOver)
	if m.Upstream.Version != "" || len(t.Software) > 0 {
		t.Software = append(t.Software, make([]string, len(t.Node)-1-len(t.Software))...)
		t.Software = append(t.Software, m.Upstream.Version)
	}
}

// hasEqualLengths reports whether all slices have the length of Node.
func (t *MemberTable) hasEqualLengths() bool {
	n := len(t.Node)
	for _, length := range []int{
		len(t.Zone), len(t.Address), len(t.Operator), len(t.Incarnation), len(t.Sequence), len(t.State),
		len(t.Service), len(t.Slots), len(t.Upstream), len(t.AgeMillis), len(t.Handed),
	} {
		if length != n {
			return false
		}
	}
	return len(t.Software) == 0 || len(t.Software) == n
}

// software returns the version of an upstream, or an empty text if none was sent.
func (t *MemberTable) software(i int) string {
	if len(t.Software) == 0 {
		return ""
	}
	return t.Software[i]
}

const (
	// maxNameBytes is the longest name of a node, a zone or a service.
	maxNameBytes = 200
	// maxSlots is far above the slots of any backend server.
	maxSlots = 1 << 20
	// maxAgeMillis is far above the time for which members that have left are remembered.
	maxAgeMillis = int64(10 * 365 * 24 * time.Hour / time.Millisecond)
	// maxSequence leaves a node room to exceed the sequence of an entry about it, so that it can refute the entry.
	maxSequence = 1 << 62
)

// isValid reports whether a node can have sent an entry: its numbers are in their ranges. One that is not is left out,
// and the others are followed.
func (t *MemberTable) isValid(i int) bool {
	state, upstream := reducer.MemberState(t.State[i]), reducer.UpstreamState(t.Upstream[i])
	switch {
	case t.Node[i] == "", len(t.Node[i]) > maxNameBytes, len(t.Zone[i]) > maxNameBytes, len(t.Service[i]) > maxNameBytes, len(t.software(i)) > maxNameBytes:
		return false
	case state < reducer.MemberAlive, state > reducer.MemberLeft, upstream > reducer.UpstreamDown:
		return false
	case t.Slots[i] < 0, t.Slots[i] > maxSlots, upstream == reducer.UpstreamReady && t.Slots[i] == 0:
		return false
	case t.Sequence[i] > maxSequence, t.AgeMillis[i] < 0, t.AgeMillis[i] > maxAgeMillis:
		return false
	}
	return isPeerAddress(t.Address[i])
}

// isPeerAddress reports whether an address is empty or IP:port. An entry that was learned from a hello has none.
func isPeerAddress(address string) bool {
	if address == "" {
		return true
	}
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && !parsed.Addr().IsMulticast()
}

// toMembers returns the entries, or nil when the slices differ in length.
func (t *MemberTable) toMembers() []reducer.Member {
	if !t.hasEqualLengths() {
		return nil
	}
	out := make([]reducer.Member, 0, len(t.Node))
	for i := range t.Node {
		if !t.isValid(i) {
			continue
		}
		out = append(out, reducer.Member{
			Node: reducer.NodeID(t.Node[i]), Zone: t.Zone[i], Address: t.Address[i], Operator: t.Operator[i],
			Incarnation: reducer.Incarnation(t.Incarnation[i]), Sequence: t.Sequence[i], State: reducer.MemberState(t.State[i]),
			Upstream: reducer.Upstream{Service: t.Service[i], Slots: t.Slots[i], State: reducer.UpstreamState(t.Upstream[i]), Version: t.software(i)},
			Age:      time.Duration(t.AgeMillis[i]) * time.Millisecond, RecordsHandedOver: t.Handed[i],
		})
	}
	return out
}
