package scenario

import (
	"fmt"
	"time"
)

// clientFaultKinds returns the kinds of purges and of faults of clients.
func clientFaultKinds() []FaultKind {
	return []FaultKind{
		{"purge_object", "a popular object is purged", 100, 100, 3, false, (*Scenario).purgeObject},
		{"purge_group", "a group is purged", 100, 100, 2, false, (*Scenario).purgeGroup},
		{"purge_overlap", "objects and their groups are purged repeatedly", 500, 3000, 2, false, (*Scenario).purgeOverlap},
		{"burst", "clients send eight times as many lookups", 1000, 4000, 2, false, (*Scenario).burst},
		{"hot_object", "half of the segment lookups are for one object", 3000, 15000, 1, false, (*Scenario).hotObject},
		{"bad_flood", "clients send hundreds of invalid requests", 500, 3000, 2, false, (*Scenario).badFlood},
		{"clients_leave", "one client in three closes its connection before the answer", 2000, 8000, 2, false, (*Scenario).clientsCancel},
		{"clients_greedy", "clients open connections without limit while all caches are slow", 2000, 6000, 1, false, (*Scenario).clientsGreedy},
		{"clients_mute", "one client in six stops reading", 1000, 5000, 1, false, (*Scenario).clientsStall},
	}
}

func (s *Scenario) purgeObject(f Fault) {
	s.purge(pick([]string{"s0", "s1", "p0", "p1", "s2"}, f.Variant), 0)
}

func (s *Scenario) purgeGroup(f Fault) {
	s.purge("", groupOf(pick([]string{"s0", "p0", "s1"}, f.Variant)))
}

func (s *Scenario) purgeOverlap(f Fault) {
	for at := time.Duration(0); at < f.duration(); at += 120 * time.Millisecond {
		s.after(at, func() {
			if s.randN(3) == 0 {
				s.purgeGroup(Fault{Variant: s.randN(100)})
			} else {
				s.purgeObject(Fault{Variant: s.randN(100)})
			}
		})
	}
}

func (s *Scenario) burst(f Fault) {
	s.clients.rateFactor = 8
	for _, g := range s.gateways { // 12 lookups, one every 10 ms, in addition to the higher rate
		for i := range 12 {
			s.after(time.Duration(i)*10*time.Millisecond, func() {
				if s.clients.open {
					s.clients.drawLookup(g)
				}
			})
		}
	}
	s.after(f.duration(), func() { s.clients.rateFactor = 1 })
}

func (s *Scenario) hotObject(f Fault) {
	s.clients.hotObject = fmt.Sprintf("s%d", 100+f.Variant%50)
	s.after(f.duration(), func() { s.clients.hotObject = "" })
}

func (s *Scenario) badFlood(f Fault) {
	g := pick(s.gateways, f.Target)
	for at := time.Duration(0); at < f.duration(); at += 100 * time.Millisecond {
		s.after(at, func() {
			for range 15 {
				s.clients.sendInvalid(g, s.randN(100))
			}
		})
	}
}

func (s *Scenario) clientsCancel(f Fault) {
	s.clients.cancelOneIn = 3
	s.after(f.duration(), func() { s.clients.cancelOneIn = 0 })
}

func (s *Scenario) clientsStall(f Fault) {
	s.clients.stallOneIn = 6
	s.after(f.duration(), func() { s.clients.stallOneIn = 0 })
}

func (s *Scenario) clientsGreedy(f Fault) {
	s.clients.ignoresConnLimit = true
	for _, c := range s.caches {
		c.slowdown = 12
	}
	for i := range 200 {
		s.after(time.Duration(i)*f.duration()/200, func() {
			if s.clients.open {
				s.clients.drawLookup(pick(s.gateways, i))
			}
		})
	}
	s.after(f.duration(), func() {
		s.clients.ignoresConnLimit = false
		for _, c := range s.caches {
			c.slowdown = 1
		}
	})
}
