package reducer

import (
	"testing"
	"time"

	"github.com/rosemaryhatch/rosemaryhatch/tables"
)

// BenchmarkQueueRemove measures removing a call from a full queue and adding it again. The time must not grow with the
// length of the queue.
func BenchmarkQueueRemove(b *testing.B) {
	var q priorityQueue
	q.init()
	calls := make([]*targetCall, tables.MaxQueueLimit)
	for i := range calls {
		calls[i] = &targetCall{priority: 7}
		q.push(calls[i])
	}
	b.ResetTimer()
	for i := range b.N {
		call := calls[(i*2654435761)%len(calls)]
		q.remove(call)
		q.push(call)
	}
}

// BenchmarkForwardedCall measures the three events of a call that is forwarded to a node with a long queue.
func BenchmarkForwardedCall(b *testing.B) {
	d := &testTarget{names: map[Handle]string{}, calls: map[string]Handle{}}
	pools := "[pool p]\nservice = s\nramp = 0s\nqueue_limit = 4096\nmin_share.7 = 10\n"
	d.state = New(Config{
		Self: "target", Zone: "z", Incarnation: 1, Limits: DefaultLimits(), Tables: testSnapshot(b, "", pools),
	})
	running := []Handle{}
	var started [tables.Priorities]int
	b.ResetTimer()
	for i := range b.N {
		if i%1000 == 0 {
			d.reduce(BackendRegistered{Service: "s", Address: "127.0.0.1:1", Slots: 6})
		}
		handle := Handle(i + 1)
		d.names[handle] = "7"
		in := ForwardArrived{
			Call: handle, ID: CallID{Origin: "f", Seq: uint64(handle)}, Pool: "p", Priority: 7, Idempotent: true,
			TimeLeft: time.Hour, TargetIncarnation: 1,
		}
		d.now += time.Microsecond
		running = d.trackStarts(in, running, &started)
		if i > 4000 {
			done := BackendRequestDone{Call: running[0], Result: BackendAnswered, Status: 200, Elapsed: time.Millisecond}
			running = d.trackStarts(done, running[1:], &started)
		}
	}
}
