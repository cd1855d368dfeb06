package bandwidth

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against bytes that stay promised, or are released twice, whatever happens to calls: the link would refuse calls for
// ever, or admit more than it carries.
func TestPromisesAreReleasedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		link, now := New(10), time.Duration(0)
		open := map[uint64]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1e8).Draw(t, "pause"))
			call, bytes := rapid.Uint64Range(1, 5).Draw(t, "call"), rapid.Int64Range(1, 1e6).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				link.Promise(call, bytes)
				open[call] = true
			case 1:
				link.Start(call)
			case 2:
				link.Complete(call, bytes, now)
				delete(open, call)
			default:
				link.Release(call)
				delete(open, call)
			}
			if len(open) != len(link.promises) || link.queued < 0 || link.started < 0 || len(open) == 0 && link.queued+link.started != 0 {
				t.Fatalf("%d open calls, %d promises, %d bytes queued, %d started", len(open), len(link.promises), link.queued, link.started)
			}
		}
		for call := range open {
			link.Release(call)
		}
		if left := link.Backlog(now + time.Hour); left != 0 {
			t.Fatalf("the backlog is %v after an hour", left)
		}
	})
}

// Guards against a link that admits what it cannot carry, and against a route that is refused for ever because of lengths that
// it had long ago.
func TestAdmission(t *testing.T) {
	link := New(8) // 0.85 MB a second, a body takes 2 s
	for range 50 {
		link.Observe("r", 850_000, 0)
	}
	for _, c := range []struct {
		promised  int64
		after, at time.Duration
		admitted  bool
	}{
		{0, 0, 0, true},
		{1_600_000, 0, 0, true},
		{1_800_000, 0, 0, false},
		{0, 2100 * time.Millisecond, 0, false},
		{1_800_000, 0, staleAfter + 1, true},
	} {
		link.Promise(1, c.promised)
		if got := link.Admits("r", c.after, 4*time.Second, c.at); got != c.admitted {
			t.Errorf("%+v: admitted %v", c, got)
		}
		link.Release(1)
	}
}

// Guards against decisions about a link whose rate is not known.
func TestUnknownLinkAdmitsAll(t *testing.T) {
	var link Link
	link.Observe("r", 1e9, 0)
	link.Promise(1, 1e9)
	link.Leave(1e9, 0)
	if !link.Admits("r", 0, 1, 0) || link.Backlog(0) != 0 || len(link.promises)+len(link.lengths) != 0 {
		t.Errorf("a link without a rate holds %+v", link)
	}
}
