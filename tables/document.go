package tables

import (
	"crypto/sha256"
	"encoding/hex"
)

// MaxDocumentBytes limits the size of both tables' text together. The platform stores values of up to 1 MB,
// and escaping makes the JSON form of a document longer than its text.
const MaxDocumentBytes = 900_000

// Document is one version of both tables, as the text that operators wrote.
type Document struct {
	Version uint64 `json:"version"`
	EditID  string `json:"edit_id"` // unique; shows after a lost response whether a write took effect
	Author  string `json:"author"`
	Routes  string `json:"routes"`
	Pools   string `json:"pools"`
	Hash    string `json:"hash"` // ContentHash of Routes and Pools
}

// VersionID identifies a version by its number, which increases from version to version, and its content hash.
type VersionID struct {
	Number uint64
	Hash   string
}

// ID returns the document's version number and hash.
func (d Document) ID() VersionID {
	return VersionID{Number: d.Version, Hash: d.Hash}
}

// IsNewerThan reports whether v has a higher number than other.
func (v VersionID) IsNewerThan(other VersionID) bool {
	return v.Number > other.Number
}

// ConflictsWith reports whether v and other have the same number but different content. A store whose
// compare-and-swap works never holds two such versions.
func (v VersionID) ConflictsWith(other VersionID) bool {
	return v.Number == other.Number && v.Hash != other.Hash
}

// ContentHash returns the first 16 bytes of the SHA-256 hash of both tables' text, in hexadecimal.
func ContentHash(routes, pools string) string {
	h := sha256.New()
	h.Write([]byte(routes))
	h.Write([]byte{0})
	h.Write([]byte(pools))
	return hex.EncodeToString(h.Sum(nil)[:16])
}
