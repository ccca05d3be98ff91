package forward

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/boragelock/boragelock/retry"
)

var propagator propagation.TraceContext

// callerTraceKey is the context key of the caller's traceparent and tracestate,
// which are stored when no spans are recorded.
type callerTraceKey struct{}

type callerTrace struct{ traceparent, tracestate []string }

// startSpan starts the span of a hop. Without a tracer it keeps the caller's trace
// context, which is passed on unchanged.
func (s *Server) startSpan(ctx context.Context, name string, in http.Header) (context.Context, trace.Span) {
	if s.cfg.Tracer == nil {
		if in != nil && len(in[headerTraceParent]) > 0 {
			ctx = context.WithValue(ctx, callerTraceKey{}, callerTrace{in[headerTraceParent], in[headerTraceState]})
		}
		return ctx, nil
	}
	if in != nil {
		ctx = propagator.Extract(ctx, propagation.HeaderCarrier(in))
	}
	return s.cfg.Tracer.Start(ctx, name)
}

func describeSpan(span trace.Span, c *call, r route) {
	if span == nil {
		return
	}
	span.SetAttributes(attribute.String("boragelock.request_id", c.id),
		attribute.String("boragelock.workload", c.workload), attribute.String("boragelock.target", r.target))
}

func endSpan(span trace.Span, e *retry.Error) {
	if span == nil {
		return
	}
	if e != nil {
		span.SetStatus(codes.Error, string(e.Code))
	}
	span.End()
}

// injectTrace writes the trace context into the header for the next hop.
func injectTrace(ctx context.Context, h http.Header) {
	if p, ok := ctx.Value(callerTraceKey{}).(callerTrace); ok {
		h[headerTraceParent] = p.traceparent
		if len(p.tracestate) > 0 {
			h[headerTraceState] = p.tracestate
		}
		return
	}
	if trace.SpanContextFromContext(ctx).IsValid() {
		propagator.Inject(ctx, propagation.HeaderCarrier(h))
	}
}
