package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
)

// simEvent is a callback that is due at an instant of simulated time.
type simEvent struct {
	at Micros
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// coldFleetRun is one simulated run: many routers share a cache in slow start, and the run records the work that they
// send to it. Settings and traffic are drawn at random from the seed, within the ranges of operators' sites. All caches
// of a group have the same capacity. If an edge cache is cold, the other edge caches of its zone are gone, so that it
// gets all the demand. Attempts do not fail. A window with much work of routers that do not know of the start yet does
// not count, as rule 4 does not count that work either. The hard cases (hardfleet_test.go) differ.
type coldFleetRun struct {
	coldFleetCase
	random   *rand.Rand // the only random source of the run, so that a seed is reproducible
	settings *Settings
	now      Micros
	events   simEvents
	routers  []*fleetRouter

	edgeCount, parentCount int
	edgeCapacity           float64 // capacity of a warm edge cache, in concurrent transfers at full pace
	coldCapacity           float64 // capacity of the cold cache once it is warm
	coldIndex              int     // index of the cold cache among the caches
	breakMultiple          float64 // break multiple of the cold cache's kind
	links                  map[string]float64
	linkFreeAt             map[string]Micros // instant at which all queued transfers of a cache are complete

	meanWork     [2]float64 // mean work of a lookup by object kind, in microseconds
	sigma        float64    // standard deviation of the logarithm of sizes
	hitShare     float64
	load         float64 // demand as a share of the capacity of the warm edge caches
	meanInterval float64 // mean time between lookups of the fleet, in microseconds
	arrivalPace  float64 // multiple of the usual arrival rate; 3 in a burst
	drainsOthers bool    // the other edge caches leave the list when the cold one starts
	firstStart   Micros  // first start of the cold cache; 0: not started yet
	lastStart    Micros
	sent         []sentWork // work sent to the cold cache
	hard         hardCase
	zipf         *rand.Zipf
	totalWeight  float64
}

// sentWork is work that reached the cold cache.
type sentWork struct {
	at      Micros
	work    float64
	unaware bool // sent by a router that does not know of the latest start
}

func cacheName(i int) string { return fmt.Sprint("c", i) }

func (w *coldFleetRun) after(delay Micros, do func()) {
	heap.Push(&w.events, simEvent{w.now + delay, do})
}

// between draws a uniformly distributed number between a and b.
func (w *coldFleetRun) between(a, b float64) float64 { return a + (b-a)*w.random.Float64() }

// newColdFleetRun draws a run from a seed. The order of the draws
// must not change, because it determines the run of each seed.
func newColdFleetRun(c coldFleetCase, seed uint64) *coldFleetRun {
	w := &coldFleetRun{coldFleetCase: c, random: rand.New(rand.NewPCG(seed, uint64(c.routerCount)))}
	w.edgeCount = 4 + w.random.IntN(6)
	w.parentCount = 2 + w.random.IntN(2)
	w.drawSettings()
	w.now, w.arrivalPace = 100*second, 1
	w.drainsOthers = !c.coldParent
	w.load = w.between(0.4, 0.7)
	if c.hardMultiple > 0 {
		w.load = w.drawHard()
	}
	w.drawLinks()
	w.addRouters()
	w.scheduleArrivals()
	w.scheduleStart()
	if seed%2 == 0 { // a purge of all copies and a burst, so that every router has demand at the same time
		w.after(8*second, func() { w.hitShare, w.arrivalPace = 0, 3 })
		w.after(9500*millisecond, func() { w.arrivalPace = 1 })
	}
	return w
}

func (w *coldFleetRun) drawSettings() {
	gateways := w.routerCount
	if w.knowsThird {
		gateways = max(1, w.routerCount/3)
	}
	breakWindow := Micros(w.between(1, 1.5) * float64(second))
	w.edgeCapacity, w.sigma, w.hitShare = w.between(2, 10), w.between(0.6, 1), w.between(0.67, 0.79)
	w.meanWork = [2]float64{w.between(330, 520) * float64(millisecond), w.between(39, 100) * float64(millisecond)}
	w.settings = &Settings{
		Gateways: gateways, ZoneGateways: []int{gateways}, ParentKind: 1, OriginKind: 2,
		CoalescesFills: true, ReportsFirstByte: true, ReportsHits: true,
		TransferKBPerSecond: 1000, MaxAttempts: 6, CanCancel: true, MaxRetryAfter: second,
		SlowStartShare: w.between(0.16, 0.46), SlowStartTime: Micros(w.between(6, 13) * float64(second)),
		BreakMultiple: 2 + w.random.Float64(), BreakWindow: breakWindow,
		ParentSlowStartShare: w.between(0.064, 0.14), ParentSlowStartTime: Micros(w.between(13, 21) * float64(second)),
		ParentBreakMultiple: 2, PurgeSettleTime: 6 * second,
		Kinds: []ObjectKind{
			{LatencyBudget: 800 * millisecond, BudgetStretch: 1.6, Deadline: 5 * second, Utility: 2, LateUtilityShare: 0.15, DedupWindow: 5 * second},
			{LatencyBudget: 400 * millisecond, BudgetStretch: 2, Deadline: 2500 * millisecond, Utility: 1, LateUtilityShare: 0.2, DedupWindow: 5 * second}},
	}
}

// drawLinks sets the link capacity of each cache.
func (w *coldFleetRun) drawLinks() {
	w.breakMultiple, w.coldIndex = w.settings.BreakMultiple, w.edgeCount-1
	w.coldCapacity = w.edgeCapacity
	if w.coldParent { // parents have 1.2 to 1.5 times the capacity that their fills need
		w.breakMultiple, w.coldIndex = w.settings.ParentBreakMultiple, w.edgeCount+w.parentCount-1
		w.coldCapacity = w.between(1.2, 1.5) * (1 - w.hitShare) * w.edgeCapacity * 0.7 * float64(w.edgeCount) / float64(w.parentCount)
	}
	w.links, w.linkFreeAt = map[string]float64{}, map[string]Micros{}
	for i := range w.edgeCount + w.parentCount {
		w.links[cacheName(i)] = w.edgeCapacity
		if i >= w.edgeCount {
			w.links[cacheName(i)] = w.coldCapacity
		}
	}
	if w.hardMultiple > 0 {
		w.coldCapacity = w.hard.drawLinks(w)
	}
}

// addRouters adds the routers, which start within one sweep interval.
// The first one gets several times the mean number of lookups.
func (w *coldFleetRun) addRouters() {
	for i := range w.routerCount {
		h := &fleetRouter{run: w, index: i, weight: w.random.ExpFloat64() + 0.2}
		if i == 0 {
			h.weight = 5
		}
		for j := range w.edgeCount + w.parentCount + 1 {
			h.caches = append(h.caches, NewCache(cacheName(j)))
		}
		h.cold = h.caches[w.coldIndex]
		w.routers = append(w.routers, h)
		w.after(Micros(w.random.Int64N(int64(sweepInterval))), h.start)
	}
	for _, h := range w.routers {
		w.totalWeight += h.weight
	}
}

// scheduleArrivals schedules the first random arrival at each router. The load is w.load of
// the capacity of the warm caches. The popularity of objects follows a Zipf distribution.
func (w *coldFleetRun) scheduleArrivals() {
	w.meanInterval = w.meanOfKinds() / (w.edgeCapacity * w.load * float64(w.edgeCount-1))
	w.zipf = rand.NewZipf(w.random, 1.1, 1, 2000)
	for _, h := range w.routers {
		w.after(sweepInterval+Micros(w.random.ExpFloat64()*w.meanInterval*w.totalWeight/h.weight), h.arrive)
	}
}

// arrive starts a lookup at a router and schedules the next arrival.
func (h *fleetRouter) arrive() {
	w := h.run
	kind := w.random.IntN(2)
	kb := w.meanWork[kind] / float64(millisecond) * math.Exp(w.sigma*w.random.NormFloat64()-w.sigma*w.sigma/2)
	h.router.StartLookup(w.now, Arrival{Kind: kind, Object: fmt.Sprint("o", w.zipf.Uint64()), Part: w.random.IntN(12), Group: 3, SizeKB: kb,
		Deadline: w.now + w.settings.Kinds[kind].Deadline})
	w.after(Micros(w.random.ExpFloat64()*w.meanInterval*w.totalWeight/h.weight/w.arrivalPace), h.arrive)
}

// scheduleStart schedules the start of the cold cache after 5 s. Each router
// learns of it within a second. Some routers restart 2 to 6 s after the start.
func (w *coldFleetRun) scheduleStart() {
	w.after(5*second, func() {
		w.lastStart, w.firstStart = w.now, w.now
		for _, h := range w.routers {
			w.after(w.learnDelay(h), h.learnStart)
			if w.random.Float64() < 0.3 {
				w.after(2*second+Micros(w.random.Int64N(int64(4*second))), h.start)
			}
		}
	})
	if w.hardMultiple > 0 {
		w.hard.scheduleRestart(w)
		w.after(5*second, w.schedulePartitionRestarts)
	}
}

// play runs the simulation until 6 s after the start of the cold cache and returns the tally.
func (w *coldFleetRun) play() tally {
	checker := &limitChecker{run: w, tally: tally{runs: 1}}
	w.after(5*second+millisecond, func() {
		w.now = w.lastStart
		checker.step()
	})
	for end := w.now + 11*second + 2*millisecond; w.events.Len() > 0; {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		if w.now > end {
			break
		}
		e.do()
	}
	return checker.result()
}

// meanOfKinds returns the mean work of a lookup over both object kinds.
func (w *coldFleetRun) meanOfKinds() float64 { return (w.meanWork[0] + w.meanWork[1]) / 2 }

// coldShare returns the share of its full capacity that the cold cache has at an instant according to the settings.
func (w *coldFleetRun) coldShare(at Micros) float64 {
	initial, duration := w.settings.SlowStartShare, w.settings.SlowStartTime
	if w.coldParent {
		initial, duration = w.settings.ParentSlowStartShare, w.settings.ParentSlowStartTime
	}
	return min(1, initial+(1-initial)*float64(at-w.lastStart)/float64(duration))
}
