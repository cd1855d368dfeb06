package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// runScript runs a datadriven script and passes each command's arguments by name; several values of one are joined with
// spaces.
func runScript(t *testing.T, path string, run func(command string, args map[string]string) string) {
	t.Helper()
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		args := map[string]string{}
		for _, arg := range d.CmdArgs {
			args[arg.Key] = strings.Join(arg.Vals, " ")
		}
		return run(d.Cmd, args)
	})
}

// testTarget sends inputs to the state of a node that is the target of forwarded calls.
type testTarget struct {
	t     *testing.T
	state *State
	now   time.Duration
	names map[Handle]string // names of calls in scripts
	calls map[string]Handle // calls by name
	wake  time.Duration     // time of the last WakeAt effect
}

// testSnapshot returns version 1 of tables with the given content, which must be valid.
func testSnapshot(t testing.TB, routes, pools string) *tables.Snapshot {
	t.Helper()
	document := tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
	snapshot, err := tables.Check(document)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// newTestTarget returns a target whose pool, limits and slots are set by the arguments of a command.
func newTestTarget(t *testing.T, args map[string]string) *testTarget {
	pools := "[pool p]\nservice = s\n"
	for _, key := range []string{"ramp", "queue_limit", "min_share.0", "min_share.2", "min_share.7"} {
		if value := args[key]; value != "" {
			pools += key + " = " + value + "\n"
		}
	}
	d := &testTarget{t: t, names: map[Handle]string{}, calls: map[string]Handle{}}
	limits := DefaultLimits()
	if records := parseInt(args["records"]); records > 0 {
		limits.MaxRecords = records
	}
	d.state = New(Config{
		Self: "target", Zone: "z", Incarnation: 1, Limits: limits, Tables: testSnapshot(t, "[route r]\npool = p\n", pools),
	})
	d.reduce(testRegistration(args))
	return d
}

func testRegistration(args map[string]string) BackendRegistered {
	return BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: parseInt(args["slots"])}
}

// parseInt returns the integer at the start of a text, or 0.
func parseInt(text string) int {
	value := 0
	fmt.Sscan(text, &value)
	return value
}

func parseMillis(text string) time.Duration { return time.Duration(parseInt(text)) * time.Millisecond }

// reduce applies an input and returns the effects on calls, one per line.
func (d *testTarget) reduce(input Input) string {
	out := ""
	for _, effect := range Reduce(d.state, Event{Now: d.now, Rand: 1, Input: input}) {
		switch e := effect.(type) {
		case StartBackendRequest:
			out += fmt.Sprintf("start %s\n", d.names[e.Call])
		case AnswerForward:
			out += fmt.Sprintf("answer %s %v %v\n", d.names[e.Call], e.Outcome, e.Reason)
		case AnswerSettle:
			out += fmt.Sprintf("settled %s %v %v\n", d.names[e.Exchange], e.Outcome, e.Reason)
		case AbortBackendRequest:
			out += fmt.Sprintf("abort %s\n", d.names[e.Call])
		case WakeAt:
			d.wake = e.At
		}
	}
	return out
}

func (d *testTarget) id(name string) CallID {
	return CallID{Origin: "o", Incarnation: 1, Seq: uint64(d.calls[name])}
}

// attemptOf returns the attempt given in the arguments, or 1.
func attemptOf(args map[string]string) int { return max(parseInt(args["attempt"]), 1) }

// forward forwards a call under a name. The argument "copy" names another call whose call ID is used.
func (d *testTarget) forward(name string, args map[string]string) string {
	handle := Handle(len(d.names) + 1)
	d.names[handle], d.calls[name] = name, handle
	route, id := args["route"], d.id(name)
	if route == "" {
		route = "r"
	}
	if original := args["copy"]; original != "" {
		id = d.id(original)
	}
	return d.reduce(ForwardArrived{
		Call: handle, ID: id, Attempt: attemptOf(args), Route: route, Pool: "p", Priority: parseInt(args["priority"]), Idempotent: args["once"] == "",
		TimeLeft: parseMillis(args["left"]), TargetIncarnation: Incarnation(1 + parseInt(args["later"])), Key: args["key"],
	})
}

