package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against a call that does not ask a node again when the owner of its key changes for the second time.
// Since the call asked that node, another call may have taken the key there and run.
func TestChangedOwnerMakesACallAskAgain(t *testing.T) {
	const joined = 1000 * time.Second
	s := New(Config{
		Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), Tunables: Tunables{RetrySlack: 100},
		Tables: testSnapshot(t, "[route r]\npath = /r\npool = p\nretries = 5\ntimeout = 30s\n", "[pool p]\nservice = s\nramp = 0s\n"),
	})
	third := Member{Node: "third", Zone: "z", Incarnation: Incarnation(joined), Sequence: 1, State: MemberAlive, Upstream: Upstream{Service: "s", Slots: 1, State: UpstreamReady}}
	owner := third
	owner.Node, owner.Incarnation = "owner", 1
	s.mergeMember(owner)
	Reduce(s, Event{Now: joined, Input: TimerDue{}})
	s.mergeMember(third)
	key := 0
	for keyWeight("third", "r", fmt.Sprint(key)) < keyWeight("owner", "r", fmt.Sprint(key)) {
		key++
	}
	got := ""
	attempt := 0
	reduce := func(after time.Duration, in Input) {
		for _, effect := range Reduce(s, Event{Now: s.now + after, Input: in}) {
			switch e := effect.(type) {
			case Forward:
				got, attempt = got+fmt.Sprintf("forward to %s;", e.To.Node), e.Attempt
			case Settle:
				got, attempt = got+fmt.Sprintf("settle with %s;", e.To.Node), e.Attempt
			case FailCall:
				got += fmt.Sprintf("respond %v;", e.Outcome)
			}
		}
	}
	settled := func() {
		reduce(time.Millisecond, SettleDone{Call: 1, Attempt: attempt, Answered: true, Outcome: OutcomeNotRun})
	}
	moveKey := func(state UpstreamState) {
		third.Sequence++
		third.Upstream.State = state
		s.mergeMember(third)
		reduce(time.Millisecond, ForwardDone{Call: 1, Attempt: attempt, Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonDraining})
		reduce(maxRetryBackoff, TimerDue{}) // ends the backoff before the next attempt
	}
	reduce(time.Millisecond, CallArrived{Call: 1, Method: "POST", Path: "/r", IdempotencyKey: fmt.Sprint(key), RetriesLeft: -1})
	settled()
	moveKey(UpstreamDraining)
	settled()
	moveKey(UpstreamReady)
	settled()
	want := "settle with owner;forward to third;settle with third;forward to owner;settle with owner;forward to third;"
	if got != want {
		t.Errorf("the call took the steps %q, expected %q", got, want)
	}
}

