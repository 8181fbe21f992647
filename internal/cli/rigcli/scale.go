package rigcli

import (
	"fmt"
	"os"

	"foldslip/internal/cli/program"
	"foldslip/internal/lab/scale"
)

// scaleCommands are the commands that measure costs against the size of the fleet.
type scaleCommands struct {
	Watch     scaleWatch     `cmd:"" help:"Measure hollow gateways, and some real ones, that each receive the discovery watch over loopback."`
	Broadcast scaleBroadcast `cmd:"" help:"Measure the spread of purges among thousands of hollow gateways on a virtual network with injected faults."`
	Plot      scalePlot      `cmd:"" help:"Plot the figures of docs/CAPACITY.md: cost against size, with the budget."`
	Worker    scaleWorker    `name:"crowd" cmd:"" hidden:"" help:"Run hollow gateways in this process, controlled by commands on standard input."`
}

type scaleWorker struct{}

// Run runs hollow gateways, controlled by the commands that the parent process writes to standard input.
func (*scaleWorker) Run(streams *program.Streams) error {
	return scale.RunHollowProcess(os.Stdin, streams.Out)
}

type scalePlot struct {
	From string `default:"docs/capacity" help:"Folder of the figures (*.json) that the cost probes wrote."`
	To   string `default:"docs/capacity" help:"Folder for the SVG files, one for each figure."`
}

// Help returns the text that is printed below the command's flags.
func (*scalePlot) Help() string {
	return `Fits a line to each figure on log axes, plots the figure with its budget, and prints a table. The table has the
value at the plan's size, the part of the budget that this value uses, and the size at which the figure first misses
the budget. See docs/CAPACITY.md.

Examples:
  foldslip-rig scale plot
  foldslip-rig scale plot --from /tmp/figures --to /tmp/figures`
}

// Run plots the figures and prints their table.
func (c *scalePlot) Run(streams *program.Streams) error {
	figures, err := scale.ReadCapacityFigures(c.From)
	if err != nil {
		return program.UsageError{Err: err}
	}
	if err := createFolder(c.To); err != nil {
		return err
	}
	fmt.Fprintln(streams.Out, scale.CapacityTableHead)
	for _, figure := range figures {
		if err := figure.Draw(c.To); err != nil {
			return err
		}
		fmt.Fprintln(streams.Out, figure.MarkdownRow())
	}
	return nil
}
