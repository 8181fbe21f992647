package cli

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"foldslip/internal/admin"
	"foldslip/internal/cli/program"
	"foldslip/internal/route/pools"
)

// maxLoadLookups limits the lookups of a captured load. They are all sent to the gateway in one request.
const maxLoadLookups = 20_000

type configPlan struct {
	adminSocket
	File string `arg:"" help:"Jsonnet template of operator settings with the planned routing."`
	Load string `help:"File of a captured load with one line of JSON for each lookup: {\"kind\":0,\"group\":3,\"object\":\"7f3a\",\"bytes\":42000}."`
}

// Run prints the problems of a change of routes and how many objects it would move. Without --json it fails if one of
// the problems is an error.
func (c *configPlan) Run(streams *program.Streams) error {
	routes, err := configFile{File: c.File}.readRoutes(streams)
	if err != nil {
		return err
	}
	request := admin.Request{Command: "plan", Config: routes}
	if c.Load != "" {
		if request.Load, err = readLoad(c.Load); err != nil {
			return err
		}
	}
	response, err := c.call(request)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(streams, response)
	}
	errorCount := 0
	for _, problem := range response.Problems {
		if problem.IsError {
			errorCount++
		}
		fmt.Fprintf(streams.Out, "%s: %s: %s; %s\n", severity(problem.IsError), problem.Path, problem.Text, problem.Remedy)
	}
	impact := response.Impact
	fmt.Fprintf(streams.Out, "of %d lookups for %d objects, %d objects move, %d of them to caches that have none of them; %.0f of %.0f bytes\n",
		impact.Lookups, impact.Objects, impact.MovedObjects, impact.ColdObjects, impact.MovedBytes, impact.Bytes)
	if errorCount > 0 {
		return program.Failedf("the routes have %d errors and cannot be applied", errorCount)
	}
	return nil
}

// readLoad reads a captured load from a file with one line of JSON for each lookup.
func readLoad(path string) (load []pools.LoadSample, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, program.UsageErrorf("--load: %w", err)
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		var sample pools.LoadSample
		if err := json.Unmarshal(lines.Bytes(), &sample); err != nil {
			return nil, program.UsageErrorf("--load %s:%d: %w", path, number, err)
		}
		load = append(load, sample)
		if len(load) > maxLoadLookups {
			return nil, program.UsageErrorf("--load %s: more than %d lookups; pass a sample of the load", path, maxLoadLookups)
		}
	}
	return load, nil
}