// Guards against a repeat that runs at the owner of its key although another upstream may have run the call:
// one that owned the key before the owner joined, one that was unreachable, or one in a zone behind a
// partition.
func TestRepeatAsksWhoMayHaveRunIt(t *testing.T) {
	const joined = 1000 * time.Second // longer after the start than any retention
	upstream := func(node NodeID, zone string, sequence uint64, state MemberState) Member {
		return Member{
			Node: node, Zone: zone, Incarnation: 1, Sequence: sequence, State: state,
			Upstream: Upstream{Service: "s", Slots: 1, State: UpstreamReady},
		}
	}
	for name, c := range map[string]struct {
		change func(s *State, learn func(Member))
		want   string
	}{
		"nothing changed": {func(*State, func(Member)) {}, "forward to owner;"},
		"third joined": {func(_ *State, learn func(Member)) {
			third := upstream("third", "z", 1, MemberAlive)
			third.Incarnation = Incarnation(joined)
			learn(third)
		}, "settle with owner;"},
		"third joined, other drains": {func(_ *State, learn func(Member)) {
			third, other := upstream("third", "z", 1, MemberAlive), upstream("other", "z", 2, MemberAlive)
			third.Incarnation, other.Upstream.State = Incarnation(joined), UpstreamDraining
			learn(third)
			learn(other)
		}, "settle with other;"},
		"other returned": {func(_ *State, learn func(Member)) {
			learn(upstream("other", "z", 1, MemberDead))
			learn(upstream("other", "z", 2, MemberAlive))
		}, "settle with other;"},
		"zone cut off": {func(s *State, learn func(Member)) {
			learn(upstream("far", "y", 1, MemberAlive))
			s.markZoneLost("y")
			Reduce(s, Event{Now: 2 * joined, Input: TimerDue{}}) // the partition lasts longer than any retention
		}, "respond unknown;"},
		"ended behind a partition": {func(s *State, learn func(Member)) {
			learn(upstream("far", "y", 1, MemberAlive))
			learn(upstream("far2", "y", 1, MemberAlive))
			s.markZoneLost("y")
			Reduce(s, Event{Now: 2 * joined, Input: TimerDue{}})
			learn(upstream("far", "y", 2, MemberDead))
			s.restoreZone("y")
		}, "respond unknown;"},
		"considered dead before a partition": {func(s *State, learn func(Member)) {
			learn(upstream("far", "y", 1, MemberAlive))
			learn(upstream("far2", "y", 1, MemberAlive))
			learn(upstream("far", "y", 1, MemberDead))
			s.markZoneLost("y")
			Reduce(s, Event{Now: 2 * joined, Input: TimerDue{}})
			s.restoreZone("y")
		}, "respond unknown;"},
		"other restarted, its new incarnation was unreachable": {func(s *State, learn func(Member)) {
			learn(upstream("other", "z", 1, MemberDead))
			Reduce(s, Event{Now: joined + 5*time.Minute, Input: TimerDue{}}) // the loss is older than the retention
			other := upstream("other", "z", 1, MemberAlive)
			other.Incarnation = Incarnation(s.now - 2*clockSkew)
			learn(other)
		}, "settle with other;"},
		"group found":            {func(_ *State, learn func(Member)) { learn(upstream("far", "y", 1, MemberAlive)) }, "settle with far;"},
		"no contact with a zone": {func(_ *State, learn func(Member)) { learn(upstream("far", "y", 1, MemberAlive)) }, "respond unknown;"},
		"long without tables":    {func(s *State, _ func(Member)) { s.config.firstActiveAt = joined }, "respond unknown;"},
	} {
		s := New(Config{
			Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
			Tables: testSnapshot(t, "[route r]\npath = /r\npool = p\n", "[pool p]\nservice = s\nramp = 0s\n"),
		})
		s.mergeMember(upstream("owner", "z", 1, MemberAlive))
		s.mergeMember(upstream("other", "z", 1, MemberAlive))
		Reduce(s, Event{Now: joined, Input: TimerDue{}})
		c.change(s, func(m Member) { s.mergeMember(m) })
		now := s.now + 10*time.Second
		if view := s.zoneViewOf("y"); name != "no contact with a zone" {
			view.lastContact, view.contacted = now, true
		}
		owner, second, key := NodeID("owner"), NodeID("other"), 0
		if strings.HasPrefix(name, "third joined") {
			owner, second = "third", "owner"
		}
		for ranking := []Member{{}, {}}; ranking[0].Node != owner || ranking[1].Node != second; key++ {
			ranking = s.keyRanking("s", "r", fmt.Sprint(key+1))
			for _, node := range []NodeID{"other", "far", "far2"} {
				if keyWeight(node, "r", fmt.Sprint(key+1)) > keyWeight(owner, "r", fmt.Sprint(key+1)) {
					ranking = []Member{{}, {}} // a node that ranks before the owner would be asked for that reason alone
				}
			}
		}
		got := ""
		call := CallArrived{Call: 1, Method: "POST", Path: "/r", IdempotencyKey: fmt.Sprint(key)}
		for _, effect := range Reduce(s, Event{Now: now, Input: call}) {
			switch e := effect.(type) {
			case Forward:
				got += fmt.Sprintf("forward to %s;", e.To.Node)
			case Settle:
				got += fmt.Sprintf("settle with %s;", e.To.Node)
			case FailCall:
				got += fmt.Sprintf("respond %v;", e.Outcome)
			}
		}
		if got != c.want {
			t.Errorf("%s: %q, expected %q", name, got, c.want)
		}
	}
}

// Guards against a starting node that activates the version of the first peer that answers, although another
// peer has a newer one. The answers arrive early or late.
func TestStartWaitsForPeers(t *testing.T) {
	for _, every := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
		startWaitsForPeers(t, every)
	}
}

