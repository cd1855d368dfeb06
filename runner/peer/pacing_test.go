package peer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// slowLink is a first-in-first-out link of linkMbps in one direction, which all connections share.
type slowLink struct {
	mu    sync.Mutex
	busy  time.Time
	waits []time.Duration // of small pieces, behind those sent before
}

// smallPiece is the longest piece that counts as a small message. Large bodies are read in longer pieces.
const smallPiece = 2 << 10

func (l *slowLink) book(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.busy.Before(now) {
		l.busy = now
	}
	if n <= smallPiece {
		l.waits = append(l.waits, l.busy.Sub(now))
	}
	l.busy = l.busy.Add(time.Duration(n) * 8 * time.Microsecond / linkMbps)
	return l.busy
}

// wait90 returns the 90th percentile of the waits of small messages. A goroutine that the scheduler holds up for longer than
// the pause between two chunks lets these follow each other.
func (l *slowLink) wait90() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.waits)
	return l.waits[len(l.waits)*90/100]
}

type piece struct {
	at   time.Time
	data []byte
}

// carry moves bytes over the link. Up to 256 KiB of a connection are under way, as in the buffers of TCP.
func (l *slowLink) carry(to, from net.Conn) {
	pieces := make(chan piece, 64)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, 4<<10)
			n, err := from.Read(data)
			if err != nil {
				return
			}
			pieces <- piece{l.book(n), data[:n]}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		to.Write(p.data)
	}
	to.Close()
}

// startSlowPair is startPair with links of linkMbps between client and server, in each direction.
func startSlowPair(t *testing.T, handler Handler, paced bool) (f *fixture, up, down *slowLink) {
	t.Helper()
	f = startPair(t, identity("client"), identity("target"), handler)
	proxy, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { proxy.Close() })
	up, down = &slowLink{}, &slowLink{}
	target := f.to.Address
	go func() {
		for {
			conn, err := proxy.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go up.carry(server, conn)
			go down.carry(conn, server)
		}
	}()
	f.to.Address = proxy.Addr().String()
	if paced {
		f.client.SetPacer(link.New(linkMbps))
		f.server.SetPacer(link.New(linkMbps))
	}
	return f, up, down
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
// are changed or held up by being sent in paced parts.
func TestSmallMessagesPassLargeBodies(t *testing.T) {
	body := pattern(24 << 10)
	f, up, down := startSlowPair(t, &bulkHandler{body: body}, true)
	ended := runBulk(t, f, body)
	t.Logf("paced: 90th percentile of the wait %v out, %v back; %d large calls", up.wait90(), down.wait90(), ended)
	if up.wait90() > maxWait || down.wait90() > maxWait {
		t.Errorf("small messages wait %v out and %v back, expected at most %v", up.wait90(), down.wait90(), maxWait)
	}
	if ended < 10 {
		t.Errorf("%d large calls ended in 3 s", ended)
	}
	f, up, down = startSlowPair(t, &bulkHandler{body: body}, false)
	ended = runBulk(t, f, body)
	t.Logf("not paced: %v out, %v back; %d large calls", up.wait90(), down.wait90(), ended)
	if up.wait90() <= maxWait || down.wait90() <= maxWait {
		t.Errorf("without pacing small messages wait %v and %v: the load is too small to show anything", up.wait90(), down.wait90())
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
