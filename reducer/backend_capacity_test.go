package reducer

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// fullBackend is a backend server that registers 13 slots and takes 7 requests at a time. It resets any other, or leaves it
// without an answer.
type fullBackend struct {
	*testTarget
	hangs, idempotent  bool
	running            map[Handle]time.Duration // by the time of the end
	hung               map[Handle]time.Duration // by the end of their timeout
	sent, full, served int
	notRun             int // answers not_run to calls that were sent
	retryable          int // answers after which the ingress node tries another upstream, if the call is idempotent
	started            map[Handle]bool
}

const (
	fullSlots = 13
	fullTakes = 7
	fullWork  = 30 * time.Millisecond
)

func newFullBackend(t *testing.T, hangs, idempotent bool) *fullBackend {
	d := newTestTarget(t, map[string]string{"slots": "13", "ramp": "0s", "queue_limit": "20"})
	d.state.cfg.LearnCapacity = true
	return &fullBackend{testTarget: d, hangs: hangs, idempotent: idempotent, running: map[Handle]time.Duration{}, hung: map[Handle]time.Duration{}, started: map[Handle]bool{}}
}

func (b *fullBackend) apply(input Input) {
	for _, effect := range Reduce(b.state, Event{Now: b.now, Rand: 1, Input: input}) {
		switch e := effect.(type) {
		case StartBackendRequest:
			b.sent++
			b.started[e.Call] = true
			if len(b.running) < fullTakes {
				b.running[e.Call] = b.now + fullWork
				continue
			}
			b.full++
			b.hung[e.Call] = b.now + time.Millisecond
			if b.hangs {
				b.hung[e.Call] = b.now + e.Timeout
			}
		case AbortBackendRequest:
			if _, ok := b.hung[e.Call]; ok {
				b.hung[e.Call] = b.now
			}
		case AnswerForward:
			if b.started[e.Call] && e.Outcome == OutcomeNotRun {
				b.notRun++
			}
			if e.Outcome == OutcomeUnknown && e.Reason == ReasonBackendFailed {
				b.retryable++
			}
		}
	}
}

// run lets time pass with 333 calls a second, which is half more than the backend server can serve, and heartbeats.
func (b *fullBackend) run(length time.Duration) {
	for end := b.now + length; b.now < end; b.now += time.Millisecond {
		for _, handle := range slices.Sorted(maps.Keys(b.running)) {
			if b.running[handle] <= b.now {
				delete(b.running, handle)
				b.served++
				b.apply(BackendRequestDone{Call: handle, Result: BackendAnswered, Status: 200, Elapsed: fullWork})
			}
		}
		for _, handle := range slices.Sorted(maps.Keys(b.hung)) {
			if at := b.hung[handle]; at <= b.now {
				delete(b.hung, handle)
				result := BackendFailed
				if b.hangs {
					result = BackendAborted
				}
				b.apply(BackendRequestDone{Call: handle, Result: result, Elapsed: b.now - at})
			}
		}
		if b.now%time.Second == 0 {
			b.apply(testRegistration(map[string]string{"slots": "13"}))
		}
		if b.now%(3*time.Millisecond) == 0 {
			handle := Handle(b.now/time.Millisecond) + 1
			b.apply(ForwardArrived{Call: handle, ID: CallID{Origin: "o", Incarnation: 1, Seq: uint64(handle)}, Attempt: 1, Route: "r", Pool: "p",
				Idempotent: b.idempotent, TimeLeft: time.Second, TargetIncarnation: 1})
		}
		b.apply(TimerDue{})
	}
}

// Guards against a node that goes on sending requests to a backend server that is full: after 3 s in which it learns, at most
// 2 of 100 may be reset or hang, and nearly all of what the backend server can serve must be served. Nothing is reported as not
// run once it was sent.
func TestFullBackendIsLearned(t *testing.T) {
	for name, b := range map[string]*fullBackend{
		"resets": newFullBackend(t, false, true), "resets, at most once": newFullBackend(t, false, false),
		"hangs": newFullBackend(t, true, true), "hangs, at most once": newFullBackend(t, true, false),
	} {
		b.run(3 * time.Second)
		learning := b.full
		b.sent, b.full, b.served = 0, 0, 0
		b.run(30 * time.Second)
		limit := b.state.backendCapacity()
		t.Logf("%s: %d while learning, then %d of %d, %d served, limit %d, %d resets, %d hangs", name, learning, b.full, b.sent, b.served, limit.Limit, limit.Resets, limit.Hangs)
		if b.full*50 > b.sent {
			t.Errorf("%s: %d of %d requests were sent to a full backend server", name, b.full, b.sent)
		}
		if possible := int(30 * time.Second / fullWork * fullTakes); b.served < possible*3/4 {
			t.Errorf("%s: %d requests were served, %d were possible", name, b.served, possible)
		}
		if b.hangs && b.idempotent && b.retryable == 0 {
			t.Errorf("%s: no request that hung was ended in time for another attempt", name)
		}
		if b.notRun > 0 {
			t.Errorf("%s: %d calls that were sent were answered not_run", name, b.notRun)
		}
	}
}

