package upstream

import (
	"strings"

	"foldslip/internal/cacheregistry"
)

// What tests outside the package look at or set.

// WriteTimeout is how long a cache may take none of the bytes that wait for it.
const WriteTimeout = writeTimeout

// SetConnLimits leaves so many connections to caches, and so many attempts on each before a second is wanted.
func (p *Pool) SetConnLimits(conns, streams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns, p.settings.MaxStreams = conns, streams
}

// CanPick tells whether an attempt of a lookup would have a connection to a cache.
func (p *Pool) CanPick(cache *cacheregistry.Cache, id string) bool {
	return p.pickConn(cache, id) != nil
}

// AttemptsWithoutConn counts the attempts whose connection is not up.
func (p *Pool) AttemptsWithoutConn() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.conns {
		for _, c := range conns {
			c.mu.Lock()
			if c.conn == nil {
				n += len(c.attempts)
			}
			c.mu.Unlock()
		}
	}
	return n
}

// FirstCache is the id of a cache that there is a connection to; "": none.
func (p *Pool) FirstCache() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range p.conns {
		return strings.Fields(key)[0]
	}
	return ""
}

// FirstConnIsClosed tells of one connection that there is now whether it has closed.
func (p *Pool) FirstConnIsClosed() func() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.conns {
		c := conns[0]
		return func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.closed
		}
	}
	return nil
}
