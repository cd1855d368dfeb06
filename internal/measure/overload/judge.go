package main

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	recoveryStep = 250 * time.Millisecond
	inTimeTarget = 0.99
	percent      = 100.0
)

// result holds the figures of a run.
type result struct {
	observation
	title string
	pools []poolResult
}

// poolResult holds the figures of a pool.
type poolResult struct {
	name                  string
	goodput               float64       // calls answered in time within the measured part, as a fraction of the capacity
	goodputOfBest         float64       // goodput divided by the best so far of the same scenario name
	recovery              time.Duration // from the end of the measured phase to the end of the last window with too many misses
	urgentRecovery        time.Duration
	priorities            []priorityResult
	recoveryWindows       []window // calls due after the measured phase
	urgentRecoveryWindows []window
	urgentMeasured        []window // most urgent priority in the whole measured phase, including its settle time
	callCapacity          float64  // calls that the pool can serve in the measured part
}

// priorityResult holds the figures of a route. No two routes of an example share both pool and priority.
type priorityResult struct {
	route         tables.Route
	calls, inTime int
	finished      int                     // calls answered in time within the measured part, regardless of when they were due
	latency       *hdrhistogram.Histogram // in microseconds, of the calls answered
	slotTime      time.Duration
	slotShare     float64        // of all slot time
	minShare      int            // percent
	failures      map[string]int // calls that are not done, by reason
	unknown, lost int
}

// window counts the calls that were due in one step of recoveryStep.
type window struct{ calls, inTime int }

func (w window) inTimeShare() float64 { return float64(w.inTime) / float64(max(w.calls, 1)) }

// isInTime reports whether the backend server answered a call successfully within the timeout of its route.
func isInTime(c load.Call, timeout time.Duration) bool {
	return c.Outcome == load.OutcomeDone && c.Status < 400 && c.Took <= timeout
}

// computeResult computes the figures of a run and updates the best goodput of each pool.
func (d *deployment) computeResult(o *observation) *result {
	r := &result{observation: *o, title: fmt.Sprintf("%s, %s, load %g", d.name, o.scenario.name, o.scenario.loadFactor)}
	slotTime := slotTimeByCall(o)
	for _, pool := range d.snapshot.Pools() {
		p := poolResult{name: pool.Name}
		slots := d.countUpstreams(pool.Service) * d.slots
		measured := o.scenario.phaseDurations[1] - o.scenario.settleTime
		p.callCapacity = float64(slots) * measured.Seconds() / d.service.Seconds()
		steps := int(o.scenario.phaseDurations[2] / recoveryStep)
		p.recoveryWindows, p.urgentRecoveryWindows = make([]window, steps), make([]window, steps)
		p.urgentMeasured = make([]window, int(o.scenario.phaseDurations[1]/recoveryStep))
		routes := d.routesOfPool(pool.Name)
		sort.Slice(routes, func(i, j int) bool { return routes[i].Priority < routes[j].Priority })
		for i, route := range routes {
			pr := p.collectRoute(o, route, i == 0, slotTime)
			pr.minShare = pool.MinShares[route.Priority]
			pr.slotShare = pr.slotTime.Seconds() / (float64(slots) * measured.Seconds())
			p.priorities = append(p.priorities, pr)
			p.goodput += float64(pr.finished) / p.callCapacity
		}
		p.recovery, p.urgentRecovery = computeRecovery(p.recoveryWindows), computeRecovery(p.urgentRecoveryWindows)
		key := fmt.Sprint(pool.Name, o.scenario.name)
		d.bestGoodput[key] = max(d.bestGoodput[key], p.goodput)
		p.goodputOfBest = p.goodput / d.bestGoodput[key]
		r.pools = append(r.pools, p)
	}
	return r
}

// slotTimeByCall returns the slot time of each call, by call id, within the measured part of a run.
func slotTimeByCall(o *observation) map[string]time.Duration {
	from, to := o.phaseBounds(1)
	from = from.Add(o.scenario.settleTime)
	times := map[string]time.Duration{}
	for _, e := range o.executions {
		times[e.ID] += overlap(e, from, to)
	}
	return times
}

// overlap returns how much of an execution lies between two times. An unfinished one counts up to the end.
func overlap(e backend.Execution, from, to time.Time) time.Duration {
	end := to
	if e.Finished != nil && e.Finished.Before(to) {
		end = *e.Finished
	}
	if e.Started.After(from) {
		from = e.Started
	}
	return max(end.Sub(from), 0)
}

