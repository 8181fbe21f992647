package cli

import (
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"foldslip/internal/cli/program"
	"foldslip/internal/env"
	"foldslip/internal/gateway"
)

type serve struct {
	Settings    string        `env:"FOLDSLIP_SETTINGS" help:"Operator settings, a Jsonnet template such as deploy/foldslip.jsonnet. Without it, the features that it would enable are off."`
	WithExtproc bool          `name:"doors" help:"Also run the external processor that the settings configure (runs foldslip-extproc, which must be in the same directory)."`
	ClockOffset time.Duration `hidden:"" help:"Offset of the time of day that other machines are told, as by a machine with a wrong clock; for tests of a fleet."`
	LogLevel    string        `enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged: ${enum}."`
}

// Run runs the gateway until SIGTERM.
func (s *serve) Run(streams *program.Streams) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return program.UsageErrorf("--log-level: %w", err)
	}
	if s.Settings != "" {
		os.Setenv("FOLDSLIP_SETTINGS", s.Settings)
	}
	if s.WithExtproc {
		return execExtproc("serve", "--settings="+s.Settings, "--log-level="+s.LogLevel)
	}
	environment := env.NewSystem(streams.Err, level)
	environment.WallOffset = s.ClockOffset
	if environment.Getenv("ROUTER_CONFIG") == "" {
		return program.UsageErrorf("ROUTER_CONFIG is not set: name the gateway's configuration file in it, see README.md (Start)")
	}
	if err := gateway.Run(environment, gateway.Hooks{}); err != nil {
		environment.Log().Error("ended", "error", err.Error())
		return program.ReportedError{Err: err}
	}
	return nil
}

// extprocCommand is the command ask, which foldslip-extproc carries out.
type extprocCommand struct {
	Args []string `arg:"" optional:""`
}

// Run replaces the process with foldslip-extproc.
func (e *extprocCommand) Run() error { return execExtproc(append([]string{"ask"}, e.Args...)...) }

// execExtproc replaces the process with foldslip-extproc. That is a separate program so that a
// gateway does not load the gRPC libraries.
func execExtproc(args ...string) error { return execSibling("foldslip-extproc", args...) }

// execSibling replaces the process with another program in the same directory. It returns only if that fails.
func execSibling(name string, args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
	return program.UsageErrorf("cannot run %s: %w; build it with go build -o bin/ ./cmd/...", path, err)
}
