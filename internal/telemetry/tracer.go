// Package telemetry traces the lookups of the external processor with the OpenTelemetry library: W3C trace context is taken from the
// client's headers, a span covers the lookup, and a span each attempt from its decision to the report of its outcome. Tracing is off
// unless the operators' configuration names a collector; a lookup that is not sampled costs one read of its headers.
//
// Ended spans wait in the library's queue, bounded by maxQueuedSpans. When it is full they are dropped; lookups never wait.
package telemetry

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"foldslip/internal/route"
)

const (
	maxQueuedSpans = 2048
	maxSpanBatch   = 256
	exportInterval = 2 * time.Second        // spans are exported at least this often
	closeTimeout   = 500 * time.Millisecond // a graceful shutdown waits no longer for the collector
)

// scopeName is the instrumentation scope on every span.
const scopeName = "foldslip/door"

// Tracer records the spans of lookups. It implements extproc.Tracer; its methods may be called by many goroutines.
type Tracer struct {
	provider   *sdk.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

// Options say where spans are exported and which lookups are sampled.
type Options struct {
	Endpoint string  // address of an OTLP collector on gRPC
	Share    float64 // sampled share of the lookups without a trace context, 0 to 1
	Name     string  // of this gateway
}

// Open returns a tracer that exports to an OTLP collector. The library reconnects to a collector that is unreachable and drops spans
// meanwhile.
func Open(options Options) (*Tracer, error) {
	exporter, err := otlptracegrpc.New(context.Background(), otlptracegrpc.WithEndpoint(options.Endpoint), otlptracegrpc.WithInsecure())
	if err != nil {
		return nil, err
	}
	batcher := sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithMaxExportBatchSize(maxSpanBatch),
		sdk.WithBatchTimeout(exportInterval))
	return New(options, batcher), nil
}

// New returns a tracer that exports as the provider options say; Endpoint is not used.
func New(options Options, exporting ...sdk.TracerProviderOption) *Tracer {
	providerOptions := []sdk.TracerProviderOption{
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(options.Share))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "foldslip"),
			attribute.String("service.instance.id", options.Name),
		)),
	}
	provider := sdk.NewTracerProvider(append(providerOptions, exporting...)...)
	return &Tracer{provider: provider, tracer: provider.Tracer(scopeName), propagator: propagation.TraceContext{}}
}

// Close exports the queued spans, for at most closeTimeout.
func (t *Tracer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	t.provider.Shutdown(ctx)
}

// headerCarrier gives the propagator a client's headers to read. A header that is set more than once counts as absent.
type headerCarrier struct{ get route.Attributes }

func (c headerCarrier) Get(name string) string {
	value, count := c.get(name)
	if count != 1 {
		return ""
	}
	return value
}

func (headerCarrier) Set(string, string) {}

func (headerCarrier) Keys() []string { return nil }
