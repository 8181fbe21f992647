// Package upstream sends attempts to the caches and receives their responses. It makes no routing
// decisions: the dispatcher says which cache an attempt goes to, and is told the outcome of each attempt.
//
// The package owns a pool of connections. Each connection carries many attempts at once, and the responses
// arrive in any order. The pool opens at most Config.MaxConns connections in total and maxConnsPerCache to one
// cache. At most maxQueuedBytes of lines wait on one connection, and a response has at most maxResponseBytes.
//
// Each connection has one goroutine that reads responses and one that writes the lines that could not be
// written at once. Both end with the connection. All connections end with the pool's lifetime.
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
	"foldslip/internal/fairshare"
	"foldslip/internal/purgelog"
	"foldslip/internal/settings"
)

// maxConnsPerCache is the maximum number of connections to one cache. A further connection is opened
// only if those that exist have no free stream for the attempt.
const maxConnsPerCache = 4

// Config holds the dependencies and limits of a Pool.
type Config struct {
	Environment env.Environment
	Lifetime    *env.Lifetime // all connections end with it
	Settings    *settings.Settings
	Dispatcher  *dispatch.Dispatcher
	Registry    *cacheregistry.Registry
	Purges      *purgelog.Log
	MaxConns    int // to all caches together, including those being dialled
}

// Pool holds the connections to caches. It is safe for concurrent use. A goroutine that holds the pool's
// lock may acquire a connection's lock, but not the other way round.
type Pool struct {
	env        env.Environment
	lifetime   *env.Lifetime
	settings   *settings.Settings
	dispatcher *dispatch.Dispatcher
	registry   *cacheregistry.Registry
	purges     *purgelog.Log
	maxConns   int
	strays     *fairshare.Limiter // of responses to no open attempt

	mu        sync.Mutex
	conns     map[connKey][]*cacheConn // by connKey
	connCount int

	addedAttempts atomic.Int64 // attempts added to connections since the start
	openAttempts  atomic.Int64 // attempts whose outcome has not been reported
	group         env.Group    // runs the connections' goroutines
}

// NewPool returns a pool that has no connections.
func NewPool(config Config) *Pool {
	return &Pool{
		env:        config.Environment,
		lifetime:   config.Lifetime,
		settings:   config.Settings,
		dispatcher: config.Dispatcher,
		registry:   config.Registry,
		purges:     config.Purges,
		maxConns:   config.MaxConns,
		strays:     fairshare.NewLimiter(config.Environment),
		conns:      map[connKey][]*cacheConn{},
		group:      config.Environment.NewGroup(),
	}
}

// Wait blocks until all connections have ended, which happens soon after the end of the pool's lifetime.
func (p *Pool) Wait() { p.group.Wait() }

// Load returns the number of open attempts and the number of connections, including those being dialled.
func (p *Pool) Load() (attempts, conns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, ofCache := range p.conns {
		conns += len(ofCache)
	}
	return int(p.openAttempts.Load()), conns
}

// EvictIdle closes the connection that has been idle longest, to free its descriptor for another use. It
// returns false if no connection is idle.
func (p *Pool) EvictIdle() bool {
	p.mu.Lock()
	conn := p.removeLongestIdle()
	p.mu.Unlock()
	if conn == nil {
		return false
	}
	conn.closeEvicted()
	return true
}

// connKey is the key of a cache's connections in the pool. A cache that moves to another address gets new connections, and
// so does a new process at an address of which the connections may lead to the process before it.
type connKey struct {
	id, addr    string
	incarnation uint64
}

func connKeyOf(cache *cacheregistry.Cache) connKey {
	return connKey{cache.ID, cache.Addr, cache.Incarnation}
}

// compare orders keys by the order in which their caches were registered.
func (k connKey) compare(other connKey) int { return cmp.Compare(k.incarnation, other.incarnation) }

// pickConn returns a connection to a cache for an attempt of a lookup. It prefers a connection that has
// a free stream and on which no response to an earlier attempt of the same lookup may still arrive.
// Otherwise it opens a new connection, unless the cache has maxConnsPerCache usable connections or the
// pool has MaxConns. At either limit it returns the cache's usable connection with the fewest attempts.
// If the pool has MaxConns connections and none of the usable ones is to this cache, a new connection
// replaces the one that has been idle longest. pickConn returns nil if no connection is idle then.
func (p *Pool) pickConn(cache *cacheregistry.Cache, lookupID string) *cacheConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := connKeyOf(cache)
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
	// The limit keeps descriptors free for discovery, operators and clients when there are many caches.
	if p.connCount >= p.maxConns {
		if leastLoaded != nil {
			return leastLoaded
		}
		if evicted = p.removeLongestIdle(); evicted == nil {
			return nil
		}
	}
	return p.openConn(cache, evicted)
}

// openConn adds a connection to the pool and dials it in a goroutine of its own. If evicted is not nil,
// it is closed before the dial to free its descriptor. The caller holds the pool's lock.
func (p *Pool) openConn(cache *cacheregistry.Cache, evicted *cacheConn) *cacheConn {
	conn := newCacheConn(p, cache, evicted)
	p.connCount++
	p.conns[conn.key] = append(p.conns[conn.key], conn)
	p.group.Go("cache_conn", func() error { conn.run(); return nil })
	return conn
}

// removeLongestIdle removes the idle connection whose last response is the oldest from the pool and
// returns it. The caller closes it. It returns nil if no connection is idle, or if the chosen connection
// receives an attempt meanwhile. The caller holds the pool's lock.
func (p *Pool) removeLongestIdle() *cacheConn {
	var longest *cacheConn
	var since time.Time
	for _, ofCache := range p.conns {
		for _, conn := range ofCache {
			conn.mu.Lock()
			if conn.isIdle() && (longest == nil || cmp.Or(conn.lastResponseAt.Compare(since), conn.key.compare(longest.key)) < 0) {
				longest, since = conn, conn.lastResponseAt
			}
			conn.mu.Unlock()
		}
	}
	if longest == nil || !longest.markClosedIfIdle() {
		return nil
	}
	p.remove(longest)
	return longest
}

// remove removes a connection from the pool. It does nothing if the connection was removed before. The
// caller holds the pool's lock.
func (p *Pool) remove(conn *cacheConn) {
	before := len(p.conns[conn.key])
	remaining := slices.DeleteFunc(p.conns[conn.key], func(c *cacheConn) bool { return c == conn })
	p.connCount -= before - len(remaining)
	p.conns[conn.key] = remaining
	if len(remaining) == 0 {
		delete(p.conns, conn.key)
	}
}
