package reducer

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"
)

// orderDigest is the digest of the decisions of commit 213ce65, which had no shares of workspaces and no nested calls, for
// the calls of TestOrderWithoutWorkspacesIsUnchanged.
const orderDigest = 0xeac4b8bcf6221668

// Guards against a change of the order of calls, of refusals or of evictions in a deployment without workspaces.
func TestOrderWithoutWorkspacesIsUnchanged(t *testing.T) {
	const seed = 17
	rng := rand.New(rand.NewPCG(seed, 1))
	d := &testTarget{t: t, names: map[Handle]string{}, calls: map[string]Handle{}}
	d.state = New(Config{
		Self: "target", Zone: "z", Incarnation: 1, Limits: DefaultLimits(),
		Tables: testSnapshot(t, "[route r]\npool = p\n", "[pool p]\nservice = s\nramp = 0s\nqueue_limit = 20\nmin_share.2 = 20\nmin_share.7 = 10\n"),
	})
	digest, decisions := fnv.New64a(), 0
	running := map[Handle]time.Duration{}
	apply := func(input Input) {
		for _, effect := range Reduce(d.state, Event{Now: d.now, Rand: rng.Uint64(), Input: input}) {
			switch e := effect.(type) {
			case StartBackendRequest:
				running[e.Call] = d.now + time.Duration(2+rng.IntN(40))*time.Millisecond
				fmt.Fprintln(digest, d.now, "start", e.Call)
			case AnswerForward:
				fmt.Fprintln(digest, d.now, "answer", e.Call, e.Outcome, e.Reason, e.Load.Waits, e.Load.LateWaits, e.Load.Queued)
			case AbortBackendRequest:
				fmt.Fprintln(digest, d.now, "abort", e.Call)
			default:
				continue
			}
			decisions++
		}
	}
	handle := Handle(0)
	for ; d.now < 20*time.Second; d.now += time.Millisecond {
		if d.now%time.Second == 0 {
			apply(BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: 4})
		}
		for call := Handle(1); call <= handle; call++ {
			if ends, ok := running[call]; ok && ends <= d.now {
				delete(running, call)
				apply(BackendRequestDone{Call: call, Result: BackendAnswered, Status: 200, Elapsed: time.Duration(2+rng.IntN(40)) * time.Millisecond})
			}
		}
		for rng.Float64() < 0.2 {
			handle++
			apply(ForwardArrived{
				Call: handle, ID: CallID{Origin: "o", Seq: uint64(handle)}, Attempt: 1, Route: fmt.Sprint("r", rng.IntN(3)), Pool: "p",
				Priority: []int{0, 1, 2, 7}[rng.IntN(4)], Idempotent: true, TimeLeft: time.Duration(50+rng.IntN(500)) * time.Millisecond,
				DueIn: time.Duration(rng.IntN(2)*(20+rng.IntN(200))) * time.Millisecond, TargetIncarnation: 1,
			})
		}
		apply(TimerDue{})
	}
	t.Logf("seed %d: %d decisions, digest %#x", seed, decisions, digest.Sum64())
	if digest.Sum64() != orderDigest {
		t.Errorf("the decisions have digest %#x, those of commit 213ce65 %#x", digest.Sum64(), uint64(orderDigest))
	}
}
