package reducer

import (
	"testing"
	"time"
)

// newStreamingTarget returns a node whose backend server has one slot, with a forwarded call on a streaming route that
// runs as call 1 and a second one that waits as call 2.
func newStreamingTarget(t *testing.T) *State {
	t.Helper()
	s := New(Config{
		Self: "n", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
		Tables: testSnapshot(t, "[route r]\npool = p\nidempotent = yes\nstreaming = yes\n", "[pool p]\nservice = s\nramp = 0s\n"),
	})
	Reduce(s, Event{Now: time.Second, Input: testRegistration(map[string]string{"slots": "1"})})
	for call := Handle(1); call <= 2; call++ {
		Reduce(s, Event{Now: time.Second, Input: ForwardArrived{
			Call: call, ID: CallID{Origin: "peer", Incarnation: 1, Seq: uint64(call)}, Attempt: 1, Route: "r", Pool: "p", Idempotent: true, Streaming: true,
			TimeLeft: 2 * time.Second, TargetIncarnation: 1,
		}})
	}
	return s
}

// answerOf returns the answer to a forwarded call among effects, or nil.
func answerOf(effects []Effect, call Handle) *AnswerForward {
	for _, effect := range effects {
		if e, ok := effect.(AnswerForward); ok && e.Call == call {
			return &e
		}
	}
	return nil
}

func starts(effects []Effect, call Handle) bool {
	for _, effect := range effects {
		if e, ok := effect.(StartBackendRequest); ok && e.Call == call {
			return true
		}
	}
	return false
}

// Guards against a slot that is given to another call while the backend server still sends a response, against one that
// stays taken afterwards, and against a second answer to a call at its deadline.
func TestStreamKeepsItsSlotUntilItEnds(t *testing.T) {
	s := newStreamingTarget(t)
	effects := Reduce(s, Event{Now: 1100 * time.Millisecond, Input: BackendRequestDone{Call: 1, Result: BackendAnswered, Status: 200, Streaming: true, Elapsed: time.Millisecond}})
	if answer := answerOf(effects, 1); answer == nil || answer.Outcome != OutcomeDone {
		t.Fatalf("answer %+v, expected done with the first part", answer)
	}
	if starts(effects, 2) {
		t.Error("the next call started while the response was being received")
	}
	effects = Reduce(s, Event{Now: 1200 * time.Millisecond, Input: BackendStreamEnded{Call: 1}})
	if !starts(effects, 2) {
		t.Error("the next call did not start at the end of the response")
	}
	effects = Reduce(s, Event{Now: 4 * time.Second, Input: BackendStreamEnded{Call: 1}})
	if answerOf(effects, 1) != nil || s.target.running != 1 {
		t.Errorf("a late end changed the state: %d running", s.target.running)
	}
}

// Guards against a goroutine that waits for ever for the answer to a call whose forwarder's connection was lost, which
// also holds up the shutdown of the node.
func TestCallOfLostForwarderIsAnswered(t *testing.T) {
	s := newStreamingTarget(t)
	if answer := answerOf(Reduce(s, Event{Now: time.Second, Input: ForwarderGone{Call: 2}}), 2); answer == nil || answer.Outcome != OutcomeNotRun {
		t.Errorf("answer to the queued call is %+v, expected not_run", answer)
	}
	Reduce(s, Event{Now: time.Second, Input: ForwarderGone{Call: 1}})
	if answer := answerOf(Reduce(s, Event{Now: time.Second, Input: BackendRequestDone{Call: 1, Result: BackendAborted}}), 1); answer == nil {
		t.Error("the running call has no answer after it was aborted")
	}
}

// Guards against a local attempt that runs on after a hedged one was answered: the exchange ends with the response, and an
// effect after it is lost.
func TestEarlierAttemptIsAbortedBeforeTheResponse(t *testing.T) {
	s := newStreamingTarget(t)
	s.ingress.calls[7] = &ingressCall{handle: 7, route: s.config.active.Routes()[0], phase: ingressForwarded, attempt: 2, target: PeerRef{Node: "other"},
		earlier: &earlierAttempt{number: 1, local: true}, deadline: time.Hour}
	s.loadOf("other").inFlight++
	s.target.calls[7] = &targetCall{handle: 7, local: true, idempotent: true, phase: targetRunning}
	order := ""
	done := ForwardDone{Call: 7, Attempt: 2, Result: ForwardAnswered, Outcome: OutcomeDone, Status: 200}
	for _, effect := range Reduce(s, Event{Now: 1100 * time.Millisecond, Input: done}) {
		switch effect.(type) {
		case AbortBackendRequest:
			order += "abort;"
		case Deliver:
			order += "deliver;"
		}
	}
	if order != "abort;deliver;" {
		t.Errorf("effects %q, expected the abort first", order)
	}
}
