package faultmatrix

import (
	"slices"
	"testing"
)

// at names a fault and the step at which it is injected.
type at struct {
	fault string
	step  int
}

// TestFoundSequences plays generated sequences that once broke an invariant. Each says which failure it guards
// against. A change that adds or removes events moves the steps; the tests of the reducer for the same rules do not
// depend on them.
func TestFoundSequences(t *testing.T) {
	for _, c := range []struct {
		guards   string
		seed     uint64
		scenario string
		faults   []at
	}{
		{
			"a repeat at a node that resumed from a pause during a partition runs again", 501, "regions lose each other",
			[]at{{"zone cut off", 10703}, {"store loses answers", 1505}, {"node paused", 455}},
		},
		{
			"a restarted node dates news of a zone by its own start", 82443, "regions lose each other",
			[]at{{"node stopped", 6202}, {"node killed and restarted", 176}},
		},
		{
			"a call whose time passed in a pause between two attempts is refused as not run", 147142,
			"call with an idempotency key, repeated at another node",
			[]at{{"node paused", 25}, {"invalid version", 14}, {"flood of the most urgent work", 22}, {"backend server killed", 5}},
		},
		{
			"a restarted node does not know that its earlier life was an upstream", 165337, "idempotency key in a partition",
			[]at{{"backend server killed", 15}, {"node killed and restarted", 73}},
		},
		{
			"two contents of one number, followed by an invalid version only, count as a version that is not active", 187402,
			"operators write one number twice",
			[]at{{"store stale", 97}, {"store loses answers", 136}, {"invalid version", 33}, {"node paused", 128}},
		},
		{
			"a repeat that no upstream could serve counts as cut by the stop of its node", 293966, "planned stop of a key's owner",
			[]at{
				{"node stopped", 82}, {"backend server killed", 127}, {"backend server drains", 68}, {"node killed and restarted", 121},
			},
		},
		{
			"a node that restarts cut off from all others, but not from the store, runs repeats", 502117, "regions lose each other",
			[]at{
				{"flood of the most urgent work", 15578}, {"new version", 2364}, {"node cut off", 263}, {"node killed and restarted", 1524},
			},
		},
	} {
		sequence := Sequence{Seed: c.seed, Scenario: scenarioNamed(t, c.scenario)}
		for _, f := range c.faults {
			sequence.Injections = append(sequence.Injections, Injection{faultNamed(t, f.fault), f.step})
		}
		for _, violation := range sequence.Check(nil) {
			t.Errorf("%s: %v: %v", c.guards, sequence, violation)
		}
	}
}

func scenarioNamed(t *testing.T, name string) Scenario {
	t.Helper()
	scenarios := Scenarios()
	i := slices.IndexFunc(scenarios, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		t.Fatalf("there is no scenario %q", name)
	}
	return scenarios[i]
}

func faultNamed(t *testing.T, name string) Fault {
	t.Helper()
	faults := Faults()
	i := slices.IndexFunc(faults, func(f Fault) bool { return f.Name == name })
	if i < 0 {
		t.Fatalf("there is no fault %q", name)
	}
	return faults[i]
}

// Guards against a restarted node that goes back: the store does not answer, the peer that holds the newest version
// is silent, and the one that answers has missed it in a pause. Listed in KNOWN-RED.txt.
func TestRestartBesideAPeerThatIsBehind(t *testing.T) {
	sequence := Sequence{Seed: 1427466, Scenario: scenarioNamed(t, "lease lapses while its holder is paused")}
	for _, f := range []at{{"connections silent", 32}, {"node killed and restarted", 25}, {"store loses answers", 28}, {"target paused", 24}} {
		sequence.Injections = append(sequence.Injections, Injection{faultNamed(t, f.fault), f.step})
	}
	for _, violation := range sequence.Check(nil) {
		t.Errorf("%v: %v", sequence, violation)
	}
}
