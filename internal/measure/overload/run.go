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
	// maxCalls bounds a phase of a run; four times the capacity for the longest phase are 46,080.
	maxCalls = 100_000
	// maxInFlight is above the places in all queues of an example, so that no call is skipped.
	maxInFlight = 8192
	clockTick   = 10 * time.Millisecond // of the times in /proc, on all platforms that Go runs on
)

// observed is what a run left behind.
type observed struct {
	scenario   scenario
	started    time.Time
	calls      []load.Call
	executions []backend.Execution // of the backend servers that run at the end
	verdict    load.Verdict
	skipped    int
	used       map[int]time.Duration
	cores      float64 // used by all processes but this one, during the measured phase
	ownCores   float64
	machine    string // load average
}

// phase returns begin and end of a phase.
func (o *observed) phase(index int) (from, to time.Time) {
	from = o.started
	for i := range index {
		from = from.Add(o.scenario.lengths[i])
	}
	return from, from.Add(o.scenario.lengths[index])
}

// run makes the calls of a scenario and collects the figures.
func (d *deployment) run(ctx context.Context, s scenario, seed uint64) (*result, error) {
	o := &observed{scenario: s, started: time.Now()}
	reports := make(chan load.Report, len(s.lengths))
	for i, total := range []float64{s.rest, s.factor, s.rest} {
		from, _ := o.phase(i)
		if err := fleet.Sleep(ctx, time.Until(from)); err != nil {
			return nil, err
		}
		o.noteUse(d, i)
		options := load.Options{
			Targets: d.targets(s), Specs: d.specs(s, total), Count: maxCalls, Duration: s.lengths[i],
			Seed: seed*10 + uint64(i), InFlight: maxInFlight,
		}
		go func() { reports <- load.Run(ctx, options) }()
		if err := d.disturb(ctx, s, i); err != nil {
			return nil, err
		}
	}
	for range s.lengths {
		report := <-reports
		o.calls = append(o.calls, report.Calls...)
		o.skipped += report.Skipped
	}
	if err := d.readLogs(ctx, o); err != nil {
		return nil, err
	}
	return d.judge(o), ctx.Err()
}

// disturb begins the fault of a scenario with the measured phase and ends it with the next.
func (d *deployment) disturb(ctx context.Context, s scenario, phase int) error {
	switch {
	case phase == 1 && s.begin != nil:
		return s.begin(ctx, d)
	case phase == 2 && s.end != nil:
		return s.end(ctx, d)
	}
	return nil
}

// targets returns where callers send calls: to all nodes, but not to those that are killed, whose callers
// could not tell what became of their calls whatever the system does.
func (d *deployment) targets(s scenario) []string {
	killed := map[int]bool{}
	if !s.keepTargets {
		for _, i := range d.third() {
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

// noteUse keeps the processor times at the begin of the measured phase and turns them into cores at its end. A
// process that was killed in between does not count.
func (o *observed) noteUse(d *deployment, phase int) {
	switch phase {
	case 1:
		o.used = processorTimes(d)
	case 2:
		length := o.scenario.lengths[1].Seconds()
		now := processorTimes(d)
		for id, before := range o.used {
			cores := (now[id] - before).Seconds() / length
			switch {
			case id == os.Getpid():
				o.ownCores = cores
			case now[id] > 0:
				o.cores += cores
			}
		}
		text, _ := os.ReadFile("/proc/loadavg") // empty when it cannot be read
		o.machine = strings.Join(strings.Fields(string(text))[:3], " ")
	}
}

// processorTimes returns what this process and those of a deployment have used, by process id.
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

// readLogs reads what the backend servers ran: their logs for the slot time, and their journals, which
// outlive a kill, for the comparison with the answers.
func (d *deployment) readLogs(ctx context.Context, o *observed) error {
	var addresses []string
	var journals []backend.Execution
	for _, p := range d.places {
		addresses = append(addresses, p.BackendAddress)
		lines, err := readJournal(d.journal(p))
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
			return nil, fmt.Errorf("%s: %q is no execution: %w", path, lines.Text(), err)
		}
		all = append(all, execution)
	}
	return all, lines.Err()
}
