package entry

import (
	"context"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/boragelock/boragelock/internal/settings"
)

// NewTracer returns the tracer that the settings configure, or nil when tracing is
// off, and a function that writes the buffered spans and stops tracing.
func NewTracer(s settings.Tracing, host string, w io.Writer) (trace.Tracer, func(context.Context) error, error) {
	if !s.Enabled {
		return nil, func(context.Context) error { return nil }, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, nil, err
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "boragelockd"), attribute.String("host.name", host))),
	)
	return provider.Tracer("github.com/boragelock/boragelock"), provider.Shutdown, nil
}
