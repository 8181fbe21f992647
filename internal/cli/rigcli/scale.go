package rigcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"foldslip/internal/lab/scale"
)

// scaleCommands are the measurements against the size of the fleet.
type scaleCommands struct {
	Watch     scaleWatch     `cmd:"" help:"Hollow gateways, and some real ones, that each hear the discovery watch over loopback."`
	Broadcast scaleBroadcast `cmd:"" help:"Purges spread among thousands of hollow gateways on a virtual network with faults."`
	Plot      scalePlot      `cmd:"" help:"Draw the figures of docs/CAPACITY.md: cost against size with the budget."`
	Worker    scaleWorker    `name:"crowd" cmd:"" hidden:"" help:"A process of hollow gateways, told what to do on standard input."`
}

type scaleWorker struct{}

// Run serves the orders of the process that started this one.
func (*scaleWorker) Run(to *streams) error { return scale.RunHollowProcess(os.Stdin, to.out) }

type scaleWatch struct {
	Sizes      []int         `default:"12,50,200" help:"Gateways, a run each, as 12,50,200."`
	Runs       int           `default:"3" help:"Runs of each size, 1 to 20."`
	Seconds    float64       `name:"seconds" default:"20" help:"How long the figures count."`
	WarmUp     float64       `name:"warm" default:"12" help:"Seconds before: purges are kept for 11."`
	Purges     float64       `name:"purges" default:"100" help:"Purges a second."`
	Changes    time.Duration `name:"changes" default:"6.2s" help:"A change of the list so often (14,000 a day); 0: none."`
	Restarts   float64       `name:"restarts" default:"0" help:"Hollow gateways started anew, a second (1,900 a day are 0.022)."`
	Lookups    float64       `name:"lookups" default:"0" help:"Lookups decided in each hollow gateway, a second."`
	Caches     int           `default:"1800" help:"Caches in the list."`
	Real       int           `name:"real" default:"12" help:"Real gateways among them, 0 to 200, at most all."`
	List       string        `name:"list" default:"told" enum:"told,watch" help:"Where the whole list of a start stands: told in the configuration, or on the watch."`
	Stretch    float64       `name:"stretch" default:"1" help:"Run the clock of stand-in and hollow gateways so many times slower, so that more of them fit on the machine; without real ones then."`
	PerProcess int           `name:"each" default:"500" help:"Hollow gateways in one process."`
	Bound      time.Duration `name:"bound" default:"4.5s" help:"A purge is to be everywhere by then."`
	Budget     bool          `help:"Hold each gateway to 2.1% of a core, 128 MB and 15 KB/s: exit status 1 if one kind is over."`
	Program    string        `help:"The gateway's program; foldslip beside this one if not told."`
	Profile    string        `help:"Write the processor profile of the first process of hollow gateways there, of the last run; its hottest functions are told if the go command is there."`
	JSON       string        `help:"Write a line of JSON for each run and each line fitted."`
	Plot       string        `help:"Folder for SVG plots of each figure against size, on log axes."`
	Logs       string        `help:"Folder for settings and logs of real gateways; a new one under the temporary folder, removed after a good run, if not told."`
	Seed       uint64        `default:"1" help:"Of the first run; each run after takes the next."`
}

// Help stands under the command's help.
func (*scaleWatch) Help() string {
	return `Each run starts a stand-in for the discovery watch and so many gateways, lets them warm up, and counts what a
gateway spends on control while purges and changes of the list are told: processor, memory, bytes, and how long each
purge takes to be everywhere. From two sizes on a line is fitted on log axes, with how far each size lies off it.

Examples:
  foldslip-rig scale watch                                            # 12, 50 and 200 gateways, three runs each
  foldslip-rig scale watch --sizes 12,50,200 --runs 3 --seconds 20 --purges 100 --json watch.jsonl --plot plots
  foldslip-rig scale watch --sizes 200 --runs 1 --profile watch.pprof # what the time goes to
  foldslip-rig scale watch --sizes 12 --budget                        # exit status 1 if a gateway is over its budget
  foldslip-rig scale watch --sizes 1000,2000 --stretch 20             # more than the machine bears at its own pace
  foldslip-rig scale watch --sizes 500 --restarts 5 --list watch      # a release, each start hearing the whole list

Only figures of runs beside little other work compare: each run tells how many cores were busy and how many of them
were its own. See docs/scale.md.`
}

