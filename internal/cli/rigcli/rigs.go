// Package rigcli is the command line of foldslip-rig: scenarios of whole fleets on real processes. It is a program of its own since its
// libraries (plots) take memory from the start that a gateway of 32 MB has not. Exit status as of package cli: 0 done, 1 a run did
// what must not be, 2 it could not be asked for like that.
package rigcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"foldslip/internal/lab/fleet"
)

type commands struct {
	Run   runCommand    `cmd:"" default:"withargs" help:"Play scenarios (what the bare program does with their names)."`
	Scale scaleCommands `cmd:"" help:"Measure what gateways' control costs against the number of gateways."`
}

// runCommand are played on fleets of real gateways.
type runCommand struct {
	Scenario []string `arg:"" help:"Scenarios: files, names of the hard cases that come with the rig, or all for all of these."`
	Seeds    string   `default:"1" help:"Seeds of the runs, as 1-20."`
	Program  string   `help:"The gateway's program; foldslip beside this one if not told."`
	Parallel int      `default:"1" help:"Runs at once, 1 to 16."`
	Net      int      `name:"net" default:"0" help:"The first loopback network that runs take, 127.60 and so on: 0 to 100. Rigs at once need different ones."`
	JSON     string   `help:"Write all reports there, a line of JSON each."`
	Plot     string   `help:"Folder for a plot of each run's views over time."`
	Logs     string   `help:"Folder for settings and logs of each run; a new one under the temporary folder, removed after a good run, if not told."`
	Verbose  bool     `short:"v" help:"Tell each step."`
}

// Run is the program.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }

// Main runs what args ask for and gives the exit status.
func Main(args []string, out, errs io.Writer) (status int) {
	var c commands
	parser, err := kong.New(&c, kong.Name("foldslip-rig"), kong.Writers(out, errs), kong.UsageOnError(),
		kong.Description("Plays scenarios on fleets of real gateways on loopback with faults between them, and measures what control costs at size. Hard cases: "+strings.Join(fleet.HardCases(), ", ")+"."),
		kong.Exit(func(code int) { panic(exitCode(code)) }))
	if err != nil {
		fmt.Fprintln(errs, "foldslip-rig:", err)
		return 2
	}
	defer func() {
		if p := recover(); p != nil {
			code, ok := p.(exitCode)
			if !ok {
				panic(p)
			}
			status = int(code)
		}
	}()
	did, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "foldslip-rig:", err)
		return 2
	}
	err = did.Run(&streams{out, errs})
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "foldslip-rig:", err)
	if errors.As(err, new(usageError)) {
		return 2
	}
	return 1
}

type exitCode int

// streams are what a command writes to.
type streams struct{ out, errs io.Writer }

type usageError struct{ error }

func (c *runCommand) seedRange() (first, last uint64, err error) { return parseSeeds(c.Seeds) }

func parseSeeds(text string) (first, last uint64, err error) {
	a, b, span := strings.Cut(text, "-")
	if !span {
		b = a
	}
	first, err = strconv.ParseUint(a, 10, 32)
	if err == nil {
		last, err = strconv.ParseUint(b, 10, 32)
	}
	if err != nil || last < first || last-first >= 1000 {
		return 0, 0, usageError{fmt.Errorf("--seeds %q: expected one, or first and last of at most 1000, as 1-20", text)}
	}
	return first, last, nil
}

// siblingProgram is the path of the gateway's program; the one beside this program if none is told.
func siblingProgram(program string) (string, error) {
	if program == "" {
		own, err := os.Executable()
		if err != nil {
			return "", err
		}
		program = filepath.Join(filepath.Dir(own), "foldslip")
	}
	if _, err := os.Stat(program); err != nil {
		return "", usageError{fmt.Errorf("--program: %w; go build -o bin/ ./cmd/... makes it", err)}
	}
	return filepath.Abs(program)
}

type job struct {
	s    *fleet.Scenario
	seed uint64
}

