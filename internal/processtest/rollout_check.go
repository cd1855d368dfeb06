package processtest

import (
	"fmt"
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

// Bounds of a roll-out, as the settings of the nodes state them by default.
const (
	exposureShare = 0.1
	exposureSlack = 50
	rollbackBound = 5 * time.Second
	// rolledBackGrace is how long after the status "rolled_back" calls that were sent before it may still arrive.
	rolledBackGrace = 500 * time.Millisecond
)

// window is a time in which calls may fail because of a fault of the test case. The zero value contains no time.
type window struct{ from, to time.Time }

func (w window) contains(t time.Time) bool { return !t.Before(w.from) && t.Before(w.to) }
func (w window) length() time.Duration     { return w.to.Sub(w.from) }

// rollOutObservation is what callers, backend servers and the store observed of a roll-out. Nothing in it comes from the
// nodes' logs.
type rollOutObservation struct {
	isGood   bool // the new version has no defect
	ordered  time.Time
	duration time.Duration
	outage   window   // of the store, until it answered again
	faults   []window // in which calls may end without being done
	restarts []window // in which calls may be refused as not run, because a node was stopped and started again
	killed   []string // callers' addresses of the nodes that were killed
	statuses []rollOutStatus
	old, new []backend.Execution // at the upstreams of both versions
	report   load.Report
}

// rollOutMeasurement holds the figures of a roll-out.
type rollOutMeasurement struct {
	state         string        // that it ended with; empty if it did not end
	took          time.Duration // from the order to the end
	exposed       int           // requests at the new version until the end of the order
	requests      int           // requests of the service until then
	bad           int           // bad responses of the new version
	fiftiethToEnd time.Duration // from the 50th bad response to the last request that reached the new version; 0 if there were fewer
}

func (m rollOutMeasurement) share() float64 { return float64(m.exposed) / float64(max(m.requests, 1)) }

func (m rollOutMeasurement) String() string {
	return fmt.Sprintf("%s after %.1f s, exposed %d of %d (%.3f), %d bad responses, last request %.2f s after the 50th",
		m.state, m.took.Seconds(), m.exposed, m.requests, m.share(), m.bad, m.fiftiethToEnd.Seconds())
}

// end returns the first status that ended the roll-out.
func (o *rollOutObservation) end() (rollOutStatus, bool) {
	i := slices.IndexFunc(o.statuses, rollOutStatus.hasEnded)
	if i < 0 {
		return rollOutStatus{}, false
	}
	return o.statuses[i], true
}

func (o *rollOutObservation) measure() rollOutMeasurement {
	var m rollOutMeasurement
	if end, ok := o.end(); ok {
		m.state, m.took = end.State, end.at.Sub(o.ordered)
	}
	order := window{o.ordered, o.ordered.Add(o.duration)}
	var last time.Time
	for _, run := range o.new {
		if order.contains(run.Started) {
			m.exposed++
		}
		if run.Started.After(last) {
			last = run.Started
		}
	}
	m.requests = m.exposed
	for _, run := range o.old {
		if order.contains(run.Started) {
			m.requests++
		}
	}
	bad := o.badResponses()
	if m.bad = len(bad); m.bad >= exposureSlack {
		m.fiftiethToEnd = max(0, last.Sub(bad[exposureSlack-1]))
	}
	return m
}

// badResponses returns when bad responses of the new version were sent, in order.
func (o *rollOutObservation) badResponses() []time.Time {
	var sent []time.Time
	for _, run := range o.new {
		if run.Bad && run.Finished != nil && !run.Cancelled {
			sent = append(sent, *run.Finished)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

// violations returns what the roll-out broke, one line each.
func (o *rollOutObservation) violations() []string {
	return slices.Concat(o.checkEnd(), o.checkExposure(), o.checkVersions(), o.checkAnswers())
}

// checkEnd checks the result of the roll-out and its time.
func (o *rollOutObservation) checkEnd() []string {
	expected := "rolled_back"
	if o.isGood {
		expected = "succeeded"
	}
	end, ended := o.end()
	var found []string
	switch late := end.at.Sub(o.ordered) - o.duration - o.outage.length(); {
	case !ended:
		return []string{"the roll-out did not end"}
	case end.State != expected:
		found = append(found, fmt.Sprintf("ended as %s (%s), expected %s", end.State, end.Reason, expected))
	case late > 0:
		found = append(found, fmt.Sprintf("ended %v after the end of the order (%v and an outage of %v)", late, o.duration, o.outage.length()))
	}
	for _, status := range o.statuses {
		if status.at.After(end.at) && status.State != end.State {
			found = append(found, fmt.Sprintf("%s follows %s", status.State, end.State))
		}
	}
	return found
}

// checkExposure checks what a bad version received.
func (o *rollOutObservation) checkExposure() []string {
	if o.isGood {
		return nil
	}
	var found []string
	if m := o.measure(); float64(m.exposed) > exposureShare*float64(m.requests)+exposureSlack {
		found = append(found, fmt.Sprintf("EXPOSURE: the new version received %d of %d requests", m.exposed, m.requests))
	}
	bad := o.badResponses()
	if len(bad) < exposureSlack {
		return found
	}
	limit := bad[exposureSlack-1].Add(rollbackBound)
	if o.outage.length() > 0 && o.outage.from.Before(limit) {
		limit = latest(limit, o.outage.to.Add(rollbackBound))
	}
	if late := startedAfter(o.new, limit); late > 0 {
		found = append(found, fmt.Sprintf("EXPOSURE: %d requests reached the new version later than %v after its 50th bad response", late, rollbackBound))
	}
	return found
}

// checkVersions checks that no version received requests that the order did not allow.
func (o *rollOutObservation) checkVersions() []string {
	var found []string
	for _, run := range o.new {
		if run.Started.Before(o.ordered) {
			found = append(found, fmt.Sprintf("%s ran at the new version %v before the order", run.ID, o.ordered.Sub(run.Started)))
		}
	}
	end, _ := o.end()
	switch end.State {
	case "succeeded":
		if late := startedAfter(o.old, end.at); late > 0 {
			found = append(found, fmt.Sprintf("%d requests reached the old version after the success", late))
		}
		for _, run := range o.old {
			if run.Started.Before(end.at) && (run.Finished == nil || run.Finished.After(end.at)) {
				found = append(found, fmt.Sprintf("%s was in progress at the old version at the success", run.ID))
			}
		}
	case "rolled_back":
		if late := startedAfter(o.new, end.at.Add(rolledBackGrace)); late > 0 {
			found = append(found, fmt.Sprintf("%d requests reached the new version after it was rolled back", late))
		}
	}
	return found
}

// checkAnswers checks that each request got exactly its response, and that no refusal was false.
func (o *rollOutObservation) checkAnswers() []string {
	var found []string
	verdict := load.Verify(o.report, slices.Concat(o.old, o.new))
	for what, ids := range map[string][]string{
		"not idempotent and run twice": verdict.RunTwice, "done without execution": verdict.DoneNotExecuted, "false not_run": verdict.NotRunExecuted,
	} {
		if len(ids) > 0 {
			found = append(found, fmt.Sprintf("%s: %v", what, ids))
		}
	}
	for _, call := range o.report.Calls {
		if !o.mayEnd(call) {
			found = append(found, fmt.Sprintf("%s at %s, due %v after the order, ended after %v as %s with status %d: %s",
				call.ID, call.Target, call.Due.Sub(o.ordered), call.Took, call.Outcome, call.Status, call.Problem))
		}
	}
	return found
}

// mayEnd reports whether a call may have ended as it did. Without a fault each is done, and with status 200 unless the new
// version is bad. A call that entered at a node which was killed may be lost.
func (o *rollOutObservation) mayEnd(call load.Call) bool {
	isWithin := func(w window) bool { return w.contains(call.Due) }
	disturbed := slices.ContainsFunc(o.faults, isWithin)
	switch call.Outcome {
	case load.OutcomeDone:
		return call.Status == 200 || !o.isGood || disturbed
	case load.OutcomeNotRun:
		return disturbed || slices.ContainsFunc(o.restarts, isWithin)
	case load.OutcomeUnknown:
		return disturbed
	case load.OutcomeLost:
		return disturbed && slices.Contains(o.killed, call.Target)
	default:
		return false
	}
}

// startedAfter returns the number of executions that began after a time.
func startedAfter(runs []backend.Execution, after time.Time) int {
	count := 0
	for _, run := range runs {
		if run.Started.After(after) {
			count++
		}
	}
	return count
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
