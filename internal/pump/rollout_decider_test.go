package pump

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// Guards against a change of the decider after which nodes take the repetitions of the new one for old ones: they then lost
// their permission to use the old version, and reported to a node that was gone. A planned stop of the decider delays the
// roll-out of a good version by less than its reserve, and refuses no request for lack of an upstream.
func TestDeciderIsReplaced(t *testing.T) {
	ends := map[string]func(*Node){"stopped": (*Node).Stop, "killed": (*Node).Kill}
	for name, end := range ends {
		for _, at := range []time.Duration{3 * time.Second, 7 * time.Second, 7700 * time.Millisecond, 8200 * time.Millisecond} {
			t.Run(fmt.Sprint(name, "/", at), func(t *testing.T) {
				w := newRolloutWorld(t, 31)
				w.order("v2")
				before := len(w.History.Answers)
				w.After(at, func() {
					decider := w.Store.Decider("desk")
					if decider == nil {
						t.Fatal("no node decides")
					}
					end(decider)
				})
				limit := rolloutDuration
				if name == "killed" {
					limit += rollout.LeaseTTL
				}
				w.finish(t, limit, rollout.Succeeded)
				for _, a := range w.History.Answers[before:] {
					if a.Reason == reducer.ReasonNoUpstream {
						t.Fatalf("request %s was refused for lack of an upstream", a.Request.ID)
					}
				}
			})
		}
	}
}
