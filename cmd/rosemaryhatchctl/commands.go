package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/rosemaryhatch/rosemaryhatch/internal/version"
	"github.com/rosemaryhatch/rosemaryhatch/operator"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// command holds what a command of the program needs: the flags, the store and the output.
type command struct {
	*flags
	app    *kingpin.Application
	runner *operator.Runner
	out    operator.Output
	stderr io.Writer
}

func (c *command) run(ctx context.Context, name string) operator.Outcome {
	switch name {
	case "validate":
		return c.validate()
	case "check":
		return c.review(ctx)
	case "apply":
		return c.apply(ctx)
	case "get":
		return c.get(ctx)
	case "edit":
		return c.edit(ctx)
	case "diff":
		return c.diff(ctx)
	case "history":
		return c.history(ctx)
	case "rollback":
		return c.report(c.runner.Rollback(ctx, c.version, c.newRequest("", "")))
	case "status":
		return c.status(ctx)
	case "wait":
		return c.report(c.runner.Run(ctx, operator.NewWait(c.version, c.nodes, c.timeout)))
	case "rollout start", "rollout watch", "rollout status", "rollout abort":
		return c.rollout(ctx, name)
	case "version":
		fmt.Fprintln(c.out.Writer, version.String())
		return operator.Done
	default:
		return c.printCompletionScript()
	}
}

// report prints a result and returns its outcome.
func (c *command) report(result operator.Result) operator.Outcome {
	c.out.WriteResult(result)
	return result.Outcome
}

// fail prints the error of a command that changed nothing and returns the outcome.
func (c *command) fail(outcome operator.Outcome, err error) operator.Outcome {
	return c.report(operator.Result{Outcome: outcome, Problem: err.Error()})
}

// newRequest returns a request with a new edit id to write both tables as a new version.
func (c *command) newRequest(routes, pools string) operator.EditRequest {
	return operator.EditRequest{
		Routes: routes, Pools: pools, Author: c.author, EditID: operator.NewEditID(), Expect: c.expect, Nodes: c.nodes,
	}
}

func (c *command) validate() operator.Outcome {
	routes, pools, err := operator.ReadTables(c.routes, c.pools)
	if err != nil {
		return c.fail(operator.Invalid, err)
	}
	result := operator.Result{Hash: tables.ContentHash(routes, pools)}
	if problems := operator.CheckTables(routes, pools, c.routes, c.pools); len(problems) > 0 {
		result = operator.Result{Outcome: operator.Invalid, Problem: fmt.Sprintf("faults: %d", len(problems))}
		for _, problem := range problems {
			result.Problem += "\n" + problem
		}
	}
	return c.report(result)
}

// review prints the warnings about valid tables, and what differs from the current version if the store is given. It fails
// like validate if the tables have faults.
func (c *command) review(ctx context.Context) operator.Outcome {
	if outcome := c.validate(); outcome != operator.Done {
		return outcome
	}
	routes, pools, err := operator.ReadTables(c.routes, c.pools)
	if err != nil {
		return c.fail(operator.Invalid, err)
	}
	document := tables.Document{Version: 1, Routes: routes, Pools: pools, Hash: tables.ContentHash(routes, pools)}
	snapshot, err := tables.Check(document)
	if err != nil {
		return c.fail(operator.Invalid, err)
	}
	c.out.WriteWarnings(operator.Review(snapshot, c.timeout))
	if c.platform == "" {
		return operator.Done
	}
	current, err := c.runner.FetchCurrent(ctx)
	if err != nil {
		return c.fail(operator.Failed, err)
	}
	c.out.WriteChanges(operator.Difference(current, document))
	return operator.Done
}

func (c *command) apply(ctx context.Context) operator.Outcome {
	routes, pools, err := operator.ReadTables(c.routes, c.pools)
	if err != nil {
		return c.fail(operator.Invalid, err)
	}
	return c.report(c.runner.Apply(ctx, c.newRequest(routes, pools), c.routes, c.pools))
}

