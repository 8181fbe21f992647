// Package frontend is the gateway's side toward its clients: an HTTP/1.1 server with its connections, a strict and bounded parser of
// requests, and the responses. It hands each lookup to the dispatcher, carries out the dispatcher's steps with the pool of connections to
// caches, and writes the response. Each connection has a goroutine that reads and, while a lookup is open on it, one that responds.
// Bounds: maxConns connections, of which idle ones give way to new ones; maxHeadBytes of a request's head; maxPipelinedBytes read ahead.
package frontend

import (
	"cmp"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"foldslip/internal/admission"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/route/rollout"
	"foldslip/internal/settings"
	"foldslip/internal/upstream"
)

const (
	idleTimeout         = 20 * time.Second        // without a request on it
	requestTimeout      = 2 * time.Second         // from a request's first byte to its last
	firstRequestTimeout = 2500 * time.Millisecond // from connecting to the first request's last byte
	responseWriteSlack  = time.Second             // past the deadline, for the client to take the last byte
	lingerTimeout       = 200 * time.Millisecond
	maxLingerBytes      = 256 << 10
	acceptRetryDelay    = 10 * time.Millisecond
	acceptLogInterval   = time.Second
	finalReadTimeout    = 5 * time.Millisecond   // for a request that came just before this side ends its connection
	evictionReadTimeout = 200 * time.Microsecond // the same, while a new connection waits for its place
	maxPipelinedBytes   = 64 << 10               // bytes that a client may send before its answer; past it nobody sees it go: no lookup begins
	acceptStallWindow   = time.Second            // after accepting waited, connections are looked at for their end before a lookup begins
)

// Server is the side of the clients.
type Server struct {
	env             env.Environment
	settings        *settings.Settings
	dispatcher      *dispatch.Dispatcher
	pool            *upstream.Pool
	admission       *admission.Controller
	gate            *admission.Gate     // in it, of direct clients
	maxConns        int                 // connections
	evictionReserve int                 // of these, for those that make room, while they are looked at once more
	Routes          *rollout.Controller // nil: a lookup may go anywhere
	kindByName      map[string]int
	mu              sync.Mutex
	conns           map[*clientConn]bool
	isDraining      bool
	isReady         bool
	acceptedCount   int64 // connections so far
	group           env.Group
	acceptDone      env.Notifier // rung when no more are accepted
	evicting        int          // displaced connections that are looked at once more
	evicted         env.Notifier // rung when one of them has ended
	acceptStalledAt time.Time    // when accepting last waited; Accept's own
}

// NewServer makes a front that takes so many connections at most.
func NewServer(g env.Environment, terms *settings.Settings, router *dispatch.Dispatcher, links *upstream.Pool, room *admission.Controller, most int) *Server {
	f := &Server{env: g, settings: terms, dispatcher: router, pool: links, admission: room, gate: room.Gate("clients", 1), maxConns: most, evictionReserve: most / 8, kindByName: map[string]int{},
		conns: map[*clientConn]bool{}, group: g.NewGroup(), acceptDone: g.NewNotifier(), evicted: g.NewNotifier()}
	for i, k := range terms.Kinds {
		f.kindByName[k] = i
	}
	return f
}

// ConnCount is how many connections there are.
func (f *Server) ConnCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// SetReady lets pings be answered with 200.
func (f *Server) SetReady() {
	f.mu.Lock()
	f.isReady = true
	f.mu.Unlock()
}

