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
	// minPackBytes is the total size of the texts of an update from which they are compressed.
	minPackBytes = 1 << 10
	// maxUnpackedBytes bounds the size of unpacked texts. It leaves room for the texts of the largest document and for
	// what gob adds to each piece of a delta.
	maxUnpackedBytes = 4 * platform.MaxValueBytes
)

// configTexts holds the fields of a ConfigUpdate that are compressed. gob writes type and fields under their names.
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

// packer compresses the texts of versions. It caches the last result, because a node sends a version to several peers.
type packer struct {
	mu     sync.Mutex
	key    packKey
	packed []byte
}

// packKey identifies the texts of an update: updates with equal keys have equal texts.
type packKey struct {
	id, base Version
	delta    bool
}

// pack returns a copy of an update with its texts compressed, or the update itself when they have fewer than
// minPackBytes.
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
		panic(err) // cannot fail: the level is valid, the type has no interfaces and the buffer is in memory
	}
	return out.Bytes()
}

// unpackTexts is the reverse of packTexts. Data of more than maxUnpackedBytes when decompressed is an error.
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
