// Package extproccli is the command line of foldslip-extproc: the gateway with its external processor, and a client of the external
// processor. It is a program of its own since the gRPC libraries take more memory from the start than a gateway of 32 MB can spare.
//
// Exit status: 0 done, 1 the command failed (a lookup was rejected, failed or refused), 2 arguments, a setting or a file cannot be used.
package extproccli

import (
	"io"

	"foldslip/internal/cli/program"
)

// programName begins every message.
const programName = "foldslip-extproc"

type commands struct {
	Lookup lookupCommand `name:"ask" cmd:"" help:"Ask a door for one lookup and print its decisions and the end. The sends are not made: --end says how each is to be reported."`
	Serve  serve         `cmd:"" default:"withargs" help:"Be the gateway with the doors that the operators' settings name."`
}

// Main runs the command that args select and returns the exit status.
func Main(args []string, out, errs io.Writer) int {
	extproc := program.Program{
		Name:        programName,
		Description: "foldslip with the door for other proxies (external processing).",
		CompactHelp: true,
		FormatError: program.OneLine,
	}
	return extproc.Main(&commands{}, args, &program.Streams{Out: out, Err: errs})
}
