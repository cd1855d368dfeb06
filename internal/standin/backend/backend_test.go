package backend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	protocol "github.com/rosemaryhatch/rosemaryhatch/runner/frontend"
)

// Guards against requests that exceed the slots without being counted as overruns, shed requests that are
// logged as executions, and executions after Drain that are not counted.
func TestStateRecordsOverrunsShedAndLateRequests(t *testing.T) {
	s := newState(Options{Slots: 1, ShedAbove: 2, ServiceTime: time.Second, ColdFor: 10 * time.Second, ColdFactor: 3})
	start := time.Unix(0, 0)
	first := s.reduce(start, arrived{id: "a"}).(accepted)
	if first.serviceTime != 3*time.Second {
		t.Errorf("cold service time is %v, expected 3s", first.serviceTime)
	}
	s.reduce(start, drain{})
	warm := s.reduce(start.Add(10*time.Second), arrived{id: "b"}).(accepted)
	if warm.serviceTime != time.Second {
		t.Errorf("warm service time is %v, expected 1s", warm.serviceTime)
	}
	if _, ok := s.reduce(start, arrived{id: "c"}).(shed); !ok {
		t.Error("third request was not shed")
	}
	want := Counts{Executions: 2, Overruns: 1, Shed: 1, AfterDrain: 1, MostAtOnce: 2}
	if s.counts != want || len(s.log) != 2 || !s.log[1].Overrun {
		t.Errorf("counts are %+v, expected %+v", s.counts, want)
	}
}

// Guards against a slowdown that has no effect, and against one that cannot be reset.
func TestSlowdownMultipliesServiceTimes(t *testing.T) {
	s := newState(Options{ServiceTime: time.Second})
	for i, factor := range []float64{10, 1} {
		s.reduce(time.Unix(0, 0), setSlowdown{factor})
		if got := s.reduce(time.Unix(0, 0), arrived{id: fmt.Sprint(i)}).(accepted).serviceTime; got != time.Duration(factor*float64(time.Second)) {
			t.Errorf("service time is %v at factor %v", got, factor)
		}
	}
}

// Guards against a defect that shows before its time, on other routes or at a lower load, so that a test of bad versions
// would test something else.
func TestDefectShowsOnlyUnderItsConditions(t *testing.T) {
	s := newState(Options{ServiceTime: time.Second, Defect: Defect{Share: 1, Slowdown: 4, After: 3 * time.Second, Above: 1, Path: "/book"}})
	start := time.Unix(0, 0)
	for _, request := range []struct {
		after time.Duration
		path  string
		want  time.Duration
	}{
		{0, "/book", time.Second},                    // the only request
		{2 * time.Second, "/book", time.Second},      // too early
		{3 * time.Second, "/look", time.Second},      // on another route
		{3 * time.Second, "/book", 4 * time.Second},  // bad
		{30 * time.Second, "/book", 4 * time.Second}, // still bad
	} {
		if got := s.reduce(start.Add(request.after), arrived{path: request.path}).(accepted); got.serviceTime != request.want || got.fails {
			t.Errorf("%s after %v takes %v (fails: %v), expected %v", request.path, request.after, got.serviceTime, got.fails, request.want)
		}
	}
	s.options.Defect = Defect{Share: 1}
	if got := s.reduce(start, arrived{}).(accepted); !got.fails || !s.log[len(s.log)-1].Bad {
		t.Errorf("response without slowdown is %+v, log entry %+v, expected a failure", got, s.log[len(s.log)-1])
	}
}

// Guards against a load endpoint that reports the current state although a lag is configured.
func TestLoadEndpointLags(t *testing.T) {
	s := newState(Options{Slots: 4, Lag: time.Second})
	start := time.Unix(0, 0)
	s.reduce(start, arrived{id: "a"})
	if got := s.reduce(start.Add(time.Second/2), readLoad{}).(Load); got.Running != 0 {
		t.Errorf("load is %+v before the lag is over, expected none running", got)
	}
	if got := s.reduce(start.Add(time.Second), readLoad{}).(Load); got.Running != 1 {
		t.Errorf("load is %+v after the lag, expected one running", got)
	}
}

// Guards against a request that keeps running after its deadline, and against a nested call that lacks the
// propagated headers.
func TestNestedCallCarriesHeadersAndDeadline(t *testing.T) {
	headers := make(chan http.Header, 1)
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header.Clone()
	}))
	defer other.Close()
	b := New(Options{NestedCallURL: other.URL + "/claims"})
	defer b.Close()
	server := httptest.NewServer(b)
	defer server.Close()
	send := func(timeout string) int {
		request, _ := http.NewRequest(http.MethodPost, server.URL+"/dues", strings.NewReader("x"))
		request.Header.Set(protocol.HeaderTimeout, timeout)
		request.Header.Set(protocol.HeaderDepth, "3")
		request.Header.Set("Traceparent", "t")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		_, _ = io.Copy(io.Discard, response.Body)
		return response.StatusCode
	}
	if status := send("60S"); status != http.StatusOK {
		t.Fatalf("status is %d, expected 200", status)
	}
	got := <-headers
	if got.Get(protocol.HeaderDepth) != "3" || got.Get("Traceparent") != "t" || !strings.HasSuffix(got.Get(protocol.HeaderTimeout), "m") {
		t.Errorf("nested call has headers %v, expected depth, traceparent and the time left", got)
	}
	if status := send("1n"); status != http.StatusGatewayTimeout || b.Counts().Cancelled != 1 {
		t.Errorf("status is %d with counts %+v after the deadline, expected 504 and one cancelled", status, b.Counts())
	}
}
