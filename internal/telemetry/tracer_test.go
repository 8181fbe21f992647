package telemetry

import (
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

const sampledParent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

// headers returns client headers in which traceparent is set count times.
func headers(traceparent string, count int) route.Attributes {
	return func(name string) (string, int) {
		if name == "traceparent" {
			return traceparent, count
		}
		return "", 0
	}
}

// traceLookup records a lookup with two attempts, of which the first is rejected, and returns the exported spans.
func traceLookup(share float64, traceparent string, count int) tracetest.SpanStubs {
	exporter := tracetest.NewInMemoryExporter()
	tracer := New(Options{Share: share, Name: "n0"}, sdk.WithSyncer(exporter))
	lookup := &retry.Lookup{Object: "o", Group: 3}
	tracer.LookupStarted(lookup, headers(traceparent, count))
	first, second := &policy.Cache{Name: "c0"}, &policy.Cache{Name: "c1"}
	fetch := func(attempt int, cache *policy.Cache) {
		tracer.StepDecided(lookup, dispatch.Step{Kind: dispatch.StepFetch, Attempt: attempt, FetchRequest: policy.FetchRequest{Cache: cache, Source: second}})
	}
	report := func(attempt int, outcome policy.AttemptOutcome) {
		tracer.AttemptEnded(lookup, retry.Report{Lookup: lookup, Attempt: attempt, Outcome: outcome})
	}
	fetch(0, first)
	report(0, policy.OutcomeRejected)
	fetch(1, second)
	report(1, policy.OutcomeSatisfied)
	report(1, policy.OutcomeSatisfied) // has no effect
	tracer.StepDecided(lookup, dispatch.Step{Kind: dispatch.StepSatisfied, Attempt: 1})
	return exporter.GetSpans()
}

// TestTracer checks which lookups are sampled and how the spans of a lookup are nested.
func TestTracer(t *testing.T) {
	t.Run("a lookup in a client's sampled trace has one span and a child span for each attempt", func(t *testing.T) {
		spans := traceLookup(0, sampledParent, 1)
		if len(spans) != 3 {
			t.Fatalf("exported %d spans, want 3", len(spans))
		}
		root := spans[2]
		if root.Name != "lookup" || root.SpanContext.TraceID().String() != "4bf92f3577b34da6a3ce929d0e0e4736" || root.Parent.SpanID().String() != "00f067aa0ba902b7" {
			t.Errorf("lookup span %+v, want the trace and the parent of the client's header", root)
		}
		for i, end := range []string{"turned_away", "satisfied"} {
			attributes := map[string]string{}
			for _, attribute := range spans[i].Attributes {
				attributes[string(attribute.Key)] = attribute.Value.String()
			}
			if spans[i].Parent.SpanID() != root.SpanContext.SpanID() || attributes["foldslip.end"] != end {
				t.Errorf("attempt span with attributes %+v has a wrong parent or outcome", attributes)
			}
		}
	})
	t.Run("without a trace context and with a share of 0 there are no spans", func(t *testing.T) {
		if spans := traceLookup(0, "", 0); len(spans) != 0 {
			t.Errorf("exported %d spans, want 0", len(spans))
		}
	})
	t.Run("a trace context that is absent, repeated or malformed starts a new trace", func(t *testing.T) {
		for _, test := range []struct {
			traceparent string
			count       int
		}{{"", 0}, {sampledParent, 2}, {"00-zz-1-01", 1}} {
			if spans := traceLookup(1, test.traceparent, test.count); len(spans) != 3 || spans[2].Parent.IsValid() {
				t.Errorf("traceparent %q: exported %d spans, want 3 and no parent", test.traceparent, len(spans))
			}
		}
	})
	t.Run("a client's decision not to sample is respected", func(t *testing.T) {
		if spans := traceLookup(1, sampledParent[:len(sampledParent)-1]+"0", 1); len(spans) != 0 {
			t.Errorf("exported %d spans, want 0", len(spans))
		}
	})
}