// Serve takes clients until the listener closes; see Shut.
func (f *Server) Serve(life *env.Lifetime, from net.Listener) error {
	defer f.acceptDone.Notify()
	again := f.env.NewNotifier() // rung at the end
	defer life.OnEnd(again.Notify)()
	var told time.Time
	last := int64(-1) // connections when it was looked for the last ones
	for {
		conn, err := from.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Guards the connections that wait to be accepted when no more are wanted: closing the listener resets them, with
			// the requests that may be on them. So it closes after a look that found none.
			if last == f.acceptedCount {
				from.Close()
				return nil
			}
			last = f.acceptedCount
			from.(deadlineListener).SetDeadline(f.env.Now().Add(finalReadTimeout))
			continue
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if f.env.Now().Sub(told) > acceptLogInterval {
				told = f.env.Now()
				f.env.Log().Warn("accept_failed", "text", err.Error())
			}
			if env.IsDescriptorExhausted(err) && f.EvictIdle() {
				f.acceptStalledAt = f.env.Now() // those that come now may have waited with a request on them, and have gone
				continue
			}
			if again.Wait(acceptRetryDelay) {
				return nil
			}
			f.acceptStalledAt = f.env.Now()
			continue
		}
		c := &clientConn{server: f, conn: conn, idleSince: f.env.Now(), responded: f.env.NewNotifier()}
		c.responded.Notify()
		f.mu.Lock()
		f.acceptedCount++
		c.number = f.acceptedCount
		for len(f.conns)-f.evicting >= f.maxConns-f.evictionReserve && f.evictLongestIdle() {
		}
		for n := 0; len(f.conns) >= f.maxConns && f.evicting > 0 && n < 8; n++ {
			f.mu.Unlock()
			f.evicted.Wait(finalReadTimeout)
			f.acceptStalledAt = f.env.Now()
			f.mu.Lock()
		}
		// It may have waited to be accepted, with a request on it, for longer than its client did.
		c.mayBeGone = !f.acceptStalledAt.IsZero() && f.env.Now().Sub(f.acceptStalledAt) < acceptStallWindow
		full := len(f.conns) >= f.maxConns
		if !full {
			f.conns[c] = true
		}
		if f.isDraining { // it came just as the listener closes, and its request may be there
			c.endReason = "stopping"
		}
		f.mu.Unlock()
		f.group.Go("client", func() error { c.run(full); return nil })
	}
}

// StopAccepting takes the connections that are waiting to be accepted and closes the listener; it does not wait for that.
func (f *Server) StopAccepting(from net.Listener) {
	if l, ok := from.(deadlineListener); !ok || l.SetDeadline(f.env.Now()) != nil {
		from.Close()
	}
}

// evictLongestIdle makes room for a new connection, under the front's lock: the one longest without a request goes, first among
// those that never had a lookup satisfied, and of these first one without a part of a request. That guards usual clients against
// silent connections by the hundreds.
func (f *Server) evictLongestIdle() bool {
	var last *clientConn
	var rank int
	for c := range f.conns {
		c.mu.Lock()
		if !c.busy && (c.endReason == "" || c.inputClosed) && c.closeReason == "" {
			its := 0
			if c.requestBegun {
				its++
			}
			if c.wasSatisfied {
				its += 2
			}
			if last == nil || cmp.Or(its-rank, c.idleSince.Compare(last.idleSince), cmp.Compare(c.number, last.number)) < 0 {
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
	if last.inputClosed { // nothing it sends is taken any more; it may be slow to take its answer
		last.closeLocked("displaced")
		delete(f.conns, last)
		return true
	}
	last.endWhenIdle("displaced")
	f.evicting++
	return true
}

// EvictIdle ends a connection that waits for nothing, in the order of displace, so that its descriptor is free for something else; false
// where each has a lookup. It waits for the connection's last look, two of lastLook at most.
func (f *Server) EvictIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	was := len(f.conns)
	if !f.evictLongestIdle() {
		return false
	}
	for n := 0; n < 2 && len(f.conns) >= was; n++ {
		f.mu.Unlock()
		f.evicted.Wait(finalReadTimeout)
		f.mu.Lock()
	}
	return true
}

// connsInOrder is the connections in the order they came, so that one run is as the next; under the front's lock.
func (f *Server) connsInOrder() []*clientConn {
	return slices.SortedFunc(maps.Keys(f.conns), func(a, b *clientConn) int { return cmp.Compare(a.number, b.number) })
}

// Drain closes the connections without a lookup, and each other one once it is answered. A request that is there already, read
// or not, is taken and answered first.
func (f *Server) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDraining = true
	for _, c := range f.connsInOrder() {
		c.mu.Lock()
		c.endWhenIdle("stopping")
		c.mu.Unlock()
	}
}

// SetNotReady answers pings with 503 from now on.
func (f *Server) SetNotReady() {
	f.mu.Lock()
	f.isReady = false
	f.mu.Unlock()
}

// Close ends what is still open.
func (f *Server) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.connsInOrder() {
		c.mu.Lock()
		c.closeLocked("stopped")
		c.mu.Unlock()
	}
}

// Wait waits for all connections to end, once the listener is closed.
func (f *Server) Wait() {
	f.acceptDone.Wait(-1)
	f.group.Wait()
}
