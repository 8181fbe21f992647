// Package upstream is the gateway's side toward the caches: a pool of connections, each of which carries many attempts at once, the
// request lines that go out on them and the responses that come back in any order. It decides nothing: the dispatcher says which cache
// an attempt goes to, and learns how each attempt ended.
//
// Bounds: Config.MaxConns connections in all, maxConnsPerCache to one cache, maxQueuedBytes of lines that wait on one connection,
// maxResponseBytes of a response. Each connection has a goroutine that reads and one that writes what did not go out at once; both end
// with the connection, and all connections with the pool's lifetime.
package upstream

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldslip/internal/cacheregistry"
	"foldslip/internal/dispatch"
	"foldslip/internal/env"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

// maxConnsPerCache bounds the connections to one cache; a second one is opened only when the first is full.
const maxConnsPerCache = 4

// Config is what a pool works with.
type Config struct {
	Environment env.Environment
	Lifetime    *env.Lifetime // all connections end with it
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Registry    *cacheregistry.Registry
	Purges      *purgelog.Log
	MaxConns    int // to all caches together, those being dialled included
}

// Pool holds the connections to caches. It is safe for concurrent use. A goroutine may take the pool's lock and then a connection's, never
// the other way round.
type Pool struct {
	env        env.Environment
	lifetime   *env.Lifetime
	settings   *settings.Settings
	dispatcher *dispatch.Dispatcher
	registry   *cacheregistry.Registry
	purges     *purgelog.Log
	maxConns   int

	mu        sync.Mutex
	conns     map[string][]*cacheConn // by connKey
	connCount int

	addedAttempts atomic.Int64 // since the start
	openAttempts  atomic.Int64 // whose outcome has not been reported
	group         env.Group    // of the connections' goroutines
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	return &Pool{
		env:        config.Environment,
		lifetime:   config.Lifetime,
		settings:   config.Settings,
		dispatcher: config.Dispatcher,
		registry:   config.Registry,
		purges:     config.Purges,
		maxConns:   config.MaxConns,
		conns:      map[string][]*cacheConn{},
		group:      config.Environment.NewGroup(),
	}
}

// Wait waits for all connections to end, which they do soon after the pool's lifetime.
func (p *Pool) Wait() { p.group.Wait() }

// Load returns how many attempts are open, and how many connections there are or are being dialled.
func (p *Pool) Load() (attempts, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ofCache := range p.conns {
		conns += len(ofCache)
	}
	return int(p.openAttempts.Load()), conns
}

// EvictIdle closes the connection that has been idle longest, so that its descriptor is free for something else; false if each has an
// attempt.
func (p *Pool) EvictIdle() bool {
	p.mu.Lock()
	conn := p.takeLongestIdle()
	p.mu.Unlock()
	if conn == nil {
		return false
	}
	conn.closeEvicted()
	return true
}

// connKey is by what connections are held: a cache that moves to another address has new ones.
func connKey(cache *cacheregistry.Cache) string { return cache.ID + " " + cache.Addr }

// pickConn returns a connection to a cache for an attempt of a lookup. It prefers one with room for another stream on which no response to
// an earlier attempt of that lookup may still come, then a new one, then the one with the fewest attempts. Where there are as many
// connections as there may be, a new one takes the place of the one idle longest; nil if each has an attempt and none is to this cache.
func (p *Pool) pickConn(cache *cacheregistry.Cache, lookupID string) *cacheConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := connKey(cache)
	var leastLoaded *cacheConn
	usable, fewest := 0, 0
	for _, conn := range p.conns[key] {
		load := conn.load(lookupID)
		if !load.isUsable {
			continue
		}
		usable++
		if !load.mayAnswerLate && load.attempts < p.settings.MaxStreams {
			return conn
		}
		if leastLoaded == nil || load.attempts < fewest {
			leastLoaded, fewest = conn, load.attempts
		}
	}
	if usable >= maxConnsPerCache {
		return leastLoaded
	}
	var evicted *cacheConn
	if p.connCount >= p.maxConns { // guards the descriptors of the watch, the operators and the clients against many caches
		if leastLoaded != nil {
			return leastLoaded
		}
		if evicted = p.takeLongestIdle(); evicted == nil {
			return nil
		}
	}
	return p.openConn(cache, evicted)
}

// openConn adds a connection and dials it in a goroutine of its own, once the evicted one (nil: none) has been closed for its descriptor.
// Under the pool's lock.
func (p *Pool) openConn(cache *cacheregistry.Cache, evicted *cacheConn) *cacheConn {
	conn := newCacheConn(p, cache, evicted)
	p.connCount++
	p.conns[conn.key] = append(p.conns[conn.key], conn)
	p.group.Go("cache_conn", func() error { conn.run(); return nil })
	return conn
}

// takeLongestIdle takes the idle connection whose last response is the oldest out of the pool; nil if each has an attempt or is not up.
// The caller closes it. Under the pool's lock.
func (p *Pool) takeLongestIdle() *cacheConn {
	var longest *cacheConn
	var since time.Time
	for _, ofCache := range p.conns {
		for _, conn := range ofCache {
			conn.mu.Lock()
			if conn.isIdle() && (longest == nil || cmp.Or(conn.lastResponseAt.Compare(since), cmp.Compare(conn.key, longest.key)) < 0) {
				longest, since = conn, conn.lastResponseAt
			}
			conn.mu.Unlock()
		}
	}
	if longest == nil || !longest.closeToAttempts() {
		return nil
	}
	p.remove(longest)
	return longest
}

// remove takes a connection out of the pool; a second time does nothing. Under the pool's lock.
func (p *Pool) remove(conn *cacheConn) {
	before := len(p.conns[conn.key])
	remaining := slices.DeleteFunc(p.conns[conn.key], func(c *cacheConn) bool { return c == conn })
	p.connCount -= before - len(remaining)
	p.conns[conn.key] = remaining
	if len(remaining) == 0 {
		delete(p.conns, conn.key)
	}
}
