package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"runtime"
	"runtime/debug"
	"text/tabwriter"
	"time"

	"foldslip/internal/lab/scenario"
)

type faultsColdStarts struct {
	Seeds string `default:"1-20" help:"Seeds of each cell, as 1-20."`
	Jobs  int    `default:"0" help:"Days played at once; 0: as many as there are processors."`
	JSON  bool   `help:"Print JSON."`
}

func (f *faultsColdStarts) Run(to *streams) error {
	first, last, err := readSeeds(f.Seeds)
	if err != nil {
		return err
	}
	if f.Jobs < 0 || f.Jobs > 1024 || last-first >= 10000 {
		return usageErrorf("--jobs 0 to 1024, and at most 10000 seeds")
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400))
	cells := scenario.ColdStartCells()
	bar := progress(to.errs, int64(len(cells)*len(scenario.StartSources))*int64(last-first+1), f.JSON)
	if err := scenario.CompareColdStarts(cells, first, last, cmp.Or(f.Jobs, runtime.GOMAXPROCS(0)), func() { bar.Add(1) }); err != nil {
		return err
	}
	if f.JSON {
		return json.NewEncoder(to.out).Encode(cells)
	}
	w := tabwriter.NewWriter(to.out, 0, 8, 2, ' ', 0)
	fmt.Fprint(w, "age of the list\twrong")
	for _, way := range scenario.StartSources {
		fmt.Fprintf(w, "\t%s\tpushed", way)
	}
	fmt.Fprintln(w)
	broken := 0
	for _, c := range cells {
		fmt.Fprintf(w, "%v\t%.0f%%", time.Duration(c.AgeSeconds)*time.Second, 100*c.WrongShare)
		for way := range scenario.StartSources {
			fmt.Fprintf(w, "\t%.3f\t%d", c.Satisfied[way], c.Overloads[way])
		}
		fmt.Fprintln(w)
		broken += c.BrokenRuns
	}
	w.Flush()
	if broken > 0 {
		return fmt.Errorf("%d days that began from the list broke a rule", broken)
	}
	return nil
}
