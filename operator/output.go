package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rosemaryhatch/rosemaryhatch/operator/nodestatus"
	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// Output writes the results of commands as text or JSON.
type Output struct {
	Writer io.Writer
	JSON   bool
}

// write prints a value as JSON, or calls the given function to print it as text.
func (o Output) write(value any, text func(io.Writer)) {
	if !o.JSON {
		text(o.Writer)
		return
	}
	encoder := json.NewEncoder(o.Writer)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value) // fails when the reader of the output is gone; the exit code still reports the outcome
}

// WriteResult writes how a command ended, with its warnings and, after a conflict, the difference.
func (o Output) WriteResult(result Result) {
	o.write(result, func(w io.Writer) {
		for _, warning := range result.Warnings {
			fmt.Fprintln(w, "warning:", warning)
		}
		fmt.Fprintln(w, summarize(result))
		for _, lag := range result.Lagging {
			fmt.Fprintln(w, " ", lag)
		}
		if len(result.Difference) > 0 {
			fmt.Fprintf(w, "difference from version %d to the tables given:\n", result.Other.Version)
			writeChanges(w, result.Difference)
		}
	})
}

// WriteRollout writes what the store says about a roll-out.
func (o Output) WriteRollout(info RolloutInfo) {
	o.write(info, func(w io.Writer) { fmt.Fprintln(w, info.Text()) })
}

func summarize(result Result) string {
	switch {
	case result.Problem != "":
		return result.Outcome.String() + ": " + result.Problem
	case result.Members > 0:
		return fmt.Sprintf("version %d is active on %d live members after %d ms", result.Version, result.Members, result.ElapsedMs)
	case result.Superseded > 0:
		return fmt.Sprintf("version %d was written (edit id %s); version %d has replaced it since", result.Version, result.EditID, result.Superseded)
	case result.Version > 0:
		return fmt.Sprintf("version %d was written (edit id %s)", result.Version, result.EditID)
	default:
		return result.Outcome.String()
	}
}

// String returns the member and its version, or why its version is not known.
func (l LaggingMember) String() string {
	name := l.Address
	if l.Node != "" {
		name = l.Node + " at " + l.Address
	}
	if l.Problem != "" {
		return name + ": " + l.Problem
	}
	return fmt.Sprintf("%s: has version %d", name, l.Version)
}

// WriteDocument writes a version with its tables.
func (o Output) WriteDocument(document tables.Document) {
	o.write(document, func(w io.Writer) {
		fmt.Fprintf(w, "# version %d, author %s, edit id %s, hash %s\n", document.Version, document.Author, document.EditID, document.Hash)
		fmt.Fprintf(w, "# routes\n%s\n# pools\n%s", document.Routes, document.Pools)
	})
}

// WriteChanges writes the changes between two versions.
func (o Output) WriteChanges(changes []Change) {
	if changes == nil {
		changes = []Change{}
	}
	o.write(changes, func(w io.Writer) {
		if len(changes) == 0 {
			fmt.Fprintln(w, "no difference")
		}
		writeChanges(w, changes)
	})
}

// WriteWarnings prints the warnings of a review.
func (o Output) WriteWarnings(warnings []Warning) {
	if warnings == nil {
		warnings = []Warning{}
	}
	o.write(warnings, func(w io.Writer) {
		for _, warning := range warnings {
			fmt.Fprintln(w, "warning:", warning)
		}
	})
}

func writeChanges(w io.Writer, changes []Change) {
	for _, change := range changes {
		fmt.Fprintln(w, " ", change)
	}
}

// WriteHistory writes the versions as a table of columns.
func (o Output) WriteHistory(entries []HistoryEntry) {
	if entries == nil {
		entries = []HistoryEntry{}
	}
	o.write(entries, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		fmt.Fprintln(table, "VERSION\tAUTHOR\tCHANGES\tEDIT ID\tHASH")
		for _, entry := range entries {
			changes := fmt.Sprint(entry.Changes)
			if entry.Changes < 0 {
				changes = "-"
			}
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", entry.Version, entry.Author, changes, entry.EditID, entry.Hash)
		}
		_ = table.Flush() // fails when the reader of the output is gone
	})
}

// WriteStatus writes one row per node, followed by the problems of nodes whose status is not known and the routes that
// nodes refuse to serve.
func (o Output) WriteStatus(answers []NodeAnswer) {
	o.write(answers, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		fmt.Fprintln(table, "ADDRESS\tNODE\tZONE\tSTATE\tVERSION\tAGE\tMEMBERS\tUPSTREAM\tRUNNING\tQUEUED\tCALLS\tRECORDS\tREFUSED")
		for _, answer := range answers {
			fmt.Fprintln(table, formatStatusRow(answer))
		}
		_ = table.Flush() // fails when the reader of the output is gone
		for _, answer := range answers {
			if answer.Problem != "" {
				fmt.Fprintf(w, "%s: %s\n", answer.Address, answer.Problem)
			}
			for _, route := range answer.Status.UnsupportedRoutes {
				fmt.Fprintf(w, "%s: refuses requests on route %s: %s\n", answer.Address, route.Name, route.Problem)
			}
			for _, entry := range answer.Status.InvalidEntries {
				fmt.Fprintf(w, "%s: leaves out the entry %q in the store: %s\n", answer.Address, entry.Key, entry.Problem)
			}
		}
	})
}

func formatStatusRow(answer NodeAnswer) string {
	s := answer.Status
	if answer.Problem != "" {
		return answer.Address + "\t-\t-\tno answer\t\t\t\t\t\t\t\t\t"
	}
	state := "not ready"
	if s.Leaving {
		state = "leaving"
	} else if s.Ready {
		state = "ready"
	}
	cells := []string{
		answer.Address, s.Node, s.Zone, state, fmt.Sprint(s.Version.Number), fmt.Sprintf("%ds", s.VersionAgeMs/1000),
		formatMemberCounts(s.Members), strings.TrimSpace(s.Backend.Service + " " + s.Backend.State),
		fmt.Sprintf("%d/%d", s.Load.Running, s.Load.Slots), fmt.Sprint(s.Load.Queued),
		fmt.Sprint(s.Calls), fmt.Sprint(s.Records), fmt.Sprint(s.Rejected.Total()),
	}
	return strings.Join(cells, "\t")
}

func formatMemberCounts(members []nodestatus.Member) string {
	live := 0
	for _, member := range members {
		if member.IsLive() {
			live++
		}
	}
	return fmt.Sprintf("%d live of %d", live, len(members))
}