// Run plays them.
func (c *runCommand) Run(to *streams) error {
	out, errs := to.out, to.errs
	first, last, err := c.seedRange()
	if err != nil {
		return err
	}
	if c.Parallel < 1 || c.Parallel > 16 {
		return usageError{fmt.Errorf("--parallel %d: expected 1 to 16", c.Parallel)}
	}
	if c.Net < 0 || c.Net > 100 {
		return usageError{fmt.Errorf("--net %d: expected 0 to 100", c.Net)}
	}
	if c.Program, err = siblingProgram(c.Program); err != nil {
		return err
	}
	names := c.Scenario
	if len(names) == 1 && names[0] == "all" {
		names = fleet.HardCases()
	}
	var jobs []job
	for _, name := range names {
		s, err := fleet.ReadScenario(name)
		if err != nil {
			return usageError{err}
		}
		for seed := first; seed <= last; seed++ {
			jobs = append(jobs, job{s, seed})
		}
	}
	reports, err := c.play(jobs, errs)
	if err != nil {
		return err
	}
	bad := 0
	for _, r := range reports {
		if len(r.Violations) > 0 {
			bad++
			fmt.Fprintf(out, "%s seed %d: %s\n", r.Scenario, r.Seed, strings.Join(r.Violations, "; "))
		}
	}
	c.table(out, reports)
	printLimits(out, reports)
	printSpreads(out, reports)
	if bad > 0 {
		return fmt.Errorf("%d of %d runs did what must not be", bad, len(reports))
	}
	return nil
}

// play plays jobs, some at once, and keeps their order.
func (c *runCommand) play(jobs []job, errs io.Writer) ([]*fleet.Report, error) {
	base, own := c.Logs, false
	if base == "" {
		var err error
		if base, err = os.MkdirTemp("", "foldslip-rig"); err != nil {
			return nil, err
		}
		own = true
	}
	var lines *json.Encoder
	if c.JSON != "" {
		file, err := os.Create(c.JSON)
		if err != nil {
			return nil, usageError{err}
		}
		defer file.Close()
		lines = json.NewEncoder(file)
	}
	reports, failures := make([]*fleet.Report, len(jobs)), make([]error, len(jobs))
	var mu sync.Mutex
	next := 0
	var wait sync.WaitGroup
	for lane := range min(c.Parallel, len(jobs)) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(jobs) {
					return
				}
				j := jobs[i]
				o := fleet.Options{Program: c.Program, Seed: j.seed, Network: c.Net + lane, Dir: filepath.Join(base, fmt.Sprintf("%s-%d", j.s.Name, j.seed))}
				if c.Verbose {
					o.Progress = func(format string, a ...any) {
						mu.Lock()
						defer mu.Unlock()
						fmt.Fprintf(errs, "%s seed %d: "+format+"\n", append([]any{j.s.Name, j.seed}, a...)...)
					}
				}
				r, err := fleet.Run(j.s, o)
				reports[i], failures[i] = r, err
				if err == nil && len(r.Violations) == 0 && own {
					os.RemoveAll(o.Dir)
				}
				if err == nil && c.Plot != "" {
					failures[i] = r.Plot(filepath.Join(c.Plot, fmt.Sprintf("%s-%d.png", r.Scenario, r.Seed)))
				}
				if err == nil && lines != nil {
					mu.Lock()
					failures[i] = errors.Join(failures[i], lines.Encode(r))
					mu.Unlock()
				}
			}
		}()
	}
	wait.Wait()
	if own {
		os.Remove(base) // stays where a run's logs stay
	}
	return reports, errors.Join(failures...)
}

