package tables

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// sectionsForEdits are sections that edited texts consist of: valid ones, faulty ones, and ones whose lines do not tell where the
// next section begins.
var sectionsForEdits = []string{
	"[route a]\npath = /a\npool = p\n", "[route b]\npath = /b\npool = q\n", "[route a]\npath = /a/b\npool = p\n",
	"[route c]\npath = /a\npool = p\nmethods = GET\n", "[route d]\nsplit = p:1, q:2\nhost = d\n", "[limits]\nmax_body_bytes = 7\n",
	"[workspace w]\nkeys = " + strings.Repeat("0a", 16) + "\n", "[workspace v]\nkeys = " + strings.Repeat("0b", 16) + "\nrate = 3\n",
	"[workspace u]\nkeys = " + strings.Repeat("0a", 16) + "\n", "# a comment\n", "[route e]\npath = e\n", "[other x]\n",
	"[route f ]\npath = /f\npool = p\n", "[route g]\npath = \"\"\"/g\n[route h]\n\"\"\"\n", "[route i]\npath = /i \\\n[limits]\n", "  [route j]\npool = p\n", "nonsense\n",
	"[DEFAULT]\n", "[DEFAULT]\nx = 1\n", "[limits]\nidle_timeout = 1s\n", "x = `\n[route k]\n`\n",
}

// Guards against a check that takes over a section of the version before although it means something else in the new text:
// it must give the same snapshot, or the same faults, as a check of the whole text.
func TestCheckFromGivesTheSameAsCheck(t *testing.T) {
	pools := []string{"[pool p]\nservice = s\n[pool q]\nservice = t\n", "[pool p]\nservice = s\n", "[pool q]\nservice = t\n[pool p]\nservice = s\nramp = 1s\n"}
	rapid.Check(t, func(t *rapid.T) {
		var base *Snapshot
		texts := rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom(sectionsForEdits), 0, 7), 1, 4).Draw(t, "versions")
		for i, sections := range texts {
			document := testDocument(uint64(i+1), strings.Join(sections, ""), rapid.SampledFrom(pools).Draw(t, "pools"))
			want, wantErr := Check(document)
			got, err := CheckFrom(base, document)
			if fmt.Sprint(err) != fmt.Sprint(wantErr) || !reflect.DeepEqual(got, want) {
				t.Fatalf("after a version before: %+v, %v\nwithout: %+v, %v", got, err, want, wantErr)
			}
			if whole, wholeErr := checkWhole(document); fmt.Sprint(wholeErr) != fmt.Sprint(err) || whole != nil && !reflect.DeepEqual(whole.routes, got.routes) {
				t.Fatalf("by sections: %+v, %v\nwhole: %+v, %v", got, err, whole, wholeErr)
			}
			if got != nil {
				base = got
			}
		}
	})
}

// checkWhole is Check with the text of each table parsed as a whole.
func checkWhole(document Document) (*Snapshot, error) {
	comment := "# a comment makes the first line no section\n"
	document.Routes, document.Pools = comment+document.Routes, comment+document.Pools
	document.Hash = ContentHash(document.Routes, document.Pools)
	snapshot, err := Check(document)
	if errors.As(err, new(*CheckError)) || snapshot.sections == nil {
		return snapshot, err
	}
	return nil, errors.New("the text was not parsed as a whole")
}

func BenchmarkCheckFrom(b *testing.B) {
	routes, pools := fullSizeTables()
	base, err := Check(testDocument(1, routes, pools))
	if err != nil {
		b.Fatal(err)
	}
	next := testDocument(2, strings.Replace(routes, "priority = 5", "priority = 2", 1), pools)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := CheckFrom(base, next); err != nil {
			b.Fatal(err)
		}
	}
}
