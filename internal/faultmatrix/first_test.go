package faultmatrix

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a first request that runs after its repeat: four retransmissions (0.2 s, doubling, 3 s in total) delay
// it, meanwhile the caller repeats it at another node, and the upstream that ran the repeat dies. Also guards against
// answering the delayed request with not_run although the repeat ran.
func TestFirstRequestHeldUpBeyondItsRepeat(t *testing.T) {
	const delay = 3 * time.Second
	t.Logf("seed %d", matrixSeed)
	for key := range 12 {
		for killedAfter := 100 * time.Millisecond; killedAfter < delay; killedAfter += 400 * time.Millisecond {
			w := newWorld(matrixSeed, Scenario{SixNodes: true, WarmUp: keyWarmUp})
			name := fmt.Sprint("k", key)
			sendRequest(w, Remote, "repeat", "/dues", name, false)
			w.After(killedAfter, w.Node(Target).Kill)
			w.After(delay, func() { sendFirstRequest(w, Ingress, "first", "/dues", name) })
			w.Run(w.Now + delay + Recovery)
			for _, violation := range w.CheckInvariants() {
				t.Errorf("key %s, death after %v: %v", name, killedAfter, violation)
			}
		}
	}
}
