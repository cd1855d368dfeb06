package store

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// fixture is a runner that is connected to a stand-in of the platform.
type fixture struct {
	server *standin.Server
	store  *kv.Client
	runner *Runner
	events chan reducer.Input
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	kvServer := standin.New()
	httpServer := httptest.NewServer(kvServer)
	f := &fixture{server: kvServer, store: kv.New(httpServer.Listener.Addr().String()), events: make(chan reducer.Input, 1)}
	f.runner = New(f.store, platform.OwnSource(), func(in reducer.Input) bool { f.events <- in; return true })
	t.Cleanup(func() {
		f.runner.Close()
		httpServer.Close()
	})
	return f
}

func (f *fixture) perform(t *testing.T, effect reducer.Effect) reducer.Input {
	t.Helper()
	if !f.runner.Perform(effect) {
		t.Fatalf("effect %T was not carried out", effect)
	}
	return <-f.events
}

// Guards against a malformed document in the store that ends the process or is reported as an unreachable platform.
func TestMalformedDocument(t *testing.T) {
	f := newFixture(t)
	const document = `{"version":3,"unknown_field":1}`
	revision := uint64(0)
	for _, value := range []string{`{"version":`, `null`, `[]`, document} {
		outcome, entry, err := f.store.CompareAndSwap(context.Background(), platform.KeyConfig, revision, []byte(value))
		if outcome != platform.Applied {
			t.Fatal(outcome, err)
		}
		revision = entry.Revision
		read := f.perform(t, reducer.ReadStore{}).(reducer.StoreRead)
		if want := value == document; (read.Result == reducer.StoreOK) != want || !want && read.Result != reducer.StoreMalformed {
			t.Errorf("%s: result %d", value, read.Result)
		}
	}
}

// Guards against a change that a watch misses: one made between two watches, and one that the store has dropped from
// its history.
func TestWatchMissesNothing(t *testing.T) {
	f := newFixture(t)
	read := f.perform(t, reducer.ReadStore{}).(reducer.StoreRead)
	if read.Result != reducer.StoreAbsent || read.Revision == 0 {
		t.Fatalf("empty store: %+v", read)
	}
	f.store.CompareAndSwap(context.Background(), platform.KeyConfig, 0, []byte(`{"version":1}`))
	watch := f.perform(t, reducer.WatchStore{After: read.Revision}).(reducer.StoreRead)
	if watch.Result != reducer.StoreOK || !watch.Watch || watch.Document.Version != 1 || watch.Revision <= read.Revision {
		t.Errorf("watch after a change: %+v", watch)
	}
	if err := f.server.Inject(standin.Fault{Kind: standin.FaultHistory}); err != nil {
		t.Fatal(err)
	}
	if gone := f.perform(t, reducer.WatchStore{After: read.Revision}).(reducer.StoreRead); gone.Result != reducer.StoreHistoryGone {
		t.Errorf("watch without history: %+v", gone)
	}
}

// Guards against an entry that outlives its lease, an entry that cannot be written again after its lease has expired,
// and an invalid entry that hides the valid ones.
func TestNodeEntries(t *testing.T) {
	f := newFixture(t)
	entry := reducer.NodeEntry{Node: "n1", Zone: "Hella", Address: "127.0.0.1:1"}
	announce := func() reducer.StoreResult {
		granted := f.perform(t, reducer.GrantLease{TTL: time.Minute}).(reducer.LeaseGranted)
		if granted.Result != reducer.StoreOK || granted.Lease == 0 {
			t.Fatalf("lease was not granted: %+v", granted)
		}
		return f.perform(t, reducer.AnnounceNode{Lease: granted.Lease, Entry: entry}).(reducer.NodeAnnounced).Result
	}
	if result := announce(); result != reducer.StoreOK {
		t.Fatalf("announcing the node: result %d", result)
	}
	f.server.OperatorPut(platform.KeyNodePrefix+"broken", []byte("{"))
	if listed := f.perform(t, reducer.ListNodes{}).(reducer.NodesListed); len(listed.Nodes) != 1 || listed.Nodes[0] != entry {
		t.Errorf("listed %+v, expected one entry", listed)
	}
	if err := f.server.Inject(standin.Fault{Kind: standin.FaultLeaseLapsed}); err != nil {
		t.Fatal(err)
	}
	if renewed := f.perform(t, reducer.RenewLease{Lease: 1}).(reducer.LeaseRenewed); renewed.Result != reducer.StoreNoLease {
		t.Errorf("renewal of an expired lease: %+v", renewed)
	}
	if late := f.perform(t, reducer.AnnounceNode{Lease: 1, Entry: entry}).(reducer.NodeAnnounced); late.Result != reducer.StoreNoLease {
		t.Errorf("entry under an expired lease: %+v", late)
	}
	if listed := f.perform(t, reducer.ListNodes{}).(reducer.NodesListed); len(listed.Nodes) != 0 {
		t.Errorf("listed %+v after the lease expired, expected no entry", listed)
	}
	if result := announce(); result != reducer.StoreOK {
		t.Errorf("announcing the node again after the lease expired: result %d", result)
	}
}

// Guards against a deregistration that the store rejects, so that a restarted node does not learn of it. This happened
// when the value was null instead of text.
func TestDeregistrationIsStored(t *testing.T) {
	f := newFixture(t)
	stored := f.perform(t, reducer.StoreDeregistration{Exchange: 7, Instance: "i-1", At: 1234, TTL: time.Minute}).(reducer.DeregistrationStored)
	if stored != (reducer.DeregistrationStored{Exchange: 7, Result: reducer.StoreOK}) {
		t.Errorf("storing the deregistration: %+v", stored)
	}
	for _, want := range []reducer.DeregistrationRead{
		{Instance: "i-1", At: 1234, Result: reducer.StoreOK}, {Instance: "i-2", Result: reducer.StoreAbsent},
	} {
		if read := f.perform(t, reducer.ReadDeregistration{Instance: want.Instance}).(reducer.DeregistrationRead); read != want {
			t.Errorf("read %+v, expected %+v", read, want)
		}
	}
}
