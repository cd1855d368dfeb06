package tables_test

import (
	"errors"
	"fmt"
	"log"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	exampleRoutes = `[route catalogue]
path = /catalogue
pool = shop
priority = 0
idempotent = yes
timeout = 800ms

[route orders]
path = /orders
methods = POST
pool = shop
priority = 3
`
	examplePools = `[pool shop]
service = shop
min_share.3 = 20
`
)

func document(version uint64, routes, pools string) tables.Document {
	return tables.Document{Version: version, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
}

func ExampleCheck() {
	snapshot, err := tables.Check(document(1, exampleRoutes, examplePools))
	if err != nil {
		log.Fatal(err)
	}
	for _, path := range []string{"/catalogue/7", "/catalogues", "/orders"} {
		route, ok := snapshot.Match("shop.example", "POST", path)
		if !ok {
			fmt.Println(path, "has no route")
			continue
		}
		fmt.Println(path, route.Name, "priority", route.Priority, "timeout", route.Timeout)
	}
	// Output:
	// /catalogue/7 catalogue priority 0 timeout 800ms
	// /catalogues has no route
	// /orders orders priority 3 timeout 2s
}

// Check reports all faults of a document and accepts no part of it.
func ExampleCheck_faults() {
	_, err := tables.Check(document(1, "[route orders]\npool = store\ntimeout = 2h\n", examplePools))
	var check *tables.CheckError
	if errors.As(err, &check) {
		for _, fault := range check.Faults {
			fmt.Println(fault)
		}
	}
	// Output:
	// routes [route orders] timeout: is "2h", expected a duration from 1ms to 1m0s
	// routes [route orders] pool: "store" is not in the table of pools
}

func ExampleApply() {
	base := document(1, exampleRoutes, examplePools)
	next := document(2, exampleRoutes, "[pool shop]\nservice = shop\nmin_share.3 = 25\n")
	delta := tables.Diff(base, next)
	result, err := tables.Apply(base, delta)
	fmt.Println(result.Version, result.Hash == next.Hash, err)
	_, err = tables.Apply(next, delta)
	fmt.Println(err)
	// Output:
	// 2 true <nil>
	// delta was made for another base version
}
