package scenario

import "time"

// connectionFaultKinds are the faults of networks, connections and answers on them.
func connectionFaultKinds() []FaultKind {
	return []FaultKind{
		{"split_caches", "the network splits gateways from caches", 200, 4000, 2, false, split(groupGateways, "edges")},
		{"split_clients", "the network splits clients from gateways", 200, 3000, 1, false, split(groupClients, groupGateways)},
		{"split_bulletin", "the network splits gateways from the bulletin", 200, 4000, 1, false, split(groupGateways, groupDiscovery)},
		{"cache_deaf", "a cache reads nothing on its connections", 1000, 4000, 1, false, ofUndisturbedCache((*Scenario).cacheStopsReading)},
		{"close_cache", "caches close connections in order, with sends open on them or not", 500, 4000, 2, false, (*Scenario).closeCache},
		{"reset_cache", "connections to caches are reset at any byte, in either direction", 500, 4000, 3, false, (*Scenario).resetCache},
		{"reset_client", "connections of clients are reset at any byte, in either direction", 500, 4000, 2, false, (*Scenario).resetClient},
		{"spoilt_noise", "answers of caches come as noise", 500, 4000, 1, false, corrupting("noise")},
		{"spoilt_endless", "answers of caches say a length that never comes", 500, 4000, 1, false, corrupting("endless")},
		{"spoilt_short", "answers of caches stop short", 500, 4000, 1, false, corrupting("short")},
		{"spoilt_double", "answers of caches come twice", 500, 4000, 1, false, corrupting("double")},
		{"spoilt_late", "answers of caches come after their time", 500, 4000, 1, false, corrupting("late")},
		{"spoilt_stray", "answers to nothing come before answers", 500, 4000, 1, false, corrupting("stray")},
		{"spoilt_fault", "one answer in four is an error, at every cache", 500, 4000, 1, false, corrupting("fault")},
	}
}

// Groups of hosts that networks can be split between, as digests spell them.
const (
	groupGateways  = "gateways"
	groupDiscovery = "bulletin"
	groupClients   = "clients"
)

// split makes a fault that cuts the network between two groups of hosts.
func split(a, b string) func(*Scenario, Fault) {
	return func(s *Scenario, f Fault) {
		s.sim.Split(a, b)
		if a == groupClients {
			s.clients.markSplit()
		}
		s.after(f.duration(), func() { s.sim.Heal(a, b) })
	}
}

// markSplit marks all connections of clients: what is written on them may arrive late or not at all.
func (a *clientActor) markSplit() {
	for _, g := range a.scenario.gateways {
		for _, c := range a.pool[g] {
			c.isSplit = true
		}
	}
}

func (s *Scenario) resetCache(f Fault) {
	till := s.sim.Now() + f.duration()
	var next func()
	next = func() {
		if s.sim.Now() > till {
			return
		}
		if c := pick(s.caches, s.randN(1<<16)); len(c.conns) > 0 {
			conn := pick(c.conns, s.randN(1<<16))
			if s.randN(2) == 0 {
				conn.end.ResetAfterIn = 1 + s.randN(9000)
			} else {
				conn.end.ResetAfterOut = 1 + s.randN(400)
			}
		}
		s.after(time.Duration(20+s.randN(300))*time.Millisecond, next)
	}
	next()
}

func (s *Scenario) resetClient(f Fault) {
	till := s.sim.Now() + f.duration()
	var next func()
	next = func() {
		if s.sim.Now() > till {
			return
		}
		if pool := s.clients.pool[pick(s.gateways, s.randN(1<<16))]; len(pool) > 0 {
			if c := pick(pool, s.randN(1<<16)); c.up && !c.closed {
				c.misbehaves = true
				if s.randN(2) == 0 {
					c.end.ResetAfterIn = 1 + s.randN(300)
				} else {
					c.end.ResetAfterOut = 1 + s.randN(9000)
				}
			}
		}
		s.after(time.Duration(20+s.randN(300))*time.Millisecond, next)
	}
	next()
}

func (s *Scenario) closeCache(f Fault) {
	till := s.sim.Now() + f.duration()
	var next func()
	next = func() {
		if s.sim.Now() > till {
			return
		}
		if c := pick(s.caches, s.randN(1<<16)); len(c.conns) > 0 {
			conn := pick(c.conns, s.randN(1<<16))
			conn.end.Close()
			conn.endAtCache(false)
		}
		s.after(time.Duration(20+s.randN(300))*time.Millisecond, next)
	}
	next()
}
