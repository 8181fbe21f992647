package fleet

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Report is what became of one run.
type Report struct {
	Scenario    string           `json:"scenario"`
	Seed        uint64           `json:"seed"`
	Gateways    int64            `json:"gateways"`
	ReadyMS     int64            `json:"ready_ms"` // until all started gateways had settled
	Steps       []StepReport     `json:"steps"`
	FalseDeaths int              `json:"false_deaths"` // lines that told dead a gateway that ran and could be reached
	AtRest      Traffic          `json:"at_rest"`      // between ready and the first step
	InChurn     Traffic          `json:"in_churn"`     // from the first step on
	Load        *LoadReport      `json:"load,omitempty"`
	Limit       *LimitReport     `json:"limit,omitempty"`
	Broadcast   *BroadcastReport `json:"spread,omitempty"` // of purges told at a rate
	Events      []Event          `json:"events,omitempty"`
	Views       []ViewSample     `json:"views,omitempty"`
	Violations  []string         `json:"wrong,omitempty"` // what must not be
}

// StepReport is how a step ended.
type StepReport struct {
	AtMS            int64  `json:"at_ms"`
	Action          string `json:"do"`
	Awaited         bool   `json:"awaited"`
	Agreed          bool   `json:"agreed"`    // before the next step, for good
	AgreedMS        int64  `json:"agreed_ms"` // after the step, the last time all views came to be what is
	Settled         bool   `json:"told"`      // and each gateway said that it had settled, on the same set
	SettledMS       int64  `json:"told_ms"`
	BoundMS         int64  `json:"bound_ms,omitempty"`
	PurgeReceivers  int    `json:"heeded,omitempty"`    // gateways that heard a purge of peers first
	PurgeReceivedMS int64  `json:"heeded_ms,omitempty"` // until the last of them had
}

// ViewSample is the least and the most live members in running gateways' views.
type ViewSample struct {
	AtMS    int64 `json:"at_ms"`
	MinLive int   `json:"least"`
	MaxLive int   `json:"most"`
	Running int   `json:"up"`
	Agreed  bool  `json:"agree"`
	Settled bool  `json:"told"`
}

