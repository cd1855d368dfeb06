package balance

import (
	"slices"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

const (
	// enableRatio and disableRatio are how many times the service time at the fastest quarter of the upstreams that at
	// the slowest quarter must be to enable the comparison by speed, and below which it ends. Service times of equal
	// upstreams are learned to within a tenth, which gives a ratio of up to 1.25.
	enableRatio  = 1.5
	disableRatio = 1.3
	// minPaces is the number of upstreams whose service times must be known. Quarters of fewer say nothing.
	minPaces = 6
	// modeInterval is the time between two checks. A check sorts the service times of all upstreams that are called.
	modeInterval = time.Second
	// modeHold is the least time between two changes, which also bounds the log lines about them.
	modeHold = 10 * time.Second
)

// Mode decides whether the upstreams of a service are compared by speed.
type Mode struct {
	ratio     float64 // of the service times at the last check, 0 before
	enabled   bool
	checked   bool
	checkedAt time.Duration
	changed   bool
	changedAt time.Duration
	times     []time.Duration
	typical   [tables.Priorities]time.Duration // 0 when not known
	overall   time.Duration                    // of all priorities; 0 when not known
}

// Ratio returns how many times the service time at the fastest quarter that at the slowest quarter was at the last check.
func (m *Mode) Ratio() float64 { return m.ratio }

// Enabled reports whether the upstreams are compared by speed.
func (m *Mode) Enabled() bool { return m.enabled }

// Due reports whether it is time for a check.
func (m *Mode) Due(now time.Duration) bool { return !m.checked || now-m.checkedAt >= modeInterval }

// Typical returns the mean service time of a priority over the upstreams at the last check, 0 before it is known.
func (m *Mode) Typical(priority int) time.Duration {
	if priority == AllPriorities {
		return m.overall
	}
	return m.typical[priority]
}

// Check decides anew from what has been learned of the given number of upstreams, and reports whether the decision has
// changed.
func (m *Mode) Check(now time.Duration, count int, pace func(i int) *Pace) (changed bool) {
	m.checkedAt, m.checked = now, true
	m.learn(count, pace)
	if len(m.times) < minPaces || m.changed && now-m.changedAt < modeHold {
		return false
	}
	slices.Sort(m.times)
	quarter := len(m.times) / 4
	m.ratio = float64(m.times[len(m.times)-1-quarter]) / float64(m.times[quarter])
	enable := m.ratio >= enableRatio || m.enabled && m.ratio >= disableRatio
	if enable == m.enabled {
		return false
	}
	m.enabled, m.changed, m.changedAt = enable, true, now
	return true
}

// learn collects the known service times and their means by priority.
func (m *Mode) learn(count int, pace func(i int) *Pace) {
	m.times = m.times[:0]
	var sums [tables.Priorities]time.Duration
	var counts [tables.Priorities]time.Duration
	for i := range count {
		p := pace(i)
		if service, ok := p.known(); ok {
			m.times = append(m.times, service)
		}
		for priority := range sums {
			if service, ok := p.Service(priority); ok {
				sums[priority] += service
				counts[priority]++
			}
		}
	}
	for priority := range sums {
		m.typical[priority] = sums[priority] / max(counts[priority], 1)
	}
	m.overall = 0
	for _, service := range m.times {
		m.overall += service / time.Duration(len(m.times))
	}
}
