package peer

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	slowlink "github.com/rosemaryhatch/rosemaryhatch/internal/standin/link"
	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/link"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// linkMbps is a tenth of the rate of the deployments' links, so that delays of the scheduler count little. maxWait is the
// time that the bytes of 20 ms at 10 Mbit/s take.
const (
	linkMbps = 1
	maxWait  = 200 * time.Millisecond
)

// startSlowPair is startPair with a link of linkMbps between client and server.
func startSlowPair(t *testing.T, handler Handler, paced bool) (*fixture, *slowlink.Proxy) {
	t.Helper()
	f := startPair(t, identity("client"), identity("target"), handler)
	proxy, err := slowlink.Start(f.to.Address, linkMbps)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	f.to.Address = proxy.Address()
	if paced {
		f.client.SetPacer(link.New(linkMbps))
		f.server.SetPacer(link.New(linkMbps))
	}
	return f, proxy
}

// bulkHandler answers calls to /long with body, and others with the length of the body of the request.
type bulkHandler struct {
	echoHandler
	body []byte
}

func (h *bulkHandler) Forward(_ func(reducer.Handle) reducer.ForwardArrived, request *traffic.Request, _ <-chan struct{}) (reducer.AnswerForward, *traffic.Response) {
	response := &traffic.Response{Status: http.StatusOK, Body: []byte("ok")}
	if request.URI == "/long" {
		response.Body = h.body
	}
	if len(request.Body) > link.LargeBytes && !bytes.Equal(request.Body, h.body) {
		response.Body = []byte("changed")
	}
	return reducer.AnswerForward{Outcome: reducer.OutcomeDone}, response
}

// runBulk makes downloads and uploads for three seconds, with small calls beside them, and returns how many large calls ended.
func runBulk(t *testing.T, f *fixture, body []byte) int64 {
	var seq atomic.Uint64
	var ended atomic.Int64
	end := time.Now().Add(3 * time.Second)
	call := func(request *traffic.Request, streaming bool) {
		forward := reducer.Forward{To: f.to, ID: reducer.CallID{Seq: seq.Add(1)}, Attempt: 1, Streaming: streaming, TimeLeft: time.Minute, BodyAhead: f.client.isLarge(request)}
		done, response := f.client.Forward(context.Background(), forward, request)
		want := []byte("ok")
		if request.URI == "/long" {
			want = body
		}
		if done.Outcome != reducer.OutcomeDone || response == nil || !bytes.Equal(response.Body, want) {
			t.Errorf("%s %s ended as %+v", request.Method, request.URI, done)
		}
		if request.URI != "/small" {
			ended.Add(1)
		}
	}
	var group sync.WaitGroup
	repeat := func(request *traffic.Request, streaming bool, pause time.Duration) {
		group.Go(func() {
			for time.Now().Before(end) {
				call(request, streaming)
				time.Sleep(pause)
			}
		})
	}
	for range 8 {
		repeat(&traffic.Request{Method: "GET", URI: "/long"}, true, 0)
		repeat(&traffic.Request{Method: "POST", URI: "/upload", Body: body}, false, 0)
	}
	repeat(&traffic.Request{Method: "GET", URI: "/long"}, false, 0) // a long body of another route
	for range 4 {
		repeat(&traffic.Request{Method: "GET", URI: "/small"}, false, 40*time.Millisecond)
	}
	group.Wait()
	return ended.Load()
}

// Guards against small messages that wait long behind large bodies on the link of an instance, and against large bodies that
// are changed or held up by being sent in paced parts. Without pacing the same load must fail, or it would show nothing. The
// 90th percentile counts: a goroutine that the scheduler holds up for longer than the pause between two chunks lets these
// follow each other.
func TestSmallMessagesPassLargeBodies(t *testing.T) {
	body := pattern(24 << 10)
	for _, paced := range []bool{true, false} {
		f, proxy := startSlowPair(t, &bulkHandler{body: body}, paced)
		ended := runBulk(t, f, body)
		out, back := proxy.Up.Wait(90), proxy.Down.Wait(90)
		t.Logf("paced %v: 90th percentile of the wait %v out, %v back; %d large calls", paced, out, back, ended)
		if paced != (out <= maxWait && back <= maxWait) {
			t.Errorf("paced %v: small messages wait %v out and %v back, the bound with pacing is %v", paced, out, back, maxWait)
		}
		if ended < 10 {
			t.Errorf("paced %v: %d large calls ended in 3 s", paced, ended)
		}
	}
}

