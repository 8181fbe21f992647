package rigcli

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"foldslip/internal/lab/scale"
)

type scaleBroadcast struct {
	Sizes      []int         `default:"60" help:"Gateways, as 12,50,200,500."`
	Seeds      string        `default:"1-3" help:"Seeds of the runs of each size, case and mechanism, as 1-20."`
	Case       []string      `default:"none" help:"Scenarios, or all for all; see below."`
	Mechanism  []string      `default:"old,new" help:"What spreads the purges: old (fleet/verdict as fleet/post carries it), new (fleet/broadcast)."`
	Receivers  string        `name:"told" default:"" help:"Who is told of purges: one gateway, two (on either side of a cut, turn by turn), all (each by its own watch); the case's own if not told."`
	Rate       float64       `name:"rate" default:"100" help:"Purges a second, up to 1000."`
	Seconds    float64       `name:"seconds" default:"60" help:"How long purges are told."`
	WarmUp     float64       `name:"warm" default:"5" help:"Seconds before."`
	Settle     float64       `name:"settle" default:"60" help:"Seconds that the last purges may take; what is not heard then is lost."`
	Fault      time.Duration `name:"fault" default:"0s" help:"How long a cut, a rack's or zone's loss, or deafness lasts; 0: the case's own."`
	Restarts   int           `default:"0" help:"Of a release; 0: 1,900 of 3,900, or as many of the size."`
	Detect     time.Duration `name:"detect" default:"0s" help:"A crash is seen by all within this, by the first in half of it; 0: 4 log10(size) s, SWIM's bound."`
	StartSeen  time.Duration `name:"seen" default:"1s" help:"A start is seen about so late."`
	Retention  time.Duration `name:"keep" default:"0s" help:"How long the new mechanism keeps purges; 0: its usual 65 minutes."`
	Skew       time.Duration `name:"skew" default:"50ms" help:"Gateways' clocks are off by up to so much either way."`
	Bound      time.Duration `name:"within" default:"4.5s" help:"A purge is to be everywhere by then."`
	ByteBudget float64       `name:"bytes" default:"15360" help:"Bytes a second, in and out together, that a gateway may spend in the mean of a run."`
	Enforced   []string      `name:"hold" default:"new" help:"Mechanisms whose lost purges and broken bounds make the exit status 1."`
	Jobs       int           `name:"jobs" default:"1" help:"Runs at once, 1 to 16. Processor and heap are measured only with 1."`
	JSON       string        `help:"Write a line of JSON for each run."`
	From       []string      `help:"Files of JSON lines written before: tell and draw their runs in place of playing any."`
	Plot       string        `help:"Folder for SVG plots of time and bytes against size, on log axes."`
}

// Help stands under the command's help.
func (*scaleBroadcast) Help() string {
	var cases strings.Builder
	for _, name := range scale.Cases() {
		fmt.Fprintf(&cases, "  %-8s %s\n", name, scale.CaseHelp(name))
	}
	return `Each run plays so many gateways on a network with a virtual clock: latencies between sites, zones and regions, lists
of live gateways that differ for a while after each crash or start, and faults. It tells how long each purge takes to be
known at every gateway that was up, what is lost, and what each gateway sends and gets. Equal seeds give equal runs.

Cases:
` + cases.String() + `
Examples:
  foldslip-rig scale broadcast                                       # 60 gateways, no fault, old and new
  foldslip-rig scale broadcast --sizes 500 --seeds 1-20 --case none,loss1,loss5,heads,zone --jobs 4 --json out.jsonl
  foldslip-rig scale broadcast --sizes 12,50,200,500 --mechanism old,new --plot plots
  foldslip-rig scale broadcast --sizes 200 --case cut --seconds 4200 --fault 1h --mechanism new --seeds 1
  foldslip-rig scale broadcast --from a.jsonl,b.jsonl --plot plots   # runs kept from before
  foldslip-rig scale broadcast --sizes 3900 --seeds 1 --mechanism new # processor and heap too; some GB

Exit status 1 if a mechanism under --hold lost a purge or broke a bound.`
}

