package pump

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/invariant"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

const (
	rolloutRoutes = "[route look]\npath = /look\npool = desk\npriority = 1\nidempotent = yes\ntimeout = 1s\n" +
		"[route book]\npath = /book\npool = desk\npriority = 1\ntimeout = 1s\nkey_retention = 1s\n"
	rolloutPools    = "[pool desk]\nservice = desk\n"
	rolloutRate     = 200 // requests a second
	rolloutDuration = 12 * time.Second
)

// rolloutWorld is a world with six nodes beside upstreams of version v1 and three of v2, in three zones, and a steady
// load of requests at all nodes.
type rolloutWorld struct {
	*World
	executed  map[string]int // requests that began, by version
	afterEnd  map[string]int // the same after the roll-out has ended and 0.5 s have passed
	orderedAt time.Duration
	lastV1    time.Duration
	exposed   int // requests that began at v2 until the end of the order
	reached   int // requests that reached the service until then
	requests  int
	stop      bool
	keyed     bool // half of the requests have an idempotency key, and each key is sent twice within 4 s
}

func newRolloutWorld(t *testing.T, seed uint64) *rolloutWorld {
	t.Helper()
	w := &rolloutWorld{World: New(seed), executed: map[string]int{}, afterEnd: map[string]int{}, keyed: seed%4 == 2}
	w.Rollouts = rollout.Settings{Enabled: true, ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}
	w.Store.Apply(rolloutRoutes, rolloutPools)
	zones := []string{"Larvik", "Horten", "Vik"}
	for i := range 6 {
		w.AddVersion(reducer.NodeID(fmt.Sprint("a", i)), zones[i%3], "desk", "v1")
	}
	w.Run(3 * time.Second)
	if w.keyed { // longer than the retention of keys and the time for which changes of members count
		w.Run(40 * time.Second)
	}
	for i := range 3 {
		w.AddVersion(reducer.NodeID(fmt.Sprint("b", i)), zones[i], "desk", "v2")
	}
	w.OnExecution = func(n *Node) {
		version := n.Backend.Version
		w.executed[version]++
		if w.orderedAt > 0 && w.Now < w.orderedAt+rolloutDuration {
			w.reached++
			if version == "v2" {
				w.exposed++
			}
		}
		if state, ended := w.Store.Rollout("desk"); state.Update.State > rollout.Running && w.Now > ended+500*time.Millisecond {
			w.afterEnd[version]++
		}
		if version == "v1" {
			w.lastV1 = w.Now
		}
	}
	w.load()
	w.Run(w.Now + 3*time.Second)
	if w.executed["v2"] > 0 || w.executed["v1"] == 0 {
		t.Fatalf("before the order v2 got %d requests and v1 %d, expected 0 and some", w.executed["v2"], w.executed["v1"])
	}
	return w
}

// load sends a request to a random node, and the next one after 1/rolloutRate.
func (w *rolloutWorld) load() {
	if w.stop {
		return
	}
	nodes := w.Nodes()
	node := nodes[w.rng.IntN(len(nodes))]
	w.requests++
	request := invariant.Request{ID: fmt.Sprint("r", w.requests), Idempotent: w.requests%2 == 0}
	arrived := reducer.CallArrived{Host: "callers", Method: "POST", Path: []string{"/look", "/book"}[w.requests%2]}
	if w.keyed && !request.Idempotent {
		request.Key, arrived.FirstAttempt = fmt.Sprint("k", w.requests), true
		repeat := request
		repeat.ID += "-again"
		w.After(time.Duration(w.rng.IntN(4000))*time.Millisecond, func() {
			w.Request(nodes[w.rng.IntN(len(nodes))], repeat, reducer.CallArrived{Host: "callers", Method: "POST", Path: "/book"})
		})
	}
	w.Request(node, request, arrived)
	w.After(time.Second/rolloutRate, w.load)
}

func (w *rolloutWorld) order(version string) {
	if w.orderedAt == 0 {
		w.orderedAt = w.Now
	}
	w.Store.Order(rollout.Order{Service: "desk", Version: version, Duration: rolloutDuration})
}

// finish runs to a time after the order and checks the end and the bounds of the roll-out.
func (w *rolloutWorld) finish(t *testing.T, after time.Duration, want rollout.State) {
	t.Helper()
	w.Run(w.orderedAt + after)
	state, ended := w.Store.Rollout("desk")
	if state.Update.State != want {
		t.Fatalf("state is %v (%+v) after %v, expected %v", state.Update.State, state.Update, after, want)
	}
	t.Logf("%v after %v: %s; v2 got %d of %d requests", want, ended-w.orderedAt, state.Status.Reason, w.exposed, w.reached)
	w.Run(w.Now + 2*time.Second)
	switch want {
	case rollout.Succeeded:
		if w.lastV1 > ended || w.afterEnd["v2"] == 0 {
			t.Errorf("last request at v1 %v after the success, %d at v2 after it", w.lastV1-ended, w.afterEnd["v2"])
		}
	case rollout.RolledBack:
		if w.afterEnd["v2"] > 0 || w.afterEnd["v1"] == 0 {
			t.Errorf("after the roll-back v2 got %d requests and v1 %d, expected 0 and some", w.afterEnd["v2"], w.afterEnd["v1"])
		}
		if w.exposed > w.reached/10+50 {
			t.Errorf("v2 got %d of %d requests, expected at most a tenth and 50", w.exposed, w.reached)
		}
	}
}

