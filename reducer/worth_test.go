package reducer

import (
	"fmt"
	"testing"
	"time"
)

// worthLoad plays calls at one upstream of 4 slots whose executions take 100 ms, and returns how many of 100 calls of each
// priority were answered within the time in which their response has its full worth, and at all. Calls of priority 1 come
// at a rate of the capacity, those of priority 2 at another.
func worthLoad(t *testing.T, rate1, rate2 float64, due time.Duration) (inTime, served [3]int) {
	const (
		slots   = 4
		service = 100 * time.Millisecond
		length  = 20 * time.Second
		left    = 800 * time.Millisecond
	)
	d := &testTarget{t: t, names: map[Handle]string{}, calls: map[string]Handle{}}
	d.state = New(Config{
		Self: "target", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
		Tables: testSnapshot(t, "[route r]\npool = p\n", "[pool p]\nservice = s\nramp = 0s\nmin_share.2 = 30\n"),
	})
	type running struct {
		call Handle
		ends time.Duration
	}
	var runs []running
	arrived, priority, sent := map[Handle]time.Duration{}, map[Handle]int{}, [3]int{}
	var credit [3]float64
	handle := Handle(0)
	take := func(input Input) {
		for _, effect := range Reduce(d.state, Event{Now: d.now, Rand: uint64(handle) * 2654435761, Input: input}) {
			if start, ok := effect.(StartBackendRequest); ok {
				runs = append(runs, running{start.Call, d.now + service})
			}
		}
	}
	for d.now = time.Millisecond; d.now < length; d.now += time.Millisecond {
		if d.now%time.Second == time.Millisecond {
			take(BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: slots})
		}
		for len(runs) > 0 && runs[0].ends <= d.now {
			ended := runs[0]
			runs = runs[1:]
			served[priority[ended.call]]++
			if d.now-arrived[ended.call] <= due {
				inTime[priority[ended.call]]++
			}
			take(BackendRequestDone{Call: ended.call, Result: BackendAnswered, Status: 200, Elapsed: service})
		}
		for p, rate := range [3]float64{0, rate1, rate2} {
			for credit[p] += rate * slots * float64(time.Millisecond) / float64(service); credit[p] >= 1; credit[p]-- {
				handle++
				arrived[handle], priority[handle] = d.now, p
				sent[p]++
				take(ForwardArrived{
					Call: handle, ID: CallID{Origin: "o", Seq: uint64(handle)}, Attempt: 1, Route: fmt.Sprint("r", p), Pool: "p",
					Priority: p, Idempotent: true, TimeLeft: left, DueIn: due, TargetIncarnation: 1,
				})
			}
		}
		take(TimerDue{})
	}
	for p := range sent {
		if sent[p] > 0 {
			inTime[p], served[p] = 100*inTime[p]/sent[p], 100*served[p]/sent[p]
		}
	}
	return inTime, served
}

// Guards against a queue that answers everybody late when there is more work than slots: calls wait in the order of their
// arrival until all have lost their worth. With half as much again as the capacity about two thirds can be in time.
func TestOverloadedQueueAnswersInTime(t *testing.T) {
	for _, rate := range []float64{1.5, 2} {
		inTime, served := worthLoad(t, rate, 0, 300*time.Millisecond)
		t.Logf("load %.1f: %d in 100 in time, %d served", rate, inTime[1], served[1])
		if most := int(100 / rate); inTime[1] < most*9/10 || served[1] > most+1 {
			t.Errorf("load %.1f: %d of 100 in time, %d served, expected about %d", rate, inTime[1], served[1], most)
		}
	}
}

// Guards against a less urgent priority that starves beside more urgent work, and against one that takes more than its
// share from it.
func TestLessUrgentKeepsItsShareInTime(t *testing.T) {
	inTime, _ := worthLoad(t, 1.2, 0.6, 300*time.Millisecond)
	t.Logf("in time: %d of 100 of priority 1, %d of priority 2", inTime[1], inTime[2])
	// 30 in 100 of the slot time are half of what priority 2 asks for, the rest is 58 in 100 of what priority 1 does.
	if inTime[1] < 50 || inTime[2] < 40 || inTime[2] > 60 {
		t.Errorf("in time: %d of 100 of priority 1, %d of priority 2", inTime[1], inTime[2])
	}
}

// Guards against calls that are refused although there is room for them, because they are late already: their response
// has some worth.
func TestLateCallsAreServedWhileThereIsRoom(t *testing.T) {
	if _, served := worthLoad(t, 0.7, 0, 50*time.Millisecond); served[1] < 99 {
		t.Errorf("%d of 100 late calls are served at 0.7 of the capacity", served[1])
	}
}

// Guards against a call that has come back after a refusal and waits behind those that have not waited.
func TestReturnedCallGoesFirst(t *testing.T) {
	var list callList
	for i, due := range []time.Duration{300, 310, 320, 290, 305} {
		list.push(&targetCall{due: due, order: uint64(i), cost: time.Millisecond})
	}
	want := []time.Duration{290, 300, 305, 310, 320}
	got := []time.Duration{}
	for call := list.head; call != nil; call = call.next {
		got = append(got, call.due)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("order by due time is %v, expected %v", got, want)
	}
	if ahead := list.ahead(305); ahead != 3*time.Millisecond {
		t.Errorf("work ahead of a call due at 305 is %v, expected 3ms", ahead)
	}
}

// Guards against a pause that is longer than the caller has, so that it comes back when its response has lost its worth,
// and against one that brings callers back before there is room.
func TestRetryAfterFollowsTheQueue(t *testing.T) {
	for _, c := range []struct {
		name string
		wait time.Duration
		want time.Duration
	}{
		{"a little too long", 1040 * time.Millisecond, 54 * time.Millisecond}, // 1 s left, 10 ms of work and a hop of 4 ms
		{"far too long", time.Minute, time.Second / worthPart},
		{"just too long", 990 * time.Millisecond, minRetryAfter},
	} {
		d := newTestIngress(t)
		d.reportAll(c.wait)
		var told time.Duration
		for told == 0 { // one call in 16 is sent all the same
			for _, effect := range d.reduce(CallArrived{Call: Handle(1000 + d.now), Host: "h", Method: "GET", Path: "/", RetriesLeft: -1}) {
				if respond, ok := effect.(Refuse); ok {
					told = respond.RetryAfter
				}
			}
			d.now++
		}
		if told.Round(time.Millisecond) != c.want.Round(time.Millisecond) {
			t.Errorf("%s: caller is told to wait %v, expected %v", c.name, told, c.want)
		}
	}
}
