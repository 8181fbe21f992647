// Package cli is the command line of foldslip. The bare program is the gateway, as the platform starts it; its sub-commands check
// configurations, ask a running gateway through its sockets, and run simulated scenarios. Files are named for their sub-command.
//
// Exit status: 0 done, 1 the command failed, 2 arguments, a setting or a file cannot be used. Names, flags, JSON keys and printed forms
// are used by scripts and keep their spelling whatever the code behind them is called.
package cli

import (
	"encoding/json"
	"io"
	"os"

	"foldslip/internal/cli/program"
)

type commands struct {
	Lookup extprocCommand `name:"ask" cmd:"" passthrough:"" help:"Ask a door for one lookup and print its decisions (runs foldslip-extproc, which stands beside this program)."`
	List   list           `cmd:"" help:"Read and mend the list of caches that a gateway keeps on disk."`
	Config configCommands `cmd:"" help:"Check the operators' own settings, a Jsonnet template."`
	Faults faults         `cmd:"" help:"Play days of trouble on a virtual clock against this very gateway."`
	Fleet  fleet          `cmd:"" help:"Ask a gateway about the fleet that it sees, and try whole fleets under faults."`
	Serve  serve          `cmd:"" default:"withargs" help:"Be the gateway (what the bare program does): ROUTER_CONFIG names its configuration, ROUTER_NAME and ROUTER_LISTEN go before what stands in it. SIGTERM ends it once all it has taken is answered, SIGHUP moves it to the bulletin that the file then names."`
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

// formatError keeps usage errors to one line; other errors may have several.
func formatError(err error) string {
	if program.IsUsageError(err) {
		return program.OneLine(err)
	}
	return err.Error()
}

// Run runs the process's own arguments and ends the process.
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
