package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Metric families of the instance's link.
const (
	familyLinkPaced = "rosemaryhatch_link_paced_bytes_total"
	familyLinkWait  = "rosemaryhatch_link_wait_milliseconds_total"
	familyBacklog   = "rosemaryhatch_link_backlog_milliseconds"
	familyLinkFull  = "rosemaryhatch_link_refusals"
)

// RegisterLink registers the bytes of large bodies that were sent, and how long their senders waited for the link.
func (m *Metrics) RegisterLink(paced func() int64, wait func() time.Duration) {
	metrics.NewRegisteredFunctionalGauge(familyLinkPaced, m.registry, paced)
	metrics.NewRegisteredFunctionalGauge(familyLinkWait, m.registry, func() int64 { return wait().Milliseconds() })
}

// updateLink updates what the control thread knows of the link.
func (m *Metrics) updateLink(status reducer.Status) {
	m.gauge(familyBacklog).Update(status.Load.LinkBacklog.Milliseconds())
	m.gauge(familyLinkFull).Update(int64(status.LinkRefusals))
}
