package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
)

// newPlaces returns 4 places in two availability zones and the address of the platform. Each service has one upstream in
// each zone, so that it stays available when n2 is stopped and n4 is killed.
func newPlaces() ([]*fleet.Place, string, error) {
	places := []*fleet.Place{
		{ID: "n1", Zone: "Larvik", Service: "stitchroom"},
		{ID: "n2", Zone: "Larvik", Service: "cuttable"},
		{ID: "n3", Zone: "Horten", Service: "cuttable"},
		{ID: "n4", Zone: "Horten", Service: "stitchroom"},
	}
	platform, err := fleet.AssignAddresses(places)
	return places, platform, err
}

// writeTables writes the tables of an edit to files and returns the paths of the routes and the pools.
func (d *demo) writeTables(edit int) (string, string, error) {
	routes, pools := formatTables(edit)
	routesFile := filepath.Join(d.directory, fmt.Sprintf("routes-%d.ini", edit))
	poolsFile := filepath.Join(d.directory, fmt.Sprintf("pools-%d.ini", edit))
	for path, text := range map[string]string{routesFile: routes, poolsFile: pools} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return "", "", oops.In("demo").Wrap(err)
		}
	}
	return routesFile, poolsFile, nil
}

// formatTables returns the routes and the pools of an edit. Each edit changes both tables.
func formatTables(edit int) (routes, pools string) {
	routes = fmt.Sprintf(`[route dues]
path = /dues
methods = POST
pool = stitchroom
priority = 0
timeout = 2s

[route catalogue]
path = /catalogue
pool = stitchroom
priority = 1
idempotent = yes
timeout = %dms

[route documents]
path = /documents
pool = stitchroom
idempotent = yes
streaming = yes
timeout = 5s

[route offers]
path = /offers
split = stitchroom:%d, cuttable:%d
idempotent = yes
timeout = 2s

[route orders]
path = /orders
methods = POST
pool = cuttable
priority = 2
timeout = 3s

[route stock]
path = /stock
pool = cuttable
priority = 4
idempotent = yes
timeout = 2s
`, 1500+100*edit, splitPercent, 100-splitPercent)
	pools = fmt.Sprintf(`[pool stitchroom]
service = stitchroom
ramp = 1s
min_share.1 = %d

[pool cuttable]
service = cuttable
ramp = 1s
min_share.4 = %d
`, 10+edit, 5+edit)
	return routes, pools
}

// callSpecs holds the specifications of the generated calls, one for each route of formatTables that the load uses.
var callSpecs = []string{
	"dues,path=/dues,priority=0,rate=60,idempotent=no,timeout=2s",
	"catalogue,path=/catalogue,priority=1,rate=80,idempotent=yes,timeout=1500ms",
	"orders,path=/orders,priority=2,rate=60,idempotent=no,timeout=2s",
	"stock,path=/stock,priority=4,rate=80,idempotent=yes,timeout=2s",
}
