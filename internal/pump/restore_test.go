package pump

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// newRestoreWorld returns a world of two zones with two nodes each, all of which read the store.
func newRestoreWorld(seed uint64) *World {
	w := New(seed)
	w.Store.Apply(readersRoutes, readersPools)
	for _, n := range []struct{ id, zone string }{{"larvik-1", "Larvik"}, {"larvik-2", "Larvik"}, {"horten-1", "Horten"}, {"horten-2", "Horten"}} {
		w.AddNode(reducer.NodeID(n.id), n.zone, "desk")
	}
	w.Run(20 * time.Second)
	return w
}

// loseVersions writes versions of which a restore leaves the last, and runs until the store is back.
func (w *World) loseVersions(versions int) {
	older := w.Store.Copy()
	for range versions {
		w.Store.Apply(readersRoutes, readersNext)
	}
	w.Run(w.Now + time.Second)
	w.Store.FailAndRestore(older)
	w.Run(w.Now + restoreOutage)
}

// Guards against a version that does not come into force after the store was restored from a copy (review/12): the readers
// watched on from a revision of before, which the write of that version gave out again.
func TestVersionAfterARestoreIsActive(t *testing.T) {
	for lost := 1; lost <= 4; lost++ { // versions that the copy lacks; one of them is written again
		for restores := 1; restores <= 2; restores++ {
			w := newRestoreWorld(uint64(lost))
			w.Store.NoEras = restores == 2 && lost > 2 // 410 tells as well, while the store has not passed the old revision
			for range restores {
				older := w.Store.Copy()
				for i := range lost {
					w.Store.Apply(readersRoutes, []string{readersNext, readersPools}[i%2])
					w.Run(w.Now + 500*time.Millisecond)
				}
				w.Store.FailAndRestore(older)
				w.Run(w.Now + time.Second)
			}
			w.Run(w.Now + 4*time.Second)
			for version := range lost + 1 {
				w.Store.Apply(readersRoutes, []string{readersNext, readersPools}[version%2])
				w.Run(w.Now + 2*time.Second)
				if behind := versionsBehind(w); len(behind) > 0 {
					t.Errorf("%d versions lost, %d restores: version %d is not active at %v 2 s after it was written", lost, restores, w.Store.newestNumber(), behind)
				}
			}
		}
	}
}

// Guards against nodes that ask a store for changes since a revision that it does not have, get 410, read, and ask the same
// again, without a pause: four nodes made 1,700 calls in 4 s (review/12).
func TestCallsAfterARestoreArePaced(t *testing.T) {
	w := newRestoreWorld(1)
	w.loseVersions(20)
	before := w.Store.Calls
	w.Run(w.Now + 10*time.Second)
	// In 10 s a reader reads once a backoff while the store is away, writes its entry again, and lists the entries twice.
	if calls, most := w.Store.Calls-before, 4*20; calls > most {
		t.Errorf("%d calls in 10 s after the restore, expected at most %d", calls, most)
	}
}

// Guards against a node that goes on with a lease of before a restore, whose number the store has given to another holder: its entry
// is missing for good, or disappears with the other one, and a node that starts finds fewer others.
func TestEntriesAreBackAfterARestore(t *testing.T) {
	for _, beforeEntries := range []bool{false, true} { // whether the copy was made before the nodes started, or later
		for restores := 1; restores <= 2; restores++ {
			w := New(2)
			w.Store.Apply(readersRoutes, readersPools)
			older := w.Store.Copy()
			for _, id := range []reducer.NodeID{"larvik-1", "larvik-2", "horten-1", "horten-2"} {
				w.AddNode(id, string(id[:6]), "desk")
				w.Run(w.Now + 700*time.Millisecond)
			}
			w.Run(w.Now + 20*time.Second)
			if !beforeEntries {
				older = w.Store.Copy()
				w.Run(w.Now + 3*time.Second)
			}
			for range restores {
				w.Store.FailAndRestore(older)
				w.Run(w.Now + restoreOutage + 300*time.Millisecond)
			}
			w.Run(w.Now + 2*time.Second)
			missing := map[reducer.NodeID]bool{}
			for check := 0; check < 30; check++ {
				entries := map[reducer.NodeID]bool{}
				for _, e := range w.Store.list().(reducer.NodesListed).Nodes {
					entries[e.Node] = true
				}
				for _, n := range w.Nodes() {
					missing[n.ID] = missing[n.ID] || !entries[n.ID]
				}
				w.Run(w.Now + 500*time.Millisecond)
			}
			for id, gone := range missing {
				if gone {
					t.Errorf("copy of before the entries: %v, %d restores: the entry of %s is missing within 15 s, 2 s after the store was back", beforeEntries, restores, id)
				}
			}
		}
	}
}

// Guards against a leave that stays lost because its node does not call the store and so does not see the new era: it hears of it
// from the others, and writes its leave again.
func TestLeaveOfANodeThatDoesNotReadIsWrittenAgain(t *testing.T) {
	w, _, others := newReadersWorld(3)
	n := others[len(others)-1]
	older := w.Store.Copy()
	n.DeregisterBackend()
	w.Run(w.Now + time.Second)
	if len(w.Store.left) != 1 {
		t.Fatalf("%d leaves are stored, expected one", len(w.Store.left))
	}
	for range 2 {
		w.Store.FailAndRestore(older)
		w.Run(w.Now + restoreOutage)
		if len(w.Store.left) != 0 {
			t.Fatal("the copy has the leave")
		}
		w.Run(w.Now + 4*time.Second) // until the readers call, a heartbeat tells their zone, and the write is due
		if len(w.Store.left) != 1 {
			t.Error("the leave is not stored again 4 s after the store was back")
		}
	}
}

// Guards against a restore after which the calls of a large mesh exceed the rates of the store: only readers call it, and each a few
// times.
func TestCallsOfALargeMeshAfterARestore(t *testing.T) {
	w, readers, _ := newReadersWorld(4)
	w.loseVersions(20)
	before := w.Store.Calls
	w.Run(w.Now + 2*time.Second)
	if calls, most := w.Store.Calls-before, 10*len(readers); calls > most {
		t.Errorf("%d calls of %d readers in the 2 s after the restore, expected at most %d", calls, len(readers), most)
	}
	if behind := versionsBehind(w); len(behind) > 0 {
		t.Errorf("the version that was written again is not active at %v", behind)
	}
}
