package main

import (
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Guards against a fleet with fewer nodes or services than the target, and against nodes that share an address.
func TestTargetHasAllNodesAndServices(t *testing.T) {
	addresses, served := map[string]bool{member(0, 0).Address: true}, map[string]bool{}
	for _, m := range otherMembers() {
		addresses[m.Address] = true
		served[m.Upstream.Service] = true
	}
	if len(addresses) != targetNodes || len(served) != services {
		t.Errorf("%d addresses and %d services, expected %d and %d", len(addresses), len(served), targetNodes, services)
	}
}

// Guards against a change that rewrites many entries, which would measure more bytes than an edit sends.
func TestVersionsDifferInOneEntry(t *testing.T) {
	for version := uint64(1); version < 2*services; version++ {
		delta := tables.Diff(document(version), document(version+1))
		text := 0
		for _, piece := range append(delta.Routes, delta.Pools...) {
			if piece.Count == 0 {
				text++
			}
		}
		if text != 1 {
			t.Fatalf("version %d has %d changed entries, expected 1", version+1, text)
		}
	}
}
