package policy

import "math"

// hardCase holds the additional state of a hard case of TestColdFleet:
//   - The capacity of each cache is 0.3 to 2.5 of the mean. The cold cache can be of any size.
//   - All transfers on a link share its capacity. The mean capacity of an edge cache is 2 to 40
//     transfers. No link has less than 1.
//   - The load is 0.4 to 1.3 of the capacity of the zone.
//   - In three of ten runs the cold cache restarts during slow start.
//   - In three of ten runs the endpoint lists of some routers are some seconds late.
//   - In three of ten runs a network partition separates some routers (a zone) from the cold cache. In half of these
//     runs the routers restart at its end.
//
// The capacity of the cold cache is a share of its link. That share is at least the one in the settings.
type hardCase struct {
	links        map[string]*sharedLink
	coldCapacity float64 // capacity of the cold cache once it is warm, in concurrent transfers at full pace
	shareFactor  float64 // real capacity share of the cold cache divided by the share in the settings
	restartAfter Micros  // time from the first start of the cold cache to its restart; 0: no restart
	listDelay    Micros  // additional delay after which a third of the routers learn of a start
	partition    networkPartition
	requested    requestLimiter
}

// networkPartition is a period in which the routers with the lowest indexes cannot reach the cold cache.
type networkPartition struct {
	routers     int    // number of routers
	from, until Micros // time since the first start of the cold cache
	restarts    bool   // the routers restart at its end and lose all state except the endpoint list
}

// requestLimiter is a central limiter that knows the link of a cold parent. Its demand is the
// fills that the fleet actually requests of objects whose home is this parent. The work that
// it admits is only logged. The tests use the demand of hardCase.demand instead.
type requestLimiter struct {
	tokens float64
	at     Micros
	sent   float64 // work admitted in the measured period, in microseconds
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

// recordRequestedFill passes a fill to the requestLimiter if the home of its object is the cold parent.
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

// isPartitioned reports whether a router cannot reach the cold cache now.
func (w *coldFleetRun) isPartitioned(h *fleetRouter) bool {
	partition, since := &w.hard.partition, w.now-w.firstStart
	return w.hardMultiple > 0 && w.firstStart > 0 && h.index < partition.routers && since >= partition.from && since < partition.until
}

// learnDelay draws the delay after which a router learns of a start.
func (w *coldFleetRun) learnDelay(h *fleetRouter) Micros {
	delay := Micros(w.random.Int64N(int64(second)))
	if w.hardMultiple > 0 && h.index%3 == 2 {
		delay += w.hard.listDelay
	}
	return delay
}

// schedulePartitionRestarts schedules the restarts of the partitioned routers at the end of the partition.
func (w *coldFleetRun) schedulePartitionRestarts() {
	for _, h := range w.routers {
		if w.hard.partition.restarts && h.index < w.hard.partition.routers {
			w.after(w.hard.partition.until, h.start)
		}
	}
}

// drawHard draws the properties of a hard case except its links and returns the load.
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

// drawLinks adds a link for each cache with 0.3 to 2.5 of the mean capacity
// of its group. It returns the capacity of the cold cache's link.
func (f *hardCase) drawLinks(w *coldFleetRun) float64 {
	f.links = map[string]*sharedLink{}
	for _, c := range w.sortedLinks() {
		maxFactor := 2.5
		if c == cacheName(w.coldIndex) && w.random.IntN(2) == 0 {
			maxFactor = 0.6 // in half of the runs the cold cache is a small one
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

// sortedLinks returns the names of the caches in order, edge caches before parents.
func (w *coldFleetRun) sortedLinks() (names []string) {
	for i := range len(w.links) {
		names = append(names, cacheName(i))
	}
	return names
}

// scheduleRestart schedules a restart of the cold cache during slow start. The routers learn of it after learnDelay.
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

// demand returns the fleet's demand on the cold cache, in concurrent transfers, given the demand of all
// arrivals. The last edge cache of a zone gets the share of the objects that it has reached in its slow
// start. A parent gets its share of the misses. In other than hard cases the demand is unbounded.
func (f *hardCase) demand(w *coldFleetRun, at Micros, arriving float64) float64 {
	switch {
	case w.hardMultiple == 0:
		return math.Inf(1)
	case w.coldParent:
		return (1 - w.hitShare) * arriving * w.arrivalPace / float64(len(w.links)-w.edgeCount)
	}
	return w.coldShare(at) * arriving * w.arrivalPace
}

// transfer simulates the transfer of a satisfied attempt over the
// link of its edge cache. A fill also uses the link of its source.
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
