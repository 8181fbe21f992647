package rigcli

import (
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"strconv"
	"strings"

	"foldslip/internal/lab/scale"
)

const mebibyte = 1 << 20

// printWatchTable prints the costs of each run, with one row for hollow and one row for real gateways. The figures of
// the whole run are in its first row.
func printWatchTable(out io.Writer, reports []*scale.WatchReport) {
	table := newTable(out)
	fmt.Fprintln(table, "GATEWAYS\tRUN\tKIND\tN\tCORE\tUS/EVENT\tIN B/S\tTCP IN\tTCP OUT\tANON MB\tHEAP MB\tALLOC KB/S\tLOST\tEVERYWHERE P50\tP99\tMAX\tREADY\tBUSY CORES\tOURS\tSTARVED\tPACE LATE P99")
	for _, report := range reports {
		isFirstRow := true
		for _, kind := range []struct {
			name string
			cost scale.Cost
		}{{"hollow", report.Hollow}, {"real", report.Real}} {
			if kind.cost.Gateways == 0 {
				continue
			}
			runColumns := "\t\t\t\t\t\t\t\t"
			if isFirstRow {
				runColumns = runCells(report)
			}
			isFirstRow = false
			fmt.Fprintf(table, "%d\t%d\t%s\t%s\t%s\n", report.Gateways, report.Run, kind.name, costCells(kind.cost), runColumns)
		}
	}
	table.Flush()
}

func costCells(cost scale.Cost) string {
	return fmt.Sprintf("%d\t%.2f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f", cost.Gateways, 100*cost.Core, cost.EventMicros, cost.In, cost.WireIn,
		cost.WireOut, cost.Resident/mebibyte, cost.Heap/mebibyte, cost.Alloc/1024)
}

func runCells(report *scale.WatchReport) string {
	machine := report.Machine
	return fmt.Sprintf("%d\t%.0fms\t%.0fms\t%.0fms\t%.1fs\t%.1f of %d\t%.1f\t%.0f%%\t%.0fms", report.LostEvents, report.Median, report.P99, report.Max,
		report.Ready, machine.Busy, machine.Cores, machine.Ours, 100*machine.Starved, machine.Late)
}

// printFits prints the line fitted to each figure against the size of the fleet and writes it to lines. If --plot is
// set, it also plots the figure.
func (c *scaleWatch) printFits(out io.Writer, reports []*scale.WatchReport, lines *json.Encoder) error {
	table := newTable(out)
	isFirstRow := true
	for _, figure := range scale.WatchPlots(reports, scale.FullBudget) {
		fit, err := scale.FitLine(figure.Name, figure.BySize)
		if err != nil {
			fit = nil // a fit needs at least two sizes and values above 0
		}
		if fit != nil {
			if isFirstRow {
				fmt.Fprintln(table, "\nFIGURE\tLINE\tR2\tCURVED\tAT 3,900\tOFF THE LINE, BY SIZE")
			}
			isFirstRow = false
			fmt.Fprintf(table, "%s\t%s\n", figure.Title, fitCells(fit))
			if lines != nil {
				if err := lines.Encode(map[string]any{"what": "fit", "fit": fit}); err != nil {
					return err
				}
			}
		}
		if c.Plot != "" {
			if err := figure.Plot(c.Plot, fit); err != nil {
				return err
			}
		}
	}
	return table.Flush()
}

func fitCells(fit *scale.Fit) string {
	curved := "cannot tell"
	if fit.P != nil {
		curved = fmt.Sprintf("%v (p %.2g)", fit.Curved, *fit.P)
	}
	var deviations []string
	for _, point := range fit.Points {
		deviations = append(deviations, strconv.Itoa(point.Size)+": "+strconv.FormatFloat(point.Deviation, 'f', 2, 64))
	}
	return fmt.Sprintf("%.3g n^%.2f\t%.2f\t%s\t%.3g\t%s", fit.Factor, fit.Slope, fit.R2, curved, fit.Value(scale.FullGateways),
		strings.Join(deviations, ", "))
}

// printHotFunctions prints the functions with the most samples in a profile. If the go command fails or is missing, it
// prints how to read the profile.
func printHotFunctions(out io.Writer, profile string) {
	text, err := exec.Command("go", "tool", "pprof", "-top", "-nodecount=12", profile).Output()
	if err != nil {
		fmt.Fprintf(out, "\nprofile in %s; go tool pprof -top %s reads it\n", profile, profile)
		return
	}
	fmt.Fprintf(out, "\n%s", text)
}
