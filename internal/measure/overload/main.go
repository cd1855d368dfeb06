// Command overload measures service by priority through real processes: nodes with the tables and settings of
// the two examples, and stand-ins for the platform, the backend servers and the callers.
//
// Each run is bounded in calls and time. All processes listen on loopback addresses and end with this one.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/rosemaryhatch/rosemaryhatch/internal/fleet"
)

// options holds the command-line flags.
type options struct {
	deployments []string
	part        string
	loadFactors []float64
	urgentLoad  float64
	seed        uint64
	sendKeys    bool
	examples    string
}

func main() {
	o := options{}
	app := kingpin.New("overload", "Measures service by priority under load through real processes.")
	app.Flag("deployment", "Example to run; repeatable.").Default("vestfold", "sudurland").EnumsVar(&o.deployments, "vestfold", "sudurland")
	app.Flag("part", "What to measure.").Default("all").EnumVar(&o.part, "all", "flood", "slow", "kill")
	app.Flag("factor", "Load during a flood, in multiples of the capacity; repeatable.").Default("0.5", "1", "2", "4").Float64ListVar(&o.loadFactors)
	app.Flag("urgent", "Load of the most urgent priority while another one floods, as a fraction of the capacity.").Default("0.4").Float64Var(&o.urgentLoad)
	app.Flag("seed", "Seed of arrivals and service times.").Default("1").Uint64Var(&o.seed)
	app.Flag("keys", "Send idempotency keys on the routes that are not idempotent.").Default("true").BoolVar(&o.sendKeys)
	app.Flag("examples", "Directory of the examples.").Default("examples").StringVar(&o.examples)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	binDir, err := os.MkdirTemp("", "rosemaryhatch-overload-")
	if err == nil {
		err = measure(ctx, o, binDir)
		_ = os.RemoveAll(binDir) // on failure the files stay in the temporary directory of the machine
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "overload:", err)
		os.Exit(1)
	}
}

func measure(ctx context.Context, o options, binDir string) error {
	if _, err := fleet.RunTool(ctx, "go", "build", "-o", binDir+string(os.PathSeparator),
		"./cmd/rosemaryhatch-node", "./cmd/rosemaryhatchctl", "./cmd/rosemaryhatch-standin"); err != nil {
		return err
	}
	for _, name := range o.deployments {
		if err := measureDeployment(ctx, o, name, binDir); err != nil {
			return err
		}
	}
	return nil
}

// measureDeployment runs the selected scenarios one after another on the same processes and prints the results.
func measureDeployment(ctx context.Context, o options, name, binDir string) error {
	d, err := startDeployment(ctx, o, name, binDir)
	if d != nil {
		defer d.processes.Stop()
	}
	if err != nil {
		return err
	}
	for _, s := range d.scenarios(o) {
		r, err := d.run(ctx, s, o.seed)
		if err != nil {
			return err
		}
		r.write(os.Stdout)
	}
	return nil
}
