// Command foldslip-door is the gateway with the door for other proxies: foldslip itself, and the external-processing service
// that the operators' settings name. It is a program of its own since its libraries take 13 MB resident from the start.
package main

import (
	"log/slog"
	"os"

	"foldslip/clock"
	"foldslip/door/extproc"
	"foldslip/service"
)

func main() {
	g := clock.NewSystem(os.Stderr, slog.LevelInfo)
	if g.Env("ROUTER_CONFIG") == "" || g.Env("FOLDSLIP_SETTINGS") == "" {
		os.Stderr.WriteString("foldslip-door: ROUTER_CONFIG and FOLDSLIP_SETTINGS must name the gateway's configuration and the operators' settings, " +
			"see docs/external-processor.md\n")
		os.Exit(2)
	}
	if err := service.Run(g, service.Watch{Doors: extproc.Doors}); err != nil {
		g.Log().Error("ended", "text", err.Error())
		os.Exit(1)
	}
}
