package telemetry

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.uber.org/goleak"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// TestMain fails if goroutines of a closed logger or tracer are left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against wrong counts and against text that Prometheus cannot parse: buckets have to be cumulative and in
// order, the unit is seconds, and each family has one TYPE line.
func TestPrometheusText(t *testing.T) {
	m := NewMetrics()
	m.CallFinished(reducer.CallFinished{Priority: 2, Outcome: reducer.OutcomeDone, Attempts: 3})
	m.CallFinished(reducer.CallFinished{Priority: 2, Outcome: reducer.OutcomeNotRun, Reason: reducer.ReasonNoRoute})
	m.CallQueued(reducer.CallQueued{Priority: 1, Wait: 2 * time.Millisecond})
	m.CallQueued(reducer.CallQueued{Priority: 1, Wait: time.Hour})
	m.PeerRefused("system")
	m.BytesOut("bulk", 70)
	var text bytes.Buffer
	if err := m.WritePrometheus(&text); err != nil {
		t.Fatal(err)
	}
	at := 0
	for _, line := range []string{
		"# TYPE rosemaryhatch_call_attempts_total counter", "rosemaryhatch_call_attempts_total 3",
		"rosemaryhatch_call_retries_total 2",
		`rosemaryhatch_calls_total{priority="2",outcome="done",reason="none"} 1`,
		`rosemaryhatch_calls_total{priority="2",outcome="not_run",reason="no_route"} 1`,
		`rosemaryhatch_peer_bytes_total{class="bulk",direction="out"} 70`,
		"# TYPE rosemaryhatch_queue_seconds histogram",
		`rosemaryhatch_queue_seconds_bucket{priority="1",le="0.001"} 0`,
		`rosemaryhatch_queue_seconds_bucket{priority="1",le="0.004"} 1`,
		`rosemaryhatch_queue_seconds_bucket{priority="1",le="64"} 1`,
		`rosemaryhatch_queue_seconds_bucket{priority="1",le="+Inf"} 2`,
		`rosemaryhatch_queue_seconds_count{priority="1"} 2`, `rosemaryhatch_queue_seconds_sum{priority="1"} 3600.002`,
		`rosemaryhatch_refusals_total{from="peers",reason="system"} 1`,
	} {
		next := strings.Index(text.String()[at:], line+"\n")
		if next < 0 {
			t.Fatalf("line %q is missing or out of order in:\n%s", line, &text)
		}
		at += next
	}
	if strings.Count(text.String(), "# TYPE rosemaryhatch_queue_seconds ") != 1 {
		t.Error("the number of TYPE lines of a family is not 1")
	}
}

// Guards against a slow log that blocks the control thread, and against lines that are lost on Close.
func TestLogDoesNotBlock(t *testing.T) {
	release, written, dropped := make(chan struct{}), 0, 0
	l := NewAsyncLogger(log.LoggerFunc(func(...any) error {
		<-release
		written++
		return errors.New("ignored")
	}), func() { dropped++ })
	const lines = 2 * logQueueSize
	for range lines {
		l.Log("msg", "x")
	}
	close(release)
	l.Close()
	if dropped < lines-logQueueSize-1 || written+dropped != lines {
		t.Errorf("%d lines written, %d dropped, of %d", written, dropped, lines)
	}
}

// Guards against spans that ignore the caller's sampling decision, and against a node without tracing that does not
// pass on the trace context.
func TestTraceFollowsCaller(t *testing.T) {
	const id = "0af7651916cd43dd8448eb211c80319c"
	for flags, spans := range map[string]int{"01": 2, "00": 0} {
		recorder := tracetest.NewInMemoryExporter()
		tracer := newTracer(sdktrace.NewSimpleSpanProcessor(recorder), 1, settings.Node{ID: "n1"})
		in := http.Header{"Traceparent": {"00-" + id + "-b7ad6b7169203331-" + flags}}
		ctx, call := tracer.StartServerSpan(context.Background(), SpanCall, in)
		out, hop := tracer.StartClientSpan(ctx, SpanForward, &traffic.Request{Header: in})
		hop.SetCall(reducer.CallID{Origin: "n1", Seq: 7})
		hop.End()
		call.End()
		got := recorder.GetSpans()
		if len(got) != spans || !strings.HasPrefix(out.Header.Get("Traceparent"), "00-"+id) || !strings.HasSuffix(out.Header.Get("Traceparent"), flags) {
			t.Errorf("flags %s: %d spans, traceparent out %q", flags, len(got), out.Header.Get("Traceparent"))
		}
		if spans > 0 && (got[0].Parent.SpanID() != got[1].SpanContext.SpanID() || got[0].Attributes[0].Value.AsString() != "n1-0-7") {
			t.Errorf("span %+v is not a child of the call span, or lacks the call id", got[0])
		}
		tracer.Close(context.Background())
	}
	request := &traffic.Request{Header: http.Header{"Traceparent": {"t"}}}
	if out, span := NewNoopTracer().StartClientSpan(context.Background(), SpanForward, request); out != request {
		t.Error("a tracer without a collector changed the request")
	} else {
		span.End()
	}
}
