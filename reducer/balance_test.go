package reducer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const testSeed = 7

// testIngress drives the state of a node that forwards calls to four upstreams in its zone.
type testIngress struct {
	t     *testing.T
	state *State
	now   time.Duration
	rand  *rand.Rand
	calls Handle
	wake  time.Duration
}

func newTestIngress(t *testing.T) *testIngress {
	t.Logf("seed %d", testSeed)
	d := &testIngress{t: t, now: time.Hour, rand: rand.New(rand.NewPCG(testSeed, 0))}
	routes := "[route r]\npool = p\nidempotent = yes\npriority = 3\ntimeout = 1s\nretries = 5\n"
	d.state = New(Config{
		Self: "ingress", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
		Tables: testSnapshot(t, routes, "[pool p]\nservice = s\nramp = 0s\n"),
	})
	for i := range 4 {
		m := Member{Node: testNode(i), Zone: "z", Address: fmt.Sprint("127.0.0.1:", i), Incarnation: 1, Sequence: 1, State: MemberAlive}
		m.Upstream = Upstream{Service: "s", Slots: 4, State: UpstreamReady}
		d.reduce(PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}})
	}
	return d
}

func testNode(i int) NodeID { return NodeID(fmt.Sprint("u", i)) }

func (d *testIngress) reduce(input Input) []Effect {
	effects := Reduce(d.state, Event{Now: d.now, Rand: d.rand.Uint64(), Input: input})
	for _, effect := range effects {
		if e, ok := effect.(WakeAt); ok {
			d.wake = e.At
		}
	}
	return effects
}

// sendHeartbeats delivers heartbeats of all upstreams, so that none becomes suspect.
func (d *testIngress) sendHeartbeats() {
	for i := range 4 {
		from := PeerRef{Node: testNode(i), Address: fmt.Sprint("127.0.0.1:", i), Incarnation: 1}
		d.reduce(PeerMessage{From: from, Message: Heartbeat{Reply: true}})
	}
}

// call delivers a call and returns its first attempt, or the reason of its refusal.
func (d *testIngress) call(in CallArrived) (*Forward, Reason) {
	d.sendHeartbeats()
	d.calls++
	in.Call, in.Path = d.calls, "/"
	return firstForward(d.reduce(in))
}

// firstForward returns the first attempt among effects, or the reason of a refusal.
func firstForward(effects []Effect) (*Forward, Reason) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Forward:
			return &e, ReasonNone
		case FailCall:
			return nil, e.Reason
		}
	}
	return nil, ReasonNone
}

// answer ends an attempt as answered, lets the backoff pass and returns the retry, or the reason of a refusal.
func (d *testIngress) answer(f *Forward, done ForwardDone) (*Forward, Reason) {
	done.Call, done.Attempt, done.Result = f.Call, f.Attempt, ForwardAnswered
	if next, reason := firstForward(d.reduce(done)); next != nil || reason != ReasonNone {
		return next, reason
	}
	if done.Outcome == OutcomeDone {
		return nil, ReasonNone
	}
	d.now += initialRetryBackoff << 6
	return firstForward(d.reduce(TimerDue{}))
}

// busyReport returns the load report of an upstream with all slots in use and the given wait at each priority.
func busyReport(wait time.Duration) LoadReport {
	report := LoadReport{ServiceTime: 10 * time.Millisecond, Slots: 4, Running: 4, Queued: 9}
	for p := range report.Waits {
		report.Waits[p] = wait
		report.ShortestServiceTimes[p] = 10 * time.Millisecond
	}
	return report
}

// reportAll sets a current busyReport for every upstream.
func (d *testIngress) reportAll(wait time.Duration) {
	for i := range 4 {
		load := d.state.loadOf(testNode(i))
		load.report, load.reportedAt, load.hasReport, load.sentSinceReport = busyReport(wait), d.now, true, 0
	}
}

