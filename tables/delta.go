package tables

import (
	"errors"
	"strings"
)

// ErrDeltaBase means that a delta was made for another base version.
var ErrDeltaBase = errors.New("delta was made for another base version")

// ErrDeltaResult means that a delta does not produce the version that it names.
var ErrDeltaResult = errors.New("delta does not produce the version that it names")

// pieceOverheadBytes estimates the encoded size of a piece without its text.
const pieceOverheadBytes = 8

// Delta holds the changes from a base version to a newer one. The pieces of each table, joined, are its new text.
type Delta struct {
	Base    VersionID
	Version uint64
	EditID  string
	Author  string
	Hash    string
	Routes  []Piece
	Pools   []Piece
}

// Piece is a part of a new text: a copy of Count sections of the base text, starting with section First, or
// Text if Count is 0.
type Piece struct {
	First int
	Count int
	Text  string
}

// ID returns the number and hash of the version that the delta produces.
func (d Delta) ID() VersionID {
	return VersionID{Number: d.Version, Hash: d.Hash}
}

// Size returns the estimated size of the delta on the wire, in bytes.
func (d Delta) Size() int {
	size := len(d.Base.Hash) + len(d.EditID) + len(d.Author) + len(d.Hash)
	for _, pieces := range [][]Piece{d.Routes, d.Pools} {
		for _, piece := range pieces {
			size += pieceOverheadBytes + len(piece.Text)
		}
	}
	return size
}

// Size returns the estimated size of the document on the wire, in bytes.
func (d Document) Size() int {
	return len(d.EditID) + len(d.Author) + len(d.Routes) + len(d.Pools) + len(d.Hash)
}

// Diff returns the delta from base to next. It compares the texts section by section.
func Diff(base, next Document) Delta {
	return Delta{
		Base: base.ID(), Version: next.Version, EditID: next.EditID, Author: next.Author, Hash: next.Hash,
		Routes: diffText(base.Routes, next.Routes),
		Pools:  diffText(base.Pools, next.Pools),
	}
}

// Apply returns the document that a delta produces from base. The error is ErrDeltaBase if the delta was made for
// another version, and ErrDeltaResult if the result is not the document that the delta names.
func Apply(base Document, delta Delta) (Document, error) {
	if base.ID() != delta.Base {
		return Document{}, ErrDeltaBase
	}
	routes, ok := applyText(base.Routes, delta.Routes)
	if !ok {
		return Document{}, ErrDeltaResult
	}
	pools, ok := applyText(base.Pools, delta.Pools)
	if !ok || ContentHash(routes, pools) != delta.Hash {
		return Document{}, ErrDeltaResult
	}
	return Document{
		Version: delta.Version, EditID: delta.EditID, Author: delta.Author,
		Routes: routes, Pools: pools, Hash: delta.Hash,
	}, nil
}

func diffText(base, next string) []Piece {
	baseSections := splitSections(base)
	index := make(map[string]int, len(baseSections))
	for i, section := range baseSections {
		if _, ok := index[section]; !ok {
			index[section] = i
		}
	}
	var pieces []Piece
	for _, section := range splitSections(next) {
		pieces = appendSection(pieces, baseSections, index, section)
	}
	return pieces
}

// appendSection appends a section to the pieces. It extends the last piece where possible. The index maps the text of
// a section to its first position in baseSections.
func appendSection(pieces []Piece, baseSections []string, index map[string]int, section string) []Piece {
	if len(pieces) > 0 {
		last := &pieces[len(pieces)-1]
		next := last.First + last.Count
		if last.Count > 0 && next < len(baseSections) && baseSections[next] == section {
			last.Count++
			return pieces
		}
	}
	if i, ok := index[section]; ok {
		return append(pieces, Piece{First: i, Count: 1})
	}
	if len(pieces) > 0 && pieces[len(pieces)-1].Count == 0 {
		pieces[len(pieces)-1].Text += section
		return pieces
	}
	return append(pieces, Piece{Text: section})
}

// applyText joins the pieces to a text. It returns false if a piece lies outside the base, or if the text exceeds
// MaxDocumentBytes: a damaged delta could repeat a long section any number of times.
func applyText(base string, pieces []Piece) (string, bool) {
	baseSections := splitSections(base)
	var text strings.Builder
	for _, piece := range pieces {
		if piece.Count == 0 {
			text.WriteString(piece.Text)
		} else if piece.First < 0 || piece.Count < 0 || piece.First > len(baseSections) || piece.Count > len(baseSections)-piece.First {
			return "", false
		}
		for i := range piece.Count {
			text.WriteString(baseSections[piece.First+i])
			if text.Len() > MaxDocumentBytes {
				return "", false
			}
		}
	}
	return text.String(), text.Len() <= MaxDocumentBytes
}

// splitSections splits a text before each line that starts with an opening bracket. Joined, the sections are the
// text again.
func splitSections(text string) []string {
	var sections []string
	for text != "" {
		end := strings.Index(text, "\n[")
		if end < 0 {
			return append(sections, text)
		}
		sections = append(sections, text[:end+1])
		text = text[end+1:]
	}
	return sections
}
