package tables

import (
	"fmt"
	"strings"
	"testing"
)

func checkRoutes(t testing.TB, routes string) (*Snapshot, error) {
	t.Helper()
	pools := "[pool p]\nservice = s\n"
	return Check(Document{Version: 1, Routes: routes, Pools: pools, Hash: ContentHash(routes, pools)})
}

// Guards against a key that opens another workspace than its own, and against one that opens any after it was withdrawn.
func TestWorkspaceOfKey(t *testing.T) {
	red, blue := FingerprintOf("red-1"), FingerprintOf("blue-1")
	snapshot, err := checkRoutes(t, fmt.Sprintf("[workspace red]\nkeys = %s\npriority = 2\nrate = 10.5\nburst = 4\n\n[workspace blue]\nkeys = %s\n\n[route r]\npool = p\npublic = yes\n", red, blue))
	if err != nil {
		t.Fatal(err)
	}
	w, ok := snapshot.WorkspaceOf(red)
	if !ok || w.Name != "red" || !w.HasPriority || w.Priority != 2 || w.Rate != 10.5 || w.Burst != 4 {
		t.Errorf("key of red: %+v, %v", w, ok)
	}
	if w, ok := snapshot.WorkspaceOf(blue); !ok || w.Name != "blue" || w.HasPriority || w.Rate != 0 {
		t.Errorf("key of blue: %+v, %v", w, ok)
	}
	if _, ok := snapshot.WorkspaceOf(FingerprintOf("red-2")); ok {
		t.Error("a key of no workspace was found")
	}
	if !snapshot.HasWorkspaces() || !snapshot.Routes()[0].Public || len(snapshot.Workspaces()) != 2 {
		t.Error("workspaces or the public route are missing")
	}
}

// Guards against tables whose keys are ambiguous or cannot be read.
func TestInvalidWorkspaces(t *testing.T) {
	key := FingerprintOf("k").String()
	for _, c := range []struct{ routes, want string }{
		{"[workspace a]\nkeys = " + key + "\n[workspace b]\nkeys = " + key + "\n", "holds already"},
		{"[workspace a]\nkeys = k\n", "expected fingerprints"},
		{"[workspace a]\nrate = -1\n", "expected a number"},
		{"[workspace a]\npriority = 9\n", "expected a whole number"},
		{"[workspace a]\nkey = x\n", "not a known key"},
		{"[workspace \u00e9]\n", "printable ASCII"},
		{"[workspace a]\n[workspace a]\n", "defined twice"},
		{"[route r]\npool = p\nidempotent = yes\nupload = yes\n", "expected idempotent = no"},
	} {
		if _, err := checkRoutes(t, c.routes); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, expected one with %q", c.routes, err, c.want)
		}
	}
}

// The target is a look-up in less than 1 us among 10,000 keys, the hash of the key included.
func BenchmarkWorkspaceOf(b *testing.B) {
	var routes strings.Builder
	for w := range 100 {
		fmt.Fprintf(&routes, "[workspace w%d]\nkeys = ", w)
		for k := range 100 {
			fmt.Fprintf(&routes, "%s, ", FingerprintOf(fmt.Sprintf("key-%d-%d", w, k)))
		}
		routes.WriteString("\n")
	}
	snapshot, err := checkRoutes(b, routes.String())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := snapshot.WorkspaceOf(FingerprintOf("key-50-50")); !ok {
			b.Fatal("a key was not found")
		}
	}
}
