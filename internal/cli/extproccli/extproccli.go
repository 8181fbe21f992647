// Package extproccli is the command line of foldslip-extproc: the gateway with its external processor, and a client of the external
// processor. It is a program of its own since the gRPC libraries take more memory from the start than a gateway of 32 MB can spare.
//
// Exit status: 0 done, 1 the command failed (a lookup was rejected, failed or refused), 2 arguments, a setting or a file cannot be used.
package extproccli

import (
	"io"
	"log/slog"
	"os"

	"foldslip/internal/cli/program"
	"foldslip/internal/env"
	"foldslip/internal/extproc/extprocgrpc"
	"foldslip/internal/gateway"
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

type serve struct {
	Settings string `env:"FOLDSLIP_SETTINGS" required:"" help:"The operators' settings, a Jsonnet template with external_processor."`
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"The least level that is logged: ${enum}."`
}

// Run runs the gateway with its external processor until SIGTERM. It logs to the process's own standard error.
func (s *serve) Run() error {
	var level slog.Level
	level.UnmarshalText([]byte(s.LogLevel)) // kong has checked it
	os.Setenv("FOLDSLIP_SETTINGS", s.Settings)
	environment := env.NewSystem(os.Stderr, level)
	if environment.Getenv("ROUTER_CONFIG") == "" {
		return program.UsageErrorf("ROUTER_CONFIG is not set: name the gateway's configuration file in it, see docs/external-processor.md (Start)")
	}
	if err := gateway.Run(environment, gateway.Hooks{NewServices: extprocgrpc.OpenConfigured}); err != nil {
		environment.Log().Error("ended", "text", err.Error())
		return program.ReportedError{Err: err}
	}
	return nil
}
