package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/operator/nodestatus"
)

// fakeNode serves GET /status as a node does.
type fakeNode struct {
	name, address string
	version       atomic.Uint64
	members       []map[string]any
}

func newFakeNode(t *testing.T, name string, version uint64) *fakeNode {
	t.Helper()
	n := &fakeNode{name: name}
	n.version.Store(version)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{
			"node": n.name, "zone": "Larvik", "ready": true, "members": n.members,
			"version": map[string]any{"number": n.version.Load(), "hash": "h"},
		})
	}))
	t.Cleanup(server.Close)
	n.address = server.Listener.Addr().String()
	return n
}

// member returns the node's entry in a member table.
func (n *fakeNode) member(state string, sequence int) map[string]any {
	return map[string]any{"node": n.name, "operator": n.address, "incarnation": 1, "sequence": sequence, "state": state}
}

// Guards against a wait that ends while a member discovered through another node does not have the version, that
// waits for dead members, or that does not name the lagging member.
func TestWaitNamesLaggingNodes(t *testing.T) {
	first, second, dead := newFakeNode(t, "n1", 2), newFakeNode(t, "n2", 1), newFakeNode(t, "n3", 1)
	first.members = []map[string]any{first.member("alive", 1), second.member("alive", 1), dead.member("alive", 1)}
	second.members = []map[string]any{dead.member("dead", 2)}
	r := &Runner{Sleep: func(ctx context.Context, d time.Duration) { time.Sleep(time.Millisecond) }}
	result := r.Run(context.Background(), NewWait(2, []string{first.address}, 50*time.Millisecond))
	if result.Outcome != Timeout || len(result.Lagging) != 1 || result.Lagging[0].Node != "n2" || result.Lagging[0].Version != 1 {
		t.Fatalf("result is %+v, expected a timeout that names n2 with version 1", result)
	}
	second.version.Store(2)
	result = r.Run(context.Background(), NewWait(2, []string{first.address}, time.Minute))
	if result.Outcome != Done || result.Members != 2 {
		t.Errorf("result is %+v, expected 2 live members with the version", result)
	}
}

// Guards against counting a node that does not answer as one that has the version.
func TestWaitCountsASilentNodeAsLagging(t *testing.T) {
	node := newFakeNode(t, "n1", 2)
	silent := httptest.NewServer(http.NotFoundHandler())
	address := silent.Listener.Addr().String()
	silent.Close()
	lagging, upToDate := findLagging(2, QueryStatuses(context.Background(), []string{node.address, address}, true))
	if upToDate != 1 || len(lagging) != 1 || lagging[0].Address != address || lagging[0].Problem == "" {
		t.Errorf("lagging are %+v and %d have it, expected the silent node and 1", lagging, upToDate)
	}
}

// Guards against parsing an answer that is not a status as the status of a node without a version.
func TestParseRejectsAnswersThatAreNoStatus(t *testing.T) {
	for _, body := range []string{`{"error":"x"}`, `[]`, ``} {
		if status, err := nodestatus.Parse([]byte(body)); err == nil {
			t.Errorf("%q was accepted as %+v", body, status)
		}
	}
}
