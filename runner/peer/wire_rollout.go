package peer

import (
	"math"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// RolloutUpdates is reducer.RolloutUpdates on the wire.
type RolloutUpdates struct {
	Updates  []RolloutUpdate
	Complete bool
}

// RolloutUpdate is rollout.Update on the wire.
type RolloutUpdate struct {
	Service, Version, From string
	State                  uint8
	Step                   int
	Share                  float64
	Guarded, Final, Halted bool
	Era                    uint64 // of the platform's store; 0 from a node of an earlier release
	Revision, Refresh      uint64
	Order                  uint64
	Node, Address          string // of the decider
	Incarnation            uint64
}

// RolloutReport is reducer.RolloutReport on the wire, with one slice for each field of the routes, as in MemberTable.
type RolloutReport struct {
	Service, Upstream string
	Era, Revision     uint64
	OldCalls          int
	Serves            bool
	Slots, Busy       int // 0 from a node of an earlier release
	Route             []string
	Calls, Failures   []int
	Latency           []uint16 // rollout.LatencyBuckets for each route
}

// RolloutFetch is reducer.RolloutFetch on the wire.
type RolloutFetch struct{ All bool }

// wireRollout returns the wire form of a message about roll-outs, or nil for another one.
func wireRollout(message reducer.Message) *ControlArgs {
	switch m := message.(type) {
	case reducer.RolloutUpdates:
		out := &RolloutUpdates{Complete: m.Complete}
		for _, u := range m.Updates {
			out.Updates = append(out.Updates, RolloutUpdate{
				Service: u.Service, Version: u.Version, From: u.From, State: uint8(u.State), Step: u.Step, Share: u.Share,
				Guarded: u.Guarded, Final: u.Final, Halted: u.Halted, Era: u.Era, Revision: u.Revision, Refresh: u.Refresh, Order: u.Order,
				Node: u.Decider.ID, Address: u.Decider.Address, Incarnation: u.Decider.Incarnation,
			})
		}
		return &ControlArgs{RolloutUpdates: out}
	case reducer.RolloutReport:
		r := m.Report
		out := &RolloutReport{Service: r.Service, Upstream: r.Upstream, Era: r.Era, Revision: r.Revision, OldCalls: r.OldCalls, Serves: r.Serves, Slots: r.Slots, Busy: r.Busy}
		for _, route := range r.Routes {
			out.Route = append(out.Route, route.Route)
			out.Calls, out.Failures = append(out.Calls, route.Calls), append(out.Failures, route.Failures)
			out.Latency = append(out.Latency, route.Buckets[:]...)
		}
		return &ControlArgs{RolloutReport: out}
	case reducer.RolloutFetch:
		return &ControlArgs{RolloutFetch: &RolloutFetch{All: true}}
	default:
		return nil
	}
}

// toRolloutMessage returns the message about roll-outs that is carried, or nil when there is none.
func (a *ControlArgs) toRolloutMessage() reducer.Message {
	switch {
	case a.RolloutUpdates != nil:
		out := reducer.RolloutUpdates{Complete: a.RolloutUpdates.Complete}
		for _, u := range a.RolloutUpdates.Updates {
			if u.isValid() {
				out.Updates = append(out.Updates, u.toUpdate())
			}
		}
		return out
	case a.RolloutReport != nil:
		if report, ok := a.RolloutReport.toReport(); ok {
			return reducer.RolloutReport{Report: report}
		}
		return nil
	case a.RolloutFetch != nil:
		return reducer.RolloutFetch{}
	default:
		return nil
	}
}

// isValid reports whether a node can have sent an update. One that is not is left out.
func (u RolloutUpdate) isValid() bool {
	switch {
	case u.Service == "", len(u.Service) > maxNameBytes, len(u.Version) > maxNameBytes, len(u.From) > maxNameBytes, len(u.Node) > maxNameBytes:
		return false
	case rollout.State(u.State) > rollout.RolledBack, u.Revision == 0, math.IsNaN(u.Share), u.Share < 0, u.Share > 1:
		return false
	}
	return isPeerAddress(u.Address)
}

func (u RolloutUpdate) toUpdate() rollout.Update {
	return rollout.Update{
		Service: u.Service, Version: u.Version, From: u.From, State: rollout.State(u.State), Step: u.Step, Share: u.Share,
		Guarded: u.Guarded, Final: u.Final, Halted: u.Halted, Era: u.Era, Revision: u.Revision, Refresh: u.Refresh, Order: u.Order,
		Decider: rollout.Node{ID: u.Node, Address: u.Address, Incarnation: u.Incarnation},
	}
}

// maxReportedCalls is far above the responses of an upstream between two reports.
const maxReportedCalls = 1 << 20

// toReport returns the report, or false if no node can have sent it.
func (r *RolloutReport) toReport() (rollout.Report, bool) {
	out := rollout.Report{Service: r.Service, Upstream: r.Upstream, Era: r.Era, Revision: r.Revision, OldCalls: r.OldCalls, Serves: r.Serves, Slots: r.Slots, Busy: r.Busy}
	n := len(r.Route)
	if len(r.Service) > maxNameBytes || len(r.Upstream) > maxNameBytes || r.OldCalls < 0 || r.Slots < 0 || r.Busy < 0 || len(r.Calls) != n || len(r.Failures) != n || len(r.Latency) != n*rollout.LatencyBuckets {
		return rollout.Report{}, false
	}
	for i, route := range r.Route {
		if r.Failures[i] < 0 || r.Calls[i] < r.Failures[i] || r.Calls[i] > maxReportedCalls || len(route) > maxNameBytes {
			return rollout.Report{}, false
		}
		count := rollout.RouteCount{Route: route, Calls: r.Calls[i], Failures: r.Failures[i]}
		copy(count.Buckets[:], r.Latency[i*rollout.LatencyBuckets:])
		out.Routes = append(out.Routes, count)
	}
	return out, true
}
