package storeera

import "testing"

// Guards against revisions of two eras that are compared by their numbers.
func TestRevisionsOfTwoEras(t *testing.T) {
	older, newer := Revision{Era: 1, Number: 150}, Revision{Era: 2, Number: 120}
	if older.IsAfter(newer) || !newer.IsAfter(older) || newer.IsAfter(newer) || !newer.IsAfter(Revision{2, 119}) {
		t.Error("the revisions are in the wrong order")
	}
}

// Guards against an answer of an earlier era that counts, and against a node that starts and takes its first era for a new one.
func TestTracker(t *testing.T) {
	var tracker Tracker
	for i, step := range []struct {
		era     uint64
		finding Finding
		current uint64
	}{{0, Same, 0}, {3, Same, 3}, {0, Same, 3}, {3, Same, 3}, {5, Begun, 5}, {4, Outdated, 5}, {3, Outdated, 5}, {6, Begun, 6}} {
		if finding := tracker.Observe(step.era); finding != step.finding || tracker.Current() != step.current {
			t.Errorf("step %d: finding %d in era %d, expected %d in %d", i, finding, tracker.Current(), step.finding, step.current)
		}
	}
}

// Guards against a peer whose word makes the answers of the store count as outdated.
func TestHeardErasAreHints(t *testing.T) {
	var tracker Tracker
	if tracker.Hear(7) || tracker.Latest() != 7 {
		t.Error("a node that has kept nothing in the store acts on a hint, or does not pass it on")
	}
	tracker = Tracker{}
	tracker.Observe(2)
	if tracker.Hear(2) || !tracker.Hear(9) || tracker.Hear(9) || tracker.Hear(8) {
		t.Error("an era was not taken for a hint once")
	}
	if tracker.Observe(2) != Same || tracker.Observe(3) != Begun {
		t.Error("the hint outdated the answers of the store")
	}
}
