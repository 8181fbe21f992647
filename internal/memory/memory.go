// Package memory holds what the gateway keeps: each connection's buffer, the caches by id, the purges it was
// told, the number of the last bulletin event, and the bound on lookups and the bytes of their answers.
package memory

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"foldslip/internal/env"
	"foldslip/internal/policy"
)

// Buffer is the one buffer of a connection: it grows as needed and is compacted in place.
type Buffer struct {
	bytes      []byte
	begin, end int
}

// ErrFull tells that a message is longer than its connection may send.
var ErrTooLong = errors.New("message too long")

const minSize = 2 << 10

// Bytes is what has been read and not skipped.
func (b *Buffer) Bytes() []byte { return b.bytes[b.begin:b.end] }

// Discard drops bytes from the front.
func (b *Buffer) Discard(n int) { b.begin += n }

// Fill reads once, and keeps at most that many bytes.
func (b *Buffer) Fill(from io.Reader, most int) error {
	if b.begin > 0 && (b.begin == b.end || b.end == len(b.bytes)) {
		b.end = copy(b.bytes, b.bytes[b.begin:b.end])
		b.begin = 0
	}
	if b.end == len(b.bytes) {
		if b.end >= most {
			return ErrTooLong
		}
		grown := make([]byte, min(most, max(minSize, 2*len(b.bytes))))
		copy(grown, b.bytes[:b.end])
		b.bytes = grown
	}
	n, err := from.Read(b.bytes[b.end:])
	b.end += n
	if n > 0 {
		return nil
	}
	return err
}

// Cache is a server of the list as the network needs it.
type Cache struct {
	ID, Addr string
	Policy   *policy.Cache
}

// Registry are the servers told of, by id. Ids of those gone are forgotten: a return is a new cache.
type Registry struct {
	mu   sync.Mutex
	byID map[string]*Cache
}

// Register finds or makes the cache of an id; a changed address makes a new one.
func (c *Registry) Register(id, addr string) *Cache {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID == nil {
		c.byID = map[string]*Cache{}
	}
	k := c.byID[id]
	if k == nil {
		k = &Cache{ID: id, Policy: policy.NewCache(id)}
		c.byID[id] = k
	}
	if addr != "" && addr != k.Addr {
		k = &Cache{ID: id, Addr: addr, Policy: k.Policy}
		c.byID[id] = k
	}
	return k
}

// Find gives the cache of an id, or nil.
func (c *Registry) Find(id string) *Cache {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}

// Len is how many there are.
func (c *Registry) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID)
}

// Remove drops a cache that has gone.
func (c *Registry) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byID, id)
}

// Retain drops all caches but those named.
func (c *Registry) Retain(named map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.byID {
		if !named[id] {
			delete(c.byID, id)
		}
	}
}

// Log are what the gateway was told of, for as long as older copies may lie about.
type Log struct {
	Retention time.Duration
	Grace     time.Duration // to heed a purge
	Clock     env.Environment
	mu        sync.Mutex
	objects   map[string][]entry
	groups    map[int][]entry
	queue     []queuedObject // purges of objects as they were told, for forgetting them; from head on
	head      int
}

type entry struct{ issuedAt, receivedAt time.Time }

type queuedObject struct {
	object     string
	receivedAt time.Time
}

// mostPending bounds the purges of one object or group that are told apart; past it the last two become one that is as
// strict as either.
const maxPending = 16

// Record keeps a purge of an object, or of a group where the name is empty.
func (p *Log) Record(object string, group int, issued time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects == nil {
		p.objects, p.groups = map[string][]entry{}, map[int][]entry{}
	}
	now := p.Clock.Now()
	p.expire(now)
	if object == "" {
		p.groups[group] = p.merge(p.groups[group], issued, now)
		return
	}
	was := p.objects[object]
	list := p.merge(was, issued, now)
	p.objects[object] = list
	if len(was) == 0 || !list[len(list)-1].receivedAt.Equal(was[len(was)-1].receivedAt) {
		p.queue = append(p.queue, queuedObject{object, now})
	}
}

// expire drops the objects whose last purge was told longer than Keep ago. Guards the core against many purges: a look at all that are
// kept, for each one, cost 7 ms at 60,000 kept. The queue holds one entry for each that is kept, in the order in which they were told.
func (p *Log) expire(now time.Time) {
	for p.head < len(p.queue) && now.Sub(p.queue[p.head].receivedAt) > p.Retention {
		q := p.queue[p.head]
		p.queue[p.head] = queuedObject{}
		p.head++
		if list := p.objects[q.object]; len(list) > 0 && list[len(list)-1].receivedAt.Equal(q.receivedAt) {
			delete(p.objects, q.object)
		}
	}
	if p.head > len(p.queue)/2 {
		p.queue, p.head = append([]queuedObject(nil), p.queue[p.head:]...), 0
	}
}

// merge keeps the purges of one thing in the order they were told, the issued rising too: each holds from its own grace
// on, so that a later one must not put an earlier one off.
func (p *Log) merge(list []entry, issued, now time.Time) []entry {
	for len(list) > 1 && now.Sub(list[1].receivedAt) > p.Grace { // the one before it says nothing more
		list = list[1:]
	}
	n := len(list)
	switch {
	case n > 0 && !issued.After(list[n-1].issuedAt):
		return list
	case n >= maxPending:
		list[n-1].issuedAt = issued
		return list
	}
	return append(list, entry{issued, now})
}

// InForce is the issue of the latest purge of an object that was told longer than the grace ago, and when it was told;
// both are zero where there is none.
func (p *Log) InForce(object string, group int) (issued, told time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, list := range [][]entry{p.objects[object], p.groups[group]} {
		for _, one := range list {
			if now.Sub(one.receivedAt) > p.Grace && one.issuedAt.After(issued) {
				issued, told = one.issuedAt, one.receivedAt
			}
		}
	}
	return issued, told
}

// Controller bounds the lookups open at once, shared out among those who hold them, and the bytes of answers held for them.
type Controller struct {
	Clock         env.Environment
	mu            sync.Mutex // of shares
	quotas        *Quotas
	maxBytes      int64
	reservedBytes atomic.Int64
}

// Gate is one holder's way into the room.
type Gate struct {
	controller *Controller
	claimant   *Claimant
}

// NewController makes room for so many lookups and so many bytes.
func NewController(g env.Environment, lookups int, bytes int64) *Controller {
	return &Controller{Clock: g, quotas: NewQuotas(lookups), maxBytes: bytes}
}

// Gate gives a holder its way in, by name; the first to ask is never forgotten.
func (r *Controller) Gate(name string, weight float64) *Gate {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Gate{r, r.quotas.Claimant(r.Clock.Now(), name, weight)}
}

// TryAdmit takes a place, if there is one for this holder.
func (p *Gate) TryAdmit() bool {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	return p.controller.quotas.TryAcquire(p.controller.Clock.Now(), p.claimant)
}

// Release gives a place back.
func (p *Gate) Release() {
	p.controller.mu.Lock()
	defer p.controller.mu.Unlock()
	p.controller.quotas.Release(p.controller.Clock.Now(), p.claimant)
}

// Open is how many places are taken in all.
func (r *Controller) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quotas.Open()
}

// ReserveBytes takes room for an answer, if there is any.
func (r *Controller) ReserveBytes(bytes int) bool {
	if r.reservedBytes.Add(int64(bytes)) <= r.maxBytes {
		return true
	}
	r.reservedBytes.Add(-int64(bytes))
	return false
}

// ReleaseBytes gives the room of answers back.
func (r *Controller) ReleaseBytes(bytes int) { r.reservedBytes.Add(-int64(bytes)) }
