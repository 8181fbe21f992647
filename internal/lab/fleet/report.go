package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"

	"foldslip/internal/config"
)

// Report is the result of one run. Its JSON keys are a stored format.
type Report struct {
	Scenario    string           `json:"scenario"`
	Seed        uint64           `json:"seed"`
	Gateways    int64            `json:"gateways"`
	ReadyMS     int64            `json:"ready_ms"` // from the start until all started gateways had settled
	Steps       []StepReport     `json:"steps"`
	FalseDeaths int              `json:"false_deaths"` // log lines that marked a running, reachable gateway dead
	AtRest      Traffic          `json:"at_rest"`      // from the ready time to the first step that is not a mark
	InChurn     Traffic          `json:"in_churn"`     // from that step to the end of the run
	Load        *LoadReport      `json:"load,omitempty"`
	Limit       *LimitReport     `json:"limit,omitempty"`
	Broadcast   *BroadcastReport `json:"spread,omitempty"` // of the scenario's Purges; nil: it has none
	Events      []Event          `json:"events,omitempty"`
	Views       []ViewSample     `json:"views,omitempty"`
	Violations  []string         `json:"wrong,omitempty"` // unmet requirements and crashes; empty: the run passed
}

// StepReport is the result of a step. A step lasts until the next one or the end of the run. Times are in milliseconds
// after the start of the step, except AtMS.
type StepReport struct {
	AtMS            int64  `json:"at_ms"` // after the fleet was ready
	Action          string `json:"do"`
	Awaited         bool   `json:"awaited"`             // the fleet must settle before the next step
	Agreed          bool   `json:"agreed"`              // all views were right at the end of the step
	AgreedMS        int64  `json:"agreed_ms"`           // until the views were right and stayed right
	Settled         bool   `json:"told"`                // Agreed, and all gateways had logged that they settled on the same set
	SettledMS       int64  `json:"told_ms"`             // until the gateways had settled and stayed settled
	BoundMS         int64  `json:"bound_ms,omitempty"`  // bound on AgreedMS, SettledMS and PurgeReceivedMS; 0: none
	PurgeReceivers  int    `json:"heeded,omitempty"`    // gateways that received the purge from a peer first
	PurgeReceivedMS int64  `json:"heeded_ms,omitempty"` // until the last of them received it
}

// ViewSample is the state of the running gateways' views from a time on, until the next sample.
type ViewSample struct {
	AtMS    int64 `json:"at_ms"`
	MinLive int   `json:"least"` // lowest number of live members in a view
	MaxLive int   `json:"most"`  // highest number of live members in a view
	Running int   `json:"up"`    // running gateways
	Agreed  bool  `json:"agree"`
	Settled bool  `json:"told"`
}

// report evaluates the run.
func (r *Rig) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{Scenario: r.scenario.Name, Seed: r.options.Seed, Gateways: r.scenario.Gateways, FalseDeaths: r.falseDeaths, Events: r.events}
	if len(r.trafficSamples) == 0 {
		return report
	}
	report.ReadyMS = r.trafficSamples[0].at.Milliseconds()
	for i, step := range r.scenario.Steps {
		stepReport := r.stepReport(i, step)
		report.Steps = append(report.Steps, stepReport)
		report.Violations = append(report.Violations, stepReport.violations(i, step)...)
	}
	r.reportTraffic(report)
	for _, state := range r.viewStates {
		report.Views = append(report.Views, ViewSample{state.at.Milliseconds(), state.minLive, state.maxLive, state.running, state.agreed, state.settled})
	}
	r.reportLoad(report)
	if r.broadcast != nil {
		report.Broadcast = r.broadcast.report(r.viewStates)
		report.Violations = append(report.Violations, report.Broadcast.violations(r.scenario.Purges)...)
	}
	if err := r.checkCrashes(); err != nil {
		report.Violations = append(report.Violations, err.Error())
	}
	return report
}

