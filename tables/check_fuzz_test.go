package tables

import "testing"

// Guards against tables that make Check panic, and against accepted tables with a route whose pool does not exist,
// with a priority or timeout out of range, or with minimum shares whose sum is too high.
func FuzzCheck(f *testing.F) {
	routes, pools := fullSizeTables()
	f.Add(routes, pools)
	f.Add("[route a]\npath = /\npool = p\n", "[pool p]\nservice = s\n")
	f.Add("[route a]\npool = q\n[route a]\n", "[pool p]\nservice = s\nmin_share.0 = 51\n")
	f.Add("[route %(x)s]\npool = \"\"\"", "[pool \x00]\nservice = `\n")
	f.Fuzz(func(t *testing.T, routes, pools string) {
		snapshot, err := Check(testDocument(1, routes, pools))
		if err != nil {
			return
		}
		for _, route := range snapshot.Routes() {
			pool, ok := snapshot.Pool(route.Pool)
			sum := 0
			for _, share := range pool.MinShares {
				sum += share
			}
			if !ok || route.Priority < 0 || route.Priority >= Priorities || sum > MaxMinShareSum || route.Timeout > MaxTimeout {
				t.Errorf("route %+v with pool %+v is accepted", route, pool)
			}
		}
	})
}
