// Package tracing sets up the export of spans, and passes trace contexts between
// processes.
//
// It is apart from package telemetry because the exporters are a third of a program's
// memory, which programs that write no spans don't need.
//
// Input: settings, trace contexts. Output: a tracer, trace contexts. State: the exporter.
package tracing

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	semconv "go.opentelemetry.io/otel/semconv/v1.26.0"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sesamelift/sesamelift/settings"
)

// traceparentHeader is the header name of W3C Trace Context.
const traceparentHeader = "traceparent"

// New returns a tracer with the exporter selected by the settings, and a
// function that flushes and stops it. If the settings select no exporter, the
// tracer records nothing.
func New(ctx context.Context, program string, s settings.Tracing) (trace.Tracer, func(context.Context) error, error) {
	exporter, err := newExporter(ctx, s)
	if err != nil {
		return nil, nil, errors.Wrap(err, "set up the span exporter")
	}
	if exporter == nil {
		return noop.NewTracerProvider().Tracer(program), func(context.Context) error { return nil }, nil
	}
	sampler := sdktrace.ParentBased(sdktrace.TraceIDRatioBased(1 / float64(max(1, s.SampleOneIn))))
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sampler),
		sdktrace.WithResource(resource.NewSchemaless(semconv.ServiceName(program))),
	)
	return provider.Tracer(program), provider.Shutdown, nil
}

func newExporter(ctx context.Context, s settings.Tracing) (sdktrace.SpanExporter, error) {
	switch s.Exporter {
	case "stdout":
		return stdouttrace.New(stdouttrace.WithWriter(os.Stdout))
	case "otlp":
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
	}
	return nil, nil
}

// Traceparent returns the span context in ctx as a W3C traceparent, or an empty
// string when there is none.
func Traceparent(ctx context.Context) string {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ""
	}
	c := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, c)
	return c[traceparentHeader]
}

// WithTraceparent returns a context that continues the trace of a W3C
// traceparent. A malformed traceparent is ignored.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceparentHeader: traceparent})
}

// TraceID returns the trace id in ctx, or an empty string when there is none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
