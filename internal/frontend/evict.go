package frontend

import "cmp"

// maxEvictIdleWaits bounds how often EvictIdle waits finalReadTimeout for the connection to end.
const maxEvictIdleWaits = 2

// EvictIdle ends a connection that waits for nothing, in the order of evictLongestIdle, so that its descriptor is free for something else;
// false if each has a lookup. It waits for that for a short while.
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

// evictLongestIdle ends the connection that has been idle longest: first among those that never had a lookup satisfied, and of these first
// one without a part of a request. That guards clients at work against silent connections by the hundreds. It returns false if no
// connection is idle. Under the server's lock.
func (s *Server) evictLongestIdle() bool {
	c := s.longestIdle()
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isBusy { // a request came this moment
		return false
	}
	if c.inputClosed { // nothing it sends is taken any more; it may be slow to take its response
		c.closeLocked(reasonEvicted)
		delete(s.conns, c)
		return true
	}
	c.endWhenIdle(reasonEvicted)
	s.evicting++
	return true
}

// longestIdle returns the connection that is evicted next, nil if none is idle. Under the server's lock.
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

// isEvictable reports whether the connection is idle and not ending already. Under its lock.
func (c *clientConn) isEvictable() bool {
	return !c.isBusy && (c.endReason == "" || c.inputClosed) && c.closeReason == ""
}

// evictionRank is lower for a connection that is evicted earlier. Under its lock.
func (c *clientConn) evictionRank() int {
	rank := 0
	if c.requestBegun {
		rank++
	}
	if c.wasSatisfied {
		rank += 2
	}
	return rank
}
