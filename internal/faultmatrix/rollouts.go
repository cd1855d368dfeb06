package faultmatrix

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/internal/pump"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// Parameters of the roll-outs of the matrix. The bounds are those of the work page.
const (
	rolloutService  = "stitchroom"
	rolloutDuration = 12 * time.Second
	rolloutRate     = 100 // requests a second
	// rolloutLoad is how long requests arrive after the order: until 5 s after the end of faults that are injected in the
	// last step of a roll-out whose decider was replaced.
	rolloutLoad = 30 * time.Second
	// rolloutServiceTime gives the two new upstreams two calls at a time on average when all requests go to them.
	rolloutServiceTime = 40 * time.Millisecond
	oldVersion         = "v1"
	newVersion         = "v2"
	unknownTarget      = "v3"
)

// rolloutHeal is the time from the order to the end of the faults: as in the other scenarios healDelay after the last step.
const rolloutHeal = rolloutDuration + healDelay

// rolloutSettings are those of the work page.
var rolloutSettings = rollout.Settings{Enabled: true, ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}

// RolloutSteps are the steps of a roll-out at which the matrix injects faults, in order. A roll-out has either the last
// step or the ones from "guarded step" to "end written".
var RolloutSteps = []string{"order seen", "lease acquired", "first step", "guarded step", "final step", "end written", "halt"}

// rolloutStepOf returns the step that the event of a node belongs to, or an empty text.
func rolloutStepOf(w *pump.World, input reducer.Input) string {
	if answered, ok := input.(reducer.StoreAnswered); ok {
		input = answered.Answer
	}
	switch in := input.(type) {
	case reducer.RolloutsRead:
		if len(in.Orders) > 0 {
			return "order seen"
		}
	case reducer.RolloutLeaseHeld:
		if in.Result == reducer.StoreOK {
			return "lease acquired"
		}
	case reducer.RolloutWritten:
		if in.Result == reducer.StoreOK {
			return stepOfState(w)
		}
	case reducer.PeerMessage:
		if updates, ok := in.Message.(reducer.RolloutUpdates); ok {
			for _, u := range updates.Updates {
				if u.Halted && u.State == rollout.Running {
					return "halt"
				}
			}
		}
	}
	return ""
}

func stepOfState(w *pump.World) string {
	state, _ := w.Store.Rollout(rolloutService)
	switch u := state.Update; {
	case u.State > rollout.Running:
		return "end written"
	case u.Final:
		return "final step"
	case u.Guarded:
		return "guarded step"
	case u.Step == 0:
		return "first step"
	default:
		return ""
	}
}

// RolloutInjection is a fault at a step of a roll-out. After is the number of further events before it is injected.
type RolloutInjection struct {
	Fault Fault
	Step  string
	After int
}

// badRollouts are the ways in which the new version of a roll-out is bad, or good.
var badRollouts = map[string]func(w *pump.World){
	"good":  func(*pump.World) {},
	"fails": func(w *pump.World) { setVersion(w, func(b *pump.Backend) { b.FailShare = 0.4 }) },
	"slow":  func(w *pump.World) { setVersion(w, func(b *pump.Backend) { b.SlowBy = 4 }) },
	"fails later": func(w *pump.World) {
		w.After(7500*time.Millisecond, func() { setVersion(w, func(b *pump.Backend) { b.FailShare = 0.4 }) })
	},
	"fails under load": func(w *pump.World) {
		setVersion(w, func(b *pump.Backend) { b.FailShare, b.BadAbove = 0.6, 1 })
	},
}

// setVersion changes the backend servers of the new version.
func setVersion(w *pump.World, change func(*pump.Backend)) {
	for _, n := range w.Nodes() {
		if n.Backend.Version == newVersion {
			change(&n.Backend)
		}
	}
}

// RolloutRun is a roll-out with faults.
type RolloutRun struct {
	Seed       uint64
	Kind       string // of badRollouts
	Injections []RolloutInjection
	// Edits changes the orders at a time after the first one; it may be empty.
	Edits []RolloutEdit
}

// RolloutEdit is a change of the order by the operator: to another version, or its withdrawal if Version is empty.
type RolloutEdit struct {
	After   time.Duration
	Version string
}

func (r RolloutRun) String() string {
	parts := []string{fmt.Sprintf("seed %d, %s", r.Seed, r.Kind)}
	for _, i := range r.Injections {
		parts = append(parts, fmt.Sprintf("%s %d events after %s", i.Fault.Name, i.After, i.Step))
	}
	for _, e := range r.Edits {
		parts = append(parts, fmt.Sprintf("order of %q after %v", e.Version, e.After))
	}
	return strings.Join(parts, ", ")
}

// NewRolloutWorld returns a world with six nodes in two zones: one without a backend server, three beside upstreams of the
// old version and two beside those of the new one.
func NewRolloutWorld(seed uint64, settings rollout.Settings) *pump.World {
	w := pump.New(seed)
	w.Rollouts = settings
	w.History.Rollouts.InUse = map[string]string{rolloutService: oldVersion}
	w.History.Rollouts.Bounds = invariant.RolloutBounds{Share: 0.1, Slack: 50, BadCalls: 50, Rollback: 5 * time.Second}
	w.Store.Apply(Routes, Pools)
	w.AddVersion(Ingress, "Larvik", "", "")
	w.AddVersion(Target, "Larvik", rolloutService, oldVersion)
	w.AddVersion(Remote, "Horten", rolloutService, oldVersion)
	w.AddVersion("n4", "Horten", rolloutService, oldVersion)
	w.Run(MinWarmUp)
	w.AddVersion("n5", "Larvik", rolloutService, newVersion)
	w.AddVersion("n6", "Horten", rolloutService, newVersion)
	for _, n := range w.Nodes() {
		n.Backend.ServiceTime = rolloutServiceTime
	}
	w.Run(2 * MinWarmUp)
	return w
}

