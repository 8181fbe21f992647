// Package extproccli is the command line of foldslip-extproc, which runs the gateway with its external processor and
// has a client of the external processor. It is a separate program because the gRPC libraries take more memory at the
// start than a gateway of 32 MB can spare.
//
// The exit status is 0 if the command succeeded, 1 if it failed (also if a lookup was rejected, failed or refused), and
// 2 if an argument, a setting or a file cannot be used.
package extproccli

import (
	"io"

	"foldslip/internal/cli/program"
)

// programName is the prefix of every message.
const programName = "foldslip-extproc"

type commands struct {
	Lookup lookupCommand `name:"ask" cmd:"" help:"Send one lookup to an external processor and print its decisions and the result. The attempts are not carried out; --end gives the outcome to report for each."`
	Serve  serve         `cmd:"" default:"withargs" help:"Run the gateway with the external processor that the operator settings configure."`
}

// Main runs the command that args select and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	extproc := program.Program{
		Name:        programName,
		Description: "foldslip with an entry point for other proxies (external processing).",
		CompactHelp: true,
		FormatError: program.OneLine,
	}
	return extproc.Main(&commands{}, args, &program.Streams{Out: out, Err: errs})
}
