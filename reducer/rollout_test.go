package reducer

import (
	"slices"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/storeera"
)

// Guards against a reader that watches on from a revision whose history the store has forgotten, and so misses an order.
func TestOrdersAreReadWhenTheHistoryIsGone(t *testing.T) {
	s := New(Config{Self: "n", Zone: "z", Address: "10.0.0.1:7", Incarnation: 1, Discover: true, Limits: DefaultLimits(), Rollouts: rollout.Settings{Enabled: true}})
	now := joinTimeout
	reduce := func(input Input) []Effect {
		now += time.Second
		return append(Reduce(s, Event{Now: now, Input: input}), Reduce(s, Event{Now: now + rolloutTick, Input: TimerDue{}})...)
	}
	for _, step := range []struct {
		input Input
		want  Effect
	}{
		{TimerDue{}, ReadRollouts{}},
		{RolloutsRead{Result: StoreOK, Revision: 5}, WatchRollouts{After: storeera.Revision{Number: 5}}},
		{RolloutsChanged{Result: StoreHistoryGone, After: storeera.Revision{Number: 5}}, ReadRollouts{}},
		{RolloutsRead{Result: StoreOK, Revision: 9}, WatchRollouts{After: storeera.Revision{Number: 9}}},
		{RolloutsChanged{Result: StoreOK, After: storeera.Revision{Number: 9}, Revision: 11}, ReadRollouts{}},
	} {
		if effects := reduce(step.input); !slices.Contains(effects, step.want) {
			t.Errorf("%+v: effects %+v, expected %+v", step.input, effects, step.want)
		}
	}
}
