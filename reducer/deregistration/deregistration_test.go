package deregistration

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Guards against holders that lie in one zone, and against other ones for the process that follows.
func TestHoldersAreTheSameAndSpread(t *testing.T) {
	var peers []Peer
	for i := range 12 {
		peers = append(peers, Peer{Node: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3), Weight: uint64(i * 7919 % 101)})
	}
	first := Holders(peers, 3)
	zones := map[string]bool{}
	for _, p := range peers {
		if slices.Contains(first, p.Node) {
			zones[p.Zone] = true
		}
	}
	if len(first) != 3 || len(zones) != 3 {
		t.Errorf("holders %v are in zones %v, expected three zones", first, zones)
	}
	slices.Reverse(peers)
	if again := Holders(peers, 5); len(again) != 5 || !slices.Equal(again[:3], first) {
		t.Errorf("holders are %v, expected to begin with %v", again, first)
	}
	if few := Holders(peers[:2], 5); len(few) != 2 {
		t.Errorf("two nodes give %d holders", len(few))
	}
}

// Guards against a ledger that forgets the newest deregistration when another writer fills it with others.
func TestLedgerForgetsTheOldestFirst(t *testing.T) {
	var l Ledger
	for i := range 3 * maxInstances {
		l.Note(Record{fmt.Sprint("i", i), 5}, Final, time.Duration(i))
		if !l.Applies(fmt.Sprint("i", i), 5) || i > 0 && !l.Applies(fmt.Sprint("i", i-1), 5) {
			t.Fatalf("after %d instances one of the newest two is forgotten", i+1)
		}
	}
	if n := len(l.Records()); n != maxInstances {
		t.Errorf("%d records are kept, expected %d", n, maxInstances)
	}
}

// Guards against a record that counts as kept because an older one of the same instance is.
func TestKeptAppliesToTheNewestRecord(t *testing.T) {
	var l Ledger
	older, newer := Record{"a", 1}, Record{"a", 2}
	l.Note(older, Final, 0)
	l.Stored(older)
	l.HeldBy("p1", older)
	l.HeldBy("p2", older)
	if !l.IsKept(older, 5) || l.IsKept(newer, 5) {
		t.Errorf("kept: older %v, newer %v", l.IsKept(older, 5), l.IsKept(newer, 5))
	}
	l.Note(newer, Final, 0)
	l.HeldBy("p1", older)
	l.HeldBy("p1", newer)
	l.Overdue(newer)
	if l.IsKept(newer, 5) || !l.IsKept(newer, 1) {
		t.Errorf("held by one node: kept among five %v, among one %v", l.IsKept(newer, 5), l.IsKept(newer, 1))
	}
	if l.HeldBy("p2", newer); !l.IsKept(newer, 5) || len(l.Unstored(0)) != 1 {
		t.Error("held by two nodes and not stored: not kept, or not written again")
	}
}

// Guards against a record that counts as kept while the store alone has it, which may be restored from a copy that lacks it, or
// while only other nodes hold it although the store may still confirm it.
func TestStoreAndAnotherNodeKeepARecord(t *testing.T) {
	const peers = 5
	for name, test := range map[string]struct {
		stored, overdue bool
		holders, peers  int
		want            bool
	}{
		"stored":                              {stored: true, peers: peers},
		"stored, no other node":               {stored: true, want: true},
		"stored and held":                     {stored: true, holders: 1, peers: peers, want: true},
		"held by two":                         {holders: 2, peers: peers},
		"stored, overdue":                     {stored: true, overdue: true, peers: peers, want: true},
		"held by two, overdue":                {overdue: true, holders: 2, peers: peers, want: true},
		"held by one, overdue":                {overdue: true, holders: 1, peers: peers},
		"held by all other nodes, overdue":    {overdue: true, holders: 1, peers: 1, want: true},
		"neither stored nor held, overdue":    {overdue: true, peers: peers},
		"neither stored nor held, no overdue": {},
	} {
		var l Ledger
		r := Record{"a", 1}
		l.Note(r, Final, 0)
		for i := range test.holders {
			l.HeldBy(fmt.Sprint("p", i), r)
		}
		if test.stored {
			l.Stored(r)
		}
		if test.overdue {
			l.Overdue(r)
		}
		if got := l.IsKept(r, test.peers); got != test.want {
			t.Errorf("%s: kept %v", name, got)
		}
		if l.ForgetStored() != test.stored || l.IsStored(r) || len(l.Unstored(0)) != 1 {
			t.Errorf("%s: the record is not to be written again after the store has lost it", name)
		}
	}
}

// Guards against records that a node holds for others without bound.
func TestKeeperIsBounded(t *testing.T) {
	var k Keeper
	records := make([]Record, 2*maxHeld)
	for i := range records {
		records[i] = Record{fmt.Sprint("i", i), 5}
	}
	for i := range maxOwners + 10 {
		if held := k.Keep(fmt.Sprint("n", i), records[:1+i%2], time.Duration(i)); len(held) != 1+i%2 {
			t.Fatalf("owner %d: %d records are held", i, len(held))
		}
	}
	if held := k.Keep("n4100", records, time.Minute); len(held) != maxHeld || len(k.owners) != maxOwners {
		t.Errorf("%d records of one owner and %d owners, expected %d and %d", len(held), len(k.owners), maxHeld, maxOwners)
	}
	if held := k.Keep("n4100", nil, time.Minute+Retention+1); held != nil {
		t.Errorf("%d records are held after the retention", len(held))
	}
}
