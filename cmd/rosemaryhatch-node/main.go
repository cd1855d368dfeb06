// Command rosemaryhatch-node is the process beside each backend server.
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
	app := kingpin.New("rosemaryhatch-node", "Forwards calls under the active configuration beside one backend server.")
	app.Version(version.String())
	app.HelpFlag.Short('h')
	path := app.Flag("settings", "Settings file in INI format.").Required().String()
	check := app.Flag("check-settings", "Check the settings and exit.").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "rosemaryhatch-node:", err)
		return exitSettings
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Println("settings are valid:", *path)
		return exitOK
	}
	return serve(*path, s, newLogger(s.Log))
}

func serve(path string, s settings.Settings, logger log.Logger) int {
	node.TuneRuntime(s.Runtime)
	own := log.With(logger, "node", s.Node.ID, "zone", s.Node.Zone) // the node adds both to its own lines
	listeners, err := node.Listen(s.Listen)
	if err != nil {
		level.Error(own).Log("msg", "node cannot start", "err", err)
		return exitFailure
	}
	n := node.New(s, listeners, kv.New(s.Platform.Address), logger)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go watchSettings(ctx, path, hangups, own, n.Reload)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		level.Info(own).Log("msg", "graceful shutdown, a second signal ends the process")
		n.Shutdown()
		<-signals
		cancel()
	}()
	n.Run(ctx)
	return exitOK
}

func newLogger(s settings.Log) log.Logger {
	w := log.NewSyncWriter(os.Stdout)
	logger := log.NewLogfmtLogger(w)
	if s.Format == "json" {
		logger = log.NewJSONLogger(w)
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(s.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
