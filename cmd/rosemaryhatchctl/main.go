// Command rosemaryhatchctl is the operators' tool: it edits the two tables and shows the state of the nodes. Package
// operator lists the exit codes.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/rosemaryhatch/rosemaryhatch/operator"
	"github.com/rosemaryhatch/rosemaryhatch/platform"
	"github.com/rosemaryhatch/rosemaryhatch/platform/hosted"
	"github.com/rosemaryhatch/rosemaryhatch/platform/kv"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

const programName = "rosemaryhatchctl"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// flags holds the values of the command-line flags and arguments.
type flags struct {
	platform, mode, output, author, editor string

	routes, pools, from, to, directory, shell string
	expect, version                           uint64
	nodes                                     []string
	timeout                                   time.Duration
	limit                                     int

	service, software string
	duration          time.Duration
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	f := &flags{}
	app := newApp(f)
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	name, err := app.Parse(args)
	if err == nil {
		err = f.check(name)
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v, see %s --help\n", programName, err, programName)
		return operator.Invalid.ExitCode()
	}
	c := &command{
		flags:  f,
		app:    app,
		runner: &operator.Runner{Store: kv.New(f.platform), Source: f.source()},
		out:    operator.Output{Writer: stdout, JSON: f.output == "json"},
		stderr: stderr,
	}
	return c.run(ctx, name).ExitCode()
}

func newApp(f *flags) *kingpin.Application {
	app := kingpin.New(programName, "Edits the tables of routes and pools and shows the state of the nodes.\n\n"+operator.ExitCodeHelp)
	app.HelpFlag.Short('h')
	app.Flag("platform", "Address of the platform's key-value service, IP:port.").Envar("ROSEMARYHATCH_PLATFORM").StringVar(&f.platform)
	app.Flag("mode", "Which tables to use: own, written by this program, or hosted, written by the platform's operator.").Default(settings.ModeOwn).EnumVar(&f.mode, settings.ModeOwn, settings.ModeHosted)
	app.Flag("output", "Output format: text or json.").Default("text").EnumVar(&f.output, "text", "json")
	app.Flag("author", "Name to store as the author of a new version.").Envar("USER").StringVar(&f.author)
	addTableCommands(app, f)
	addNodeCommands(app, f)
	addRolloutCommands(app, f)
	// This is a command because a program-wide flag --version would conflict with get --version.
	app.Command("version", "Print the version of the program.")
	shell := app.Command("completion", "Print a completion script.")
	shell.Arg("shell", "bash, zsh or fish.").Required().EnumVar(&f.shell, "bash", "zsh", "fish")
	return app
}

func addTableCommands(app *kingpin.Application, f *flags) {
	validate := app.Command("validate", "Check both tables without applying them.")
	addTableArgs(validate, f)
	check := app.Command("check", "Check both tables before they are sent: faults, entries without effect, contradictory limits and, with --platform, what differs from the current version.")
	addTableArgs(check, f)
	check.Flag("shutdown-timeout", "Shutdown timeout of the nodes, to compare with the timeouts of routes.").DurationVar(&f.timeout)
	apply := app.Command("apply", "Write both tables as a new version.")
	addTableArgs(apply, f)
	apply.Flag("expect", "Version that the tables are based on, 0 for an empty store.").Required().Uint64Var(&f.expect)
	addNodeFlag(apply, f, "Operator address of a node to ask for its version before writing, IP:port; repeatable.")
	get := app.Command("get", "Print both tables of a version.")
	get.Flag("version", "Version to print, the current one by default.").Uint64Var(&f.version)
	get.Flag("directory", "Directory to write routes.ini and pools.ini to, instead of printing them.").StringVar(&f.directory)
	edit := app.Command("edit", "Open both tables in $EDITOR and apply the edited tables.")
	edit.Flag("editor", "Command that starts the editor.").Envar("EDITOR").StringVar(&f.editor)
	addNodeFlag(edit, f, "Operator address of a node to ask for its version before writing, IP:port; repeatable.")
	diff := app.Command("diff", "Print the difference between two versions.")
	diff.Arg("from", "Version number, \"current\", a directory with routes.ini and pools.ini, or two files as ROUTES,POOLS.").Required().StringVar(&f.from)
	diff.Arg("to", "Same forms as from.").Required().StringVar(&f.to)
	history := app.Command("history", "List versions, newest first.")
	history.Flag("limit", "Maximum number of versions to look up.").Default("20").IntVar(&f.limit)
	rollback := app.Command("rollback", "Write a new version with the tables of an old one.")
	rollback.Arg("version", "Version whose tables are written again.").Required().Uint64Var(&f.version)
	addNodeFlag(rollback, f, "Operator address of a node to ask for its version before writing, IP:port; repeatable.")
}

func addNodeCommands(app *kingpin.Application, f *flags) {
	status := app.Command("status", "Print the version, members, upstream and queue of each node.")
	addNodeFlag(status, f, "Operator address of a node, IP:port; its live members are asked as well; repeatable.")
	status.Arg("address", "Same as --node.").StringsVar(&f.nodes)
	wait := app.Command("wait", "Wait until a version is active on all live members.")
	wait.Arg("version", "Version to wait for.").Required().Uint64Var(&f.version)
	addNodeFlag(wait, f, "Operator address of a node, IP:port; its live members are asked as well; repeatable.")
	wait.Arg("address", "Same as --node.").StringsVar(&f.nodes)
	wait.Flag("timeout", "Maximum time to wait.").Default("30s").DurationVar(&f.timeout)
}

func addTableArgs(command *kingpin.CmdClause, f *flags) {
	command.Arg("routes", "File with the table of routes.").Required().StringVar(&f.routes)
	command.Arg("pools", "File with the table of pools.").Required().StringVar(&f.pools)
}

func addNodeFlag(command *kingpin.CmdClause, f *flags, help string) {
	command.Flag("node", help).StringsVar(&f.nodes)
}

// source returns the location of the tables in the store.
func (f *flags) source() platform.Source {
	if f.mode == settings.ModeHosted {
		return hosted.Source()
	}
	return platform.OwnSource()
}

// check returns an error if the flags or arguments are invalid for the command.
func (f *flags) check(name string) error {
	if f.needsStore(name) || f.platform != "" {
		if err := checkAddress("--platform", f.platform); err != nil {
			return err
		}
	}
	for _, node := range f.nodes {
		if err := checkAddress("--node", node); err != nil {
			return err
		}
	}
	switch {
	case (name == "status" || name == "wait") && len(f.nodes) == 0:
		return fmt.Errorf("--node is missing, expected the operator address of at least one node, IP:port")
	case (name == "rollback" || name == "wait") && f.version == 0:
		return fmt.Errorf("version is 0, expected 1 or more")
	case (name == "apply" || name == "edit" || name == "rollback") && f.author == "":
		return fmt.Errorf("--author is missing and USER is not set, expected a name")
	}
	return nil
}

func (f *flags) needsStore(name string) bool {
	switch name {
	case "apply", "get", "edit", "history", "rollback", "rollout start", "rollout watch", "rollout status", "rollout abort":
		return true
	case "diff":
		return operator.NeedsStore(f.from) || operator.NeedsStore(f.to)
	default:
		return false
	}
}

// checkAddress returns an error if the value of a flag is not an IP address and a port from 1 to 65535.
func checkAddress(flag, value string) error {
	host, port, err := net.SplitHostPort(value)
	portNumber, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || net.ParseIP(host) == nil || portErr != nil || portNumber == 0 {
		return fmt.Errorf("%s is %q, expected IP:port", flag, value)
	}
	return nil
}
