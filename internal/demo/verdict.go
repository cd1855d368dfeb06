package main

import (
	"fmt"
	"io"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

// activationLimit is the target for the time until a new version is active on all live nodes (section 1.3 of the design
// page).
const activationLimit = 7 * time.Second

// activation is the time from the start of the write of a version until rosemaryhatchctl reported it active on all live
// members.
type activation struct {
	version uint64
	took    time.Duration
}

// observation holds the results of a demo run.
type observation struct {
	features    []feature
	activations []activation
	stopErr     error // how the node ended that was stopped gracefully; nil if cleanly
	report      load.Report
	verdict     load.Verdict
}

// countLost returns the number of calls whose caller got no complete answer to its own request.
func (o observation) countLost() int {
	return o.report.Count(load.OutcomeLost) + o.report.Count(load.OutcomeRefused) + o.report.Count(load.OutcomeInvalid)
}

// brokenPromises returns a description of each promise that was not kept.
func (o observation) brokenPromises() []string {
	var out []string
	for _, f := range o.features {
		if f.fault != "" {
			out = append(out, f.fault)
		}
	}
	for _, a := range o.activations {
		if a.took > activationLimit {
			out = append(out, fmt.Sprintf("version %d took %v to be active everywhere, at most %v is allowed", a.version, a.took, activationLimit))
		}
	}
	if o.stopErr != nil {
		out = append(out, fmt.Sprintf("planned stop did not end cleanly: %v", o.stopErr))
	}
	for _, count := range []struct {
		number int
		what   string
	}{
		{len(o.verdict.RunTwice), "non-idempotent calls run twice"},
		{len(o.verdict.DoneNotExecuted), "calls answered done but not executed"},
		{len(o.verdict.NotRunExecuted), "false not_run: calls answered not_run but executed"},
		{o.countLost(), "answers lost"},
		{o.report.Count(load.OutcomeCrossed), "answers crossed or corrupted"},
	} {
		if count.number > 0 {
			out = append(out, fmt.Sprintf("%d %s", count.number, count.what))
		}
	}
	if o.report.Count(load.OutcomeDone) == 0 {
		out = append(out, "no call was done")
	}
	return out
}

// write prints the results and the broken promises.
func (o observation) write(w io.Writer) {
	fmt.Fprintln(w)
	for _, f := range o.features {
		fmt.Fprintln(w, f.seen)
	}
	for _, a := range o.activations {
		fmt.Fprintf(w, "version %d active everywhere after %v\n", a.version, a.took.Round(time.Millisecond))
	}
	o.report.Write(w)
	fmt.Fprintf(w, "executions %d, run twice %d, answers lost %d, crossed %d, false not_run %d, done without execution %d\n",
		o.verdict.Executions, len(o.verdict.RunTwice), o.countLost(), o.report.Count(load.OutcomeCrossed),
		len(o.verdict.NotRunExecuted), len(o.verdict.DoneNotExecuted))
	for _, promise := range o.brokenPromises() {
		fmt.Fprintln(w, "BROKEN:", promise)
	}
}
