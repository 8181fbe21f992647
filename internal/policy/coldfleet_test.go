package policy

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
)

// A cold cache, or parent, before many routers, by the module alone: what the sum of the fleet sends it in any window of
// FallFor, against N + 2 x root of N + 2 requests of mean work, N being what the settings allow it then. Settings and
// traffic are drawn from a seed, within what the operators' sites name. All caches of a group are of one size; where an
// edge is cold the others of its location are gone, so that it has all the demand there is. Left out: routers that were
// not told (the rule leaves out what they send), sends that fail. The hard cases (hardfleet_test.go) have caches of unequal size on
// links that all transfers share, overload, and a cold cache that starts anew while it warms.

var coldSeeds = flag.Int("cold.seeds", 0, "seeds of each fleet before a cold cache; 1000 take some minutes (0: a short run that judges)")

// The central limiter that a fleet is held against: a bucket of this rate, of what the cache bears at least, and of this depth, of the
// rule's multiple above 1.
const limiterRate, limiterBurst = 1.4, 0.4

// coldFleet is one case: so many routers before one edge cache, or parent, that started just now.
type coldFleet struct {
	routers int
	parent  bool
	grown   bool    // the routers were told a third of their number
	view    bool    // and Router.Fleet has all of it
	hard    float64 // the rule's multiple in a hard case (hardfleet_test.go); 0: none
}

func (c coldFleet) String() string {
	what, told := "edge", "told"
	if c.parent {
		what = "parent"
	}
	if c.view {
		told = "told a third, view on"
	} else if c.grown {
		told = "told a third"
	}
	if c.hard > 0 {
		told = fmt.Sprintf("unequal, multiple %g", c.hard)
	}
	return fmt.Sprintf("%s %d routers %s", what, c.routers, told)
}

// tally adds up runs: windows (one every 50 ms) and those over the line, of the fleet and of two ideals at the same rate: one
// central bucket before the same kind of demand, and sends by chance alone (Poisson).
type tally struct {
	windows, over, central, chance int
	runs, fell                     int     // runs with any window over
	sent, rate, ideal              float64 // work, in us: sent by the fleet; what its rate allows; sent by the central bucket
	asked                          float64 // and by the limiter before the fills that a hard case's parent is really asked for
}

func (t *tally) add(o tally) {
	t.windows, t.over, t.central, t.chance = t.windows+o.windows, t.over+o.over, t.central+o.central, t.chance+o.chance
	t.runs, t.fell, t.sent, t.rate = t.runs+o.runs, t.fell+o.fell, t.sent+o.sent, t.rate+o.rate
	t.ideal, t.asked = t.ideal+o.ideal, t.asked+o.asked
}

func (t tally) String() string {
	of := func(n int) float64 { return 100 * float64(n) / float64(max(t.windows, 1)) }
	text := fmt.Sprintf("windows over %7.4f%%  central %7.4f%%  chance %7.4f%%  runs over %5.2f%%  used %.2f, central %.2f", of(t.over), of(t.central),
		of(t.chance), 100*float64(t.fell)/float64(max(t.runs, 1)), t.sent/max(t.rate, 1), t.ideal/max(t.rate, 1))
	if t.asked > 0 {
		text += fmt.Sprintf("  of what is really asked %.2f", t.sent/t.asked)
	}
	return text
}

type coldEvent struct {
	at Micros
	do func()
}
type coldEvents []coldEvent

