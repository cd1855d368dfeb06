package processtest

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// rollOutTable collects the figures of runs, which end in any order. It is safe for concurrent use.
type rollOutTable struct {
	mu   sync.Mutex
	rows map[string][]rollOutMeasurement // by case
}

func (t *rollOutTable) add(c rollOutCase, m rollOutMeasurement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil {
		t.rows = map[string][]rollOutMeasurement{}
	}
	t.rows[c.String()] = append(t.rows[c.String()], m)
}

// String returns the table in Markdown, a row for each case. Figures of several runs are the least and the greatest.
func (t *rollOutTable) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var b strings.Builder
	b.WriteString("| case | runs | ended as | time to the end, s | requests at the new version | share | bad responses | 50th bad to last request, s |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, name := range slices.Sorted(maps.Keys(t.rows)) {
		rows := t.rows[name]
		states := map[string]int{}
		for _, m := range rows {
			states[m.state]++
		}
		var ends []string
		for _, state := range slices.Sorted(maps.Keys(states)) {
			ends = append(ends, fmt.Sprintf("%s %d", state, states[state]))
		}
		fmt.Fprintf(&b, "| %s | %d | %s | %s | %s | %s | %s | %s |\n", name, len(rows), strings.Join(ends, ", "),
			span(rows, "%.1f", func(m rollOutMeasurement) float64 { return m.took.Seconds() }),
			span(rows, "%.0f", func(m rollOutMeasurement) float64 { return float64(m.exposed) }),
			span(rows, "%.3f", rollOutMeasurement.share),
			span(rows, "%.0f", func(m rollOutMeasurement) float64 { return float64(m.bad) }),
			span(rows, "%.2f", func(m rollOutMeasurement) float64 { return m.fiftiethToEnd.Round(time.Millisecond).Seconds() }))
	}
	return b.String()
}

// span formats the least and the greatest value of a figure, or one if they are the same.
func span(rows []rollOutMeasurement, format string, value func(rollOutMeasurement) float64) string {
	least, greatest := value(rows[0]), value(rows[0])
	for _, m := range rows {
		least, greatest = min(least, value(m)), max(greatest, value(m))
	}
	low, high := fmt.Sprintf(format, least), fmt.Sprintf(format, greatest)
	if low == high {
		return low
	}
	return low + " to " + high
}
