// Command rosemaryhatch-standin provides stand-ins (test doubles) for the systems around the nodes: the platform's
// key-value service, a backend server and callers. Exit codes: 0 done; 1 failure, or answers that were lost, belong to
// another request or contradict the execution logs of the backend servers; 2 wrong usage.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/backend"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/load"
	"github.com/rosemaryhatch/rosemaryhatch/internal/standin/platform"
	"github.com/rosemaryhatch/rosemaryhatch/internal/version"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// flags holds the values of the command-line flags.
type flags struct {
	listen       string
	backend      backend.Options
	distribution string
	load         load.Options
	callSpecs    []string
	backends     []string
	report       string
	journal      string
}

func run(ctx context.Context, args []string) int {
	f := &flags{}
	app := kingpin.New("rosemaryhatch-standin", "Runs stand-ins for the systems around the nodes.")
	app.Version(version.String())
	app.HelpFlag.Short('h')
	serve := app.Command("platform", "Serve the platform's key-value service from memory.")
	serve.Flag("listen", "Address to listen on, IP:port.").Required().StringVar(&f.listen)
	addBackendCommand(app, f)
	addLoadCommands(app, f)
	name, err := app.Parse(args)
	if err != nil {
		return fail(exitUsage, err)
	}
	switch name {
	case "platform":
		return serveHTTP(ctx, f.listen, platform.New())
	case "backend":
		return f.serveBackend(ctx)
	case "load":
		return f.runLoad(ctx)
	default:
		return f.runVerify(ctx)
	}
}

func addBackendCommand(app *kingpin.Application, f *flags) {
	c := app.Command("backend", "Serve as a backend server and register with the node beside it.")
	o := &f.backend
	c.Flag("listen", "Address to listen on, IP:port.").Required().StringVar(&f.listen)
	c.Flag("register", "Register address of the node, IP:port.").Required().StringVar(&o.RegisterAddress)
	c.Flag("service", "Name of the service.").Required().StringVar(&o.Service)
	c.Flag("slots", "Number of slots to register: requests that may run at the same time.").Default("6").IntVar(&o.Slots)
	c.Flag("service-time", "Mean service time of a request.").Default("5ms").DurationVar(&o.ServiceTime)
	c.Flag("distribution", "Distribution of the service times: fixed, uniform or exponential.").Default("fixed").
		EnumVar(&f.distribution, "fixed", "uniform", "exponential")
	c.Flag("seed", "Random seed for the service times.").Default("1").Uint64Var(&o.Seed)
	c.Flag("cold-for", "Warm-up time after the first request, in which requests take longer.").DurationVar(&o.ColdFor)
	c.Flag("cold-factor", "Factor on the service time at the start of the warm-up; it falls to 1 within --cold-for.").Default("1").Float64Var(&o.ColdFactor)
	c.Flag("shed-above", "Number of running requests from which further requests are shed; 0 turns load shedding off.").IntVar(&o.ShedAbove)
	c.Flag("lag", "Age of the state that the health and load endpoints report.").DurationVar(&o.Lag)
	c.Flag("advertise", "Address to register at the node, IP:port; --listen by default.").StringVar(&o.Address)
	c.Flag("journal", "File to which each execution is appended as it begins, one JSON line each.").StringVar(&f.journal)
	c.Flag("software", "Version of the software to register.").StringVar(&o.Version)
	c.Flag("bad-share", "Share of the responses that are bad, 0 to 1.").Float64Var(&o.Defect.Share)
	c.Flag("bad-slowdown", "Factor on the service times of bad responses; without it they fail with status 500.").Float64Var(&o.Defect.Slowdown)
	c.Flag("bad-after", "Time after the first request from which responses are bad.").DurationVar(&o.Defect.After)
	c.Flag("bad-above", "Number of running requests above which responses are bad.").IntVar(&o.Defect.Above)
	c.Flag("bad-path", "Only path whose responses are bad; all by default.").StringVar(&o.Defect.Path)
	c.Flag("call", "URL of a nested call that each request makes, such as a path at the callers' address of the node.").StringVar(&o.NestedCallURL)
}