// collectRoute returns the figures of a route and adds its calls to the windows of the pool. urgent marks the most
// urgent route.
func (p *poolResult) collectRoute(o *observation, route tables.Route, urgent bool, slotTime map[string]time.Duration) priorityResult {
	pr := priorityResult{route: route, failures: map[string]int{}, latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	begin, to := o.phaseBounds(1)
	from := begin.Add(o.scenario.settleTime)
	for _, c := range o.calls {
		if c.Route != route.Name {
			continue
		}
		pr.slotTime += slotTime[c.ID]
		ok := isInTime(c, route.Timeout)
		if end := c.Due.Add(c.Took); ok && !end.Before(from) && end.Before(to) {
			pr.finished++
		}
		if urgent && !c.Due.Before(begin) && c.Due.Before(to) {
			p.urgentMeasured[min(int(c.Due.Sub(begin)/recoveryStep), len(p.urgentMeasured)-1)].add(ok)
		}
		switch {
		case c.Due.Before(from):
		case c.Due.Before(to):
			pr.add(c, ok)
		default:
			index := min(int(c.Due.Sub(to)/recoveryStep), len(p.recoveryWindows)-1)
			p.recoveryWindows[index].add(ok)
			if urgent {
				p.urgentRecoveryWindows[index].add(ok)
			}
		}
	}
	return pr
}

func (w *window) add(inTime bool) {
	w.calls++
	if inTime {
		w.inTime++
	}
}

// add counts a call of the measured part of a run.
func (pr *priorityResult) add(c load.Call, inTime bool) {
	pr.calls++
	if inTime {
		pr.inTime++
	}
	switch c.Outcome {
	case load.OutcomeDone:
		_ = pr.latency.RecordValue(c.Took.Microseconds()) // fails only above a minute, which exceeds every timeout
	case load.OutcomeNotRun:
		pr.failures[failureReason(c)]++
	case load.OutcomeUnknown:
		pr.unknown++
		pr.failures["unknown:"+failureReason(c)]++
	default:
		pr.lost++
		pr.failures[c.Outcome]++
	}
}

// failureReason returns the reason in the body of the answer to a call that is not done, or none if it has no reason.
func failureReason(c load.Call) string {
	var body struct {
		Reason string `json:"reason"`
	}
	if json.Unmarshal([]byte(c.Problem), &body) != nil || body.Reason == "" {
		return "none"
	}
	return body.Reason
}

// computeRecovery returns the end of the last window in which the share of calls in time was below the target.
func computeRecovery(windows []window) time.Duration {
	last := time.Duration(0)
	for i, w := range windows {
		if w.calls > 0 && w.inTimeShare() < inTimeTarget {
			last = time.Duration(i+1) * recoveryStep
		}
	}
	return last
}

// write prints the figures of a run.
func (r *result) write(w io.Writer) {
	fmt.Fprintf(w, "\n== %s (load average %s, cores %.2f by the system and stand-ins and %.2f by the callers)\n", r.title, r.loadAverage, r.childCores, r.ownCores)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "pool\tpriority\tcalls\tin time %\tp50 ms\tp99 ms\tslot time %\tminimum %\tunknown\trefused")
	for _, p := range r.pools {
		for _, pr := range p.priorities {
			fmt.Fprintf(t, "%s\tp%d\t%d\t%.1f\t%.0f\t%.0f\t%.1f\t%d\t%d\t%s\n", p.name, pr.route.Priority, pr.calls,
				percent*float64(pr.inTime)/float64(max(pr.calls, 1)), millis(pr.latency, 50), millis(pr.latency, 99),
				percent*pr.slotShare, pr.minShare, pr.unknown, formatReasons(pr.failures))
		}
	}
	_ = t.Flush() // fails only when the output is closed
	for _, p := range r.pools {
		fmt.Fprintf(w, "%s: goodput %.3f, %.3f of the best so far; in time again after %v, the most urgent priority after %v\n",
			p.name, p.goodput, p.goodputOfBest, p.recovery, p.urgentRecovery)
		if r.scenario.beginFault != nil {
			fmt.Fprintf(w, "%s: late or refused calls of the most urgent priority in steps of %v: %s\n", p.name, recoveryStep, formatMisses(p.urgentMeasured))
		}
	}
	fmt.Fprintf(w, "%d calls, %d executions, run twice %d, done without execution %d, false not_run %d, skipped %d\n", r.verdict.Calls,
		r.verdict.Executions, len(r.verdict.RunTwice), len(r.verdict.DoneNotExecuted), len(r.verdict.NotRunExecuted), r.skipped)
}

// millis returns a percentile, in milliseconds, of a histogram of microseconds.
func millis(h *hdrhistogram.Histogram, at float64) float64 {
	return float64(h.ValueAtQuantile(at)) / 1000
}

// formatReasons lists counts by reason, highest first.
func formatReasons(counts map[string]int) string {
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return counts[names[i]] > counts[names[j]] })
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	return strings.Join(names, ", ")
}

// formatMisses lists the number of calls that were not in time, by window.
func formatMisses(windows []window) string {
	counts := make([]string, len(windows))
	for i, w := range windows {
		counts[i] = fmt.Sprint(w.calls - w.inTime)
	}
	return strings.Join(counts, " ")
}
