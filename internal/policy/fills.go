package policy

import "math"

const (
	fillLimitTime     = 8 * second // after a fill was late or found no slot
	lateFillShare     = 0.1        // of recent fills past the allowance: so many late ones cut the limit
	lateFillAllowance = 40         // recent fills up to which every late one counts
	fillLimitGrowth   = 2.0        // of a router alone, for each round of as many fills as the limit
	fillLimitCut      = 0.9        // of the limit that is left
	fillCutInterval   = 200 * millisecond

	// An attempt open for longer than this and hitWorkMultiple of its transfer time is taken for a fill.
	maxHitLatency   = 50 * millisecond
	hitWorkMultiple = 2
)

// fillLimit bounds the fills of this router that are open at once. It applies for some time after fills were late or found no slot.
type fillLimit struct {
	limit        float64
	cutAt        Micros
	nextAt       Micros      // earliest start of the next fill, where the limit is below one
	limitedUntil Micros      // the limit applies until then
	recent       decayingSum // fills
	recentLate   decayingSum
}

// allow tells whether one more fill may start beside so many open ones.
func (f *fillLimit) allow(now Micros, open float64) bool {
	return open < f.limit && now >= f.nextAt
}

// observeFill learns from an attempt that named a source whether there are too many fills for what is behind them.
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

// adjustFillLimit raises the limit after a fill in time, and cuts it once too many were late.
func (r *Router) adjustFillLimit(report AttemptReport, budget Micros) {
	isAnswered := report.Outcome == OutcomeSatisfied
	switch {
	case isAnswered && report.Latency <= budget: // all routers of the zone together raise it as one alone would
		r.fills.limit += fillLimitGrowth / r.fills.limit / r.zoneRouterCount() / r.zoneRouterCount()
	case isAnswered && !report.isFill(): // late, but maybe a hit with a slow transfer
	default:
		r.fills.recentLate.add(r.now, 1)
		if r.fills.recentLate.value > lateFillShare*(r.fills.recent.value-lateFillAllowance) {
			r.cutFillLimit()
		}
	}
}

// cutFillLimit lowers the limit of open fills and puts it in force.
func (r *Router) cutFillLimit() {
	if r.now >= r.fills.cutAt+fillCutInterval {
		r.fills.cutAt = r.now
		floor := minOpen * float64(max(len(r.edges), 1)) / r.zoneRouterCount()
		floor += math.Sqrt(floor) * (1 - 1/r.zoneRouterCount()) // not all routers are busy at once
		r.fills.limit = max(floor, fillLimitCut*min(r.fills.limit, r.countOpenFills(r.openAttempts)+1))
	}
	if r.fills.limitedUntil < r.now {
		r.logf("fills pressed, limit %.1f", r.fills.limit)
	}
	r.fills.limitedUntil = r.now + fillLimitTime
}

// countOpenFills counts those attempts that are fills or open for too long to be hits.
func (r *Router) countOpenFills(attempts []*Attempt) (count float64) {
	for _, a := range attempts {
		if a.source != a.edge && (a.lookup.missedAt != nil || r.now-a.startedAt > maxHitLatency+hitWorkMultiple*a.lookup.work) {
			count++
		}
	}
	return count
}
