package deregistration

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Retention is how long a record is kept: far longer than a registration can be late, which is seconds.
	Retention = 10 * time.Minute
	// maxOwners and maxHeld bound the nodes for which a Keeper holds records, and the records of one of them.
	maxOwners = 4096
	maxHeld   = maxInstances
)

// Keeper holds records for other nodes: those that the store has not confirmed to them. The zero value is ready to use.
type Keeper struct {
	owners map[string]*held
}

// held are the records of one owner.
type held struct {
	ledger   Ledger
	newestAt time.Duration // when the newest of them came
}

// Keep holds records for a node and returns all that it holds for it, sorted by instance.
func (k *Keeper) Keep(owner string, records []Record, now time.Duration) []Record {
	k.expire(now)
	h := k.owners[owner]
	if h == nil {
		if len(records) == 0 {
			return nil
		}
		h = k.addOwner(owner)
	}
	for _, r := range records[:min(len(records), maxHeld)] {
		h.ledger.Note(r, Final, now)
		h.newestAt = now
	}
	return h.ledger.Records()
}

// addOwner makes room for the records of an owner. If there are maxOwners, those of the one that was quiet for longest go.
func (k *Keeper) addOwner(owner string) *held {
	if k.owners == nil {
		k.owners = map[string]*held{}
	}
	if len(k.owners) >= maxOwners {
		delete(k.owners, slices.MinFunc(slices.Collect(maps.Keys(k.owners)), func(a, b string) int {
			return cmp.Or(cmp.Compare(k.owners[a].newestAt, k.owners[b].newestAt), cmp.Compare(a, b))
		}))
	}
	k.owners[owner] = &held{}
	return k.owners[owner]
}

// expire forgets the owners whose newest record is older than Retention.
func (k *Keeper) expire(now time.Duration) {
	maps.DeleteFunc(k.owners, func(_ string, h *held) bool { return now-h.newestAt > Retention })
}
