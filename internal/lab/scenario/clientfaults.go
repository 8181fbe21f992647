package scenario

import (
	"fmt"
	"time"
)

func (d *Scenario) purgeObject(f Fault) {
	d.purge(pick([]string{"s0", "s1", "p0", "p1", "s2"}, f.Variant), 0)
}

func (d *Scenario) purgeGroup(f Fault) {
	d.purge("", groupOf(pick([]string{"s0", "p0", "s1"}, f.Variant)))
}

func (d *Scenario) purgeOverlap(f Fault) {
	for at := time.Duration(0); at < f.duration(); at += 120 * time.Millisecond {
		d.after(at, func() {
			if d.randN(3) == 0 {
				d.purgeGroup(Fault{Variant: d.randN(100)})
			} else {
				d.purgeObject(Fault{Variant: d.randN(100)})
			}
		})
	}
}

func (d *Scenario) burst(f Fault) {
	d.clients.rateFactor = 8
	for _, g := range d.gateways { // a stream of their own, at once
		for i := range 12 {
			d.after(time.Duration(i)*10*time.Millisecond, func() {
				if d.clients.open {
					d.clients.drawLookup(g)
				}
			})
		}
	}
	d.after(f.duration(), func() { d.clients.rateFactor = 1 })
}

func (d *Scenario) hotObject(f Fault) {
	d.clients.hotObject = fmt.Sprintf("s%d", 100+f.Variant%50)
	d.after(f.duration(), func() { d.clients.hotObject = "" })
}

func (d *Scenario) badFlood(f Fault) {
	g := pick(d.gateways, f.Target)
	for at := time.Duration(0); at < f.duration(); at += 100 * time.Millisecond {
		d.after(at, func() {
			for range 15 {
				d.clients.sendInvalid(g, d.randN(100))
			}
		})
	}
}

func (d *Scenario) clientsCancel(f Fault) {
	d.clients.cancelOneIn = 3
	d.after(f.duration(), func() { d.clients.cancelOneIn = 0 })
}

func (d *Scenario) clientsStall(f Fault) {
	d.clients.stallOneIn = 6
	d.after(f.duration(), func() { d.clients.stallOneIn = 0 })
}

func (d *Scenario) clientsGreedy(f Fault) {
	d.clients.keepsAll = true
	for _, c := range d.caches {
		c.slowdown = 12
	}
	for i := range 200 {
		d.after(time.Duration(i)*f.duration()/200, func() {
			if d.clients.open {
				d.clients.drawLookup(pick(d.gateways, i))
			}
		})
	}
	d.after(f.duration(), func() {
		d.clients.keepsAll = false
		for _, c := range d.caches {
			c.slowdown = 1
		}
	})
}
