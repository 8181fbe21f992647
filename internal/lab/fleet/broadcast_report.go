package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// broadcastDeadline is the time after its announcement within which a purge must reach gateways by broadcast.
const broadcastDeadline = 4500 * time.Millisecond

// BroadcastReport summarizes how announced purges reached gateways without a discovery watch. A pair consists of a
// purge and a gateway. It counts if, for broadcastDeadline after the announcement, the gateway ran, had no link to
// discovery and could reach a gateway with a watch, directly or through other gateways. After a gateway was started or
// became reachable, its pairs count only once all views have agreed.
type BroadcastReport struct {
	Purges                int     `json:"told"`
	Pairs                 int     `json:"pairs"`
	InTime                int     `json:"within"` // pairs whose purge arrived within broadcastDeadline
	Share                 float64 `json:"share"`  // InTime divided by Pairs
	P50                   int64   `json:"p50_ms"` // median latency over the pairs whose purge arrived
	P99                   int64   `json:"p99_ms"`
	Max                   int64   `json:"most_ms"`
	ByWatch               int     `json:"own"`             // pairs of a purge and a gateway with a watch of its own
	FinalPairs            int     `json:"final"`           // pairs with a gateway that ran and reported at the end
	MissingPairs          int     `json:"lost"`            // of FinalPairs: the gateway's last process never applied the purge
	BusiestBytesPerSecond float64 `json:"busiest_bytes_s"` // of the busiest process at the end: in and out, mean since its start
	Unreported            int     `json:"unasked"`         // gateways that ran at the end and gave no report
}

// report evaluates the run. Which gateways had to receive a purge
// follows from the rig's own actions. The caller holds the rig's mu.
func (b *broadcastRun) report(states []viewState) *BroadcastReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	report := &BroadcastReport{Purges: len(b.purges)}
	names := slices.Sorted(maps.Keys(b.applied))
	var latenciesMS []int64
	for _, purge := range b.purges {
		latenciesMS = append(latenciesMS, b.reportPurge(report, purge, names, states)...)
	}
	slices.Sort(latenciesMS)
	if count := len(latenciesMS); count > 0 {
		report.P50 = latenciesMS[count/2]
		report.P99 = latenciesMS[count*99/100]
		report.Max = latenciesMS[count-1]
	}
	report.Share = float64(report.InTime) / float64(max(1, report.Pairs))
	b.reportFinal(report, names)
	return report
}

// reportPurge adds the pairs of one purge to the report and returns the latencies of the pairs whose purge arrived.
func (b *broadcastRun) reportPurge(report *BroadcastReport, purge publishedPurge, names []string, states []viewState) (latenciesMS []int64) {
	span := b.spanOf(purge)
	watchers := map[string]bool{}
	for _, name := range names {
		if b.watchedThroughout(name, span) {
			watchers[name] = true
		}
	}
	report.ByWatch += len(watchers)
	for _, name := range names {
		if watchers[name] || !b.mustReceive(name, watchers, span, states) {
			continue
		}
		report.Pairs++
		appliedAt, ok := b.applied[name].firstAt[purge.object]
		if !ok {
			continue
		}
		latenciesMS = append(latenciesMS, max(0, appliedAt-purge.at).Milliseconds())
		if appliedAt-purge.at <= broadcastDeadline {
			report.InTime++
		}
	}
	return latenciesMS
}

// mustReceive reports whether a gateway must receive a purge by broadcast. This holds if it has no watch at any time of
// the span and can reach one of the watchers during the whole span.
func (b *broadcastRun) mustReceive(name string, watchers map[string]bool, span topologySpan, states []viewState) bool {
	for _, t := range span.during {
		if t.watching[name] {
			return false
		}
	}
	for watcher := range watchers {
		if b.reachableThroughout(name, watcher, span, states) {
			return true
		}
	}
	return false
}

// reportFinal adds to the report what the gateways that run at the end have applied.
func (b *broadcastRun) reportFinal(report *BroadcastReport, names []string) {
	last := b.topologies[len(b.topologies)-1]
	for _, name := range names {
		if !last.running[name] {
			continue
		}
		applied := b.applied[name]
		if !applied.reported {
			report.Unreported++
			continue
		}
		report.BusiestBytesPerSecond = max(report.BusiestBytesPerSecond, applied.bytesPerSecond)
		for _, purge := range b.purges {
			report.FinalPairs++
			if !applied.current[purge.object] {
				report.MissingPairs++
			}
		}
	}
}

// violations returns a text for each requirement of the scenario that the report does not meet.
func (r *BroadcastReport) violations(load *PurgeLoad) (found []string) {
	if r.MissingPairs > 0 {
		found = append(found, fmt.Sprintf("%d purges of %d are lost at gateways that ran at the end", r.MissingPairs, r.FinalPairs))
	}
	if r.Share < load.MinShare {
		found = append(found, fmt.Sprintf("%.4f of %d purges came to gateways within %v, at least %.4f are wanted", r.Share, r.Pairs, broadcastDeadline, load.MinShare))
	}
	if load.MinShare > 0 && r.Pairs == 0 {
		found = append(found, "no purge had to come from a peer: the scenario shows nothing")
	}
	if r.Unreported > 0 {
		found = append(found, fmt.Sprintf("%d gateways that ran at the end do not tell what they heeded", r.Unreported))
	}
	return found
}