func (r *Rig) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	rep := &Report{Scenario: r.scenario.Name, Seed: r.options.Seed, Gateways: r.scenario.Gateways, FalseDeaths: r.falseDeaths, Events: r.events}
	if len(r.trafficSamples) == 0 {
		return rep
	}
	rep.ReadyMS = r.trafficSamples[0].at.Milliseconds()
	for i, st := range r.scenario.Steps {
		from, to := r.trafficSamples[i+1].at, r.trafficSamples[i+2].at
		out := StepReport{AtMS: (from - r.trafficSamples[0].at).Milliseconds(), Action: st.Action, Awaited: st.Settle != "none", BoundMS: st.BoundMS}
		out.Agreed, out.AgreedMS = heldSince(r.viewStates, from, to, func(m viewState) bool { return m.agreed })
		out.Settled, out.SettledMS = heldSince(r.viewStates, from, to, func(m viewState) bool { return m.settled })
		if st.Action == "purge" {
			for _, e := range r.events {
				if at := time.Duration(e.AtMS) * time.Millisecond; e.State == "purge" && at >= from && at < to {
					out.PurgeReceivers, out.PurgeReceivedMS = out.PurgeReceivers+1, e.AtMS-from.Milliseconds()
				}
			}
			if out.PurgeReceivers < int(st.MinReceivers) || st.BoundMS > 0 && out.PurgeReceivedMS > st.BoundMS {
				rep.Violations = append(rep.Violations, fmt.Sprintf("step %d (purge): %d gateways heard it of peers, the last after %d ms; at least %d within %d ms", i,
					out.PurgeReceivers, out.PurgeReceivedMS, st.MinReceivers, st.BoundMS))
			}
		}
		rep.Steps = append(rep.Steps, out)
		if !out.Awaited || st.Action == "purge" {
			continue
		}
		switch {
		case !out.Agreed:
			rep.Violations = append(rep.Violations, fmt.Sprintf("step %d (%s): views do not agree with what is before the next step", i, st.Action))
		case !out.Settled:
			rep.Violations = append(rep.Violations, fmt.Sprintf("step %d (%s): not all gateways said that they had settled", i, st.Action))
		case st.BoundMS > 0 && max(out.AgreedMS, out.SettledMS) > st.BoundMS:
			rep.Violations = append(rep.Violations, fmt.Sprintf("step %d (%s): settled after %d ms, bound %d ms", i, st.Action, max(out.AgreedMS, out.SettledMS), st.BoundMS))
		}
	}
	first := 1
	for first < len(r.scenario.Steps) && r.scenario.Steps[first-1].Action == "mark" {
		first++
	}
	rep.AtRest = trafficBetween(r.trafficSamples[0], r.trafficSamples[first])
	rep.InChurn = trafficBetween(r.trafficSamples[first], r.trafficSamples[len(r.trafficSamples)-1])
	for _, m := range r.viewStates {
		rep.Views = append(rep.Views, ViewSample{m.at.Milliseconds(), m.minLive, m.maxLive, m.running, m.agreed, m.settled})
	}
	if r.load != nil {
		rep.Load = r.load.report()
		if rep.Load.Lost > 0 {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%d lookups got no answer of a gateway that ran", rep.Load.Lost))
		}
	}
	if l := r.scenario.Limit; l != nil && r.load != nil {
		rep.Limit = r.load.limitReport(l, len(r.processes))
		if l.FleetWide && rep.Limit.MaxIn1s > rep.Limit.Bound1s {
			rep.Violations = append(rep.Violations, fmt.Sprintf("in one second %.2f of the fleet's limit were let in, bound %.2f", rep.Limit.MaxIn1s, rep.Limit.Bound1s))
		}
		if l.FleetWide && rep.Limit.MaxIn10s > rep.Limit.Bound10s {
			rep.Violations = append(rep.Violations, fmt.Sprintf("in ten seconds %.2f of the fleet's limit were let in, bound %.2f", rep.Limit.MaxIn10s, rep.Limit.Bound10s))
		}
		if rep.Limit.Mean < l.MinShare*l.LookupsPerSecond {
			rep.Violations = append(rep.Violations, fmt.Sprintf("%.0f a second were let in of a limit of %.0f, at least %.0f are wanted", rep.Limit.Mean, l.LookupsPerSecond, l.MinShare*l.LookupsPerSecond))
		}
	}
	if r.broadcast != nil {
		rep.Broadcast = r.broadcast.report(r.viewStates)
		rep.Violations = append(rep.Violations, rep.Broadcast.violations(r.scenario.Purges)...)
	}
	if err := r.checkCrashes(); err != nil {
		rep.Violations = append(rep.Violations, err.Error())
	}
	return rep
}

// heldSince tells whether a thing held at the end of a time, and when it came to hold for good, in milliseconds since its begin.
func heldSince(states []viewState, from, to time.Duration, holds func(viewState) bool) (bool, int64) {
	at, held := time.Duration(-1), false
	for _, m := range states {
		if m.at >= to {
			break
		}
		now := holds(m)
		if now && !held {
			at = m.at
		}
		held = now
	}
	return held, max(0, (at - from).Milliseconds())
}

// MedianAndMax are the median and the greatest of figures, NaN without any.
func MedianAndMax(figures []float64) (median, most float64) {
	if len(figures) == 0 {
		return math.NaN(), math.NaN()
	}
	s := slices.Sorted(slices.Values(figures))
	median = s[len(s)/2]
	if len(s)%2 == 0 {
		median = (s[len(s)/2-1] + median) / 2
	}
	return median, s[len(s)-1]
}
