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
	Check          configCheck          `cmd:"" help:"Tell whether a file of the operators' settings can be used; the gateway is not touched."`
	Plan           configPlan           `cmd:"" help:"Tell what the routes of a file would change and move, against the gateway's list; nothing is changed."`
	Propose        configPropose        `cmd:"" help:"Begin a change of the routes in force, and check it."`
	Stage          configStage          `cmd:"" help:"Put a change in place for a part of the objects."`
	Apply          configApply          `cmd:"" help:"Put a change in place for all, until it is confirmed."`
	Confirm        configConfirm        `cmd:"" help:"Make an applied change the one in force for good."`
	RollBack       configRollBack       `name:"undo" cmd:"" help:"End the change under way: the routes of before are in force."`
	ProposeEarlier configProposeEarlier `name:"back" cmd:"" help:"Begin a change back to an earlier version."`
	History        configHistory        `cmd:"" help:"List the versions, and what is in force."`
	Diff           configDiff           `cmd:"" help:"Show what differs between two versions."`
	Show           configShow           `cmd:"" help:"Print what a file of the operators' settings comes to, as JSON, with all defaults."`
}

type configFile struct {
	File string `arg:"" help:"Jsonnet template, such as deploy/foldslip.jsonnet."`
	JSON bool   `help:"Print JSON, also of what is wrong."`
}

// read reads the operators' configuration. With --json an error in it is printed as JSON, too.
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

// Run checks a file.
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

// Run prints a configuration with its defaults.
func (c *configShow) Run(streams *program.Streams) error {
	configuration, err := c.read(streams)
	if err != nil {
		return err
	}
	return printIndentedJSON(streams, configuration, "  ")
}
