package reducer_test

import (
	"fmt"
	"log"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

func exampleTables() *tables.Snapshot {
	routes := "[route orders]\npath = /orders\nmethods = POST\npool = shop\npriority = 1\ntimeout = 2s\n"
	pools := "[pool shop]\nservice = shop\nramp = 0s\n"
	document := tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
	snapshot, err := tables.Check(document)
	if err != nil {
		log.Fatal(err)
	}
	return snapshot
}

// A program that embeds the state passes events to Reduce and carries out the effects that it returns. This
// one supplies the tables itself and simulates the backend server.
func Example() {
	state := reducer.New(reducer.Config{
		Self: "node-1", Zone: "Larvik", Incarnation: 1, Limits: reducer.DefaultLimits(), Tables: exampleTables(),
	})
	now := time.Duration(0)
	pending := []reducer.Input{
		reducer.BackendRegistered{Service: "shop", Address: "127.0.0.1:8080", Slots: 1},
		reducer.CallArrived{Call: 1, Method: "POST", Path: "/orders/7", RetriesLeft: -1},
		reducer.CallArrived{Call: 2, Method: "GET", Path: "/orders/7", RetriesLeft: -1},
	}
	for len(pending) > 0 {
		input := pending[0]
		pending = pending[1:]
		for _, effect := range reducer.Reduce(state, reducer.Event{Now: now, Rand: 1, Input: input}) {
			switch e := effect.(type) {
			case reducer.StartBackendRequest:
				fmt.Printf("call %d starts at %s, %v left\n", e.Call, e.Address, e.TimeLeft)
				now += 5 * time.Millisecond // the execution time at the backend server
				pending = append(pending, reducer.BackendRequestDone{
					Call: e.Call, Result: reducer.BackendAnswered, Status: 200, Elapsed: 5 * time.Millisecond,
				})
			case reducer.Deliver:
				fmt.Printf("call %d gets the response of call %d\n", e.Call, e.ResponseOf)
			case reducer.FailCall:
				fmt.Printf("call %d is refused: %v, %v\n", e.Call, e.Outcome, e.Reason)
			case reducer.CallFinished:
				fmt.Printf("call %d finished: route %q, %v, %d attempts\n", e.Call, e.Route, e.Outcome, e.Attempts)
			}
		}
	}
	// Output:
	// call 1 starts at 127.0.0.1:8080, 2s left
	// call 2 is refused: not_run, no_route
	// call 2 finished: route "", not_run, 0 attempts
	// call 1 gets the response of call 1
	// call 1 finished: route "orders", done, 1 attempts
}

// With a WakeAt effect the state requests a TimerDue input for its next timer. Here the deadline of a queued
// call passes: the call is refused with the outcome not_run, and it never runs.
func ExampleReduce_timers() {
	state := reducer.New(reducer.Config{
		Self: "node-1", Zone: "Larvik", Incarnation: 1, Limits: reducer.DefaultLimits(), Tables: exampleTables(),
	})
	reduce := func(now time.Duration, input reducer.Input) {
		for _, effect := range reducer.Reduce(state, reducer.Event{Now: now, Rand: 1, Input: input}) {
			switch e := effect.(type) {
			case reducer.StartBackendRequest:
				fmt.Printf("%v: call %d starts\n", now, e.Call)
			case reducer.FailCall:
				fmt.Printf("%v: call %d is refused: %v, %v\n", now, e.Call, e.Outcome, e.Reason)
			}
		}
	}
	reduce(0, reducer.BackendRegistered{Service: "shop", Address: "127.0.0.1:8080", Slots: 1})
	reduce(0, reducer.CallArrived{Call: 1, Method: "POST", Path: "/orders", RetriesLeft: -1})
	reduce(0, reducer.CallArrived{Call: 2, Method: "POST", Path: "/orders", Timeout: 500 * time.Millisecond, RetriesLeft: -1})
	reduce(500*time.Millisecond, reducer.TimerDue{})
	// Output:
	// 0s: call 1 starts
	// 500ms: call 2 is refused: not_run, deadline
}
