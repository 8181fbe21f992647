package cli

import (
	"time"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
	"foldslip/internal/config"
)

// readRoutes reads a file of operator settings and returns its routing. It fails if the file has none.
func (f configFile) readRoutes(streams *program.Streams) (*config.RouteConfig, error) {
	configuration, err := f.read(streams)
	if err != nil {
		return nil, err
	}
	if configuration.Routing == nil {
		return nil, program.UsageErrorf("%s: routing is not set; see docs/configuration.md", f.File)
	}
	return &configuration.Routing.RouteConfig, nil
}

type configPropose struct {
	adminSocket
	File   string `arg:"" help:"Jsonnet template of operator settings with the proposed routing."`
	Parent uint64 `help:"Version that the change is based on; 0: the active version."`
	Author string `required:"" help:"Who makes the change."`
	Reason string `required:"" help:"Why the change is made."`
}

// Run proposes a change of the routes.
func (c *configPropose) Run(streams *program.Streams) error {
	routes, err := configFile{File: c.File}.readRoutes(streams)
	if err != nil {
		return err
	}
	return c.callAndPrintStep(streams, admin.Request{Command: "propose", Parent: c.Parent, Author: c.Author, Reason: c.Reason, Config: routes})
}

type configStage struct {
	adminSocket
	Version uint64        `name:"no" arg:"" help:"Number of the change's version."`
	Share   float64       `required:"" help:"Share of the objects, above 0 and below 1."`
	Timeout time.Duration `name:"within" default:"10m" help:"The change is rolled back if its next step does not follow within this time."`
}

// Run makes a change active for a share of the objects.
func (c *configStage) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "stage", Version: c.Version, Share: c.Share, TimeoutMS: c.Timeout.Milliseconds()})
}

type configApply struct {
	adminSocket
	Version uint64        `name:"no" arg:"" help:"Number of the change's version."`
	Timeout time.Duration `name:"within" default:"10m" help:"The change is rolled back if it is not confirmed within this time."`
}

// Run makes a change active for all objects.
func (c *configApply) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "apply", Version: c.Version, TimeoutMS: c.Timeout.Milliseconds()})
}

type configConfirm struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Number of the change's version."`
}

// Run confirms an applied change.
func (c *configConfirm) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "confirm", Version: c.Version})
}

type configRollBack struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Number of the change's version."`
	Reason  string `name:"why" default:"by hand" help:"Why the change is rolled back."`
}

// Run rolls back the change in progress.
func (c *configRollBack) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "undo", Version: c.Version, Reason: c.Reason})
}

type configProposeEarlier struct {
	adminSocket
	Version uint64 `name:"no" arg:"" help:"Number of the version whose routes are proposed again."`
	Author  string `required:"" help:"Who makes the change."`
	Reason  string `required:"" help:"Why the change is made."`
}

// Run proposes a change back to the routes of an earlier version.
func (c *configProposeEarlier) Run(streams *program.Streams) error {
	return c.callAndPrintStep(streams, admin.Request{Command: "back", Version: c.Version, Author: c.Author, Reason: c.Reason})
}
