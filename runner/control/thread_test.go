package control

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
)

// TestMain guards against a control thread that does not end.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answers hands Respond effects to a channel.
type answers chan reducer.Effect

func (a answers) Perform(effect reducer.Effect) reducer.Input {
	if respond, ok := effect.(reducer.FailCall); ok {
		a <- respond
	}
	return nil
}

func start(tb testing.TB, observe func(reducer.Input, time.Duration)) (*Thread, answers) {
	thread, out := New(observe), make(answers, arrivalQueue)
	ctx, cancel := context.WithCancel(context.Background())
	go thread.Run(ctx, reducer.New(reducer.Config{Self: "n1", Limits: reducer.DefaultLimits()}), out)
	tb.Cleanup(func() {
		cancel()
		<-thread.Done()
	})
	return thread, out
}

// Guards against events that are lost or block their sender for ever when the thread ends, and against an
// arrival queue without bound.
func TestQueuesAreBoundedAndEnd(t *testing.T) {
	thread := New(nil)
	for range arrivalQueue {
		if !thread.Arrive(reducer.CallArrived{}) {
			t.Fatal("an arrival was refused below the bound")
		}
	}
	if thread.Arrive(reducer.CallArrived{}) || thread.Arrivals() != arrivalQueue {
		t.Errorf("%d arrivals wait, expected at most %d", thread.Arrivals(), arrivalQueue)
	}
	for range completionQueue {
		thread.Post(reducer.TimerDue{})
	}
	blocked := make(chan bool)
	go func() { blocked <- thread.Post(reducer.TimerDue{}) }()
	close(thread.done)
	if <-blocked || thread.Arrive(reducer.CallArrived{}) {
		t.Error("an event was taken after the thread had ended")
	}
	for range 20 { // one try would miss the fault every other time
		<-thread.completions
		if thread.Post(reducer.TimerDue{}) {
			t.Fatal("an event was queued that nobody will read")
		}
	}
}

// BenchmarkHandOver measures a new call from its goroutine through the control thread and back, with a
// decision that takes next to nothing.
func BenchmarkHandOver(b *testing.B) {
	thread, out := start(b, func(reducer.Input, time.Duration) {})
	b.ReportAllocs()
	for b.Loop() {
		thread.Arrive(reducer.CallArrived{Call: 1})
		<-out
	}
}

// BenchmarkThroughput measures the events that the control thread takes when they come without pause.
func BenchmarkThroughput(b *testing.B) {
	thread, _ := start(b, func(reducer.Input, time.Duration) {})
	b.ReportAllocs()
	for b.Loop() {
		thread.Post(reducer.CancelArrived{})
	}
}
