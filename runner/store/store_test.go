package store

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
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
	f.runner = New(f.store, platform.OwnSource(), platform.OwnRollouts(), func(in reducer.Input) bool { f.events <- in; return true })
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
	in := <-f.events
	if answered, ok := in.(reducer.StoreAnswered); ok {
		return answered.Answer
	}
	return in
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
	watch := f.perform(t, reducer.WatchStore{After: storeera.Revision{Number: read.Revision}}).(reducer.StoreRead)
	if watch.Result != reducer.StoreOK || !watch.Watch || watch.Document.Version != 1 || watch.Revision <= read.Revision {
		t.Errorf("watch after a change: %+v", watch)
	}
	if err := f.server.Inject(standin.Fault{Kind: standin.FaultHistory}); err != nil {
		t.Fatal(err)
	}
	if gone := f.perform(t, reducer.WatchStore{After: storeera.Revision{Number: read.Revision}}).(reducer.StoreRead); gone.Result != reducer.StoreHistoryGone {
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

// Guards against an entry of another writer that is joined as a node, or that is left out without a trace.
func TestEntriesOfOtherWritersAreLeftOut(t *testing.T) {
	f := newFixture(t)
	good := reducer.NodeEntry{Node: "n1", Zone: "Hella", Address: "127.0.0.1:7380"}
	f.server.OperatorPut(platform.KeyNodePrefix+"n1", []byte(`{"node":"n1","zone":"Hella","address":"127.0.0.1:7380","later_field":[1]}`))
	odd := map[string]string{
		"p0": `{"node":"p0","address":"127.0.0.1:0"}`, "p65536": `{"node":"p65536","address":"127.0.0.1:65536"}`,
		"minus": `{"node":"minus","address":"127.0.0.1:-1"}`, "name": `{"node":"name","address":"localhost:80"}`, "empty": `{"node":"empty","address":""}`,
		"group": `{"node":"group","address":"224.0.0.1:80"}`, "any": `{"node":"any","address":"0.0.0.0:80"}`, "other": `{"node":"n1","address":"127.0.0.1:81"}`,
		"type": `{"node":["type"],"address":"127.0.0.1:82"}`, "number": `{"node":"number","address":1e999}`, "text": `"text"`, "null": `null`,
		"nested": strings.Repeat("[", 100000), "nested2": `{"node":` + strings.Repeat(`{"node":`, 20000),
		"zone": `{"node":"zone","zone":"` + strings.Repeat("z", 1000) + `","address":"127.0.0.1:83"}`, "odd\x00\xff": `{`,
	}
	for key, value := range odd {
		f.server.OperatorPut(platform.KeyNodePrefix+key, []byte(value))
	}
	listed := f.perform(t, reducer.ListNodes{}).(reducer.NodesListed)
	if listed.Result != reducer.StoreOK || len(listed.Nodes) != 1 || listed.Nodes[0] != good {
		t.Errorf("listed %+v, expected one node", listed.Nodes)
	}
	if len(listed.Invalid) != len(odd) {
		t.Errorf("%d entries are left out, expected %d", len(listed.Invalid), len(odd))
	}
	for _, entry := range listed.Invalid {
		if entry.Problem == "" || len(entry.Problem) > 2000 {
			t.Errorf("entry %q: problem %q", entry.Key, entry.Problem)
		}
	}
}

// Guards against a decoder of entries that ends the process or accepts an address that cannot be dialled.
func FuzzNodeEntry(f *testing.F) {
	f.Add("n1", []byte(`{"node":"n1","zone":"Hella","address":"127.0.0.1:7380"}`))
	f.Add("n1", []byte(`{"node":"n1","address":"[::1%eth0]:65536"}`))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		node, err := decodeNodeEntry(platform.Entry{Key: platform.KeyNodePrefix + key, Value: value})
		if err != nil {
			return
		}
		if _, err := net.ResolveTCPAddr("tcp", node.Address); err != nil || string(node.Node) != key {
			t.Errorf("%s is accepted as %+v: %v", value, node, err)
		}
	})
}