func (c *scaleWatch) check() error {
	switch {
	case len(c.Sizes) == 0 || len(c.Sizes) > 32:
		return usageError{errors.New("--sizes: expected one to 32, as 12,50,200")}
	case c.Runs < 1 || c.Runs > 20:
		return usageError{fmt.Errorf("--runs %d: expected 1 to 20", c.Runs)}
	case c.Seconds <= 0 || c.Seconds > 7200 || c.WarmUp < 0 || c.WarmUp > 600:
		return usageError{errors.New("--seconds: up to 7200; --warm: up to 600")}
	}
	for _, n := range c.Sizes {
		if n < 1 {
			return usageError{fmt.Errorf("--sizes: %d gateways", n)}
		}
	}
	return nil
}

// Run measures.
func (c *scaleWatch) Run(to *streams) error {
	if err := c.check(); err != nil {
		return err
	}
	if c.Stretch > 1 {
		c.Real = 0
	}
	program, err := "", error(nil)
	if c.Real > 0 {
		if program, err = siblingProgram(c.Program); err != nil {
			return err
		}
	}
	own, err := os.Executable()
	if err != nil {
		return err
	}
	base := c.Logs
	if base == "" {
		if base, err = os.MkdirTemp("", "foldslip-scale"); err != nil {
			return err
		}
	}
	lines, done, err := openOutputs(c.JSON, c.Plot)
	if err != nil {
		return err
	}
	defer done()
	var budget scale.Budget
	if c.Budget {
		budget = scale.FullBudget
	}
	bar := progressbar.NewOptions(len(c.Sizes)*c.Runs, progressbar.OptionSetWriter(to.errs), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetDescription("runs"))
	var all []*scale.WatchReport
	bad := 0
	for i, n := range c.Sizes {
		for run := range c.Runs {
			o := scale.WatchOptions{Gateways: n, Real: min(c.Real, n), PerProcess: c.PerProcess, PurgesPerSecond: c.Purges, ChangeInterval: c.Changes, RestartsPerSecond: c.Restarts, LookupsPerSecond: c.Lookups, Stretch: c.Stretch,
				Caches: c.Caches, ListInConfig: c.List == "told", Warmup: toDuration(c.WarmUp), Duration: toDuration(c.Seconds), Deadline: c.Bound,
				Seed: c.Seed + uint64(i*c.Runs+run), Dir: filepath.Join(base, fmt.Sprintf("%d-%d", n, run+1)), Program: program, Budget: budget,
				HollowCommand: func() *exec.Cmd { return exec.Command(own, "scale", "crowd") },
				Progress: func(format string, a ...any) {
					bar.Clear()
					fmt.Fprintf(to.errs, "%d gateways, run %d: "+format+"\n", append([]any{n, run + 1}, a...)...)
				}}
			if o.Real > 0 && n == min(c.Real, n) && n > 1 { // half of a small fleet is real, so that both kinds are there
				o.Real = n / 2
			}
			if i == len(c.Sizes)-1 && run == c.Runs-1 {
				o.Profile = c.Profile
			}
			r, err := scale.Watch(o)
			if err != nil {
				return fmt.Errorf("%d gateways, run %d: %w (logs in %s)", n, run+1, err, base)
			}
			r.Run = run + 1
			all = append(all, r)
			if bar.Add(1); len(r.Violations) > 0 {
				bad++
				bar.Clear()
				fmt.Fprintf(to.out, "%d gateways, run %d: %s\n", n, r.Run, strings.Join(r.Violations, "; "))
			}
			if lines != nil {
				if err := lines.Encode(r); err != nil {
					return err
				}
			}
		}
	}
	bar.Finish()
	c.table(to.out, all)
	if err := c.fits(to.out, all, lines); err != nil {
		return err
	}
	if c.Profile != "" {
		printHottest(to.out, c.Profile)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d runs did what must not be; logs in %s", bad, len(all), base)
	}
	if c.Logs == "" {
		return os.RemoveAll(base)
	}
	return nil
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (c *scaleWatch) table(out io.Writer, all []*scale.WatchReport) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "GATEWAYS\tRUN\tKIND\tN\tCORE\tUS/EVENT\tIN B/S\tTCP IN\tTCP OUT\tANON MB\tHEAP MB\tALLOC KB/S\tLOST\tEVERYWHERE P50\tP99\tMAX\tREADY\tBUSY CORES\tOURS\tSTARVED\tPACE LATE P99")
	for _, r := range all {
		for i, k := range []scale.Cost{r.Hollow, r.Real} {
			if k.Gateways == 0 {
				continue
			}
			fmt.Fprintf(w, "%d\t%d\t%s\t%d\t%.2f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%.0f", r.Gateways, r.Run, [2]string{"hollow", "real"}[i], k.Gateways, 100*k.Core,
				k.EventMicros, k.In, k.WireIn, k.WireOut, k.Resident/(1<<20), k.Heap/(1<<20), k.Alloc/1024)
			if i == 1 && r.Hollow.Gateways > 0 {
				fmt.Fprintln(w, "\t\t\t\t\t\t\t\t\t")
				continue
			}
			fmt.Fprintf(w, "\t%d\t%.0fms\t%.0fms\t%.0fms\t%.1fs\t%.1f of %d\t%.1f\t%.0f%%\t%.0fms\n", r.LostEvents, r.Median, r.P99, r.Max, r.Ready, r.Machine.Busy, r.Machine.Cores,
				r.Machine.Ours, 100*r.Machine.Starved, r.Machine.Late)
		}
	}
	w.Flush()
}

