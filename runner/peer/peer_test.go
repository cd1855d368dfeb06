package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/telemetry"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
)

// TestMain checks that no goroutine outlives its client or server.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echoTook is the time at the target that echoHandler reports.
const echoTook = 7 * time.Millisecond

// echoHandler answers every call with the body of its request, or with response when that is set.
type echoHandler struct {
	response    []byte
	heldArrived chan struct{} // closed when a call to /held has arrived; the call lasts until its connection ends
}

func (h *echoHandler) Forward(newInput func(reducer.Handle) reducer.ForwardArrived, request *traffic.Request, disconnected <-chan struct{}) (reducer.AnswerForward, *traffic.Response) {
	if request.URI == "/held" {
		close(h.heldArrived)
		<-disconnected
	}
	body := request.Body
	if h.response != nil {
		body = h.response
	}
	return reducer.AnswerForward{Outcome: reducer.OutcomeDone, Took: echoTook}, &traffic.Response{Status: http.StatusOK, Body: body}
}

func (h *echoHandler) Settle(func(reducer.Handle) reducer.SettleArrived) (reducer.AnswerSettle, *traffic.Response) {
	return reducer.AnswerSettle{Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonFenced}, nil
}

func (*echoHandler) OfferUpload(func(reducer.Handle) reducer.UploadOffered) reducer.AnswerUpload {
	return reducer.AnswerUpload{Accepted: true}
}

func (*echoHandler) HandOver(records []reducer.KeyRecord, responses []*traffic.Response) bool {
	return len(records) == len(responses) && string(responses[0].Body) == records[0].Key
}

func (h *echoHandler) Post(reducer.Input) bool { return true }

func hasMetric(m *telemetry.Metrics, line string) bool {
	var text bytes.Buffer
	m.WritePrometheus(&text)
	return strings.Contains(text.String(), "\n"+line)
}

// refusalMetric returns the line of the metrics for count refusals with the given reason.
func refusalMetric(reason string, count int) string {
	return fmt.Sprintf("rosemaryhatch_refusals_total{from=\"peers\",reason=%q} %d\n", reason, count)
}

// identity returns the identity of a node with the protocol versions and types of this program.
func identity(node string) Identity {
	return NewIdentity("test", reducer.PeerRef{Node: reducer.NodeID(node), Incarnation: 1})
}

// fixture is a client and a server of two nodes, connected over loopback.
type fixture struct {
	client  *Client
	server  *Server
	to      reducer.PeerRef    // the server
	metrics *telemetry.Metrics // of both sides
}

// startPair starts a client and a server with the given identities, and stops them at the end of the test.
func startPair(t testing.TB, client, server Identity, handler Handler) *fixture {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{metrics: telemetry.NewMetrics(), to: reducer.PeerRef{Node: "target", Address: listener.Addr().String()}}
	f.server = NewServer(server, listener, handler, log.NewNopLogger(), f.metrics)
	f.client = NewClient(client, func(reducer.Input) bool { return true }, f.metrics)
	go f.server.Serve()
	t.Cleanup(func() {
		f.client.Close()
		f.server.Close()
	})
	return f
}

// forward forwards a request to the server, checks that the outcome is done, and returns the response.
func (f *fixture) forward(t testing.TB, request *traffic.Request) *traffic.Response {
	t.Helper()
	done, response := f.client.Forward(context.Background(), reducer.Forward{To: f.to}, request)
	if done.Result != reducer.ForwardAnswered || done.Outcome != reducer.OutcomeDone {
		t.Fatalf("forward ended as %+v", done)
	}
	if done.Took != echoTook {
		t.Errorf("time at the target is %v in the answer, expected %v", done.Took, echoTook)
	}
	return response
}

// conn returns the client's connection of a class, or nil when there is none.
func (f *fixture) conn(class Class) *clientConn {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.client.conns[connKey{f.to.Address, class}]
}

func postRequest(bytes int) *traffic.Request {
	return &traffic.Request{Method: http.MethodPost, URI: "/", Body: make([]byte, bytes)}
}

