package peer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// ControlArgs carries one control message; exactly one field is set.
type ControlArgs struct {
	Heartbeat    *Heartbeat
	MemberUpdate *MemberUpdate
	MemberDigest *MemberDigest
	ConfigUpdate *ConfigUpdate
	ConfigFetch  *ConfigFetch
	QuotaRequest *QuotaRequest
	QuotaGrant   *QuotaGrant

	RolloutUpdates *RolloutUpdates
	RolloutReport  *RolloutReport
	RolloutFetch   *RolloutFetch

	ReadForPeer  *ReadForPeer
	ReadsForPeer *ReadForPeer

	HoldDeregistrations *Deregistrations
	DeregistrationsHeld *Deregistrations
}

// Version is tables.VersionID on the wire.
type Version struct {
	Number uint64
	Hash   string
}

// Heartbeat is reducer.Heartbeat on the wire.
type Heartbeat struct {
	Version Version
	Members uint64   // digest of the sender's member table
	Zones   []uint32 // per zone: its tag in the upper 24 bits, its age in units of zoneAgeUnit in the lower 8
	Era     uint64   // of the platform's store; 0 from a node of an earlier release
	Reply   bool     // answers a heartbeat
}

// zoneAgeUnit is the unit of the ages in Heartbeat.Zones. It lets 3 s, after which a zone is lost, fit into 8 bits.
const zoneAgeUnit = 16 * time.Millisecond

// maxEra is far above the number of times that a store is restored from a copy.
const maxEra = 1 << 32

func wireHeartbeat(m reducer.Heartbeat) *Heartbeat {
	out := &Heartbeat{Version: wireVersion(m.Version), Members: m.TableDigest, Era: m.StoreEra, Reply: m.Reply}
	for _, zone := range m.Zones {
		age := min((zone.Age+zoneAgeUnit-1)/zoneAgeUnit, 0xff)
		out.Zones = append(out.Zones, uint32(zone.Zone)<<8|uint32(age))
	}
	return out
}

func (h *Heartbeat) toMessage() reducer.Heartbeat {
	out := reducer.Heartbeat{Version: h.Version.toID(), TableDigest: h.Members, StoreEra: min(h.Era, maxEra), Reply: h.Reply}
	for _, zone := range h.Zones {
		age := time.Duration(zone&0xff) * zoneAgeUnit
		out.Zones = append(out.Zones, reducer.ZoneHeard{Zone: reducer.ZoneTag(zone >> 8), Age: age})
	}
	return out
}

func wireVersion(v tables.VersionID) Version { return Version{Number: v.Number, Hash: v.Hash} }

func (v Version) toID() tables.VersionID { return tables.VersionID{Number: v.Number, Hash: v.Hash} }

// wireControl returns the wire form of a control message, or nil for a type that has none.
func wireControl(message reducer.Message) *ControlArgs {
	switch m := message.(type) {
	case reducer.Heartbeat:
		return &ControlArgs{Heartbeat: wireHeartbeat(m)}
	case reducer.MemberUpdate:
		update := &MemberUpdate{Repair: m.Repair}
		for _, member := range m.Members {
			update.Members.add(member)
		}
		return &ControlArgs{MemberUpdate: update}
	case reducer.MemberDigest:
		return &ControlArgs{MemberDigest: &MemberDigest{Buckets: m.Buckets, Reply: m.Reply}}
	case reducer.ConfigUpdate:
		return &ControlArgs{ConfigUpdate: wireConfigUpdate(m)}
	case reducer.ConfigFetch:
		return &ControlArgs{ConfigFetch: &ConfigFetch{Have: wireVersion(m.Have)}}
	case reducer.QuotaRequest:
		return &ControlArgs{QuotaRequest: wireQuotaRequest(m)}
	case reducer.QuotaGrant:
		return &ControlArgs{QuotaGrant: wireQuotaGrant(m)}
	case reducer.ReadForPeer:
		return &ControlArgs{ReadForPeer: &ReadForPeer{Any: true}}
	case reducer.ReadsForPeer:
		return &ControlArgs{ReadsForPeer: &ReadForPeer{Any: true, Served: m.Served}}
	case reducer.HoldDeregistrations:
		return &ControlArgs{HoldDeregistrations: wireDeregistrations(m.Records)}
	case reducer.DeregistrationsHeld:
		return &ControlArgs{DeregistrationsHeld: wireDeregistrations(m.Records)}
	default:
		return wireRollout(message)
	}
}

// toMessage returns the message that is carried, or nil when this node does not know its type. It returns an error when
// the texts of a ConfigUpdate cannot be unpacked.
func (a *ControlArgs) toMessage() (reducer.Message, error) {
	switch {
	case a.Heartbeat != nil:
		return a.Heartbeat.toMessage(), nil
	case a.MemberUpdate != nil:
		update := reducer.MemberUpdate{Repair: a.MemberUpdate.Repair}
		update.Members = a.MemberUpdate.Members.toMembers()
		return update, nil
	case a.MemberDigest != nil:
		return reducer.MemberDigest{Buckets: a.MemberDigest.Buckets, Reply: a.MemberDigest.Reply}, nil
	case a.ConfigUpdate != nil:
		return a.ConfigUpdate.toMessage()
	case a.ConfigFetch != nil:
		return reducer.ConfigFetch{Have: a.ConfigFetch.Have.toID()}, nil
	case a.QuotaRequest != nil:
		return a.QuotaRequest.toMessage(), nil
	case a.QuotaGrant != nil:
		return a.QuotaGrant.toMessage(), nil
	case a.ReadForPeer != nil:
		return reducer.ReadForPeer{}, nil
	case a.ReadsForPeer != nil:
		return reducer.ReadsForPeer{Served: a.ReadsForPeer.Served}, nil
	case a.HoldDeregistrations != nil:
		return reducer.HoldDeregistrations{Records: a.HoldDeregistrations.toRecords()}, nil
	case a.DeregistrationsHeld != nil:
		return reducer.DeregistrationsHeld{Records: a.DeregistrationsHeld.toRecords()}, nil
	default:
		return a.toRolloutMessage(), nil
	}
}
