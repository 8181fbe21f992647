package scenario

import (
	"strings"
	"time"
)

// discoveryFaultKinds returns the kinds of faults of the discovery servers.
func discoveryFaultKinds() []FaultKind {
	return []FaultKind{
		{"bulletin_lag", "a discovery server sends events late", 2000, 8000, 2, false, (*Scenario).discoveryLag},
		{"bulletin_break", "the discovery servers close their connections in the middle of an event", 100, 100, 2, false, (*Scenario).discoveryBreak},
		{"bulletin_stop", "a discovery server keeps its connections open and sends nothing", 1000, 3500, 1, false, (*Scenario).discoveryStall},
		{"bulletin_double", "the discovery servers send every event twice", 3000, 20000, 1, false, (*Scenario).discoveryDuplicate},
		{"bulletin_spoilt", "the discovery servers send an invalid line", 100, 100, 1, false, (*Scenario).discoveryGarbage},
		{"bulletin_gap", "the discovery servers leave out an event", 500, 4000, 1, false, (*Scenario).discoveryGap},
		{"bulletin_gone", "a discovery server is unreachable", 200, 3000, 1, false, (*Scenario).discoveryGone},
	}
}

func (s *Scenario) discoveryLag(f Fault) {
	d := s.discoveryServers[f.Target%2]
	d.lag = time.Duration(200+f.Variant%2500) * time.Millisecond
	s.after(f.duration(), func() { d.lag = 0; d.notifyWatches() })
}

func (s *Scenario) discoveryBreak(f Fault) {
	for _, d := range s.discoveryServers {
		for _, c := range append([]*watchConn(nil), d.conns...) {
			if c.next > 0 {
				c.breakInEvent()
			}
		}
	}
}

func (s *Scenario) discoveryStall(f Fault) {
	d := s.discoveryServers[f.Target%2]
	d.silent = true
	s.after(f.duration(), func() { d.silent = false; d.notifyWatches() })
}

func (s *Scenario) discoveryDuplicate(f Fault) {
	for _, d := range s.discoveryServers {
		d.duplicates = true
		s.after(f.duration(), func() { d.duplicates = false })
	}
}

func (s *Scenario) discoveryGone(f Fault) {
	if d := s.discoveryServers[f.Target%2]; !d.down {
		d.stopFor(f.duration())
	}
}

func (s *Scenario) discoveryGarbage(f Fault) {
	for _, d := range s.discoveryServers {
		for _, c := range d.conns {
			if c.next > 0 && !d.silent {
				c.send(pick([]string{"{\"no\":}\n", "\x00\xff\n", "{\"no\":9999999,\"roster\":{}}\n", strings.Repeat("~", 3000) + "\n"}, f.Variant))
			}
		}
	}
}

func (s *Scenario) discoveryGap(f Fault) {
	for _, d := range s.discoveryServers {
		d.skipsEvent = true
	}
	s.after(f.duration(), func() {
		for _, d := range s.discoveryServers {
			d.skipsEvent = false
		}
	})
}
