package rigcli

import (
	"fmt"
	"io"
	"math"

	"foldslip/internal/lab/fleet"
)

// figures are the values of one figure in several runs.
type figures []float64

// collect returns the value of a figure in each report.
func collect(reports []*fleet.Report, figureOf func(*fleet.Report) float64) (all figures) {
	for _, report := range reports {
		all = append(all, figureOf(report))
	}
	return all
}

func (f figures) median() float64 {
	median, _ := fleet.MedianAndMax(f)
	return median
}

func (f figures) max() float64 {
	_, largest := fleet.MedianAndMax(f)
	return largest
}

func isSameScenario(a, b *fleet.Report) bool { return a.Scenario == b.Scenario }

// printSteps prints a row for each step of a scenario after which the views had to settle, with the time that this took
// in the runs. Mark steps without a bound are left out.
func printSteps(out io.Writer, reports []*fleet.Report) {
	table := newTable(out)
	fmt.Fprintln(table, "SCENARIO\tRUNS\tSTEP\tAGREED MEDIAN\tMAX\tTOLD MEDIAN\tMAX\tFALSE DEATHS\tREST B/S\tMSG/S\tCHURN B/S\tMSG/S")
	for _, runs := range groupRuns(reports, isSameScenario) {
		isFirstRow := true
		for index, step := range runs[0].Steps {
			if !step.Awaited || step.Action == "mark" && step.BoundMS == 0 {
				continue
			}
			agreed, settled := stepSeconds(runs, index)
			fmt.Fprintf(table, "%s\t%d\t%d %s\t%s\t%s\t%s\t%s\t", runs[0].Scenario, len(runs), index, step.Action, formatSeconds(agreed.median()),
				formatSeconds(agreed.max()), formatSeconds(settled.median()), formatSeconds(settled.max()))
			if isFirstRow {
				fmt.Fprintln(table, trafficCells(runs))
			} else {
				fmt.Fprintln(table, "\t\t\t\t")
			}
			isFirstRow = false
		}
	}
	table.Flush()
}

// stepSeconds returns the seconds from a step until the views agreed and until all gateways reported that they had
// settled. Runs in which this did not happen are left out.
func stepSeconds(runs []*fleet.Report, index int) (agreed, settled figures) {
	for _, run := range runs {
		step := run.Steps[index]
		if step.Agreed {
			agreed = append(agreed, float64(step.AgreedMS)/1000)
		}
		if step.Settled {
			settled = append(settled, float64(step.SettledMS)/1000)
		}
	}
	return agreed, settled
}

// trafficCells returns the table cells for the number of false deaths in all runs and the median traffic at rest and
// during churn.
func trafficCells(runs []*fleet.Report) string {
	falseDeaths := 0
	for _, run := range runs {
		falseDeaths += run.FalseDeaths
	}
	return fmt.Sprintf("%d\t%.0f\t%.1f\t%.0f\t%.1f", falseDeaths,
		collect(runs, func(r *fleet.Report) float64 { return r.AtRest.BytesPerSecond }).median(),
		collect(runs, func(r *fleet.Report) float64 { return r.AtRest.PacketsPerSecond }).median(),
		collect(runs, func(r *fleet.Report) float64 { return r.InChurn.BytesPerSecond }).median(),
		collect(runs, func(r *fleet.Report) float64 { return r.InChurn.PacketsPerSecond }).median())
}

// printLimits prints the rate of admitted lookups and the limit, for each scenario that has a limit.
func printLimits(out io.Writer, reports []*fleet.Report) {
	byScenario := map[string][]*fleet.Report{}
	var names []string
	for _, report := range reports {
		if report.Limit == nil {
			continue
		}
		if byScenario[report.Scenario] == nil {
			names = append(names, report.Scenario)
		}
		byScenario[report.Scenario] = append(byScenario[report.Scenario], report)
	}
	table := newTable(out)
	if len(names) > 0 {
		fmt.Fprintln(table, "SCENARIO\tLIMIT\tFLEET'S\tLET IN, MEDIAN\tMOST IN 1S\tBOUND\tMOST IN 10S\tBOUND")
	}
	for _, name := range names {
		runs := byScenario[name]
		limit := runs[0].Limit
		fmt.Fprintf(table, "%s\t%.0f/s\t%v\t%.1f/s\t%.2f\t%.2f\t%.2f\t%.2f\n", name, limit.Limit, limit.FleetWide,
			collect(runs, func(r *fleet.Report) float64 { return r.Limit.Mean }).median(),
			collect(runs, func(r *fleet.Report) float64 { return r.Limit.MaxIn1s }).max(), limit.Bound1s,
			collect(runs, func(r *fleet.Report) float64 { return r.Limit.MaxIn10s }).max(), limit.Bound10s)
	}
	table.Flush()
}

// printBroadcasts prints a row for each run on how purges reached the gateways that could not receive them from
// discovery.
func printBroadcasts(out io.Writer, reports []*fleet.Report) {
	table := newTable(out)
	isFirstRow := true
	for _, report := range reports {
		broadcast := report.Broadcast
		if broadcast == nil {
			continue
		}
		if isFirstRow {
			fmt.Fprintln(table, "SCENARIO\tSEED\tTOLD\tOF PEERS\tIN 4.5S\tSHARE\tP50\tP99\tMOST\tOWN\tAT THE END\tLOST\tBUSIEST B/S")
		}
		isFirstRow = false
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.4f\t%dms\t%dms\t%dms\t%d\t%d\t%d\t%.0f\n", report.Scenario, report.Seed, broadcast.Purges,
			broadcast.Pairs, broadcast.InTime, broadcast.Share, broadcast.P50, broadcast.P99, broadcast.Max, broadcast.ByWatch, broadcast.FinalPairs,
			broadcast.MissingPairs, broadcast.BusiestBytesPerSecond)
	}
	table.Flush()
}

// formatSeconds formats an elapsed time. NaN stands for an event that did not happen.
func formatSeconds(seconds float64) string {
	if math.IsNaN(seconds) {
		return "never"
	}
	return fmt.Sprintf("%.2fs", seconds)
}
