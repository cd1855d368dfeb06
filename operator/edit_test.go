package operator

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	standin "github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
)

const (
	pools      = "[pool stitchroom]\nservice = stitchroom\n"
	routes     = "[route dues]\npath = /dues\npool = stitchroom\npriority = 0\n"
	routesSlow = "[route dues]\npath = /dues\npool = stitchroom\npriority = 3\n"
)

var errLost = errors.New("no answer")

// faultyStore loses writes to the config key, or their responses, and reports their outcome as unknown.
type faultyStore struct {
	platform.Store
	loseWrite    bool   // writes do not take effect
	loseResponse bool   // the next write takes effect and its response is lost
	afterWrite   func() // called after each such write
}

func (s *faultyStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte) (platform.WriteOutcome, platform.Entry, error) {
	if key != platform.KeyConfig || !s.loseWrite && !s.loseResponse {
		return s.Store.CompareAndSwap(ctx, key, revision, value)
	}
	if s.loseResponse {
		s.Store.CompareAndSwap(ctx, key, revision, value)
		s.loseResponse = false
	}
	if s.afterWrite != nil {
		s.afterWrite()
	}
	return platform.Unknown, platform.Entry{}, errLost
}

// newRunner returns a runner on an empty store that does not wait between read-backs.
func newRunner(t *testing.T) *Runner {
	t.Helper()
	server := httptest.NewServer(standin.New())
	t.Cleanup(server.Close)
	return &Runner{Store: kv.New(server.Listener.Addr().String()), Sleep: func(context.Context, time.Duration) {}}
}

func apply(t *testing.T, r *Runner, routes string, expect uint64, want Outcome) Result {
	t.Helper()
	result := r.Apply(context.Background(), EditRequest{
		Routes: routes, Pools: pools, Author: "ada", EditID: NewEditID(), Expect: expect,
	}, "r.ini", "p.ini")
	if result.Outcome != want {
		t.Fatalf("apply with expected version %d ended as %v (%s), expected %v", expect, result.Outcome, result.Problem, want)
	}
	return result
}

// Guards against a first apply that fails on an empty store, an edit that replaces a version without copying it
// into the history, and a rollback that reuses an old version number.
func TestRollbackIsANewVersionWithTheOldTables(t *testing.T) {
	r, ctx := newRunner(t), context.Background()
	apply(t, r, routes, 0, Done)
	apply(t, r, routesSlow, 1, Done)
	if result := r.Rollback(ctx, 1, EditRequest{Author: "ada", EditID: NewEditID()}); result.Outcome != Done || result.Version != 3 {
		t.Fatalf("rollback ended as %+v, expected version 3", result)
	}
	current, err := r.FetchCurrent(ctx)
	if err != nil || current.Version != 3 || current.Routes != routes {
		t.Errorf("current is %+v, %v, expected version 3 with the routes of version 1", current, err)
	}
	entries, err := r.FetchHistory(ctx, 20)
	if err != nil || len(entries) != 3 || entries[1].Version != 2 || entries[1].Changes != 1 {
		t.Errorf("history is %+v, %v, expected versions 3, 2 and 1 with one change in 2", entries, err)
	}
}

// Guards against a write that is reported as lost, or repeated, when only its response was lost.
func TestLostResponseIsResolvedByTheEditID(t *testing.T) {
	r := newRunner(t)
	apply(t, r, routes, 0, Done)
	r.Store = &faultyStore{Store: r.Store, loseResponse: true}
	if result := apply(t, r, routesSlow, 1, Done); result.Version != 2 || result.Superseded != 0 {
		t.Errorf("result is %+v, expected version 2", result)
	}
}

// Guards against the outcome conflict or unknown for a write that took effect, lost its response, and was replaced
// by another version before it was read back.
func TestLostResponseIsResolvedInTheHistory(t *testing.T) {
	r := newRunner(t)
	apply(t, r, routes, 0, Done)
	other := &Runner{Store: r.Store, Sleep: r.Sleep}
	r.Store = &faultyStore{Store: r.Store, loseResponse: true, afterWrite: func() { apply(t, other, routes, 2, Done) }}
	if result := apply(t, r, routesSlow, 1, Done); result.Version != 2 || result.Superseded != 3 {
		t.Errorf("result is %+v, expected version 2 replaced by 3", result)
	}
}

// Guards against the outcome done for a lost write when another operator's version with the same number is in the
// store or in the history.
func TestLostWriteBehindAnotherVersionIsAConflict(t *testing.T) {
	for _, writes := range []int{1, 2} {
		r := newRunner(t)
		apply(t, r, routes, 0, Done)
		other := &Runner{Store: r.Store, Sleep: r.Sleep}
		r.Store = &faultyStore{Store: r.Store, loseWrite: true, afterWrite: func() {
			for i := range writes {
				apply(t, other, routes+"# other\n", uint64(1+i), Done)
			}
		}}
		if result := apply(t, r, routesSlow, 1, Conflict); result.Other == nil || result.Other.Version != 2 {
			t.Errorf("after %d other writes the result is %+v, expected a conflict with version 2", writes, result)
		}
	}
}

