package reducer

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// newNodeInRollout returns a node beside a backend server of service v, while version v2 of it is rolled out.
func newNodeInRollout(t *testing.T) *State {
	t.Helper()
	s := newWorkspaceNode(t, "")
	s.cfg.Rollouts.Enabled = true
	s.backend.service = "v"
	s.rollouts.counts = map[string]*rollout.RouteCount{}
	s.now = 10 * time.Second
	s.rollouts.view.Apply(rollout.Update{Service: "v", Version: "v2", From: "v1", State: rollout.Running, Share: 0.04, Revision: 1}, s.now)
	return s
}

// Guards against a good version that is rolled back because calls that its backend servers make fail at nodes that have just
// started, and against a bad one whose own failures do not count.
func TestFailuresByNestedCallsDoNotCountForAVersion(t *testing.T) {
	s := newNodeInRollout(t)
	failed := BackendRequestDone{Result: BackendAnswered, Status: 500, Elapsed: 100 * time.Millisecond}

	s.noteCallFailed("p", ReasonDeadline)
	s.now += 50 * time.Millisecond
	s.countForRollout("r", failed)
	if c := s.rollouts.counts["r"]; c != nil {
		t.Errorf("counted %+v although a call failed while the request ran", *c)
	}
	s.now += time.Second
	s.noteCallFailed("p", ReasonNoRoute)
	s.backend.service = "s" // its own calls are not made by it
	s.noteCallFailed("p", ReasonDeadline)
	s.backend.service = "v"
	s.countForRollout("r", failed)
	if c := s.rollouts.counts["r"]; c == nil || c.Failures != 1 {
		t.Errorf("counted %+v, expected one failure", c)
	}
}

// Guards against a halt that is never stored: the store was down while it was decided and longer than the lease, and the
// node that decided acquires the next lease, too. It gets no more responses of the new version to judge by.
func TestHaltStaysWhenItsDeciderLosesTheLease(t *testing.T) {
	s := newWorkspaceNode(t, "")
	s.cfg.Rollouts.Enabled = true
	s.initRollouts()
	u := rollout.Update{Service: "v", Version: "v2", From: "v1", State: rollout.Running, Share: 0.04, Revision: 3, Order: 2, Decider: s.rolloutSelf()}
	stored := rollout.Stored{Update: u, Revision: 3, Duration: 12 * time.Second}
	lead := &rolloutLead{lease: 1, fence: 1, confirmed: true, ready: true}
	s.rollouts.leads["v"] = lead
	s.rollouts.orders["v"] = rollout.Order{Service: "v", Version: "v2", Duration: 12 * time.Second, Revision: 2}
	s.takeWritten(lead, stored)
	lead.decider.Halt("failures of the new version")
	s.decideRollout(lead)
	s.loseLead(lead)
	lead.lease, lead.fence, lead.confirmed, lead.ready = 2, 2, true, true
	s.considerOrder("v", lead)
	s.decideRollout(lead)
	if lead.writing == nil || lead.writing.Update.State != rollout.RolledBack || lead.writing.Status.Reason != "failures of the new version" {
		t.Errorf("the next decider writes %+v, expected rolled_back with the reason of the halt", lead.writing)
	}
}

// Guards against a takeover that takes a second longer than the lease of a decider that has failed.
func TestLeaseIsTriedSoonWhileTheDeciderIsSilent(t *testing.T) {
	for silence, want := range map[time.Duration]time.Duration{500 * time.Millisecond: rollout.LeaseInterval, stateSilence: leaseRetryInterval} {
		s := newWorkspaceNode(t, "")
		s.rollouts.leads = map[string]*rolloutLead{"v": {holding: true}}
		s.rollouts.heardAt = map[string]time.Duration{"v": 10 * time.Second}
		s.now = 10*time.Second + silence
		s.handleRolloutLeaseHeld(RolloutLeaseHeld{Service: "v", Result: StoreConflict})
		if got := s.rollouts.leads["v"].holdAt - s.now; got != want {
			t.Errorf("after a silence of %v the lease is tried in %v, expected %v", silence, got, want)
		}
	}
}