// Guards against sending calls to an upstream that fails fast because its queue is short.
func TestFastFailingUpstreamGetsFewCalls(t *testing.T) {
	d := newTestIngress(t)
	const calls = 4000
	toFailing := 0
	for range calls {
		f, _ := d.call(CallArrived{RetriesLeft: -1})
		done := ForwardDone{Outcome: OutcomeDone, Status: 200, Load: busyReport(20 * time.Millisecond)}
		if f.To.Node == testNode(0) {
			toFailing++
			done.Status, done.Load = 500, LoadReport{Slots: 4}
		}
		d.answer(f, done)
		d.now += 5 * time.Millisecond
	}
	// Within 20 s there are ejections of 1, 2, 4, 8 and 16 s: the first after 3 failures, each other after 1.
	if limit := ejectAfterFailures + 5; toFailing > limit {
		t.Errorf("%d of %d calls went to the failing upstream, expected at most %d", toFailing, calls, limit)
	}
}

// Guards against ejecting all upstreams of a pool: at least half of them must stay usable when all fail.
func TestAtMostHalfOfAPoolIsEjected(t *testing.T) {
	d := newTestIngress(t)
	for range 400 {
		f, _ := d.call(CallArrived{RetriesLeft: -1})
		d.answer(f, ForwardDone{Outcome: OutcomeDone, Status: 500})
		if usable := len(d.state.usableUpstreams("s", nil)); usable < 2 {
			t.Fatalf("%d of 4 upstreams are usable, expected at least 2", usable)
		}
	}
}

// Guards against forwarding calls that are certain to be refused, and against refusing all calls early, so that no response
// would bring a fresh load report.
func TestEarlyRefusalSendsOneCallInSixteen(t *testing.T) {
	d := newTestIngress(t)
	const calls = 16000
	sent := 0
	for range calls {
		d.reportAll(2 * time.Second)
		f, reason := d.call(CallArrived{RetriesLeft: -1})
		if f != nil {
			sent++
			d.answer(f, ForwardDone{Outcome: OutcomeNotRun, Reason: ReasonDeadline, Load: busyReport(2 * time.Second)})
		} else if reason != ReasonDeadline {
			t.Fatalf("refused for %v, expected %v", reason, ReasonDeadline)
		}
	}
	// Four standard deviations of a binomial distribution with p = 1/16 are 122.
	if want := calls / earlyRefusalsPerProbe; sent < want-122 || sent > want+122 {
		t.Errorf("%d of %d calls were sent, expected about %d", sent, calls, want)
	}
	d.reportAll(2 * time.Second)
	d.now += earlyReportMaxAge + time.Millisecond
	for range 100 {
		if f, reason := d.call(CallArrived{RetriesLeft: -1}); f == nil {
			t.Fatalf("refused for %v on reports older than %v", reason, earlyReportMaxAge)
		}
	}
}

// Guards against retries that add load to an overloaded pool: a call refused because of its deadline is retried at most
// once, and only at an upstream that can finish it in time.
func TestOverloadRefusalIsRetriedOnlyWhereItFits(t *testing.T) {
	refused := ForwardDone{Outcome: OutcomeNotRun, Reason: ReasonDeadline, Load: busyReport(2 * time.Second)}
	d := newTestIngress(t)
	f, _ := d.call(CallArrived{RetriesLeft: -1})
	d.reportAll(2 * time.Second)
	if next, _ := d.answer(f, refused); next != nil {
		t.Errorf("retried at %s, whose load report shows too long a wait", next.To.Node)
	}
	d = newTestIngress(t)
	f, _ = d.call(CallArrived{RetriesLeft: -1})
	d.reportAll(2 * time.Second)
	free := testNode(3)
	if f.To.Node == free {
		free = testNode(2)
	}
	d.state.loadOf(free).report = busyReport(0)
	next, _ := d.answer(f, refused)
	if next == nil || next.To.Node != free {
		t.Fatalf("retried as %v, expected at %s", next, free)
	}
	if again, _ := d.answer(next, refused); again != nil {
		t.Errorf("call was retried at %s after a second overload refusal", again.To.Node)
	}
}

