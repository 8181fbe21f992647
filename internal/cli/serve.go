package cli

import (
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/gateway"
)

type serve struct {
	Settings    string        `env:"FOLDSLIP_SETTINGS" help:"The operators' own settings, a Jsonnet template such as deploy/foldslip.jsonnet; none: all that they switch on is off."`
	WithExtproc bool          `name:"doors" help:"Open the doors that the settings name, too (runs foldslip-extproc, which stands beside this program)."`
	ClockOffset time.Duration `hidden:"" help:"Tell other machines a time that is off by so much, as a machine with a wrong clock does; for tests of a fleet."`
	LogLevel    string        `enum:"debug,info,warn,error" default:"info" help:"The least level that is logged: ${enum}."`
}

func (s *serve) Run(to *streams) error {
	var least slog.Level
	if err := least.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return usageErrorf("--log-level: %v", err)
	}
	if s.Settings != "" {
		os.Setenv("FOLDSLIP_SETTINGS", s.Settings)
	}
	if s.WithExtproc {
		return runExtproc("serve", "--settings="+s.Settings, "--log-level="+s.LogLevel)
	}
	g := env.NewSystem(to.errs, least)
	g.WallOffset = s.ClockOffset
	if g.Getenv("ROUTER_CONFIG") == "" {
		return usageErrorf("ROUTER_CONFIG is not set: name the gateway's configuration file in it, see README.md (Start)")
	}
	if err := gateway.Run(g, gateway.Hooks{}); err != nil {
		g.Log().Error("ended", "text", err.Error())
		return reportedError{err}
	}
	return nil
}

// extprocCommand is a command of foldslip-extproc.
type extprocCommand struct {
	Args []string `arg:"" optional:""`
}

func (b *extprocCommand) Run() error { return runExtproc(append([]string{"ask"}, b.Args...)...) }

// runExtproc becomes foldslip-extproc, whose libraries this program does without.
func runExtproc(args ...string) error { return execSibling("foldslip-extproc", args...) }

// execSibling becomes a program that stands beside this one.
func execSibling(name string, args ...string) error {
	own, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(own), name)
	err = syscall.Exec(path, append([]string{path}, args...), os.Environ())
	return usageErrorf("%s cannot be run: %v; go build -o bin/ ./cmd/... makes it", path, err)
}
