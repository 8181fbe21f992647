package telemetry

import (
	"fmt"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/attribute"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"foldslip/internal/dispatch"
	"foldslip/internal/lab/frozen"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
	"foldslip/internal/route/rollout"
)

// TestFrozenSpans compares the names, attributes, events and statuses of spans with those recorded by an earlier build.
func TestFrozenSpans(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	tracer := New(Options{Share: 1, Name: "n0"}, sdk.WithSyncer(exporter))
	edge, parent := &policy.Cache{Name: "c0"}, &policy.Cache{Name: "p0"}
	ticket := &rollout.Ticket{Version: 7}
	ticket.Decision.Route = "films"
	for _, end := range []dispatch.Step{{Kind: dispatch.StepSatisfied}, {Kind: dispatch.StepRejected, RetryAfter: 2500}, {Kind: dispatch.StepFailed}, {Kind: dispatch.StepClientGone}} {
		lookup := &retry.Lookup{Object: "o", Group: 3, Request: &route.Lookup{ID: "a1", Part: 2, KB: 12.5}, Ticket: ticket}
		tracer.LookupStarted(lookup, headers("", 0))
		tracer.StepDecided(lookup, dispatch.Step{Kind: dispatch.StepFetch, Attempt: 0, FetchRequest: policy.FetchRequest{Cache: edge, Source: parent, Rank: 3, Timeout: 99}})
		tracer.StepDecided(lookup, dispatch.Step{Kind: dispatch.StepCancel, Attempt: 0})
		for outcome := policy.OutcomeSatisfied; outcome <= policy.OutcomeMiss; outcome++ {
			tracer.StepDecided(lookup, dispatch.Step{Kind: dispatch.StepFetch, Attempt: int(outcome), FetchRequest: policy.FetchRequest{Cache: edge, Source: edge}})
			tracer.AttemptEnded(lookup, retry.Report{Lookup: lookup, Attempt: int(outcome), Outcome: outcome, Detail: policy.DetailStale})
		}
		tracer.StepDecided(lookup, end)
	}
	tracer.LookupStarted(&retry.Lookup{}, headers("", 0))
	var got strings.Builder
	writeAttributes := func(indent string, attributes []attribute.KeyValue) {
		for _, a := range attributes {
			fmt.Fprintf(&got, "%s%s=%v %s\n", indent, a.Key, a.Value.AsInterface(), a.Value.Type())
		}
	}
	for _, span := range exporter.GetSpans() {
		fmt.Fprintf(&got, "%s kind %v status %v %q scope %s\n", span.Name, span.SpanKind, span.Status.Code, span.Status.Description, span.InstrumentationScope.Name)
		writeAttributes("  ", span.Resource.Attributes())
		writeAttributes("  ", span.Attributes)
		for _, e := range span.Events {
			fmt.Fprintf(&got, "  event %s\n", e.Name)
			writeAttributes("    ", e.Attributes)
		}
	}
	frozen.Equal(t, "spans.txt", []byte(got.String()))
}
