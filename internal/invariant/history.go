// Package invariant checks the invariants of the system against the recorded history of a test run. Every test that
// simulates nodes records a History and ends with Check.
package invariant

import (
	"fmt"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Names of the invariants, with their numbers in docs/design.md.
const (
	NeverOlder       = "I1 never an older version"
	RoutesHavePools  = "I2 no route without its pool"
	NeverInvalid     = "I3 no invalid version"
	WholeAnswer      = "I4 whole answer to its own request"
	NotRunIsTrue     = "I5 not_run is true"
	AtMostOnce       = "I6 at most once"
	NoWorkAfterDrain = "I7 no new work after draining"
	GracefulStop     = "I8 graceful stop cuts no request"
	ActiveEverywhere = "I9 accepted version active everywhere"
	NoWorkForLost    = "I10 no work for callers that left"
)

// Names returns the names of the invariants that Check checks.
func Names() []string {
	return []string{
		NeverOlder, RoutesHavePools, NeverInvalid, WholeAnswer, NotRunIsTrue, AtMostOnce, NoWorkAfterDrain,
		GracefulStop, ActiveEverywhere, NoWorkForLost, Exposure, NoReplacedCalls, NoUnorderedCalls,
	}
}

// DrainGracePeriod is the time in which a backend server may still get new requests after it has registered as draining
// or deregistered.
const DrainGracePeriod = 3 * time.Second

// leaveNotice is the time after which no request of a caller that has left may start, unless the run was disrupted.
const leaveNotice = 500 * time.Millisecond

// Request identifies a request of a caller.
type Request struct {
	ID         string
	Key        string // idempotency key; requests with the same key count as one
	Idempotent bool
}

// identity returns what at-most-once applies to: the idempotency key if there is one, otherwise the request.
func (r Request) identity() string {
	if r.Key != "" {
		return "key " + r.Key
	}
	return r.ID
}

// Execution records that a backend server started a request.
type Execution struct {
	Request Request
	Node    reducer.NodeID
	At      time.Duration
	From    reducer.NodeID // the node that sent it, which may be Node
	Service string
	Version string        // of the backend server; empty if it states none
	BadAt   time.Duration // when its response failed or was slow, 0 if it was neither
}

// Answer records the answer to a caller.
type Answer struct {
	Request  Request
	Outcome  reducer.Outcome
	Reason   reducer.Reason
	Complete bool    // the response was not truncated
	Response Request // the request that produced the response, when the outcome is done
	At       time.Duration
}

// Activation records that a node made a version active.
type Activation struct {
	Node        reducer.NodeID
	Incarnation reducer.Incarnation
	Snapshot    *tables.Snapshot
	At          time.Duration
}

// History records what was observed during a run. The zero value is ready to use.
type History struct {
	Requests         []Request
	Executions       []Execution
	Answers          []Answer
	Activations      []Activation
	Accepted         []tables.Document                   // valid documents that were written to the store
	DrainingSince    map[reducer.NodeID]time.Duration    // when the backend server started to drain or deregistered
	LeftAt           map[string]time.Duration            // when the caller of a request left, by id
	CutByKill        []string                            // ids of the requests that arrived late in a graceful shutdown and were open at its end
	InProgressAtStop map[reducer.NodeID][]string         // ids of the requests in progress when a graceful shutdown began
	FinalVersions    map[reducer.NodeID]tables.VersionID // active versions of the running nodes at the end
	ExpectedVersion  tables.VersionID                    // the version that must be active at the end
	Rollouts         Rollouts
	// AbortedByStop lists the ids of requests that still ran at a node when its graceful shutdown ended the process.
	AbortedByStop []string
	// Disconnected has the ids of the requests whose caller lost its connection to the node. They get no answer.
	Disconnected map[string]bool
	// Disrupted is set once a process was killed or paused, or a connection failed. An outcome may then be unknown for
	// that reason, also during a graceful shutdown.
	Disrupted bool
}

// Violation is a violated invariant.
type Violation struct {
	Invariant string
	Text      string
}

func (v Violation) String() string { return v.Invariant + ": " + v.Text }

// Check returns all violations in the history of a run.
func Check(h *History) []Violation {
	var c checker
	for _, check := range []func(*History){
		c.checkVersionOrder, c.checkSnapshots, c.checkAnswers, c.checkNotRun, c.checkAtMostOnce,
		c.checkDraining, c.checkGracefulStops, c.checkConvergence, c.checkLostCallers, c.checkRollouts,
	} {
		check(h)
	}
	return c.violations
}

type checker struct {
	violations []Violation
}

func (c *checker) report(invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

// checkVersionOrder checks that a node activates only newer versions. After a restart it may activate the version of
// its earlier incarnation again, but no older one.
func (c *checker) checkVersionOrder(h *History) {
	active := map[reducer.NodeID]Activation{}
	for _, a := range h.Activations {
		before, ok := active[a.Node]
		active[a.Node] = a
		if !ok {
			continue
		}
		held, id := before.Snapshot.ID(), a.Snapshot.ID()
		restarted := a.Incarnation != before.Incarnation
		if held.IsNewerThan(id) || !restarted && !id.IsNewerThan(held) {
			c.report(NeverOlder, "node %s went from version %d to %d, restarted %v", a.Node, held.Number, id.Number, restarted)
		}
	}
}

// checkSnapshots checks that all active versions were accepted and contain the pools of their routes.
func (c *checker) checkSnapshots(h *History) {
	accepted := map[tables.VersionID]bool{}
	for _, d := range h.Accepted {
		accepted[d.ID()] = true
	}
	for _, a := range h.Activations {
		if !accepted[a.Snapshot.ID()] {
			c.report(NeverInvalid, "node %s activated version %d, which was not accepted", a.Node, a.Snapshot.ID().Number)
		}
		for _, route := range a.Snapshot.Routes() {
			if _, ok := a.Snapshot.Pool(route.Pool); !ok {
				c.report(RoutesHavePools, "node %s has route %s without pool %s", a.Node, route.Name, route.Pool)
			}
		}
	}
}

// checkAnswers checks that each request of a connected caller is answered, none is answered twice, and each response is
// complete and belongs to the request.
func (c *checker) checkAnswers(h *History) {
	answered := map[string]bool{}
	for _, a := range h.Answers {
		if answered[a.Request.ID] {
			c.report(WholeAnswer, "request %s was answered twice", a.Request.ID)
		}
		answered[a.Request.ID] = true
		if a.Outcome != reducer.OutcomeDone {
			continue
		}
		if !a.Complete || a.Response.identity() != a.Request.identity() {
			c.report(WholeAnswer, "request %s got the response of %q, complete %v", a.Request.ID, a.Response.ID, a.Complete)
		}
	}
	for _, r := range h.Requests {
		if !answered[r.ID] && !h.Disconnected[r.ID] {
			c.report(WholeAnswer, "request %s has no answer", r.ID)
		}
	}
}

// checkNotRun checks that no request answered not_run was run, neither before the answer nor after it.
func (c *checker) checkNotRun(h *History) {
	ran := map[string]bool{}
	first := map[string]time.Duration{}
	for _, e := range h.Executions {
		id := e.Request.identity()
		if !ran[id] {
			first[id] = e.At
		}
		ran[id] = true
	}
	for _, a := range h.Answers {
		if a.Outcome != reducer.OutcomeNotRun || !ran[a.Request.identity()] {
			continue
		}
		// A later request with the same key may run: not_run covers only the time before the answer.
		if a.Request.Key != "" && first[a.Request.identity()] > a.At && countExecutions(h, a.Request.ID) == 0 {
			continue
		}
		c.report(NotRunIsTrue, "request %s was answered not_run (%v) and ran", a.Request.ID, a.Reason)
	}
}

func countExecutions(h *History, request string) int {
	count := 0
	for _, e := range h.Executions {
		if e.Request.ID == request {
			count++
		}
	}
	return count
}

// checkAtMostOnce checks that no non-idempotent request was run twice.
func (c *checker) checkAtMostOnce(h *History) {
	count := map[string]int{}
	for _, e := range h.Executions {
		if e.Request.Idempotent {
			continue
		}
		id := e.Request.identity()
		count[id]++
		if count[id] == 2 {
			c.report(AtMostOnce, "request %s ran twice, the second time at %s", id, e.Node)
		}
	}
}

// checkDraining checks that no request starts at a draining backend server after the DrainGracePeriod.
func (c *checker) checkDraining(h *History) {
	for _, e := range h.Executions {
		if since, ok := h.DrainingSince[e.Node]; ok && e.At > since+DrainGracePeriod {
			c.report(NoWorkAfterDrain, "request %s started at %s %v after draining began", e.Request.ID, e.Node, e.At-since)
		}
	}
}

// checkLostCallers checks that no request starts later than leaveNotice after its caller has left. A node that was paused or
// cut off meanwhile cannot know.
func (c *checker) checkLostCallers(h *History) {
	for _, e := range h.Executions {
		if left, ok := h.LeftAt[e.Request.ID]; ok && e.At > left+leaveNotice && !h.Disrupted {
			c.report(NoWorkForLost, "request %s started at %s %v after its caller left", e.Request.ID, e.Node, e.At-left)
		}
	}
}

// checkGracefulStops checks that requests in progress at the start of a graceful shutdown are answered, and that their
// outcome is known unless the run was disrupted.
func (c *checker) checkGracefulStops(h *History) {
	answers := map[string]Answer{}
	for _, a := range h.Answers {
		answers[a.Request.ID] = a
	}
	for _, id := range h.AbortedByStop {
		c.report(GracefulStop, "request %s was still running when the process ended", id)
	}
	for _, id := range h.CutByKill {
		c.report(GracefulStop, "request %s was accepted late in a graceful shutdown and cut at its end", id)
	}
	for node, requests := range h.InProgressAtStop {
		for _, id := range requests {
			a, ok := answers[id]
			// A caller that has disconnected gets no outcome. A repeat with a key that finds no upstream is unknown,
			// whether the node stops or not.
			allowed := a.Reason == reducer.ReasonDeadline || a.Reason == reducer.ReasonNoUpstream || h.Disconnected[id]
			unknown := a.Outcome == reducer.OutcomeUnknown && !allowed
			if !ok && !h.Disconnected[id] || unknown && !h.Disrupted {
				c.report(GracefulStop, "request %s was lost in the graceful shutdown of %s: answered %v, outcome %v, reason %v", id, node, ok, a.Outcome, a.Reason)
			}
		}
	}
}

// checkConvergence checks that all running nodes have ExpectedVersion active. When the store has failed to enforce
// compare-and-swap, two accepted documents can have the same number. Neither replaces the other on a node, so both are
// allowed.
func (c *checker) checkConvergence(h *History) {
	contents := map[string]bool{}
	for _, d := range h.Accepted {
		if d.Version == h.ExpectedVersion.Number {
			contents[d.Hash] = true
		}
	}
	for node, id := range h.FinalVersions {
		conflict := id.Number == h.ExpectedVersion.Number && len(contents) > 1 && contents[id.Hash]
		if h.ExpectedVersion.Number > 0 && id != h.ExpectedVersion && !conflict {
			c.report(ActiveEverywhere, "node %s has version %d active, expected %d", node, id.Number, h.ExpectedVersion.Number)
		}
	}
}