// Guards against a deregistration that the store rejects, so that a restarted node does not learn of it. This happened
// when the value was null instead of text.
func TestDeregistrationIsStored(t *testing.T) {
	f := newFixture(t)
	stored := f.perform(t, reducer.StoreDeregistration{Exchange: 7, Instance: "i-1", At: 1234, LeftAt: 5678}).(reducer.DeregistrationStored)
	if stored != (reducer.DeregistrationStored{Exchange: 7, Instance: "i-1", At: 1234, Result: reducer.StoreOK}) {
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

// Guards against the record of a deregistration that ends with the leases while the store is away (review/9).
func TestDeregistrationOutlivesTheLeases(t *testing.T) {
	f := newFixture(t)
	f.perform(t, reducer.StoreDeregistration{Exchange: 7, Instance: "i-1", At: 1234, LeftAt: 5678})
	if err := f.server.Inject(standin.Fault{Kind: standin.FaultLeaseLapsed}); err != nil {
		t.Fatal(err)
	}
	want := reducer.DeregistrationRead{Instance: "i-1", At: 1234, Result: reducer.StoreOK}
	if read := f.perform(t, reducer.ReadDeregistration{Instance: "i-1"}); read != want {
		t.Errorf("read %+v after all leases have ended, expected %+v", read, want)
	}
}

// Guards against a write of an earlier life of an instance that the store carries out late, after the deregistration
// of the next life is stored: a late registration of that one would count.
func TestLateWriteOfAnEarlierDeregistrationChangesNothing(t *testing.T) {
	f := newFixture(t)
	if err := f.server.Inject(standin.Fault{Kind: standin.FaultLateWrite, DelayMs: 100, Count: 1}); err != nil {
		t.Fatal(err)
	}
	earlier := f.perform(t, reducer.StoreDeregistration{Instance: "i-1", At: 1000}).(reducer.DeregistrationStored)
	next := f.perform(t, reducer.StoreDeregistration{Instance: "i-1", At: 2000}).(reducer.DeregistrationStored)
	time.Sleep(200 * time.Millisecond)
	again := f.perform(t, reducer.StoreDeregistration{Instance: "i-1", At: 1000}).(reducer.DeregistrationStored)
	if earlier.Result != reducer.StoreUnknown || next.Result != reducer.StoreOK || again.Result != reducer.StoreOK {
		t.Errorf("results %v, %v and %v, expected unknown, ok and ok", earlier.Result, next.Result, again.Result)
	}
	if read := f.perform(t, reducer.ReadDeregistration{Instance: "i-1"}).(reducer.DeregistrationRead); read.At != 2000 {
		t.Errorf("read %+v, expected that of the next life", read)
	}
}

// Guards against records that stay in the store for ever, and against the removal of one that was written again or
// that another writer left.
func TestOldDeregistrationsAreRemoved(t *testing.T) {
	f := newFixture(t)
	for _, instance := range []string{"i-1", "i-2"} {
		f.perform(t, reducer.StoreDeregistration{Instance: instance, At: 1000, LeftAt: 5000})
	}
	for odd, value := range map[string]string{"odd": "{", "number": "77"} {
		if _, _, err := f.store.CompareAndSwap(context.Background(), platform.KeyDeregistrationPrefix+odd, 0, []byte(value)); err != nil {
			t.Fatal(err)
		}
	}
	listed := f.perform(t, reducer.ListDeregistrations{}).(reducer.DeregistrationsListed)
	if len(listed.Records) != 2 || listed.Records[0].Instance != "i-1" || listed.Records[0].LeftAt != 5000 {
		t.Fatalf("listed %+v", listed)
	}
	f.perform(t, reducer.StoreDeregistration{Instance: "i-2", At: 2000, LeftAt: 9000})
	f.runner.removeDeregistrations(context.Background(), reducer.RemoveDeregistrations{Records: listed.Records})
	for instance, want := range map[string]reducer.StoreResult{
		"i-1": reducer.StoreAbsent, "i-2": reducer.StoreOK, "odd": reducer.StoreMalformed, "number": reducer.StoreOK,
	} {
		if read := f.perform(t, reducer.ReadDeregistration{Instance: instance}).(reducer.DeregistrationRead); read.Result != want {
			t.Errorf("%s is read as %v, expected %v", instance, read.Result, want)
		}
	}
}

// Guards against a watch on a connection that failed silently, whose late result ends the watch that took its place.
func TestNextWatchEndsTheOneBefore(t *testing.T) {
	f := newFixture(t)
	read := f.perform(t, reducer.ReadStore{}).(reducer.StoreRead)
	f.runner.Perform(reducer.WatchStore{After: storeera.Revision{Number: read.Revision}})
	f.runner.Perform(reducer.WatchStore{})
	if _, _, err := f.store.CompareAndSwap(context.Background(), platform.KeyConfig, 0, []byte(`{"version":3}`)); err != nil {
		t.Fatal(err)
	}
	in, _ := (<-f.events).(reducer.StoreAnswered)
	if watched, ok := in.Answer.(reducer.StoreRead); !ok || !watched.Watch || watched.Result != reducer.StoreOK || watched.After != (storeera.Revision{}) {
		t.Errorf("the result is %+v, expected that of the second watch", in.Answer)
	}
	select {
	case in := <-f.events:
		t.Errorf("a second result %+v is posted", in)
	case <-time.After(100 * time.Millisecond):
	}
}
