package faultmatrix

import (
	"slices"
	"testing"
)

// faultAtStep names a fault and the step at which it is injected.
type faultAtStep struct {
	fault string
	step  int
}

// TestFoundSequences runs generated sequences that violated an invariant in the past. Each names the failure that it
// guards against. A change that adds or removes events shifts the steps; the tests of the reducer for the same rules do
// not depend on steps.
func TestFoundSequences(t *testing.T) {
	for _, c := range []struct {
		failure  string
		seed     uint64
		scenario string
		faults   []faultAtStep
	}{
		{
			"a repeat runs again at a node that resumed from a pause during a partition", 501, "regions lose each other",
			[]faultAtStep{{"zone cut off", 10703}, {"store loses answers", 1505}, {"node paused", 455}},
		},
		{
			"a restarted node takes its own start for the last contact with a zone", 82443, "regions lose each other",
			[]faultAtStep{{"node stopped", 6202}, {"node killed and restarted", 176}},
		},
		{
			"a call whose deadline passed in a pause between two attempts is answered not_run", 147142,
			"call with an idempotency key, repeated at another node",
			[]faultAtStep{{"node paused", 25}, {"invalid version", 14}, {"flood of the most urgent work", 22}, {"backend server killed", 5}},
		},
		{
			"a restarted node does not know that its earlier incarnation was an upstream", 165337, "idempotency key in a partition",
			[]faultAtStep{{"backend server killed", 15}, {"node killed and restarted", 73}},
		},
		{
			"two contents of one version number, followed only by an invalid version, are reported as a version that is not active", 187402,
			"operators write one number twice",
			[]faultAtStep{{"store stale", 97}, {"store loses answers", 136}, {"invalid version", 33}, {"node paused", 128}},
		},
		{
			"a repeat without any upstream is reported as lost in the graceful shutdown of its node", 293966, "planned stop of a key's owner",
			[]faultAtStep{
				{"node stopped", 82}, {"backend server killed", 127}, {"backend server drains", 68}, {"node killed and restarted", 121},
			},
		},
		{
			"a node that restarts cut off from all others, but not from the store, runs repeats", 502117, "regions lose each other",
			[]faultAtStep{
				{"flood of the most urgent work", 15578}, {"new version", 2364}, {"node cut off", 263}, {"node killed and restarted", 1524},
			},
		},
	} {
		sequence := Sequence{Seed: c.seed, Scenario: findScenario(t, c.scenario)}
		for _, f := range c.faults {
			sequence.Injections = append(sequence.Injections, Injection{findFault(t, f.fault), f.step})
		}
		for _, violation := range sequence.Check(nil) {
			t.Errorf("%s: %v: %v", c.failure, sequence, violation)
		}
	}
}

func findScenario(t *testing.T, name string) Scenario {
	t.Helper()
	scenarios := Scenarios()
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		t.Fatalf("no scenario is named %q", name)
	}
	return scenarios[i]
}

func findFault(t *testing.T, name string) Fault {
	t.Helper()
	faults := Faults()
	i := slices.IndexFunc(faults, func(f Fault) bool { return f.Name == name })
	if i < 0 {
		t.Fatalf("no fault is named %q", name)
	}
	return faults[i]
}

// Guards against a restarted node that activates an older version than before: the store does not answer, the peer with
// the newest version is silent, and the peer that answers missed that version during a pause. Listed in KNOWN-RED.txt.
func TestRestartBesideAPeerThatIsBehind(t *testing.T) {
	sequence := Sequence{Seed: 1427466, Scenario: findScenario(t, "lease lapses while its holder is paused")}
	for _, f := range []faultAtStep{{"connections silent", 32}, {"node killed and restarted", 25}, {"store loses answers", 28}, {"target paused", 24}} {
		sequence.Injections = append(sequence.Injections, Injection{findFault(t, f.fault), f.step})
	}
	for _, violation := range sequence.Check(nil) {
		t.Errorf("%v: %v", sequence, violation)
	}
}
