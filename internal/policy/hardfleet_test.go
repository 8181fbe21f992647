package policy

import (
	"container/heap"
	"math"
)

// The hard cases of TestColdFleet: caches from 0.3 to 2.5 of the mean, the cold one among them at any place, links of 1 to 40
// transfers that all transfers on them share, a load of 0.4 to 1.3 of what the location bears, and each in three of ten runs: a cold
// cache that starts anew while it warms, routers whose lists are silent for seconds over the start, and a part of the routers (a zone) that is
// cut off from the cold cache, and in half of these runs starts anew at the end. What a cold cache can do is its share of its link, at least the share that the settings name.

// hardFleet is what a hard case adds to a coldWorld.
type hardFleet struct {
	links       map[string]*sharedLink
	bears       float64 // transfers at once of the cold cache, warm
	shareFactor float64 // the cold cache's real share over the one that the settings name
	anewAt      Micros  // it starts anew this long after its first start; 0: it does not
	silence     Micros  // for so long more a third of the routers hear nothing of a start
	cut         cutZone
	asked       askedLimiter
}

// cutZone is a part of the routers, the first ones, that reaches the cold cache no more between two instants after its start.
type cutZone struct {
	routers    int
	from, till Micros
	lost       bool // its routers start anew at the end, knowing nothing
}

// askedLimiter is the central limiter that knows the link of a cold parent, before the fills that the fleet really asks for: those of
// objects whose home is this parent. It is told beside the verdict, which takes demand by its formula.
type askedLimiter struct {
	tokens float64
	at     Micros
	sent   float64 // work, in us, that it lets through while a run is judged
}

