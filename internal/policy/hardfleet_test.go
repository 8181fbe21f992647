package policy

import "math"

// hardCase is what a hard case of TestColdFleet adds to a run: caches from 0.3 to 2.5 of the mean, the cold one among them at any place; links
// of 1 to 40 transfers that all transfers on them share; a load of 0.4 to 1.3 of the zone's capacity; and each in three of ten runs a cold
// cache that restarts while it warms up, routers whose lists are silent for seconds over the start, and routers (a zone) that are cut off
// from the cold cache, and in half of these runs restart at the end. A cold cache has its share of its link, at least that of the settings.
type hardCase struct {
	links        map[string]*sharedLink
	coldCapacity float64 // of the cold cache once it is warm, in transfers at once
	shareFactor  float64 // the cold cache's real share over the one that the settings name
	restartAfter Micros  // of the cold cache, after its first start; 0: it does not restart
	listDelay    Micros  // by which a third of the routers learn later of a start
	partition    networkPartition
	requested    requestLimiter
}

// networkPartition is the first routers, which do not reach the cold cache between two instants after its start.
type networkPartition struct {
	routers     int
	from, until Micros
	restarts    bool // its routers restart at the end, knowing nothing
}

// requestLimiter is the central limiter that knows the link of a cold parent, before the fills that the fleet really asks for: those of
// objects whose home is this parent. Its figure is logged and judges nothing: demand is taken by its formula.
type requestLimiter struct {
	tokens float64
	at     Micros
	sent   float64 // work that it admits while a run is judged, in microseconds
}

func (l *requestLimiter) admit(now Micros, rate, depth, work float64, judged bool) {
	l.tokens = min(depth, l.tokens+rate*float64(now-l.at))
	l.at = now
	if l.tokens < min(work, depth) {
		return
	}
	l.tokens -= work
	if judged {
		l.sent += work
	}
}

// recordRequestedFill brings the limiter a fill whose home is the cold parent.
func (w *coldFleetRun) recordRequestedFill(h *fleetRouter, lookup *Lookup) {
	if w.hardMultiple == 0 || !w.coldParent || w.lastStart == 0 {
		return
	}
	if home := h.router.rendezvousOrder(lookup.objectHash, h.router.parents)[0]; home != h.cold {
		return
	}
	rate := limiterRate * w.coldShare(w.now) * w.hard.coldCapacity
	depth := max(rate*float64(w.settings.BreakWindow)*max(0.2, (w.settings.ParentBreakMultiple-1)*limiterBurst), w.meanOfKinds())
	judged := w.now >= w.lastStart+2*second && w.now <= w.lastStart+6*second && w.coldShare(w.now) < 1
	w.hard.requested.admit(w.now, rate, depth, float64(lookup.work), judged)
}

// isPartitioned tells whether a router does not reach the cold cache now.
func (w *coldFleetRun) isPartitioned(h *fleetRouter) bool {
	partition, since := &w.hard.partition, w.now-w.firstStart
	return w.hardMultiple > 0 && w.firstStart > 0 && h.index < partition.routers && since >= partition.from && since < partition.until
}

// learnDelay is how long after a start a router learns of it.
func (w *coldFleetRun) learnDelay(h *fleetRouter) Micros {
	delay := Micros(w.random.Int64N(int64(second)))
	if w.hardMultiple > 0 && h.index%3 == 2 {
		delay += w.hard.listDelay
	}
	return delay
}

// schedulePartitionRestarts restarts the routers of a lost zone at the end of its cut.
func (w *coldFleetRun) schedulePartitionRestarts() {
	for _, h := range w.routers {
		if w.hard.partition.restarts && h.index < w.hard.partition.routers {
			w.after(w.hard.partition.until, h.start)
		}
	}
}

