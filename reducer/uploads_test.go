package reducer

import (
	"testing"
	"time"
)

const (
	uploadRoute = "[route r]\npool = p\nidempotent = no\nupload = yes\ntimeout = 2s\nmax_body_bytes = 400000\n"
	uploadPool  = "[pool p]\nservice = s\nramp = 0s\n"
	uploadBytes = 360_000 // the longest upload of the deployments; 0.34 s at 0.85 of 10 Mbit/s
)

// newUploadTarget returns a node with a backend server that takes uploads.
func newUploadTarget(t *testing.T, mbps float64) *State {
	s := New(Config{Self: "n", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), LinkMbps: mbps, Tables: testSnapshot(t, uploadRoute, uploadPool)})
	Reduce(s, Event{Now: time.Second, Input: testRegistration(map[string]string{"slots": "6"})})
	return s
}

// offerUpload returns the answer to the offer of an upload that has 2 s.
func offerUpload(t *testing.T, s *State, now time.Duration) AnswerUpload {
	t.Helper()
	offer := UploadOffered{Exchange: 1, ID: CallID{Seq: uint64(now)}, Attempt: 1, Route: "r", Pool: "p", Bytes: uploadBytes, TimeLeft: 2 * time.Second, TargetIncarnation: 1}
	for _, effect := range Reduce(s, Event{Now: now, Input: offer}) {
		if answer, ok := effect.(AnswerUpload); ok {
			return answer
		}
	}
	t.Fatal("the offer of an upload has no answer")
	return AnswerUpload{}
}

// Guards against a node that accepts more uploads than its link carries in their time, that refuses them for ever
// afterwards, or that refuses them without knowing its link.
func TestUploadsBeyondTheLinkAreRefused(t *testing.T) {
	for mbps, want := range map[float64]int{10: 4, 0: 9} {
		s := newUploadTarget(t, mbps)
		accepted, last := 0, AnswerUpload{}
		for range 9 {
			if last = offerUpload(t, s, time.Second); last.Accepted {
				accepted++
			}
		}
		if accepted != want {
			t.Errorf("%v Mbit/s: %d uploads were accepted at once, expected %d", mbps, accepted, want)
		}
		if mbps > 0 && (last.Reason != ReasonDeadline || last.Load.LinkInBacklog < 1300*time.Millisecond) {
			t.Errorf("refused as %+v", last)
		}
		if later := offerUpload(t, s, 2*time.Second); !later.Accepted {
			t.Errorf("%v Mbit/s: a second later an upload is refused as %v", mbps, later.Reason)
		}
	}
}

// Guards against an upload that is sent to a node which would refuse its call.
func TestUploadsOfCallsThatCannotRunAreRefused(t *testing.T) {
	s := newUploadTarget(t, 10)
	Reduce(s, Event{Now: time.Second, Input: BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: 6, Draining: true}})
	if answer := offerUpload(t, s, time.Second); answer.Accepted || answer.Reason != ReasonDraining {
		t.Errorf("a node whose backend server drains answered %+v", answer)
	}
	s = newUploadTarget(t, 10)
	s.cfg.Incarnation = 2
	if answer := offerUpload(t, s, time.Second); answer.Accepted || answer.Reason != ReasonWrongIncarnation {
		t.Errorf("a node that has restarted answered %+v", answer)
	}
}

// newUploadIngress returns a testIngress whose node knows its link and whose route takes uploads.
func newUploadIngress(t *testing.T) *testIngress {
	d := newTestIngress(t)
	d.state.links = newLinkState(10)
	d.state.config.active = testSnapshot(t, uploadRoute+"retries = 2\n", uploadPool)
	d.reportAll(0)
	return d
}

// upload delivers a call with a body that has been read.
func (d *testIngress) upload() (*Forward, Reason) {
	d.sendHeartbeats()
	d.calls++
	if _, reason := firstForward(d.reduce(CallArrived{Call: d.calls, Path: "/", BodyBytes: uploadBytes, RetriesLeft: -1})); reason != ReasonNone {
		return nil, reason
	}
	return firstForward(d.reduce(BodyRead{Call: d.calls, Bytes: uploadBytes, Result: BodyComplete}))
}

// Guards against an upload that is sent to a target whose receiving link is known to be full, and against one that is given
// up, or sent again to the same target, after a refusal that cost no transfer.
func TestUploadsGoWhereTheLinkIsFree(t *testing.T) {
	d := newUploadIngress(t)
	for i := range 3 {
		d.state.loadOf(testNode(i)).report.LinkInBacklog = time.Second
	}
	f, reason := d.upload()
	if f == nil || f.To.Node != testNode(3) || !f.BodyAhead {
		t.Fatalf("attempt %+v, refusal %v, expected one at the free link with the body ahead", f, reason)
	}
	next, reason := d.answer(f, ForwardDone{Outcome: OutcomeNotRun, Reason: ReasonDeadline, Load: busyReport(0)})
	if next == nil || next.To.Node == f.To.Node {
		t.Errorf("after a refusal: attempt %+v, refusal %v, expected one at another node", next, reason)
	}
}

// Guards against bodies that callers send although they cannot arrive, or be sent on, in the calls' time.
func TestBodiesOfCallersAreBoundByTheLink(t *testing.T) {
	d := newUploadIngress(t)
	accepted := 0
	for range 9 {
		d.calls++
		effects := d.reduce(CallArrived{Call: d.calls, Path: "/", BodyBytes: uploadBytes, RetriesLeft: -1})
		if _, reason := firstForward(effects); reason == ReasonNone {
			accepted++
			continue
		}
		for _, effect := range effects {
			// Behind four bodies it takes 2.03 s of 2 s to its target.
			if e, ok := effect.(FailCall); ok && (e.Outcome != OutcomeNotRun || e.RetryAfter < 30*time.Millisecond || e.RetryAfter > 40*time.Millisecond) {
				t.Errorf("refused as %+v", e)
			}
		}
	}
	if accepted != 4 {
		t.Errorf("%d bodies were accepted, expected 4: each takes 0.34 s to this node and 0.34 s to its target", accepted)
	}
}
