package scenario

import "time"

func split(a, b string) func(*Scenario, Fault) {
	return func(d *Scenario, f Fault) {
		d.sim.Split(a, b)
		if a == "clients" {
			d.clients.markSplit()
		}
		d.after(f.duration(), func() { d.sim.Heal(a, b) })
	}
}

// isSplit tells whether two groups cannot reach each other.
func (d *Scenario) isSplit(a, b string) bool { return d.sim.IsSplit(a, b) }

// markSplit marks all connections of clients: what is written on them may come late or not at all.
func (f *clientActor) markSplit() {
	for _, g := range f.scenario.gateways {
		for _, c := range f.pool[g] {
			c.split = true
		}
	}
}

func (d *Scenario) resetCache(f Fault) {
	till := d.sim.Now() + f.duration()
	var next func()
	next = func() {
		if d.sim.Now() > till {
			return
		}
		if c := pick(d.caches, d.randN(1<<16)); len(c.conns) > 0 {
			k := pick(c.conns, d.randN(1<<16))
			if d.randN(2) == 0 {
				k.end.ResetAfterIn = 1 + d.randN(9000)
			} else {
				k.end.ResetAfterOut = 1 + d.randN(400)
			}
		}
		d.after(time.Duration(20+d.randN(300))*time.Millisecond, next)
	}
	next()
}

func (d *Scenario) resetClient(f Fault) {
	till := d.sim.Now() + f.duration()
	var next func()
	next = func() {
		if d.sim.Now() > till {
			return
		}
		if pool := d.clients.pool[pick(d.gateways, d.randN(1<<16))]; len(pool) > 0 {
			if c := pick(pool, d.randN(1<<16)); c.up && !c.closed {
				c.misbehaves = true
				if d.randN(2) == 0 {
					c.end.ResetAfterIn = 1 + d.randN(300)
				} else {
					c.end.ResetAfterOut = 1 + d.randN(9000)
				}
			}
		}
		d.after(time.Duration(20+d.randN(300))*time.Millisecond, next)
	}
	next()
}

func (d *Scenario) closeCache(f Fault) {
	till := d.sim.Now() + f.duration()
	var next func()
	next = func() {
		if d.sim.Now() > till {
			return
		}
		if c := pick(d.caches, d.randN(1<<16)); len(c.conns) > 0 {
			k := pick(c.conns, d.randN(1<<16))
			k.end.Close()
			k.endAtCache(false)
		}
		d.after(time.Duration(20+d.randN(300))*time.Millisecond, next)
	}
	next()
}