// eventually waits until the condition is true. Its timeout is so long that only a hang reaches it.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// Guards against nodes that cannot talk to nodes of the next protocol version, which would prevent an upgrade node by
// node.
func TestNodesOfDifferentVersionsInteroperate(t *testing.T) {
	older, newer := identity("older"), identity("newer")
	newer.Highest = older.Highest + 1
	for _, pair := range [][2]Identity{{older, newer}, {newer, older}} {
		f := startPair(t, pair[0], pair[1], &echoHandler{})
		f.forward(t, postRequest(10))
		if version := f.conn(ClassCall).version; version != older.Highest {
			t.Errorf("version is %d, expected %d", version, older.Highest)
		}
	}
}

// Guards against a response over the frame bound that breaks the connection of other calls, and against the loss of the
// outcome together with the response: the call was executed.
func TestOversizedResponseIsDoneWithoutBody(t *testing.T) {
	f := startPair(t, identity("a"), identity("b"), &echoHandler{response: make([]byte, maxBulkFrameBytes+1)})
	f.forward(t, postRequest(1))
	first := f.conn(ClassCall)
	if response := f.forward(t, postRequest(1)); !response.Truncated || len(response.Body) != 0 {
		t.Errorf("response has %d bytes, truncated %v", len(response.Body), response.Truncated)
	}
	if f.conn(ClassCall) != first {
		t.Error("the connection was replaced")
	}
}

// Guards against requests with a long body or long headers that delay short ones or exceed the frame bound of their
// connection.
func TestLongRequestsUseBulkConnection(t *testing.T) {
	f := startPair(t, identity("a"), identity("b"), &echoHandler{})
	f.forward(t, postRequest(maxCallBodyBytes))
	if f.conn(ClassBulk) != nil || f.conn(ClassCall) == nil {
		t.Fatal("a body at the bound did not use the call connection")
	}
	f.conn(ClassCall).rpc.Close()
	eventually(t, "end of the call connection", func() bool { return f.conn(ClassCall) == nil })
	f.forward(t, postRequest(maxCallBodyBytes+1))
	long := postRequest(1)
	long.Header = http.Header{"X-Long": {strings.Repeat("x", maxCallFrameBytes)}}
	f.forward(t, long)
	if f.conn(ClassCall) != nil {
		t.Error("a long request used the call connection")
	}
	if hasMetric(f.metrics, `rosemaryhatch_peer_bytes_total{class="bulk",direction="out"} 0`) {
		t.Error("bytes on the bulk connection were not counted")
	}
}

// Guards against control bytes that are counted under the wrong kind or not at all: the bytes of all kinds must add up
// to those of the control class. Guards also against type descriptions that are sent between equal programs, or omitted
// although the peer has other types or is too old to omit them.
func TestControlBytesAreCountedByKind(t *testing.T) {
	equal, other, older := identity("b"), identity("b"), identity("b")
	other.typesHash++
	older.typesHash = 0
	for name, to := range map[string]Identity{"equal": equal, "other": other, "older": older} {
		f := startPair(t, identity("a"), to, &echoHandler{})
		for _, message := range []reducer.Message{
			reducer.Heartbeat{}, reducer.MemberUpdate{Members: []reducer.Member{{Node: "n"}}}, reducer.MemberUpdate{Repair: true},
			reducer.MemberDigest{}, reducer.ConfigUpdate{}, reducer.ConfigFetch{},
		} {
			f.client.Send(reducer.Send{To: f.to, Message: message})
		}
		eventually(t, "a response to each message", func() bool {
			return hasMetric(f.metrics, `rosemaryhatch_peer_messages_total{kind="response",direction="in"} 6`)
		})
		for _, direction := range []string{"in", "out"} {
			sum := 0.0
			for _, kind := range []string{"hello", "types", "response", "heartbeat", "member_update", "member_repair", "member_digest", "config_update", "config_fetch"} {
				bytes := metricValue(t, f.metrics, fmt.Sprintf("rosemaryhatch_peer_message_bytes_total{kind=%q,direction=%q} ", kind, direction))
				if none := kind == "types" && name == "equal"; none != (bytes == 0) {
					t.Errorf("%s: %v bytes of kind %s are counted %s", name, bytes, kind, direction)
				}
				sum += bytes
			}
			if all := metricValue(t, f.metrics, fmt.Sprintf("rosemaryhatch_peer_bytes_total{class=\"control\",direction=%q} ", direction)); sum != all {
				t.Errorf("%s: the kinds add up to %v bytes %s, expected %v", name, sum, direction, all)
			}
		}
	}
}

