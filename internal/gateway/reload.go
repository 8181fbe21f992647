package gateway

import (
	"bytes"
	"fmt"
	"time"

	"foldslip/internal/config"
	"foldslip/internal/config/change"
	"foldslip/internal/route/rollout"
)

// confirmTimeout is the time within which the routes of a reloaded
// file must be confirmed. Otherwise they are rolled back.
const confirmTimeout = 10 * time.Minute

// RoutesRolledBackError reports routes of a reloaded file that were rolled back because they cannot be used.
type RoutesRolledBackError struct {
	Version uint64
	Reason  string
}

// Error returns the version and the reason for the rollback.
func (e *RoutesRolledBackError) Error() string {
	return fmt.Sprintf("routing: version %d was rolled back: %s", e.Version, e.Reason)
}

// reloadOnSignal reloads the configuration at each SIGHUP until the lifetime ends.
func (g *instance) reloadOnSignal() error {
	defer g.lifetime.OnEnd(g.signals.reload.Notify)()
	for {
		if !g.signals.waitReload() {
			if g.lifetime.Ended() {
				return nil
			}
			continue
		}
		for _, err := range g.reload() {
			g.env.Log().Warn("reload_failed", "error", err.Error())
		}
	}
}

// reload reads the configuration files again. Each part takes effect on its own: the address of discovery, the settings
// of each service and the routes, in this order. A part that cannot be used is refused and stays as it is, and the other parts take
// effect all the same. reload returns an error for each part that was refused.
func (g *instance) reload() (refused []error) {
	if err := g.reloadPlatform(); err != nil {
		refused = append(refused, err)
	}
	operators, err := readOperatorsConfig(g.env) // may take long
	if err != nil {
		return append(refused, err)
	}
	for _, service := range g.services {
		if err := service.Reload(operators); err != nil {
			refused = append(refused, err)
		}
	}
	if err := g.reloadRoutes(operators.Routing); err != nil {
		refused = append(refused, err)
	}
	return refused
}

// reloadPlatform reads the platform's configuration file again. The discovery watch moves to the address of discovery in
// the file, even if other settings cannot be used: these take effect at the next start only.
func (g *instance) reloadPlatform() error {
	file := platformFileOf(g.env)
	text, err := g.env.ReadFile(file.path)
	if err != nil {
		return err
	}
	addr, err := parseDiscoveryAddr(file, text)
	if err != nil {
		return err
	}
	g.watch.SetAddr(addr)
	loaded, err := parsePlatformConfig(file, text, g.config.operators)
	needsRestart := err == nil && g.needsRestart(loaded.platform)
	g.env.Log().Info("reloaded", "discovery", addr, "restart_wanted", needsRestart)
	return err
}

// needsRestart reports whether a platform configuration differs in settings that take effect at the next start.
func (g *instance) needsRestart(after *platformConfig) bool {
	before := g.config.platform
	return after.Limits != before.Limits || after.Listen != before.Listen || !bytes.Equal(after.Settings, before.Settings)
}

// reloadRoutes applies the routes of a reloaded file, if the gateway has routes and the file contains any.
func (g *instance) reloadRoutes(routing *config.Routing) error {
	if g.routes == nil || routing == nil {
		return nil
	}
	return applyRoutes(g.routes, routing)
}

// applyRoutes applies the routes of a reloaded file.
func applyRoutes(routes *rollout.Controller, routing *config.Routing) error {
	step, err := routes.ApplyFile(routing.RouteConfig, confirmTimeout)
	if err != nil {
		return err
	}
	if step.Stage == change.RolledBack && len(step.Findings) > 0 {
		return &RoutesRolledBackError{step.Version, step.Reason}
	}
	return nil
}
