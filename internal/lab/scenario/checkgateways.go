package scenario

import "time"

func (l *gatewayProcess) notifiedAt(no int) time.Duration {
	if no < len(l.notified) {
		return l.notified[no]
	}
	return 0
}

// gatewayKilled is the end of a life without a word.
func (r *checker) gatewayKilled(l *gatewayProcess) {
	for _, id := range sortedKeys(r.lookups) {
		if a := r.lookups[id]; a.process == l && !a.ended {
			r.lookupEnded(a, "gateway gone")
		}
	}
}

// gatewayEnded is the end of a life by itself.
func (r *checker) gatewayEnded(l *gatewayProcess, err error) {
	l.ended, l.endedAt = true, r.scenario.sim.Now()
	if err != nil || l.terminatedAt == 0 {
		r.violated("crash", "%s ended by itself: %v", l.process.Name, err)
		return
	}
	r.scenario.after(0, func() {
		if n, timers, fds := l.process.Resources(); n > 0 || timers > 0 || fds > 0 {
			r.violated("leak", "%s has ended and left %d goroutines (%s), %d timers, %d descriptors", l.process.Name, n, l.process.GoroutineNames(),
				timers, fds)
		}
	})
	for _, id := range sortedKeys(r.lookups) {
		a := r.lookups[id]
		if a.process != l || a.ended {
			continue
		}
		if a.receivedAt > 0 && a.receivedAt < l.terminatedAt+700*time.Millisecond && a.conn.end.IsAccepted() && !a.conn.split {
			r.violated("rule 1", "%s ended and left %s, taken %v after SIGTERM, without an answer", l.process.Name, a.id, a.receivedAt-l.terminatedAt)
		}
		r.lookupEnded(a, "gateway gone")
	}
}

// checkIdle checks what must hold whenever all wait.
func (r *checker) checkIdle() {
	r.idleCount++
	d := r.scenario
	for _, g := range d.gateways {
		l := g.current
		if l == nil || l.ended || l.instance == nil {
			continue
		}
		if r.idleCount%4 == 0 {
			load := l.instance.Load()
			handed, streams := 0, 0
			if l.extproc != nil {
				handed, streams = l.extproc.AttemptsOut(), l.extproc.openStreams()
			}
			if load.OpenAttempts != load.ConnAttempts+load.QueuedAttempts+handed {
				r.violated("in flight", "%s: the module counts %d sends, its connections %d, %d wait to be written, %d are at callers", l.process.Name,
					load.OpenAttempts, load.ConnAttempts, load.QueuedAttempts, handed)
			}
			if room := int(g.memoryMB * 8); load.Lookups > 4*room || load.ClientConns > g.descriptors/2+1 {
				r.violated("bounds", "%s holds %d lookups (room %d), %d clients of %d descriptors", l.process.Name, load.Lookups, room,
					load.ClientConns, g.descriptors)
			}
			out := 0
			for k := range l.conns { // a sum: the order does not matter
				out += len(k.attempts)
			}
			if out > load.ConnAttempts {
				r.violated("in flight", "%s: %d sends are out on its wires, it counts %d", l.process.Name, out, load.ConnAttempts)
			}
			// Besides them: the listener, the connection to discovery, and one that is being accepted or closed.
			if _, _, fds := l.process.Resources(); fds > load.ClientConns+load.CacheConns+streams+3+min(1, streams) && l.terminatedAt == 0 {
				r.violated("leak", "%s holds %d descriptors for %d clients and %d connections to caches", l.process.Name, fds, load.ClientConns,
					load.CacheConns)
			}
		}
	}
	if r.idleCount%256 == 0 {
		r.countAsNotified()
	}
}

// countAsNotified lets what was published long ago count as told to those that could hear it.
func (r *checker) countAsNotified() {
	d, now := r.scenario, r.scenario.sim.Now()
	for _, g := range d.gateways {
		l := g.current
		if l == nil || l.ended {
			continue
		}
		b := d.discoveryServers[g.discoveryIndex]
		if b.down || b.silent || b.lag > 0 || d.isSplit("gateways", "bulletin") || g.host.Vanished {
			l.cutOffAt = now
		}
		for no := range d.events {
			e := d.events[no]
			if l.notifiedAt(e.Number) == 0 && now-e.publishedAt > notifiedAfter && now-max(l.startedAt, l.cutOffAt) > reachableFor {
				l.markNotified(e.Number, now)
			}
		}
	}
}
