// Package cli is the command line of foldslip. Without a sub-command, as the platform starts it, the program runs the
// gateway. The sub-commands check configurations, send requests to a running gateway through its sockets, and run
// simulated scenarios. Each file is named after its sub-command.
//
// The exit status is 0 if the command succeeded, 1 if it failed, and 2 if an argument, a setting or a file cannot be
// used. Scripts use the names of commands and flags, the JSON keys and the printed forms. These keep their spelling
// when Go identifiers are renamed.
package cli

import (
	"encoding/json"
	"io"
	"os"

	"foldslip/internal/cli/program"
)

type commands struct {
	Lookup extprocCommand `name:"ask" cmd:"" passthrough:"" help:"Send one lookup to an external processor and print its decisions (runs foldslip-extproc, which must be in the same directory)."`
	List   list           `cmd:"" help:"Inspect and edit the endpoint list that a gateway stores on disk."`
	Config configCommands `cmd:"" help:"Check the operator settings, a Jsonnet template, and change the routes of a running gateway."`
	Faults faults         `cmd:"" help:"Run simulated scenarios with faults against the code of this gateway, on a virtual clock."`
	Fleet  fleet          `cmd:"" help:"Query a gateway about its fleet, and test whole fleets under faults."`
	Serve  serve          `cmd:"" default:"withargs" help:"Run the gateway; this is the default command. ROUTER_CONFIG names its configuration file, and ROUTER_NAME and ROUTER_LISTEN override the values in it. After SIGTERM it answers the lookups that it has accepted, and ends. After SIGHUP it reads the file again and uses the discovery service named there."`
}

// Main runs the command that args select and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	foldslip := program.Program{
		Name:        "foldslip",
		Description: "A lookup router for caches that fill from parents and an origin.",
		CompactHelp: true,
		Hint:        "; see foldslip --help",
		FormatError: formatError,
	}
	return foldslip.Main(&commands{}, args, &program.Streams{Out: out, Err: errs})
}

// formatError formats a usage error as a single line. Other errors may have several lines.
func formatError(err error) string {
	if program.IsUsageError(err) {
		return program.OneLine(err)
	}
	return err.Error()
}

// Run runs the command that the process's arguments select and ends the process with its exit status.
func Run() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }

// printJSON prints a value as one line of JSON.
func printJSON(streams *program.Streams, value any) error {
	return json.NewEncoder(streams.Out).Encode(value)
}

// printIndentedJSON prints a value as JSON over several lines.
func printIndentedJSON(streams *program.Streams, value any, indent string) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", indent)
	return encoder.Encode(value)
}
