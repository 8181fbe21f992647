package scenario

import "time"

// connectionFaultKinds returns the kinds of faults of networks, of connections and of caches' answers on them.
func connectionFaultKinds() []FaultKind {
	return []FaultKind{
		{"split_caches", "a network partition separates gateways from edges", 200, 4000, 2, false, split(groupGateways, "edges")},
		{"split_clients", "a network partition separates clients from gateways", 200, 3000, 1, false, split(groupClients, groupGateways)},
		{"split_bulletin", "a network partition separates gateways from discovery", 200, 4000, 1, false, split(groupGateways, groupDiscovery)},
		{"cache_deaf", "a cache does not read from its connections", 1000, 4000, 1, false, ofUndisturbedCache((*Scenario).cacheStopsReading)},
		{"close_cache", "caches close connections gracefully, with or without attempts in flight", 500, 4000, 2, false, (*Scenario).closeCache},
		{"reset_cache", "connections to caches are reset at any byte, in either direction", 500, 4000, 3, false, (*Scenario).resetCache},
		{"reset_client", "connections of clients are reset at any byte, in either direction", 500, 4000, 2, false, (*Scenario).resetClient},
		{"spoilt_noise", "caches send bytes that are not an answer", 500, 4000, 1, false, corrupting("noise")},
		{"spoilt_endless", "answers of caches announce more bytes than they have", 500, 4000, 1, false, corrupting("endless")},
		{"spoilt_short", "answers of caches are truncated", 500, 4000, 1, false, corrupting("short")},
		{"spoilt_double", "answers of caches are sent twice", 500, 4000, 1, false, corrupting("double")},
		{"spoilt_late", "answers of caches are sent after their timeout", 500, 4000, 1, false, corrupting("late")},
		{"spoilt_stray", "caches send answers without a request before their answers", 500, 4000, 1, false, corrupting("stray")},
		{"spoilt_fault", "every edge answers one request in four with an error", 500, 4000, 1, false, corrupting("fault")},
	}
}

// Names of host groups that a network partition can separate, as digests contain them.
const (
	groupGateways  = "gateways"
	groupDiscovery = "bulletin"
	groupClients   = "clients"
)

// split returns the begin function of a fault that cuts the network between two groups of hosts.
func split(a, b string) func(*Scenario, Fault) {
	return func(s *Scenario, f Fault) {
		s.sim.Split(a, b)
		if a == groupClients {
			s.clients.markSplit()
		}
		s.after(f.duration(), func() { s.sim.Heal(a, b) })
	}
}

// markSplit marks all open connections of clients as affected by a network
// partition. Bytes written on them may arrive late or not at all.
func (a *clientActor) markSplit() {
	for _, g := range a.scenario.gateways {
		for _, c := range a.pool[g] {
			c.isSplit = true
		}
	}
}

// repeat calls act at random times until the fault ends. The first call is immediate.
func (s *Scenario) repeat(f Fault, act func()) {
	until := s.sim.Now() + f.duration()
	var next func()
	next = func() {
		if s.sim.Now() > until {
			return
		}
		act()
		s.after(time.Duration(20+s.randN(300))*time.Millisecond, next)
	}
	next()
}

// resetCache lets random connections to caches be reset after a random number of bytes, until the fault ends.
func (s *Scenario) resetCache(f Fault) {
	s.repeat(f, func() {
		conn := s.pickCacheConn()
		if conn == nil {
			return
		}
		if s.randN(2) == 0 {
			conn.end.ResetAfterIn = 1 + s.randN(9000)
		} else {
			conn.end.ResetAfterOut = 1 + s.randN(400)
		}
	})
}

// resetClient lets random connections of clients be reset after a random number of bytes, until the fault ends.
func (s *Scenario) resetClient(f Fault) {
	s.repeat(f, func() {
		pool := s.clients.pool[pick(s.gateways, s.randN(1<<16))]
		if len(pool) == 0 {
			return
		}
		c := pick(pool, s.randN(1<<16))
		if !c.up || c.closed {
			return
		}
		c.misbehaves = true
		if s.randN(2) == 0 {
			c.end.ResetAfterIn = 1 + s.randN(300)
		} else {
			c.end.ResetAfterOut = 1 + s.randN(9000)
		}
	})
}

// closeCache closes random connections at the caches' side until the fault ends.
func (s *Scenario) closeCache(f Fault) {
	s.repeat(f, func() {
		if conn := s.pickCacheConn(); conn != nil {
			conn.end.Close()
			conn.endAtCache(false)
		}
	})
}

// pickCacheConn returns a random connection of a random cache, or nil if that cache has none.
func (s *Scenario) pickCacheConn() *cacheConn {
	cache := pick(s.caches, s.randN(1<<16))
	if len(cache.conns) == 0 {
		return nil
	}
	return pick(cache.conns, s.randN(1<<16))
}
