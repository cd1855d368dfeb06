package store

import (
	"context"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

func testRollout(state rollout.State) rollout.Stored {
	return rollout.Stored{
		Update:   rollout.Update{Service: "desk", Version: "v2", From: "v1", State: state, Share: 0.04, Order: 3, Decider: rollout.Node{ID: "n1"}},
		Duration: 12 * time.Second, StartedAt: 17, Status: rollout.Status{State: state, Version: "v2"},
	}
}

// Guards against two nodes that decide one roll-out, against a decider that writes after it has lost its lease or over
// a state that it does not know, and against a state that is read otherwise than it was written.
func TestOnlyTheDeciderWrites(t *testing.T) {
	f := newFixture(t)
	f.runner.rollouts = hosted.Rollouts()
	f.server.OperatorPut("op/rollout/desk", []byte(`{"service":"desk","target-version":"v2","duration-s":12}`))
	f.server.OperatorPut("op/rollout/other", []byte(`{"service":"desk","target-version":"v2","duration-s":12}`))
	hold := func(node reducer.NodeID, lease uint64) reducer.RolloutLeaseHeld {
		return f.perform(t, reducer.HoldRolloutLease{Service: "desk", Node: node, Lease: lease, TTL: time.Second}).(reducer.RolloutLeaseHeld)
	}
	write := func(stored rollout.Stored, fence uint64) reducer.RolloutWritten {
		return f.perform(t, reducer.WriteRollout{Rollout: stored, Fence: fence}).(reducer.RolloutWritten)
	}
	first := hold("n1", 0)
	if first.Result != reducer.StoreOK || first.Fence == 0 || hold("n1", first.Lease).Result != reducer.StoreOK || hold("n2", 0).Result != reducer.StoreConflict {
		t.Fatalf("first node got %+v", first)
	}
	stored := testRollout(rollout.Running)
	written := write(stored, first.Fence)
	if written.Result != reducer.StoreOK || write(stored, first.Fence).Result != reducer.StoreConflict {
		t.Fatalf("first write is %+v", written)
	}
	if err := f.store.EndLease(context.Background(), platform.LeaseID(first.Lease)); err != nil {
		t.Fatal(err)
	}
	second := hold("n2", 0)
	stored.Revision = written.Revision
	if second.Result != reducer.StoreOK || write(stored, first.Fence).Result != reducer.StoreConflict || hold("n1", first.Lease).Result != reducer.StoreNoLease {
		t.Errorf("the first node writes beside %+v", second)
	}
	read := f.perform(t, reducer.ReadRollouts{}).(reducer.RolloutsRead)
	stored.Update.Revision = written.Revision
	if len(read.States) != 1 || read.States[0] != stored || len(read.Orders) != 2 || read.Orders[0].Problem != "" || read.Orders[1].Problem == "" {
		t.Errorf("read %+v", read)
	}
	status, err := f.store.Get(context.Background(), "status/rollout/desk")
	if err != nil || string(status.Value) != `{"state":"running","target-version":"v2"}` {
		t.Errorf("status is %s, %v", status.Value, err)
	}
}

// Guards against an order that is seen only when the orders are read next.
func TestWatchReportsAnOrder(t *testing.T) {
	f := newFixture(t)
	f.runner.rollouts = hosted.Rollouts()
	f.server.OperatorPut(hosted.KeyConfig, []byte(`{}`))
	read := f.perform(t, reducer.ReadRollouts{}).(reducer.RolloutsRead)
	time.AfterFunc(50*time.Millisecond, func() { f.server.OperatorPut("op/rollout/desk", []byte(`{}`)) })
	changed := f.perform(t, reducer.WatchRollouts{After: storeera.Revision{Number: read.Revision}}).(reducer.RolloutsChanged)
	if changed.Result != reducer.StoreOK || changed.Revision <= read.Revision {
		t.Errorf("watch after %d reports %+v", read.Revision, changed)
	}
}
