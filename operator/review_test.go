package operator

import (
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

func reviewOf(t *testing.T, routes, pools string) string {
	t.Helper()
	snapshot, err := tables.Check(tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)})
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, warning := range Review(snapshot, time.Minute) {
		lines = append(lines, warning.String())
	}
	return strings.Join(lines, "\n")
}

// Guards against contradictions in the tables that an operator learns of only by their effects.
func TestReviewFindsContradictions(t *testing.T) {
	key := tables.FingerprintOf("k").String()
	const pools = "[pool p]\nservice = s\n[pool q]\nservice = u\n"
	for _, c := range []struct{ routes, pools, want string }{
		{"[route r]\npool = p\ntimeout = 1s\ntarget_latency = 2s\n", pools, "target_latency 2s is longer"},
		{"[route r]\npool = p\ntimeout = 30s\nkey_retention = 10s\n", pools, "key_retention 10s is shorter"},
		{"[limits]\nmax_body_bytes = 10\n[route r]\npool = p\n", pools, "max_body_bytes 1048576 is above"},
		{"[route r]\npool = p\npublic = yes\n", pools, "public has no effect"},
		{"[route r]\nsplit = p:1, q:0\n", pools, `pool "q" a weight of 0`},
		{"[route r]\npool = p\n", pools, "pools [pool q]: is used by no route"},
		{"[workspace w]\n[route r]\npool = p\n", pools, "has no key"},
		{"[workspace w]\nkeys = " + key + "\nburst = 4\n[route r]\npool = p\n", pools, "burst 4 has no effect"},
		{"[workspace w]\nkeys = " + key + "\nrate = 0.2\n[route r]\npool = p\n", pools, "allow no request in a second"},
		{"[route r]\npool = p\npriority = 1\n", "[pool p]\nservice = s\nmin_share.2 = 10\n", "min_share.2 is 10%"},
	} {
		if got := reviewOf(t, c.routes, c.pools); !strings.Contains(got, c.want) {
			t.Errorf("%q: warnings %q, expected one with %q", c.routes, got, c.want)
		}
	}
	consistent := "[workspace w]\nkeys = " + key + "\npriority = 2\nrate = 5\nburst = 5\n[route r]\npool = p\nmethods = GET, POST\n[route open]\npath = /open\npool = p\npublic = yes\npriority = 1\n"
	if got := reviewOf(t, consistent, "[pool p]\nservice = s\nmin_share.2 = 10\n"); got != "" {
		t.Errorf("warnings about consistent tables: %s", got)
	}
}
