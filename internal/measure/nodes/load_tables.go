package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// fingerprintBytes is the length of the part of a key's hash that the tables hold.
const fingerprintBytes = 16

func loadWorkspaceName(i int) string { return fmt.Sprintf("w%03d", i) }

func loadKey(workspace int) string { return fmt.Sprintf("key-of-workspace-%03d", workspace) }

// loadDocument returns the tables of document with workspaces that have a key and a quota each.
func loadDocument(version uint64) tables.Document {
	d := document(version)
	var workspaces strings.Builder
	for i := range loadWorkspaces {
		sum := sha256.Sum256([]byte(loadKey(i)))
		fmt.Fprintf(&workspaces, "[workspace %s]\nkeys = %s\nrate = %d\nburst = %[3]d\n\n", loadWorkspaceName(i), hex.EncodeToString(sum[:fingerprintBytes]), loadQuota)
	}
	d.Routes += workspaces.String()
	d.Hash = tables.ContentHash(d.Routes, d.Pools)
	return d
}

// ownedWorkspaces returns the workspaces whose quotas a node owns in a fleet of the given size, or all if it owns none.
func ownedWorkspaces(size int, of nodeRef) []int {
	view := quota.View{Self: quota.Peer{Node: nodeName(of.zone, of.index)}, Alive: size}
	for zone := range zones {
		for index := range nodesInZone(size, zone) {
			name := nodeName(zone, index)
			view.Live, view.Known = append(view.Live, quota.Peer{Node: name}), append(view.Known, name)
		}
	}
	owner := quota.NewOwner(quota.Limits{})
	owner.SetWorkspaces(0, 1, snapshot(loadDocument(1)).Workspaces())
	var owned, all []int
	gained := owner.SetView(0, view)
	for i := range loadWorkspaces {
		all = append(all, i)
		if slices.Contains(gained, loadWorkspaceName(i)) {
			owned = append(owned, i)
		}
	}
	if len(owned) == 0 {
		return all
	}
	return owned
}
