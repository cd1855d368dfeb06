// Package nodestatus defines the JSON form of a node's status, which the operator endpoint of a node serves and
// operators' tools read. Fields may be added but are never renamed, and readers ignore fields that they do not know.
package nodestatus

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Path is the HTTP path at which a node serves its status.
const Path = "/status"

// Status is the status of a node.
type Status struct {
	Node         string   `json:"node"`
	Zone         string   `json:"zone"`
	Ready        bool     `json:"ready"`
	Leaving      bool     `json:"leaving"`
	Version      Version  `json:"version"`
	VersionAgeMs int64    `json:"version_age_ms"`
	Rejected     Rejected `json:"rejected_versions"`
	// UnsupportedRoutes are the routes of the active version whose requests the node refuses.
	UnsupportedRoutes []UnsupportedRoute `json:"unsupported_routes,omitempty"`
	// StoreEra counts how often the platform's store was restored from an older copy; absent if it does not state it.
	StoreEra uint64 `json:"store_era,omitempty"`
	// InvalidEntries are the entries in the platform's store that the node leaves out.
	InvalidEntries []InvalidEntry `json:"invalid_entries,omitempty"`
	Backend        Upstream       `json:"backend"`
	Load           Load           `json:"load"`
	Calls          int            `json:"calls"`
	Records        int            `json:"records"`
	Members        []Member       `json:"members"`
}

// Version identifies a version of the tables.
type Version struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
}

// InvalidEntry is an entry in the platform's store that the node leaves out.
type InvalidEntry struct {
	Key     string `json:"key"`
	Problem string `json:"problem"`
}

// UnsupportedRoute is a route that the node's release cannot serve.
type UnsupportedRoute struct {
	Name    string `json:"name"`
	Problem string `json:"problem"`
}

// Rejected counts the versions that a node rejected, by reason.
type Rejected struct {
	Older       uint64 `json:"older"`
	Conflicting uint64 `json:"conflicting"`
	Invalid     uint64 `json:"invalid"`
	Damaged     uint64 `json:"damaged"`
	Malformed   uint64 `json:"malformed"`
}

// Total returns the number of rejected versions over all reasons.
func (r Rejected) Total() uint64 {
	return r.Older + r.Conflicting + r.Invalid + r.Damaged + r.Malformed
}

// Upstream is the state of a backend server, as known to the node beside it.
type Upstream struct {
	Service string `json:"service"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// Load describes the backend server beside a node and the queue in front of it.
type Load struct {
	Slots         int     `json:"slots"`
	Running       int     `json:"running"`
	Queued        int     `json:"queued"`
	ServiceTimeUs int64   `json:"service_time_us"`
	WaitsUs       []int64 `json:"waits_us"` // expected time in the queue in microseconds, by priority
}

// Member is an entry of a node's member table.
type Member struct {
	Node        string   `json:"node"`
	Zone        string   `json:"zone"`
	State       string   `json:"state"`
	Address     string   `json:"address"`
	Operator    string   `json:"operator"`
	Incarnation uint64   `json:"incarnation"`
	Sequence    uint64   `json:"sequence"`
	Upstream    Upstream `json:"upstream"`
}

// IsLive reports whether a member is expected to activate new versions, which is so while it is alive or suspect.
func (m Member) IsLive() bool {
	return m.State == reducer.MemberAlive.String() || m.State == reducer.MemberSuspect.String()
}

// Parse decodes a status from JSON. It returns an error when the body is not JSON or does not name a node.
func Parse(body []byte) (Status, error) {
	var status Status
	if err := json.Unmarshal(body, &status); err != nil {
		return Status{}, oops.In("nodestatus").Wrapf(err, "answer is not the status of a node")
	}
	if status.Node == "" {
		return Status{}, oops.In("nodestatus").Errorf("status has no field %q, expected the name of the node", "node")
	}
	return status, nil
}

// New converts the status of a node from the form of the reducer.
func New(s reducer.Status) Status {
	out := Status{
		Node: string(s.Node), Zone: s.Zone, Ready: s.Ready, Leaving: s.Leaving,
		Version:      Version{Number: s.Version.Number, Hash: s.Version.Hash},
		VersionAgeMs: s.VersionAge.Milliseconds(),
		Rejected: Rejected{
			Older: s.Refusals.Older, Conflicting: s.Refusals.Conflicting, Invalid: s.Refusals.Invalid,
			Damaged: s.Refusals.Damaged, Malformed: s.Refusals.Malformed,
		},
		StoreEra: s.StoreEra, Backend: newUpstream(s.Backend), Load: newLoad(s.Load), Calls: s.Calls, Records: s.Records,
		Members: make([]Member, 0, len(s.Members)),
	}
	for _, route := range s.Unsupported {
		out.UnsupportedRoutes = append(out.UnsupportedRoutes, UnsupportedRoute{Name: route.Name, Problem: route.Unsupported})
	}
	for _, entry := range s.InvalidEntries {
		out.InvalidEntries = append(out.InvalidEntries, InvalidEntry(entry))
	}
	for _, m := range s.Members {
		out.Members = append(out.Members, Member{
			Node: string(m.Node), Zone: m.Zone, State: m.State.String(), Address: m.Address, Operator: m.Operator,
			Incarnation: uint64(m.Incarnation), Sequence: m.Sequence, Upstream: newUpstream(m.Upstream),
		})
	}
	return out
}

func newUpstream(u reducer.Upstream) Upstream {
	return Upstream{Service: u.Service, Slots: u.Slots, State: u.State.String()}
}

func newLoad(l reducer.LoadReport) Load {
	out := Load{Slots: l.Slots, Running: l.Running, Queued: l.Queued, ServiceTimeUs: int64(l.ServiceTime / time.Microsecond)}
	for _, wait := range l.Waits {
		out.WaitsUs = append(out.WaitsUs, int64(wait/time.Microsecond))
	}
	return out
}
