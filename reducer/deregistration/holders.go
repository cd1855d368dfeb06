package deregistration

import (
	"cmp"
	"slices"
)

// Peer is another node that can hold records.
type Peer struct {
	Node, Zone string
	Weight     uint64 // by rendezvous hashing of the owner and the node
}

// Holders returns the first n nodes that hold the records of an owner, in the order of their weights. Each zone is
// named once before any is named twice, so that the records outlive the loss of a zone. The same nodes in any order
// give the same result, so that a process finds the records of the one before it.
func Holders(peers []Peer, n int) []string {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int { return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Node, b.Node)) })
	var holders []string
	for round := 0; len(holders) < min(n, len(sorted)); round++ {
		used := map[string]int{} // nodes seen, by zone
		for _, p := range sorted {
			if used[p.Zone] == round && len(holders) < n {
				holders = append(holders, p.Node)
			}
			used[p.Zone]++
		}
	}
	return holders
}
