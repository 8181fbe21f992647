package fleet

import (
	"fmt"
)

const (
	warmUpSeconds = 10  // left out of LimitReport.Mean
	burstSeconds  = 0.5 // seconds' worth of the limit that a token bucket admits at once after an idle time
)

// LimitReport compares the admitted lookups with the scenario's limit. After an idle time, a token bucket admits a
// burst, and the bucket of each gateway holds at least one lookup (package limit). The bound of a window is therefore
// the limit, the allowed overrun and that burst.
type LimitReport struct {
	Limit     float64 `json:"limit"`      // lookups per second
	FleetWide bool    `json:"fleet"`      // the limit applies to all gateways together
	Mean      float64 `json:"mean"`       // admitted lookups per second, without the first 10 s
	MaxIn1s   float64 `json:"most_1s"`    // highest rate in any second, as a fraction of the limit
	MaxIn10s  float64 `json:"most_10s"`   // highest rate in any ten seconds, as a fraction of the limit
	Bound1s   float64 `json:"bound_1s"`   // on MaxIn1s
	Bound10s  float64 `json:"bound_10s"`  // on MaxIn10s
	PerSecond []int   `json:"per_second"` // admitted lookups in each second
}

// limitReport compares the satisfied lookups of the load with a limit. gateways is the size of the fleet.
func (l *lookupLoad) limitReport(limit *Limit, gateways int) *LimitReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := &LimitReport{Limit: limit.LookupsPerSecond, FleetWide: limit.FleetWide}
	for slot, count := range l.satisfiedBySlot {
		if slot%slotsPerSecond == 0 {
			report.PerSecond = append(report.PerSecond, 0)
		}
		report.PerSecond[slot/slotsPerSecond] += count
	}
	sum := 0
	for _, count := range report.PerSecond[min(warmUpSeconds, len(report.PerSecond)):] {
		sum += count
	}
	report.Mean = float64(sum) / float64(max(1, len(report.PerSecond)-warmUpSeconds))
	report.MaxIn1s = float64(maxInWindow(l.satisfiedBySlot, slotsPerSecond)) / limit.LookupsPerSecond
	report.MaxIn10s = float64(maxInWindow(l.satisfiedBySlot, 10*slotsPerSecond)) / 10 / limit.LookupsPerSecond
	burst := burstSeconds + float64(gateways)/limit.LookupsPerSecond
	slotLength := 1.0 / slotsPerSecond // in seconds; windows consist of whole slots
	report.Bound1s = 1 + limit.MaxOverrun + burst + slotLength
	report.Bound10s = 1 + limit.MaxOverrun + (burst+slotLength)/10
	return report
}

// violations returns a text for each bound of the limit that the report does not meet.
func (r *LimitReport) violations(limit *Limit) (found []string) {
	if limit.FleetWide && r.MaxIn1s > r.Bound1s {
		found = append(found, fmt.Sprintf("in one second %.2f of the fleet's limit were let in, bound %.2f", r.MaxIn1s, r.Bound1s))
	}
	if limit.FleetWide && r.MaxIn10s > r.Bound10s {
		found = append(found, fmt.Sprintf("in ten seconds %.2f of the fleet's limit were let in, bound %.2f", r.MaxIn10s, r.Bound10s))
	}
	if minimum := limit.MinShare * limit.LookupsPerSecond; r.Mean < minimum {
		found = append(found, fmt.Sprintf("%.0f a second were let in of a limit of %.0f, at least %.0f are wanted", r.Mean, limit.LookupsPerSecond, minimum))
	}
	return found
}

// maxInWindow returns the largest sum of counts over the given number of consecutive slots.
func maxInWindow(counts []int, slots int) (largest int) {
	sum := 0
	for i, count := range counts {
		sum += count
		if i >= slots {
			sum -= counts[i-slots]
		}
		largest = max(largest, sum)
	}
	return largest
}