func (e coldEvents) Len() int           { return len(e) }
func (e coldEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e coldEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *coldEvents) Push(x any)        { *e = append(*e, x.(coldEvent)) }
func (e *coldEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// coldWorld is one run: its routers, and the work that reached the cold cache.
type coldWorld struct {
	coldFleet
	chance  *rand.Rand // the run's only one: a seed plays the same each time
	its     *Settings
	now     Micros
	events  coldEvents
	hosts   []*coldHost
	bears   float64    // transfers at once that each cache bears, warm
	sizes   [2]float64 // mean sending time by kind, in us
	sigma   float64
	started Micros
	// firstStart is the cold cache's first one; started is its latest.
	firstStart Micros
	hits       float64
	sent       []coldSend
	links      map[string]float64 // by cache: transfers at once
	free       map[string]Micros  // and when it has sent all that it was asked for
	drainAll   bool
	caches     int     // of the location, edges
	pace       float64 // of the usual arrivals: 3 in a burst
	fleet      hardFleet
}

type coldSend struct {
	at     Micros
	work   float64
	untold bool // by a router that was not told of the latest start
}

// coldHost is one router and its own view of the caches.
type coldHost struct {
	w      *coldWorld
	index  int
	r      *Router
	all    []*Cache
	cold   *Cache
	told   bool
	weight float64
}

func coldName(i int) string { return fmt.Sprint("c", i) }

func (w *coldWorld) after(in Micros, do func()) { heap.Push(&w.events, coldEvent{w.now + in, do}) }

func (h *coldHost) CancelAttempt(lk *Lookup, n int) {
	r := h.r
	h.w.after(0, func() {
		took := h.w.now - lk.attempts[n].startedAt
		h.ended(r, lk, n, OutcomeCancelled, DetailNone, took, took/4)
	})
}
func (h *coldHost) Reject(*Lookup, Micros)  {}
func (h *coldHost) Fail(*Lookup)            {}
func (h *coldHost) SubscribeEndpoints(bool) {}
func (h *coldHost) Log(string)              {}
func (h *coldHost) SetTimer(in Micros, token int64) {
	r := h.r
	h.w.after(in, func() {
		if r == nil { // called from within Start
			r = h.r
		}
		if h.r == r {
			h.r.TimerFired(h.w.now, token)
		}
	})
}

func (h *coldHost) ended(r *Router, lk *Lookup, n int, e AttemptOutcome, remark OutcomeDetail, took, waited Micros) {
	if h.r == r && lk.attempts[n].mode >= 0 {
		lk.attempts[n].mode = -1 // ends once
		h.r.AttemptEnded(h.w.now, lk, AttemptReport{Attempt: n, Outcome: e, Detail: remark, Latency: took, SourceWait: waited, LookupEnded: e == OutcomeSatisfied})
	}
}

func (h *coldHost) Fetch(lk *Lookup, request FetchRequest) {
	to, source := request.Cache, request.Source
	w, r, n := h.w, h.r, len(lk.attempts)-1
	if (to == h.cold || source == h.cold) && w.cutOff(h) {
		end, remark := OutcomeConnectFailed, DetailNone
		if to != h.cold {
			end, remark = OutcomeError, DetailSourceBroke
		}
		w.after(300*millisecond, func() { h.ended(r, lk, n, end, remark, 300*millisecond, 0) })
		return
	}
	if to == h.cold {
		w.sent = append(w.sent, coldSend{w.now, w.sizes[w.kindOf(h, lk)], h.cold.StartedAt != w.started}) // the mean of its kind
	}
	took, remark, end := 5*millisecond+lk.work, DetailHit, OutcomeSatisfied
	if w.chance.Float64() >= w.hits || to == h.cold && w.chance.Float64() < 0.5 || lk.missedAt == to {
		took, remark = 2*took, DetailFilled
		if source != to {
			w.askFill(h, lk)
		}
		if source == h.cold {
			w.sent = append(w.sent, coldSend{w.now, float64(lk.work), h.cold.StartedAt != w.started})
		}
		if source == to {
			took, remark, end = 2*millisecond, DetailNone, OutcomeMiss
		}
	}
	if w.hard > 0 && end == OutcomeSatisfied {
		w.fleet.transfer(h, lk, n, to, source, remark)
		return
	}
	if end == OutcomeSatisfied { // nobody carries more than its link, warm ones neither
		by := to
		if remark == DetailFilled && source != to {
			by = source
		}
		if bears := w.links[by.Name]; bears > 0 {
			free := max(w.now, w.free[by.Name]) + Micros(float64(lk.work)/bears)
			w.free[by.Name], took = free, max(took, free-w.now)
		}
	}
	w.after(took, func() { h.ended(r, lk, n, end, remark, took, took/4) })
}

func (w *coldWorld) kindOf(h *coldHost, lk *Lookup) int {
	if lk.kind == &h.r.kinds[0] {
		return 0
	}
	return 1
}

func (w *coldWorld) share(at Micros) float64 {
	from, span := w.its.SlowStartShare, w.its.SlowStartTime
	if w.parent {
		from, span = w.its.ParentSlowStartShare, w.its.ParentSlowStartTime
	}
	return min(1, from+(1-from)*float64(at-w.started)/float64(span))
}

// start begins a router anew: it forgets all but the list.
func (h *coldHost) start() {
	h.r = nil
	h.r = NewRouter(h.w.now, h.w.chance.Uint64(), h.w.its, h)
	if h.w.view {
		h.r.FleetSize = h.w.routers
	}
	var rows []Endpoint
	for i, c := range h.all {
		*c = *NewCache(c.Name)
		kind := 0
		if i == len(h.all)-1 {
			kind = 2
		} else if i >= h.w.caches {
			kind = 1
		}
		if c != h.cold || h.told {
			row := Endpoint{Cache: c, Kind: kind, Zone: min(kind, 1), Weight: 1}
			if c == h.cold {
				row.StartedAt = h.w.started
			}
			if h.w.drainAll && h.told && kind == 0 && c != h.cold {
				continue
			}
			rows = append(rows, row)
		}
	}
	h.r.UpdateEndpoints(h.w.now, UpdateCached, rows)
}

// tell brings the start of the cold cache, and with drainAll that the others of its location end.
func (h *coldHost) tell() {
	h.told = true
	kind := 0
	if h.w.parent {
		kind = 1
	}
	rows := []Endpoint{{Cache: h.cold, Kind: kind, Zone: kind, Weight: 1, StartedAt: h.w.started}}
	for _, c := range h.r.edges {
		if h.w.drainAll && c != h.cold {
			row := c.Endpoint
			row.Cache, row.State = c, Gone
			rows = append(rows, row)
		}
	}
	h.r.UpdateEndpoints(h.w.now, UpdateDelta, rows)
}

// run plays one seed: 5 s with warm caches, then the start, told to each router within a second, and up to 6 s of warming.
func (c coldFleet) run(seed uint64) tally {
	w := &coldWorld{coldFleet: c, chance: rand.New(rand.NewPCG(seed, uint64(c.routers)))}
	within := func(a, b float64) float64 { return a + (b-a)*w.chance.Float64() }
	caches := 4 + w.chance.IntN(6)
	parents := 2 + w.chance.IntN(2)
	gateways := c.routers
	if c.grown {
		gateways = max(1, c.routers/3)
	}
	fallFor := Micros(within(1, 1.5) * float64(second))
	w.bears, w.sigma, w.hits = within(2, 10), within(0.6, 1), within(0.67, 0.79)
	w.sizes = [2]float64{within(330, 520) * float64(millisecond), within(39, 100) * float64(millisecond)}
	w.its = &Settings{Gateways: gateways, ZoneGateways: []int{gateways}, ParentKind: 1, OriginKind: 2, CoalescesFills: true, ReportsFirstByte: true, ReportsHits: true,
		TransferKBPerSecond: 1000, MaxAttempts: 6, CanCancel: true, MaxRetryAfter: second, SlowStartShare: within(0.16, 0.46), SlowStartTime: Micros(within(6, 13) * float64(second)),
		BreakMultiple: 2 + w.chance.Float64(), BreakWindow: fallFor, ParentSlowStartShare: within(0.064, 0.14), ParentSlowStartTime: Micros(within(13, 21) * float64(second)),
		ParentBreakMultiple: 2, PurgeSettleTime: 6 * second, Kinds: []ObjectKind{
			{LatencyBudget: 800 * millisecond, BudgetStretch: 1.6, Deadline: 5 * second, Utility: 2, LateUtilityShare: 0.15, DedupWindow: 5 * second},
			{LatencyBudget: 400 * millisecond, BudgetStretch: 2, Deadline: 2500 * millisecond, Utility: 1, LateUtilityShare: 0.2, DedupWindow: 5 * second}}}
	w.now, w.pace = 100*second, 1
	w.drainAll = !c.parent // demand where an edge is cold: it is the last of its location
	w.caches = caches
	load := within(0.4, 0.7)
	if c.hard > 0 {
		load = w.drawHard(within)
	}
	multiple, cold := w.its.BreakMultiple, caches-1
	if c.parent { // parents have some room above the fills they get
		multiple, cold = w.its.ParentBreakMultiple, caches+parents-1
	}
	bears := w.bears // of the cold one and its like
	if c.parent {
		bears = within(1.2, 1.5) * (1 - w.hits) * w.bears * 0.7 * float64(caches) / float64(parents)
	}
	w.links, w.free = map[string]float64{}, map[string]Micros{}
	for j := range caches + parents {
		w.links[coldName(j)] = w.bears
		if j >= caches {
			w.links[coldName(j)] = bears
		}
	}
	if c.hard > 0 {
		bears = w.fleet.unequal(w, cold, within)
	}
	for i := range c.routers {
		h := &coldHost{w: w, index: i, weight: w.chance.ExpFloat64() + 0.2}
		if i == 0 {
			h.weight = 5 // one router with several times the mean
		}
		for j := range caches + parents + 1 {
			h.all = append(h.all, NewCache(coldName(j)))
		}
		h.cold = h.all[cold]
		w.hosts = append(w.hosts, h)
		w.after(Micros(w.chance.Int64N(int64(sweepInterval))), h.start)
	}
	weights := 0.0
	for _, h := range w.hosts {
		weights += h.weight
	}
	// Arrivals by chance, at a load that the warm caches bear; some objects far hotter than others.
	mean := (w.sizes[0] + w.sizes[1]) / 2
	every := mean / (w.bears * load * float64(caches-1)) // us between the fleet's lookups
	zipf := rand.NewZipf(w.chance, 1.1, 1, 2000)
	for _, h := range w.hosts {
		var arrive func()
		arrive = func() {
			k := w.chance.IntN(2)
			kb := w.sizes[k] / float64(millisecond) * math.Exp(w.sigma*w.chance.NormFloat64()-w.sigma*w.sigma/2)
			h.r.StartLookup(w.now, Arrival{Kind: k, Object: fmt.Sprint("o", zipf.Uint64()), Part: w.chance.IntN(12), Group: 3, SizeKB: kb, Deadline: w.now + w.its.Kinds[k].Deadline})
			w.after(Micros(w.chance.ExpFloat64()*every*weights/h.weight/w.pace), arrive)
		}
		w.after(sweepInterval+Micros(w.chance.ExpFloat64()*every*weights/h.weight), arrive)
	}
	w.after(5*second, func() {
		w.started, w.firstStart = w.now, w.now
		for _, h := range w.hosts {
			w.after(w.tellIn(h), h.tell)
			if w.chance.Float64() < 0.3 { // and some start anew meanwhile
				w.after(2*second+Micros(w.chance.Int64N(int64(4*second))), h.start)
			}
		}
	})
	if c.hard > 0 {
		w.fleet.startAnew(w)
		w.after(5*second, w.loseZone)
	}
	if seed%2 == 0 { // all that is held is purged, and a burst comes: every router has demand at once
		w.after(8*second, func() { w.hits, w.pace = 0, 3 })
		w.after(9500*millisecond, func() { w.pace = 1 })
	}
	t := tally{runs: 1}
	var central, chance []coldSend // of the two ideals
	tokens, next, offered := 0.0, 0.0, 0.0
	borne := 0.0 // what the routers together say that a warm one bears
	var watch func()
	watch = func() {
		at := w.now
		if borne == 0 || w.hosts[0].r != nil && at < w.started+second { // before restarts and drains blur it
			borne = 0
			for _, h := range w.hosts {
				if c.parent {
					borne += h.r.parentCapacity
				} else {
					borne += h.r.edgeCapacity
				}
			}
		}
		const step = 10 * millisecond
		if c.hard > 0 {
			borne = bears // its limiter knows the real link
		}
		rate := limiterRate * w.share(at) * max(1, borne)
		depth := max(rate*float64(fallFor)*max(0.2, (multiple-1)*limiterBurst), mean)
		size := func() float64 {
			k := w.chance.IntN(2)
			if c.parent {
				return w.sizes[k] * math.Exp(w.sigma*w.chance.NormFloat64()-w.sigma*w.sigma/2)
			}
			return w.sizes[k]
		}
		tokens = min(depth, tokens+rate*float64(step))
		for offered += 3 * rate * float64(step) / mean; offered > 0; offered -= w.chance.ExpFloat64() { // demand by chance, three times the rate
			if s := size(); tokens >= s {
				tokens -= s
				central = append(central, coldSend{at: at, work: s})
				if at >= w.started+2*second {
					t.ideal += s
				}
			}
		}
		for next += rate * float64(step) / mean; next > 0; next -= w.chance.ExpFloat64() {
			chance = append(chance, coldSend{at: at, work: size()})
		}
		if at >= w.started+2*second { // all were told, and all had time for their first
			t.rate += min(rate, w.fleet.demand(w, at, mean/every)) * float64(step)
		}
		if (at-w.started)%(50*millisecond) == 0 && at > w.started {
			n := multiple * w.share(at) * bears * float64(fallFor) / mean
			most := (n + 2*math.Sqrt(n) + 2) * mean
			in := func(sends []coldSend) bool {
				sum, untold := 0.0, 0.0
				for i := len(sends) - 1; i >= 0 && sends[i].at > at-fallFor; i-- {
					sum += sends[i].work
					if sends[i].untold {
						untold += sends[i].work
					}
				}
				return sum > most && untold < sum/3
			}
			t.windows++
			for _, of := range []struct {
				sends []coldSend
				n     *int
			}{{w.sent, &t.over}, {central, &t.central}, {chance, &t.chance}} {
				if in(of.sends) {
					*of.n++
				}
			}
		}
		if at < w.started+6*second && w.share(at+step) < 1 {
			w.after(step, watch)
		}
	}
	w.after(5*second+millisecond, func() { w.now = w.started; watch() })
	for end := w.now + 11*second + 2*millisecond; w.events.Len() > 0; {
		e := heap.Pop(&w.events).(coldEvent)
		if w.now = e.at; e.at > end {
			break
		}
		e.do()
	}
	t.asked = w.fleet.asked.sent
	for _, s := range w.sent {
		if s.at >= w.started+2*second {
			t.sent += s.work
		}
	}
	if t.over > 0 {
		t.fell = 1
	}
	return t
}

func (c coldFleet) runs(seeds int) tally {
	var all tally
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan uint64)
	for range min(4, runtime.NumCPU()) {
		wait.Go(func() {
			for seed := range next {
				t := c.run(seed)
				mu.Lock()
				all.add(t)
				mu.Unlock()
			}
		})
	}
	for seed := range seeds {
		next <- uint64(seed + 1)
	}
	close(next)
	wait.Wait()
	return all
}

