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
	mostQueued = 2048
	mostBatch  = 256
	everySpan  = 2 * time.Second // spans go out at least so often
	closeIn    = 500 * time.Millisecond
)

// Tracer hears of lookups; it is a door.Tracer.
type Tracer struct {
	from  *sdk.TracerProvider
	its   trace.Tracer
	takes propagation.TextMapPropagator
}

// Terms say where spans go and how many.
type Terms struct {
	Endpoint string  // address of an OTLP collector on gRPC
	Share    float64 // of lookups whose callers bring no trace context
	Name     string  // of this gateway
}

// Open traces to an OTLP collector. A collector that is away is tried again by the library, and spans are dropped meanwhile.
func Open(t Terms) (*Tracer, error) {
	to, err := otlptracegrpc.New(context.Background(), otlptracegrpc.WithEndpoint(t.Endpoint), otlptracegrpc.WithInsecure())
	if err != nil {
		return nil, err
	}
	return New(t, sdk.WithBatcher(to, sdk.WithMaxQueueSize(mostQueued), sdk.WithMaxExportBatchSize(mostBatch), sdk.WithBatchTimeout(everySpan))), nil
}

// New traces to what the options say.
func New(t Terms, to ...sdk.TracerProviderOption) *Tracer {
	opts := append([]sdk.TracerProviderOption{sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(t.Share))),
		sdk.WithResource(resource.NewSchemaless(attribute.String("service.name", "foldslip"), attribute.String("service.instance.id", t.Name)))}, to...)
	p := sdk.NewTracerProvider(opts...)
	return &Tracer{from: p, its: p.Tracer("foldslip/door"), takes: propagation.TraceContext{}}
}

// Close sends what waits, for a short while.
func (t *Tracer) Close() {
	ctx, stop := context.WithTimeout(context.Background(), closeIn)
	defer stop()
	t.from.Shutdown(ctx)
}

// spans are those of one lookup.
type spans struct {
	mu    sync.Mutex
	ctx   context.Context
	root  trace.Span
	sends map[int]trace.Span
	over  bool
}

// carrier reads W3C trace context from a caller's headers.
type carrier struct{ get route.Get }

func (c carrier) Get(name string) string {
	v, n := c.get(name)
	if n != 1 {
		return ""
	}
	return v
}
func (carrier) Set(string, string) {}
func (carrier) Keys() []string     { return nil }

// Began is a lookup that the router has taken.
func (t *Tracer) Began(lk *retry.Lookup, get route.Get) {
	ctx := t.takes.Extract(context.Background(), carrier{get})
	ctx, root := t.its.Start(ctx, "lookup", trace.WithSpanKind(trace.SpanKindServer))
	if !root.IsRecording() {
		return
	}
	root.SetAttributes(attribute.String("foldslip.object", lk.Object), attribute.Int("foldslip.group", lk.Group))
	if lk.Asked != nil {
		root.SetAttributes(attribute.String("foldslip.id", lk.Asked.ID), attribute.Int("foldslip.part", lk.Asked.Part), attribute.Float64("foldslip.kb", lk.Asked.KB))
	}
	if lk.Pass != nil {
		root.SetAttributes(attribute.Int64("foldslip.routes_version", int64(lk.Pass.Version)), attribute.String("foldslip.route", lk.Pass.Decided.Route))
	}
	lk.Trace = &spans{ctx: ctx, root: root, sends: map[int]trace.Span{}}
}

// Decided is the module's word on a lookup.
func (t *Tracer) Decided(lk *retry.Lookup, s dispatch.Step) {
	its, ok := lk.Trace.(*spans)
	if !ok {
		return
	}
	its.mu.Lock()
	defer its.mu.Unlock()
	switch s.What {
	case dispatch.Send:
		_, span := t.its.Start(its.ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.Int("foldslip.send", s.N),
			attribute.String("foldslip.cache", s.To.Name), attribute.Int("foldslip.rank", s.Rank), attribute.Int64("foldslip.wait_us", s.Patience)))
		if s.Source != s.To {
			span.SetAttributes(attribute.String("foldslip.source", s.Source.Name))
		}
		its.sends[s.N] = span
		return
	case dispatch.Cancel:
		its.root.AddEvent("given up", trace.WithAttributes(attribute.Int("foldslip.send", s.N)))
		return
	case dispatch.Nacked:
		its.root.SetAttributes(attribute.Int64("foldslip.again_us", s.RetryIn))
	}
	end := endings[s.What]
	its.root.SetAttributes(attribute.String("foldslip.end", end))
	if s.What != dispatch.Satisfied {
		its.root.SetStatus(codes.Error, end)
	}
	its.root.End()
	its.over = true
}

var endings = map[dispatch.What]string{dispatch.Satisfied: "satisfied", dispatch.Nacked: "nacked", dispatch.Failed: "failed", dispatch.Departed: "departed"}

var words = [...]string{"untold", "satisfied", "error", "turned_away", "timed_out", "unconnected", "reset", "cancelled", "never_sent", "missed"}

// Ended is a send's end as it is told to the router.
func (t *Tracer) Ended(lk *retry.Lookup, tell retry.Tell) {
	its, ok := lk.Trace.(*spans)
	if !ok {
		return
	}
	its.mu.Lock()
	defer its.mu.Unlock()
	span := its.sends[tell.N]
	if span == nil {
		return
	}
	delete(its.sends, tell.N)
	span.SetAttributes(attribute.String("foldslip.end", words[tell.How]), attribute.Int("foldslip.remark", int(tell.Remark)))
	if tell.How != policy.Satisfied {
		span.SetStatus(codes.Error, words[tell.How])
	}
	span.End()
}
