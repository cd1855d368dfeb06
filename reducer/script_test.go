package reducer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// runScript runs a datadriven script, whose commands have arguments of one value each.
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

// testTarget drives the state of one node as the target of forwarded calls.
type testTarget struct {
	t     *testing.T
	state *State
	now   time.Duration
	names map[Handle]string
	calls map[string]Handle
	wake  time.Duration
}

func testSnapshot(t testing.TB, routes, pools string) *tables.Snapshot {
	t.Helper()
	document := tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
	snapshot, err := tables.Check(document)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func newTestTarget(t *testing.T, args map[string]string) *testTarget {
	pools := "[pool p]\nservice = s\n"
	for _, key := range []string{"ramp", "queue_limit", "min_share.0", "min_share.2", "min_share.7"} {
		if value := args[key]; value != "" {
			pools += key + " = " + value + "\n"
		}
	}
	d := &testTarget{t: t, names: map[Handle]string{}, calls: map[string]Handle{}}
	limits := DefaultLimits()
	if records := number(args["records"]); records > 0 {
		limits.MaxRecords = records
	}
	d.state = New(Config{
		Self: "target", Zone: "z", Incarnation: 1, Limits: limits, Tables: testSnapshot(t, "[route r]\npool = p\n", pools),
	})
	d.reduce(testRegistration(args))
	return d
}

func testRegistration(args map[string]string) BackendRegistered {
	return BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: number(args["slots"])}
}

func number(text string) int {
	value := 0
	fmt.Sscan(text, &value)
	return value
}

func milliseconds(text string) time.Duration { return time.Duration(number(text)) * time.Millisecond }

// reduce applies an input and returns the effects on calls as text.
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

// attemptOf returns the attempt that a command names, the first one when it names none.
func attemptOf(args map[string]string) int { return max(number(args["attempt"]), 1) }

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
		Call: handle, ID: id, Attempt: attemptOf(args), Route: route, Pool: "p", Priority: number(args["priority"]), Idempotent: args["once"] == "",
		TimeLeft: milliseconds(args["left"]), TargetIncarnation: Incarnation(1 + number(args["later"])), Key: args["key"],
	})
}

func (d *testTarget) run(command string, args map[string]string) string {
	switch command {
	case "forward":
		return d.forward(args["call"], args)
	case "flood":
		out := ""
		for i := range number(args["count"]) {
			out += d.forward(fmt.Sprint(args["call"], i), args)
		}
		return out
	case "done":
		return d.reduce(BackendRequestDone{Call: d.calls[args["call"]], Result: BackendAnswered, Status: 200, Elapsed: milliseconds(args["took"])})
	case "settle":
		return d.reduce(SettleArrived{
			Exchange: d.calls[args["call"]], ID: d.id(args["call"]), Attempt: attemptOf(args), Route: "r", Key: args["key"],
			TakeKey: args["take"] != "", TargetIncarnation: Incarnation(1 + number(args["later"])),
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
		return d.after(milliseconds(args["ms"]))
	case "wait":
		return fmt.Sprintf("%v\n", d.state.localWait(number(args["priority"])).Round(time.Millisecond))
	case "shares":
		return d.shares(args)
	default:
		d.t.Fatalf("command %q is not known", command)
		return ""
	}
}

// after lets time pass and delivers the timers that come due.
func (d *testTarget) after(pass time.Duration) string {
	out, until := "", d.now+pass
	for d.wake > d.now && d.wake <= until {
		d.now = d.wake
		out += d.reduce(TimerDue{})
	}
	d.now = until
	return out + d.reduce(TimerDue{})
}

// shares keeps the given priorities arriving and returns the part in 100 of the executions, of 10 ms each,
// that every one gets. With "most" it only checks that the last one gets no more than that.
func (d *testTarget) shares(args map[string]string) string {
	started := [tables.Priorities]int{}
	var running []Handle
	for range number(args["steps"]) {
		d.reduce(testRegistration(args))
		for _, p := range strings.Split(args["arrivals"], ",") {
			handle := Handle(len(d.names) + 1)
			d.names[handle] = p
			running = d.follow(ForwardArrived{
				Call: handle, ID: CallID{Origin: "f", Seq: uint64(handle)}, Route: "r", Pool: "p", Priority: number(p),
				Idempotent: true, TimeLeft: time.Minute, TargetIncarnation: 1,
			}, running, &started)
		}
		d.now += 10 * time.Millisecond
		ended := running
		running = nil
		for _, handle := range ended {
			done := BackendRequestDone{Call: handle, Result: BackendAnswered, Status: 200, Elapsed: 10 * time.Millisecond}
			running = d.follow(done, running, &started)
		}
	}
	total := 0
	for _, count := range started {
		total += count
	}
	if most := number(args["most"]); most > 0 {
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

// follow applies an input and adds the calls that it starts to the running ones.
func (d *testTarget) follow(input Input, running []Handle, started *[tables.Priorities]int) []Handle {
	for _, effect := range Reduce(d.state, Event{Now: d.now, Input: input}) {
		if e, ok := effect.(StartBackendRequest); ok {
			started[number(d.names[e.Call])]++
			running = append(running, e.Call)
		}
	}
	return running
}

// Guards against a wrong order of queued calls: urgent calls behind less urgent ones, a priority without
// its minimum share or with more than it, and calls of one priority that overtake each other.
func TestQueueScript(t *testing.T) { runTargetScript(t, "testdata/queue") }

// Guards against calls that are queued although they cannot finish, that take a slot after their end, and
// that are refused although they could finish.
func TestAdmissionScript(t *testing.T) { runTargetScript(t, "testdata/admission") }

// Guards against a target that takes a call that it has to refuse: for another incarnation, after a fence,
// while its backend server drains or the node leaves, or with a key that another node owns.
func TestRefusalScript(t *testing.T) { runTargetScript(t, "testdata/refusals") }

func runTargetScript(t *testing.T, path string) {
	var d *testTarget
	runScript(t, path, func(command string, args map[string]string) string {
		if command == "node" {
			d = newTestTarget(t, args)
			return ""
		}
		return d.run(command, args)
	})
}
