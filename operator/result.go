package operator

import "github.com/rosemaryhatch/rosemaryhatch/tables"

// Outcome is how a command ended.
type Outcome uint8

// The outcomes of commands. Their numbers are the exit codes.
const (
	Done     Outcome = 0
	Failed   Outcome = 1 // nothing was changed
	Invalid  Outcome = 2 // wrong usage or invalid tables; nothing was changed
	Conflict Outcome = 3 // another version came first; nothing was changed
	Unknown  Outcome = 4 // the new version may or may not be in the store
	Timeout  Outcome = 5 // a version is not active on all live members
)

var outcomeNames = [...]string{"done", "failed", "invalid", "conflict", "unknown", "timeout"}

// String returns the name of the outcome, as it appears in the output.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid outcome"
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// ExitCode returns the exit code of the process for the outcome.
func (o Outcome) ExitCode() int { return int(o) }

// VersionInfo identifies a version and its author, without the tables.
type VersionInfo struct {
	Version uint64 `json:"version"`
	EditID  string `json:"edit_id"`
	Author  string `json:"author"`
	Hash    string `json:"hash"`
}

func newVersionInfo(d tables.Document) *VersionInfo {
	return &VersionInfo{Version: d.Version, EditID: d.EditID, Author: d.Author, Hash: d.Hash}
}

// LaggingMember is a live member on which a version is not active.
type LaggingMember struct {
	Node    string `json:"node,omitempty"`
	Address string `json:"address"`
	Version uint64 `json:"version"`           // active version of the node
	Problem string `json:"problem,omitempty"` // why the version of the node is not known
}

// Result is what a command reports at its end.
type Result struct {
	Outcome    Outcome         `json:"outcome"`
	Version    uint64          `json:"version,omitempty"` // version written or waited for
	EditID     string          `json:"edit_id,omitempty"`
	Hash       string          `json:"hash,omitempty"`
	Superseded uint64          `json:"superseded_by,omitempty"` // later version that has already replaced the one written
	Other      *VersionInfo    `json:"other,omitempty"`         // version that was written first, after a conflict
	Difference []Change        `json:"difference,omitempty"`    // from Other to the tables of the request
	Lagging    []LaggingMember `json:"lagging,omitempty"`
	Members    int             `json:"members,omitempty"` // number of live members that have the version
	ElapsedMs  int64           `json:"elapsed_ms,omitempty"`
	Problem    string          `json:"problem,omitempty"`
	Warnings   []string        `json:"warnings,omitempty"`
}
