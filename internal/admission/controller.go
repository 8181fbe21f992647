// Package admission bounds the lookups that are open at once and the bytes of their answers. The open lookups are divided among claimants
// (the gateway's direct clients, each caller of another entry point, each tenant of a limit) by max-min fairness. Nothing waits: a lookup is
// admitted at once or not at all.
//
// Quotas is the division alone: it does no I/O, keeps no clock and is not safe for concurrent use. Controller owns one, with a lock and the
// bound on bytes, for the whole gateway.
package admission

import (
	"sync"
	"sync/atomic"

	"foldslip/internal/env"
)

// Controller admits the gateway's lookups. It is safe for concurrent use.
type Controller struct {
	Clock env.Environment

	mu            sync.Mutex // of quotas
	quotas        *Quotas
	maxBytes      int64
	reservedBytes atomic.Int64
}

// Gate admits the lookups of one claimant. It is safe for concurrent use.
type Gate struct {
	controller *Controller
	claimant   *Claimant
}

// NewController allows so many lookups at once and so many bytes of answers.
func NewController(clock env.Environment, maxLookups int, maxBytes int64) *Controller {
	return &Controller{Clock: clock, quotas: NewQuotas(maxLookups), maxBytes: maxBytes}
}

// Gate returns the gate of a claimant by name. The first claimant of a controller is never forgotten.
func (c *Controller) Gate(name string, weight float64) *Gate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Gate{c, c.quotas.Claimant(c.Clock.Now(), name, weight)}
}

// TryAdmit admits a lookup if its claimant may have one more. Release must follow.
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

// Open returns the number of lookups that are admitted and not released, of all claimants.
func (c *Controller) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quotas.Open()
}

// ReserveBytes reserves bytes for an answer and reports whether there were as many. ReleaseBytes must follow.
func (c *Controller) ReserveBytes(bytes int) bool {
	if c.reservedBytes.Add(int64(bytes)) <= c.maxBytes {
		return true
	}
	c.reservedBytes.Add(-int64(bytes))
	return false
}

// ReleaseBytes gives reserved bytes back.
func (c *Controller) ReleaseBytes(bytes int) { c.reservedBytes.Add(-int64(bytes)) }
