package peer

import (
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// ConfigUpdate is reducer.ConfigUpdate on the wire. With IsDelta it is a delta to the version Base, with RoutePieces
// and PoolPieces instead of Routes and Pools.
type ConfigUpdate struct {
	Version uint64
	EditID  string
	Author  string
	Routes  string
	Pools   string
	Hash    string

	IsDelta     bool
	Base        Version
	RoutePieces []Piece
	PoolPieces  []Piece

	None bool // answers a ConfigFetch: the sender has no newer version
	// Packed, when set, holds the fields of configTexts as compressed gob; the fields of the same names are then empty.
	Packed []byte
}

// Piece is tables.Piece on the wire.
type Piece struct {
	First int
	Count int
	Text  string
}

// ConfigFetch is reducer.ConfigFetch on the wire.
type ConfigFetch struct{ Have Version }

// ReadForPeer is reducer.ReadForPeer, or reducer.ReadsForPeer with Served, on the wire. Any is always true: gob leaves out a pointer to a
// struct whose fields are all zero.
type ReadForPeer struct{ Any, Served bool }

func wireConfigUpdate(m reducer.ConfigUpdate) *ConfigUpdate {
	if m.None {
		return &ConfigUpdate{None: true}
	}
	if d := m.Delta; d != nil {
		return &ConfigUpdate{
			Version: d.Version, EditID: d.EditID, Author: d.Author, Hash: d.Hash, IsDelta: true,
			Base: wireVersion(d.Base), RoutePieces: wirePieces(d.Routes), PoolPieces: wirePieces(d.Pools),
		}
	}
	d := m.Document
	return &ConfigUpdate{
		Version: d.Version, EditID: d.EditID, Author: d.Author, Routes: d.Routes, Pools: d.Pools, Hash: d.Hash,
	}
}

// toMessage returns the message. It returns an error when Packed cannot be unpacked.
func (c *ConfigUpdate) toMessage() (reducer.ConfigUpdate, error) {
	if c.Packed == nil {
		return c.toUnpackedMessage(), nil
	}
	texts, err := unpackTexts(c.Packed)
	if err != nil {
		return reducer.ConfigUpdate{}, err
	}
	c.Routes, c.Pools, c.RoutePieces, c.PoolPieces = texts.Routes, texts.Pools, texts.RoutePieces, texts.PoolPieces
	return c.toUnpackedMessage(), nil
}

// toUnpackedMessage returns the message of an update whose texts are not packed.
func (c *ConfigUpdate) toUnpackedMessage() reducer.ConfigUpdate {
	if c.None {
		return reducer.ConfigUpdate{None: true}
	}
	if c.IsDelta {
		return reducer.ConfigUpdate{Delta: &tables.Delta{
			Version: c.Version, EditID: c.EditID, Author: c.Author, Hash: c.Hash,
			Base: c.Base.toID(), Routes: toPieces(c.RoutePieces), Pools: toPieces(c.PoolPieces),
		}}
	}
	return reducer.ConfigUpdate{Document: tables.Document{
		Version: c.Version, EditID: c.EditID, Author: c.Author, Routes: c.Routes, Pools: c.Pools, Hash: c.Hash,
	}}
}

func wirePieces(in []tables.Piece) []Piece {
	var out []Piece
	for _, piece := range in {
		out = append(out, Piece(piece))
	}
	return out
}

func toPieces(in []Piece) []tables.Piece {
	var out []tables.Piece
	for _, piece := range in {
		out = append(out, tables.Piece(piece))
	}
	return out
}