// Run runs the roll-out, ends the faults, waits for Recovery and returns the world.
func (r RolloutRun) Run() *pump.World { return r.run(func(*pump.World, reducer.Input) {}) }

// run is Run with a function that sees each event.
func (r RolloutRun) run(see func(*pump.World, reducer.Input)) *pump.World {
	w := NewRolloutWorld(r.Seed, rolloutSettings)
	r.inject(w, see)
	badRollouts[r.Kind](w)
	loadRollout(w, w.Now+rolloutLoad, rolloutRate)
	order(w, newVersion)
	for _, edit := range r.Edits {
		w.After(edit.After, func() { order(w, edit.Version) })
	}
	w.Run(w.Now + rolloutHeal)
	w.OnStep = nil
	w.Heal()
	w.Run(w.Now + Recovery)
	return w
}

// inject lets the faults happen at the first event of their steps.
func (r RolloutRun) inject(w *pump.World, see func(*pump.World, reducer.Input)) {
	left := make([]int, len(r.Injections)) // events until the fault; 0 before its step
	w.OnStep = func(_ int, node *pump.Node, input reducer.Input) {
		see(w, input)
		step := rolloutStepOf(w, input)
		for i, injection := range r.Injections {
			if left[i] == 0 && step == injection.Step {
				left[i] = 1 + injection.After
			}
			if left[i] > 0 {
				if left[i]--; left[i] == 0 {
					left[i] = -1
					injection.Fault.Inject(w, node)
				}
			}
		}
	}
}

// order writes an order, or withdraws it if the version is empty.
func order(w *pump.World, version string) {
	if version == "" {
		w.Store.Withdraw(rolloutService)
		return
	}
	w.Store.Order(rollout.Order{Service: rolloutService, Version: version, Duration: rolloutDuration})
}

// loadRollout sends requests to all nodes in turn until a time, rate a second.
func loadRollout(w *pump.World, until time.Duration, rate int) {
	sent := 0
	var next func()
	next = func() {
		if w.Now >= until {
			return
		}
		nodes := w.Nodes()
		sent++
		path := []string{"/lookup", "/dues", "/dues"}[sent%3]
		sendRequest(w, nodes[sent%len(nodes)].ID, fmt.Sprint("roll-", sent), path, "", path == "/lookup")
		w.After(time.Second/time.Duration(rate), next)
	}
	next()
}

// CheckRollout returns the violations of a run: those of its invariants, and an end that does not fit the version. A
// roll-out that was withdrawn, replaced or disturbed may end either way, unless the version is bad.
func (r RolloutRun) CheckRollout(w *pump.World) []invariant.Violation {
	violations := w.CheckInvariants()
	state, _ := w.Store.Rollout(rolloutService)
	report := func(format string, args ...any) {
		violations = append(violations, invariant.Violation{Invariant: RolloutEnds, Text: fmt.Sprintf(format, args...)})
	}
	switch ended := state.Update.State; {
	case ended == rollout.Running, ended == rollout.None && len(r.Edits) == 0:
		report("state is %+v after %v", state.Update, w.Now)
	case ended == rollout.Succeeded && (strings.HasPrefix(r.Kind, "fails") || r.Kind == "slow") && state.Update.Version == newVersion:
		report("a version that %s has succeeded", r.Kind)
	case ended == rollout.RolledBack && r.Kind == "good" && len(r.Injections)+len(r.Edits) == 0:
		report("a good version was rolled back: %s", state.Status.Reason)
	}
	return violations
}

// RolloutEnds names the rule that each roll-out ends, and that a bad version does not succeed.
const RolloutEnds = "roll-out ends"

// rolloutKinds returns the names of badRollouts in a fixed order.
func rolloutKinds() []string { return slices.Sorted(maps.Keys(badRollouts)) }

// maxLateInjection is the maximum number of events between a step and a fault of a generated roll-out. It is about a second
// of the events of all nodes, or five times that once.
const maxLateInjection = 2000

// RolloutSequence returns the generated roll-out that belongs to a seed: any kind of version, up to three faults, and in
// every other one an order that is withdrawn, repeated or replaced, by the version in use or by one without upstreams.
func RolloutSequence(seed uint64) RolloutRun {
	rng := rand.New(rand.NewPCG(seed, 3))
	kinds, faults := rolloutKinds(), Faults()
	run := RolloutRun{Seed: seed, Kind: kinds[rng.IntN(len(kinds))]}
	for range rng.IntN(4) {
		run.Injections = append(run.Injections, RolloutInjection{
			Fault: faults[rng.IntN(len(faults))], Step: RolloutSteps[rng.IntN(len(RolloutSteps))], After: rng.IntN(2) * rng.IntN(maxLateInjection),
		})
	}
	for range rng.IntN(4) / 2 {
		version := []string{"", newVersion, oldVersion, unknownTarget}[rng.IntN(4)]
		run.Edits = append(run.Edits, RolloutEdit{time.Duration(rng.IntN(int(rolloutDuration))), version})
	}
	return run
}
