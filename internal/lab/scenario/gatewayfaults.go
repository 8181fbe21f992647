package scenario

import (
	"strings"
	"time"
)

// gatewayFaultKinds returns the faults of gateways.
func gatewayFaultKinds() []FaultKind {
	return []FaultKind{
		{"gateway_kill", "a gateway is killed and starts again after the duration of the fault", 500, 5000, 3, false, (*Scenario).gatewayKill},
		{"gateway_half", "about 48 % of the gateways are killed at the same instant", 500, 4000, 2, false, (*Scenario).gatewayHalf},
		{"gateway_restart", "gateways are restarted one after another by SIGTERM", 1000, 1000, 2, false, (*Scenario).gatewayRestart},
		{"reload_good", "SIGHUP with a configuration file that names the other discovery server", 1000, 1000, 2, false, (*Scenario).reloadGood},
		{"reload_half", "SIGHUP with a truncated configuration file, and again with the complete file after the duration of the fault", 20, 800, 1, false, (*Scenario).reloadHalf},
		{"reload_bad", "SIGHUP with an invalid configuration file", 1000, 1000, 1, false, (*Scenario).reloadBad},
		{"clock_step", "clocks step by up to 5 s: gateways that start during the fault have another time of day", 2000, 9000, 1, false, (*Scenario).clockStep},
	}
}

func (s *Scenario) gatewayKill(f Fault) {
	g := pick(s.gateways, f.Target)
	g.kill()
	s.after(f.duration(), g.start)
}

func (s *Scenario) gatewayHalf(f Fault) {
	n := max(1, (len(s.gateways)*48+50)/100)
	for i := range n {
		g := s.gateways[(f.Target+i)%len(s.gateways)]
		g.kill()
		s.after(f.duration()+time.Duration(i)*100*time.Millisecond, g.start)
	}
}

func (s *Scenario) gatewayRestart(f Fault) {
	for i, g := range s.gateways {
		s.after(time.Duration(i)*6500*time.Millisecond, func() {
			if s.sim.Now() < warmup+time.Duration(s.Plan.Seconds)*time.Second {
				g.terminate(true)
			}
		})
	}
}

func (s *Scenario) reloadGood(f Fault) {
	for _, g := range s.gateways {
		previous := s.discoveryServers[g.discoveryIndex]
		g.discoveryIndex = 1 - g.discoveryIndex
		p := g.current
		g.reload(g.config())
		if p != nil {
			p.cutOffAt = s.sim.Now()
		}
		s.after(1500*time.Millisecond, func() {
			for _, c := range append([]*watchConn(nil), previous.conns...) {
				if c.process == p {
					c.end.Close()
				}
			}
		})
	}
}

func (s *Scenario) reloadHalf(f Fault) {
	g := pick(s.gateways, f.Target)
	text := g.config()
	g.reload(text[:f.Variant%len(text)])
	s.after(f.duration(), func() { g.reload(text) })
}

func (s *Scenario) reloadBad(f Fault) {
	g := pick(s.gateways, f.Target)
	texts := []string{"", "{}", "null", `{"listen":"x","bulletin":"y","known":{},"seed":"zz"}`,
		strings.Replace(string(g.config()), `"classes":[`, `"classes":[7,`, 1)}
	g.reload([]byte(pick(texts, f.Variant)))
	s.after(50*time.Millisecond, func() {
		if p := g.current; p != nil && !p.ended {
			p.process.Files["/config.json"] = g.config()
		}
	})
}

func (s *Scenario) clockStep(f Fault) {
	step := time.Duration(f.Variant%10000-5000) * time.Millisecond
	for _, g := range s.gateways {
		g.skew += step
	}
	s.after(f.duration(), func() {
		for _, g := range s.gateways {
			g.skew -= step
		}
	})
}