// metricValue returns the value of the metric whose line starts with the given text.
func metricValue(t *testing.T, m *telemetry.Metrics, line string) (v float64) {
	t.Helper()
	var text bytes.Buffer
	m.WritePrometheus(&text)
	_, rest, _ := strings.Cut(text.String(), "\n"+line)
	if _, err := fmt.Sscan(rest, &v); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return v
}

// Guards against serving peers of another system or protocol version, and peers that send garbage or frames over the
// bound. Each must be counted, and one remote IP must not fill the log.
func TestBadPeersAreRefusedAndCounted(t *testing.T) {
	otherSystem, otherVersion := identity("c"), identity("c")
	otherSystem.System = "other"
	otherVersion.Lowest, otherVersion.Highest = highestVersion+1, highestVersion+1
	oversized := func(conn net.Conn) {
		writeHello(conn, identity("c").hello(ClassCall))
		readHello(bufio.NewReader(conn))
		conn.Write([]byte{0, 2, 0, 1}) // header of a frame 1 byte over the 128 KB of a request on a call connection
	}
	for reason, send := range map[string]func(net.Conn){
		"system":  func(conn net.Conn) { writeHello(conn, otherSystem.hello(ClassCall)) },
		"version": func(conn net.Conn) { writeHello(conn, otherVersion.hello(ClassCall)) },
		"preface": func(conn net.Conn) { conn.Write([]byte("GET / HTTP/1.1\r\n\r\n")) },
		"frame":   oversized,
	} {
		f := startPair(t, identity("a"), identity("b"), &echoHandler{})
		for range 3 {
			conn, err := net.Dial("tcp", f.to.Address)
			if err != nil {
				t.Fatal(err)
			}
			send(conn)
			conn.SetReadDeadline(time.Now().Add(time.Minute))
			for buffer := make([]byte, 512); err == nil; {
				_, err = conn.Read(buffer)
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s: connection stayed open", reason)
			}
			conn.Close()
		}
		eventually(t, reason+" counted three times", func() bool { return hasMetric(f.metrics, refusalMetric(reason, 3)) })
	}
	var limit logLimiter
	now, addr := time.Now(), &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	if !limit.allow(addr, now) || limit.allow(addr, now.Add(logInterval/2)) || !limit.allow(addr, now.Add(logInterval)) {
		t.Error("the log limit does not allow one line per interval")
	}
}

// Guards against a node that serves all handshakes of a reconnect storm at once, and against peers that do not retry
// after they were told that the node is busy.
func TestHandshakesAreBounded(t *testing.T) {
	f := startPair(t, identity("a"), identity("b"), &echoHandler{})
	var silent []net.Conn
	for range maxHandshakes {
		conn, err := net.Dial("tcp", f.to.Address)
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, conn)
	}
	eventually(t, "use of all handshakes", func() bool { return len(f.server.handshakes) == maxHandshakes })
	if done, _ := f.client.Forward(context.Background(), reducer.Forward{To: f.to}, postRequest(1)); done.Result != reducer.ForwardNotSent {
		t.Errorf("forward to a busy peer ended as %v, expected not sent", done.Result)
	}
	opened := make(chan error)
	go func() {
		opened <- f.client.invoke(context.Background(), connKey{f.to.Address, ClassControl}, "Peer.Ping", &Empty{}, &Empty{})
	}()
	eventually(t, "second refusal", func() bool { return !hasMetric(f.metrics, refusalMetric(busyRefusal, 1)) })
	for _, conn := range silent {
		conn.Close()
	}
	if err := <-opened; err != nil {
		t.Errorf("the control connection was not opened after the peer was no longer busy: %v", err)
	}
}

