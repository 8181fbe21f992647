package cli

import (
	"log/slog"

	"foldslip/clock"
	"foldslip/service"
)

type serve struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"The least level that is logged: ${enum}."`
}

func (s *serve) Run(to *streams) error {
	var least slog.Level
	if err := least.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return usage("--log-level: %v", err)
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