func (c *scaleBroadcast) check() (first, last uint64, err error) {
	if first, last, err = parseSeeds(c.Seeds); err != nil {
		return 0, 0, err
	}
	if len(c.Case) == 1 && c.Case[0] == "all" {
		c.Case = scale.Cases()
	}
	known := func(what string, asked, all []string) error {
		for _, a := range asked {
			if !slices.Contains(all, a) {
				return usageError{fmt.Errorf("%s %q: expected some of %s", what, a, strings.Join(all, ", "))}
			}
		}
		return nil
	}
	if c.Jobs < 1 || c.Jobs > 16 || len(c.Sizes) == 0 || len(c.Sizes) > 32 {
		return 0, 0, usageError{errors.New("--jobs: expected 1 to 16; --sizes: one to 32")}
	}
	for _, s := range []float64{c.Seconds, c.WarmUp, c.Settle} {
		if !(s > 0) || s > 10_000 {
			return 0, 0, usageError{errors.New("--seconds, --warm, --settle: expected more than 0, up to 10000")}
		}
	}
	return first, last, errors.Join(known("--case", c.Case, scale.Cases()), known("--mechanism", c.Mechanism, scale.Mechanisms()),
		known("--hold", c.Enforced, scale.Mechanisms()))
}

// Run plays them.
func (c *scaleBroadcast) Run(to *streams) error {
	first, last, err := c.check()
	if err != nil {
		return err
	}
	var jobs []scale.BroadcastOptions
	for _, n := range c.Sizes {
		for _, name := range c.Case {
			for _, mechanism := range c.Mechanism {
				for seed := first; seed <= last; seed++ {
					jobs = append(jobs, scale.BroadcastOptions{Gateways: n, Mechanism: mechanism, Case: name, Source: c.Receivers, Rate: c.Rate, Seed: seed, Warmup: toDuration(c.WarmUp),
						Duration: toDuration(c.Seconds), Settle: toDuration(c.Settle), FaultDuration: c.Fault, Restarts: c.Restarts, CrashSeenWithin: c.Detect, StartSeenWithin: c.StartSeen, KeepPurges: c.Retention, ClockSkew: c.Skew, Deadline: c.Bound,
						BytesPerSecond: c.ByteBudget, Measure: c.Jobs == 1})
				}
			}
		}
	}
	for _, o := range jobs {
		if err := o.Validate(); err != nil {
			return usageError{err}
		}
	}
	lines, done, err := openOutputs(c.JSON, c.Plot)
	if err != nil {
		return err
	}
	defer done()
	var all []*scale.BroadcastReport
	if len(c.From) > 0 {
		all, err = readRuns(c.From)
	} else {
		all, err = c.play(jobs, lines, to.errs)
	}
	if err != nil {
		return err
	}
	c.table(to.out, all)
	bad := 0
	for _, r := range all {
		if len(r.Violations) > 0 && slices.Contains(c.Enforced, r.Mechanism) {
			bad++
			fmt.Fprintf(to.out, "%s, %s, %d gateways, seed %d: %s\n", r.Mechanism, r.Case, r.Gateways, r.Seed, strings.Join(r.Violations, "; "))
		}
	}
	if c.Plot != "" {
		if err := scale.PlotBroadcast(c.Plot, all, c.Bound, c.ByteBudget); err != nil {
			return err
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d runs lost a purge or broke a bound", bad, len(all))
	}
	return nil
}

// readRuns reads runs kept before, in the order of tables.
func readRuns(paths []string) (all []*scale.BroadcastReport, err error) {
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError{err}
		}
		defer file.Close()
		for d := json.NewDecoder(file); ; {
			r := &scale.BroadcastReport{}
			if err := d.Decode(r); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				return nil, usageError{fmt.Errorf("--from %s: %w", path, err)}
			}
			all = append(all, r)
		}
	}
	slices.SortStableFunc(all, func(a, b *scale.BroadcastReport) int {
		return cmp.Or(cmp.Compare(a.Gateways, b.Gateways), cmp.Compare(slices.Index(scale.Cases(), a.Case), slices.Index(scale.Cases(), b.Case)),
			cmp.Compare(b.Mechanism, a.Mechanism), cmp.Compare(a.Seed, b.Seed))
	})
	return all, nil
}

