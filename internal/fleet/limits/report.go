package limits

import (
	"maps"
	"slices"
)

// States of a limit in a Report. Their values are part of the protocol of the operators' socket.
const (
	stateUnsettled = "waiting"  // nothing is admitted, because the view has not settled since the start
	stateWarmingUp = "ripening" // 1 - MaxLentFraction of the quota may be used
	stateFullQuota = "whole"    // the whole quota may be used
)

// Report describes one limit as this gateway sees it, for operators.
type Report struct {
	Name           string  `json:"name"`
	Total          float64 `json:"all"`
	Quota          float64 `json:"part"`
	Lease          float64 `json:"lease"`
	Lent           float64 `json:"lent"`
	Borrowed       float64 `json:"borrowed"`
	Demand         float64 `json:"wanted"`
	Used           float64 `json:"used"`
	FleetSize      int     `json:"fleet"`
	FleetUsed      float64 `json:"sum_seen"`       // used by this gateway and by the peers that reported recently
	FleetUsedAgeMS int64   `json:"sum_age_ms"`     // age of the oldest report in FleetUsed
	MaxExcess      float64 `json:"over_at_most"`   // fraction of the limit, where 0.1 is a tenth; see Ledger.MaxExcess
	State          string  `json:"state"`          // "waiting", "ripening" or "whole"
	JoinedInCut    int     `json:"joined_in_cut"`  // members that joined since all members were last live
	Unreachable    int     `json:"cannot_be_seen"` // members that are not live but may still run
}

// Reports returns the reports of all limits, sorted by name.
func (l *Ledger) Reports(now int64) (reports []Report) {
	for _, name := range slices.Sorted(maps.Keys(l.limits)) {
		reports = append(reports, l.report(l.limits[name], now))
	}
	return reports
}

func (l *Ledger) report(limit *Limit, now int64) Report {
	lent, _ := sumLoans(limit.lent, now)
	borrowed, _ := sumLoans(limit.borrowed, now)
	report := Report{
		Name:        limit.Name,
		Total:       limit.Total,
		Quota:       l.quota(limit),
		Lease:       l.Lease(limit.Name, now).Granted,
		Lent:        lent,
		Borrowed:    borrowed,
		Demand:      limit.demand,
		Used:        limit.used,
		FleetSize:   l.fleet.Size,
		FleetUsed:   limit.used,
		MaxExcess:   l.MaxExcess(),
		State:       l.state(now),
		JoinedInCut: max(0, l.fleet.Size-l.minFleetSize),
		Unreachable: l.fleet.NotLive,
	}
	for _, peer := range limit.peerUsage {
		if age := now - peer.reportedAt; age <= 2*l.settings.LoanDuration {
			report.FleetUsed += peer.used
			report.FleetUsedAgeMS = max(report.FleetUsedAgeMS, age/1000)
		}
	}
	return report
}

func (l *Ledger) state(now int64) string {
	switch {
	case l.fullQuotaAt == 0:
		return stateUnsettled
	case now < l.fullQuotaAt:
		return stateWarmingUp
	}
	return stateFullQuota
}

// MaxExcess returns the maximum amount by which the fleet can exceed a limit now, as a fraction of the limit. It is 0
// while all running gateways count each other.
//
// Of n gateways, k are not live here. They may still run with a quota of L/n each, the quota at the time when they
// became unreachable. If m gateways have joined since, the others use the fraction (n - k + m) / (n + m) of the limit,
// so the excess is k m / (n (n + m)).
func (l *Ledger) MaxExcess() float64 {
	notLive := float64(l.fleet.NotLive)
	before := float64(l.minFleetSize)
	size := float64(l.fleet.Size)
	if notLive == 0 || size <= before {
		return 0
	}
	return notLive * (size - before) / (before * size)
}
