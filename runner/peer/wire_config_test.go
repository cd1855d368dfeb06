package peer

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Guards against uncompressed texts on links of a few Mbit/s, where a change of many routes took seconds to send, and
// against texts that differ after they were packed and unpacked.
func TestTextsArePacked(t *testing.T) {
	var routes strings.Builder
	for i := range 1400 {
		fmt.Fprintf(&routes, "[route r-%06x]\npath = /%05x/\npool = service-%d\npriority = 3\ntimeout = 800ms\n", i*7919, i*104729, i%2)
	}
	document := tables.Document{Version: 2, Routes: routes.String(), Pools: "[pool p]\n", Hash: tables.ContentHash(routes.String(), "[pool p]\n")}
	delta := tables.Diff(tables.Document{Version: 1}, document)
	var p packer
	for _, update := range []reducer.ConfigUpdate{{Document: document}, {Delta: &delta}, {Document: document}} {
		wire := p.pack(wireConfigUpdate(update))
		if len(wire.Packed) == 0 || len(wire.Packed) > len(document.Routes)/4 {
			t.Errorf("%d bytes of text are packed into %d", len(document.Routes), len(wire.Packed))
		}
		if got, err := wire.toMessage(); err != nil || !reflect.DeepEqual(got, update) {
			t.Errorf("the texts differ after they were unpacked, %v", err)
		}
	}
}

// Guards against a peer that makes a node decompress data without a bound, and against damaged texts that are taken for
// empty ones.
func TestBadPackedTextsAreRefused(t *testing.T) {
	bomb := packTexts(&configTexts{Routes: strings.Repeat("a", maxUnpackedBytes+1)})
	for _, packed := range [][]byte{bomb, {1, 2, 3}, {}} {
		update := ConfigUpdate{Version: 1, Packed: packed}
		if _, err := update.toMessage(); err == nil {
			t.Errorf("%d packed bytes are accepted", len(packed))
		}
	}
}

// Guards against a field of a document, a delta or an answer without a version that is lost on the wire, and against
// deltas larger than the 1 KB that section 4.1 of the design allows for a change (34 pools, 400 routes, one route
// changed).
func TestConfigUpdateOnTheWire(t *testing.T) {
	document := func(version uint64, priority int) tables.Document {
		var routes, pools strings.Builder
		for i := range 34 {
			fmt.Fprintf(&pools, "[pool service-%d]\nservice = service-%d\nmin_share.0 = 20\n", i, i)
		}
		for i := range 400 {
			p := 3
			if i == 200 {
				p = priority
			}
			fmt.Fprintf(&routes, "[route route-%d]\npath = /service-%d/%d\npool = service-%d\npriority = %d\n", i, i%34, i, i%34, p)
		}
		return tables.Document{
			Version: version, EditID: "edit", Author: "author", Routes: routes.String(), Pools: pools.String(),
			Hash: tables.ContentHash(routes.String(), pools.String()),
		}
	}
	delta := tables.Diff(document(1, 3), document(2, 1))
	for _, update := range []reducer.ConfigUpdate{{Document: document(2, 1)}, {Delta: &delta}, {None: true}} {
		var wire bytes.Buffer
		size := 0
		encoder, decoder := gob.NewEncoder(&wire), gob.NewDecoder(&wire)
		for range 2 { // the first message also describes the types
			if err := encoder.Encode(wireControl(update)); err != nil {
				t.Fatal(err)
			}
			size = wire.Len()
			var args ControlArgs
			if err := decoder.Decode(&args); err != nil {
				t.Fatal(err)
			}
			if got, err := args.toMessage(); err != nil || !reflect.DeepEqual(got, update) {
				t.Errorf("decoded update is %+v, expected %+v", got, update)
			}
		}
		t.Logf("delta=%v none=%v: %d bytes", update.Delta != nil, update.None, size)
		if update.Delta != nil && size > 1024 {
			t.Errorf("delta has %d bytes, at most 1024 are expected", size)
		}
	}
}
