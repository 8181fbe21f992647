package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/sync/errgroup"

	"foldslip/internal/lab/scenario"
)

type faults struct {
	Run          faultsRun          `cmd:"" help:"Play the days of many seeds and check every rule after each step."`
	Replay       faultsReplay       `cmd:"" help:"Play one day again, from its seed or from a file."`
	Shrink       faultsShrink       `cmd:"" help:"Make the smallest day that still breaks the rule that a seed or file breaks, and write it to a file."`
	Kinds        faultsKinds        `cmd:"" help:"List the kinds of days, of faults, and of faults that can be planted in the gateway."`
	ColdStarts   faultsColdStarts   `name:"mornings" cmd:"" help:"Compare starts without the bulletin: from the list kept on disk, waiting, trusting it wholly, and from the true list."`
	Differential faultsDifferential `name:"twins" cmd:"" help:"Compare each decision of the module at a gateway and at its door for other proxies, over the same lookups."`
	Guards       faultsGuards       `name:"guards" cmd:"" help:"Try good and bad changes of routes on calm days: which the guards undo, how soon, and what that saves."`
}

type scenarioFlags struct {
	Kind          string `name:"days" default:"mixed" help:"Kind of days; foldslip faults kinds lists them."`
	InjectedFault string `name:"plant" help:"Plant a fault in the gateway, to see the referee find it."`
	JSON          bool   `help:"Print JSON."`
}

func (f scenarioFlags) drawPlan(seed uint64) (scenario.Plan, error) {
	p := scenario.DrawPlan(seed, f.Kind)
	p.InjectedFault = f.InjectedFault
	if err := p.Validate(); err != nil {
		return p, usageErrorf("%v", err)
	}
	return p, nil
}

// loadPlan gives the plan that a seed or a file names.
func (f scenarioFlags) loadPlan(what string) (scenario.Plan, error) {
	if seed, err := strconv.ParseUint(what, 10, 64); err == nil {
		return f.drawPlan(seed)
	}
	text, err := os.ReadFile(what)
	if err != nil {
		return scenario.Plan{}, usageErrorf("%s is no seed, and as a file: %v", what, err)
	}
	p, err := scenario.ReadPlan(text)
	if err != nil {
		return p, usageErrorf("%s: %v", what, err)
	}
	if f.InjectedFault != "" {
		p.InjectedFault = f.InjectedFault
		if err := p.Validate(); err != nil {
			return p, usageErrorf("%v", err)
		}
	}
	return p, nil
}

type faultsRun struct {
	scenarioFlags
	Seeds    string `required:"" help:"Seeds, as 1-3000 or 7."`
	Jobs     int    `default:"0" help:"Days played at once; 0: as many as there are processors."`
	Pairs    bool   `name:"pairs" help:"Print how often each pair of kinds met in a day."`
	Thorough bool   `help:"Go on after the first seed that breaks a rule ten times over; otherwise the run stops at ten."`
}

// runSummary is what many days were.
type runSummary struct {
	Scenarios  int              `json:"days"`
	Broken     []brokenScenario `json:"broken"`
	FaultKinds map[string]int   `json:"kinds"`
	FaultPairs map[string]int   `json:"pairs"`
	Reasons    map[string]int   `json:"reasons"`
	Ends       map[string]int   `json:"ends"`
	Lookups    int              `json:"lookups"`
	Steps      uint64           `json:"steps"`
	Virtual    time.Duration    `json:"virtual_ns"`
	Real       time.Duration    `json:"real_ns"`
	MemoryMB   float64          `json:"memory_mb"` // taken from the system
	Digest     string           `json:"digest"`    // over the days' digests, in the order of their seeds
}

type brokenScenario struct {
	Seed   uint64               `json:"seed"`
	Digest string               `json:"digest"`
	Broken []scenario.Violation `json:"broken"`
	Trace  []string             `json:"story"`
}

func readSeeds(text string) (from, to uint64, err error) {
	a, b, two := strings.Cut(text, "-")
	if !two {
		b = a
	}
	from, err1 := strconv.ParseUint(a, 10, 64)
	to, err2 := strconv.ParseUint(b, 10, 64)
	if err1 != nil || err2 != nil || from > to || to-from >= 10_000_000 {
		return 0, 0, usageErrorf("--seeds %q: expected A-B with A not above B and at most ten million seeds, or one seed", text)
	}
	return from, to, nil
}

