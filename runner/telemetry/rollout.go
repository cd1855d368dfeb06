package telemetry

import (
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// RolloutObserved updates the metrics of a roll-out at the node that decides it.
func (m *Metrics) RolloutObserved(e reducer.RolloutObserved) {
	m.gauge("%s{service=%q,software=%q}", familyRolloutShare, e.Service, e.Version).Update(int64(100 * e.Share))
	m.gauge("%s{service=%q,software=%q,age=\"new\"}", familyRolloutCalls, e.Service, e.Version).Update(int64(e.Finding.NewCalls))
	m.gauge("%s{service=%q,software=%q,age=\"old\"}", familyRolloutCalls, e.Service, e.Version).Update(int64(e.Finding.OldCalls))
	if e.State != rollout.Running {
		m.count("%s{service=%q,software=%q,state=%q}", familyRolloutEnds, e.Service, e.Version, e.State)
	}
}
