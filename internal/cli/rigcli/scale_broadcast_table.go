package rigcli

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"foldslip/internal/lab/scale"
)

// neverReached is the value that reports contain instead of a latency if purges never reached all gateways.
const neverReached = -1

// broadcastRuns are the runs of one size, case and mechanism.
type broadcastRuns []*scale.BroadcastReport

// broadcastFigure returns one figure of a report.
type broadcastFigure func(*scale.BroadcastReport) float64

func (r broadcastRuns) sorted(figure broadcastFigure) []float64 {
	values := make([]float64, 0, len(r))
	for _, report := range r {
		value := figure(report)
		if value == neverReached {
			value = math.Inf(1)
		}
		values = append(values, value)
	}
	slices.Sort(values)
	return values
}

func (r broadcastRuns) min(figure broadcastFigure) float64 { return r.sorted(figure)[0] }

// median returns the middle value, or the lower of the two middle values.
func (r broadcastRuns) median(figure broadcastFigure) float64 {
	values := r.sorted(figure)
	return values[(len(values)-1)/2]
}

func (r broadcastRuns) max(figure broadcastFigure) float64 {
	values := r.sorted(figure)
	return values[len(values)-1]
}

func isSameConfiguration(a, b *scale.BroadcastReport) bool {
	return a.Gateways == b.Gateways && a.Case == b.Case && a.Mechanism == b.Mechanism
}

// printBroadcastTable prints one row for the runs of each size, case and mechanism. Most columns are medians over the
// seeds. Losses and worst cases are the largest values.
func printBroadcastTable(out io.Writer, reports []*scale.BroadcastReport) {
	table := newTable(out)
	fmt.Fprintln(table, "CASE\tGATEWAYS\tMECHANISM\tRUNS\tIN TIME (LEAST)\tP50\tP99\tP99.9\tMOST\tLOST PAIRS\tIN B/S\tOUT B/S\tBOTH P99\tMOST\tWORST 1S\tMSG/S\tSAID\tCOPIES\tBEHIND\tCORE\tHEAP KB")
	for _, runs := range groupRuns(reports, isSameConfiguration) {
		fmt.Fprintln(table, strings.Join(broadcastRuns(runs).cells(), "\t"))
	}
	table.Flush()
}

// cells returns one row of the table.
func (r broadcastRuns) cells() []string {
	first := r[0]
	inTime := func(report *scale.BroadcastReport) float64 { return report.InTimeShare }
	lostPairs := func(report *scale.BroadcastReport) float64 {
		return float64(report.LostPairs + report.LostAcrossCut + report.LostFresh)
	}
	return []string{
		first.Case,
		fmt.Sprint(first.Gateways),
		first.Mechanism,
		fmt.Sprint(len(r)),
		fmt.Sprintf("%.4f (%.4f)", r.median(inTime), r.min(inTime)),
		formatElapsed(r.median(func(report *scale.BroadcastReport) float64 { return report.P50 })),
		formatElapsed(r.median(func(report *scale.BroadcastReport) float64 { return report.P99 })),
		formatElapsed(r.median(func(report *scale.BroadcastReport) float64 { return report.P999 })),
		formatElapsed(r.max(func(report *scale.BroadcastReport) float64 { return report.Max })),
		fmt.Sprintf("%.0f", r.max(lostPairs)),
		fmt.Sprintf("%.0f", r.median(func(report *scale.BroadcastReport) float64 { return report.In.Median })),
		fmt.Sprintf("%.0f", r.median(func(report *scale.BroadcastReport) float64 { return report.Out.Median })),
		fmt.Sprintf("%.0f", r.median(func(report *scale.BroadcastReport) float64 { return report.Both.P99 })),
		fmt.Sprintf("%.0f", r.max(func(report *scale.BroadcastReport) float64 { return report.Both.Max })),
		fmt.Sprintf("%.0f", r.max(func(report *scale.BroadcastReport) float64 { return report.WorstSecond })),
		fmt.Sprintf("%.1f", r.median(func(report *scale.BroadcastReport) float64 { return report.Datagrams.Median })),
		fmt.Sprintf("%.2f", r.median(func(report *scale.BroadcastReport) float64 { return report.BatchesPerPurge })),
		fmt.Sprintf("%.2f", r.median(func(report *scale.BroadcastReport) float64 { return report.DeliveriesPerBatch })),
		fmt.Sprintf("%.0f", r.max(func(report *scale.BroadcastReport) float64 { return float64(report.MaxBehind) })),
		fmt.Sprintf("%.3f%%", 100*r.median(func(report *scale.BroadcastReport) float64 { return report.CoreShare })),
		fmt.Sprintf("%.1f", r.median(func(report *scale.BroadcastReport) float64 { return report.Heap })/1024),
	}
}

// formatElapsed formats an elapsed time in seconds. Infinity stands for an event that did not happen.
func formatElapsed(seconds float64) string {
	if math.IsInf(seconds, 1) {
		return "never"
	}
	return fmt.Sprintf("%.2fs", seconds)
}
