package cli

import (
	"log/slog"
	"os"

	"foldslip/clock"
	"foldslip/service"
)

type serve struct {
	Settings string `env:"FOLDSLIP_SETTINGS" help:"The operators' own settings, a Jsonnet template such as deploy/foldslip.jsonnet; none: all that they switch on is off."`
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"The least level that is logged: ${enum}."`
}

func (s *serve) Run(to *streams) error {
	var least slog.Level
	if err := least.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return usage("--log-level: %v", err)
	}
	if s.Settings != "" {
		os.Setenv("FOLDSLIP_SETTINGS", s.Settings)
	}
	g := clock.NewSystem(to.errs, least)
	if g.Env("ROUTER_CONFIG") == "" {
		return usage("ROUTER_CONFIG is not set: name the gateway's configuration file in it, see README.md (Start)")
	}
	if err := service.Run(g, service.Watch{}); err != nil {
		g.Log().Error("ended", "text", err.Error())
		return quiet{err}
	}
	return nil
}
