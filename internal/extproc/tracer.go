package extproc

import (
	"foldslip/internal/dispatch"
	"foldslip/internal/retry"
	"foldslip/internal/route"
)

// Tracer is notified of the start and the steps of each lookup and of the ends of its
// attempts. Its methods must not block: LookupStarted is called under the Server's lock.
type Tracer interface {
	LookupStarted(lookup *retry.Lookup, get route.Attributes)
	StepDecided(lookup *retry.Lookup, step dispatch.Step)
	AttemptEnded(lookup *retry.Lookup, report retry.Report)
}

type noTracer struct{}

func (noTracer) LookupStarted(*retry.Lookup, route.Attributes) {}
func (noTracer) StepDecided(*retry.Lookup, dispatch.Step)      {}
func (noTracer) AttemptEnded(*retry.Lookup, retry.Report)      {}
