package pump

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/reducer/rollout"
)

// Guards against a bad version that keeps its share after its decider was killed, because the nodes still report to the
// dead one. The lease lapses 3 s after the kill, a second later another node decides, and a second is enough for a verdict.
func TestBadVersionIsFoundByTheNextDecider(t *testing.T) {
	w := newRolloutWorld(t, 5)
	w.setVersion("v2", func(b *Backend) { b.FailShare = 0.6 })
	w.order("v2")
	w.Run(w.Now + 300*time.Millisecond)
	d := w.Store.Decider("desk")
	if d == nil {
		t.Fatal("no node decides after 300 ms")
	}
	d.Kill()
	w.finish(t, 300*time.Millisecond+rollout.LeaseTTL+2*time.Second, rollout.RolledBack)
}
