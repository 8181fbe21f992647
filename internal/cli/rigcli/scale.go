package rigcli

import (
	"fmt"
	"os"

	"foldslip/internal/cli/program"
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

// Run runs hollow gateways as the process that started this one requests on standard input.
func (*scaleWorker) Run(streams *program.Streams) error {
	return scale.RunHollowProcess(os.Stdin, streams.Out)
}

type scalePlot struct {
	From string `default:"docs/capacity" help:"Folder of figures (*.json) that the cost probes wrote."`
	To   string `default:"docs/capacity" help:"Folder for an SVG file of each."`
}

// Help is printed below the command's flags.
func (*scalePlot) Help() string {
	return `Fits each figure on log axes, draws it with its budget as a line, and prints a table: the value at the plan's
size, the part of the budget that it uses, and the size at which it first misses it. See docs/CAPACITY.md.

Examples:
  foldslip-rig scale plot
  foldslip-rig scale plot --from /tmp/figures --to /tmp/figures`
}

// Run draws the figures and prints their table.
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
