// Package telemetry traces lookups of the door for other proxies on the OpenTelemetry library: W3C trace context taken from the
// caller, a span for the lookup, one for each send from its decision to the report of its end, and the lookup's ending. It is off
// unless the operators' settings name where spans go; a lookup that is not sampled costs one look at its headers.
//
// Spans wait in the library's queue, bounded by mostQueued; past it they are dropped, and lookups never wait for them.
package telemetry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

const (
	maxQueuedSpans = 2048
	maxSpanBatch   = 256
	exportInterval = 2 * time.Second // spans go out at least so often
	closeTimeout   = 500 * time.Millisecond
)

// Tracer hears of lookups; it is a door.Tracer.
type Tracer struct {
	provider   *sdk.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

// Options say where spans go and how many.
type Options struct {
	Endpoint string  // address of an OTLP collector on gRPC
	Share    float64 // of lookups whose callers bring no trace context
	Name     string  // of this gateway
}

// Open traces to an OTLP collector. A collector that is away is tried again by the library, and spans are dropped meanwhile.
func Open(t Options) (*Tracer, error) {
	to, err := otlptracegrpc.New(context.Background(), otlptracegrpc.WithEndpoint(t.Endpoint), otlptracegrpc.WithInsecure())
	if err != nil {
		return nil, err
	}
	return New(t, sdk.WithBatcher(to, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithMaxExportBatchSize(maxSpanBatch), sdk.WithBatchTimeout(exportInterval))), nil
}

// New traces to what the options say.
func New(t Options, to ...sdk.TracerProviderOption) *Tracer {
	opts := append([]sdk.TracerProviderOption{sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(t.Share))),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "foldslip"), attribute.String("service.instance.id", t.Name)))}, to...)
	p := sdk.NewTracerProvider(opts...)
	return &Tracer{provider: p, tracer: p.Tracer("foldslip/door"), propagator: propagation.TraceContext{}}
}

// Close sends what waits, for a short while.
func (t *Tracer) Close() {
	ctx, stop := context.WithTimeout(context.Background(), closeTimeout)
	defer stop()
	t.provider.Shutdown(ctx)
}

// spans are those of one lookup.
type spans struct {
	mu       sync.Mutex
	ctx      context.Context
	root     trace.Span
	attempts map[int]trace.Span
	ended    bool
}

// carrier reads W3C trace context from a caller's headers.
type carrier struct{ get route.Attributes }

func (c carrier) Get(name string) string {
	v, n := c.get(name)
	if n != 1 {
		return ""
	}
	return v
}
func (carrier) Set(string, string) {}
func (carrier) Keys() []string     { return nil }

// LookupStarted is a lookup that the router has taken.
func (t *Tracer) LookupStarted(lk *retry.Lookup, get route.Attributes) {
	ctx := t.propagator.Extract(context.Background(), carrier{get})
	ctx, root := t.tracer.Start(ctx, "lookup", trace.WithSpanKind(trace.SpanKindServer))
	if !root.IsRecording() {
		return
	}
	root.SetAttributes(attribute.String("foldslip.object", lk.Object), attribute.Int("foldslip.group", lk.Group))
	if lk.Request != nil {
		root.SetAttributes(attribute.String("foldslip.id", lk.Request.ID), attribute.Int("foldslip.part", lk.Request.Part), attribute.Float64("foldslip.kb", lk.Request.KB))
	}
	if lk.Ticket != nil {
		root.SetAttributes(attribute.Int64("foldslip.routes_version", int64(lk.Ticket.Version)), attribute.String("foldslip.route", lk.Ticket.Decision.Route))
	}
	lk.Trace = &spans{ctx: ctx, root: root, attempts: map[int]trace.Span{}}
}

// StepDecided is the module's word on a lookup.
func (t *Tracer) StepDecided(lk *retry.Lookup, s dispatch.Step) {
	its, ok := lk.Trace.(*spans)
	if !ok {
		return
	}
	its.mu.Lock()
	defer its.mu.Unlock()
	switch s.Kind {
	case dispatch.StepFetch:
		_, span := t.tracer.Start(its.ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.Int("foldslip.send", s.Attempt),
			attribute.String("foldslip.cache", s.Cache.Name), attribute.Int("foldslip.rank", s.Rank), attribute.Int64("foldslip.wait_us", s.Timeout)))
		if s.Source != s.Cache {
			span.SetAttributes(attribute.String("foldslip.source", s.Source.Name))
		}
		its.attempts[s.Attempt] = span
		return
	case dispatch.StepCancel:
		its.root.AddEvent("given up", trace.WithAttributes(attribute.Int("foldslip.send", s.Attempt)))
		return
	case dispatch.StepRejected:
		its.root.SetAttributes(attribute.Int64("foldslip.again_us", s.RetryAfter))
	}
	end := resultNames[s.Kind]
	its.root.SetAttributes(attribute.String("foldslip.end", end))
	if s.Kind != dispatch.StepSatisfied {
		its.root.SetStatus(codes.Error, end)
	}
	its.root.End()
	its.ended = true
}

var resultNames = map[dispatch.StepKind]string{dispatch.StepSatisfied: "satisfied", dispatch.StepRejected: "nacked", dispatch.StepFailed: "failed", dispatch.StepClientGone: "departed"}

var outcomeNames = [...]string{"untold", "satisfied", "error", "turned_away", "timed_out", "unconnected", "reset", "cancelled", "never_sent", "missed"}

// AttemptEnded is a send's end as it is told to the router.
func (t *Tracer) AttemptEnded(lk *retry.Lookup, tell retry.Report) {
	its, ok := lk.Trace.(*spans)
	if !ok {
		return
	}
	its.mu.Lock()
	defer its.mu.Unlock()
	span := its.attempts[tell.Attempt]
	if span == nil {
		return
	}
	delete(its.attempts, tell.Attempt)
	span.SetAttributes(attribute.String("foldslip.end", outcomeNames[tell.Outcome]), attribute.Int("foldslip.remark", int(tell.Detail)))
	if tell.Outcome != policy.OutcomeSatisfied {
		span.SetStatus(codes.Error, outcomeNames[tell.Outcome])
	}
	span.End()
}
