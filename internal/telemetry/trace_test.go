package telemetry

import (
	"testing"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
)

const parent = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"

func headers(traceparent string, times int) func(string) (string, int) {
	return func(name string) (string, int) {
		if name == "traceparent" {
			return traceparent, times
		}
		return "", 0
	}
}

// told plays a lookup with two sends and gives its spans.
func told(share float64, traceparent string, times int) tracetest.SpanStubs {
	to := tracetest.NewInMemoryExporter()
	tracer := New(Options{Share: share, Name: "n0"}, sdk.WithSyncer(to))
	lk := &retry.Lookup{Object: "o", Group: 3}
	tracer.LookupStarted(lk, headers(traceparent, times))
	cache, other := &policy.Cache{Name: "c0"}, &policy.Cache{Name: "c1"}
	tracer.StepDecided(lk, dispatch.Step{Kind: dispatch.StepFetch, Attempt: 0, FetchRequest: policy.FetchRequest{Cache: cache, Source: other}})
	tracer.AttemptEnded(lk, retry.Report{Lookup: lk, Attempt: 0, Outcome: policy.OutcomeRejected})
	tracer.StepDecided(lk, dispatch.Step{Kind: dispatch.StepFetch, Attempt: 1, FetchRequest: policy.FetchRequest{Cache: other, Source: other}})
	tracer.AttemptEnded(lk, retry.Report{Lookup: lk, Attempt: 1, Outcome: policy.OutcomeSatisfied})
	tracer.AttemptEnded(lk, retry.Report{Lookup: lk, Attempt: 1, Outcome: policy.OutcomeSatisfied}) // nothing to end
	tracer.StepDecided(lk, dispatch.Step{Kind: dispatch.StepSatisfied, Attempt: 1})
	return to.GetSpans()
}

func TestTracer(t *testing.T) {
	t.Run("a lookup in its caller's trace: a span for it, and one for each send", func(t *testing.T) {
		all := told(0, parent, 1)
		if len(all) != 3 {
			t.Fatalf("%d spans", len(all))
		}
		root := all[2]
		if root.Name != "lookup" || root.SpanContext.TraceID().String() != "4bf92f3577b34da6a3ce929d0e0e4736" || root.Parent.SpanID().String() != "00f067aa0ba902b7" {
			t.Errorf("%+v", root)
		}
		for i, end := range []string{"turned_away", "satisfied"} {
			attrs := map[string]string{}
			for _, a := range all[i].Attributes {
				attrs[string(a.Key)] = a.Value.String()
			}
			if all[i].Parent.SpanID() != root.SpanContext.SpanID() || attrs["foldslip.end"] != end {
				t.Errorf("%+v", attrs)
			}
		}
	})
	t.Run("no trace context and no share: nothing", func(t *testing.T) {
		if all := told(0, "", 0); len(all) != 0 {
			t.Errorf("%d spans", len(all))
		}
	})
	t.Run("no trace context, all sampled; a context told twice or that cannot be read is none", func(t *testing.T) {
		for _, c := range []struct {
			v string
			n int
		}{{"", 0}, {parent, 2}, {"00-zz-1-01", 1}} {
			if all := told(1, c.v, c.n); len(all) != 3 || all[2].Parent.IsValid() {
				t.Errorf("%q: %d spans", c.v, len(all))
			}
		}
	})
	t.Run("a caller that says not sampled is heeded", func(t *testing.T) {
		if all := told(1, parent[:len(parent)-1]+"0", 1); len(all) != 0 {
			t.Errorf("%d spans", len(all))
		}
	})
}
