package quota

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// newOwnerOf returns an owner of a workspace with a rate of 10 whose view is stable, and a node that asks it.
func newOwnerOf(t *testing.T) (*Owner, *Node) {
	t.Helper()
	self, asking := Peer{"a", 1}, Peer{"b", 1}
	workspaces := []tables.Workspace{{Name: "w", Rate: 10, Burst: 10}}
	view := View{Self: self, Live: []Peer{self}, Alive: 2, Known: []string{"a", "b"}}
	o, n := NewOwner(deploymentLimits), NewNode(deploymentLimits, 0)
	o.SetWorkspaces(0, 1, workspaces)
	o.SetView(0, view)
	view.Self = asking
	n.SetWorkspaces(0, 1, workspaces)
	n.SetView(view)
	return o, n
}

func ask(o *Owner, now time.Duration, seq uint64) Tokens {
	request := Request{Seq: seq, Asks: []Ask{{Workspace: "w", Needed: 1}}}
	return o.Handle(now, Peer{"b", 1}, request).Tokens[0]
}

// Guards against an owner that grants, after a pause, what another owner may grant too.
func TestOwnerGrantsNothingAfterPause(t *testing.T) {
	o, _ := newOwnerOf(t)
	if tokens := ask(o, 10*time.Second, 1); tokens.Now != 1 {
		t.Fatalf("before the pause: %+v", tokens)
	}
	o.Reset(20 * time.Second)
	o.HandleReleases(20*time.Second, []Release{{Workspace: "w", Level: 10}}) // waited during the pause
	if tokens := ask(o, 20*time.Second, 2); tokens.Now != 0 || !tokens.NotGranting || tokens.RetryAfter != takeOverDelay {
		t.Errorf("after the pause: %+v", tokens)
	}
	if tokens := ask(o, 20*time.Second+takeOverDelay, 3); tokens.Now != 0 {
		t.Errorf("at the end of the delay the bucket is not empty: %+v", tokens)
	}
}

// Guards against a request that is handled twice or after a later one, whose numbers of held tokens are out of date.
func TestOldRequestIsIgnored(t *testing.T) {
	o, _ := newOwnerOf(t)
	ask(o, 10*time.Second, 2)
	if tokens := ask(o, 10*time.Second, 1); tokens.Now+tokens.Ahead != 0 {
		t.Errorf("granted %+v for a request that was overtaken", tokens)
	}
}

// Guards against tokens of a higher quota that are used after a node has the version that lowers it.
func TestTokensOfHigherQuotaAreDropped(t *testing.T) {
	for _, c := range []struct {
		version uint64 // of the owner's tables
		want    Result
	}{{1, Waiting}, {2, Admitted}, {3, Admitted}} {
		_, n := newOwnerOf(t)
		n.SetWorkspaces(0, 2, []tables.Workspace{{Name: "w", Rate: 5, Burst: 5}})
		n.Arrive(time.Second, "w", 1)
		_, outgoing := n.Take()
		n.HandleGrant(time.Second, Peer{"a", 1}, Grant{
			Seq: outgoing[0].Request.Seq, Version: c.version, Tokens: []Tokens{{Workspace: "w", Now: 1, Ahead: 1, ValidFor: validity, Quota: 60}},
		})
		if d := n.Arrive(time.Second, "w", 2); d.Result != c.want {
			t.Errorf("owner's version %d: %+v", c.version, d)
		}
	}
}

// Guards against a quota that nobody grants for the whole hold of a new owner, because its bucket went to a node that owned it only
// until another one joined, or that had no tables yet.
func TestBucketIsPassedOnToTheOwner(t *testing.T) {
	limits := Limits{Window: 5 * time.Second}
	workspaces := []tables.Workspace{{Name: "red", Rate: 100, Burst: 100}}
	view := func(self string, live ...string) View {
		v := View{Self: Peer{self, 1}, Known: live, Alive: len(live)}
		for _, node := range live {
			v.Live = append(v.Live, Peer{node, 1})
		}
		return v
	}
	all := []string{"a", "b", "c", "d", "e"}
	wide := view("a", all...)
	last, _ := wide.ownerOf("red")
	var others []string
	for _, node := range all {
		if node != last.Node {
			others = append(others, node)
		}
	}
	narrow := view(others[0], others...)
	middle, _ := narrow.ownerOf("red")

	between := NewOwner(limits)
	between.SetWorkspaces(0, 1, workspaces)
	between.SetView(0, view(middle.Node, all...))
	between.HandleReleases(time.Second, []Release{{Workspace: "red", Level: 80, Out: 5, Share: 1}})
	passed := between.TakeReleases()
	if len(passed) != 1 || passed[0].To != last || passed[0].Releases[0].Hops != 1 {
		t.Fatalf("passed on %+v, expected the bucket to %s", passed, last.Node)
	}

	owner := NewOwner(limits) // it has no tables when the bucket arrives
	owner.SetView(0, view(last.Node, all...))
	owner.HandleReleases(time.Second, passed[0].Releases)
	owner.SetWorkspaces(1100*time.Millisecond, 1, workspaces)
	if b := owner.buckets["red"]; b == nil || b.heldTo > 1100*time.Millisecond || b.level < 70 {
		t.Errorf("the owner holds %+v, expected the bucket that was passed on", b)
	}
	passed[0].Releases[0].Hops = maxReleaseHops
	between.HandleReleases(2*time.Second, passed[0].Releases)
	if again := between.TakeReleases(); len(again) != 0 {
		t.Errorf("passed on %d times and once more", maxReleaseHops)
	}
}
