package rigcli

import (
	"testing"

	"foldslip/internal/cli/program/programtest"
	"foldslip/internal/lab/fleet"
	"foldslip/internal/lab/scale"
)

// The files under testdata/frozen were written by the build at 58d6067: lines of JSON that runs are stored as, scenario files, and the
// names, arguments and flags of the commands. They stay to the byte whatever the code behind them is called.

// TestFrozenJSON checks the stored form of each type.
func TestFrozenJSON(t *testing.T) {
	for name, value := range map[string]any{
		"played.json":       new(fleet.Scenario),
		"run.json":          new(fleet.Report),
		"scale-watch.json":  new(scale.WatchReport),
		"scale-spread.json": new(scale.BroadcastReport),
		"scale-fit.json":    new(scale.Fit),
	} {
		t.Run(name, func(t *testing.T) { programtest.JSON(t, name, value) })
	}
}

// TestFrozenCommandLine checks each command with its arguments and flags.
func TestFrozenCommandLine(t *testing.T) {
	programtest.Equal(t, "command-line", programtest.CommandLine(t, "foldslip-rig", &commands{}))
}