// fits prints the lines through each figure, and draws them.
func (c *scaleWatch) fits(out io.Writer, all []*scale.WatchReport, lines *json.Encoder) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	said := false
	for _, g := range scale.WatchPlots(all, scale.FullBudget) {
		fit, err := scale.FitLine(g.Name, g.BySize)
		if err != nil {
			fit = nil // a line needs two sizes
		}
		if fit != nil {
			if !said {
				said = true
				fmt.Fprintln(w, "\nFIGURE\tLINE\tR2\tCURVED\tAT 3,900\tOFF THE LINE, BY SIZE")
			}
			shape := "cannot tell"
			if fit.P != nil {
				shape = fmt.Sprintf("%v (p %.2g)", fit.Curved, *fit.P)
			}
			var off []string
			for _, at := range fit.Points {
				off = append(off, strconv.Itoa(at.Size)+": "+strconv.FormatFloat(at.Deviation, 'f', 2, 64))
			}
			fmt.Fprintf(w, "%s\t%.3g n^%.2f\t%.2f\t%s\t%.3g\t%s\n", g.Title, fit.Factor, fit.Slope, fit.R2, shape, fit.Value(scale.FullGateways), strings.Join(off, ", "))
			if lines != nil {
				if err := lines.Encode(map[string]any{"what": "fit", "fit": fit}); err != nil {
					return err
				}
			}
		}
		if c.Plot != "" {
			if err := g.Plot(c.Plot, fit); err != nil {
				return err
			}
		}
	}
	return w.Flush()
}

// printHottest prints what the profile has most of, where the go command is there to read it.
func printHottest(out io.Writer, profile string) {
	text, err := exec.Command("go", "tool", "pprof", "-top", "-nodecount=12", profile).Output()
	if err != nil {
		fmt.Fprintf(out, "\nprofile in %s; go tool pprof -top %s reads it\n", profile, profile)
		return
	}
	fmt.Fprintf(out, "\n%s", text)
}

// openOutputs opens what a run is written to: JSON lines (nil: none) and a folder of plots; done closes it.
func openOutputs(path, plots string) (lines *json.Encoder, done func(), err error) {
	done = func() {}
	if path != "" {
		file, err := os.Create(path)
		if err != nil {
			return nil, done, usageError{err}
		}
		lines, done = json.NewEncoder(file), func() { file.Close() }
	}
	if plots != "" {
		if err := os.MkdirAll(plots, 0o755); err != nil {
			done()
			return nil, func() {}, usageError{err}
		}
	}
	return lines, done, nil
}
