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
		if err := g.reload(); err != nil {
			g.env.Log().Warn("reload_failed", "error", err.Error())
		}
	}
}

// reload reads the configuration again. Either all services and the routes apply their settings,
// or none of them does. The discovery watch moves to the new address of discovery. All other
// settings take effect at the next start. A configuration that cannot be used changes nothing.
func (g *instance) reload() error {
	loaded, err := loadConfiguration(g.env)
	if err != nil {
		return err
	}
	var applies []func()
	for _, service := range g.services {
		apply, err := service.PrepareReload(loaded.operators)
		if err != nil {
			return err
		}
		applies = append(applies, apply)
	}
	if g.routes != nil && loaded.operators.Routing != nil {
		if err := applyRoutes(g.routes, loaded.operators.Routing); err != nil {
			return err
		}
	}
	before, after := g.config.platform, loaded.platform
	needsRestart := after.Limits != before.Limits || after.Listen != before.Listen || !bytes.Equal(after.Settings, before.Settings)
	g.env.Log().Info("reloaded", "discovery", after.DiscoveryAddr, "restart_wanted", needsRestart)
	g.watch.SetAddr(after.DiscoveryAddr)
	for _, apply := range applies {
		apply()
	}
	return nil
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
