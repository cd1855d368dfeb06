package operator_test

import (
	"fmt"

	"github.com/rosemaryhatch/rosemaryhatch/operator"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// An Edit turns events into effects and does no I/O itself.
func ExampleEdit() {
	edit := operator.NewEdit(operator.EditRequest{
		Routes: "[route orders]\npool = shop\n", Pools: "[pool shop]\nservice = shop\n", Author: "kari", EditID: "e1",
	})
	effects := edit.Reduce(operator.Started{})
	fmt.Printf("%T %s\n", effects[0], effects[0].(operator.ReadKey).Key)
	effects = edit.Reduce(operator.KeyRead{}) // the store is empty
	swap := effects[0].(operator.Swap)
	fmt.Printf("%T %s at revision %d\n", swap, swap.Key, swap.Revision)
	effects = edit.Reduce(operator.Swapped{Outcome: platform.Applied})
	result := effects[0].(operator.Finish).Result
	fmt.Println(result.Outcome, "version", result.Version)
	// Output:
	// operator.ReadKey rosemaryhatch/config
	// operator.Swap rosemaryhatch/config at revision 0
	// done version 1
}

func ExampleDifference() {
	from := tables.Document{Routes: "[route orders]\npool = shop\ntimeout = 2s\n", Pools: "[pool shop]\nservice = shop\n"}
	to := tables.Document{Routes: "[route orders]\npool = shop\ntimeout = 3s\n", Pools: "[pool shop]\nservice = shop\nramp = 5s\n"}
	for _, change := range operator.Difference(from, to) {
		fmt.Println(change)
	}
	// Output:
	// ~ routes [route orders] timeout: "2s" -> "3s"
	// + pools [pool shop] ramp = 5s
}

func ExampleCheckTables() {
	for _, fault := range operator.CheckTables("[route orders]\npool = store\n", "[pool shop]\nservice = shop\n", "routes.ini", "pools.ini") {
		fmt.Println(fault)
	}
	// Output:
	// routes.ini: [route orders] pool: "store" is not in the table of pools, expected the name of one of its pools
}
