package policy

// fleetRouter is one router of a run with its own view of the caches. It is also the Executor of that router.
type fleetRouter struct {
	run        *coldFleetRun
	index      int
	weight     float64 // share of the fleet's lookups, relative to coldFleetRun.totalWeight
	router     *Router // nil until NewRouter returns
	caches     []*Cache
	cold       *Cache
	knowsStart bool
}

// start starts or restarts the router. A restart loses all state except the endpoint list.
func (h *fleetRouter) start() {
	w := h.run
	h.router = nil
	h.router = NewRouter(w.now, w.random.Uint64(), w.settings, h)
	if w.countsMembers {
		h.router.FleetSize = w.routerCount
	}
	var endpoints []Endpoint
	for i, c := range h.caches {
		*c = *NewCache(c.Name)
		kind := 0
		if i == len(h.caches)-1 {
			kind = 2
		} else if i >= w.edgeCount {
			kind = 1
		}
		isGone := w.drainsOthers && h.knowsStart && kind == 0 && c != h.cold
		if c == h.cold && !h.knowsStart || isGone {
			continue
		}
		endpoint := Endpoint{Cache: c, Kind: kind, Zone: min(kind, 1), Weight: 1}
		if c == h.cold {
			endpoint.StartedAt = w.lastStart
		}
		endpoints = append(endpoints, endpoint)
	}
	h.router.UpdateEndpoints(w.now, UpdateCached, endpoints)
}

// learnStart updates the router's endpoint list with the start of the cold
// cache, and removes the other edge caches if the run drains them.
func (h *fleetRouter) learnStart() {
	h.knowsStart = true
	kind := 0
	if h.run.coldParent {
		kind = 1
	}
	endpoints := []Endpoint{{Cache: h.cold, Kind: kind, Zone: kind, Weight: 1, StartedAt: h.run.lastStart}}
	for _, c := range h.router.edges {
		if h.run.drainsOthers && c != h.cold {
			endpoint := c.Endpoint
			endpoint.Cache, endpoint.State = c, Gone
			endpoints = append(endpoints, endpoint)
		}
	}
	h.router.UpdateEndpoints(h.run.now, UpdateDelta, endpoints)
}

func (h *fleetRouter) Fetch(lookup *Lookup, request FetchRequest) {
	w := h.run
	edge, source := request.Cache, request.Source
	attempt := &runningAttempt{router: h.router, lookup: lookup, number: len(lookup.attempts) - 1}
	if (edge == h.cold || source == h.cold) && w.isPartitioned(h) {
		w.after(300*millisecond, func() { h.endAttempt(attempt, h.partitionReport(edge)) })
		return
	}
	if edge == h.cold { // counted as the mean work of the object kind
		w.sent = append(w.sent, sentWork{w.now, w.meanWork[w.kindIndex(h, lookup)], h.cold.StartedAt != w.lastStart})
	}
	report := h.drawReport(lookup, request)
	if report.Outcome == OutcomeSatisfied {
		if w.hardMultiple > 0 {
			w.hard.transfer(h, attempt, request, report.Detail)
			return
		}
		report.Latency = w.transferLatency(lookup, request, report)
	}
	report.SourceWait = report.Latency / 4
	w.after(report.Latency, func() { h.endAttempt(attempt, report) })
}

// drawReport draws at random whether an attempt hits and returns
// its report. The latency does not include queueing on the link.
func (h *fleetRouter) drawReport(lookup *Lookup, request FetchRequest) AttemptReport {
	w := h.run
	edge, source := request.Cache, request.Source
	latency := 5*millisecond + lookup.work
	isMiss := w.random.Float64() >= w.hitShare || edge == h.cold && w.random.Float64() < 0.5 || lookup.missedAt == edge
	if !isMiss {
		return AttemptReport{Outcome: OutcomeSatisfied, Detail: DetailHit, Latency: latency}
	}
	if source != edge {
		w.recordRequestedFill(h, lookup)
	}
	if source == h.cold {
		w.sent = append(w.sent, sentWork{w.now, float64(lookup.work), h.cold.StartedAt != w.lastStart})
	}
	if source == edge {
		return AttemptReport{Outcome: OutcomeMiss, Latency: 2 * millisecond}
	}
	return AttemptReport{Outcome: OutcomeSatisfied, Detail: DetailFilled, Latency: 2 * latency}
}

// transferLatency queues a transfer behind the others on its link and returns
// its latency. No cache, warm or cold, exceeds the capacity of its link.
func (w *coldFleetRun) transferLatency(lookup *Lookup, request FetchRequest, report AttemptReport) Micros {
	sender := request.Cache
	if report.Detail == DetailFilled && request.Source != request.Cache {
		sender = request.Source
	}
	capacity := w.links[sender.Name]
	if capacity <= 0 {
		return report.Latency
	}
	freeAt := max(w.now, w.linkFreeAt[sender.Name]) + Micros(float64(lookup.work)/capacity)
	w.linkFreeAt[sender.Name] = freeAt
	return max(report.Latency, freeAt-w.now)
}

// partitionReport returns the report of an attempt that needs the cold cache while its router cannot reach it.
func (h *fleetRouter) partitionReport(edge *Cache) AttemptReport {
	if edge == h.cold {
		return AttemptReport{Outcome: OutcomeConnectFailed, Latency: 300 * millisecond}
	}
	return AttemptReport{Outcome: OutcomeError, Detail: DetailSourceBroke, Latency: 300 * millisecond}
}

// runningAttempt is an attempt in flight. Its router may restart before the attempt ends.
type runningAttempt struct {
	router *Router
	lookup *Lookup
	number int
}

// endedMode is the mode of an attempt whose end has been reported.
const endedMode FetchMode = -1

// endAttempt reports the end of an attempt, at most once and only to the router that started it.
func (h *fleetRouter) endAttempt(attempt *runningAttempt, report AttemptReport) {
	drafted := attempt.lookup.attempts[attempt.number]
	if h.router != attempt.router || drafted.mode == endedMode {
		return
	}
	drafted.mode = endedMode
	report.Attempt = attempt.number
	report.LookupEnded = report.Outcome == OutcomeSatisfied
	h.router.AttemptEnded(h.run.now, attempt.lookup, report)
}

func (h *fleetRouter) CancelAttempt(lookup *Lookup, n int) {
	attempt := &runningAttempt{router: h.router, lookup: lookup, number: n}
	h.run.after(0, func() {
		latency := h.run.now - lookup.attempts[n].startedAt
		h.endAttempt(attempt, AttemptReport{Outcome: OutcomeCancelled, Latency: latency, SourceWait: latency / 4})
	})
}

func (h *fleetRouter) Reject(*Lookup, Micros)  {}
func (h *fleetRouter) Fail(*Lookup)            {}
func (h *fleetRouter) SubscribeEndpoints(bool) {}
func (h *fleetRouter) Log(string)              {}

func (h *fleetRouter) SetTimer(delay Micros, token int64) {
	router := h.router
	h.run.after(delay, func() {
		if router == nil { // the timer was set during NewRouter
			router = h.router
		}
		if h.router == router {
			h.router.TimerFired(h.run.now, token)
		}
	})
}

func (w *coldFleetRun) kindIndex(h *fleetRouter, lookup *Lookup) int {
	if lookup.kind == &h.router.kinds[0] {
		return 0
	}
	return 1
}
