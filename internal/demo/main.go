// Command demo runs the system on one machine. It builds the programs, starts a platform stand-in, 4 nodes in two
// availability zones and their backend servers as processes on loopback addresses, shows a download, a traffic split and a
// pipelined connection, edits the tables under load, stops one node gracefully, kills another, and compares the answers to callers with the executions of the backend servers. It exits
// with 1 if a promise was broken or a step failed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/samber/oops"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/operator"
)

const (
	// demoTimeout bounds the duration of the demo without the build.
	demoTimeout = 55 * time.Second
	// readyTimeout bounds the wait until every node sees all upstreams as ready.
	readyTimeout = 15 * time.Second
	// waitTimeout bounds the wait for a version. It is above the target of 7 s, so that the delay of a late version is
	// measured.
	waitTimeout  = 12 * time.Second
	loadDuration = 18 * time.Second
	loadCount    = 20_000
	loadSeed     = 7
	// undisturbedTime is how long calls run undisturbed before each edit, stop or kill.
	undisturbedTime = 2 * time.Second
	// stopTimeout bounds the planned stop, which takes up to the lame duck time of 2 s plus the shutdown timeout of 10 s.
	stopTimeout = 14 * time.Second
)

func main() { os.Exit(run()) }

// demo holds the processes and the results of a run.
type demo struct {
	processes fleet.Processes
	directory string
	platform  string
	places    []*fleet.Place
	observed  observation
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	directory, err := os.MkdirTemp("", "rosemaryhatch-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	d := &demo{directory: directory, processes: fleet.Processes{Directory: directory}}
	err = d.runSteps(ctx)
	d.processes.Stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || len(d.observed.brokenPromises()) > 0 {
		fmt.Fprintln(os.Stderr, "demo: logs and tables are in", directory)
		return 1
	}
	fmt.Println("all promises kept")
	_ = os.RemoveAll(directory) // files that cannot be removed stay in the system's temporary directory
	return 0
}

// runSteps builds the programs and runs the steps of the demo in order.
func (d *demo) runSteps(ctx context.Context) error {
	d.logf("building the programs")
	if _, err := fleet.RunTool(ctx, "go", "build", "-o", d.directory+string(filepath.Separator),
		"./cmd/rosemaryhatch-node", "./cmd/rosemaryhatchctl", "./cmd/rosemaryhatch-standin"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{d.startFleet, d.observeTraffic, d.injectFaults, d.verify} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.observed.write(os.Stdout)
	return nil
}

func (d *demo) logf(format string, args ...any) {
	fmt.Printf("%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (d *demo) program(name string) string { return filepath.Join(d.directory, name) }

// startFleet starts the platform, writes version 1 of the tables, starts the nodes and backend servers, and waits until
// they are ready.
func (d *demo) startFleet(ctx context.Context) error {
	var err error
	if d.places, d.platform, err = newPlaces(); err != nil {
		return err
	}
	if _, err = d.processes.Start("platform", d.program("rosemaryhatch-standin"), "platform", "--listen", d.platform); err != nil {
		return err
	}
	if err = fleet.AwaitListener(ctx, d.platform); err != nil {
		return err
	}
	if err = d.apply(ctx, 0); err != nil {
		return err
	}
	for i, p := range d.places {
		err = d.processes.StartPlace(ctx, p, d.directory, fleet.NodeSettings(p, d.places, d.platform),
			"--service-time", "5ms", "--distribution", "exponential", "--seed", fmt.Sprint(i+1))
		if err != nil {
			return err
		}
	}
	d.logf("platform, 4 nodes in two availability zones and 4 backend servers are running")
	if err = d.awaitVersion(ctx, 1); err != nil {
		return err
	}
	return d.awaitUpstreams(ctx)
}

// injectFaults edits the tables, stops one node and kills another while calls run, and waits for the report of the calls.
func (d *demo) injectFaults(ctx context.Context) error {
	loader, err := d.startLoad()
	if err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{
		d.edit(1), d.stopNode, d.killNode, d.edit(2),
	} {
		if err := fleet.Sleep(ctx, undisturbedTime); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	err = loader.Wait(ctx, loadDuration+demoTimeout)
	if _, statErr := os.Stat(d.reportFile()); statErr != nil {
		return oops.In("demo").Wrapf(err, "load ended without a report")
	}
	return nil // an exit code above 0 means lost answers, which are counted in the report
}

func (d *demo) reportFile() string { return filepath.Join(d.directory, "report.json") }

// startLoad starts the load generator, which sends calls to n1, n2 and n3. It sends none to n4, which is killed: no system
// could tell the callers of a killed node the outcome of their calls.
func (d *demo) startLoad() (*fleet.Process, error) {
	args := []string{"load", "--duration", loadDuration.String(), "--count", fmt.Sprint(loadCount),
		"--seed", fmt.Sprint(loadSeed), "--report", d.reportFile()}
	for _, p := range d.places[:3] {
		args = append(args, "--node", p.Callers)
	}
	for _, call := range callSpecs {
		args = append(args, "--call", call)
	}
	d.logf("calls of four priorities start, seed %d", loadSeed)
	return d.processes.Start("load", d.program("rosemaryhatch-standin"), args...)
}

// edit returns a step that edits both tables, waits until the new version is active and records how long that took. The
// time starts before the write and includes the polling interval of rosemaryhatchctl, 250 ms.
func (d *demo) edit(number int) func(context.Context) error {
	return func(ctx context.Context) error {
		start := time.Now()
		if err := d.apply(ctx, number); err != nil {
			return err
		}
		if err := d.awaitVersion(ctx, uint64(number)+1); err != nil {
			return err
		}
		d.observed.activations = append(d.observed.activations, activation{version: uint64(number) + 1, took: time.Since(start)})
		return nil
	}
}

// apply replaces version number by version number+1 in the platform's store.
func (d *demo) apply(ctx context.Context, number int) error {
	routes, pools, err := d.writeTables(number)
	if err != nil {
		return err
	}
	_, err = fleet.RunTool(ctx, d.program("rosemaryhatchctl"), "--platform", d.platform, "--author", "demo",
		"apply", routes, pools, "--expect", fmt.Sprint(number))
	if err == nil {
		d.logf("version %d written by rosemaryhatchctl", number+1)
	}
	return err
}

// awaitVersion waits until a version is active on all live members, at most for waitTimeout.
func (d *demo) awaitVersion(ctx context.Context, version uint64) error {
	args := []string{"wait", fmt.Sprint(version), "--timeout", waitTimeout.String()}
	for _, p := range d.places {
		if !p.Node.HasEnded() {
			args = append(args, "--node", p.Operator)
		}
	}
	out, err := fleet.RunTool(ctx, d.program("rosemaryhatchctl"), args...)
	if err != nil {
		return err
	}
	d.logf("%s", out[:max(len(out)-1, 0)])
	return nil
}

// awaitUpstreams waits until every node sees every upstream as ready. It returns an error after readyTimeout.
func (d *demo) awaitUpstreams(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		out, err := fleet.RunTool(ctx, d.program("rosemaryhatchctl"), "--output", "json", "status", "--node", d.places[0].Operator)
		var answers []operator.NodeAnswer
		if err == nil && json.Unmarshal(out, &answers) == nil && areUpstreamsReady(answers, len(d.places)) {
			return nil
		}
		if fleet.Sleep(ctx, 200*time.Millisecond) != nil {
			return oops.In("demo").Errorf("nodes do not see all upstreams as ready after %v: %s", readyTimeout, out)
		}
	}
}

// areUpstreamsReady reports whether nodeCount nodes answered and each sees at least as many upstreams as ready.
func areUpstreamsReady(answers []operator.NodeAnswer, nodeCount int) bool {
	for _, answer := range answers {
		ready := 0
		for _, member := range answer.Status.Members {
			if member.State == "alive" && member.Upstream.State == "ready" {
				ready++
			}
		}
		if ready < nodeCount {
			return false
		}
	}
	return len(answers) == nodeCount
}

// stopNode stops n2 with SIGTERM and records how it ended.
func (d *demo) stopNode(ctx context.Context) error {
	node := d.places[1].Node
	d.logf("n2 is stopped gracefully")
	node.Signal(syscall.SIGTERM)
	d.observed.stopErr = node.Wait(ctx, stopTimeout)
	d.logf("n2 has ended")
	return ctx.Err()
}

// killNode kills n4 with SIGKILL and waits for its end.
func (d *demo) killNode(ctx context.Context) error {
	d.logf("n4 is killed")
	d.places[3].Node.Signal(syscall.SIGKILL)
	_ = d.places[3].Node.Wait(ctx, stopTimeout) // returns an error because the node was killed
	return ctx.Err()
}

// verify compares the answers to callers with the executions that all backend servers recorded.
func (d *demo) verify(ctx context.Context) error {
	text, err := os.ReadFile(d.reportFile())
	if err != nil {
		return oops.In("demo").Wrap(err)
	}
	if err := json.Unmarshal(text, &d.observed.report); err != nil {
		return oops.In("demo").Wrapf(err, "report of the calls cannot be read")
	}
	var backends []string
	for _, p := range d.places {
		backends = append(backends, p.BackendAddress)
	}
	executions, err := load.ReadExecutions(ctx, backends)
	if err != nil {
		return err
	}
	d.observed.verdict = load.Verify(d.observed.report, executions)
	return nil
}
