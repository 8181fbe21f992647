package cli

import (
	"cmp"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scenario"
)

// maxColdStartSeeds is the maximum number of seeds of each cell.
const maxColdStartSeeds = 10_000

type faultsColdStarts struct {
	Seeds string `default:"1-20" help:"Seeds of each cell, such as 1-20."`
	Jobs  int    `default:"0" help:"Scenarios run in parallel; 0: as many as there are processors."`
	JSON  bool   `help:"Print JSON."`
}

// Run compares the sources that a gateway can take its endpoint list from when it starts without discovery. Without
// --json it fails if a rule was broken.
func (c *faultsColdStarts) Run(streams *program.Streams) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if checkJobs(c.Jobs) != nil || seeds.Count() > maxColdStartSeeds {
		return program.UsageErrorf("--jobs, --seeds: expected 0 to %d jobs and at most %d seeds", maxJobs, maxColdStartSeeds)
	}
	defer debug.SetGCPercent(debug.SetGCPercent(simulationGCPercent))
	cells := scenario.ColdStartCells()
	scenarios := int64(len(cells)*len(scenario.StartSources)) * int64(seeds.Count())
	bar := newProgressBar(streams.Err, scenarios, c.JSON)
	jobs := cmp.Or(c.Jobs, runtime.GOMAXPROCS(0))
	if err := scenario.CompareColdStarts(cells, seeds.First, seeds.Last, jobs, func() { bar.Add(1) }); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams, cells)
	}
	printColdStarts(streams.Out, cells)
	broken := 0
	for _, cell := range cells {
		broken += cell.BrokenRuns
	}
	if broken > 0 {
		return program.Failedf("%d scenarios that started from the stored list broke a rule", broken)
	}
	return nil
}

func printColdStarts(out io.Writer, cells []*scenario.ColdStartCell) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprint(table, "age of the list\twrong")
	for _, source := range scenario.StartSources {
		fmt.Fprintf(table, "\t%s\tpushed", source)
	}
	fmt.Fprintln(table)
	for _, cell := range cells {
		fmt.Fprintf(table, "%v\t%.0f%%", time.Duration(cell.AgeSeconds)*time.Second, 100*cell.WrongShare)
		for source := range scenario.StartSources {
			fmt.Fprintf(table, "\t%.3f\t%d", cell.Satisfied[source], cell.Overloads[source])
		}
		fmt.Fprintln(table)
	}
	table.Flush()
}