// TestColdFleet guards rule 4 under the sum of all: no more windows over the line than chance alone gives at the central
// limiter's rate, and at thirty routers before an edge 0.8 of that rate used.
func TestColdFleet(t *testing.T) {
	cases, seeds := []coldFleet{{routers: 30}, {routers: 30, parent: true}}, 20
	if *coldSeeds > 0 {
		cases, seeds = nil, *coldSeeds
		for _, parent := range []bool{false, true} {
			for _, n := range []int{1, 4, 12, 20, 30} {
				cases = append(cases, coldFleet{routers: n, parent: parent})
			}
			cases = append(cases, coldFleet{routers: 30, parent: parent, grown: true}, coldFleet{routers: 30, parent: parent, grown: true, view: true})
		}
		cases = append(cases, coldFleet{routers: 300}, coldFleet{routers: 300, parent: true})
	}
	hard, multiples := []int{12, 30}, []float64{2, 4}
	if *coldSeeds > 0 {
		hard, multiples = []int{1, 4, 12, 30, 100, 350}, []float64{2, 2.5, 3, 4}
	}
	for _, n := range hard {
		for _, m := range multiples {
			cases = append(cases, coldFleet{routers: n, hard: m}, coldFleet{routers: n, hard: m, parent: true})
		}
	}
	for _, c := range cases {
		t.Run(c.String(), func(t *testing.T) {
			got := c.runs(seeds)
			t.Log(got)
			if got.over > got.chance {
				t.Errorf("%d windows over the line, by chance alone %d", got.over, got.chance)
			}
			if used := got.sent / got.rate; c.routers == 30 && c.hard == 0 && !c.parent && used < 0.8 {
				t.Errorf("%.2f of the rate used, want 0.8", used)
			}
		})
	}
}

// useSeeds is how many seeds TestColdFleetUse judges by: runs with large links make up most of the sums, and twenty hold only a few of them.
const useSeeds = 100

// TestColdFleetUse asks that a fleet that doesn't know the link of a cold cache does not starve it: 0.8 at an edge and 0.5 at a parent of
// what a central limiter that knows it would send, where demand is there.
func TestColdFleetUse(t *testing.T) {
	for _, c := range []coldFleet{{routers: 30, hard: 2}, {routers: 30, hard: 4}, {routers: 30, hard: 2, parent: true}, {routers: 30, hard: 4, parent: true}} {
		t.Run(c.String(), func(t *testing.T) {
			got, want := c.runs(max(useSeeds, *coldSeeds)), 0.8
			if c.parent {
				want = 0.5
			}
			t.Log(got)
			if used := got.sent / got.rate; used < want {
				t.Errorf("%.2f of the rate used, want %.1f", used, want)
			}
		})
	}
}
