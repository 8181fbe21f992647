// Package telemetry traces the lookups of the external processor with the OpenTelemetry library. It reads the W3C trace
// context from the client's headers. One span covers the lookup. Each attempt has a span of its own, which begins when
// the attempt is decided and ends when its outcome is reported. Tracing is off unless the operators' configuration
// names a collector. A lookup that is not sampled costs one read of its headers.
//
// Ended spans wait in the library's export queue, which holds at most maxQueuedSpans spans. If the queue is full,
// further spans are dropped. Lookups never wait for the queue.
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
	closeTimeout   = 500 * time.Millisecond // maximum time that a graceful shutdown waits for the collector
)

// scopeName is the instrumentation scope of every span.
const scopeName = "foldslip/door"

// Tracer records the spans of lookups. It implements extproc.Tracer. Its methods are safe for concurrent use.
type Tracer struct {
	provider   *sdk.TracerProvider
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
}

// Options configure where spans are exported to and which lookups are sampled.
type Options struct {
	Endpoint string  // address of an OTLP collector that is reached over gRPC
	Share    float64 // share of the lookups without a trace context that is sampled, 0 to 1
	Name     string  // name of this gateway
}

// Open returns a tracer that exports to the OTLP collector at Endpoint. While the collector is unreachable, the library
// drops spans and tries to reconnect.
func Open(options Options) (*Tracer, error) {
	exporter, err := otlptracegrpc.New(context.Background(), otlptracegrpc.WithEndpoint(options.Endpoint), otlptracegrpc.WithInsecure())
	if err != nil {
		return nil, err
	}
	batcher := sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueuedSpans), sdk.WithMaxExportBatchSize(maxSpanBatch),
		sdk.WithBatchTimeout(exportInterval))
	return New(options, batcher), nil
}

// New returns a tracer that exports as configured by the provider options. It does not use Endpoint.
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

// Close exports the queued spans and shuts the tracer down. It waits for the collector for at most closeTimeout.
func (t *Tracer) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	t.provider.Shutdown(ctx)
}

// headerCarrier gives the propagator read access to a client's headers. A header that is set more than once is treated
// as absent.
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
