// Package admission limits the number of open lookups and the bytes of their bodies and objects. It divides the
// open lookups among claimants by max-min fairness. A claimant is the gateway's direct clients, a caller of
// another entry point, or a tenant of a limit. Lookups are not queued: each is admitted or rejected at once.
//
// Quotas divides a capacity among claimants. It does no I/O, reads no clock and is not safe for
// concurrent use. Controller holds the Quotas of the whole gateway, with a lock and the limit on bytes.
package admission

import (
	"sync"
	"sync/atomic"

	"foldslip/internal/env"
)

// Controller admits the gateway's lookups and reserves their bytes. It is safe for concurrent use.
type Controller struct {
	Clock env.Environment

	mu            sync.Mutex // guards quotas
	quotas        *Quotas
	maxBytes      int64
	reservedBytes atomic.Int64
}

// Gate admits the lookups of one claimant. It is safe for concurrent use.
type Gate struct {
	controller *Controller
	claimant   *Claimant
}

// NewController returns a controller that admits at most maxLookups open lookups and reserves at most maxBytes bytes.
func NewController(clock env.Environment, maxLookups int, maxBytes int64) *Controller {
	return &Controller{Clock: clock, quotas: NewQuotas(maxLookups), maxBytes: maxBytes}
}

// Gate returns the gate of the claimant with a name. The first claimant of a controller is never removed.
func (c *Controller) Gate(name string, weight float64) *Gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Gate{c, c.quotas.Claimant(c.Clock.Now(), name, weight)}
}

// TryAdmit admits a lookup if its claimant's quota allows one more. The caller must call Release for
// each admitted lookup.
func (g *Gate) TryAdmit() bool {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	return g.controller.quotas.TryAcquire(g.controller.Clock.Now(), g.claimant)
}

// Release ends an admitted lookup.
func (g *Gate) Release() {
	g.controller.mu.Lock()
	defer g.controller.mu.Unlock()
	g.controller.quotas.Release(g.controller.Clock.Now(), g.claimant)
}

// Open returns the number of admitted lookups of all claimants that have not been released.
func (c *Controller) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quotas.Open()
}

// ReserveBytes reserves bytes for a body or an object and reports whether as many were free. The caller
// must return them with ReleaseBytes.
func (c *Controller) ReserveBytes(bytes int) bool {
	if c.reservedBytes.Add(int64(bytes)) <= c.maxBytes {
		return true
	}
	c.reservedBytes.Add(-int64(bytes))
	return false
}

// ReleaseBytes returns reserved bytes.
func (c *Controller) ReleaseBytes(bytes int) { c.reservedBytes.Add(-int64(bytes)) }
