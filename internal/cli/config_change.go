package cli

import (
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
	"foldslip/internal/config"
)

// readRoutes reads the routing of a file of the operators' configuration.
func (f configFile) readRoutes(streams *program.Streams) (*config.RouteConfig, error) {
	configuration, err := f.read(streams)
	if err != nil {
		return nil, err
	}
	if configuration.Routing == nil {
		return nil, program.UsageErrorf("%s: routing is not there; see docs/configuration.md", f.File)
	}
	return &configuration.Routing.RouteConfig, nil
}

type configPropose struct {
	adminSocket
	File   string `arg:"" help:"Jsonnet template of the settings with the routing to come."`
	Parent uint64 `help:"Version that it is a change of; 0: the one in force."`
	Author string `required:"" help:"Who."`
	Reason string `required:"" help:"Why."`
}

// Run proposes a change.
func (c *configPropose) Run(streams *program.Streams) error {
	routes, err := configFile{File: c.File}.readRoutes(streams)
	if err != nil {
		return err
	}
	return c.callAndPrintStep(streams, admin.Request{Command: "propose", Parent: c.Parent, Author: c.Author, Reason: c.Reason, Config: routes})
}

type configStage struct {
	adminSocket
	Version uint64        `name:"no" arg:"" help:"Version."`
	Share   float64       `required:"" help:"Part of the objects, above 0 and below 1."`
	Timeout time.Duration `name:"within" default:"10m" help:"It is undone if it has not gone on by then."`
}

// Run stages a change.
func (c *configStage) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "stage", Version: c.Version, Share: c.Share, TimeoutMS: c.Timeout.Milliseconds()})
}

type configApply struct {
	adminSocket
	Version uint64        `name:"no" arg:"" help:"Version."`
	Timeout time.Duration `name:"within" default:"10m" help:"It is undone if it has not been confirmed by then."`
}

// Run applies a change.
func (c *configApply) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "apply", Version: c.Version, TimeoutMS: c.Timeout.Milliseconds()})
}

type configConfirm struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Version."`
}

// Run confirms an applied change.
func (c *configConfirm) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "confirm", Version: c.Version})
}

type configRollBack struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Version."`
	Reason  string `name:"why" default:"by hand" help:"Why."`
}

// Run rolls the current change back.
func (c *configRollBack) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "undo", Version: c.Version, Reason: c.Reason})
}

type configProposeEarlier struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Version whose routes are proposed again."`
	Author  string `required:"" help:"Who."`
	Reason  string `required:"" help:"Why."`
}

// Run proposes the routes of an earlier version.
func (c *configProposeEarlier) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "back", Version: c.Version, Author: c.Author, Reason: c.Reason})
}
