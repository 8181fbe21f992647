// Package settings parses the settings text that a gateway receives from the platform at startup. Settings, and the
// values that they refer to, are not modified after Parse returns, so they may be read from any goroutine.
package settings

import (
	"time"

	"foldslip/internal/policy"
)

// Settings describe the deployment. They hold the settings of the router and those of the network side.
type Settings struct {
	Router         *policy.Settings
	Kinds          []string // names of the object kinds, by index
	Zones          []string // names of the zones, by index
	MachineTypes   []string // names of the machine types, by index
	ConnectTimeout policy.Micros
	IdleTimeout    policy.Micros // an idle connection to a cache is closed after this time
	MaxStreams     int           // maximum number of open attempts on one connection to a cache
	PurgeGrace     policy.Micros // time within which the gateway must apply a purge
	DrainGrace     policy.Micros // time within which the gateway must stop sending to a cache that is draining or gone
}

// LatencyBudget returns the latency budget of a lookup of the given object kind and size in KB.
// The deadline of the kind bounds it.
func (s *Settings) LatencyBudget(kind int, kb float64) time.Duration {
	k := s.Router.Kinds[kind]
	work := 0.0
	if s.Router.TransferKBPerSecond > 0 {
		work = kb / s.Router.TransferKBPerSecond * float64(time.Second.Microseconds())
	}
	return time.Duration(min(float64(k.LatencyBudget)+k.BudgetStretch*work, float64(k.Deadline))) * time.Microsecond
}
