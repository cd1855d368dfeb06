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

// Names of the spans of a call.
const (
	SpanCall     = "call"     // at the ingress node
	SpanDecision = "decision" // from the arrival of the call to the first effect for it
	SpanForward  = "forward"  // one attempt on another node, at the sending node
	SpanTarget   = "target"   // one attempt on another node, at the receiving node
	SpanQueue    = "queue"    // waiting for a slot of the backend server
	SpanBackend  = "backend"  // request to the backend server
)

// Keys of span attributes.
const (
	AttributeCall    = "rosemaryhatch.call_id"
	AttributeAttempt = "rosemaryhatch.attempt"
	AttributeNode    = "rosemaryhatch.node"
	AttributeOutcome = "rosemaryhatch.outcome"
)

// exportTimeout is the timeout of one export of spans to the collector.
const exportTimeout = 5 * time.Second

// propagator reads and writes the W3C headers traceparent and tracestate.
var propagator propagation.TraceContext

// Tracer creates the spans of a node. Without a collector it creates none, and passes on the callers' traceparent
// header unchanged.
type Tracer struct {
	provider *sdktrace.TracerProvider // nil if tracing is off
	tracer   trace.Tracer
}

// NewNoopTracer returns a tracer that creates no spans.
func NewNoopTracer() *Tracer { return &Tracer{tracer: noop.NewTracerProvider().Tracer("")} }

// NewTracer returns a tracer that exports spans to the collector in the settings, or one without spans if there is no
// collector. It calls onError when an export fails.
func NewTracer(s settings.Trace, node settings.Node, onError func(error)) (*Tracer, error) {
	if s.Endpoint == "" {
		return NewNoopTracer(), nil
	}
	exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.Endpoint),
		otlptracehttp.WithInsecure(), otlptracehttp.WithTimeout(exportTimeout))
	if err != nil {
		return nil, err
	}
	// The library reports failed exports only to this process-wide handler.
	otel.SetErrorHandler(otel.ErrorHandlerFunc(onError))
	return newTracer(sdktrace.NewBatchSpanProcessor(exporter), s.Sample, node), nil
}

// newTracer returns a tracer that passes spans to a processor. It samples the given fraction of the calls, except where
// the caller has made the sampling decision.
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

// Close exports the remaining spans and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}

// Span is a span of a call. The zero value is not recorded.
type Span struct{ span trace.Span }

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// SetCall sets the attribute with the ID of the call, unless the ID is zero.
func (s Span) SetCall(id reducer.CallID) {
	if s.span != nil && s.span.IsRecording() && id != (reducer.CallID{}) {
		s.span.SetAttributes(attribute.String(AttributeCall, id.String()))
	}
}

// SetAttempt sets the attributes with the number of the attempt and the node that it is sent to.
func (s Span) SetAttempt(attempt int, to reducer.NodeID) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.Int(AttributeAttempt, attempt), attribute.String(AttributeNode, string(to)))
	}
}

// SetOutcome sets the attribute with the outcome of the call.
func (s Span) SetOutcome(outcome reducer.Outcome) {
	if s.span != nil && s.span.IsRecording() {
		s.span.SetAttributes(attribute.String(AttributeOutcome, outcome.String()))
	}
}

// StartServerSpan starts the span of an incoming request. It continues the trace that the headers name.
func (t *Tracer) StartServerSpan(ctx context.Context, name string, header http.Header) (context.Context, Span) {
	if t.provider == nil {
		return ctx, Span{}
	}
	ctx = propagator.Extract(ctx, propagation.HeaderCarrier(header))
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer))
	return ctx, Span{span}
}

// StartInternalSpan starts a span of work inside the node, which began at the given time.
func (t *Tracer) StartInternalSpan(ctx context.Context, name string, began time.Time) Span {
	if t.provider == nil {
		return Span{}
	}
	_, span := t.tracer.Start(ctx, name, trace.WithTimestamp(began))
	return Span{span}
}

// StartClientSpan starts the span of an outgoing request. It returns a copy of the request with the headers that
// continue the trace, or, without a collector, the request itself.
func (t *Tracer) StartClientSpan(ctx context.Context, name string, request *traffic.Request) (*traffic.Request, Span) {
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
