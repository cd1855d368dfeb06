package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
)

const (
	// maxCalls bounds the calls of a phase. The longest phase at four times the capacity has 46,080.
	maxCalls = 100_000
	// maxInFlight exceeds the length of all queues of an example together, so that no call is skipped.
	maxInFlight = 8192
	clockTick   = 10 * time.Millisecond // unit of processor times in /proc on all platforms that Go supports
)

// observation holds the calls, executions and resource use of a run.
type observation struct {
	scenario         scenario
	started          time.Time
	calls            []load.Call
	executions       []backend.Execution // of the backend servers that are running at the end
	verdict          load.Verdict
	skipped          int                   // calls not sent because too many were in flight
	processorAtStart map[int]time.Duration // processor time at the start of the measured phase, by process id
	childCores       float64               // used by the nodes and backend servers during the measured phase
	ownCores         float64               // used by this process during the measured phase
	loadAverage      string                // of the machine, at the end of the measured phase
}

// phaseBounds returns the start and the end of a phase.
func (o *observation) phaseBounds(index int) (from, to time.Time) {
	from = o.started
	for i := range index {
		from = from.Add(o.scenario.phaseDurations[i])
	}
	return from, from.Add(o.scenario.phaseDurations[index])
}

// run sends the calls of a scenario and returns its figures.
func (d *deployment) run(ctx context.Context, s scenario, seed uint64) (*result, error) {
	o := &observation{scenario: s, started: time.Now()}
	reports := make(chan load.Report, len(s.phaseDurations))
	for i, total := range []float64{s.baseLoad, s.loadFactor, s.baseLoad} {
		from, _ := o.phaseBounds(i)
		if err := fleet.Sleep(ctx, time.Until(from)); err != nil {
			return nil, err
		}
		o.recordProcessorUse(d, i)
		options := load.Options{
			Targets: d.callTargets(s), Specs: d.callSpecs(s, total), Count: maxCalls, Duration: s.phaseDurations[i],
			Seed: seed*10 + uint64(i), InFlight: maxInFlight,
		}
		go func() { reports <- load.Run(ctx, options) }()
		if err := d.applyFault(ctx, s, i); err != nil {
			return nil, err
		}
	}
	for range s.phaseDurations {
		report := <-reports
		o.calls = append(o.calls, report.Calls...)
		o.skipped += report.Skipped
	}
	if err := d.readLogs(ctx, o); err != nil {
		return nil, err
	}
	return d.computeResult(o), ctx.Err()
}

// applyFault begins the fault of a scenario when the measured phase begins and ends it when that phase ends.
func (d *deployment) applyFault(ctx context.Context, s scenario, phase int) error {
	switch {
	case phase == 1 && s.beginFault != nil:
		return s.beginFault(ctx, d)
	case phase == 2 && s.endFault != nil:
		return s.endFault(ctx, d)
	}
	return nil
}

// callTargets returns the addresses that callers use. Nodes that are killed are left out unless useAllNodes is
// set: a caller whose node dies cannot know the outcome of its call, whatever the system does.
func (d *deployment) callTargets(s scenario) []string {
	killed := map[int]bool{}
	if !s.useAllNodes {
		for _, i := range d.lastThird() {
			killed[i] = true
		}
	}
	var targets []string
	for i, p := range d.places {
		if !killed[i] {
			targets = append(targets, p.Callers)
		}
	}
	return targets
}

// recordProcessorUse stores the processor times at the start of the measured phase and computes the cores used at
// its end. Processes that have ended in between do not count.
func (o *observation) recordProcessorUse(d *deployment, phase int) {
	switch phase {
	case 1:
		o.processorAtStart = processorTimes(d)
	case 2:
		length := o.scenario.phaseDurations[1].Seconds()
		now := processorTimes(d)
		for id, before := range o.processorAtStart {
			cores := (now[id] - before).Seconds() / length
			switch {
			case id == os.Getpid():
				o.ownCores = cores
			case now[id] > 0:
				o.childCores += cores
			}
		}
		text, _ := os.ReadFile("/proc/loadavg") // empty when it cannot be read
		o.loadAverage = strings.Join(strings.Fields(string(text))[:3], " ")
	}
}

// processorTimes returns the processor time of this process and those of a deployment, by process id.
func processorTimes(d *deployment) map[int]time.Duration {
	times := map[int]time.Duration{os.Getpid(): processorTime(os.Getpid())}
	for _, p := range d.places {
		for _, child := range []*fleet.Process{p.Node, p.Backend} {
			if !child.HasEnded() {
				times[child.ID()] = processorTime(child.ID())
			}
		}
	}
	return times
}

// processorTime returns the user and system time of a process, and 0 if it cannot be read.
func processorTime(id int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

// readLogs reads the executions of the backend servers: from their journals, which survive a kill, to verify the
// answers, and from the running servers to compute slot times.
func (d *deployment) readLogs(ctx context.Context, o *observation) error {
	var addresses []string
	var journals []backend.Execution
	for _, p := range d.places {
		addresses = append(addresses, p.BackendAddress)
		lines, err := readJournal(d.journalPath(p))
		if err != nil {
			return err
		}
		journals = append(journals, lines...)
	}
	o.verdict = load.Verify(load.Report{Calls: o.calls}, journals)
	var err error
	o.executions, err = load.ReadExecutions(ctx, addresses)
	return err
}

func readJournal(path string) ([]backend.Execution, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var all []backend.Execution
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var execution backend.Execution
		if err := json.Unmarshal(lines.Bytes(), &execution); err != nil {
			return nil, fmt.Errorf("%s: line %q is not an execution: %w", path, lines.Text(), err)
		}
		all = append(all, execution)
	}
	return all, lines.Err()
}
