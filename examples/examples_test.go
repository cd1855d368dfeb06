package examples

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/operator"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// deployments holds the figures of the two deployments in section 1.2 of the design page.
var deployments = []struct {
	directory        string
	nodes            int
	zones            int
	idempotentRoutes map[string]bool
}{
	{"vestfold", 10, 4, map[string]bool{"catalogue-lookup": true, "stock-check": true}},
	{"sudurland", 12, 4, map[string]bool{"approval-lookup": true, "counter-lookup": true}},
}

// Guards against tables that a node or rosemaryhatchctl refuses, and against a route marked as idempotent whose requests
// must run at most once.
func TestTablesOfTheExamplesAreValid(t *testing.T) {
	for _, d := range deployments {
		routesFile, poolsFile := filepath.Join(d.directory, operator.RoutesFile), filepath.Join(d.directory, operator.PoolsFile)
		routes, pools, err := operator.ReadTables(routesFile, poolsFile)
		if err != nil {
			t.Fatal(err)
		}
		for _, problem := range operator.CheckTables(routes, pools, routesFile, poolsFile) {
			t.Error(problem)
		}
		snapshot, err := tables.Check(tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)})
		if err != nil {
			t.Fatal(err)
		}
		for _, route := range snapshot.Routes() {
			if route.Idempotent != d.idempotentRoutes[route.Name] {
				t.Errorf("%s: [route %s] idempotent is %v, expected %v", routesFile, route.Name, route.Idempotent, d.idempotentRoutes[route.Name])
			}
		}
	}
}

// Guards against settings that a node refuses, nodes that share an id or an address, and seeds that are not the address
// of a node.
func TestSettingsOfTheExamplesAreValid(t *testing.T) {
	for _, d := range deployments {
		files, err := os.ReadDir(filepath.Join(d.directory, "nodes"))
		if err != nil || len(files) != d.nodes {
			t.Fatalf("%s has %d nodes, %v, expected %d", d.directory, len(files), err, d.nodes)
		}
		zones, ids, peerAddresses := map[string]int{}, map[string]bool{}, map[string]bool{}
		var seeds []string
		for _, file := range files {
			s, err := settings.Load(filepath.Join(d.directory, "nodes", file.Name()))
			if err != nil {
				t.Error(err)
				continue
			}
			zones[s.Node.Zone]++
			ids[s.Node.ID], peerAddresses[s.Listen.Peers] = true, true
			seeds = append(seeds, s.Peers.Seeds...)
			checkListenHosts(t, file.Name(), s.Listen)
		}
		if len(ids) != d.nodes || len(peerAddresses) != d.nodes || len(zones) != d.zones {
			t.Errorf("%s has %d ids, %d peer addresses and zones %v, expected %d nodes in %d zones", d.directory, len(ids), len(peerAddresses), zones, d.nodes, d.zones)
		}
		for _, seed := range seeds {
			if !peerAddresses[seed] {
				t.Errorf("%s: seed %s is not the peer address of any node", d.directory, seed)
			}
		}
	}
}

// checkListenHosts checks that a node's listeners all use the same loopback address.
func checkListenHosts(t *testing.T, file string, l settings.Listen) {
	host, _, _ := net.SplitHostPort(l.Callers)
	for _, address := range []string{l.Peers, l.Operator, l.Register} {
		if other, _, _ := net.SplitHostPort(address); other != host || !net.ParseIP(host).IsLoopback() {
			t.Errorf("%s listens on %s and %s, expected one loopback address", file, host, other)
		}
	}
}
