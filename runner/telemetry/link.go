package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Metric families of the instance's link.
const (
	familyLinkPaced = "rosemaryhatch_link_paced_bytes_total"
	familyLinkWait  = "rosemaryhatch_link_wait_milliseconds_total"
)

// RegisterLink registers the bytes of large bodies that were sent, and how long their senders waited for the link.
func (m *Metrics) RegisterLink(paced func() int64, wait func() time.Duration) {
	metrics.NewRegisteredFunctionalGauge(familyLinkPaced, m.registry, paced)
	metrics.NewRegisteredFunctionalGauge(familyLinkWait, m.registry, func() int64 { return wait().Milliseconds() })
}
