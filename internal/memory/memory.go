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
	b          []byte
	begin, end int
}

// ErrFull tells that a message is longer than its connection may send.
var ErrFull = errors.New("message too long")

const smallest = 2 << 10

// Bytes is what has been read and not skipped.
func (b *Buffer) Bytes() []byte { return b.b[b.begin:b.end] }

// Skip drops bytes from the front.
func (b *Buffer) Skip(n int) { b.begin += n }

// Fill reads once, and keeps at most that many bytes.
func (b *Buffer) Fill(from io.Reader, most int) error {
	if b.begin > 0 && (b.begin == b.end || b.end == len(b.b)) {
		b.end = copy(b.b, b.b[b.begin:b.end])
		b.begin = 0
	}
	if b.end == len(b.b) {
		if b.end >= most {
			return ErrFull
		}
		grown := make([]byte, min(most, max(smallest, 2*len(b.b))))
		copy(grown, b.b[:b.end])
		b.b = grown
	}
	n, err := from.Read(b.b[b.end:])
	b.end += n
	if n > 0 {
		return nil
	}
	return err
}

// Cache is a server of the list as the network needs it.
type Cache struct {
	ID, Addr string
	Its      *policy.Cache
}

// Caches are the servers told of, by id. Ids of those gone are forgotten: a return is a new cache.
type Caches struct {
	mu sync.Mutex
	by map[string]*Cache
}

// Note finds or makes the cache of an id; a changed address makes a new one.
func (c *Caches) Note(id, addr string) *Cache {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]*Cache{}
	}
	k := c.by[id]
	if k == nil {
		k = &Cache{ID: id, Its: policy.NewCache(id)}
		c.by[id] = k
	}
	if addr != "" && addr != k.Addr {
		k = &Cache{ID: id, Addr: addr, Its: k.Its}
		c.by[id] = k
	}
	return k
}

// Find gives the cache of an id, or nil.
func (c *Caches) Find(id string) *Cache {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[id]
}

// Len is how many there are.
func (c *Caches) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.by)
}

// Forget drops a cache that has gone.
func (c *Caches) Forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.by, id)
}

// Keep drops all caches but those named.
func (c *Caches) Keep(named map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.by {
		if !named[id] {
			delete(c.by, id)
		}
	}
}

// Purges are what the gateway was told of, for as long as older copies may lie about.
type Purges struct {
	Keep    time.Duration
	Grace   time.Duration // to heed a purge
	Clock   env.Ground
	mu      sync.Mutex
	objects map[string][]purge
	groups  map[int][]purge
	queue   []queued // purges of objects as they were told, for forgetting them; from head on
	head    int
}

type purge struct{ issued, told time.Time }

type queued struct {
	object string
	told   time.Time
}

// mostPending bounds the purges of one object or group that are told apart; past it the last two become one that is as
// strict as either.
const mostPending = 16

// Note keeps a purge of an object, or of a group where the name is empty.
func (p *Purges) Note(object string, group int, issued time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects == nil {
		p.objects, p.groups = map[string][]purge{}, map[int][]purge{}
	}
	now := p.Clock.Now()
	p.forget(now)
	if object == "" {
		p.groups[group] = p.add(p.groups[group], issued, now)
		return
	}
	was := p.objects[object]
	list := p.add(was, issued, now)
	p.objects[object] = list
	if len(was) == 0 || !list[len(list)-1].told.Equal(was[len(was)-1].told) {
		p.queue = append(p.queue, queued{object, now})
	}
}

// forget drops the objects whose last purge was told longer than Keep ago. Guards the core against many purges: a look at all that are
// kept, for each one, cost 7 ms at 60,000 kept. The queue holds one entry for each that is kept, in the order in which they were told.
func (p *Purges) forget(now time.Time) {
	for p.head < len(p.queue) && now.Sub(p.queue[p.head].told) > p.Keep {
		q := p.queue[p.head]
		p.queue[p.head] = queued{}
		p.head++
		if list := p.objects[q.object]; len(list) > 0 && list[len(list)-1].told.Equal(q.told) {
			delete(p.objects, q.object)
		}
	}
	if p.head > len(p.queue)/2 {
		p.queue, p.head = append([]queued(nil), p.queue[p.head:]...), 0
	}
}

// add keeps the purges of one thing in the order they were told, the issued rising too: each holds from its own grace
// on, so that a later one must not put an earlier one off.
func (p *Purges) add(list []purge, issued, now time.Time) []purge {
	for len(list) > 1 && now.Sub(list[1].told) > p.Grace { // the one before it says nothing more
		list = list[1:]
	}
	n := len(list)
	switch {
	case n > 0 && !issued.After(list[n-1].issued):
		return list
	case n >= mostPending:
		list[n-1].issued = issued
		return list
	}
	return append(list, purge{issued, now})
}

// Heeded is the issue of the latest purge of an object that was told longer than the grace ago, and when it was told;
// both are zero where there is none.
func (p *Purges) Heeded(object string, group int) (issued, told time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for _, list := range [][]purge{p.objects[object], p.groups[group]} {
		for _, one := range list {
			if now.Sub(one.told) > p.Grace && one.issued.After(issued) {
				issued, told = one.issued, one.told
			}
		}
	}
	return issued, told
}

// Room bounds the lookups open at once, shared out among those who hold them, and the bytes of answers held for them.
type Room struct {
	Clock  env.Ground
	mu     sync.Mutex // of shares
	shares *Shares
	most   int64
	held   atomic.Int64
}

// Places is one holder's way into the room.
type Places struct {
	room *Room
	its  *Holder
}

// NewRoom makes room for so many lookups and so many bytes.
func NewRoom(g env.Ground, lookups int, bytes int64) *Room {
	return &Room{Clock: g, shares: NewShares(lookups), most: bytes}
}

// For gives a holder its way in, by name; the first to ask is never forgotten.
func (r *Room) For(name string, weight float64) *Places {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Places{r, r.shares.Holder(r.Clock.Now(), name, weight)}
}

// Enter takes a place, if there is one for this holder.
func (p *Places) Enter() bool {
	p.room.mu.Lock()
	defer p.room.mu.Unlock()
	return p.room.shares.Enter(p.room.Clock.Now(), p.its)
}

// Leave gives a place back.
func (p *Places) Leave() {
	p.room.mu.Lock()
	defer p.room.mu.Unlock()
	p.room.shares.Leave(p.room.Clock.Now(), p.its)
}

// Open is how many places are taken in all.
func (r *Room) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.Open()
}

// Hold takes room for an answer, if there is any.
func (r *Room) Hold(bytes int) bool {
	if r.held.Add(int64(bytes)) <= r.most {
		return true
	}
	r.held.Add(-int64(bytes))
	return false
}

// Free gives the room of answers back.
func (r *Room) Free(bytes int) { r.held.Add(-int64(bytes)) }
