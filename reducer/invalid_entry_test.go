package reducer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an entry of another writer that is logged at each listing, or that the operator never sees.
func TestInvalidEntryIsLoggedOnce(t *testing.T) {
	s := New(Config{Self: "n", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), Discover: true})
	list := func(invalid ...InvalidEntry) int {
		lines := 0
		for _, effect := range Reduce(s, Event{Now: time.Second, Input: NodesListed{Result: StoreOK, Invalid: invalid}}) {
			if line, ok := effect.(Log); ok && line.Message == "entry in the store is left out" {
				lines++
			}
		}
		return lines
	}
	odd := InvalidEntry{Key: "k", Problem: "port"}
	for i, want := range []int{1, 0, 0} {
		if lines := list(odd); lines != want {
			t.Errorf("listing %d: %d lines, expected %d", i, lines, want)
		}
	}
	if lines := list(odd, InvalidEntry{Key: "k2", Problem: "port"}); lines != 1 || len(s.status().InvalidEntries) != 2 {
		t.Errorf("%d lines for another entry, status has %v", lines, s.status().InvalidEntries)
	}
	many := make([]InvalidEntry, 10*maxInvalidEntries)
	for i := range many {
		many[i].Key = fmt.Sprint(i)
	}
	if lines := list(many...); lines > maxInvalidEntries || len(s.status().InvalidEntries) > maxInvalidEntries {
		t.Errorf("%d lines for many entries", lines)
	}
	if lines := list(); lines != 0 || len(s.status().InvalidEntries) != 0 {
		t.Error("entries that are gone are still shown")
	}
}