func (d *testTarget) runCommand(command string, args map[string]string) string {
	switch command {
	case "forward":
		return d.forward(args["call"], args)
	case "flood":
		out := ""
		for i := range parseInt(args["count"]) {
			out += d.forward(fmt.Sprint(args["call"], i), args)
		}
		return out
	case "done":
		return d.reduce(BackendRequestDone{Call: d.calls[args["call"]], Result: BackendAnswered, Status: 200, Elapsed: parseMillis(args["took"])})
	case "settle":
		return d.reduce(SettleArrived{
			Exchange: d.calls[args["call"]], ID: d.id(args["call"]), Attempt: attemptOf(args), Route: "r", Key: args["key"],
			TakeKey: args["take"] != "", TargetIncarnation: Incarnation(1 + parseInt(args["later"])),
		})
	case "drain":
		registration := testRegistration(args)
		registration.Draining = true
		return d.reduce(registration)
	case "leave":
		return d.reduce(ShutdownRequested{})
	case "member":
		return d.reduce(PeerMessage{From: PeerRef{Node: "peer"}, Message: MemberUpdate{Members: []Member{{
			Node: NodeID(args["node"]), Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive,
			Upstream: Upstream{Service: "s", Slots: 1, State: UpstreamReady},
		}}}})
	case "cancel":
		return d.reduce(CancelArrived{ID: d.id(args["call"])})
	case "after":
		return d.advance(parseMillis(args["ms"]))
	case "wait":
		return fmt.Sprintf("%v\n", d.state.estimateLocalWait(parseInt(args["priority"])).Round(time.Millisecond))
	case "shares":
		return d.shares(args)
	default:
		d.t.Fatalf("unknown command %q", command)
		return ""
	}
}

// advance lets time pass and fires the timers that come due.
func (d *testTarget) advance(pass time.Duration) string {
	out, until := "", d.now+pass
	for d.wake > d.now && d.wake <= until {
		d.now = d.wake
		out += d.reduce(TimerDue{})
	}
	d.now = until
	return out + d.reduce(TimerDue{})
}

// shares forwards a call of each given priority in every step of 10 ms, which is also the time of one execution, and
// returns the percentage of executions that each priority gets. With the argument "most" it only reports whether
// priority 7 gets more than that percentage.
func (d *testTarget) shares(args map[string]string) string {
	started := [tables.Priorities]int{}
	var running []Handle
	for range parseInt(args["steps"]) {
		d.reduce(testRegistration(args))
		for _, p := range strings.Split(args["arrivals"], ",") {
			handle := Handle(len(d.names) + 1)
			d.names[handle] = p
			running = d.trackStarts(ForwardArrived{
				Call: handle, ID: CallID{Origin: "f", Seq: uint64(handle)}, Route: "r", Pool: "p", Priority: parseInt(p),
				Idempotent: true, TimeLeft: time.Minute, TargetIncarnation: 1,
			}, running, &started)
		}
		d.now += 10 * time.Millisecond
		ended := running
		running = nil
		for _, handle := range ended {
			done := BackendRequestDone{Call: handle, Result: BackendAnswered, Status: 200, Elapsed: 10 * time.Millisecond}
			running = d.trackStarts(done, running, &started)
		}
	}
	total := 0
	for _, count := range started {
		total += count
	}
	if most := parseInt(args["most"]); most > 0 {
		return fmt.Sprintf("p7 gets more than %d in 100: %v\n", most, started[7]*100 > most*total)
	}
	out := ""
	for p, count := range started {
		if count > 0 {
			out += fmt.Sprintf("p%d: %.0f\n", p, float64(100*count)/float64(total))
		}
	}
	return out
}

// trackStarts applies an input, counts the calls that it starts by priority, and adds them to running.
func (d *testTarget) trackStarts(input Input, running []Handle, started *[tables.Priorities]int) []Handle {
	for _, effect := range Reduce(d.state, Event{Now: d.now, Input: input}) {
		if e, ok := effect.(StartBackendRequest); ok {
			started[parseInt(d.names[e.Call])]++
			running = append(running, e.Call)
		}
	}
	return running
}

// TestQueueScript guards against a wrong order of queued calls: urgent calls behind less urgent ones, a priority that
// gets less or more than its minimum share, and calls of one priority that overtake each other.
func TestQueueScript(t *testing.T) { runTargetScript(t, "testdata/queue") }

// TestAdmissionScript guards against calls that are queued although they cannot finish in time, that occupy a slot after
// their end, or that are refused although they could finish in time.
func TestAdmissionScript(t *testing.T) { runTargetScript(t, "testdata/admission") }

// TestRefusalScript guards against a target that accepts a call that it must refuse: a call for another incarnation, a
// call that was fenced before, any call while the backend server drains or the node leaves, and a call with a key that
// another node owns.
func TestRefusalScript(t *testing.T) { runTargetScript(t, "testdata/refusals") }

// runTargetScript runs a script whose command "node" creates a new target for the commands after it.
func runTargetScript(t *testing.T, path string) {
	var d *testTarget
	runScript(t, path, func(command string, args map[string]string) string {
		if command == "node" {
			d = newTestTarget(t, args)
			return ""
		}
		return d.runCommand(command, args)
	})
}
