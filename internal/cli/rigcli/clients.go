package rigcli

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/clients"
)

const maxMemoryMB = 4096

// clientsCommand plays clients that misuse or leave a gateway.
type clientsCommand struct {
	Play    []string `arg:"" optional:"" help:"Plays; all of them if none is given."`
	Memory  []int    `default:"32" help:"Memory limits of the gateway in MB, such as 32,128."`
	Seconds float64  `default:"5" help:"Duration of a run."`
	Seeds   string   `default:"1" help:"Seeds of the runs: one seed or a range, such as 1-20."`
	Program string   `help:"Path of the gateway program. The default is foldslip in the directory of this program."`
	JSON    string   `help:"File for all reports, with one line of JSON for each."`
}

// Help returns the list of plays.
func (c *clientsCommand) Help() string {
	var text strings.Builder
	for _, p := range clients.Plays() {
		fmt.Fprintf(&text, "%s (%s): %s.\n\n", p.Name, p.Picture, p.Help)
	}
	return text.String()
}

// Run runs the plays and prints a table. It returns an error if a run violated a bound.
func (c *clientsCommand) Run(streams *program.Streams) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	if err := c.check(); err != nil {
		return err
	}
	if c.Program, err = gatewayProgram(c.Program); err != nil {
		return err
	}
	lines, closeLines, err := createJSONLines(c.JSON)
	if err != nil {
		return err
	}
	defer closeLines()
	table := newTable(streams.Out)
	defer table.Flush()
	fmt.Fprintln(table, "play\tfront\tMB\tclients\tsent\ts\tsound\tsatisfied\trejected\tlost\tp99 ms\tlatest ms\tpeak RSS MB\tanonymous\ttwice\tverdict")
	runs, failed := 0, 0
	for _, name := range c.Play {
		for _, memory := range c.Memory {
			for seed := seeds.First; seed <= seeds.Last; seed++ {
				report, err := clients.Run(name, clients.Options{Program: c.Program, MemoryMB: memory, Duration: secondsToDuration(c.Seconds), Seed: seed})
				if err != nil {
					return err
				}
				printClientReport(table, report)
				table.Flush()
				if lines != nil {
					if err := lines.Encode(report); err != nil {
						return err
					}
				}
				runs++
				if len(report.Violations) > 0 || report.IsSlow {
					failed++
				}
			}
		}
	}
	if failed > 0 {
		return program.Failedf("%d of %d runs violated a bound", failed, runs)
	}
	return nil
}

// check validates the flags and fills in the plays.
func (c *clientsCommand) check() error {
	var names []string
	for _, p := range clients.Plays() {
		names = append(names, p.Name)
	}
	for _, name := range c.Play {
		if !slices.Contains(names, name) {
			return program.UsageErrorf("play %q: expected one of %s", name, strings.Join(names, ", "))
		}
	}
	if len(c.Play) == 0 {
		c.Play = names
	}
	for _, memory := range c.Memory {
		if memory < 1 || memory > maxMemoryMB {
			return program.UsageErrorf("--memory %d: expected 1 to %d", memory, maxMemoryMB)
		}
	}
	if c.Seconds < 1 || c.Seconds > 600 {
		return program.UsageErrorf("--seconds %g: expected 1 to 600", c.Seconds)
	}
	return nil
}

func printClientReport(table interface{ Write([]byte) (int, error) }, r *clients.Report) {
	const bytesPerMB = 1 << 20
	verdict := "held"
	if r.IsSlow {
		verdict = "slow"
	}
	if len(r.Violations) > 0 {
		verdict = strings.Join(r.Violations, "; ")
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%g\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t%s\n", r.Play, r.Front, r.MemoryMB, r.Clients, r.Sent, r.Seconds,
		r.Sound.Sent, r.Sound.Satisfied, r.Sound.Rejected, r.Sound.Lost, ms(r.P99), ms(r.Latest),
		float64(r.PeakRSS)/bytesPerMB, float64(r.PeakAnon)/bytesPerMB, r.Duplicates, verdict)
}
