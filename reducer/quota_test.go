package reducer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/quota"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// newQuotaNode returns a node with one workspace whose quota the node "other" owns, and the name of the workspace.
func newQuotaNode(t *testing.T) (*State, string) {
	t.Helper()
	for i := range 100 {
		name := fmt.Sprintf("w%d", i)
		routes := fmt.Sprintf("[route r]\npath = /r\npool = p\nidempotent = yes\n[workspace %s]\nkeys = %s\nrate = 10\nburst = 10\n", name, tables.FingerprintOf("key"))
		s := New(Config{Self: "ingress", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), Tables: testSnapshot(t, routes, "[pool p]\nservice = s\nramp = 0s\n")})
		s.mergeMember(Member{
			Node: "other", Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive,
			Upstream: Upstream{Service: "s", Slots: 1, State: UpstreamReady},
		})
		s.updateQuotaView()
		if s.quota.owner.Owned() == 0 {
			return s, name
		}
	}
	t.Fatal("the node owns all quotas")
	return nil, ""
}

// find returns the first effect of a type, or false.
func find[E Effect](effects []Effect) (E, bool) {
	i := slices.IndexFunc(effects, func(e Effect) bool { _, ok := e.(E); return ok })
	if i < 0 {
		var none E
		return none, false
	}
	return effects[i].(E), true
}

// sentQuotaRequest returns the request for tokens among the effects. Passed buckets are left out.
func sentQuotaRequest(effects []Effect) (QuotaRequest, bool) {
	for _, effect := range effects {
		if send, ok := effect.(Send); ok {
			if request, ok := send.Message.(QuotaRequest); ok && len(request.Asks) > 0 {
				return request, true
			}
		}
	}
	return QuotaRequest{}, false
}

var quotaArrival = CallArrived{Call: 1, Host: "h", Method: "POST", Path: "/r", BodyBytes: 5, RetriesLeft: -1, Credential: keyed("key")}

// grantOne answers a request with one token at a time.
func grantOne(s *State, at time.Duration, request QuotaRequest, workspace string) []Effect {
	grant := quota.Grant{Seq: request.Seq, Tokens: []quota.Tokens{{Workspace: workspace, Now: 1}}}
	return Reduce(s, Event{Now: at, Input: PeerMessage{From: PeerRef{Node: "other", Incarnation: 1}, Message: QuotaGrant{Grant: grant}}})
}

// Guards against a body that is read, or a call that is forwarded, before the call has a token.
func TestCallWaitsForToken(t *testing.T) {
	s, workspace := newQuotaNode(t)
	effects := Reduce(s, Event{Now: time.Second, Input: quotaArrival})
	request, ok := sentQuotaRequest(effects)
	if _, reads := find[ReadBody](effects); !ok || reads || request.Asks[0].Needed != 1 {
		t.Fatalf("arrival: %+v", effects)
	}
	if _, reads := find[ReadBody](grantOne(s, time.Second+3*time.Millisecond, request, workspace)); !reads {
		t.Error("the body is not read after the grant")
	}
}

// Guards against a call whose caller has left that takes a token or is answered twice.
func TestCallerLeavesBeforeToken(t *testing.T) {
	s, workspace := newQuotaNode(t)
	request, _ := sentQuotaRequest(Reduce(s, Event{Now: time.Second, Input: quotaArrival}))
	gone := Reduce(s, Event{Now: time.Second + time.Millisecond, Input: CallerGone{Call: 1}})
	if failed, ok := find[FailCall](gone); !ok || failed.Outcome != OutcomeNotRun {
		t.Errorf("caller gone: %+v", gone)
	}
	effects := grantOne(s, time.Second+3*time.Millisecond, request, workspace)
	if _, reads := find[ReadBody](effects); reads || len(s.ingress.calls) > 0 {
		t.Errorf("grant: %+v", effects)
	}
}

// Guards against a call that waits for a silent owner beyond 100 ms, and against refusals without Retry-After.
func TestSilentOwner(t *testing.T) {
	s, _ := newQuotaNode(t)
	Reduce(s, Event{Now: time.Second, Input: quotaArrival})
	effects := Reduce(s, Event{Now: time.Second + 100*time.Millisecond, Input: TimerDue{}})
	failed, ok := find[FailCall](effects)
	if !ok || failed.Reason != ReasonQuotaExceeded || failed.Outcome != OutcomeNotRun || failed.RetryAfter <= 0 {
		t.Errorf("after 100 ms: %+v", effects)
	}
}
