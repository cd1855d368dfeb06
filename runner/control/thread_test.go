package control

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// TestMain fails if a control thread is left running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// failedCalls is a performer that sends FailCall effects to a channel.
type failedCalls chan reducer.Effect

func (f failedCalls) Perform(effect reducer.Effect) reducer.Input {
	if failure, ok := effect.(reducer.FailCall); ok {
		f <- failure
	}
	return nil
}

func startThread(tb testing.TB, observe func(reducer.Input, time.Duration)) (*Thread, failedCalls) {
	thread, out := New(observe), make(failedCalls, arrivalQueueSize)
	ctx, cancel := context.WithCancel(context.Background())
	go thread.Run(ctx, reducer.New(reducer.Config{Self: "n1", Limits: reducer.DefaultLimits()}), out)
	tb.Cleanup(func() {
		cancel()
		<-thread.Done()
	})
	return thread, out
}

// Guards against events that are lost or block their sender forever when the thread ends, and against an unbounded
// arrival queue.
func TestQueueBoundsAndShutdown(t *testing.T) {
	thread := New(nil)
	for range arrivalQueueSize {
		if !thread.PostArrival(reducer.CallArrived{}) {
			t.Fatal("an arrival was refused although the queue was not full")
		}
	}
	if thread.PostArrival(reducer.CallArrived{}) || thread.QueuedArrivals() != arrivalQueueSize {
		t.Errorf("%d arrivals are queued, expected at most %d", thread.QueuedArrivals(), arrivalQueueSize)
	}
	for range completionQueueSize {
		thread.Post(reducer.TimerDue{})
	}
	posted := make(chan bool)
	go func() { posted <- thread.Post(reducer.TimerDue{}) }()
	close(thread.done)
	if <-posted || thread.PostArrival(reducer.CallArrived{}) {
		t.Error("an event was accepted after the thread had ended")
	}
	for range 20 { // repeated, because a single attempt misses the fault in half of the runs
		<-thread.completions
		if thread.Post(reducer.TimerDue{}) {
			t.Fatal("an event was queued after the thread had ended")
		}
	}
}

// BenchmarkRoundTrip measures the round trip of a new call from its goroutine to the control thread and back. The call
// is refused at once, so that the decision takes almost no time.
func BenchmarkRoundTrip(b *testing.B) {
	thread, out := startThread(b, func(reducer.Input, time.Duration) {})
	b.ReportAllocs()
	for b.Loop() {
		thread.PostArrival(reducer.CallArrived{Call: 1})
		<-out
	}
}

// BenchmarkThroughput measures the time per event when events are posted without pause.
func BenchmarkThroughput(b *testing.B) {
	thread, _ := startThread(b, func(reducer.Input, time.Duration) {})
	b.ReportAllocs()
	for b.Loop() {
		thread.Post(reducer.CancelArrived{})
	}
}
