package telemetry

import (
	"context"
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"foldslip/internal/dispatch"
	"foldslip/internal/policy"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// resultNames are the values of the attribute foldslip.end on lookup spans. Users of the collector rely on them, so
// they must not change.
var resultNames = map[dispatch.StepKind]string{
	dispatch.StepSatisfied:  "satisfied",
	dispatch.StepRejected:   "nacked",
	dispatch.StepFailed:     "failed",
	dispatch.StepClientGone: "departed",
}

// outcomeNames are the values of the attribute foldslip.end on attempt spans. Users of the collector rely on them, so
// they must not change.
var outcomeNames = [...]string{
	0:                           "untold",
	policy.OutcomeSatisfied:     "satisfied",
	policy.OutcomeError:         "error",
	policy.OutcomeRejected:      "turned_away",
	policy.OutcomeTimeout:       "timed_out",
	policy.OutcomeConnectFailed: "unconnected",
	policy.OutcomeReset:         "reset",
	policy.OutcomeCancelled:     "cancelled",
	policy.OutcomeNotSent:       "never_sent",
	policy.OutcomeMiss:          "missed",
}

// lookupSpans holds the open spans of one sampled lookup. It is stored in Lookup.Trace.
type lookupSpans struct {
	mu       sync.Mutex
	ctx      context.Context // contains root as the parent of the attempt spans
	root     trace.Span
	attempts map[int]trace.Span // open attempt spans by attempt number
}

// LookupStarted starts the span of a lookup that the router has accepted. The span belongs to the trace that the
// client's headers name, if they name one.
func (t *Tracer) LookupStarted(lookup *retry.Lookup, headers route.Attributes) {
	ctx := t.propagator.Extract(context.Background(), headerCarrier{headers})
	ctx, root := t.tracer.Start(ctx, "lookup", trace.WithSpanKind(trace.SpanKindServer))
	if !root.IsRecording() {
		return
	}
	root.SetAttributes(attribute.String("foldslip.object", lookup.Object), attribute.Int("foldslip.group", lookup.Group))
	if request := lookup.Request; request != nil {
		root.SetAttributes(
			attribute.String("foldslip.id", request.ID),
			attribute.Int("foldslip.part", request.Part),
			attribute.Float64("foldslip.kb", request.KB),
		)
	}
	if ticket := lookup.Ticket; ticket != nil {
		root.SetAttributes(
			attribute.Int64("foldslip.routes_version", int64(ticket.Version)),
			attribute.String("foldslip.route", ticket.Decision.Route),
		)
	}
	lookup.Trace = &lookupSpans{ctx: ctx, root: root, attempts: map[int]trace.Span{}}
}

// StepDecided records a decision on a lookup. It starts the span of a new attempt, adds an event for a cancelled
// attempt, or ends the span of the lookup.
func (t *Tracer) StepDecided(lookup *retry.Lookup, step dispatch.Step) {
	spans, ok := lookup.Trace.(*lookupSpans)
	if !ok {
		return
	}
	spans.mu.Lock()
	defer spans.mu.Unlock()
	switch step.Kind {
	case dispatch.StepFetch:
		spans.attempts[step.Attempt] = t.startAttempt(spans.ctx, step)
	case dispatch.StepCancel:
		spans.root.AddEvent("given up", trace.WithAttributes(attribute.Int("foldslip.send", step.Attempt)))
	default:
		endLookup(spans.root, step)
	}
}

// startAttempt starts the span of the attempt that a step begins.
func (t *Tracer) startAttempt(ctx context.Context, step dispatch.Step) trace.Span {
	_, span := t.tracer.Start(ctx, "send", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.Int("foldslip.send", step.Attempt),
		attribute.String("foldslip.cache", step.Cache.Name),
		attribute.Int("foldslip.rank", step.Rank),
		attribute.Int64("foldslip.wait_us", step.Timeout),
	))
	if step.Source != step.Cache {
		span.SetAttributes(attribute.String("foldslip.source", step.Source.Name))
	}
	return span
}

// endLookup ends a lookup's span with the result in step.
func endLookup(root trace.Span, step dispatch.Step) {
	if step.Kind == dispatch.StepRejected {
		root.SetAttributes(attribute.Int64("foldslip.again_us", step.RetryAfter))
	}
	result := resultNames[step.Kind]
	root.SetAttributes(attribute.String("foldslip.end", result))
	if step.Kind != dispatch.StepSatisfied {
		root.SetStatus(codes.Error, result)
	}
	root.End()
}

// AttemptEnded ends the span of an attempt with the reported outcome. Further reports of the same attempt have no
// effect.
func (t *Tracer) AttemptEnded(lookup *retry.Lookup, report retry.Report) {
	spans, ok := lookup.Trace.(*lookupSpans)
	if !ok {
		return
	}
	spans.mu.Lock()
	defer spans.mu.Unlock()
	span := spans.attempts[report.Attempt]
	if span == nil {
		return
	}
	delete(spans.attempts, report.Attempt)
	outcome := outcomeNames[report.Outcome]
	span.SetAttributes(attribute.String("foldslip.end", outcome), attribute.Int("foldslip.remark", int(report.Detail)))
	if report.Outcome != policy.OutcomeSatisfied {
		span.SetStatus(codes.Error, outcome)
	}
	span.End()
}
