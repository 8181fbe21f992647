package scenario

import (
	"foldslip/internal/dispatch"
	"foldslip/internal/lab/simenv"
	"foldslip/internal/policy"
)

// recordDecisions returns an interceptor that adds every decision of the module to the digest before
// the interceptor next sees it. next may be nil.
func (s *Scenario) recordDecisions(process string, next dispatch.Interceptor) dispatch.Interceptor {
	return func(executor policy.Executor, start func(policy.Executor) dispatch.Router) dispatch.Router {
		digested := func(executor policy.Executor) dispatch.Router {
			return start(&decisionDigester{Executor: executor, sim: s.sim, process: process})
		}
		if next == nil {
			return digested(executor)
		}
		return next(executor, digested)
	}
}

// decisionDigester is an executor that adds the module's decisions to the digest and passes them on.
type decisionDigester struct {
	policy.Executor
	sim     *simenv.Simulation
	process string
}

func (d *decisionDigester) add(lk *policy.Lookup, decision string, numbers ...policy.Micros) {
	d.sim.RecordStep(simenv.StepDecision, d.process+" "+lk.ID+" "+decision, "", int64(len(numbers)))
	for _, m := range numbers {
		d.sim.RecordStep(simenv.StepDecision, "", "", int64(m))
	}
}

func (d *decisionDigester) Fetch(lk *policy.Lookup, request policy.FetchRequest) {
	d.add(lk, "fetch "+request.Cache.Name+" "+request.Source.Name, policy.Micros(request.Rank), policy.Micros(request.Mode), request.Timeout,
		request.SilenceTimeout, request.MaxAge)
	d.Executor.Fetch(lk, request)
}

func (d *decisionDigester) CancelAttempt(lk *policy.Lookup, attempt int) {
	d.add(lk, "cancel", policy.Micros(attempt))
	d.Executor.CancelAttempt(lk, attempt)
}

func (d *decisionDigester) Reject(lk *policy.Lookup, retryIn policy.Micros) {
	d.add(lk, "reject", retryIn)
	d.Executor.Reject(lk, retryIn)
}

func (d *decisionDigester) Fail(lk *policy.Lookup) {
	d.add(lk, "fail")
	d.Executor.Fail(lk)
}
