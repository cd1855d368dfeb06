package main

import (
	"math"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Guards against a flood whose total load differs from the requested one, and against a wrong priority that floods.
func TestOfferedLoadAddsUpAndOnlyOnePriorityFloods(t *testing.T) {
	routes := []tables.Route{{Priority: 2}, {Priority: 0}, {Priority: 5}}
	shares := [tables.Priorities]int{0: 20, 2: 15, 5: 10}
	for _, total := range []float64{0.5, 1, 2, 4} {
		for _, floodMostUrgent := range []bool{false, true} {
			flood := 2
			if floodMostUrgent {
				flood = 1
			}
			sum := 0.0
			for i, l := range splitLoad(routes, shares, total, floodMostUrgent, 0.4) {
				sum += l
				if own := []float64{0.2, 0.4, 0.15}[i] * min(total, 1); i != flood && math.Abs(l-own) > 1e-9 {
					t.Errorf("priority %d offers %v at %v, expected %v", routes[i].Priority, l, total, own)
				}
			}
			if math.Abs(sum-total) > 1e-9 {
				t.Errorf("total load is %v, expected %v", sum, total)
			}
		}
	}
}

// Guards against slot time counted outside the measured part of a run.
func TestOverlapCountsTheMeasuredPartOnly(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	done := func(s int) *time.Time { end := at(s); return &end }
	for _, c := range []struct {
		execution backend.Execution
		want      time.Duration
	}{
		{backend.Execution{Started: at(1), Finished: done(4)}, 2 * time.Second},
		{backend.Execution{Started: at(3), Finished: done(9)}, 2 * time.Second},
		{backend.Execution{Started: at(3)}, 2 * time.Second},
		{backend.Execution{Started: at(0), Finished: done(1)}, 0},
		{backend.Execution{Started: at(6), Finished: done(7)}, 0},
	} {
		if got := overlap(c.execution, at(2), at(5)); got != c.want {
			t.Errorf("overlap of %+v is %v, expected %v", c.execution, got, c.want)
		}
	}
}

// Guards against late answers and refusals that count as calls in time, and against a recovery time that ends
// before the last bad window.
func TestOnlyAnswersInTimeCount(t *testing.T) {
	for _, c := range []struct {
		call load.Call
		want bool
	}{
		{load.Call{Outcome: load.OutcomeDone, Status: 200, Took: time.Second}, true},
		{load.Call{Outcome: load.OutcomeDone, Status: 200, Took: time.Second + 1}, false},
		{load.Call{Outcome: load.OutcomeDone, Status: 504, Took: time.Millisecond}, false},
		{load.Call{Outcome: load.OutcomeNotRun, Status: 503, Took: time.Millisecond}, false},
	} {
		if got := isInTime(c.call, time.Second); got != c.want {
			t.Errorf("%+v is in time: %v, expected %v", c.call, got, c.want)
		}
	}
	if got := computeRecovery([]window{{100, 98}, {100, 100}, {100, 98}, {100, 99}}); got != 3*recoveryStep {
		t.Errorf("recovery took %v, expected %v", got, 3*recoveryStep)
	}
}
