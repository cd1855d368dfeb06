package main

import (
	"fmt"
	"strings"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// The target size from section 1.3 of the design page.
const (
	targetNodes = 960
	services    = 34
	zones       = 7
)

const (
	slots          = 6
	routesPerPool  = 6
	portCallers    = 26000
	portPeers      = 26001
	portOperator   = 26002
	portRegister   = 26003
	portProfile    = 26004 // of the measuring program
	hostsPerSubnet = 250
)

func zoneName(zone int) string       { return fmt.Sprint("z", zone) }
func serviceName(service int) string { return fmt.Sprintf("service-%02d", service) }
func path(service int) string        { return fmt.Sprintf("/s%02d/r0", service) }

// address returns an address of a node. Each node has its own loopback address, so that all use the same ports.
func address(zone, index, port int) string {
	return fmt.Sprintf("127.77.%d.%d:%d", 10*zone+index/hostsPerSubnet, 1+index%hostsPerSubnet, port)
}

func nodeName(zone, index int) string { return fmt.Sprintf("%s-%03d", zoneName(zone), index) }

// targetNodesInZone returns the number of nodes of a zone at the target size.
func targetNodesInZone(zone int) int { return nodesInZone(targetNodes, zone) }

// nodesInZone returns the number of nodes of a zone when n nodes are spread evenly over all zones.
func nodesInZone(n, zone int) int { return (n + zones - 1 - zone) / zones }

// member returns the member entry of a node at the target size.
func member(zone, index int) reducer.Member {
	return reducer.Member{
		Node: reducer.NodeID(nodeName(zone, index)), Zone: zoneName(zone), Address: address(zone, index, portPeers),
		Operator: address(zone, index, portOperator), Incarnation: 1, Sequence: 1, State: reducer.MemberAlive,
		Upstream: reducer.Upstream{Service: serviceOf(zone, index), Slots: slots, State: reducer.UpstreamReady},
	}
}

// serviceOf returns the service of a node. The nodes of each zone are spread over all services.
func serviceOf(zone, index int) string { return serviceName((zone + index) % services) }

// otherMembers returns the member entries of all nodes except the first one of zone 0.
func otherMembers() []reducer.Member {
	var all []reducer.Member
	for zone := range zones {
		for index := range targetNodesInZone(zone) {
			if zone > 0 || index > 0 {
				all = append(all, member(zone, index))
			}
		}
	}
	return all
}

// document returns tables of the target size. Each version differs from the previous one in one timeout.
func document(version uint64) tables.Document {
	var routes, pools strings.Builder
	for service := range services {
		fmt.Fprintf(&pools, "[pool %s]\nservice = %[1]s\nqueue_limit = 128\nramp = 0s\nmin_share.0 = 20\n\n", serviceName(service))
		for route := range routesPerPool {
			fmt.Fprintf(&routes, "[route r%d-%d]\npath = /s%02d/r%d\npool = %s\npriority = %d\nidempotent = yes\ntimeout = 800ms\n\n",
				service, route, service, route, serviceName(service), route)
		}
		fmt.Fprintf(&routes, "[route r%d-book]\npath = /s%02d/r0/book\npool = %s\npriority = 3\ntimeout = %dms\n\n",
			service, service, serviceName(service), 1000+(version+services-uint64(service))/services)
	}
	d := tables.Document{Version: version, EditID: fmt.Sprint("edit-", version), Routes: routes.String(), Pools: pools.String()}
	d.Hash = tables.ContentHash(d.Routes, d.Pools)
	return d
}

// snapshot returns the validated tables of a document. It panics on an error, because document returns only valid
// tables.
func snapshot(d tables.Document) *tables.Snapshot {
	s, err := tables.Check(d)
	if err != nil {
		panic(err)
	}
	return s
}
