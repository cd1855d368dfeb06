package quota

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

var recoveryNodes = []string{"a", "b", "c", "d"}

// startedOwner returns an owner of parts of a quota that has started with all nodes of recoveryNodes, and the queries that it sends.
func startedOwner(expected int, live ...string) (*Owner, []Outgoing) {
	v := viewOf(live[0], live...)
	v.Known, v.Expected = recoveryNodes, expected
	for i := 0; ; i++ {
		o := NewOwner(deploymentLimits)
		o.SetWorkspaces(0, 1, []tables.Workspace{{Name: "w" + string(rune('a'+i)), Rate: 30, Burst: 30}})
		o.SetView(0, v)
		if o.Owned() > 0 {
			o.Advance(100 * time.Millisecond)
			return o, o.TakeReleases()
		}
	}
}

func (o *Owner) isHeld(now time.Duration) bool { return len(o.heldParts(now)) > 0 }

// Guards against an owner that begins before all nodes have agreed, or without knowing how many there are.
func TestHoldEndsWhenAllNodesAgree(t *testing.T) {
	o, queries := startedOwner(len(recoveryNodes), recoveryNodes...)
	if len(queries) != len(recoveryNodes) {
		t.Fatalf("%d queries to %d nodes", len(queries), len(recoveryNodes))
	}
	const now = 200 * time.Millisecond
	for i, q := range queries {
		if !o.isHeld(now) {
			t.Fatalf("grants after %d of %d answers", i, len(queries))
		}
		o.HandleAnswer(now, q.To, Answer{Round: q.Query.Round, Free: false})
		o.HandleAnswer(now, q.To, Answer{Round: q.Query.Round + 1, Free: true})
		if !o.isHeld(now) {
			t.Fatal("grants after a refusal or an answer to another round")
		}
		o.HandleAnswer(now, q.To, Answer{Round: q.Query.Round, Free: true})
	}
	if o.isHeld(now) || o.currentShare(now) != 1 {
		t.Errorf("held after all answers, share %v", o.currentShare(now))
	}
	for name, b := range o.buckets {
		if b.level != 0 {
			t.Errorf("%q begins with %v tokens", name, b.level)
		}
	}
	for name, start := range map[string]func() (*Owner, []Outgoing){
		"number not known": func() (*Owner, []Outgoing) { return startedOwner(0, recoveryNodes...) },
		"more expected":    func() (*Owner, []Outgoing) { return startedOwner(5, recoveryNodes...) },
		"one not heard":    func() (*Owner, []Outgoing) { return startedOwner(4, recoveryNodes[:3]...) },
	} {
		if _, queries := start(); len(queries) > 0 {
			t.Errorf("%s: %d queries", name, len(queries))
		}
	}
}

// Guards against answers that count for longer than the hold of the nodes that gave them.
func TestOldAgreementDoesNotCount(t *testing.T) {
	o, queries := startedOwner(len(recoveryNodes), recoveryNodes...)
	for i, q := range queries {
		o.HandleAnswer(100*time.Millisecond+time.Duration(i)*queryTimeout/2, q.To, Answer{Round: q.Query.Round, Free: true})
	}
	if now := 100*time.Millisecond + 2*queryTimeout; !o.isHeld(now) {
		t.Error("grants with answers of a round that has ended")
	}
}

// Guards against queries without end, or a timer that is always due, while a node never agrees or has gone.
func TestQueriesAreBounded(t *testing.T) {
	o, queries := startedOwner(3, recoveryNodes...)
	sent := len(queries)
	now := 100 * time.Millisecond
	fewer := o.view
	fewer.Known, fewer.Live, fewer.Alive = recoveryNodes[:3], o.view.Live[:3], 3
	o.SetView(now, fewer)
	o.Advance(now)
	wakes := 0
	for at, ok := o.NextWake(); ok && wakes < 1000; at, ok = o.NextWake() {
		if at <= now {
			t.Fatalf("the timer is due at %v, which is not after %v", at, now)
		}
		now = at
		o.Advance(now)
		sent += len(o.TakeReleases())
		wakes++
	}
	if most := maxQueryRounds * 4 * len(recoveryNodes); sent > most {
		t.Errorf("%d queries, at most %d expected", sent, most)
	}
}

// Guards against two owners of a part: a node that owns it, and one that becomes its owner after it has agreed that another one is.
func TestNodeThatAgreedHolds(t *testing.T) {
	o, _ := startedOwner(0, recoveryNodes...)
	name := o.heldParts(0)[0]
	query := Query{Round: 1, Parts: []string{name}}
	if o.HandleQuery(0, query) {
		t.Error("an owner agreed that another node owns its part")
	}
	alone := o.view
	without := viewOf("a", "b", "c", "d") // the node does not own the part
	without.ChangedAt = 0
	o.SetView(0, without)
	const asked = 2900 * time.Millisecond
	if !o.HandleQuery(asked, query) {
		t.Fatal("a node that owns nothing did not agree")
	}
	o.HandleReleases(asked, []Release{{Workspace: name, Level: 9, Share: 1}})
	o.SetView(asked, alone)
	o.HandleReleases(asked, []Release{{Workspace: name, Level: 9, Share: 1}})
	if b := o.buckets[name]; b == nil || b.heldTo < asked+takeOverDelay {
		t.Errorf("%+v, expected a hold of %v after the agreement", b, takeOverDelay)
	}
}

// Guards against tokens of an earlier owner that are used after the next one has begun, also those of a grant that is under way.
func TestForfeitedTokensAreNotUsed(t *testing.T) {
	_, n := newOwnerOf(t)
	n.Arrive(time.Second, "w", 1)
	_, outgoing := n.Take()
	grant := Grant{Seq: outgoing[0].Request.Seq, Version: 1}
	for part := range maxParts {
		grant.Tokens = append(grant.Tokens, Tokens{Workspace: partName("w", part), Ahead: 1, ValidFor: validity, Quota: 60})
	}
	parts := []string{"w", "w\x001", "w\x002"}
	n.HandleGrant(time.Second, Peer{"a", 1}, grant)
	n.Forfeit(Peer{"a", 2}, parts)
	if a := n.workspaces["w"]; len(a.tokens) > 0 {
		t.Errorf("%+v are left", a.tokens)
	}
	n.Arrive(2*time.Second, "w", 2)
	_, outgoing = n.Take()
	if len(outgoing) == 0 {
		t.Fatal("the node does not ask again")
	}
	n.Forfeit(Peer{"a", 2}, parts)
	grant.Seq = outgoing[0].Request.Seq
	n.HandleGrant(2*time.Second, Peer{"a", 1}, grant)
	if a := n.workspaces["w"]; len(a.tokens) > 0 {
		t.Errorf("%+v were taken from a grant that came too late", a.tokens)
	}
}