func startWaitsForPeers(t *testing.T, every time.Duration) {
	s := New(Config{Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits()})
	for _, peer := range []NodeID{"a", "b"} {
		s.mergeMember(Member{Node: peer, Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive})
	}
	var published []uint64
	var reduce func(now time.Duration, input Input)
	reduce = func(now time.Duration, input Input) {
		for _, effect := range Reduce(s, Event{Now: now, Input: input}) {
			switch e := effect.(type) {
			case CheckTables:
				reduce(now, e.Run())
			case Publish:
				published = append(published, e.Snapshot.ID().Number)
			}
		}
	}
	document := testSnapshot(t, "[route r]\npool = p\n", "[pool p]\nservice = s\n").Document()
	reduce(0, TimerDue{})
	for i, peer := range []NodeID{"a", "b"} {
		document.Version = uint64(i + 1)
		from := PeerRef{Node: peer, Incarnation: 1}
		reduce(time.Duration(i+1)*every, PeerMessage{From: from, Message: ConfigUpdate{Document: document}})
	}
	if len(published) != 1 || published[0] != 2 {
		t.Errorf("answers every %v: versions %v became active, expected only version 2", every, published)
	}
}

// Guards against a node that has just joined and counts the time since the loss of an upstream from the time
// when it learned of the loss: the outcome of first requests with a key would be unknown for 5 s after each
// join.
func TestJoiningNodeTakesTheTimeOfALoss(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want Outcome
	}{
		"lost within the margin": {firstAttemptMargin - time.Second, OutcomeUnknown},
		"lost before":            {firstAttemptMargin + time.Second, 0},
	} {
		s := New(Config{
			Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
			Tables: testSnapshot(t, "[route r]\npath = /r\npool = p\n", "[pool p]\nservice = s\nramp = 0s\n"),
		})
		upstream := Upstream{Service: "s", Slots: 1, State: UpstreamReady}
		table := MemberUpdate{Repair: true, Members: []Member{
			{Node: "owner", Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive, Upstream: upstream},
			{Node: "lost", Zone: "z", Incarnation: 1, Sequence: 1, State: MemberDead, Age: c.age, Upstream: upstream},
		}}
		Reduce(s, Event{Input: PeerMessage{From: PeerRef{Node: "owner", Incarnation: 1}, Message: table}})
		got := Outcome(0)
		call := CallArrived{Call: 1, Method: "POST", Path: "/r", IdempotencyKey: "k", FirstAttempt: true}
		for _, effect := range Reduce(s, Event{Input: call}) {
			if failed, ok := effect.(FailCall); ok {
				got = failed.Outcome
			}
		}
		if got != c.want {
			t.Errorf("%s: outcome %v, expected %v", name, got, c.want)
		}
	}
}

// Guards against a request with a key that is reported as not run although a copy may have run while the
// request waited: the key was taken for the copy, the owner was not reached, or the request ended between two
// attempts.
func TestRefusalAfterAWaitIsUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		end  ForwardDone
		then Input // arrives after the end of the attempt: the caller leaves, or a timer fires
	}{
		"key moved":         {ForwardDone{Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonKeyMoved}, TimerDue{}},
		"owner unreachable": {ForwardDone{Result: ForwardNotSent}, TimerDue{}},
		"caller leaves":     {ForwardDone{Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonNoUpstream}, CallerGone{Call: 1}},
		"refused, then caller leaves": {
			ForwardDone{Result: ForwardAnswered, Outcome: OutcomeNotRun, Reason: ReasonDraining}, CallerGone{Call: 1},
		},
	} {
		s := New(Config{
			Self: "self", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
			Tables: testSnapshot(t, "[route r]\npath = /r\npool = p\n", "[pool p]\nservice = s\nramp = 0s\n"),
		})
		s.mergeMember(Member{
			Node: "owner", Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive,
			Upstream: Upstream{Service: "s", Slots: 1, State: UpstreamReady},
		})
		var outcomes []Outcome
		const backoff = 3000 // with this random number the first backoff is 3 ms
		var reduce func(time.Duration, Input)
		reduce = func(after time.Duration, input Input) {
			for _, effect := range Reduce(s, Event{Now: s.now + after, Rand: backoff, Input: input}) {
				switch e := effect.(type) {
				case Forward:
					c.end.Call, c.end.Attempt = e.Call, e.Attempt
					for _, later := range []Input{c.end, c.then} {
						reduce(time.Millisecond, later)
					}
				case FailCall:
					outcomes = append(outcomes, e.Outcome)
				}
			}
		}
		reduce(0, CallArrived{Call: 1, Method: "POST", Path: "/r", IdempotencyKey: "k", FirstAttempt: true, RetriesLeft: -1})
		for range 5 {
			reduce(time.Second, TimerDue{})
		}
		if len(outcomes) != 1 || outcomes[0] != OutcomeUnknown {
			t.Errorf("%s: the outcomes are %v, expected a single unknown", name, outcomes)
		}
	}
}
