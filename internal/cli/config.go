package cli

import (
	"errors"
	"fmt"
	"os"

	"foldslip/internal/cli/program"
	"foldslip/internal/config"
	"foldslip/internal/config/configfile"
)

type configCommands struct {
	Check          configCheck          `cmd:"" help:"Check whether a file of operator settings can be used. The gateway is not contacted."`
	Plan           configPlan           `cmd:"" help:"Print the problems of the routes in a file and how many objects they would move, given the gateway's endpoint list. Nothing is changed."`
	Propose        configPropose        `cmd:"" help:"Propose a change of the active routes, and check it."`
	Stage          configStage          `cmd:"" help:"Make a change active for a share of the objects."`
	Apply          configApply          `cmd:"" help:"Make a change active for all objects; it must then be confirmed."`
	Confirm        configConfirm        `cmd:"" help:"Confirm an applied change, which makes it permanent."`
	RollBack       configRollBack       `name:"undo" cmd:"" help:"Roll back the change in progress; the routes confirmed before it are active again."`
	ProposeEarlier configProposeEarlier `name:"back" cmd:"" help:"Propose a change back to an earlier version."`
	History        configHistory        `cmd:"" help:"List the versions of the routes, and which of them are active."`
	Diff           configDiff           `cmd:"" help:"Print the differences between two versions of the routes."`
	Show           configShow           `cmd:"" help:"Print the settings that a file of operator settings evaluates to, as JSON with all defaults."`
}

type configFile struct {
	File string `arg:"" help:"Jsonnet template, such as deploy/foldslip.jsonnet."`
	JSON bool   `help:"Print JSON, also for an error in the settings."`
}

// read reads a file of operator settings. With --json an error in the settings is also printed as JSON.
func (f configFile) read(streams *program.Streams) (*config.Config, error) {
	configuration, err := configfile.Read(f.File, os.ReadFile)
	var invalid config.Error
	if errors.As(err, &invalid) {
		if f.JSON {
			printJSON(streams, map[string]any{"ok": false, "fault": invalid})
		}
		return nil, program.UsageErrorf("%w", invalid)
	}
	return configuration, err
}

type configCheck struct{ configFile }

// Run checks whether a file of operator settings can be used.
func (c *configCheck) Run(streams *program.Streams) error {
	if _, err := c.read(streams); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams, map[string]any{"ok": true})
	}
	_, err := fmt.Fprintf(streams.Out, "%s can be used\n", c.File)
	return err
}

type configShow struct{ configFile }

// Run prints the configuration of a file with all defaults.
func (c *configShow) Run(streams *program.Streams) error {
	configuration, err := c.read(streams)
	if err != nil {
		return err
	}
	return printIndentedJSON(streams, configuration, "  ")
}