// setVersion changes the backend servers of a version.
func (w *rolloutWorld) setVersion(version string, change func(*Backend)) {
	for _, n := range w.Nodes() {
		if n.Backend.Version == version {
			change(&n.Backend)
		}
	}
}

// Guards against a good version that does not get all traffic in time, and against a call to the old one after that.
func TestGoodVersionSucceeds(t *testing.T) {
	w := newRolloutWorld(t, 1)
	w.order("v2")
	w.finish(t, rolloutDuration, rollout.Succeeded)
	lost := 0
	for _, answer := range w.History.Answers {
		if answer.Outcome != reducer.OutcomeDone && answer.At > w.orderedAt-2900*time.Millisecond { // nodes that have just started are not ready
			lost++
			t.Log(answer.At-w.orderedAt, answer.Outcome, answer.Reason, answer.Request.ID)
		}
	}
	if lost > 0 {
		t.Errorf("%d requests of %d were not served", lost, w.requests)
	}
}

// Guards against a bad version that succeeds, gets more than its share, or gets requests after the roll-back.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, change := range map[string]func(*Backend){
		"fails":   func(b *Backend) { b.FailShare = 0.3 },
		"is slow": func(b *Backend) { b.ServiceTime *= 4 },
	} {
		t.Run(name, func(t *testing.T) {
			w := newRolloutWorld(t, 2)
			w.setVersion("v2", change)
			w.order("v2")
			w.finish(t, rolloutDuration, rollout.RolledBack)
		})
		t.Run(name+" later", func(t *testing.T) {
			w := newRolloutWorld(t, 3)
			w.order("v2")
			w.Run(w.Now + 7500*time.Millisecond)
			w.setVersion("v2", change)
			w.finish(t, rolloutDuration+time.Second, rollout.RolledBack)
		})
	}
}

// Guards against trouble of both versions that condemns the new one.
func TestTroubleOfBothVersionsCondemnsNeither(t *testing.T) {
	w := newRolloutWorld(t, 4)
	w.order("v2")
	w.After(3*time.Second, func() {
		for _, n := range w.Nodes() {
			n.Backend.FailShare = 0.2
		}
	})
	w.finish(t, rolloutDuration, rollout.Succeeded)
}

// Guards against a request with a key that runs at the old and at the new version, when the share changes between it and
// its repeat.
func TestKeysMoveBetweenVersionsWithoutSecondExecution(t *testing.T) {
	w := newRolloutWorld(t, 6)
	w.order("v2")
	w.finish(t, rolloutDuration, rollout.Succeeded)
	w.stop = true
	w.Run(w.Now + 6*time.Second)
	repeats := map[string]int{}
	for _, answer := range w.History.Answers {
		if strings.HasSuffix(answer.Request.ID, "-again") {
			repeats[answer.Outcome.String()]++
		}
	}
	t.Logf("repeats: %v", repeats)
	if repeats["done"] == 0 {
		t.Errorf("no repeat was answered: %v", repeats)
	}
	for _, violation := range w.CheckInvariants() {
		if violation.Invariant == invariant.AtMostOnce || violation.Invariant == invariant.NotRunIsTrue {
			t.Errorf("%+v", violation)
		}
	}
}

// Guards against calls to the store or messages of a component that is off, and against a choice of upstreams that then
// depends on versions.
func TestRolloutsAreOffWithoutSettings(t *testing.T) {
	w := New(7)
	w.Store.Apply(rolloutRoutes, rolloutPools)
	w.AddVersion("a", "Larvik", "desk", "v1")
	w.AddVersion("b", "Horten", "desk", "v2")
	w.Trace = func(_ *Node, _ reducer.Input, effects []reducer.Effect) {
		for _, effect := range effects {
			if name := fmt.Sprintf("%T", effect); strings.Contains(name, "Rollout") {
				t.Errorf("effect %s", name)
			}
			if send, ok := effect.(reducer.Send); ok && strings.Contains(fmt.Sprintf("%T", send.Message), "Rollout") {
				t.Errorf("message %T", send.Message)
			}
		}
	}
	served := map[string]int{}
	w.OnExecution = func(n *Node) { served[n.Backend.Version]++ }
	w.Run(3 * time.Second)
	for i := range 200 {
		w.Request(w.Nodes()[i%2], invariant.Request{ID: fmt.Sprint("r", i), Idempotent: true}, reducer.CallArrived{Host: "callers", Method: "POST", Path: "/look"})
		w.Run(w.Now + 10*time.Millisecond)
	}
	if served["v1"] == 0 || served["v2"] == 0 {
		t.Errorf("requests by version: %v", served)
	}
}

// sortedFaultNames returns the names of the faults in a fixed order.
func sortedFaultNames() []string { return slices.Sorted(maps.Keys(rolloutFaults)) }
