package main

import (
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the longest time that a histogram records; longer times are recorded as this one.
	maxRecorded = 10 * time.Minute
	// significantDigits keeps the error of a recorded time below 0.1%.
	significantDigits = 3
)

// latencies is a histogram of times in ns.
type latencies struct{ *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, int64(maxRecorded), significantDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.RecordValue(int64(min(max(d, 1), maxRecorded))) // cannot fail: the value is in range
}

func (l latencies) percentile(percent float64) time.Duration {
	return time.Duration(l.ValueAtPercentile(percent))
}

func (l latencies) longest() time.Duration { return time.Duration(l.Max()) }

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(columns ...string) table {
	t := table{tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', tabwriter.AlignRight)}
	t.row(columns...)
	return t
}

func (t table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")+"\t") }

func (t table) print() {
	_ = t.w.Flush() // fails only when the output is closed
}

func micros(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/1e3) }
func millis(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d)/1e6) }
func formatNumber(v float64) string { return fmt.Sprintf("%.1f", v) }

// printTransposed prints a row with one column per line. It prints at once, so that an interrupted run keeps the
// results so far.
func printTransposed(columns, cells []string) {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	for i, cell := range cells {
		fmt.Fprintf(w, "  %s\t%s\n", columns[i], cell)
	}
	_ = w.Flush() // fails only when the output is closed
}

// printHeading prints the name of a measurement, the time and the load average of the machine.
func printHeading(name string) {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		load = []byte("unknown")
	}
	fmt.Printf("\n== %s (%s, load average %s)\n", name, time.Now().UTC().Format("15:04:05"), strings.TrimSpace(string(load)))
}