// play plays some at once and keeps their order.
func (c *scaleBroadcast) play(jobs []scale.BroadcastOptions, lines *json.Encoder, errs io.Writer) ([]*scale.BroadcastReport, error) {
	bar := progressbar.NewOptions(len(jobs), progressbar.OptionSetWriter(errs), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetDescription("runs"))
	defer bar.Finish()
	all, failures := make([]*scale.BroadcastReport, len(jobs)), make([]error, len(jobs))
	var mu sync.Mutex
	next := 0
	var wait sync.WaitGroup
	for range min(c.Jobs, len(jobs)) {
		wait.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(jobs) {
					return
				}
				all[i], failures[i] = scale.Broadcast(jobs[i])
				mu.Lock()
				bar.Add(1)
				if failures[i] == nil && lines != nil {
					failures[i] = lines.Encode(all[i])
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return all, errors.Join(failures...)
}

// table prints the runs of one size, case and mechanism as a line: of each figure the median over seeds; of losses and worst the most.
func (c *scaleBroadcast) table(out io.Writer, all []*scale.BroadcastReport) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "CASE\tGATEWAYS\tMECHANISM\tRUNS\tIN TIME (LEAST)\tP50\tP99\tP99.9\tMOST\tLOST PAIRS\tIN B/S\tOUT B/S\tBOTH P99\tMOST\tWORST 1S\tMSG/S\tSAID\tCOPIES\tBEHIND\tCORE\tHEAP KB")
	for at := 0; at < len(all); {
		end := at
		for end < len(all) && all[end].Gateways == all[at].Gateways && all[end].Case == all[at].Case && all[end].Mechanism == all[at].Mechanism {
			end++
		}
		these := all[at:end]
		at = end
		of := func(get func(r *scale.BroadcastReport) float64) (least, median, most float64) {
			var v []float64
			for _, r := range these {
				x := get(r)
				if x == -1 {
					x = math.Inf(1)
				}
				v = append(v, x)
			}
			slices.Sort(v)
			return v[0], v[(len(v)-1)/2], v[len(v)-1]
		}
		mid := func(get func(r *scale.BroadcastReport) float64) float64 { _, m, _ := of(get); return m }
		top := func(get func(r *scale.BroadcastReport) float64) float64 { _, _, m := of(get); return m }
		least, share, _ := of(func(r *scale.BroadcastReport) float64 { return r.InTimeShare })
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%.4f (%.4f)\t%s\t%s\t%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.0f\t%.3f%%\t%.1f\n", these[0].Case, these[0].Gateways,
			these[0].Mechanism, len(these), share, least,
			formatElapsed(mid(func(r *scale.BroadcastReport) float64 { return r.P50 })), formatElapsed(mid(func(r *scale.BroadcastReport) float64 { return r.P99 })),
			formatElapsed(mid(func(r *scale.BroadcastReport) float64 { return r.P999 })), formatElapsed(top(func(r *scale.BroadcastReport) float64 { return r.Max })),
			top(func(r *scale.BroadcastReport) float64 { return float64(r.LostPairs + r.LostAcrossCut + r.LostFresh) }),
			mid(func(r *scale.BroadcastReport) float64 { return r.In.Median }), mid(func(r *scale.BroadcastReport) float64 { return r.Out.Median }),
			mid(func(r *scale.BroadcastReport) float64 { return r.Both.P99 }), top(func(r *scale.BroadcastReport) float64 { return r.Both.Max }),
			top(func(r *scale.BroadcastReport) float64 { return r.WorstSecond }), mid(func(r *scale.BroadcastReport) float64 { return r.Datagrams.Median }),
			mid(func(r *scale.BroadcastReport) float64 { return r.BatchesPerPurge }), mid(func(r *scale.BroadcastReport) float64 { return r.CopiesPerBatch }), top(func(r *scale.BroadcastReport) float64 { return float64(r.MaxBehind) }),
			100*mid(func(r *scale.BroadcastReport) float64 { return r.CoreShare }), mid(func(r *scale.BroadcastReport) float64 { return r.Heap })/1024)
	}
	w.Flush()
}

func formatElapsed(s float64) string {
	if math.IsInf(s, 1) {
		return "never"
	}
	return fmt.Sprintf("%.2fs", s)
}