// Guards against a Settle that waits on a connection that has gone silent.
func TestSettleReplacesSilentConnection(t *testing.T) {
	f := startPair(t, identity("a"), identity("b"), &echoHandler{})
	settle := func() {
		if done, _ := f.client.Settle(context.Background(), reducer.Settle{To: f.to}); done.Reason != reducer.ReasonFenced {
			t.Fatalf("settle ended as %+v", done)
		}
	}
	settle()
	first := f.conn(ClassControl)
	first.lastHeard.Store(time.Now().Add(time.Hour).UnixNano())
	settle()
	if f.conn(ClassControl) != first {
		t.Error("a connection that works was replaced")
	}
	first.lastHeard.Store(time.Now().Add(-silentAfter).UnixNano())
	settle()
	if f.conn(ClassControl) == first {
		t.Error("a silent connection was used")
	}
}

// Guards against calls that occupy a slot of the target although the connection to their peer was lost.
func TestTargetNoticesLostConnection(t *testing.T) {
	handler := &echoHandler{heldArrived: make(chan struct{})}
	f := startPair(t, identity("a"), identity("b"), handler)
	done := make(chan reducer.ForwardDone)
	go func() {
		end, _ := f.client.Forward(context.Background(), reducer.Forward{To: f.to}, &traffic.Request{URI: "/held"})
		done <- end
	}()
	<-handler.heldArrived
	f.conn(ClassCall).rpc.Close()
	if end := <-done; end.Result != reducer.ForwardLost {
		t.Errorf("forward ended as %v, expected lost", end.Result)
	}
	if err := f.server.Drain(t.Context()); err != nil {
		t.Errorf("the call did not end: %v", err)
	}
}

// Guards against calls that fail because their connection had already ended, and against sockets, senders and queues
// that remain for peers that have ended.
func TestConnectionsAndSendersAreReleased(t *testing.T) {
	f := startPair(t, identity("a"), identity("b"), &echoHandler{})
	f.forward(t, postRequest(1))
	f.conn(ClassCall).rpc.Close()
	f.forward(t, postRequest(1))
	f.client.closeIdleConns(time.Now().Add(idleTimeout - time.Minute))
	if f.conn(ClassCall) == nil {
		t.Error("a connection was closed before its idle time")
	}
	f.client.closeIdleConns(time.Now().Add(idleTimeout))
	if f.conn(ClassCall) != nil {
		t.Error("an idle connection was not closed")
	}
	f.client.senderIdleTimeout = time.Millisecond
	f.client.Send(reducer.Send{To: f.to, Message: reducer.Heartbeat{}})
	eventually(t, "release of the sender", func() bool {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		return len(f.client.senders) == 0
	})
}

// Guards against bytes read that one side of a connection does not count: the server reads the request, the client the
// response.
func TestBytesReadOnBothSidesAreCounted(t *testing.T) {
	const body = 10 << 10
	f := startPair(t, identity("a"), identity("b"), &echoHandler{})
	f.forward(t, postRequest(body))
	var text bytes.Buffer
	f.metrics.WritePrometheus(&text)
	_, after, _ := strings.Cut(text.String(), `bytes_total{class="call",direction="in"} `)
	count := 0
	if fmt.Sscan(after, &count); count < 2*body {
		t.Errorf("%d bytes read are counted, expected at least %d", count, 2*body)
	}
}

// BenchmarkForward measures one forwarded call with a body of 1 KB over loopback.
func BenchmarkForward(b *testing.B) {
	f := startPair(b, identity("a"), identity("b"), &echoHandler{})
	request := postRequest(1 << 10)
	request.Header = http.Header{"Content-Type": {"text/plain"}, "Traceparent": {strings.Repeat("0", 55)}}
	b.ReportAllocs()
	for b.Loop() {
		f.forward(b, request)
	}
}

// Guards against records of idempotency keys that lose their responses on the way to the next owner of the keys.
func TestHandOverCarriesRecordsAndResponses(t *testing.T) {
	f := startPair(t, identity("a"), identity("b"), &echoHandler{})
	h := reducer.HandOver{To: f.to, Records: []reducer.KeyRecord{{Key: "k", Call: 7}}}
	kept := func(call reducer.Handle) *traffic.Response {
		if call != 7 {
			return nil
		}
		return &traffic.Response{Status: 200, Body: []byte("k")}
	}
	if !f.client.HandOver(t.Context(), h, kept) {
		t.Error("records were not taken over with their responses")
	}
}
