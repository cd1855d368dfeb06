package reducer

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Status is the state of a node as operators see it.
type Status struct {
	Node       NodeID
	Zone       string
	Ready      bool
	Leaving    bool
	Version    tables.VersionID
	VersionAge time.Duration
	Refusals   ConfigRefusals
	// Unsupported holds the routes of the active version whose requests are refused. It must not be modified.
	Unsupported []tables.Route
	StoreEra    uint64 // of the platform's store; 0 if it states none
	// InvalidEntries are the entries in the store that are left out.
	InvalidEntries []InvalidEntry
	Members        []Member
	Backend        Upstream
	Load           LoadReport
	Calls          int    // calls that entered at this node and have no response yet
	Records        int    // execution records
	LinkRefusals   uint64 // calls that were refused because of the link
	SpeedBalances  []SpeedBalance
	Capacity       BackendCapacity
}

func (s *State) status() Status {
	return Status{
		Node: s.cfg.Self, Zone: s.cfg.Zone,
		Ready:   s.isReady() && s.shutdown.phase == phaseServing,
		Leaving: s.shutdown.phase != phaseServing,
		Version: s.config.active.ID(), VersionAge: s.now - s.config.activeSince,
		Refusals: s.config.refusals, Unsupported: s.config.active.UnsupportedRoutes(),
		StoreEra:       s.storeEra.Current(),
		InvalidEntries: s.platform.invalidEntries,
		Members:        append([]Member(nil), s.members.sorted()...),
		Backend:        s.members.table[s.cfg.Self].Upstream,
		Load:           s.loadReport(), Calls: len(s.ingress.calls), Records: s.target.records.len(),
		LinkRefusals:  s.links.refused,
		SpeedBalances: s.speedBalances(), Capacity: s.backendCapacity(),
	}
}
