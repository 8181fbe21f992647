// Package settings reads the settings text that the platform gives a gateway when it starts. Settings and what they hold are not changed
// afterwards, so that any goroutine may read them.
package settings

import (
	"time"

	"foldslip/internal/policy"
)

// Settings are what the platform tells of the deployment: what the router decides by, and what the network side needs besides.
type Settings struct {
	Router         *policy.Settings
	Kinds          []string // names of object kinds, by number
	Zones          []string // likewise
	MachineTypes   []string // likewise
	ConnectTimeout policy.Micros
	IdleTimeout    policy.Micros // after which a connection to a cache is closed
	MaxStreams     int           // open attempts on one connection to a cache
	PurgeGrace     policy.Micros // time to apply a purge
	DrainGrace     policy.Micros // time to stop sending to a cache that drains or is gone
}

// LatencyBudget is the latency budget of a lookup of a kind and size.
func (s *Settings) LatencyBudget(kind int, kb float64) time.Duration {
	k := s.Router.Kinds[kind]
	work := 0.0
	if s.Router.TransferKBPerSecond > 0 {
		work = kb / s.Router.TransferKBPerSecond * float64(time.Second.Microseconds())
	}
	return time.Duration(min(float64(k.LatencyBudget)+k.BudgetStretch*work, float64(k.Deadline))) * time.Microsecond
}
