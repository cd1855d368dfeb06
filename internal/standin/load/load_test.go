package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	protocol "github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

const testSeed = 11

// startNode serves a backend stand-in directly and adds the outcome header that a node would set. It returns
// the address; wrap, if not nil, replaces the handler.
func startNode(t *testing.T, wrap func(http.Handler) http.Handler) (string, *backend.Server) {
	t.Helper()
	b := backend.New(backend.Options{})
	t.Cleanup(b.Close)
	var handler http.Handler = b
	if wrap != nil {
		handler = wrap(b)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(protocol.HeaderOutcome, OutcomeDone)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), b
}

func runLoad(t *testing.T, targets ...string) Report {
	t.Helper()
	t.Logf("seed %d", testSeed)
	return Run(context.Background(), Options{
		Targets: targets, Count: 50, Duration: time.Minute, Seed: testSeed,
		Specs: []Spec{{Name: "dues", Method: http.MethodPost, Path: "/dues", Rate: 5000, BodyBytes: 100, Timeout: time.Minute}},
	})
}

// Guards against a report that does not match the calls sent, and against refused connections that are
// retried at another target without being counted.
func TestRefusedConnectionIsRetriedAndShown(t *testing.T) {
	address, b := startNode(t, nil)
	closedServer := httptest.NewServer(http.NotFoundHandler())
	refusing := closedServer.Listener.Addr().String()
	closedServer.Close()
	report := runLoad(t, address, refusing)
	if report.Issued != 50 || report.Count(OutcomeDone) != 50 || report.RefusedConnections != 25 {
		t.Errorf("report is %+v, expected 50 calls done and 25 refused connections", report.Routes)
	}
	executions, err := ReadExecutions(context.Background(), []string{address})
	if verdict := Verify(report, executions); err != nil || !verdict.OK() || verdict.Executions != len(b.Executions()) {
		t.Errorf("verdict is %+v, %v, expected no violation", verdict, err)
	}
}

// Guards against a response to another request, or an incomplete response, that counts as done.
func TestCrossedAndCutAnswersAreFound(t *testing.T) {
	crossed, _ := startNode(t, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set(backend.HeaderRequestID, "another")
			next.ServeHTTP(w, r)
		})
	})
	cut, _ := startNode(t, func(http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			fmt.Fprint(w, "short")
		})
	})
	if report := runLoad(t, crossed); report.Count(OutcomeCrossed) != 50 {
		t.Errorf("outcomes are %v, expected 50 crossed", report.Routes[0].Outcomes)
	}
	if report := runLoad(t, cut); report.Count(OutcomeLost) != 50 {
		t.Errorf("outcomes are %v, expected 50 lost", report.Routes[0].Outcomes)
	}
}

// Guards against a comparison that misses one of the three violations that Verdict lists, or that reports a
// repeated execution of a call to an idempotent route.
func TestVerifyFindsBrokenPromises(t *testing.T) {
	report := Report{Calls: []Call{
		{ID: "twice", Outcome: OutcomeDone},
		{ID: "again", Outcome: OutcomeDone, Idempotent: true},
		{ID: "missing", Outcome: OutcomeDone},
		{ID: "false", Outcome: OutcomeNotRun},
		{ID: "true", Outcome: OutcomeNotRun},
		{ID: "open", Outcome: OutcomeUnknown},
	}}
	var executions []backend.Execution
	for _, id := range []string{"twice", "twice", "again", "again", "false", "open", "other"} {
		executions = append(executions, backend.Execution{ID: id})
	}
	got := Verify(report, executions)
	want := Verdict{Calls: 6, Executions: 6, RunTwice: []string{"twice"}, DoneNotExecuted: []string{"missing"}, NotRunExecuted: []string{"false"}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("verdict is %+v, expected %+v", got, want)
	}
}

// Guards against runs that are not reproducible: the same seed must give the same arrivals.
func TestScheduleFollowsTheSeed(t *testing.T) {
	options := Options{Targets: []string{"a", "b"}, Count: 20, Duration: time.Minute, Seed: testSeed, InFlight: 100,
		Specs: []Spec{{Name: "x", Rate: 10}, {Name: "y", Rate: 30}}}
	first, second := newSchedule(options), newSchedule(options)
	for range options.Count {
		if a, b := first.reduce(callDue{}), second.reduce(callDue{}); !reflect.DeepEqual(a, b) || len(a) != 1 {
			t.Fatalf("seed %d gives %+v and %+v", testSeed, a, b)
		}
	}
	if effects := first.reduce(callDue{}); effects != nil {
		t.Errorf("call %+v exceeds the count", effects)
	}
}