// Guards against a conflict when no other operator wrote: a zone reader confirms a document by rewriting it
// unchanged, which increases the store's revision but not the version.
func TestConfirmedDocumentIsNoConflict(t *testing.T) {
	r, ctx := newRunner(t), context.Background()
	apply(t, r, routes, 0, Done)
	store := r.Store
	faulty := &faultyStore{Store: store, loseWrite: true}
	faulty.afterWrite = func() {
		entry, err := store.Get(ctx, platform.KeyConfig)
		if err != nil {
			t.Error(err)
		}
		store.CompareAndSwap(ctx, platform.KeyConfig, entry.Revision, entry.Value)
		faulty.loseWrite = false
	}
	r.Store = faulty
	if result := apply(t, r, routesSlow, 1, Done); result.Version != 2 {
		t.Errorf("result is %+v, expected version 2", result)
	}
}

// Guards against the outcome done or failed for a write whose outcome is unknown: it may still be in flight.
func TestUnresolvedWriteIsReportedAsUnknown(t *testing.T) {
	r := newRunner(t)
	apply(t, r, routes, 0, Done)
	r.Store = &faultyStore{Store: r.Store, loseWrite: true}
	if result := apply(t, r, routesSlow, 1, Unknown); result.Outcome.ExitCode() != 4 || result.EditID == "" {
		t.Errorf("result is %+v, expected exit code 4 and the edit id", result)
	}
}

// Guards against two operators both succeeding in replacing the same version.
func TestRaceOfOperatorsHasOneWinner(t *testing.T) {
	r := newRunner(t)
	apply(t, r, routes, 0, Done)
	const operators = 8
	results := make([]Result, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			results[i] = r.Apply(context.Background(), EditRequest{
				Routes: routesSlow + strings.Repeat("# operator\n", i), Pools: pools, Author: "ada", EditID: NewEditID(), Expect: 1,
			}, "r.ini", "p.ini")
		})
	}
	group.Wait()
	winners := 0
	for _, result := range results {
		switch {
		case result.Outcome == Done:
			winners++
		case result.Outcome != Conflict || result.Other == nil || result.Other.Version != 2 || len(result.Difference) == 0:
			t.Errorf("result of a loser is %+v, expected a conflict with version 2 and the difference", result)
		}
	}
	if current, err := r.FetchCurrent(context.Background()); winners != 1 || err != nil || current.Version != 2 {
		t.Errorf("%d operators won and the store has version %d, %v, expected 1 and version 2", winners, current.Version, err)
	}
}

// Guards against reusing a version number that nodes already have when the store has lost writes.
func TestNewVersionIsAboveTheVersionsOfNodes(t *testing.T) {
	r := newRunner(t)
	node := newFakeNode(t, "n1", 7)
	request := EditRequest{Routes: routes, Pools: pools, Author: "ada", EditID: NewEditID(), Nodes: []string{node.address}}
	if result := r.Apply(context.Background(), request, "r.ini", "p.ini"); result.Outcome != Conflict {
		t.Errorf("apply over version 7 of a node ended as %+v, expected a conflict", result)
	}
	request.Expect = 7
	if result := r.Apply(context.Background(), request, "r.ini", "p.ini"); result.Outcome != Done || result.Version != 8 {
		t.Errorf("apply ended as %+v, expected version 8", result)
	}
}

// Guards against error messages that do not locate the fault: each names file, section, key and what was expected.
// Also guards against writing invalid tables.
func TestFaultsNameFileSectionKeyAndExpectation(t *testing.T) {
	r := newRunner(t)
	result := apply(t, r, "[route dues]\npool = none\ncolour = red\npriority = 9\n", 0, Invalid)
	for _, want := range []string{
		`r.ini: [route dues] pool: "none" is not in the table of pools, expected`,
		`r.ini: [route dues] colour: is not a known key, expected one of host, path`,
		`r.ini: [route dues] priority: is "9", expected a whole number from 0 to 7`,
	} {
		if !strings.Contains(result.Problem, want) {
			t.Errorf("problem is %q, expected it to have %q", result.Problem, want)
		}
	}
	if current, err := r.FetchCurrent(context.Background()); err != nil || current.Version != 0 {
		t.Errorf("store has version %d, %v, expected none", current.Version, err)
	}
}

// Guards against accepting new tables with a line that has no effect, and against rejecting a rollback to a version
// with such a line that was active.
func TestLintAppliesToNewTablesOnly(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"priority = 0", "r.ini: [route dues] priority: is set twice, expected each key once"},
		{"host = shop.example:80", `r.ini: [route dues] host: is "shop.example:80", expected a host without port`},
		{"path = /dues?all", `r.ini: [route dues] path: is "/dues?all", expected a path without query`},
		{"nonsense", "r.ini: cannot be parsed: key-value delimiter not found: nonsense, expected sections with lines of the form KEY = VALUE"},
	} {
		text := strings.Replace(routes, "path = /dues\n", c.line+"\n", 1)
		if got := CheckTables(text, pools, "r.ini", "p.ini"); len(got) != 1 || got[0] != c.want {
			t.Errorf("%q gives %q, expected %q", c.line, got, c.want)
		}
	}
	r := newRunner(t)
	duplicateKey := routes + "priority = 0\n"
	r.Run(context.Background(), NewEdit(EditRequest{Routes: duplicateKey, Pools: pools, Author: "ada", EditID: NewEditID()}))
	apply(t, r, routes, 1, Done)
	if result := r.Rollback(context.Background(), 1, EditRequest{Author: "ada", EditID: NewEditID()}); result.Outcome != Done {
		t.Errorf("rollback ended as %v (%s), expected done", result.Outcome, result.Problem)
	}
}