// Guards against a call that runs with a part of its body, or whose body is sent although the target refuses it.
func TestCallWithoutItsBodyDoesNotRun(t *testing.T) {
	handler := &echoHandler{}
	f := startPair(t, identity("client"), identity("target"), handler)
	f.client.SetPacer(link.New(1000))
	key := streamKey{reducer.CallID{Seq: 1}, 1}
	if !f.server.uploads.begin(key, maxUploadBytes, time.Minute) {
		t.Fatal("the first body is refused")
	}
	forward := reducer.Forward{To: f.to, ID: reducer.CallID{Seq: 2}, Attempt: 1, TimeLeft: time.Minute, BodyAhead: true}
	done, _ := f.client.Forward(context.Background(), forward, postRequest(100<<10))
	if done.Outcome != reducer.OutcomeNotRun || done.Reason != reducer.ReasonQueueFull {
		t.Errorf("a body beyond the memory of the target ended as %+v", done)
	}
	if f.client.pacer.PacedBytes() != 0 {
		t.Errorf("%d bytes of a refused body were sent", f.client.pacer.PacedBytes())
	}
	if err := f.server.uploads.write(key, 0, []byte("part")); err != nil {
		t.Fatal(err)
	}
	if err := f.server.uploads.write(key, 100, []byte("part")); err == nil {
		t.Error("a part is accepted that does not follow the one before")
	}
	s := &service{uploads: &f.server.uploads}
	args := &ForwardArgs{ID: CallID{Seq: 1}, Attempt: 1, Uploaded: true}
	var answer Answer
	if err := s.Forward(args, &answer); err != nil || reducer.Outcome(answer.Outcome) != reducer.OutcomeNotRun {
		t.Errorf("a call with a part of its body ended as %+v, %v", answer, err)
	}
	if f.server.uploads.reserved != 0 {
		t.Errorf("%d bytes stay reserved", f.server.uploads.reserved)
	}
}

// countingHandler counts the calls that arrive.
type countingHandler struct {
	echoHandler
	calls atomic.Int64
}

func (h *countingHandler) Forward(_ func(reducer.Handle) reducer.ForwardArrived, _ *traffic.Request, _ <-chan struct{}) (reducer.AnswerForward, *traffic.Response) {
	h.calls.Add(1)
	return reducer.AnswerForward{Outcome: reducer.OutcomeDone}, nil
}

// Guards against an upload that is reported as lost, so that its outcome stays unknown, or that runs, when the target ends
// while its body is being sent.
func TestTargetEndsDuringUpload(t *testing.T) {
	handler := &countingHandler{}
	f := startPair(t, identity("client"), identity("target"), handler)
	f.client.SetPacer(link.New(1)) // 100 KB take 0.9 s
	ended := make(chan reducer.ForwardDone)
	go func() {
		forward := reducer.Forward{To: f.to, ID: reducer.CallID{Seq: 1}, Attempt: 1, TimeLeft: time.Minute, BodyAhead: true}
		done, _ := f.client.Forward(context.Background(), forward, postRequest(100_000))
		ended <- done
	}()
	for f.client.pacer.PacedBytes() < link.ChunkBytes {
		time.Sleep(time.Millisecond)
	}
	f.server.Close()
	if done := <-ended; done.Result != reducer.ForwardNotSent || handler.calls.Load() != 0 {
		t.Errorf("the attempt ended as %+v, %d calls arrived", done, handler.calls.Load())
	}
}
