package telemetry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/rosemaryhatch/rosemaryhatch/reducer"
	"github.com/rosemaryhatch/rosemaryhatch/runner/traffic"
	"github.com/rosemaryhatch/rosemaryhatch/settings"
)

// Names of the spans of a call, one for each hop.
const (
	SpanCall     = "call"     // at the node that the caller reached
	SpanDecision = "decision" // from arrival until the first directive of the reducer
	SpanForward  = "forward"  // one attempt at another node, as its sender sees it
	SpanTarget   = "target"   // the same attempt at the node beside the backend server
	SpanQueue    = "queue"    // wait for a slot of the backend server
	SpanBackend  = "backend"  // request to the backend server
)

// Keys of span attributes.
const (
	AttributeCall    = "rosemaryhatch.call_id"
	AttributeAttempt = "rosemaryhatch.attempt"
	AttributeNode    = "rosemaryhatch.node"
	AttributeOutcome = "rosemaryhatch.outcome"
)

// exportTimeout bounds one transfer of spans to the collector.
const exportTimeout = 5 * time.Second

// propagator reads and writes the W3C headers traceparent and tracestate.
var propagator propagation.TraceContext

// Tracer makes the spans of a node. Without a collector it makes none, and the callers' traceparent
// passes through unchanged.
type Tracer struct {
	provider *sdktrace.TracerProvider // nil when traces are off
	tracer   trace.Tracer
}

// NoTracer returns a tracer that makes no spans.
func NoTracer() *Tracer { return &Tracer{tracer: noop.NewTracerProvider().Tracer("")} }

// NewTracer returns a tracer that exports to the collector in the settings. OnError is told about spans
// that cannot be exported.
func NewTracer(s settings.Trace, node settings.Node, onError func(error)) (*Tracer, error) {
	if s.Endpoint == "" {
		return NoTracer(), nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.Endpoint),
		otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, err
	}
	// The library has no other way to learn of failed exports than this process-wide handler.
	otel.SetErrorHandler(otel.ErrorHandlerFunc(onError))
	return newTracer(sdktrace.NewBatchSpanProcessor(exporter), s.Sample, node), nil
}

// newTracer returns a tracer that hands spans to a processor. A call whose caller decided about
// sampling follows that decision.
func newTracer(processor sdktrace.SpanProcessor, sample float64, node settings.Node) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithSpanProcessor(processor),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(sample))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "rosemaryhatch-node"),
			attribute.String("service.instance.id", node.ID),
			attribute.String("cloud.availability_zone", node.Zone),
		)),
	)
	return &Tracer{provider: provider, tracer: provider.Tracer("rosemaryhatch")}
}

// Close exports the spans that are left.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Span is one span of a call. The zero value is a span that is not recorded.
type Span struct{ span trace.Span }

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// Call names the call that the span belongs to.
func (s Span) Call(id reducer.CallID) {
	if s.span != nil && s.span.IsRecording() && id != (reducer.CallID{}) {
		s.span.SetAttributes(attribute.String(AttributeCall, id.String()))
	}
}

// Attempt names the attempt and the node that it goes to.
func (s Span) Attempt(attempt int, to reducer.NodeID) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.Int(AttributeAttempt, attempt), attribute.String(AttributeNode, string(to)))
	}
}

// Outcome records how the call ended.
func (s Span) Outcome(outcome reducer.Outcome) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(AttributeOutcome, outcome.String()))
	}
}

// Server starts the span of a request that came in with the given headers.
func (t *Tracer) Server(ctx context.Context, name string, header http.Header) (context.Context, Span) {
	if t.provider == nil {
		return ctx, Span{}
	}
	ctx = propagator.Extract(ctx, propagation.HeaderCarrier(header))
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	return ctx, Span{span}
}

// Inner starts a span of work inside of the node.
func (t *Tracer) Inner(ctx context.Context, name string, began time.Time) Span {
	if t.provider == nil {
		return Span{}
	}
	_, span := t.tracer.Start(ctx, name, trace.WithTimestamp(began))
	return Span{span}
}

// Client starts the span of a request that goes out, and returns the request with the headers that
// continue the trace.
func (t *Tracer) Client(ctx context.Context, name string, request *traffic.Request) (*traffic.Request, Span) {
	if t.provider == nil {
		return request, Span{}
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient))
	out := *request
	out.Header = request.Header.Clone()
	if out.Header == nil {
		out.Header = http.Header{}
	}
	propagator.Inject(ctx, propagation.HeaderCarrier(out.Header))
	return &out, Span{span}
}
