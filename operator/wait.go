package operator

import (
	"fmt"
	"sort"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/operator/nodestatus"
)

// pollInterval is the pause between two rounds of status queries. With 960 nodes a round takes 960 short requests, so
// a shorter pause would add load for little gain.
const pollInterval = 250 * time.Millisecond

// Wait is the machine that waits until a version is active on all live members.
type Wait struct {
	version uint64
	nodes   []string
	timeout time.Duration
	lagging []LaggingMember
}

// NewWait returns a machine that waits for a version, at most for the timeout. It discovers the members from the nodes
// at the given operator addresses.
func NewWait(version uint64, nodes []string, timeout time.Duration) *Wait {
	return &Wait{version: version, nodes: nodes, timeout: timeout}
}

// Reduce implements Machine.
func (w *Wait) Reduce(event Event) []Effect {
	switch event := event.(type) {
	case Started:
		return []Effect{QueryNodes{Addresses: w.nodes, Discover: true}}
	case NodesQueried:
		return w.handleNodesQueried(event)
	case Paused:
		if event.Interrupted || event.Elapsed >= w.timeout {
			return w.finishTimeout(event.Elapsed)
		}
		return []Effect{QueryNodes{Addresses: w.nodes, Discover: true}}
	}
	panic(fmt.Sprintf("operator: event %T does not belong to a wait", event))
}

func (w *Wait) handleNodesQueried(event NodesQueried) []Effect {
	var upToDate int
	w.lagging, upToDate = findLagging(w.version, event.Answers)
	switch {
	case len(w.lagging) == 0 && upToDate > 0:
		return []Effect{Finish{Result{
			Outcome: Done, Version: w.version, Members: upToDate, ElapsedMs: event.Elapsed.Milliseconds(),
		}}}
	case event.Elapsed >= w.timeout:
		return w.finishTimeout(event.Elapsed)
	default:
		return []Effect{Pause{min(pollInterval, w.timeout-event.Elapsed)}}
	}
}

func (w *Wait) finishTimeout(elapsed time.Duration) []Effect {
	return []Effect{Finish{Result{
		Outcome: Timeout, Version: w.version, Lagging: w.lagging, ElapsedMs: elapsed.Milliseconds(),
		Problem: fmt.Sprintf("version %d is not active on %d live members after %v", w.version, len(w.lagging), elapsed.Round(time.Millisecond)),
	}}}
}

// findLagging returns the live members that do not have a version, ordered by address, and the number of live members
// that have it. A queried node that is in no member table counts as live, because there is no evidence that it left.
func findLagging(version uint64, answers []NodeAnswer) ([]LaggingMember, int) {
	members := mergeMembers(answers)
	byAddress := map[string]nodestatus.Member{}
	for _, member := range members {
		byAddress[member.Operator] = member
	}
	var out []LaggingMember
	upToDate := 0
	queried := map[string]bool{}
	for _, answer := range answers {
		queried[answer.Address] = true
		member, known := byAddress[answer.Address]
		switch {
		case answer.Problem == "" && (answer.Status.Leaving || known && !member.IsLive()):
		case answer.Problem == "" && answer.Status.Version.Number >= version:
			upToDate++
		case answer.Problem == "":
			out = append(out, LaggingMember{Node: answer.Status.Node, Address: answer.Address, Version: answer.Status.Version.Number})
		case !known || member.IsLive():
			out = append(out, LaggingMember{Node: member.Node, Address: answer.Address, Problem: answer.Problem})
		}
	}
	for _, member := range members {
		if member.IsLive() && !queried[member.Operator] {
			out = append(out, LaggingMember{Node: member.Node, Address: member.Operator, Problem: "was not asked"})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out, upToDate
}
