package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

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

// read reads the settings; what is wrong with them is told on the output where JSON was asked for.
func (f configFile) read(to *streams) (*config.Config, error) {
	s, err := configfile.Read(f.File, os.ReadFile)
	var fault config.Error
	if errors.As(err, &fault) {
		if f.JSON {
			json.NewEncoder(to.out).Encode(map[string]any{"ok": false, "fault": fault})
		}
		return nil, usageErrorf("%v", fault)
	}
	return s, err
}

type configCheck struct{ configFile }

func (f *configCheck) Run(to *streams) error {
	if _, err := f.read(to); err != nil {
		return err
	}
	if f.JSON {
		return json.NewEncoder(to.out).Encode(map[string]any{"ok": true})
	}
	_, err := fmt.Fprintf(to.out, "%s can be used\n", f.File)
	return err
}

type configShow struct{ configFile }

func (f *configShow) Run(to *streams) error {
	s, err := f.read(to)
	if err != nil {
		return err
	}
	e := json.NewEncoder(to.out)
	e.SetIndent("", "  ")
	return e.Encode(s)
}