// Guards against a limit for a backend server that never was full, of which 3 in 100 requests take 7 times as long and are
// ended at their deadline, and against one that outlasts the run that was full.
func TestOnlyAFullBackendIsLimited(t *testing.T) {
	b := newFullBackend(t, true, true)
	for i := range 300 {
		call, result, took := Handle(i+1), BackendAnswered, 100*time.Millisecond
		if i%33 == 32 {
			result, took = BackendAborted, 700*time.Millisecond
		}
		b.apply(ForwardArrived{Call: call, ID: CallID{Origin: "o", Incarnation: 1, Seq: uint64(call)}, Route: "r", Pool: "p", Idempotent: true,
			TimeLeft: time.Second, TargetIncarnation: 1})
		b.now += took
		b.apply(testRegistration(map[string]string{"slots": "13"}))
		b.apply(BackendRequestDone{Call: call, Result: result, Status: 200, Elapsed: took})
		if slots := b.state.slots(); slots != fullSlots {
			t.Fatalf("%d slots after %d requests", slots, i+1)
		}
	}
	b = newFullBackend(t, false, true)
	b.run(time.Second)
	if b.state.slots() == fullSlots {
		t.Fatal("a backend server that is full is not limited")
	}
	b.state.expireRegistration()
	b.apply(testRegistration(map[string]string{"slots": "13"}))
	if slots := b.state.slots(); slots != fullSlots {
		t.Errorf("%d slots after a restart of the backend server", slots)
	}
}

// Guards against a backend server that has become 20 times as slow and is taken for one that hangs: its requests would be ended
// before they can be answered, for ever. Within 10 requests one must get the time that it needs.
func TestSlowBackendIsNotTakenForOneThatHangs(t *testing.T) {
	b := newFullBackend(t, true, true)
	b.run(2 * time.Second)
	for _, handle := range slices.Sorted(maps.Keys(b.state.target.calls)) {
		b.apply(BackendRequestDone{Call: handle, Result: BackendAborted})
	}
	if !b.state.target.capacity.Hanging(b.now, fullSlots) {
		t.Fatal("the backend server does not count as one that hangs")
	}
	b.served = 0
	const needs = 2 * time.Second
	for i := range 10 {
		call := Handle(100000 + i)
		for _, effect := range Reduce(b.state, Event{Now: b.now, Rand: 1, Input: ForwardArrived{Call: call, ID: CallID{Origin: "o", Incarnation: 1, Seq: uint64(call)},
			Route: "r", Pool: "p", Idempotent: true, TimeLeft: 3 * time.Second, TargetIncarnation: 1}}) {
			if e, ok := effect.(StartBackendRequest); ok && e.Timeout >= needs {
				b.served++
			} else if ok {
				b.now += e.Timeout
				b.apply(testRegistration(map[string]string{"slots": "13"}))
				b.apply(BackendRequestDone{Call: call, Result: BackendAborted, Elapsed: e.Timeout})
			}
		}
		if b.served > 0 {
			return
		}
	}
	t.Error("no request got the time that it needs after the backend server became slow")
}

// Guards against a limit after a pause of the node, whose requests seem to have had no answer for long.
func TestPausedNodeDoesNotLimitItsBackend(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		b := newFullBackend(t, true, idempotent)
		for call := Handle(1); call <= 20; call++ {
			b.apply(ForwardArrived{Call: call, ID: CallID{Origin: "o", Incarnation: 1, Seq: uint64(call)}, Route: "r", Pool: "p",
				Idempotent: idempotent, TimeLeft: time.Second, TargetIncarnation: 1})
			if call <= 13 {
				b.now += fullWork
				b.apply(BackendRequestDone{Call: call, Result: BackendAnswered, Status: 200, Elapsed: fullWork})
			}
		}
		b.now += 2 * time.Second
		b.apply(testRegistration(map[string]string{"slots": "13"}))
		for call := Handle(14); call <= 20; call++ {
			b.apply(BackendRequestDone{Call: call, Result: BackendAborted, Elapsed: 2 * time.Second})
		}
		if limit := b.state.backendCapacity().Limit; limit != 0 {
			t.Errorf("idempotent %v: limit %d after a pause", idempotent, limit)
		}
	}
}

// Guards against a limit for a backend server whose settings do not ask for one.
func TestCapacityIsNotLearnedWithoutTheSetting(t *testing.T) {
	b := newFullBackend(t, false, true)
	b.state.cfg.LearnCapacity = false
	b.run(3 * time.Second)
	if slots := b.state.slots(); slots != fullSlots || b.full == 0 {
		t.Errorf("%d of %d slots after %d resets, expected all", slots, fullSlots, b.full)
	}
}

// Guards against a backend server that is limited because the responses of requests that it has run are lost by resets: it is
// not full, and the calls that it could serve would be refused.
func TestLostResponsesDoNotLimitTheBackend(t *testing.T) {
	b := newFullBackend(t, false, true)
	b.run(time.Second) // its expected time is known, and it is full at times
	b.state.target.capacity.Forget()
	before := b.state.target.capacity.Resets
	for i := range 200 {
		call := &targetCall{route: "r", expected: fullWork, startedAt: b.now, occupancy: fullTakes}
		b.state.now = b.now + fullWork*time.Duration(5+i%5)/10 // its response is lost at the end of the execution
		b.state.observeCapacity(call, BackendFailed)
	}
	if limit := b.state.target.capacity.Limit(b.state.now, fullSlots); limit != 0 || b.state.target.capacity.Resets != before {
		t.Errorf("%d requests are allowed after lost responses, expected all %d", limit, fullSlots)
	}
}
