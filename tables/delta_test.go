package tables

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

func testDocument(version uint64, routes, pools string) Document {
	return Document{Version: version, EditID: "edit", Author: "author", Routes: routes, Pools: pools, Hash: ContentHash(routes, pools)}
}

// checkDelta fails the test if the delta between two documents, applied to the first, does not produce the second.
func checkDelta(t *testing.T, baseRoutes, basePools, nextRoutes, nextPools string) {
	t.Helper()
	base, next := testDocument(1, baseRoutes, basePools), testDocument(2, nextRoutes, nextPools)
	if got, err := Apply(base, Diff(base, next)); err != nil || got != next {
		t.Fatalf("Apply(Diff) of %q, %q to %q, %q gives %+v, %v", baseRoutes, basePools, nextRoutes, nextPools, got, err)
	}
}

// Guards against a delta that loses or reorders bytes of a text, for arbitrary texts.
func FuzzDelta(f *testing.F) {
	f.Add("[a]\nx=1\n[b]\n", "", "[b]\n[a]\nx=1\n[b]", "\n[\n[[")
	f.Add("no section", "\r\n[a]\r\n", "", "[a]\n[a]\n[a]\n")
	f.Fuzz(checkDelta)
}

// Guards against a delta that loses or reorders bytes when both texts have the same sections in a different order,
// which the fuzzer's random bytes seldom have.
func TestDeltaOfReorderedSections(t *testing.T) {
	const seed = 7
	t.Log("seed", seed)
	random := rand.New(rand.NewSource(seed))
	parts := []string{"[a]\n", "[a]\nx=1\n", "[b]\r\n", "[b]", "\n", "text", "[", "\n["}
	text := func() string {
		var s strings.Builder
		for range random.Intn(8) {
			s.WriteString(parts[random.Intn(len(parts))])
		}
		return s.String()
	}
	for range 20_000 {
		checkDelta(t, text(), text(), text(), text())
	}
}

// Guards against applying a delta to a base that it was not made for, and against accepting a damaged delta.
func TestApplyRefusesWrongDelta(t *testing.T) {
	base, next := testDocument(1, "[a]\n[b]\n", ""), testDocument(2, "[a]\n[c]\n", "")
	delta := Diff(base, next)
	if _, err := Apply(testDocument(1, "[a]\n[x]\n", ""), delta); !errors.Is(err, ErrDeltaBase) {
		t.Errorf("other base: %v", err)
	}
	for _, piece := range []Piece{{First: -1, Count: 1}, {First: 1, Count: 1 << 62}, {First: 3, Count: 1}, {First: 0, Count: -1}, {Text: "[d]\n"}} {
		damaged := delta
		damaged.Routes = []Piece{piece}
		if _, err := Apply(base, damaged); !errors.Is(err, ErrDeltaResult) {
			t.Errorf("piece %+v: %v", piece, err)
		}
	}
}

// fullSizeTables returns tables of the size that the system is designed for: 34 pools and 400 routes.
func fullSizeTables() (routes, pools string) {
	var r, p strings.Builder
	for i := range 34 {
		fmt.Fprintf(&p, "[pool service-%d]\nservice = service-%d\nmin_share.0 = 20\n", i, i)
	}
	for i := range 400 {
		fmt.Fprintf(&r, "[route route-%d]\npath = /service-%d/%d\npool = service-%d\npriority = %d\n", i, i%34, i, i%34, i%Priorities)
	}
	return r.String(), p.String()
}

// Guards against deltas that are as long as the whole text: section 4.1 of the design assumes 1 KB per change.
func TestDeltaOfOneRoute(t *testing.T) {
	routes, pools := fullSizeTables()
	base := testDocument(1, routes, pools)
	next := testDocument(2, strings.Replace(routes, "priority = 5", "priority = 2", 1), pools)
	delta := Diff(base, next)
	t.Logf("delta %d bytes, whole text %d bytes", delta.Size(), next.Size())
	if delta.Size() > 1024 {
		t.Errorf("delta has %d bytes, at most 1024 are expected", delta.Size())
	}
}

func BenchmarkCheck(b *testing.B) {
	document := testDocument(1, func() string { r, _ := fullSizeTables(); return r }(), func() string { _, p := fullSizeTables(); return p }())
	for b.Loop() {
		if _, err := Check(document); err != nil {
			b.Fatal(err)
		}
	}
}