func (c *command) get(ctx context.Context) operator.Outcome {
	document, err := c.runner.FetchCurrent(ctx)
	if c.version > 0 {
		document, err = c.runner.FetchVersion(ctx, c.version)
	}
	if err != nil {
		return c.fail(operator.Failed, err)
	}
	if document.Version == 0 {
		return c.fail(operator.Failed, fmt.Errorf("the store has no version, write the first one with apply --expect 0"))
	}
	if c.directory == "" {
		c.out.WriteDocument(document)
		return operator.Done
	}
	for name, text := range map[string]string{operator.RoutesFile: document.Routes, operator.PoolsFile: document.Pools} {
		if err := os.WriteFile(filepath.Join(c.directory, name), []byte(text), 0o644); err != nil {
			return c.fail(operator.Failed, err)
		}
	}
	return operator.Done
}

func (c *command) edit(ctx context.Context) operator.Outcome {
	document, err := c.runner.FetchCurrent(ctx)
	if err != nil {
		return c.fail(operator.Failed, err)
	}
	routes, pools, directory, err := operator.EditFiles(ctx, c.editor, document)
	if err != nil {
		return c.fail(operator.Failed, err)
	}
	if routes == document.Routes && pools == document.Pools {
		c.removeEditDirectory(directory)
		fmt.Fprintln(c.stderr, "tables were not changed, no version was written")
		return operator.Done
	}
	c.expect = document.Version
	result := c.runner.Apply(ctx, c.newRequest(routes, pools),
		filepath.Join(directory, operator.RoutesFile), filepath.Join(directory, operator.PoolsFile))
	if result.Outcome == operator.Done {
		c.removeEditDirectory(directory)
	} else {
		result.Warnings = append(result.Warnings, "the edited tables are kept in "+directory)
	}
	return c.report(result)
}

// removeEditDirectory deletes the directory with the edited tables; a failure is only a warning.
func (c *command) removeEditDirectory(directory string) {
	if err := os.RemoveAll(directory); err != nil {
		fmt.Fprintln(c.stderr, "warning:", err)
	}
}

func (c *command) diff(ctx context.Context) operator.Outcome {
	from, err := c.runner.LoadTables(ctx, c.from)
	if err != nil {
		return c.fail(operator.Failed, err)
	}
	to, err := c.runner.LoadTables(ctx, c.to)
	if err != nil {
		return c.fail(operator.Failed, err)
	}
	c.out.WriteChanges(operator.Difference(from, to))
	return operator.Done
}

func (c *command) history(ctx context.Context) operator.Outcome {
	entries, err := c.runner.FetchHistory(ctx, c.limit)
	if err != nil {
		return c.fail(operator.Failed, err)
	}
	c.out.WriteHistory(entries)
	return operator.Done
}

// status prints the status of the given nodes and of their live members. It fails if any of them did not answer.
func (c *command) status(ctx context.Context) operator.Outcome {
	answers := operator.QueryStatuses(ctx, c.nodes, true)
	c.out.WriteStatus(answers)
	for _, answer := range answers {
		if answer.Problem != "" {
			return operator.Failed
		}
	}
	return operator.Done
}

// fishCompletion is the completion script for fish. Like kingpin's scripts for bash and zsh, it asks the program for the
// possible next words.
const fishCompletion = `complete -c rosemaryhatchctl -f -a '(set -l words (commandline -opc) (commandline -ct); rosemaryhatchctl --completion-bash $words[2..-1])'
`

func (c *command) printCompletionScript() operator.Outcome {
	template := fishCompletion
	switch c.shell {
	case "bash":
		template = kingpin.BashCompletionTemplate
	case "zsh":
		template = kingpin.ZshCompletionTemplate
	}
	c.app.UsageWriter(c.out.Writer)
	c.app.UsageTemplate(template)
	c.app.Usage(nil)
	return operator.Done
}
