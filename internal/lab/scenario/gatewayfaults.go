package scenario

import (
	"strings"
	"time"
)

func (d *Scenario) gatewayKill(f Fault) {
	g := pick(d.gateways, f.Target)
	g.kill()
	d.after(f.duration(), g.start)
}

func (d *Scenario) gatewayHalf(f Fault) {
	n := max(1, (len(d.gateways)*48+50)/100)
	for i := range n {
		g := d.gateways[(f.Target+i)%len(d.gateways)]
		g.kill()
		d.after(f.duration()+time.Duration(i)*100*time.Millisecond, g.start)
	}
}

func (d *Scenario) gatewayRestart(f Fault) {
	for i, g := range d.gateways {
		d.after(time.Duration(i)*6500*time.Millisecond, func() {
			if d.sim.Now() < warmup+time.Duration(d.Plan.Seconds)*time.Second {
				g.terminate(true)
			}
		})
	}
}

func (d *Scenario) reloadGood(f Fault) {
	for _, g := range d.gateways {
		was := d.discoveryServers[g.discoveryIndex]
		g.discoveryIndex = 1 - g.discoveryIndex
		l := g.current
		g.reload(g.config())
		if l != nil {
			l.cutOffAt = d.sim.Now()
		}
		d.after(1500*time.Millisecond, func() {
			for _, c := range append([]*watchConn(nil), was.conns...) {
				if c.process == l {
					c.end.Close()
				}
			}
		})
	}
}

func (d *Scenario) reloadHalf(f Fault) {
	g := pick(d.gateways, f.Target)
	text := g.config()
	g.reload(text[:f.Variant%len(text)])
	d.after(f.duration(), func() { g.reload(text) })
}

func (d *Scenario) reloadBad(f Fault) {
	g := pick(d.gateways, f.Target)
	bad := []string{"", "{}", "null", `{"listen":"x","bulletin":"y","known":{},"seed":"zz"}`,
		strings.Replace(string(g.config()), `"classes":[`, `"classes":[7,`, 1)}
	g.reload([]byte(pick(bad, f.Variant)))
	d.after(50*time.Millisecond, func() {
		if l := g.current; l != nil && !l.ended {
			l.process.Files["/config.json"] = g.config()
		}
	})
}

func (d *Scenario) clockStep(f Fault) {
	step := time.Duration(f.Variant%10000-5000) * time.Millisecond
	for _, g := range d.gateways {
		g.skew += step
	}
	d.after(f.duration(), func() {
		for _, g := range d.gateways {
			g.skew -= step
		}
	})
}