func addLoadCommands(app *kingpin.Application, f *flags) {
	c := app.Command("load", "Send calls at given rates and report their outcomes.")
	o := &f.load
	c.Flag("node", "Callers' address of a node, IP:port; repeatable.").StringsVar(&o.Targets)
	c.Flag("call", "Calls of one route: NAME,path=/p,priority=0,rate=100,idempotent=no,body=64,timeout=2s,method=POST,host=H; repeatable.").StringsVar(&f.callSpecs)
	c.Flag("count", "Maximum number of calls.").Default("10000").IntVar(&o.Count)
	c.Flag("duration", "Maximum time in which calls are sent.").Default("10s").DurationVar(&o.Duration)
	c.Flag("seed", "Random seed for arrival times and bodies.").Default("1").Uint64Var(&o.Seed)
	c.Flag("prefix", "Prefix of the request ids; derived from the clock by default.").StringVar(&o.Prefix)
	c.Flag("in-flight", "Maximum number of calls in flight; further calls are skipped and counted.").Default("2048").IntVar(&o.InFlight)
	c.Flag("no-keep-alive", "Open a new connection for each call.").BoolVar(&o.NoKeepAlive)
	c.Flag("report", "File to write the report to, as JSON.").StringVar(&f.report)
	c.Flag("verify", "Address of a backend server whose execution log is compared with the report after the run, IP:port; repeatable.").StringsVar(&f.backends)
	v := app.Command("verify", "Compare a report with the execution logs of the backend servers.")
	v.Flag("report", "File with the report of a load run.").Required().StringVar(&f.report)
	v.Flag("backend", "Address of a backend server, IP:port; repeat it for each server that may have executed calls.").Required().StringsVar(&f.backends)
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "rosemaryhatch-standin:", err)
	return code
}

// Timeouts of the HTTP servers.
const (
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 5 * time.Second
)

// serveHTTP serves requests until ctx is cancelled, then waits up to shutdownTimeout for those in progress. It returns
// the exit code.
func serveHTTP(ctx context.Context, address string, handler http.Handler) int {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fail(exitFailure, fmt.Errorf("--listen: %w", err))
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fail(exitFailure, err)
	}
	<-closed
	return exitOK
}

func (f *flags) serveBackend(ctx context.Context) int {
	if f.backend.Address == "" {
		f.backend.Address = f.listen
	}
	if f.journal != "" {
		file, err := os.OpenFile(f.journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return fail(exitFailure, fmt.Errorf("--journal: %w", err))
		}
		defer file.Close()
		f.backend.Journal = file // each line is a single write, and O_APPEND keeps it in one piece
	}
	f.backend.Distribution = backend.Distribution(f.distribution)
	server := backend.New(f.backend)
	defer server.Close()
	go server.Register(ctx)
	return serveHTTP(ctx, f.listen, server)
}

func (f *flags) runLoad(ctx context.Context) int {
	for _, text := range f.callSpecs {
		spec, err := load.ParseSpec(text)
		if err != nil {
			return fail(exitUsage, err)
		}
		f.load.Specs = append(f.load.Specs, spec)
	}
	if err := f.load.Check(); err != nil {
		return fail(exitUsage, err)
	}
	report := load.Run(ctx, f.load)
	report.Write(os.Stdout)
	if f.report != "" {
		if err := writeReport(f.report, report); err != nil {
			return fail(exitFailure, err)
		}
	}
	code := exitOK
	if report.Count(load.OutcomeLost)+report.Count(load.OutcomeCrossed) > 0 {
		code = exitFailure
	}
	if len(f.backends) > 0 {
		// The comparison runs even if an interrupt has cancelled ctx and ended the run.
		code = max(code, verifyReport(context.WithoutCancel(ctx), report, f.backends))
	}
	return code
}

func writeReport(path string, report load.Report) error {
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

func (f *flags) runVerify(ctx context.Context) int {
	text, err := os.ReadFile(f.report)
	if err != nil {
		return fail(exitFailure, err)
	}
	var report load.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return fail(exitFailure, fmt.Errorf("%s is not a report of a load run: %w", f.report, err))
	}
	return verifyReport(ctx, report, f.backends)
}

// verifyReport compares a report with the execution logs of the backend servers and returns the exit code.
func verifyReport(ctx context.Context, report load.Report, backends []string) int {
	executions, err := load.ReadExecutions(ctx, backends)
	if err != nil {
		return fail(exitFailure, err)
	}
	verdict := load.Verify(report, executions)
	verdict.Write(os.Stdout)
	if !verdict.OK() {
		return exitFailure
	}
	return exitOK
}