func (f *faultsRun) Run(to *streams) error {
	first, last, err := readSeeds(f.Seeds)
	if err != nil {
		return err
	}
	if _, err := f.drawPlan(first); err != nil {
		return err
	}
	if f.Jobs < 0 || f.Jobs > 1024 {
		return usageErrorf("--jobs %d: expected 0 to 1024", f.Jobs)
	}
	t, err := f.play(first, last, progress(to.errs, int64(last-first+1), f.JSON))
	if err != nil {
		return err
	}
	if f.JSON {
		err = json.NewEncoder(to.out).Encode(t)
	} else {
		f.print(to.out, t)
	}
	if err == nil && len(t.Broken) > 0 {
		err = fmt.Errorf("%d of %d seeds broke a rule", len(t.Broken), t.Scenarios)
	}
	return err
}

func progress(errs io.Writer, most int64, silent bool) *progressbar.ProgressBar {
	if silent {
		errs = io.Discard
	}
	return progressbar.NewOptions64(most, progressbar.OptionSetWriter(errs), progressbar.OptionShowCount(),
		progressbar.OptionSetDescription("days"), progressbar.OptionThrottle(500*time.Millisecond),
		progressbar.OptionOnCompletion(func() { fmt.Fprintln(errs) }))
}

func (f *faultsRun) play(first, last uint64, bar *progressbar.ProgressBar) (*runSummary, error) {
	t := &runSummary{FaultKinds: map[string]int{}, FaultPairs: map[string]int{}, Reasons: map[string]int{}, Ends: map[string]int{}}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // days make much that is short-lived
	began := time.Now()
	var mu sync.Mutex
	var next atomic.Uint64
	var enough atomic.Bool
	digests := make([]string, last-first+1)
	var group errgroup.Group
	for range cmp.Or(f.Jobs, runtime.GOMAXPROCS(0)) {
		group.Go(func() error {
			for !enough.Load() {
				seed := first + next.Add(1) - 1
				if seed > last {
					return nil
				}
				p, err := f.drawPlan(seed)
				if err != nil {
					return err
				}
				r, err := scenario.Run(p, scenario.Hooks{})
				if err != nil {
					return err
				}
				mu.Lock()
				digests[seed-first] = r.Digest
				t.add(r)
				if len(t.Broken) >= 10 && !f.Thorough {
					enough.Store(true)
				}
				mu.Unlock()
				bar.Add(1)
			}
			return nil
		})
	}
	err := group.Wait()
	t.Real = time.Since(began)
	t.Digest = scenario.CombineDigests(digests)
	slices.SortFunc(t.Broken, func(a, b brokenScenario) int { return cmp.Compare(a.Seed, b.Seed) })
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.MemoryMB = float64(m.Sys) / (1 << 20)
	return t, err
}

func (t *runSummary) add(r scenario.Result) {
	t.Scenarios++
	t.Steps += r.Steps
	t.Virtual += r.VirtualTime
	t.Lookups += r.Lookups
	var kinds []string
	for _, f := range r.Plan.Faults {
		t.FaultKinds[f.Kind]++
		if !slices.Contains(kinds, f.Kind) {
			kinds = append(kinds, f.Kind)
		}
	}
	slices.Sort(kinds)
	for i, a := range kinds {
		for _, b := range kinds[i+1:] {
			t.FaultPairs[a+" "+b]++
		}
	}
	for k, n := range r.Reasons {
		t.Reasons[k] += n
	}
	for k, n := range r.Outcomes {
		t.Ends[k] += n
	}
	if len(r.Violations) > 0 {
		t.Broken = append(t.Broken, brokenScenario{r.Plan.Seed, r.Digest, r.Violations, r.RecentEvents})
	}
}