// Guards against retries that multiply in a tree of calls: retries of nested calls are deducted from those of the outer
// call, and a nested call that carries no retries left is not retried.
func TestNestedCallsShareTheRetriesOfTheOuterCall(t *testing.T) {
	d := newTestIngress(t)
	failed := ForwardDone{Outcome: OutcomeUnknown, Reason: ReasonBackendFailed}
	f, _ := d.call(CallArrived{Depth: 1, RetriesLeft: -1})
	if next, _ := d.answer(f, failed); next != nil {
		t.Error("a nested call without retries left was retried")
	}
	outer := CallID{Origin: "other", Incarnation: 1, Seq: 1}
	d.reduce(BackendRegistered{Service: "t", Address: "127.0.0.1:1", Slots: 1})
	d.state.target.byID[outer] = &targetCall{id: outer, limits: CallLimits{Depth: 1, RetriesLeft: 2}}
	retries := 0
	for range 3 {
		f, _ := d.call(CallArrived{Depth: 1, RetriesLeft: 2, Parent: outer})
		for f != nil {
			if f, _ = d.answer(f, failed); f != nil {
				retries++
			}
		}
	}
	if used := d.state.target.byID[outer].retriesUsed; retries != 2 || used != 2 {
		t.Errorf("nested calls made %d retries and %d were charged, expected the 2 that the outer call had left", retries, used)
	}
	f, _ = d.call(CallArrived{RetriesLeft: 2})
	if next, _ := d.answer(f, ForwardDone{Outcome: OutcomeUnknown, Reason: ReasonBackendFailed, RetriesUsed: 2}); next != nil {
		t.Error("a call was retried after its nested calls had used all retries")
	}
}

// Guards against retries beyond the retry budget of the node when all attempts fail.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	d := newTestIngress(t)
	const calls = 2000
	retries := 0
	for range calls {
		f, _ := d.call(CallArrived{RetriesLeft: -1})
		for f != nil {
			if f, _ = d.answer(f, ForwardDone{Outcome: OutcomeUnknown, Reason: ReasonBackendFailed}); f != nil {
				retries++
			}
		}
	}
	if limit := calls*d.state.cfg.RetryRatio*retryRatioFraction + d.state.retryCapacity(); float64(retries) > limit {
		t.Errorf("%d retries of %d calls, expected at most %v", retries, calls, limit)
	}
}

// Guards against a missing slow start: in the first tenth of the ramp a new upstream is sampled less than a fifth as often
// as the others.
func TestNewUpstreamIsSampledLessOften(t *testing.T) {
	d := newTestIngress(t)
	d.state.usableUpstreams("s", nil)
	d.now += time.Minute
	d.reduce(TimerDue{})
	members := d.state.usableUpstreams("s", nil)
	d.state.loadOf(testNode(2)).servingSince = d.now
	counts := map[NodeID]int{}
	for range 10000 {
		counts[members[d.state.sampleUpstream(members, 10*time.Second)].Node]++
	}
	if newer, other := counts[testNode(2)], counts[testNode(1)]; 5*newer > other {
		t.Errorf("a new upstream was sampled %d times, an old one %d times", newer, other)
	}
}

// Guards against lists that are allocated for each call: at 100,000 calls per second in the fleet their garbage collection
// delays calls.
func TestUpstreamChoiceDoesNotAllocate(t *testing.T) {
	d := newTestIngress(t)
	call := &ingressCall{route: tables.Route{Name: "r", Pool: "p", Priority: 3}, key: "k", deadline: d.now + time.Second}
	for name, choose := range map[string]func(){
		"upstream":      func() { d.state.chooseUpstream(call) },
		"early refusal": func() { d.state.shouldRefuseEarly(call) },
		"owner of key":  func() { d.state.keyHolders(call, "s", d.state.keyRanking("s", "r", "k")) },
	} {
		d.state.now = d.now + 2*tables.MaxKeyRetention // so long after the start that the key cannot have had another owner
		choose()
		if allocs := testing.AllocsPerRun(100, choose); allocs != 0 {
			t.Errorf("%s: %v allocations per choice", name, allocs)
		}
	}
}

// Guards against a stale index of serving upstreams when a backend server changes to another service.
func TestUpstreamOfAnotherServiceIsNotChosen(t *testing.T) {
	d := newTestIngress(t)
	d.call(CallArrived{RetriesLeft: -1})
	m := d.state.members.table[testNode(0)]
	m.Upstream.Service, m.Sequence = "t", 2
	d.reduce(PeerMessage{From: m.Ref(), Message: MemberUpdate{Members: []Member{m}}})
	for range 100 {
		if f, _ := d.call(CallArrived{RetriesLeft: -1}); f.To.Node == m.Node {
			t.Fatalf("a call was sent to %s", m.Node)
		}
	}
}
