package reducer

import (
	"fmt"
	"testing"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

func keyed(key string) Credential {
	return Credential{Valid: true, Key: tables.FingerprintOf(key)}
}

// newWorkspaceNode returns a node that knows one upstream at another node and has the tables of one workspace, or none.
func newWorkspaceNode(t *testing.T, key string) *State {
	t.Helper()
	routes := "[route r]\npath = /r\npool = p\npriority = 3\n[route open]\npath = /open\npool = p\npublic = yes\n"
	if key != "" {
		routes += fmt.Sprintf("[workspace red]\nkeys = %s\npriority = 1\n", tables.FingerprintOf(key))
	}
	s := New(Config{Self: "ingress", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), Tables: testSnapshot(t, routes, "[pool p]\nservice = s\nramp = 0s\n")})
	s.mergeMember(Member{
		Node: "other", Zone: "z", Incarnation: 1, Sequence: 1, State: MemberAlive,
		Upstream: Upstream{Service: "s", Slots: 1, State: UpstreamReady},
	})
	return s
}

// arrive returns what becomes of a call: the Forward effect, or the reason for which it is refused.
func arrive(s *State, path string, credential Credential) (Forward, Reason) {
	for _, effect := range Reduce(s, Event{Now: s.now + 1, Input: CallArrived{Call: Handle(s.now + 1), Path: path, RetriesLeft: -1, Credential: credential}}) {
		switch e := effect.(type) {
		case Forward:
			return e, ReasonNone
		case FailCall:
			return Forward{}, e.Reason
		}
	}
	return Forward{}, ReasonNone
}

// Guards against requests without a valid key that reach a backend server, and against a workspace that is lost on the way.
func TestRoutesRequireKeys(t *testing.T) {
	s := newWorkspaceNode(t, "red-1")
	for _, c := range []struct {
		path       string
		credential Credential
		reason     Reason
		workspace  string
		priority   int
	}{
		{"/r", keyed("red-1"), ReasonNone, "red", 1},
		{"/r", keyed("red-2"), ReasonUnknownKey, "", 0},
		{"/r", Credential{}, ReasonUnknownKey, "", 0},
		{"/open", Credential{}, ReasonNone, "", tables.Priorities - 1},
		{"/open", keyed("red-1"), ReasonNone, "", tables.Priorities - 1},
		{"/missing", Credential{}, ReasonNoRoute, "", 0},
	} {
		forward, reason := arrive(s, c.path, c.credential)
		if reason != c.reason || forward.Workspace != c.workspace || reason == ReasonNone && forward.Priority != c.priority {
			t.Errorf("%s %v: %v, workspace %q, priority %d", c.path, c.credential.Valid, reason, forward.Workspace, forward.Priority)
		}
	}
}

// Guards against a withdrawn key that is still accepted, and against tables without workspaces that ask for keys.
func TestWithdrawnKey(t *testing.T) {
	s := newWorkspaceNode(t, "red-1")
	s.config.active = newWorkspaceNode(t, "red-2").config.active
	if _, reason := arrive(s, "/r", keyed("red-1")); reason != ReasonUnknownKey {
		t.Errorf("withdrawn key: %v", reason)
	}
	s.config.active = newWorkspaceNode(t, "").config.active
	if forward, reason := arrive(s, "/r", Credential{}); reason != ReasonNone || forward.Workspace != "" {
		t.Errorf("without workspaces: %v, workspace %q", reason, forward.Workspace)
	}
	s.config.active = nil
	if _, reason := arrive(s, "/r", keyed("red-1")); reason != ReasonNotReady {
		t.Errorf("without tables: %v", reason)
	}
}