func (f *faultsRun) print(out io.Writer, t *runSummary) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	defer w.Flush()
	table := func(title string, m map[string]int) {
		fmt.Fprintf(w, "%s\ttimes\n", title)
		keys := make([]string, 0, len(m))
		for k := range m {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			fmt.Fprintf(w, "  %s\t%d\n", k, m[k])
		}
	}
	all := map[string]int{}
	for _, k := range scenario.FaultKinds {
		if scenario.ProfileDraws(f.Kind, k.Name) {
			all[k.Name] = t.FaultKinds[k.Name]
		}
	}
	table("fault", all)
	if f.Pairs {
		table("pair", t.FaultPairs)
	}
	table("reason or mode in the logs", t.Reasons)
	table("what became of lookups", t.Ends)
	w.Flush()
	none, least, pairs := scenario.UnmetPairs(f.Kind, t.FaultPairs)
	fmt.Fprintf(out, "pairs of kinds: %d, never met %d, the rarest met %d times\n", pairs, len(none), least)
	for _, b := range t.Broken {
		fmt.Fprintf(out, "seed %d broke:\n", b.Seed)
		for _, x := range b.Broken {
			fmt.Fprintf(out, "  %s\n", x)
		}
	}
	fmt.Fprintf(out, "%d days, %d lookups, %d steps, digest %s\n", t.Scenarios, t.Lookups, t.Steps, t.Digest)
	fmt.Fprintf(out, "%.0f s virtual in %.1f s real: %.0f times; %.0f steps a second; %.0f MB\n", t.Virtual.Seconds(),
		t.Real.Seconds(), t.Virtual.Seconds()/t.Real.Seconds(), float64(t.Steps)/t.Real.Seconds(), t.MemoryMB)
}

type faultsReplay struct {
	scenarioFlags
	Source string  `name:"day" arg:"" help:"Seed, or a file that shrink wrote."`
	Trace  bool    `help:"Print every step."`
	From   float64 `help:"Print steps from that virtual second on."`
}

func (f *faultsReplay) Run(to *streams) error {
	p, err := f.loadPlan(f.Source)
	if err != nil {
		return err
	}
	var look scenario.Hooks
	if f.Trace {
		look.Trace = func(at time.Duration, line string) {
			if at.Seconds() >= f.From {
				fmt.Fprintf(to.out, "%12.6f %s\n", at.Seconds(), line)
			}
		}
	}
	r, err := scenario.Run(p, look)
	if err != nil {
		return err
	}
	return printResult(to.out, r, f.JSON)
}

func printResult(out io.Writer, r scenario.Result, asJSON bool) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	} else {
		for _, f := range r.Plan.Faults {
			fmt.Fprintf(out, "fault %s\n", f)
		}
		for _, l := range r.RecentEvents {
			fmt.Fprintln(out, l)
		}
		fmt.Fprintf(out, "seed %d: %d lookups, %d steps, digest %s, ends %v\n", r.Plan.Seed, r.Lookups, r.Steps, r.Digest, r.Outcomes)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("broke %s", r.Violations[0])
	}
	return nil
}

type faultsShrink struct {
	scenarioFlags
	Source string `name:"day" arg:"" help:"Seed, or a file."`
	Output string `name:"out" help:"File to write; by default fault-SEED.json in the current folder."`
}

func (f *faultsShrink) Run(to *streams) error {
	p, err := f.loadPlan(f.Source)
	if err != nil {
		return err
	}
	small, r, tried, err := scenario.Shrink(p, func(text string) { fmt.Fprintln(to.errs, text) })
	if err != nil {
		return usageErrorf("%v", err)
	}
	name := cmp.Or(f.Output, fmt.Sprintf("fault-%d.json", p.Seed))
	text, err := json.MarshalIndent(small, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(name, append(text, '\n'), 0o644); err != nil {
		return usageErrorf("the file cannot be written: %v", err)
	}
	fmt.Fprintf(to.out, "%d days tried; %d of %d faults, %d s and %d gateways are left, in %s\n", tried, len(small.Faults),
		len(p.Faults), small.Seconds, small.Gateways, name)
	if err := printResult(to.out, r, f.JSON); err == nil {
		return fmt.Errorf("the smallest day breaks nothing") // cannot be: Shrink gives a day that does
	}
	return nil
}

type faultsKinds struct {
	JSON bool `help:"Print JSON."`
}

func (f *faultsKinds) Run(to *streams) error {
	faults, planted := map[string]string{}, scenario.InjectedFaultHelp()
	for _, k := range scenario.FaultKinds {
		faults[k.Name] = k.Help
	}
	if f.JSON {
		return json.NewEncoder(to.out).Encode(map[string]any{"days": scenario.Profiles, "faults": faults, "plants": planted})
	}
	w := tabwriter.NewWriter(to.out, 0, 8, 2, ' ', 0)
	for _, part := range []struct {
		title string
		of    map[string]string
	}{{"days (--days)", scenario.Profiles}, {"faults", faults}, {"faults of the gateway (--plant)", planted}} {
		fmt.Fprintln(w, part.title)
		for _, name := range scenario.SortedNames(part.of) {
			fmt.Fprintf(w, "  %s\t%s\n", name, part.of[name])
		}
	}
	return w.Flush()
}