func (l *askedLimiter) ask(now Micros, rate, depth, work float64, judged bool) {
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

// askFill tells the limiter of a fill whose home is the cold parent.
func (w *coldWorld) askFill(h *coldHost, lk *Lookup) {
	if w.hard == 0 || !w.parent || w.started == 0 || h.r.rendezvousOrder(lk.objectHash, h.r.parents)[0] != h.cold {
		return
	}
	rate := limiterRate * w.share(w.now) * w.fleet.bears
	depth := max(rate*float64(w.its.BreakWindow)*max(0.2, (w.its.ParentBreakMultiple-1)*limiterBurst), (w.sizes[0]+w.sizes[1])/2)
	judged := w.now >= w.started+2*second && w.now <= w.started+6*second && w.share(w.now) < 1
	w.fleet.asked.ask(w.now, rate, depth, float64(lk.work), judged)
}

// cutOff tells whether a router does not reach the cold cache now.
func (w *coldWorld) cutOff(h *coldHost) bool {
	cut, since := &w.fleet.cut, w.now-w.firstStart
	return w.hard > 0 && w.firstStart > 0 && h.index < cut.routers && since >= cut.from && since < cut.till
}

// tellIn is how long after a start a router hears of it.
func (w *coldWorld) tellIn(h *coldHost) Micros {
	in := Micros(w.chance.Int64N(int64(second)))
	if w.hard > 0 && h.index%3 == 2 {
		in += w.fleet.silence
	}
	return in
}

// loseZone starts the routers of a lost zone anew at the end of its cut.
func (w *coldWorld) loseZone() {
	for _, h := range w.hosts {
		if w.fleet.cut.lost && h.index < w.fleet.cut.routers {
			w.after(w.fleet.cut.till, h.start)
		}
	}
}

// drawHard draws links and multiple, and returns the load.
func (w *coldWorld) drawHard(within func(a, b float64) float64) float64 {
	w.bears = math.Exp(within(math.Log(2), math.Log(40)))
	w.its.BreakMultiple, w.its.ParentBreakMultiple = w.hard, w.hard
	w.fleet.shareFactor = within(1, 1.3)
	if w.chance.Float64() < 0.3 {
		w.fleet.anewAt = Micros(within(2, 4) * float64(second))
	}
	if w.chance.Float64() < 0.3 {
		w.fleet.silence = Micros(within(1, 3) * float64(second))
	}
	if w.chance.Float64() < 0.3 {
		from, lasts := within(1, 3), within(1, 3)
		w.fleet.cut = cutZone{routers: int(within(0.2, 0.5) * float64(w.routers)), lost: w.chance.IntN(2) == 0,
			from: Micros(from * float64(second)), till: Micros((from + lasts) * float64(second))}
	}
	if w.chance.IntN(2) == 0 {
		return within(0.9, 1.3)
	}
	return within(0.4, 1.3)
}

// unequal gives each cache its own link, from 0.3 to 2.5 of its group's mean, and returns the cold one's.
func (f *hardFleet) unequal(w *coldWorld, cold int, within func(a, b float64) float64) (bears float64) {
	f.links = map[string]*sharedLink{}
	for _, c := range w.sortedLinks() {
		most := 2.5
		if c == coldName(cold) && w.chance.IntN(2) == 0 {
			most = 0.6 // in half of the runs the cold one is a small one
		}
		capacity := w.links[c] * math.Exp(within(math.Log(0.3), math.Log(most)))
		capacity = max(1, capacity)
		l := &sharedLink{world: w, at: w.now, capacity: func() float64 { return capacity }}
		if c == coldName(cold) {
			bears = capacity
			l.capacity = func() float64 {
				if w.started == 0 {
					return capacity
				}
				return capacity * min(1, f.shareFactor*w.share(w.now))
			}
		}
		f.links[c] = l
	}
	f.bears = bears
	return bears
}

// sortedLinks names the caches in their order: edges, then parents.
func (w *coldWorld) sortedLinks() (names []string) {
	for i := range len(w.links) {
		names = append(names, coldName(i))
	}
	return names
}

// startAnew has the cold cache start anew while it warms, told to each router within a second.
func (f *hardFleet) startAnew(w *coldWorld) {
	if f.anewAt == 0 {
		return
	}
	w.after(5*second+f.anewAt, func() {
		w.started = w.now
		for _, h := range w.hosts {
			w.after(w.tellIn(h), h.tell)
		}
	})
}

// demand is what the fleet asks of the cold cache, in transfers, where arrivals bring that much work: a location's last edge
// gets its share of the objects, a parent its part of the misses. In the other cases it is without bound.
func (f *hardFleet) demand(w *coldWorld, at Micros, arriving float64) float64 {
	switch {
	case w.hard == 0:
		return math.Inf(1)
	case w.parent:
		return (1 - w.hits) * arriving * w.pace / float64(len(w.links)-w.caches)
	}
	return w.share(at) * arriving * w.pace
}

// transfer carries a satisfied send over the cache's link, a fill over its source's too.
func (f *hardFleet) transfer(h *coldHost, lk *Lookup, n int, to, source *Cache, remark OutcomeDetail) {
	w, r, began := h.w, h.r, h.w.now
	waited, left := Micros(0), 1
	ended := func() {
		if left--; left == 0 {
			took := w.now - began + 5*millisecond
			w.after(5*millisecond, func() { h.ended(r, lk, n, OutcomeSatisfied, remark, took, waited) })
		}
	}
	if upstream := f.links[source.Name]; remark == DetailFilled && upstream != nil {
		waited, left = 30*millisecond, 2
		w.after(waited, func() { upstream.start(lk.work, ended) })
	}
	f.links[to.Name].start(lk.work, ended)
}

// sharedLink divides its capacity, in transfers at full pace, evenly among the transfers on it.
type sharedLink struct {
	world    *coldWorld
	capacity func() float64
	done     float64 // work that each transfer on it from the first on would have got by now, in us
	at       Micros
	active   sharedTransfers
	version  int // of the awaited completion
}

type sharedTransfer struct {
	until float64 // it is complete once this much is done
	ended func()
}
type sharedTransfers []sharedTransfer

func (s sharedTransfers) Len() int           { return len(s) }
func (s sharedTransfers) Less(i, j int) bool { return s[i].until < s[j].until }
func (s sharedTransfers) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *sharedTransfers) Push(x any)        { *s = append(*s, x.(sharedTransfer)) }
func (s *sharedTransfers) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func (l *sharedLink) pace() float64 { return min(1, l.capacity()/float64(max(len(l.active), 1))) }

// advance brings what is done up to now, at the pace that held since.
func (l *sharedLink) advance() {
	l.done += float64(l.world.now-l.at) * l.pace()
	l.at = l.world.now
}

func (l *sharedLink) start(work Micros, ended func()) {
	l.advance()
	heap.Push(&l.active, sharedTransfer{l.done + float64(max(work, 1)), ended})
	l.await()
}

// await wakes at the next completion, or in 50 ms, as the capacity of a cold cache grows.
func (l *sharedLink) await() {
	l.version++
	version := l.version
	if len(l.active) == 0 {
		return
	}
	in := Micros(math.Ceil((l.active[0].until - l.done) / l.pace()))
	l.world.after(min(max(in, 1), 50*millisecond), func() {
		if l.version != version {
			return
		}
		l.advance()
		var complete []func()
		for len(l.active) > 0 && l.active[0].until <= l.done+0.5 {
			complete = append(complete, heap.Pop(&l.active).(sharedTransfer).ended)
		}
		l.await()
		for _, ended := range complete {
			ended()
		}
	})
}
