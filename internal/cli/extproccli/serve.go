package extproccli

import (
	"log/slog"
	"os"

	"foldslip/internal/cli/program"
	"foldslip/internal/env"
	"foldslip/internal/extproc"
	"foldslip/internal/extproc/extprocgrpc"
	"foldslip/internal/gateway"
)

type serve struct {
	Settings string `env:"FOLDSLIP_SETTINGS" required:"" help:"Operator settings, a Jsonnet template with external_processor."`
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged: ${enum}."`
}

// Run runs the gateway with its external processor until SIGTERM. It logs to the process's own standard error.
func (s *serve) Run() error {
	var level slog.Level
	level.UnmarshalText([]byte(s.LogLevel)) // cannot fail: kong has checked the value
	os.Setenv("FOLDSLIP_SETTINGS", s.Settings)
	environment := env.NewSystem(os.Stderr, level)
	if environment.Getenv("ROUTER_CONFIG") == "" {
		return program.UsageErrorf("ROUTER_CONFIG is not set: name the gateway's configuration file in it, see docs/external-processor.md (Start)")
	}
	if err := gateway.Run(environment, gateway.Hooks{NewServices: openServices}); err != nil {
		environment.Log().Error("ended", "error", err.Error())
		return program.ReportedError{Err: err}
	}
	return nil
}

// openServices opens the external processor if the configuration has one.
func openServices(in gateway.Dependencies) ([]gateway.Service, error) {
	if in.Config.ExternalProcessor == nil {
		return nil, nil
	}
	listener, err := extprocgrpc.Listen(in.Name, extproc.Dependencies{
		Environment: in.Environment,
		Settings:    in.Settings,
		Dispatcher:  in.Dispatcher,
		Caches:      in.Registry,
		Purges:      in.Purges,
		Admission:   in.Admission,
		Routes:      in.Routes,
	}, in.Config.ExternalProcessor, in.UsableMemory)
	if err != nil {
		return nil, err
	}
	return []gateway.Service{listener}, nil
}
