package rigcli

import (
	"fmt"
	"os"

	"foldslip/internal/lab/scale"
)

type scalePlot struct {
	From string `default:"docs/capacity" help:"Folder of figures (*.json) that the cost probes wrote."`
	To   string `default:"docs/capacity" help:"Folder for an SVG file of each."`
}

// Help stands under the command's help.
func (*scalePlot) Help() string {
	return `Fits each figure on log axes, draws it with its budget as a line, and prints a table: the value at the plan's
size, the part of the budget that it uses, and the size at which it first misses it. See docs/CAPACITY.md.

Examples:
  foldslip-rig scale plot
  foldslip-rig scale plot --from /tmp/figures --to /tmp/figures`
}

// Run draws.
func (c *scalePlot) Run(to *streams) error {
	all, err := scale.ReadCapacityFigures(c.From)
	if err != nil {
		return usageError{err}
	}
	if err := os.MkdirAll(c.To, 0o755); err != nil {
		return usageError{err}
	}
	fmt.Fprintln(to.out, scale.CapacityTableHead)
	for _, f := range all {
		if err := f.Draw(c.To); err != nil {
			return err
		}
		fmt.Fprintln(to.out, f.MarkdownRow())
	}
	return nil
}
