// Command rosemaryhatch-standin has stand-ins for the systems around the nodes: the platform's
// key-value service, a backend server and callers. Exit codes: 0 done, 1 failure or a broken promise,
// 2 wrong usage.
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

// flags are the values that the command line gives.
type flags struct {
	listen       string
	backend      backend.Options
	distribution string
	load         load.Options
	calls        []string
	backends     []string
	report       string
	journal      string
}

func run(ctx context.Context, args []string) int {
	f := &flags{}
	app := kingpin.New("rosemaryhatch-standin", "Stand-ins for the systems around the nodes.")
	app.Version(version.String())
	app.HelpFlag.Short('h')
	serve := app.Command("platform", "Serve the platform's key-value service from memory.")
	serve.Flag("listen", "Address, IP:port.").Required().StringVar(&f.listen)
	addBackend(app, f)
	addLoad(app, f)
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
		return f.verify(ctx)
	}
}

func addBackend(app *kingpin.Application, f *flags) {
	c := app.Command("backend", "Serve as a backend server and register with the node beside it.")
	o := &f.backend
	c.Flag("listen", "Address, IP:port.").Required().StringVar(&f.listen)
	c.Flag("register", "Register address of the node, IP:port.").Required().StringVar(&o.RegisterAddress)
	c.Flag("service", "Name of the service.").Required().StringVar(&o.Service)
	c.Flag("slots", "Requests that may run at the same time.").Default("6").IntVar(&o.Slots)
	c.Flag("service-time", "Mean time of a request.").Default("5ms").DurationVar(&o.ServiceTime)
	c.Flag("distribution", "Distribution of the service time: fixed, uniform or exponential.").Default("fixed").
		EnumVar(&f.distribution, "fixed", "uniform", "exponential")
	c.Flag("seed", "Seed of the service times.").Default("1").Uint64Var(&o.Seed)
	c.Flag("cold-for", "Time after the first request during which it is slower.").DurationVar(&o.ColdFor)
	c.Flag("cold-factor", "How much slower it is at first.").Default("1").Float64Var(&o.ColdFactor)
	c.Flag("shed-above", "Requests running from which further ones are shed; 0 sheds none.").IntVar(&o.ShedAbove)
	c.Flag("lag", "Age of what the health and load endpoints say.").DurationVar(&o.Lag)
	c.Flag("advertise", "Address that it registers, IP:port, by default that of --listen.").StringVar(&o.Address)
	c.Flag("journal", "File to which each execution is appended when it begins.").StringVar(&f.journal)
	c.Flag("call", "URL that each request calls in turn, such as a path at the callers' address of the node.").StringVar(&o.NestedCallURL)
}

func addLoad(app *kingpin.Application, f *flags) {
	c := app.Command("load", "Send calls at given rates and report their outcomes.")
	o := &f.load
	c.Flag("node", "Callers' address of a node, IP:port; repeat it for more.").StringsVar(&o.Targets)
	c.Flag("call", "NAME,path=/p,priority=0,rate=100,idempotent=no,body=64,timeout=2s,method=POST,host=H; repeat it for more.").StringsVar(&f.calls)
	c.Flag("count", "Most calls.").Default("10000").IntVar(&o.Count)
	c.Flag("duration", "Longest time in which calls are sent.").Default("10s").DurationVar(&o.Duration)
	c.Flag("seed", "Seed of arrival times and bodies.").Default("1").Uint64Var(&o.Seed)
	c.Flag("prefix", "Prefix of request ids, by default from the clock.").StringVar(&o.Prefix)
	c.Flag("in-flight", "Most calls under way; further ones are skipped and counted.").Default("2048").IntVar(&o.InFlight)
	c.Flag("no-keep-alive", "Open a connection for each call.").BoolVar(&o.NoKeepAlive)
	c.Flag("report", "File for the report in JSON.").StringVar(&f.report)
	c.Flag("verify", "Address of a backend server whose log is compared after the run; repeat it for more.").StringsVar(&f.backends)
	v := app.Command("verify", "Compare a report with the logs of the backend servers.")
	v.Flag("report", "Report of a load run.").Required().StringVar(&f.report)
	v.Flag("backend", "Address of a backend server, IP:port; name all that may have run calls.").Required().StringsVar(&f.backends)
}

func fail(code int, err error) int {
	fmt.Fprintln(os.Stderr, "rosemaryhatch-standin:", err)
	return code
}

// Bounds of the stand-ins' servers.
const (
	readHeaderTimeout = 5 * time.Second
	closeTimeout      = 5 * time.Second
)

// serveHTTP serves until the context ends, then finishes the requests under way.
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
		bound, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if server.Shutdown(bound) != nil {
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
		f.backend.Journal = file // a line is one write, which the file appends as a whole
	}
	f.backend.Distribution = backend.Distribution(f.distribution)
	server := backend.New(f.backend)
	defer server.Close()
	go server.Register(ctx)
	return serveHTTP(ctx, f.listen, server)
}

func (f *flags) runLoad(ctx context.Context) int {
	for _, text := range f.calls {
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
		// The run may have ended by an interrupt; the comparison is still wanted.
		code = max(code, compare(context.WithoutCancel(ctx), report, f.backends))
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

func (f *flags) verify(ctx context.Context) int {
	text, err := os.ReadFile(f.report)
	if err != nil {
		return fail(exitFailure, err)
	}
	var report load.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return fail(exitFailure, fmt.Errorf("%s: is not a report of a load run: %w", f.report, err))
	}
	return compare(ctx, report, f.backends)
}

func compare(ctx context.Context, report load.Report, backends []string) int {
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
