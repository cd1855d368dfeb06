package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcomes of a call from its caller's point of view. The first three are the values of the header
// Rosemaryhatch-Outcome.
const (
	OutcomeDone    = "done"
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
	OutcomeLost    = "lost"    // no complete response
	OutcomeCrossed = "crossed" // a response that does not match the request
	OutcomeRefused = "refused" // every target refused the connection
	OutcomeInvalid = "invalid" // a response without a known outcome
)

// Call is the record of one finished call.
type Call struct {
	ID         string `json:"id"`
	Route      string `json:"route"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Outcome    string `json:"outcome"`
	Status     int    `json:"status,omitempty"`
	Refused    int    `json:"refused,omitempty"` // targets that refused the connection
	Problem    string `json:"problem,omitempty"`
	Target     string `json:"target,omitempty"` // address that the call was sent to last
	// Due is the scheduled time of the call, Took the time from then until its end.
	Due  time.Time     `json:"due"`
	Took time.Duration `json:"took_ns"`
}

// Latency holds percentiles of the latency in milliseconds. Latency counts from the scheduled time of a call.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P90 float64 `json:"p90_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// RouteReport summarizes the calls to a route.
type RouteReport struct {
	Name        string         `json:"name"`
	Priority    int            `json:"priority"`
	Idempotent  bool           `json:"idempotent"`
	Calls       int            `json:"calls"`
	Outcomes    map[string]int `json:"outcomes"`
	DoneLatency Latency        `json:"latency_done"` // of the calls with outcome done
}

// Report is the result of a run.
type Report struct {
	Seed               uint64        `json:"seed"`
	Prefix             string        `json:"prefix"`
	Started            time.Time     `json:"started"`
	ElapsedMs          int64         `json:"elapsed_ms"`
	Issued             int           `json:"issued"`
	Skipped            int           `json:"skipped"`             // calls not sent because too many were in flight
	RefusedConnections int           `json:"refused_connections"` // sum of Call.Refused
	Routes             []RouteReport `json:"routes"`
	Calls              []Call        `json:"calls"`
}

func newReport(options Options, s *schedule, started time.Time, elapsed time.Duration) Report {
	report := Report{
		Seed: options.Seed, Prefix: options.Prefix, Started: started, ElapsedMs: elapsed.Milliseconds(),
		Issued: s.issued, Skipped: s.skipped, Calls: s.calls,
	}
	for _, spec := range options.Specs {
		route := RouteReport{Name: spec.Name, Priority: spec.Priority, Idempotent: spec.Idempotent, Outcomes: map[string]int{}}
		var latencies []time.Duration
		for _, call := range s.calls {
			if call.Route != spec.Name {
				continue
			}
			route.Calls++
			route.Outcomes[call.Outcome]++
			report.RefusedConnections += call.Refused
			if call.Outcome == OutcomeDone {
				latencies = append(latencies, call.Took)
			}
		}
		route.DoneLatency = summarizeLatencies(latencies)
		report.Routes = append(report.Routes, route)
	}
	return report
}

// Range and precision of the latency histograms: from 1 us to a maximum longer than any call, with three
// significant digits.
const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// summarizeLatencies returns the percentiles of the latencies, zeros if there are none.
func summarizeLatencies(latencies []time.Duration) Latency {
	histogram := hdrhistogram.New(1, maxLatencyMicros, significantDigits)
	for _, latency := range latencies {
		// Fails only for values above maxLatencyMicros.
		_ = histogram.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
	}
	percentileMillis := func(percent float64) float64 { return float64(histogram.ValueAtQuantile(percent)) / 1000 }
	return Latency{P50: percentileMillis(50), P90: percentileMillis(90), P99: percentileMillis(99), Max: float64(histogram.Max()) / 1000}
}

// Count returns the number of calls with an outcome.
func (r Report) Count(outcome string) int {
	total := 0
	for _, route := range r.Routes {
		total += route.Outcomes[outcome]
	}
	return total
}

// Write prints the report as text, without the individual calls.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "ROUTE\tPRIORITY\tCALLS\tDONE\tNOT_RUN\tUNKNOWN\tLOST\tCROSSED\tREFUSED\tINVALID\tP50 ms\tP99 ms\tMAX ms")
	for _, route := range r.Routes {
		fmt.Fprintf(table, "%s\t%d\t%d", route.Name, route.Priority, route.Calls)
		for _, outcome := range []string{OutcomeDone, OutcomeNotRun, OutcomeUnknown, OutcomeLost, OutcomeCrossed, OutcomeRefused, OutcomeInvalid} {
			fmt.Fprintf(table, "\t%d", route.Outcomes[outcome])
		}
		fmt.Fprintf(table, "\t%.1f\t%.1f\t%.1f\n", route.DoneLatency.P50, route.DoneLatency.P99, route.DoneLatency.Max)
	}
	_ = table.Flush() // fails only if the output is closed
	fmt.Fprintf(w, "seed %d, %d calls in %d ms, %d skipped, %d refused connections retried elsewhere\n",
		r.Seed, r.Issued, r.ElapsedMs, r.Skipped, r.RefusedConnections)
}
