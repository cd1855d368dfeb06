// Command rosemaryhatch-node runs beside a backend server and forwards calls according to the active configuration.
// Exit codes: 0 the node has shut down, or --check-settings found no fault; 1 a listener cannot be opened; 2 wrong usage
// or invalid settings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rosemaryhatch/rosemaryhatch/internal/version"
	"github.com/rosemaryhatch/rosemaryhatch/node"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	app := kingpin.New("rosemaryhatch-node", "Runs beside one backend server and forwards calls according to the active configuration.")
	app.Version(version.String())
	app.HelpFlag.Short('h')
	path := app.Flag("settings", "Settings file in INI format.").Required().String()
	checkOnly := app.Flag("check-settings", "Check the settings file and exit without starting the node.").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "rosemaryhatch-node:", err)
		return exitSettings
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *checkOnly {
		fmt.Println("settings are valid:", *path)
		return exitOK
	}
	return serve(*path, s, newLogger(s.Log))
}

// serve runs the node until it has shut down and returns the exit code. SIGHUP reloads the settings. SIGTERM and SIGINT are
// for followStopSignals.
func serve(path string, s settings.Settings, logger log.Logger) int {
	node.TuneRuntime(s.Runtime)
	nodeLogger := log.With(logger, "node", s.Node.ID, "zone", s.Node.Zone) // node.New adds both keys to logger itself
	listeners, err := node.Listen(s.Listen)
	if err != nil {
		level.Error(nodeLogger).Log("msg", "node cannot start", "err", err)
		return exitFailure
	}
	n := node.New(s, listeners, kv.New(s.Platform.Address), logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	go watchSettings(ctx, path, reloadSignals, nodeLogger, n.Reload)
	stopSignals := make(chan os.Signal, 1)
	signal.Notify(stopSignals, syscall.SIGTERM, syscall.SIGINT)
	go followStopSignals(ctx, stopSignals, nodeLogger, n.Shutdown, cancel)
	n.Run(ctx)
	return exitOK
}

// followStopSignals starts a graceful shutdown with the first signal. SIGTERM may come again, from a supervisor that repeats
// it, and changes nothing: the calls in progress get their answers. SIGINT after the first signal comes from somebody who
// does not want to wait, and ends the process at once.
func followStopSignals(ctx context.Context, signals <-chan os.Signal, logger log.Logger, shutdown, end func()) {
	for stopping := false; ; stopping = true {
		select {
		case received := <-signals:
			switch {
			case !stopping:
				level.Info(logger).Log("msg", "graceful shutdown, an interrupt ends the process at once", "signal", received)
				shutdown()
			case received == syscall.SIGINT:
				level.Warn(logger).Log("msg", "shutdown is cut short by an interrupt")
				end()
				return
			default:
				level.Info(logger).Log("msg", "graceful shutdown goes on", "signal", received)
			}
		case <-ctx.Done():
			return
		}
	}
}

// newLogger returns a logger to standard output with the level and format of the settings.
func newLogger(s settings.Log) log.Logger {
	w := log.NewSyncWriter(os.Stdout)
	logger := log.NewLogfmtLogger(w)
	if s.Format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
