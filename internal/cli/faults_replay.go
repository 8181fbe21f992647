package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scenario"
)

type faultsReplay struct {
	scenarioFlags
	Source string  `name:"day" arg:"" help:"Seed, or file with a plan as shrink writes it."`
	Trace  bool    `help:"Print every step of the scenario."`
	From   float64 `help:"Virtual time in seconds from which on --trace prints steps."`
}

// Run runs one scenario. It fails if a rule was broken.
func (c *faultsReplay) Run(streams *program.Streams) error {
	plan, err := c.loadPlan(c.Source)
	if err != nil {
		return err
	}
	var hooks scenario.Hooks
	if c.Trace {
		hooks.Trace = func(at time.Duration, line string) {
			if at.Seconds() >= c.From {
				fmt.Fprintf(streams.Out, "%12.6f %s\n", at.Seconds(), line)
			}
		}
	}
	result, err := scenario.Run(plan, hooks)
	if err != nil {
		return err
	}
	if err := c.printResult(streams, result); err != nil {
		return err
	}
	return firstViolation(result)
}

// printResult prints the result of a scenario.
func (f scenarioFlags) printResult(streams *program.Streams, result scenario.Result) error {
	if f.JSON {
		return printJSON(streams, result)
	}
	for _, fault := range result.Plan.Faults {
		fmt.Fprintf(streams.Out, "fault %s\n", fault)
	}
	for _, event := range result.RecentEvents {
		fmt.Fprintln(streams.Out, event)
	}
	fmt.Fprintf(streams.Out, "seed %d: %d lookups, %d steps, digest %s, ends %v\n", result.Plan.Seed, result.Lookups, result.Steps, result.Digest, result.Outcomes)
	return nil
}

// firstViolation returns an error with the first violation of a rule, or nil if no rule was broken.
func firstViolation(result scenario.Result) error {
	if len(result.Violations) == 0 {
		return nil
	}
	return program.Failedf("broke %s", result.Violations[0])
}

type faultsShrink struct {
	scenarioFlags
	Source string `name:"day" arg:"" help:"Seed, or file with a plan."`
	Output string `name:"out" help:"File to write; the default is fault-SEED.json in the current directory."`
}

// Run shrinks the plan of a scenario that breaks a rule and writes the smallest plan found that breaks the same rule.
func (c *faultsShrink) Run(streams *program.Streams) error {
	plan, err := c.loadPlan(c.Source)
	if err != nil {
		return err
	}
	smallest, result, tried, err := scenario.Shrink(plan, func(text string) { fmt.Fprintln(streams.Err, text) })
	if err != nil {
		return program.UsageErrorf("%w", err)
	}
	path := cmp.Or(c.Output, fmt.Sprintf("fault-%d.json", plan.Seed))
	if err := writePlan(path, smallest); err != nil {
		return err
	}
	printShrunk(streams.Out, plan, smallest, tried, path)
	if err := c.printResult(streams, result); err != nil {
		return nil // the plan was written; only printing its result failed
	}
	if firstViolation(result) == nil { // not expected: the plan that Shrink returns breaks a rule
		return program.Failedf("the shrunk scenario breaks no rule")
	}
	return nil
}

func writePlan(path string, plan scenario.Plan) error {
	text, err := json.MarshalIndent(plan, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return program.UsageErrorf("cannot write the plan: %w", err)
	}
	return nil
}

func printShrunk(out io.Writer, plan, smallest scenario.Plan, tried int, path string) {
	fmt.Fprintf(out, "%d days tried; %d of %d faults, %d s and %d gateways are left, in %s\n", tried, len(smallest.Faults), len(plan.Faults),
		smallest.Seconds, smallest.Gateways, path)
}
