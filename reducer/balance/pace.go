// Package balance compares upstreams by the time in which they are expected to complete a call: the wait for a slot and
// the service time that their load reports have shown. The reducer owns its values and uses its results.
package balance

import (
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// paceReports is the number of reports over which a service time is averaged. One report averages about 19
	// executions, of which 3 in 100 take 7 times as long: it is off by a third, the mean of 16 reports by a tenth.
	paceReports = 16
	// minPaceReports is the number of reports before a service time is used.
	minPaceReports = 4
)

// mean is a moving average of service times: that of all values up to paceReports, then an exponential one.
type mean struct {
	value   time.Duration
	samples int
}

func (m *mean) add(value time.Duration) {
	if value <= 0 {
		return
	}
	m.samples = min(m.samples+1, paceReports)
	m.value += (value - m.value) / time.Duration(m.samples)
}

// Pace is what a node has learned of the service times of one upstream.
type Pace struct {
	all        mean
	byPriority [tables.Priorities]mean
}

// Observe adds the service times of a load report: the mean of all executions, and for each priority the shortest
// expected one, 0 if it is not known.
func (p *Pace) Observe(all time.Duration, byPriority *[tables.Priorities]time.Duration) {
	p.all.add(all)
	for priority, service := range byPriority {
		p.byPriority[priority].add(service)
	}
}

// AllPriorities stands for the calls of all priorities together where a priority is expected.
const AllPriorities = -1

// Service returns the expected service time of a call of a priority, and false while too few reports have come.
func (p *Pace) Service(priority int) (time.Duration, bool) {
	if priority != AllPriorities && p.byPriority[priority].samples >= minPaceReports {
		return p.byPriority[priority].value, true
	}
	return p.all.value, p.all.samples >= minPaceReports
}

// known returns the mean service time of all calls, and false until paceReports reports have come.
func (p *Pace) known() (time.Duration, bool) { return p.all.value, p.all.samples >= paceReports }
