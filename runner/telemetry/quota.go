package telemetry

import (
	"github.com/rcrowley/go-metrics"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// Metric families of quotas. Calls are counted at the node at which they enter, tokens at the owner of the quota. No label
// names a workspace, so that their number does not grow with the tables.
const (
	familyQuotaCalls  = "rosemaryhatch_quota_calls_total"
	familyQuotaTokens = "rosemaryhatch_quota_tokens_total"
	familyQuotaAsks   = "rosemaryhatch_quota_requests_total"
	familyQuotaOwned  = "rosemaryhatch_quota_owned"
)

// quotaMetrics are the metrics of quotas.
type quotaMetrics struct {
	admitted, refused, waited, byAllowance metrics.Counter
	granted, returned, short               metrics.Counter
	sent, received, silent                 metrics.Counter
	owned                                  metrics.Gauge
	last                                   reducer.QuotaStats // used by the control thread only
}

func (q *quotaMetrics) register(r metrics.Registry) {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	q.admitted = counter(familyQuotaCalls + `{result="admitted"}`)
	q.refused = counter(familyQuotaCalls + `{result="refused"}`)
	q.waited = counter(familyQuotaCalls + `{result="waited"}`)
	q.byAllowance = counter(familyQuotaCalls + `{result="allowance"}`)
	q.granted = counter(familyQuotaTokens + `{result="granted"}`)
	q.returned = counter(familyQuotaTokens + `{result="returned"}`)
	q.short = counter(familyQuotaTokens + `{result="refused"}`)
	q.sent = counter(familyQuotaAsks + `{side="node",result="sent"}`)
	q.silent = counter(familyQuotaAsks + `{side="node",result="silent"}`)
	q.received = counter(familyQuotaAsks + `{side="owner",result="received"}`)
	q.owned = metrics.GetOrRegisterGauge(familyQuotaOwned, r)
}

// QuotaStats takes over the counts of quotas. Only the control thread calls it.
func (m *Metrics) QuotaStats(e reducer.QuotaStats) {
	q, last := &m.quotas, m.quotas.last
	for _, c := range []struct {
		counter     metrics.Counter
		now, before float64
	}{
		{q.admitted, e.Node.Admitted, last.Node.Admitted}, {q.refused, e.Node.Refused, last.Node.Refused},
		{q.waited, e.Node.Waited, last.Node.Waited}, {q.byAllowance, e.Node.ByAllowance, last.Node.ByAllowance},
		{q.granted, e.Owner.Granted, last.Owner.Granted}, {q.returned, e.Owner.Returned, last.Owner.Returned},
		{q.short, e.Owner.Short, last.Owner.Short}, {q.sent, e.Node.Requests, last.Node.Requests},
		{q.silent, e.Node.Silent, last.Node.Silent}, {q.received, e.Owner.Requests, last.Owner.Requests},
	} {
		c.counter.Inc(int64(c.now - c.before))
	}
	q.owned.Update(int64(e.Owned))
	q.last = e
}