// drawHard draws what a hard case adds but for its links, and returns the load.
func (w *coldFleetRun) drawHard() float64 {
	w.edgeCapacity = math.Exp(w.between(math.Log(2), math.Log(40)))
	w.settings.BreakMultiple, w.settings.ParentBreakMultiple = w.hardMultiple, w.hardMultiple
	w.hard.shareFactor = w.between(1, 1.3)
	if w.random.Float64() < 0.3 {
		w.hard.restartAfter = Micros(w.between(2, 4) * float64(second))
	}
	if w.random.Float64() < 0.3 {
		w.hard.listDelay = Micros(w.between(1, 3) * float64(second))
	}
	if w.random.Float64() < 0.3 {
		from, lasts := w.between(1, 3), w.between(1, 3)
		w.hard.partition = networkPartition{routers: int(w.between(0.2, 0.5) * float64(w.routerCount)), restarts: w.random.IntN(2) == 0,
			from: Micros(from * float64(second)), until: Micros((from + lasts) * float64(second))}
	}
	if w.random.IntN(2) == 0 {
		return w.between(0.9, 1.3)
	}
	return w.between(0.4, 1.3)
}

// drawLinks gives each cache a link of its own, from 0.3 to 2.5 of its group's mean, and returns the capacity of the cold one's.
func (f *hardCase) drawLinks(w *coldFleetRun) float64 {
	f.links = map[string]*sharedLink{}
	for _, c := range w.sortedLinks() {
		maxFactor := 2.5
		if c == cacheName(w.coldIndex) && w.random.IntN(2) == 0 {
			maxFactor = 0.6 // in half of the runs the cold one is a small one
		}
		capacity := w.links[c] * math.Exp(w.between(math.Log(0.3), math.Log(maxFactor)))
		capacity = max(1, capacity)
		l := &sharedLink{run: w, updatedAt: w.now, capacity: func() float64 { return capacity }}
		if c == cacheName(w.coldIndex) {
			f.coldCapacity = capacity
			l.capacity = func() float64 {
				if w.lastStart == 0 {
					return capacity
				}
				return capacity * min(1, f.shareFactor*w.coldShare(w.now))
			}
		}
		f.links[c] = l
	}
	return f.coldCapacity
}

// sortedLinks names the caches in their order: edges, then parents.
func (w *coldFleetRun) sortedLinks() (names []string) {
	for i := range len(w.links) {
		names = append(names, cacheName(i))
	}
	return names
}

// scheduleRestart has the cold cache restart while it warms up, of which each router learns within a second.
func (f *hardCase) scheduleRestart(w *coldFleetRun) {
	if f.restartAfter == 0 {
		return
	}
	w.after(5*second+f.restartAfter, func() {
		w.lastStart = w.now
		for _, h := range w.routers {
			w.after(w.learnDelay(h), h.learnStart)
		}
	})
}

// demand is what the fleet asks of the cold cache, in transfers, where arrivals bring that much work: the last edge cache of a zone gets its
// share of the objects, a parent its part of the misses. It is unbounded in the other cases.
func (f *hardCase) demand(w *coldFleetRun, at Micros, arriving float64) float64 {
	switch {
	case w.hardMultiple == 0:
		return math.Inf(1)
	case w.coldParent:
		return (1 - w.hitShare) * arriving * w.arrivalPace / float64(len(w.links)-w.edgeCount)
	}
	return w.coldShare(at) * arriving * w.arrivalPace
}

// transfer carries the answer of a satisfied attempt over its cache's link, and a fill over the source's too.
func (f *hardCase) transfer(h *fleetRouter, attempt *runningAttempt, request FetchRequest, detail OutcomeDetail) {
	w := h.run
	startedAt := w.now
	sourceWait, remaining := Micros(0), 1
	onTransferEnd := func() {
		remaining--
		if remaining > 0 {
			return
		}
		report := AttemptReport{Outcome: OutcomeSatisfied, Detail: detail, Latency: w.now - startedAt + 5*millisecond, SourceWait: sourceWait}
		w.after(5*millisecond, func() { h.endAttempt(attempt, report) })
	}
	if upstream := f.links[request.Source.Name]; detail == DetailFilled && upstream != nil {
		sourceWait, remaining = 30*millisecond, 2
		w.after(sourceWait, func() { upstream.start(attempt.lookup.work, onTransferEnd) })
	}
	f.links[request.Cache.Name].start(attempt.lookup.work, onTransferEnd)
}
