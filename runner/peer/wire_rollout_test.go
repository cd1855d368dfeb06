package peer

import (
	"reflect"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// Guards against a field that is lost on the wire, and against values that no node sends.
func TestRolloutMessagesOnTheWire(t *testing.T) {
	update := rollout.Update{
		Service: "desk", Version: "v2", From: "v1", State: rollout.Running, Step: 2, Share: 0.4, Guarded: true, Final: true, Halted: true,
		Era: 2, Revision: 9, Refresh: 3, Order: 4, Decider: rollout.Node{ID: "n1", Address: "10.0.0.1:7", Incarnation: 5},
	}
	count := rollout.RouteCount{Route: "look", Calls: 5, Failures: 2}
	count.Buckets[3], count.Buckets[rollout.LatencyBuckets-1] = 2, 1
	for _, message := range []reducer.Message{
		reducer.RolloutUpdates{Updates: []rollout.Update{update}, Complete: true},
		reducer.RolloutReport{Report: rollout.Report{Service: "desk", Era: 2, Revision: 9, OldCalls: 2, Upstream: "v2", Serves: true, Slots: 6, Busy: 9, Routes: []rollout.RouteCount{count}}},
		reducer.RolloutFetch{},
	} {
		if got, err := wireControl(message).toMessage(); err != nil || !reflect.DeepEqual(got, message) {
			t.Errorf("%+v became %+v, %v", message, got, err)
		}
	}
	good := wireControl(reducer.RolloutUpdates{Updates: []rollout.Update{update}}).RolloutUpdates.Updates[0]
	for _, change := range []func(*RolloutUpdate){
		func(u *RolloutUpdate) { u.Share = 1.5 }, func(u *RolloutUpdate) { u.State = 9 }, func(u *RolloutUpdate) { u.Service = "" },
		func(u *RolloutUpdate) { u.Address = "nowhere" }, func(u *RolloutUpdate) { u.Revision = 0 },
	} {
		bad := good
		change(&bad)
		if bad.isValid() {
			t.Errorf("%+v is accepted", bad)
		}
	}
	if _, ok := (&RolloutReport{Route: []string{"a"}, Calls: []int{1}, Failures: []int{2}, Latency: make([]uint16, rollout.LatencyBuckets)}).toReport(); ok {
		t.Error("a report with more failures than calls is accepted")
	}
}

// Guards against entries of a node of an earlier release, which states no versions, that are left out.
func TestVersionsOfMembersOnTheWire(t *testing.T) {
	member := func(node, version string) reducer.Member {
		return reducer.Member{
			Node: reducer.NodeID(node), Address: "10.0.0.1:7", Incarnation: 1, Sequence: 1, State: reducer.MemberAlive,
			Upstream: reducer.Upstream{Service: "desk", Slots: 1, State: reducer.UpstreamReady, Version: version},
		}
	}
	for _, versions := range [][]string{{"", "v1", "v2"}, {"", ""}, {"v1", ""}} {
		var table MemberTable
		var want []reducer.Member
		for i, version := range versions {
			want = append(want, member(string(rune('a'+i)), version))
			table.add(want[i])
		}
		if got := table.toMembers(); !reflect.DeepEqual(got, want) {
			t.Errorf("%v became %+v", versions, got)
		}
	}
}
