package frontend

import "cmp"

// maxEvictIdleWaits bounds how often EvictIdle waits finalReadTimeout for the evicted connection to close.
const maxEvictIdleWaits = 2

// EvictIdle evicts an idle connection, in the order of evictLongestIdle, to free its descriptor. It waits a short time
// for the connection to close. It returns false if no connection is idle.
func (s *Server) EvictIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.conns)
	if !s.evictLongestIdle() {
		return false
	}
	for n := 0; n < maxEvictIdleWaits && len(s.conns) >= before; n++ {
		s.mu.Unlock()
		s.evicted.Wait(finalReadTimeout)
		s.mu.Lock()
	}
	return true
}

// evictLongestIdle evicts the connection that has been idle longest. Connections that never had a satisfied lookup go
// first, and of these the ones that have not sent a part of a request. This order protects active clients against
// hundreds of silent connections. evictLongestIdle returns false if no connection is idle. The caller holds s.mu.
func (s *Server) evictLongestIdle() bool {
	c := s.longestIdle()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy { // a request has just arrived
		return false
	}
	if c.inputClosed { // no further request is accepted; the client may be slow to read its response
		c.closeLocked(reasonEvicted)
		delete(s.conns, c)
		return true
	}
	c.endWhenIdle(reasonEvicted)
	s.evicting++
	return true
}

// longestIdle returns the connection to evict next, or nil if no connection is idle. The caller holds s.mu.
func (s *Server) longestIdle() *clientConn {
	var longest *clientConn
	var lowestRank int
	for c := range s.conns {
		c.mu.Lock()
		if c.isEvictable() {
			rank := c.evictionRank()
			if longest == nil || cmp.Or(rank-lowestRank, c.idleSince.Compare(longest.idleSince), cmp.Compare(c.number, longest.number)) < 0 {
				longest, lowestRank = c, rank
			}
		}
		c.mu.Unlock()
	}
	return longest
}

// isEvictable reports whether the connection is idle and may be evicted. A connection that the server already wants to
// close is evictable only if its input is closed. The caller holds c.mu.
func (c *clientConn) isEvictable() bool {
	return !c.isBusy && (c.endReason == "" || c.inputClosed) && c.closeReason == ""
}

// evictionRank returns the rank of the connection in the eviction order. Lower ranks are evicted first. The caller
// holds c.mu.
func (c *clientConn) evictionRank() int {
	rank := 0
	if c.requestBegun {
		rank++
	}
	if c.hadSatisfiedLookup {
		rank += 2
	}
	return rank
}
