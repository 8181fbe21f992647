package scenario

import (
	"strings"
	"time"
)

func (d *Scenario) discoveryLag(f Fault) {
	b := d.discoveryServers[f.Target%2]
	b.lag = time.Duration(200+f.Variant%2500) * time.Millisecond
	d.after(f.duration(), func() { b.lag = 0; b.notifyWatches() })
}

func (d *Scenario) discoveryBreak(f Fault) {
	for _, b := range d.discoveryServers {
		for _, c := range append([]*watchConn(nil), b.conns...) {
			if c.next > 0 {
				c.breakInEvent()
			}
		}
	}
}

func (d *Scenario) discoveryStall(f Fault) {
	b := d.discoveryServers[f.Target%2]
	b.silent = true
	d.after(f.duration(), func() { b.silent = false; b.notifyWatches() })
}

func (d *Scenario) discoveryDuplicate(f Fault) {
	for _, b := range d.discoveryServers {
		b.duplicates = true
		d.after(f.duration(), func() { b.duplicates = false })
	}
}

func (d *Scenario) discoveryGone(f Fault) {
	if b := d.discoveryServers[f.Target%2]; !b.down {
		b.stopFor(f.duration())
	}
}

func (d *Scenario) discoveryGarbage(f Fault) {
	for _, b := range d.discoveryServers {
		for _, c := range b.conns {
			if c.next > 0 && !b.silent {
				c.send(pick([]string{"{\"no\":}\n", "\x00\xff\n", "{\"no\":9999999,\"roster\":{}}\n", strings.Repeat("~", 3000) + "\n"}, f.Variant))
			}
		}
	}
}

func (d *Scenario) discoveryGap(f Fault) {
	for _, b := range d.discoveryServers {
		b.skipsEvent = true
	}
	d.after(f.duration(), func() {
		for _, b := range d.discoveryServers {
			b.skipsEvent = false
		}
	})
}
