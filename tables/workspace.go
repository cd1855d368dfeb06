package tables

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
)

// KeyFingerprint identifies a caller's key: the first 16 bytes of its SHA-256 hash. The tables hold fingerprints only, so
// that no key can be read from a node, a status page or a copy of the tables.
type KeyFingerprint [16]byte

// FingerprintOf returns the fingerprint of a key.
func FingerprintOf(key string) KeyFingerprint {
	sum := sha256.Sum256([]byte(key))
	return KeyFingerprint(sum[:len(KeyFingerprint{})])
}

// String returns the fingerprint in hexadecimal, as it is written in the tables.
func (f KeyFingerprint) String() string { return hex.EncodeToString(f[:]) }

// parseFingerprint parses the text that String returns.
func parseFingerprint(text string) (KeyFingerprint, bool) {
	var f KeyFingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(f) {
		return f, false
	}
	copy(f[:], decoded)
	return f, true
}

// Workspace is a customer whose callers identify themselves with keys.
type Workspace struct {
	Name string
	Keys []KeyFingerprint
	// Priority replaces the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst bound the requests of the workspace at all nodes together: Rate per second, and Burst at once. A Rate
	// of 0 is no limit.
	Rate  float64
	Burst float64
}

// Limits of the keys of a workspace.
const (
	MaxWorkspaceRate = 1e9 // requests per second, and requests at once
	maxWorkspaceName = 200 // bytes
)

// workspacePrefix begins the name of each section that defines a workspace.
const workspacePrefix = "workspace"

// HasWorkspaces reports whether the tables define workspaces, so that routes that are not public require a key.
func (s *Snapshot) HasWorkspaces() bool { return s != nil && len(s.workspaces) > 0 }

// Workspaces returns the workspaces, sorted by name. The caller must not modify their keys.
func (s *Snapshot) Workspaces() []Workspace {
	if s == nil {
		return nil
	}
	workspaces := make([]Workspace, 0, len(s.workspaces))
	for _, w := range s.workspaces {
		workspaces = append(workspaces, *w)
	}
	sort.Slice(workspaces, func(i, j int) bool { return workspaces[i].Name < workspaces[j].Name })
	return workspaces
}

// Workspace returns the workspace with the given name, or false.
func (s *Snapshot) Workspace(name string) (*Workspace, bool) {
	if s == nil {
		return nil, false
	}
	w, ok := s.workspaces[name]
	return w, ok
}

// WorkspaceOf returns the workspace that holds a key, or false.
func (s *Snapshot) WorkspaceOf(key KeyFingerprint) (*Workspace, bool) {
	if s == nil {
		return nil, false
	}
	w, ok := s.byKey[key]
	return w, ok
}

// readWorkspace reads a workspace.
func (s *section) readWorkspace() *Workspace {
	w := &Workspace{
		Name:  s.name(),
		Rate:  s.number("rate", 0, 0, MaxWorkspaceRate),
		Burst: s.number("burst", 0, 0, MaxWorkspaceRate),
	}
	if !isHeaderValue(w.Name) || len(w.Name) > maxWorkspaceName {
		s.addFault("", "has the name %q, expected 1 to %d printable ASCII characters", w.Name, maxWorkspaceName)
	}
	if s.text("priority", "") != "" {
		w.HasPriority = true
		w.Priority = int(s.integer("priority", 0, 0, Priorities-1))
	}
	for _, text := range strings.FieldsFunc(s.text("keys", ""), func(r rune) bool { return r == ',' || r == ' ' }) {
		key, ok := parseFingerprint(text)
		if !ok {
			s.addFault("keys", "contains %q, expected fingerprints of %d hexadecimal digits", text, 2*len(key))
			continue
		}
		w.Keys = append(w.Keys, key)
	}
	s.rejectUnknownKeys()
	return w
}

// addWorkspace adds a workspace and rejects a key that is held already.
func (c *checker) addWorkspace(parsed *parsedSection) {
	w := parsed.workspace
	for _, key := range w.Keys {
		if other, taken := c.snapshot.byKey[key]; taken {
			c.addFault("routes", parsed.title, "keys", "contains %s, which workspace %q holds already", key, other.Name)
			continue
		}
		c.snapshot.byKey[key] = w
	}
	c.snapshot.workspaces[w.Name] = w
}

// isHeaderValue reports whether a text can be sent as the value of an HTTP header and is not empty.
func isHeaderValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return text != ""
}
