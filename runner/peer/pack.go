package peer

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
)

const (
	// minPackBytes is the size of texts, in bytes, from which they are compressed.
	minPackBytes = 1 << 10
	// maxUnpackedBytes bounds texts that are unpacked: those of the largest document, and what gob adds to each piece of
	// a delta.
	maxUnpackedBytes = 4 * platform.MaxValueBytes
)

// configTexts is what of a ConfigUpdate is compressed.
type configTexts struct {
	Routes, Pools           string
	RoutePieces, PoolPieces []Piece
}

func (t *configTexts) size() int {
	n := len(t.Routes) + len(t.Pools)
	for _, list := range [][]Piece{t.RoutePieces, t.PoolPieces} {
		for _, piece := range list {
			n += len(piece.Text)
		}
	}
	return n
}

// packer compresses the texts of versions. It keeps the last ones, because a node sends a version to several peers.
type packer struct {
	mu     sync.Mutex
	key    packKey
	packed []byte
}

// packKey names texts that are the same for all peers.
type packKey struct {
	id, base Version
	delta    bool
}

// pack returns an update with its texts compressed, or the update itself where that is not worth it.
func (p *packer) pack(c *ConfigUpdate) *ConfigUpdate {
	texts := configTexts{c.Routes, c.Pools, c.RoutePieces, c.PoolPieces}
	if texts.size() < minPackBytes {
		return c
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if key := (packKey{Version{c.Version, c.Hash}, c.Base, c.IsDelta}); p.key != key || p.packed == nil {
		p.key, p.packed = key, packTexts(&texts)
	}
	out := *c
	out.Routes, out.Pools, out.RoutePieces, out.PoolPieces = "", "", nil, nil
	out.Packed = p.packed
	return &out
}

func packTexts(texts *configTexts) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err == nil {
		err = gob.NewEncoder(w).Encode(texts)
	}
	if err == nil {
		err = w.Close()
	}
	if err != nil {
		panic(err) // a known level, a type without interfaces and a buffer in memory cannot fail
	}
	return out.Bytes()
}

func unpackTexts(packed []byte) (*configTexts, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, fmt.Errorf("texts of a version cannot be unpacked: %w", err)
	}
	if len(plain) > maxUnpackedBytes {
		return nil, fmt.Errorf("texts of a version have more than %d bytes", maxUnpackedBytes)
	}
	var texts configTexts
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(&texts); err != nil {
		return nil, fmt.Errorf("texts of a version cannot be decoded: %w", err)
	}
	return &texts, nil
}
