package policy

import "math"

const (
	fillLimitTime     = 8 * second // how long the limit applies after late fills or a missing fill slot
	lateFillShare     = 0.1        // late fills that cut the limit, as a share of recent fills above lateFillAllowance
	lateFillAllowance = 40         // number of recent fills up to which any late fill cuts the limit
	fillLimitGrowth   = 2.0        // growth of the limit of a single router per round of as many fills as the limit
	fillLimitCut      = 0.9        // factor by which a cut lowers the limit
	fillCutInterval   = 200 * millisecond

	// An attempt counts as a fill once it has been open for longer than
	// maxHitLatency plus hitWorkMultiple times its transfer time.
	maxHitLatency   = 50 * millisecond
	hitWorkMultiple = 2
)

// fillLimit bounds the number of concurrent fills of this router. It
// applies for fillLimitTime after fills were late or found no fill slot.
type fillLimit struct {
	limit        float64
	cutAt        Micros
	nextAt       Micros      // earliest start of the next fill if the limit is below one
	limitedUntil Micros      // instant at which the limit ceases to apply
	recent       decayingSum // number of recent fills
	recentLate   decayingSum // number of recent late fills
}

// allow reports whether another fill may start while open fills are in flight.
func (f *fillLimit) allow(now Micros, open float64) bool {
	return open < f.limit && now >= f.nextAt
}

// observeFill updates the fill limit when an attempt with a source
// ends. It cuts the limit if the sources are overloaded with fills.
func (r *Router) observeFill(attempt *Attempt, report AttemptReport) {
	lookup := attempt.lookup
	budget := lookup.latencyBudget()
	r.fills.nextAt = r.nextTurn(r.fills.limit, min(report.Latency, budget))
	isRejected := report.Outcome == OutcomeRejected && lookup.missedAt == attempt.edge
	mayBeFill := report.isFill() || !r.settings.ReportsHits && r.measuresLatency(attempt, report)
	switch {
	case report.Detail.isFillOverload() || isRejected:
		r.cutFillLimit()
	case mayBeFill:
		if report.isFill() {
			lookup.kind.fillLatency.add(r.now, float64(report.Latency))
			lookup.kind.fillWork.add(r.now, float64(lookup.work))
			lookup.kind.fillWait.add(r.now, float64(report.SourceWait))
			lookup.kind.fillCount.add(r.now, 1)
		}
		r.fills.recent.add(r.now, 1)
		r.adjustFillLimit(report, budget)
	}
}

// adjustFillLimit raises the limit after a fill within its latency budget and cuts it once too many fills are late.
func (r *Router) adjustFillLimit(report AttemptReport, budget Micros) {
	isAnswered := report.Outcome == OutcomeSatisfied
	switch {
	case isAnswered && report.Latency <= budget: // the sum of the limits in a zone grows at the rate of a single router
		r.fills.limit += fillLimitGrowth / r.fills.limit / r.zoneRouterCount() / r.zoneRouterCount()
	case isAnswered && !report.isFill(): // late, but possibly a hit with a slow transfer
	default:
		r.fills.recentLate.add(r.now, 1)
		if r.fills.recentLate.value > lateFillShare*(r.fills.recent.value-lateFillAllowance) {
			r.cutFillLimit()
		}
	}
}

// cutFillLimit lowers the limit of concurrent fills and applies it for fillLimitTime.
func (r *Router) cutFillLimit() {
	if r.now >= r.fills.cutAt+fillCutInterval {
		r.fills.cutAt = r.now
		floor := minOpen * float64(max(len(r.edges), 1)) / r.zoneRouterCount()
		floor += math.Sqrt(floor) * (1 - 1/r.zoneRouterCount()) // not all routers use their share at the same time
		r.fills.limit = max(floor, fillLimitCut*min(r.fills.limit, r.countOpenFills(r.openAttempts)+1))
	}
	if r.fills.limitedUntil < r.now {
		r.logf("fills pressed, limit %.1f", r.fills.limit)
	}
	r.fills.limitedUntil = r.now + fillLimitTime
}

// countOpenFills counts the attempts that are fills. An attempt open for too long to be a hit counts as a fill.
func (r *Router) countOpenFills(attempts []*Attempt) (count float64) {
	for _, a := range attempts {
		if a.source != a.edge && (a.lookup.missedAt != nil || r.now-a.startedAt > maxHitLatency+hitWorkMultiple*a.lookup.work) {
			count++
		}
	}
	return count
}
