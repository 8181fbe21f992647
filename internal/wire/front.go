package wire

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/memory"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
)

const (
	idleClient  = 20 * time.Second        // without a request on it
	slowRequest = 2 * time.Second         // from a request's first byte to its last
	firstWithin = 2500 * time.Millisecond // from connecting to the first request's last byte
	slowAnswer  = time.Second             // past the deadline, for the client to take the last byte
	headRoom    = 256                     // before an answer's bytes, for its head
	lingerFor   = 200 * time.Millisecond
	lingerBytes = 256 << 10
	acceptAgain = 10 * time.Millisecond
	tellAgain   = time.Second
	lastLook    = 5 * time.Millisecond   // for a request that came just before this side ends its connection
	briefLook   = 200 * time.Microsecond // the same, while a new connection waits for its place
	mostAhead   = 64 << 10               // bytes that a client may send before its answer; past it nobody sees it go: no lookup begins
	unseenFor   = time.Second            // after accepting waited, connections are looked at for their end before a lookup begins
)

// Front is the side of the clients.
type Front struct {
	g        env.Ground
	terms    *settings.Settings
	router   *dispatch.Dispatcher
	links    *Links
	room     *memory.Controller
	places   *memory.Gate        // in it, of direct clients
	most     int                 // connections
	spare    int                 // of these, for those that make room, while they are looked at once more
	Routes   *rollout.Controller // nil: a lookup may go anywhere
	kinds    map[string]int
	mu       sync.Mutex
	clients  map[*client]bool
	draining bool
	ready    bool
	count    int64 // connections so far
	group    env.Group
	accepted env.Bell  // rung when no more are accepted
	leaving  int       // displaced connections that are looked at once more
	left     env.Bell  // rung when one of them has ended
	waited   time.Time // when accepting last waited; Accept's own
}

// NewFront makes a front that takes so many connections at most.
func NewFront(g env.Ground, terms *settings.Settings, router *dispatch.Dispatcher, links *Links, room *memory.Controller, most int) *Front {
	f := &Front{g: g, terms: terms, router: router, links: links, room: room, places: room.Gate("clients", 1), most: most, spare: most / 8, kinds: map[string]int{},
		clients: map[*client]bool{}, group: g.Group(), accepted: g.Bell(), left: g.Bell()}
	for i, k := range terms.Kinds {
		f.kinds[k] = i
	}
	return f
}

// Load is how many connections there are.
func (f *Front) Load() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients)
}

// Ready lets pings be answered with 200.
func (f *Front) Ready() {
	f.mu.Lock()
	f.ready = true
	f.mu.Unlock()
}

// Accept takes clients until the listener closes; see Shut.
func (f *Front) Accept(life *env.Life, from net.Listener) error {
	defer f.accepted.Ring()
	again := f.g.Bell() // rung at the end
	defer life.OnEnd(again.Ring)()
	var told time.Time
	last := int64(-1) // connections when it was looked for the last ones
	for {
		conn, err := from.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Guards the connections that wait to be accepted when no more are wanted: closing the listener resets them, with
			// the requests that may be on them. So it closes after a look that found none.
			if last == f.count {
				from.Close()
				return nil
			}
			last = f.count
			from.(limited).SetDeadline(f.g.Now().Add(lastLook))
			continue
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if f.g.Now().Sub(told) > tellAgain {
				told = f.g.Now()
				f.g.Log().Warn("accept_failed", "text", err.Error())
			}
			if env.NoDescriptor(err) && f.Yield() {
				f.waited = f.g.Now() // those that come now may have waited with a request on them, and have gone
				continue
			}
			if again.Wait(acceptAgain) {
				return nil
			}
			f.waited = f.g.Now()
			continue
		}
		c := &client{f: f, conn: conn, since: f.g.Now(), done: f.g.Bell()}
		c.done.Ring()
		f.mu.Lock()
		f.count++
		c.no = f.count
		for len(f.clients)-f.leaving >= f.most-f.spare && f.displace() {
		}
		for n := 0; len(f.clients) >= f.most && f.leaving > 0 && n < 8; n++ {
			f.mu.Unlock()
			f.left.Wait(lastLook)
			f.waited = f.g.Now()
			f.mu.Lock()
		}
		// It may have waited to be accepted, with a request on it, for longer than its client did.
		c.unseen = !f.waited.IsZero() && f.g.Now().Sub(f.waited) < unseenFor
		full := len(f.clients) >= f.most
		if !full {
			f.clients[c] = true
		}
		if f.draining { // it came just as the listener closes, and its request may be there
			c.going = "stopping"
		}
		f.mu.Unlock()
		f.group.Go("client", func() error { c.run(full); return nil })
	}
}

// Shut takes the connections that are waiting to be accepted and closes the listener; it does not wait for that.
func (f *Front) Shut(from net.Listener) {
	if l, ok := from.(limited); !ok || l.SetDeadline(f.g.Now()) != nil {
		from.Close()
	}
}

// displace makes room for a new connection, under the front's lock: the one longest without a request goes, first among
// those that never had a lookup satisfied, and of these first one without a part of a request. That guards usual clients against
// silent connections by the hundreds.
func (f *Front) displace() bool {
	var last *client
	var rank int
	for c := range f.clients {
		c.mu.Lock()
		if !c.busy && (c.going == "" || c.bad) && c.reason == "" {
			its := 0
			if c.begun {
				its++
			}
			if c.usual {
				its += 2
			}
			if last == nil || cmp.Or(its-rank, c.since.Compare(last.since), cmp.Compare(c.no, last.no)) < 0 {
				last, rank = c, its
			}
		}
		c.mu.Unlock()
	}
	if last == nil {
		return false
	}
	last.mu.Lock()
	defer last.mu.Unlock()
	if last.busy { // a request came this moment
		return false
	}
	if last.bad { // nothing it sends is taken any more; it may be slow to take its answer
		last.close("displaced")
		delete(f.clients, last)
		return true
	}
	last.retire("displaced")
	f.leaving++
	return true
}

// Yield ends a connection that waits for nothing, in the order of displace, so that its descriptor is free for something else; false
// where each has a lookup. It waits for the connection's last look, two of lastLook at most.
func (f *Front) Yield() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := len(f.clients)
	if !f.displace() {
		return false
	}
	for n := 0; n < 2 && len(f.clients) >= was; n++ {
		f.mu.Unlock()
		f.left.Wait(lastLook)
		f.mu.Lock()
	}
	return true
}

// inOrder is the connections in the order they came, so that one run is as the next; under the front's lock.
func (f *Front) inOrder() []*client {
	return slices.SortedFunc(maps.Keys(f.clients), func(a, b *client) int { return cmp.Compare(a.no, b.no) })
}

// Drain closes the connections without a lookup, and each other one once it is answered. A request that is there already, read
// or not, is taken and answered first.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for _, c := range f.inOrder() {
		c.mu.Lock()
		c.retire("stopping")
		c.mu.Unlock()
	}
}

// Unready answers pings with 503 from now on.
func (f *Front) Unready() {
	f.mu.Lock()
	f.ready = false
	f.mu.Unlock()
}

// Cut ends what is still open.
func (f *Front) Cut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.inOrder() {
		c.mu.Lock()
		c.close("stopped")
		c.mu.Unlock()
	}
}

// Wait waits for all connections to end, once the listener is closed.
func (f *Front) Wait() {
	f.accepted.Wait(-1)
	f.group.Wait()
}
