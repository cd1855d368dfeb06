package reducer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const testSeed = 7

// testIngress drives the state of a node that forwards calls to four upstreams.
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

// keepAlive sends the heartbeats of the upstreams, so that none counts as silent.
func (d *testIngress) keepAlive() {
	for i := range 4 {
		from := PeerRef{Node: testNode(i), Address: fmt.Sprint("127.0.0.1:", i), Incarnation: 1}
		d.reduce(PeerMessage{From: from, Message: Heartbeat{Reply: true}})
	}
}

// call sends a call and returns where it was forwarded to, or why it was refused.
func (d *testIngress) call(in CallArrived) (*Forward, Reason) {
	d.keepAlive()
	d.calls++
	in.Call, in.Path = d.calls, "/"
	return firstForward(d.reduce(in))
}

func firstForward(effects []Effect) (*Forward, Reason) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Forward:
			return &e, ReasonNone
		case Refuse:
			return nil, e.Reason
		}
	}
	return nil, ReasonNone
}

// answer ends an attempt, waits for a retry and returns it.
func (d *testIngress) answer(f *Forward, done ForwardDone) (*Forward, Reason) {
	done.Call, done.Attempt, done.Result = f.Call, f.Attempt, ForwardAnswered
	if next, reason := firstForward(d.reduce(done)); next != nil || reason != ReasonNone {
		return next, reason
	}
	if done.Outcome == OutcomeDone {
		return nil, ReasonNone
	}
	d.now += retryBackoff << 6
	return firstForward(d.reduce(TimerDue{}))
}

func busyReport(wait time.Duration) LoadReport {
	report := LoadReport{ServiceTime: 10 * time.Millisecond, Slots: 4, Running: 4, Queued: 9}
	for p := range report.Waits {
		report.Waits[p] = wait
		report.LeastServiceTimes[p] = 10 * time.Millisecond
	}
	return report
}

func (d *testIngress) reportAll(wait time.Duration) {
	for i := range 4 {
		load := d.state.loadOf(testNode(i))
		load.report, load.reportedAt, load.reported, load.sent = busyReport(wait), d.now, true, 0
	}
}

// Guards against an upstream that answers fast and wrong and attracts calls by its short queue.
func TestFastFailingUpstreamGetsFewCalls(t *testing.T) {
	d := newTestIngress(t)
	const calls = 4000
	bad := 0
	for range calls {
		f, _ := d.call(CallArrived{RetriesLeft: -1})
		done := ForwardDone{Outcome: OutcomeDone, Status: 200, Load: busyReport(20 * time.Millisecond)}
		if f.To.Node == testNode(0) {
			bad++
			done.Status, done.Load = 500, LoadReport{Slots: 4}
		}
		d.answer(f, done)
		d.now += 5 * time.Millisecond
	}
	// Ejections of 1, 2, 4, 8, 16 s after 3 failures and then 1 each, within 20 s.
	if most := ejectAfter + 5; bad > most {
		t.Errorf("%d of %d calls went to the failing upstream, expected at most %d", bad, calls, most)
	}
}

// Guards against a pool that ejects itself: with all upstreams failing at least half must stay in use.
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

// Guards against calls that cross the network only to be refused, and against a stop of all calls that
// would leave the reports to grow old.
func TestEarlyRefusalLetsOneInSixteenGo(t *testing.T) {
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
	if want := calls / earlyProbe; sent < want-122 || sent > want+122 {
		t.Errorf("%d of %d calls were sent, expected about %d", sent, calls, want)
	}
	d.reportAll(2 * time.Second)
	d.now += earlyReportFresh + time.Millisecond
	for range 100 {
		if f, reason := d.call(CallArrived{RetriesLeft: -1}); f == nil {
			t.Fatalf("refused for %v on reports older than %v", reason, earlyReportFresh)
		}
	}
}

// Guards against retries that add load to an overloaded pool: a refusal for the deadline is retried once at
// most, and only where the wait fits.
func TestOverloadRefusalIsRetriedOnlyWhereItFits(t *testing.T) {
	refused := ForwardDone{Outcome: OutcomeNotRun, Reason: ReasonDeadline, Load: busyReport(2 * time.Second)}
	d := newTestIngress(t)
	f, _ := d.call(CallArrived{RetriesLeft: -1})
	d.reportAll(2 * time.Second)
	if next, _ := d.answer(f, refused); next != nil {
		t.Errorf("retried at %s, whose report says that the wait is too long", next.To.Node)
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
		t.Errorf("a second refusal under load was retried at %s", again.To.Node)
	}
}

// Guards against a call tree that multiplies retries: nested calls take theirs from the outer call, and
// one without the header gets none.
func TestNestedCallsShareTheRetriesOfTheOuterCall(t *testing.T) {
	d := newTestIngress(t)
	failed := ForwardDone{Outcome: OutcomeUnknown, Reason: ReasonBackendFailed}
	f, _ := d.call(CallArrived{Depth: 1, RetriesLeft: -1})
	if next, _ := d.answer(f, failed); next != nil {
		t.Error("a nested call without the header was retried")
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
	if used := d.state.target.byID[outer].retried; retries != 2 || used != 2 {
		t.Errorf("nested calls made %d retries and %d were charged, the outer call had 2 left", retries, used)
	}
	f, _ = d.call(CallArrived{RetriesLeft: 2})
	if next, _ := d.answer(f, ForwardDone{Outcome: OutcomeUnknown, Reason: ReasonBackendFailed, RetriesUsed: 2}); next != nil {
		t.Error("a call was retried after its nested calls had used all retries")
	}
}

// Guards against retries beyond the node's budget when everything fails.
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
	if most := calls*d.state.cfg.RetryRatio*retryEarned + d.state.retryCapacity(); float64(retries) > most {
		t.Errorf("%d retries of %d calls, expected at most %v", retries, calls, most)
	}
}

// Guards against a cold upstream that gets its full share at once: in the first tenth of the ramp it is
// drawn with less than a fifth of the weight of the others.
func TestNewUpstreamIsDrawnLessOften(t *testing.T) {
	d := newTestIngress(t)
	d.state.usableUpstreams("s", nil)
	d.now += time.Minute
	d.reduce(TimerDue{})
	members := d.state.usableUpstreams("s", nil)
	d.state.loadOf(testNode(2)).servingSince = d.now
	counts := map[NodeID]int{}
	for range 10000 {
		counts[members[d.state.draw(members, 10*time.Second)].Node]++
	}
	if fresh, other := counts[testNode(2)], counts[testNode(1)]; 5*fresh > other {
		t.Errorf("a new upstream was drawn %d times, an old one %d times", fresh, other)
	}
}

// Guards against lists that are made anew for each call: at 100,000 calls a second over the fleet that is garbage
// whose collection delays calls.
func TestChoiceMakesNoGarbage(t *testing.T) {
	d := newTestIngress(t)
	call := &ingressCall{route: tables.Route{Name: "r", Pool: "p", Priority: 3}, key: "k", deadline: d.now + time.Second}
	for name, choose := range map[string]func(){
		"upstream":      func() { d.state.chooseUpstream(call) },
		"early refusal": func() { d.state.refusesEarly(call) },
		"owner of key":  func() { d.state.keyHolders(call, "s", d.state.keyRanking("s", "r", "k")) },
	} {
		d.state.now = d.now + 2*tables.MaxKeyRetention // the owner is settled
		choose()
		if allocs := testing.AllocsPerRun(100, choose); allocs != 0 {
			t.Errorf("%s: %v allocations for each choice", name, allocs)
		}
	}
}

// Guards against an index of upstreams that keeps one whose backend server now belongs to another service.
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