// stepReport returns the result of a step. The caller holds mu.
func (r *Rig) stepReport(index int, step Step) StepReport {
	ready := r.trafficSamples[0].at
	from := r.trafficSamples[index+1].at
	to := r.trafficSamples[index+2].at
	report := StepReport{AtMS: (from - ready).Milliseconds(), Action: step.Action, Awaited: step.Settle != settleNone, BoundMS: step.BoundMS}
	report.Agreed, report.AgreedMS = heldSince(r.viewStates, from, to, viewState.isAgreed)
	report.Settled, report.SettledMS = heldSince(r.viewStates, from, to, viewState.isSettled)
	if step.Action != actionPurge {
		return report
	}
	for _, event := range r.events {
		at := config.Milliseconds(event.AtMS)
		if event.State == eventPurge && at >= from && at < to {
			report.PurgeReceivers++
			report.PurgeReceivedMS = event.AtMS - from.Milliseconds()
		}
	}
	return report
}

// violations returns a text for each requirement of the scenario that the result of a step does not meet.
func (r StepReport) violations(index int, step Step) []string {
	violation := func(format string, args ...any) []string {
		return []string{fmt.Sprintf("step %d (%s): ", index, step.Action) + fmt.Sprintf(format, args...)}
	}
	settledMS := max(r.AgreedMS, r.SettledMS)
	switch {
	case step.Action == actionPurge:
		if r.PurgeReceivers < int(step.MinReceivers) || step.BoundMS > 0 && r.PurgeReceivedMS > step.BoundMS {
			return violation("%d gateways heard it of peers, the last after %d ms; at least %d within %d ms",
				r.PurgeReceivers, r.PurgeReceivedMS, step.MinReceivers, step.BoundMS)
		}
	case !r.Awaited:
	case !r.Agreed:
		return violation("views do not agree with what is before the next step")
	case !r.Settled:
		return violation("not all gateways said that they had settled")
	case step.BoundMS > 0 && settledMS > step.BoundMS:
		return violation("settled after %d ms, bound %d ms", settledMS, step.BoundMS)
	}
	return nil
}

// reportTraffic splits the traffic of the run at the first step that
// changes something, which a mark does not. The caller holds mu.
func (r *Rig) reportTraffic(report *Report) {
	samples := r.trafficSamples
	first := 1
	for first < len(r.scenario.Steps) && r.scenario.Steps[first-1].Action == actionMark {
		first++
	}
	report.AtRest = trafficBetween(samples[0], samples[first])
	report.InChurn = trafficBetween(samples[first], samples[len(samples)-1])
}

// reportLoad evaluates the lookups and the limit on them.
func (r *Rig) reportLoad(report *Report) {
	if r.load == nil {
		return
	}
	report.Load = r.load.report()
	if report.Load.Lost > 0 {
		report.Violations = append(report.Violations, fmt.Sprintf("%d lookups got no answer of a gateway that ran", report.Load.Lost))
	}
	if limit := r.scenario.Limit; limit != nil {
		report.Limit = r.load.limitReport(limit, len(r.processes))
		report.Violations = append(report.Violations, report.Limit.violations(limit)...)
	}
}

// heldSince reports whether a predicate held at the end of a time span. If it did, sinceMS is the number of
// milliseconds from the start of the span until it held for good.
func heldSince(states []viewState, from, to time.Duration, holds func(viewState) bool) (held bool, sinceMS int64) {
	since := time.Duration(-1)
	for _, state := range states {
		if state.at >= to {
			break
		}
		holdsNow := holds(state)
		if holdsNow && !held {
			since = state.at
		}
		held = holdsNow
	}
	return held, max(0, (since - from).Milliseconds())
}

// MedianAndMax returns the median and the maximum of figures, or NaN for both if there are none.
func MedianAndMax(figures []float64) (median, largest float64) {
	if len(figures) == 0 {
		return math.NaN(), math.NaN()
	}
	sorted := slices.Sorted(slices.Values(figures))
	middle := len(sorted) / 2
	median = sorted[middle]
	if len(sorted)%2 == 0 {
		median = (sorted[middle-1] + median) / 2
	}
	return median, sorted[len(sorted)-1]
}