func (c *runCommand) table(out io.Writer, reports []*fleet.Report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "SCENARIO\tRUNS\tSTEP\tAGREED MEDIAN\tMAX\tTOLD MEDIAN\tMAX\tFALSE DEATHS\tREST B/S\tMSG/S\tCHURN B/S\tMSG/S")
	for at := 0; at < len(reports); {
		end := at
		for end < len(reports) && reports[end].Scenario == reports[at].Scenario {
			end++
		}
		these := reports[at:end]
		at = end
		var rest, restN, churn, churnN []float64
		falsely := 0
		for _, r := range these {
			rest, restN = append(rest, r.AtRest.BytesPerSecond), append(restN, r.AtRest.PacketsPerSecond)
			churn, churnN = append(churn, r.InChurn.BytesPerSecond), append(churnN, r.InChurn.PacketsPerSecond)
			falsely += r.FalseDeaths
		}
		told := false
		for i, st := range these[0].Steps {
			if !st.Awaited || st.Action == "mark" && st.BoundMS == 0 {
				continue
			}
			var agreed, said []float64
			for _, r := range these {
				if r.Steps[i].Agreed {
					agreed = append(agreed, float64(r.Steps[i].AgreedMS)/1000)
				}
				if r.Steps[i].Settled {
					said = append(said, float64(r.Steps[i].SettledMS)/1000)
				}
			}
			am, ax := fleet.MedianAndMax(agreed)
			tm, tx := fleet.MedianAndMax(said)
			fmt.Fprintf(w, "%s\t%d\t%d %s\t%s\t%s\t%s\t%s\t", these[0].Scenario, len(these), i, st.Action, formatSeconds(am), formatSeconds(ax), formatSeconds(tm), formatSeconds(tx))
			if told {
				fmt.Fprintln(w, "\t\t\t\t")
				continue
			}
			told = true
			a, _ := fleet.MedianAndMax(rest)
			b, _ := fleet.MedianAndMax(restN)
			d, _ := fleet.MedianAndMax(churn)
			e, _ := fleet.MedianAndMax(churnN)
			fmt.Fprintf(w, "%d\t%.0f\t%.1f\t%.0f\t%.1f\n", falsely, a, b, d, e)
		}
	}
	w.Flush()
}

// printLimits prints what was let in against limits, where scenarios have one.
func printLimits(out io.Writer, reports []*fleet.Report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	by := map[string][]*fleet.Report{}
	var names []string
	for _, r := range reports {
		if r.Limit == nil {
			continue
		}
		if by[r.Scenario] == nil {
			names = append(names, r.Scenario)
		}
		by[r.Scenario] = append(by[r.Scenario], r)
	}
	if len(names) > 0 {
		fmt.Fprintln(w, "SCENARIO\tLIMIT\tFLEET'S\tLET IN, MEDIAN\tMOST IN 1S\tBOUND\tMOST IN 10S\tBOUND")
	}
	for _, name := range names {
		var mean, most1, most10 []float64
		for _, r := range by[name] {
			mean, most1, most10 = append(mean, r.Limit.Mean), append(most1, r.Limit.MaxIn1s), append(most10, r.Limit.MaxIn10s)
		}
		l := by[name][0].Limit
		m, _ := fleet.MedianAndMax(mean)
		_, a := fleet.MedianAndMax(most1)
		_, b := fleet.MedianAndMax(most10)
		fmt.Fprintf(w, "%s\t%.0f/s\t%v\t%.1f/s\t%.2f\t%.2f\t%.2f\t%.2f\n", name, l.Limit, l.FleetWide, m, a, l.Bound1s, b, l.Bound10s)
	}
	w.Flush()
}

// printSpreads prints how purges came to gateways that could not hear the bulletin, a line a run.
func printSpreads(out io.Writer, reports []*fleet.Report) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	first := true
	for _, r := range reports {
		s := r.Broadcast
		if s == nil {
			continue
		}
		if first {
			fmt.Fprintln(w, "SCENARIO\tSEED\tTOLD\tOF PEERS\tIN 4.5S\tSHARE\tP50\tP99\tMOST\tOWN\tAT THE END\tLOST\tBUSIEST B/S")
		}
		first = false
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.4f\t%dms\t%dms\t%dms\t%d\t%d\t%d\t%.0f\n", r.Scenario, r.Seed, s.Purges, s.Pairs, s.InTime, s.Share, s.P50, s.P99,
			s.Max, s.ByWatch, s.FinalPairs, s.MissingPairs, s.BusiestBytesPerSecond)
	}
	w.Flush()
}

func formatSeconds(s float64) string {
	if math.IsNaN(s) {
		return "never"
	}
	return fmt.Sprintf("%.2fs", s)
}
